//! Crash: a front whose engine dies while a session has sent part of its next command goes on.

use std::sync::{Arc, Mutex};

use super::{stage, text};
use crate::pg::{message, Answer, Client, Engine, Plan, Store};
use crate::record::sleep_ms;
use crate::settings::{repeatable, Settings};
use crate::{Case, Outcome, Verdict};

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let store: Arc<Mutex<Store>> = Arc::default();
    let behaviour = Arc::new(|sql: &str| match sql.contains("slow") {
        true => Plan::Answer(4_000.0),
        false => Plan::Answer(5.0),
    });
    // Six engines, as kl-rakaman has at least; e5 and e6 are larger.
    let mut engines = Vec::new();
    for name in ["e1", "e2", "e3", "e4", "e5", "e6"] {
        engines.push(Engine::start(record, name, &store, 0.0, behaviour.clone()).map_err(text)?);
    }
    let settings = Settings {
        kinds: &["std-8", "std-16"],
        classes: vec![
            crate::settings::Class {
                kinds: &[0],
                ..repeatable("lookup", 5_000, 1)
            },
            crate::settings::Class {
                kinds: &[1],
                ..repeatable("report", 20_000, 2)
            },
        ],
        drain_grace_ms: 2_000,
        turn_gap_ms: 0,
    };
    let listed: Vec<(&str, &str, &str)> = engines
        .iter()
        .enumerate()
        .map(|(at, engine)| {
            let kind = if at < 4 { "std-8" } else { "std-16" };
            (engine.name.as_str(), engine.address.as_str(), kind)
        })
        .collect();
    let operator = r#"{postgres: {listen: 'LISTEN', engines: [{kinds: ['std-8', 'std-16']}],
        users: {portal: {trust: true, workload: 'lookup'}}}}"#;
    let mut stage = stage(case, &settings, &listed, 0.0, Some(operator))?;
    let mut client = Client::connect(record, "portal", &stage.sessions).map_err(text)?;
    // Another member's report is under way at the other engine.
    let (log, at) = (record.clone(), stage.sessions.clone());
    let report = std::thread::spawn(move || {
        Client::connect(&log, "report", &at)
            .map(|mut client| client.query("/*hallmux.workload='report'*/ SELECT slow FROM s_3.t"))
    });
    sleep_ms(300.0);
    // The session pipelines: it has the first answer, and has sent the start of what comes next.
    client.execute("SELECT a FROM s_3.t WHERE id = 1", false);
    let next = [
        b"\0".as_slice(),
        b"SELECT a FROM s_3.t WHERE id = 2",
        &[0, 0, 0],
    ]
    .concat();
    client.send(&message(b'P', &next)).map_err(text)?;
    record.line("client portal: sent Parse, and for the moment no more");
    sleep_ms(300.0);
    if case.trouble {
        // One engine of six dies: that which holds the session's unit.
        let held = store
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .parsed
            .first()
            .map(|(engine, ..)| engine.clone())
            .ok_or("the first text never reached an engine")?;
        engines
            .iter()
            .filter(|engine| engine.name == held)
            .for_each(Engine::die);
        client.read_answer(true);
    } else {
        client.send(&message(b'B', &[0; 8])).map_err(text)?;
        client.send(&message(b'E', &[0; 5])).map_err(text)?;
    }
    client.send(&message(b'S', &[])).map_err(text)?;
    record.line("client portal: sent Sync");
    client.read_answer(false);
    let answer = client.query("SELECT 1");
    sleep_ms(300.0);
    let ended = stage.front.ended();
    let report = report.join().map_err(|_| "the report's client failed")?;
    record.line(&format!("the report: {report:?}; the front: {ended:?}"));
    drop(stage);
    if let Some(how) = ended {
        return Ok(Verdict::Broken(format!(
            "crash: the front has ended ({how}); the other client's report: {report:?}"
        )));
    }
    match (answer, report) {
        (Answer::Complete(_), Ok(Answer::Complete(_))) => {
            Ok(Verdict::Held("the front goes on".into()))
        }
        other => Err(format!("{other:?}")),
    }
}
