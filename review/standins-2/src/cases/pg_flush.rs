//! Drains: what a session sends behind a Flush does not go to an engine that drains.

use std::sync::{Arc, Mutex};

use super::{stage, text};
use crate::coordinator::{entry, list};
use crate::pg::{Client, Engine, Plan, Store};
use crate::record::sleep_ms;
use crate::settings::{repeatable, Settings};
use crate::{Case, Outcome, Verdict};

/// From when on the event counts as told, whether it arrived or not.
const TOLD_MS: f64 = 7_000.0;
const GRACE_MS: f64 = 2_000.0;
const SLACK_MS: f64 = 50.0;

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let store: Arc<Mutex<Store>> = Arc::default();
    let behaviour = Arc::new(|_: &str| Plan::Answer(5.0));
    let e1 = Engine::start(record, "e1", &store, 0.0, behaviour.clone()).map_err(text)?;
    let e2 = Engine::start(record, "e2", &store, 0.0, behaviour).map_err(text)?;
    let settings = Settings {
        kinds: &["std-8"],
        classes: vec![repeatable("report", 20_000, 2)],
        drain_grace_ms: 2_000,
        turn_gap_ms: 0,
    };
    let listed = [
        ("e1", e1.address.as_str(), "std-8"),
        ("e2", e2.address.as_str(), "std-8"),
    ];
    let operator = r#"{postgres: {listen: 'LISTEN', engines: [{kinds: ['std-8']}],
        users: {portal: {trust: true, workload: 'report'}}}}"#;
    let stage = stage(case, &settings, &listed, 0.0, Some(operator))?;
    let mut client = Client::connect(record, "portal", &stage.sessions).map_err(text)?;
    client.execute("SELECT a FROM s_3.t", false);
    let at = store
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .parsed
        .first()
        .map(|(engine, ..)| engine.clone())
        .ok_or("the first text never reached an engine")?;
    let told = if case.trouble {
        let address = if at == "e1" { &e1.address } else { &e2.address };
        let draining = entry(&at, address, "std-8", "draining");
        stage.coordinator.tell(&list(2, false, &[draining]))
    } else {
        record.now()
    };
    sleep_ms(TOLD_MS + GRACE_MS + 1_000.0);
    client.execute("SELECT b FROM s_3.u", false);
    client.execute("SELECT c FROM s_3.v", true);
    drop(stage);

    let store = store.lock().unwrap_or_else(|e| e.into_inner());
    let late: Vec<String> = store
        .parsed
        .iter()
        .filter(|(engine, _, when)| *engine == at && when - told > TOLD_MS + GRACE_MS + SLACK_MS)
        .map(|(_, sql, when)| format!("'{sql}' after {:.0} ms", when - told))
        .collect();
    record.line(&format!("new at {at} late: {late:?}"));
    if late.is_empty() || !case.trouble {
        return Ok(Verdict::Held(
            "nothing new reached a draining engine late".into(),
        ));
    }
    Ok(Verdict::Broken(format!(
        "drain: new texts reached {at}, which drains: {}",
        late.join(", ")
    )))
}
