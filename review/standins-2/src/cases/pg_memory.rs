//! Memory: clients that write slowly must not have the front killed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use super::{stage, text};
use crate::pg::{message, Answer, Client, Engine, Plan, Store};
use crate::record::sleep_ms;
use crate::settings::{repeatable, Settings};
use crate::{Case, Outcome, Verdict};

const SESSIONS: usize = 300;
/// A statement that loads many rows: under the 1 MiB that a session may send at once.
const STATEMENT_BYTES: usize = 980_000;
const PIECES: usize = 30;
const LIMIT_MB: f64 = 192.0;

/// Megabytes of memory of its own that a process has: anonymous pages alone.
fn memory_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1024.0)
}

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let store: Arc<Mutex<Store>> = Arc::default();
    let slow = Arc::new(|sql: &str| match sql.contains("slow") {
        true => Plan::Answer(12_000.0),
        false => Plan::Answer(5.0),
    });
    let e1 = Engine::start(record, "e1", &store, 0.0, slow).map_err(text)?;
    let settings = Settings {
        kinds: &["std-8"],
        classes: vec![repeatable("report", 20_000, 1)],
        drain_grace_ms: 2_000,
        turn_gap_ms: 0,
    };
    let listed = [("e1", e1.address.as_str(), "std-8")];
    let operator = r#"{postgres: {listen: 'LISTEN', engines: [{kinds: ['std-8']}],
        users: {portal: {trust: true, workload: 'report'}}}}"#;
    let stage = stage(case, &settings, &listed, 0.0, Some(operator))?;
    let pid = stage.front.pid();
    let (log, at) = (record.clone(), stage.sessions.clone());
    let report = std::thread::spawn(move || {
        Client::connect(&log, "report", &at)
            .map(|mut client| client.query("SELECT slow FROM s_3.t"))
    });
    sleep_ms(500.0);
    record.line(&format!("memory: {:?} MB", memory_mb(pid)));
    let text_of = |number: usize| {
        let row = "x".repeat(STATEMENT_BYTES);
        format!("INSERT INTO logs_7.views VALUES ({number}, '{row}')\0")
    };
    let messages: Vec<Vec<u8>> = (0..SESSIONS)
        .map(|number| message(b'Q', text_of(number).as_bytes()))
        .collect();
    let mut clients = Vec::new();
    for number in 0..SESSIONS {
        let name = format!("portal {number}");
        clients.push(Client::connect(record, &name, &stage.sessions).map_err(text)?);
    }
    record.line(&format!(
        "{SESSIONS} sessions are open; memory: {:?} MB",
        memory_mb(pid)
    ));
    let ended = Arc::new(AtomicBool::new(false));
    let (stop, log) = (ended.clone(), record.clone());
    let trouble = case.trouble;
    let writing = std::thread::spawn(move || {
        if trouble {
            // All write slowly: a piece each in turn, some 130 KB a second each.
            for piece in 0..PIECES {
                for (client, message) in clients.iter_mut().zip(&messages) {
                    let from = message.len() * piece / PIECES;
                    let to = message.len() * (piece + 1) / PIECES;
                    let _ = client.send(&message[from..to]);
                }
                log.line(&format!(
                    "{} of {PIECES} pieces of each are written",
                    piece + 1
                ));
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                sleep_ms(250.0);
            }
        } else {
            for (client, message) in clients.iter_mut().zip(&messages) {
                let _ = client.send(message);
                sleep_ms(10.0);
            }
            log.line("all is written");
        }
        clients
    });
    let mut most: f64 = 0.0;
    let mut killed = false;
    for _ in 0..150 {
        let Some(memory) = memory_mb(pid) else { break };
        most = most.max(memory);
        if memory > LIMIT_MB {
            // What the platform does over the limit.
            record.line(&format!(
                "memory: {memory:.0} MB, over {LIMIT_MB} MB: killed"
            ));
            stage.front.signal("KILL");
            killed = true;
            break;
        }
        sleep_ms(100.0);
    }
    ended.store(true, Ordering::Relaxed);
    let _clients = writing.join();
    let answer = report.join().map_err(|_| "the report's client failed")?;
    record.line(&format!(
        "memory: {most:.0} MB at most; the report: {answer:?}"
    ));
    drop(stage);
    if killed {
        return Ok(Verdict::Broken(format!(
            "crash: {most:.0} MB held, the limit is {LIMIT_MB} MB; the report in flight: {answer:?}"
        )));
    }
    match answer {
        Ok(Answer::Complete(_)) => Ok(Verdict::Held(format!("{most:.0} MB at most"))),
        other => Err(format!("the report: {other:?}")),
    }
}
