//! Loads of one key, one after the other, one of which is cut off by a reset.

use crate::common::{config, free_port, record_log, sleep_ms, trouble, Front, Listed, Record};
use crate::lines::{start_engine, Client, Execution, Plan, World};
use crate::Verdict;

const ROUNDS: usize = 8;
/// `rules.turnGapMs` of the settings.
const REST_MS: f64 = 300.0;
/// By the protocol page every time limit is 50 ms longer.
const SLACK_MS: f64 = 50.0;

pub fn run(record: &Record) -> Verdict {
    let world = World::new(record);
    let mut engines = Vec::new();
    for id in ["e1", "e2"] {
        let port = start_engine(&world, id)?;
        engines.push(Listed {
            id: id.to_string(),
            port,
        });
    }
    let listen = free_port()?;
    let mut front = Front::start(&config(listen, &engines), None)?;
    let mut client = Client::connect(record, "client", listen)?;
    sleep_ms(300);
    for round in 0..ROUNDS {
        play(record, &world, &mut client, round)?;
    }
    record_log(record, &front);
    if !front.runs() {
        return Err("the front has ended".to_string());
    }
    let executions = world.executions.lock().unwrap().clone();
    let mut held = true;
    for round in 0..ROUNDS {
        let key = format!("payee-{round}");
        let of_key: Vec<&Execution> = executions.iter().filter(|e| e.key == key).collect();
        held &= check(record, &key, &of_key);
        let last = world.data.lock().unwrap().get(&key).cloned();
        record.line(&format!("{key}: the data is that of {last:?}"));
    }
    Ok(held)
}

fn id(round: usize, number: usize) -> String {
    format!("{:016x}", 0x1000 * (round + 1) + number)
}

/// Sends a load.
fn load(
    world: &World,
    client: &mut Client,
    id: &str,
    key: &str,
    plan: Plan,
) -> Result<i32, String> {
    world.plans.lock().unwrap().insert(id.to_string(), plan);
    world
        .keys
        .lock()
        .unwrap()
        .insert(id.to_string(), key.to_string());
    let fields = [
        ("verb", "payout-load"),
        ("txn", id),
        ("limit", "20000"),
        ("team", "counter"),
        ("item", key),
        ("cpu", "100.0"),
        ("heap_mb", "64"),
    ];
    client.serve(
        &fields,
        "INSERT INTO payout_7.entries SELECT * FROM staging_1.file",
    )
}

fn play(record: &Record, world: &World, client: &mut Client, round: usize) -> Result<(), String> {
    let (key, other) = (format!("payee-{round}"), format!("other-{round}"));
    record.line(&format!("--- round {round}"));
    let quick = Plan {
        run_ms: 20,
        reset_ms: None,
    };
    let first = load(world, client, &id(round, 1), &key, quick)?;
    client.wait(first, 2_000);
    let answered = record.ms();
    let until = |ms: f64| sleep_ms((answered + ms - record.ms()).max(0.0) as u64);
    until(200.0);
    let cut = Plan {
        run_ms: if trouble() { 250 } else { 20 },
        reset_ms: trouble().then_some(60),
    };
    let second = load(world, client, &id(round, 2), &key, cut)?;
    client.wait(second, 2_000);
    // The first load's rest, had it needed one, would be over now; the second one's is not.
    until(345.0);
    let unrelated = load(world, client, &id(round, 3), &other, quick)?;
    until(360.0);
    let third = load(world, client, &id(round, 4), &key, quick)?;
    for number in [unrelated, third] {
        client.wait(number, 5_000);
    }
    sleep_ms(700);
    Ok(())
}

/// Whether the loads of a key ran one at a time, and rested after a reset.
fn check(record: &Record, key: &str, executions: &[&Execution]) -> bool {
    let mut held = true;
    for (n, later) in executions.iter().enumerate() {
        for earlier in &executions[..n] {
            let (from, why) = match (earlier.reset, earlier.ended) {
                (Some(reset), _) => (reset + REST_MS - SLACK_MS, "before the key had rested"),
                (None, Some(ended)) => (ended, "while the earlier one ran"),
                (None, None) => (f64::MAX, "while the earlier one ran"),
            };
            if later.arrived < from {
                held = false;
                record.line(&format!(
                    "{key}: {} began on {} at {:.1}, {why}: {} was cut off at {:?} and ran until {:?} on {}",
                    later.id,
                    later.engine,
                    later.arrived,
                    earlier.id,
                    earlier.reset,
                    earlier.ended,
                    earlier.engine
                ));
            }
        }
    }
    held
}
