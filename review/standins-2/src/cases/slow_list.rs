//! Drains: a coordinator that is slow, yet tells everything, must be heard.

use std::sync::Arc;

use super::{stage, statement_id, text};
use crate::coordinator::{entry, list};
use crate::lines::{Engine, Plan, Runs};
use crate::record::sleep_ms;
use crate::settings::{repeatable, Settings};
use crate::thrift::Client;
use crate::{Case, Outcome, Verdict};

/// How late each answer of the coordinator leaves.
const SLOW_MS: f64 = 1_900.0;
/// From when on the event counts as told, whether it arrived or not.
const TOLD_MS: f64 = 7_000.0;
const GRACE_MS: f64 = 1_000.0;
const SLACK_MS: f64 = 50.0;

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let runs = Runs::default();
    let behaviour = Arc::new(|_: &crate::lines::Want| Plan::Answer(10.0));
    let mut engines = Vec::new();
    for name in ["e1", "e2", "e3"] {
        let quiet = ["status-check"];
        engines.push(Engine::start(record, name, &runs, &quiet, behaviour.clone()).map_err(text)?);
    }
    let settings = Settings {
        kinds: &["std-8core"],
        classes: vec![repeatable("status-check", 5_000, 1)],
        drain_grace_ms: 1_000,
        turn_gap_ms: 0,
    };
    let listed: Vec<(&str, &str, &str)> = engines
        .iter()
        .map(|engine| (engine.name.as_str(), engine.address.as_str(), "std-8core"))
        .collect();
    let slow = if case.trouble { SLOW_MS } else { 0.0 };
    let stage = stage(case, &settings, &listed, slow, None)?;
    let mut client = Client::connect(record, "c", &stage.listen).map_err(text)?;
    let (mut open, mut number) = (Vec::new(), 0);
    let mut traffic = |ms: f64, client: &mut Client| {
        let until = record.now() + ms;
        while record.now() < until {
            let id = statement_id(0xeee0, number);
            number += 1;
            open.push(client.serve(&id, "status-check", 5_000, &[], "select a from s_3.t", true));
            sleep_ms(25.0);
        }
    };
    traffic(2_000.0, &mut client);
    let draining = entry("e1", &engines[0].address, "std-8core", "draining");
    let told = stage.coordinator.tell(&list(2, false, &[draining]));
    traffic(TOLD_MS + GRACE_MS + 5_000.0, &mut client);
    drop(stage);

    let runs = runs.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let at = |engine: &str| -> Vec<f64> {
        runs.iter()
            .filter(|run| run.engine == engine)
            .map(|run| run.from)
            .collect()
    };
    for engine in ["e1", "e2", "e3"] {
        let times = at(engine);
        record.line(&format!(
            "engine {engine} got {} statements, the last at {:.1} ms",
            times.len(),
            times.iter().copied().fold(0.0, f64::max)
        ));
    }
    if at("e1").iter().all(|at| *at > told) {
        return Err("engine e1 got nothing before it began to drain".into());
    }
    let late: Vec<f64> = at("e1")
        .into_iter()
        .map(|at| at - told)
        .filter(|since| *since > TOLD_MS + GRACE_MS + SLACK_MS)
        .collect();
    if late.is_empty() {
        return Ok(Verdict::Held(
            "nothing late reached the draining engine".into(),
        ));
    }
    Ok(Verdict::Broken(format!(
        "drain: {} statements reached the draining engine more than {} ms after the coordinator had the event, the last {:.0} ms after it",
        late.len(),
        TOLD_MS + GRACE_MS + SLACK_MS,
        late.iter().copied().fold(0.0, f64::max)
    )))
}
