//! Repeats: a unit that has taken effect is not told as rolled back.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use super::{stage, text};
use crate::pg::{Answer, Client, Engine, Plan, Store};
use crate::settings::{repeatable, Class, Settings};
use crate::{Case, Outcome, Verdict};

const UNIT: &str = "ROLLBACK; UPDATE jobs SET failures = failures + 1 WHERE id = 7";

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let store: Arc<Mutex<Store>> = Arc::default();
    let (trouble, seen) = (case.trouble, AtomicUsize::new(0));
    let behaviour = Arc::new(move |sql: &str| {
        let first = sql.starts_with("ROLLBACK;") && seen.fetch_add(1, Ordering::Relaxed) == 0;
        if trouble && first {
            Plan::RunAndReset(50.0)
        } else {
            Plan::Answer(10.0)
        }
    });
    let e1 = Engine::start(record, "e1", &store, 0.0, behaviour.clone()).map_err(text)?;
    let e2 = Engine::start(record, "e2", &store, 0.0, behaviour).map_err(text)?;
    let settings = Settings {
        kinds: &["std-8"],
        classes: vec![Class {
            repeat: "once",
            ..repeatable("log-load", 20_000, 2)
        }],
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
    for sql in ["BEGIN", "UPDATE jobs SET state = 'running' WHERE id = 7"] {
        if !matches!(client.query(sql), Answer::Complete(_)) {
            return Err(format!("{sql} was not served"));
        }
    }
    // The client gives its transaction up and notes the failure.
    let answer = client.query(UNIT);
    let before = store
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .effects
        .len();
    let told_harmless =
        matches!(&answer, Answer::Error(code, _) if code == "40001" || code == "53000");
    if told_harmless {
        // It was told that nothing has happened, and to run this again.
        client.query(UNIT);
    }
    drop(stage);
    let effects = store
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .effects
        .len();
    record.line(&format!(
        "answer {answer:?}; lasting effects when it came: {before}, at the end: {effects}"
    ));
    if told_harmless && before > 0 {
        return Ok(Verdict::Broken(format!(
            "repeats: {answer:?} for a unit that had taken effect; tried again, it took effect {effects} times"
        )));
    }
    Ok(Verdict::Held(format!("{answer:?}, effects: {effects}")))
}
