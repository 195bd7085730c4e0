//! Repeats: a label that a unit takes back at its beginning does not hold for what the unit runs.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use super::{stage, text};
use crate::pg::{Client, Engine, Plan, Store};
use crate::settings::{repeatable, Class, Settings};
use crate::{Case, Outcome, Verdict};

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let store: Arc<Mutex<Store>> = Arc::default();
    let (trouble, seen) = (case.trouble, AtomicUsize::new(0));
    let behaviour = Arc::new(move |sql: &str| {
        let first = sql.contains("INSERT") && seen.fetch_add(1, Ordering::Relaxed) == 0;
        if trouble && first {
            Plan::RunAndReset(200.0)
        } else {
            Plan::Answer(10.0)
        }
    });
    let e1 = Engine::start(record, "e1", &store, 0.0, behaviour.clone()).map_err(text)?;
    let e2 = Engine::start(record, "e2", &store, 0.0, behaviour).map_err(text)?;
    let settings = Settings {
        kinds: &["std-8core"],
        classes: vec![
            Class {
                repeat: "once",
                ..repeatable("payout-load", 20_000, 2)
            },
            repeatable("status-check", 5_000, 1),
        ],
        drain_grace_ms: 1_000,
        turn_gap_ms: 0,
    };
    let listed = [
        ("e1", e1.address.as_str(), "std-8core"),
        ("e2", e2.address.as_str(), "std-8core"),
    ];
    let operator = r#"{postgres: {listen: 'LISTEN', engines: [{kinds: ['std-8core']}],
        users: {portal: {trust: true, workload: 'payout-load'}}}}"#;
    let stage = stage(case, &settings, &listed, 0.0, Some(operator))?;
    let mut client = Client::connect(record, "desk", &stage.sessions).map_err(text)?;
    client.query("SET hallmux.workload = 'status-check'");
    for _ in 0..4 {
        client.query("SELECT a FROM s_3.t");
    }
    let answer =
        client.query("RESET hallmux.workload; INSERT INTO payout_7.entries VALUES ('file-1')");
    drop(stage);
    let effects = store
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .effects
        .len();
    record.line(&format!(
        "{answer:?}; the payout has taken effect {effects} times"
    ));
    if effects > 1 {
        return Ok(Verdict::Broken(format!(
            "repeats: a payout sent once has taken effect {effects} times"
        )));
    }
    Ok(Verdict::Held(format!("{answer:?}, effects: {effects}")))
}
