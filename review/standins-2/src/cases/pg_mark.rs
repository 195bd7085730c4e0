//! Repeats: the mark that a session sets for its deduplicated statements reaches the engines.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use super::{stage, text};
use crate::pg::{Client, Engine, Plan, Store};
use crate::settings::{repeatable, Class, Settings};
use crate::{Case, Outcome, Verdict};

const MARK: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

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
    let e1 = Engine::start(record, "e1", &store, 12_000.0, behaviour.clone()).map_err(text)?;
    let e2 = Engine::start(record, "e2", &store, 12_000.0, behaviour).map_err(text)?;
    let settings = Settings {
        kinds: &["std-8"],
        classes: vec![
            Class {
                repeat: "by_key",
                dedup_window_ms: 12_000,
                ..repeatable("log-load", 20_000, 2)
            },
            repeatable("lookup", 5_000, 1),
        ],
        drain_grace_ms: 2_000,
        turn_gap_ms: 0,
    };
    let listed = [
        ("e1", e1.address.as_str(), "std-8"),
        ("e2", e2.address.as_str(), "std-8"),
    ];
    let operator = r#"{postgres: {listen: 'LISTEN', engines: [{kinds: ['std-8']}],
        users: {portal: {trust: true, workload: 'log-load'}}}}"#;
    let stage = stage(case, &settings, &listed, 0.0, Some(operator))?;
    let mut client = Client::connect(record, "loads", &stage.sessions).map_err(text)?;
    // Other statements, all answered: one answer in six is lost.
    for _ in 0..4 {
        client.query("/*hallmux.workload='lookup'*/ SELECT a FROM s_3.t");
    }
    client.query(&format!("SET hallmux.dedup_key = '{MARK}'"));
    let answer = client.query("INSERT INTO logs_7.views VALUES (1)");
    drop(stage);
    let effects = store
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .effects
        .len();
    record.line(&format!(
        "{answer:?}; the load has taken effect {effects} times"
    ));
    if effects > 1 {
        return Ok(Verdict::Broken(format!(
            "repeats: a load sent once has taken effect {effects} times"
        )));
    }
    Ok(Verdict::Held(format!("{answer:?}, effects: {effects}")))
}
