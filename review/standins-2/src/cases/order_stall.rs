//! Order of a key: loads that came while the front stood still run in the order in which they came.

use std::sync::Arc;

use super::{stage, statement_id, text};
use crate::lines::{Engine, Plan, Runs};
use crate::record::sleep_ms;
use crate::settings::{repeatable, Class, Settings};
use crate::thrift::{Answer, Client};
use crate::{Case, Outcome, Verdict};

const ROUNDS: usize = 5;

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let runs = Runs::default();
    let behaviour = Arc::new(|want: &crate::lines::Want| match want.class.as_str() {
        "log-load" => Plan::Answer(150.0),
        _ => Plan::Answer(5.0),
    });
    let mut engines = Vec::new();
    for name in ["e1", "e2"] {
        engines.push(Engine::start(record, name, &runs, &[], behaviour.clone()).map_err(text)?);
    }
    let settings = Settings {
        kinds: &["std-8"],
        classes: vec![
            repeatable("lookup", 5_000, 1),
            Class {
                repeat: "by_key",
                dedup_window_ms: 12_000,
                in_turn: true,
                ..repeatable("log-load", 20_000, 2)
            },
        ],
        drain_grace_ms: 2_000,
        turn_gap_ms: 0,
    };
    let listed: Vec<(&str, &str, &str)> = engines
        .iter()
        .map(|engine| (engine.name.as_str(), engine.address.as_str(), "std-8"))
        .collect();
    let stage = stage(case, &settings, &listed, 0.0, None)?;
    let mut one = Client::connect(record, "one", &stage.listen).map_err(text)?;
    let mut two = Client::connect(record, "two", &stage.listen).map_err(text)?;
    let body = "insert into logs_7.views values (1)";
    // Both connections have been used before.
    for (client, number) in [(&mut one, 1), (&mut two, 2)] {
        let id = statement_id(0xccc0, number);
        let open = client.serve(&id, "lookup", 5_000, &[], "select a from s_3.t", false);
        if !matches!(open.wait(5_000.0), Answer::Served(_)) {
            return Err("a first lookup was not served".into());
        }
    }
    sleep_ms(500.0);
    for round in 0..ROUNDS {
        let id = |number: u32| statement_id(0xddd0 + number, round);
        let key = format!("university-{round}");
        if case.trouble {
            stage.front.signal("STOP");
        }
        sleep_ms(50.0);
        let lookup = one.serve(&id(1), "lookup", 5_000, &[], "select a from s_3.t", false);
        sleep_ms(100.0);
        let unique = [
            format!("{round:016x}00000001"),
            format!("{round:016x}00000002"),
        ];
        let fields = [("item", key.as_str()), ("unique", unique[0].as_str())];
        let first = two.serve(&id(2), "log-load", 20_000, &fields, body, false);
        sleep_ms(150.0);
        let fields = [("item", key.as_str()), ("unique", unique[1].as_str())];
        let second = one.serve(&id(3), "log-load", 20_000, &fields, body, false);
        sleep_ms(300.0);
        if case.trouble {
            stage.front.signal("CONT");
        }
        for (open, what) in [
            (&lookup, "the lookup"),
            (&first, "the first load"),
            (&second, "the second load"),
        ] {
            let answer = open.wait(10_000.0);
            record.line(&format!("{what} of {key}: {answer:?}"));
            if answer == Answer::None {
                return Err(format!("{what} got no answer"));
            }
        }
        sleep_ms(2_000.0);
    }

    let runs = runs.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let of = |id: String| runs.iter().find(|run| run.want.id == id);
    let mut wrong = Vec::new();
    let mut judged = 0;
    for round in 0..ROUNDS {
        let first = of(statement_id(0xddd2, round));
        let second = of(statement_id(0xddd3, round));
        let (Some(first), Some(second)) = (first, second) else {
            record.line(&format!("round {round}: a load never reached an engine"));
            continue;
        };
        judged += 1;
        if second.from < first.to.unwrap_or(f64::MAX) {
            let line = format!(
                "round {round}: the load that came second was sent at {:.1} ms, the first at {:.1} ms",
                second.from, first.from
            );
            record.line(&line);
            wrong.push(round);
        }
    }
    if judged == 0 {
        return Err("no round could be judged".into());
    }
    if wrong.is_empty() {
        return Ok(Verdict::Held(format!("{judged} rounds")));
    }
    Ok(Verdict::Broken(format!(
        "order: in {} of {judged} rounds two loads of one key ran against the order in which they came",
        wrong.len()
    )))
}
