//! `measure postgres`: clients through a front compared with the same clients connected directly to
//! the same stand-in engine, alternating over several rounds of one run.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use tokio_postgres::NoTls;

use crate::engine::{Engine, Records};
use crate::rig::{Coordinator, Front};
use crate::scripted::session::Session;

const ROUNDS: usize = 7;
const WARM_UP: Duration = Duration::from_millis(200);
const ROUND_DURATION: Duration = Duration::from_millis(1000);
const IDLE_SESSIONS: usize = 5_000;

/// Returns the median, least and most of the rounds.
fn spread(values: &mut [f64]) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    (
        values[values.len() / 2],
        values[0],
        values[values.len() - 1],
    )
}

struct Target {
    port: u16,
    client: tokio_postgres::Client,
    statement: tokio_postgres::Statement,
}

/// Connects a client and prepares the statement.
async fn connect_target(port: u16) -> Result<Target, String> {
    let error_text = |e: tokio_postgres::Error| e.to_string();
    let at = format!("host=127.0.0.1 port={port} user=portal dbname=x");
    let (client, connection) = tokio_postgres::connect(&at, NoTls)
        .await
        .map_err(error_text)?;
    tokio::spawn(connection);
    let statement = client.prepare("select run($1)").await.map_err(error_text)?;
    Ok(Target {
        port,
        client,
        statement,
    })
}

/// Returns the latency of consecutive extended queries on a warm connection, in microseconds:
/// median and 99th percentile.
async fn latency(target: &Target) -> Result<(f64, f64), String> {
    let mut times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
    let began = Instant::now();
    while began.elapsed() < WARM_UP + ROUND_DURATION {
        let since = Instant::now();
        let rows = target
            .client
            .query(&target.statement, &[&"id=1,rows=1,bytes=20"])
            .await;
        if rows.map_err(|e| e.to_string())?.len() != 1 {
            return Err("not one row".into());
        }
        if began.elapsed() > WARM_UP {
            times
                .record(since.elapsed().as_nanos() as u64)
                .map_err(|e| e.to_string())?;
        }
    }
    let at = |q| times.value_at_quantile(q) as f64 / 1000.0;
    Ok((at(0.5), at(0.99)))
}

/// Returns the units a second of so many concurrent sessions, each with one unit in flight;
/// scripted, so that the client's own work stays small.
fn throughput(port: u16, sessions: usize) -> Result<f64, String> {
    let (stop, count) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let mut threads = Vec::new();
    for _ in 0..sessions {
        let (stop, count) = (stop.clone(), count.clone());
        let at = ([127, 0, 0, 1], port).into();
        threads.push(std::thread::spawn(move || -> std::io::Result<()> {
            let mut session = Session::open(at, "portal", false)?;
            session.prepare("s", "select run($1)")?;
            while !stop.load(SeqCst) {
                session.ask("s", "id=1,rows=1,bytes=20")?;
                count.fetch_add(1, SeqCst);
            }
            Ok(())
        }));
    }
    std::thread::sleep(WARM_UP);
    let (before, since) = (count.load(SeqCst), Instant::now());
    std::thread::sleep(ROUND_DURATION);
    let rate = (count.load(SeqCst) - before) as f64 / since.elapsed().as_secs_f64();
    stop.store(true, SeqCst);
    for thread in threads {
        thread
            .join()
            .map_err(|_| "a client's thread panicked")?
            .map_err(|e| e.to_string())?;
    }
    Ok(rate)
}

/// Prints the table. Returns an error if a run fails.
pub fn postgres() -> Result<(), String> {
    let error_text = |e: std::io::Error| e.to_string();
    let engine = Engine::start(0, Records::new(), false).map_err(error_text)?;
    let coordinator = Coordinator::start().map_err(error_text)?;
    coordinator.announce(true, &[("e0".to_string(), engine.at, "pg", "up")]);
    // So many cores that the dispatcher's limits hold nothing back: only the path through the front
    // counts.
    let settings = json!({"instances": 1, "areas": ["here"], "kinds": ["pg"], "rules": {},
        "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true},
        "extra": {"sizeCores": [512], "memoryByKindMb": [1048576]},
        "requestClasses": [{"name": "lookup", "aimMs": 1000, "deadlineMs": 10000, "repeat": "repeatable"}]});
    let operator = "{ postgres: { listen: '127.0.0.1:0', engines: [{ kinds: ['pg'] }],
        users: { portal: { trust: true, workload: 'lookup' } }, limits: { sessions: 6000 } } }";
    let front = Front::start(&settings, operator, &coordinator, 16_000)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(error_text)?;
    let (mut direct, mut through) = ((Vec::new(), Vec::new()), (Vec::new(), Vec::new()));
    let (mut direct_rate, mut through_rate, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    let targets = runtime.block_on(async {
        Ok::<_, String>((
            connect_target(engine.at.port()).await?,
            connect_target(front.session_address.port()).await?,
        ))
    })?;
    let added = |all: &mut Vec<f64>, without: &[f64], with: &[f64]| {
        all.extend(
            with.iter()
                .zip(without)
                .map(|(with, without)| with - without),
        );
    };
    for _ in 0..ROUNDS {
        for (target, into) in [(&targets.0, &mut direct), (&targets.1, &mut through)] {
            let (median, tail) = runtime.block_on(latency(target))?;
            into.0.push(median);
            into.1.push(tail);
        }
        direct_rate.push(throughput(targets.0.port, 32)?);
        let before = front.cpu_micros();
        let rate = throughput(targets.1.port, 32)?;
        let used =
            (front.cpu_micros() - before) as f64 / (WARM_UP + ROUND_DURATION).as_micros() as f64;
        through_rate.push(rate);
        cpu.push(used);
    }
    let (mut medians, mut tails) = (Vec::new(), Vec::new());
    added(&mut medians, &direct.0, &through.0);
    added(&mut tails, &direct.1, &through.1);
    // A new front, so that memory freed after the rounds does not count as room for sessions.
    drop(front);
    let front = Front::start(&settings, operator, &coordinator, 16_000)?;
    let at = front.session_address;
    drop(Session::open(at, "portal", false).map_err(error_text)?);
    let before = front.memory_kb();
    let idle: Result<Vec<Session>, _> = (0..IDLE_SESSIONS)
        .map(|_| Session::open(at, "portal", false))
        .collect();
    let idle = idle.map_err(error_text)?;
    // Waits until the buffers of idle sessions are released.
    std::thread::sleep(Duration::from_millis(2_500));
    let each = (front.memory_kb() - before) as f64 * 1024.0 / idle.len() as f64;
    println!(
        "| measured, {ROUNDS} rounds in turn | straight | through the front | difference or ratio | aim |"
    );
    println!("| --- | --- | --- | --- | --- |");
    let row = |what: &str, a: &mut [f64], b: &mut [f64], last: String, aim: &str| {
        let ((a, a0, a1), (b, b0, b1)) = (spread(a), spread(b));
        println!("| {what} | {a:.0} ({a0:.0} to {a1:.0}) | {b:.0} ({b0:.0} to {b1:.0}) | {last} | {aim} |");
    };
    let (m, m0, m1) = spread(&mut medians);
    let (t, t0, t1) = spread(&mut tails);
    let last = format!("+{m:.0} ({m0:.0} to {m1:.0})");
    row(
        "warm extended query, median, us",
        &mut direct.0,
        &mut through.0,
        last,
        "+60",
    );
    let last = format!("+{t:.0} ({t0:.0} to {t1:.0})");
    row(
        "the same, 99th percentile, us",
        &mut direct.1,
        &mut through.1,
        last,
        "-",
    );
    let ratio = spread(&mut through_rate).0 / spread(&mut direct_rate).0;
    row(
        "units a second, 32 sessions",
        &mut direct_rate,
        &mut through_rate,
        format!("{ratio:.2}"),
        "30,000",
    );
    let (c, c0, c1) = spread(&mut cpu);
    println!("| of one core, at that rate | - | {c:.2} ({c0:.2} to {c1:.2}) | - | 1 |");
    println!("| bytes for each of {IDLE_SESSIONS} idle sessions | - | {each:.0} | - | 8,192 |");
    Ok(())
}
