//! Loads of one key, one after the other: one that runs into its client's time on a slow engine
//! where executions can't be cancelled, and one that is cut off by a reset.

use crate::common::{
    config, free_port, record_log, sleep_ms, trouble, Front, Listed, Record, Settings, BIJENWEEG,
    TAOYUAN,
};
use crate::lines::{start_engine, Client, Execution, Plan, World};
use crate::Verdict;

/// By the protocol page every time limit is 50 ms longer.
const SLACK_MS: f64 = 50.0;
/// Rounds of the loads that are cut off.
const ROUNDS: usize = 8;
/// Keys of the loads that run into their clients' time.
const KEYS: usize = 12;
/// Milliseconds that a client of such a load waits: 80 in 100 of the agreed 25 s.
const PATIENCE_MS: u64 = 20_000;
/// Milliseconds from the first loads to the second ones.
const SECOND_MS: u64 = 16_000;
/// Milliseconds that such a load runs on an engine as it should be.
const RUN_MS: u64 = 2_500;
/// How many times slower the slow engine is.
const SLOW: u64 = 9;

pub fn run(record: &Record) -> Verdict {
    let late = late(record)?;
    let cut = cut(record)?;
    Ok(late && cut)
}

/// A front of a deployment with four engines, and a client.
struct Stage {
    world: World,
    front: Front,
    listen: u16,
    client: Client,
    /// Earlier connections of the client.
    before: Vec<Client>,
}

impl Stage {
    fn set(record: &Record, settings: &Settings) -> Result<Stage, String> {
        let world = World::new(record);
        let mut engines = Vec::new();
        for id in ["e1", "e2", "e3", "e4"] {
            let port = start_engine(&world, id)?;
            engines.push(Listed {
                id: id.to_string(),
                port,
            });
        }
        let listen = free_port()?;
        let front = Front::start(&config(listen, &engines, settings), None)?;
        let client = Client::connect(record, "client", listen)?;
        sleep_ms(300);
        Ok(Stage {
            world,
            front,
            listen,
            client,
            before: Vec::new(),
        })
    }

    /// Opens a new connection for the loads that follow, as clients do after 4 s without a request.
    /// The one before stays open for its answers.
    fn connect(&mut self, record: &Record) -> Result<(), String> {
        let name = format!("client, connection {}", self.before.len() + 2);
        let client = Client::connect(record, &name, self.listen)?;
        self.before
            .push(std::mem::replace(&mut self.client, client));
        Ok(())
    }

    /// Sends a load; returns its number on the connection.
    fn load(&mut self, load: &Load) -> Result<i32, String> {
        let (plans, keys) = (&self.world.plans, &self.world.keys);
        plans.lock().unwrap().insert(load.id.clone(), load.plan);
        keys.lock()
            .unwrap()
            .insert(load.id.clone(), load.key.clone());
        let fields = [
            ("verb", load.workload),
            ("txn", &load.id),
            ("limit", &load.limit_ms.to_string()),
            ("team", load.customer),
            ("item", &load.key),
            ("unique", &load.id),
            ("cpu", &load.cpu_ms.to_string()),
            ("heap_mb", "64"),
        ];
        let text = "INSERT INTO entries_7.lines SELECT * FROM staging_1.file";
        self.client.serve(&fields, text)
    }

    /// Whether the loads of each key kept their order.
    fn judge(mut self, record: &Record, keys: &[String], rest_ms: f64) -> Verdict {
        record_log(record, &self.front);
        if !self.front.runs() {
            return Err("the front has ended".to_string());
        }
        let executions = self.world.executions.lock().unwrap().clone();
        let mut held = true;
        for key in keys {
            let of_key: Vec<&Execution> = executions.iter().filter(|e| e.key == *key).collect();
            held &= check(record, key, &of_key, rest_ms);
            let last = self.world.data.lock().unwrap().get(key).cloned();
            record.line(&format!("{key}: its data is that of {last:?}"));
        }
        Ok(held)
    }
}

/// A load of a client.
struct Load {
    id: String,
    key: String,
    workload: &'static str,
    customer: &'static str,
    limit_ms: u64,
    cpu_ms: u64,
    plan: Plan,
}

fn id(scene: usize, round: usize, number: usize) -> String {
    format!("{:016x}", (scene << 16) + (round << 8) + number)
}

/// Where executions can't be cancelled: first loads of several keys, some of which run into their
/// clients' time on a slow engine, and a second load of each key behind them.
fn late(record: &Record) -> Verdict {
    record.line("--- loads that run into their clients' time; executions can't be cancelled");
    let mut stage = Stage::set(record, &BIJENWEEG)?;
    if trouble() {
        record.line(&format!("e1 runs {SLOW} times slower from here on"));
        *stage.world.slow.lock().unwrap() = Some(("e1".to_string(), SLOW));
    }
    let keys: Vec<String> = (0..KEYS).map(|n| format!("scale-{n}")).collect();
    let plan = Plan {
        run_ms: RUN_MS,
        reset_ms: None,
    };
    for (number, after_ms) in [(1, 0), (2, SECOND_MS)] {
        if after_ms > 0 {
            sleep_ms(after_ms);
            stage.connect(record)?;
        }
        for (round, key) in keys.iter().enumerate() {
            stage.load(&Load {
                id: id(1, round, number),
                key: key.clone(),
                workload: "inlees",
                customer: "imkers-gelderland",
                limit_ms: PATIENCE_MS,
                cpu_ms: 2 * RUN_MS,
                plan,
            })?;
        }
    }
    // Until all loads of both kinds have ended at the engines.
    let last = if trouble() { SLOW * RUN_MS } else { RUN_MS };
    sleep_ms(PATIENCE_MS - SECOND_MS + last + 500);
    stage.judge(record, &keys, 0.0)
}

/// Where a key rests after a reset: a load that is answered, one that is cut off, and a third one.
fn cut(record: &Record) -> Verdict {
    record.line("--- loads that are cut off by a reset; keys rest for 300 ms");
    let mut stage = Stage::set(record, &TAOYUAN)?;
    for round in 0..ROUNDS {
        cut_round(record, &mut stage, round)?;
    }
    let keys: Vec<String> = (0..ROUNDS).map(|n| format!("payee-{n}")).collect();
    stage.judge(record, &keys, 300.0)
}

fn cut_round(record: &Record, stage: &mut Stage, round: usize) -> Result<(), String> {
    record.line(&format!("--- round {round}"));
    let load = |number: usize, key: &str, run_ms: u64, reset_ms: Option<u64>| Load {
        id: id(2, round, number),
        key: format!("{key}-{round}"),
        workload: "payout-load",
        customer: "counter",
        limit_ms: 20_000,
        cpu_ms: 100,
        plan: Plan { run_ms, reset_ms },
    };
    let first = stage.load(&load(1, "payee", 20, None))?;
    stage.client.wait(first, 2_000);
    let answered = record.ms();
    let until = |ms: f64| sleep_ms((answered + ms - record.ms()).max(0.0) as u64);
    until(200.0);
    let second = if trouble() {
        load(2, "payee", 250, Some(60))
    } else {
        load(2, "payee", 20, None)
    };
    let second = stage.load(&second)?;
    stage.client.wait(second, 2_000);
    // The first load's rest, had it needed one, would be over now; the second one's is not.
    until(345.0);
    let unrelated = stage.load(&load(3, "other", 20, None))?;
    until(360.0);
    let third = stage.load(&load(4, "payee", 20, None))?;
    for number in [unrelated, third] {
        stage.client.wait(number, 5_000);
    }
    sleep_ms(700);
    Ok(())
}

/// Whether the loads of a key ran one at a time, and rested after a reset or a cancel. A load is
/// out until the engine has written its end or the front has given it up; a time that is up alone
/// ends nothing at an engine.
fn check(record: &Record, key: &str, executions: &[&Execution], rest_ms: f64) -> bool {
    let mut held = true;
    for (n, later) in executions.iter().enumerate() {
        for earlier in &executions[..n] {
            let rest = (rest_ms - SLACK_MS).max(0.0);
            let over = [
                earlier.ended,
                earlier.reset.map(|ms| ms + rest),
                earlier.given_up.map(|ms| ms + rest),
            ];
            let over = over.into_iter().flatten().fold(f64::MAX, f64::min);
            // A reset load may end by itself within its rest; that is nothing the front can see.
            let over = earlier.reset.map_or(over, |ms| ms + rest);
            if later.arrived < over {
                held = false;
                let shown =
                    |ms: Option<f64>| ms.map_or("never".to_string(), |ms| format!("{ms:.1}"));
                record.line(&format!(
                    "{key}: {} began on {} at {:.1}, too early: {} began on {} at {:.1}, was reset: {}, given up: {}, at its end: {}",
                    later.id,
                    later.engine,
                    later.arrived,
                    earlier.id,
                    earlier.engine,
                    earlier.arrived,
                    shown(earlier.reset),
                    shown(earlier.given_up),
                    shown(earlier.ended)
                ));
            }
        }
    }
    held
}
