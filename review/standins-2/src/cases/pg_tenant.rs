//! Foreign data: a setting that a session has taken back does not come back to it.

use std::sync::{Arc, Mutex};

use super::{stage, text};
use crate::pg::{Answer, Client, Engine, Plan, Store};
use crate::settings::{repeatable, Settings};
use crate::{Case, Outcome, Verdict};

const OWN: &str = "uni_selatan";
const OTHER: &str = "kolej_pantai";

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let store: Arc<Mutex<Store>> = Arc::default();
    let trouble = case.trouble;
    let behaviour = Arc::new(move |sql: &str| {
        if trouble && sql.contains("shared") {
            Plan::Fail
        } else {
            Plan::Answer(5.0)
        }
    });
    let mut engines = Vec::new();
    for name in ["e1", "e2", "e3", "e4", "e5", "e6"] {
        engines.push(Engine::start(record, name, &store, 0.0, behaviour.clone()).map_err(text)?);
    }
    let settings = Settings {
        kinds: &["std-8"],
        classes: vec![repeatable("lookup", 5_000, 1)],
        drain_grace_ms: 2_000,
        turn_gap_ms: 0,
    };
    let listed: Vec<(&str, &str, &str)> = engines
        .iter()
        .map(|engine| (engine.name.as_str(), engine.address.as_str(), "std-8"))
        .collect();
    let operator = r#"{postgres: {listen: 'LISTEN', engines: [{kinds: ['std-8']}],
        users: {portal: {trust: true, workload: 'lookup'}}}}"#;
    let stage = stage(case, &settings, &listed, 0.0, Some(operator))?;
    let mut client = Client::connect(record, "portal", &stage.sessions).map_err(text)?;
    let own_path = format!("SET search_path = {OWN}");
    // The portal of one member looks into what another one shares, and is ready for that to fail.
    client.query(&own_path);
    let first = client.query("SELECT owner FROM views");
    client.query("BEGIN");
    client.query("SAVEPOINT before_look");
    client.query(&format!("SET search_path = {OTHER}"));
    let shared = client.query("SELECT shared FROM views");
    if matches!(shared, Answer::Error(..)) {
        client.query("ROLLBACK TO SAVEPOINT before_look");
    } else {
        client.query(&own_path);
    }
    let within = client.query("SELECT owner FROM views");
    let committed = client.query("COMMIT");
    let last = client.query("SELECT owner FROM views");
    drop(stage);
    record.line(&format!(
        "own rows: {first:?} at first, {within:?} in the transaction, {last:?} after it"
    ));
    let own = Answer::Row(OWN.into());
    if first != own || within != own || committed != Answer::Complete("COMMIT".into()) {
        return Err("the session did not come to its last statement".into());
    }
    if last == own {
        return Ok(Verdict::Held("the session reads its own rows".into()));
    }
    Ok(Verdict::Broken(format!(
        "foreign data: the session of {OWN} got {last:?}"
    )))
}
