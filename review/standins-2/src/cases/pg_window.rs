//! Repeats: a deduplicated unit of a PostgreSQL session is not sent again after the time for which
//! engines know a repeat.

use std::sync::{Arc, Mutex};

use super::{stage, text};
use crate::pg::{Client, Engine, Plan, Store};
use crate::record::sleep_ms;
use crate::settings::{repeatable, Class, Settings};
use crate::{Case, Outcome, Verdict};

const WINDOW_MS: f64 = 5_000.0;
/// How long the sessions that hold e2's connections think within their transactions.
const THINKS_MS: f64 = 8_000.0;
const SLACK_MS: f64 = 50.0;
const MARK: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let store: Arc<Mutex<Store>> = Arc::default();
    let trouble = case.trouble;
    let lossy = Arc::new(move |sql: &str| match sql.contains("log-load") {
        true if trouble => Plan::RunAndReset(4_000.0),
        true => Plan::Answer(4_000.0),
        false => Plan::Answer(5.0),
    });
    let sound = Arc::new(|sql: &str| match sql.contains("log-load") {
        true => Plan::Answer(300.0),
        false => Plan::Answer(5.0),
    });
    let e1 = Engine::start(record, "e1", &store, WINDOW_MS, lossy).map_err(text)?;
    let e2 = Engine::start(record, "e2", &store, WINDOW_MS, sound).map_err(text)?;
    let settings = Settings {
        kinds: &["std-8", "std-16"],
        classes: vec![
            repeatable("lookup", 5_000, 1),
            Class {
                kinds: &[1],
                ..repeatable("report", 20_000, 2)
            },
            Class {
                repeat: "by_key",
                dedup_window_ms: WINDOW_MS as u32,
                ..repeatable("log-load", 20_000, 2)
            },
        ],
        drain_grace_ms: 2_000,
        turn_gap_ms: 0,
    };
    let listed = [
        ("e1", e1.address.as_str(), "std-8"),
        ("e2", e2.address.as_str(), "std-16"),
    ];
    let operator = r#"{postgres: {listen: 'LISTEN', engines: [{kinds: ['std-8', 'std-16']}],
        users: {portal: {trust: true, workload: 'lookup'}}, limits: {engine_connections: 2}}}"#;
    let stage = stage(case, &settings, &listed, 0.0, Some(operator))?;
    // Two sessions read e2 in a transaction each, and think for a while before they end it.
    let mut readers = Vec::new();
    for number in 0..2 {
        let (log, at) = (record.clone(), stage.sessions.clone());
        readers.push(std::thread::spawn(move || {
            let mut client = Client::connect(&log, &format!("reader {number}"), &at).ok()?;
            client.query("/*hallmux.workload='report'*/ BEGIN");
            client.query("/*hallmux.workload='report'*/ SELECT a FROM s_3.t");
            sleep_ms(THINKS_MS);
            client.query("/*hallmux.workload='report'*/ COMMIT");
            Some(())
        }));
    }
    sleep_ms(500.0);
    let mut loads = Client::connect(record, "loads", &stage.sessions).map_err(text)?;
    loads.query(&format!(
        "/*hallmux.workload='log-load',hallmux.dedup_key='{MARK}'*/ INSERT INTO logs_7.views VALUES (1)"
    ));
    for reader in readers {
        let _ = reader.join();
    }
    drop(stage);

    let store = store.lock().unwrap_or_else(|e| e.into_inner());
    let Some((engine, _, first)) = store.marked.first().cloned() else {
        return Err("the load never reached an engine".into());
    };
    if engine != "e1" {
        return Err("the load went to the engine with the transactions first".into());
    }
    let effects = store.effects.len();
    record.line(&format!("the load has taken effect {effects} times"));
    let late: Vec<String> = store
        .marked
        .iter()
        .skip(1)
        .filter(|(_, _, at)| at - first > WINDOW_MS + SLACK_MS)
        .map(|(engine, _, at)| format!("{engine} after {:.0} ms", at - first))
        .collect();
    if late.is_empty() {
        return Ok(Verdict::Held(format!("taken effect {effects} times")));
    }
    Ok(Verdict::Broken(format!(
        "repeats: sent again to {}, the window is {WINDOW_MS} ms; it has taken effect {effects} times",
        late.join(", ")
    )))
}
