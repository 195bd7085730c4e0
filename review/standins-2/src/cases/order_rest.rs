//! Order of a key: after a reset the key rests, also where other keys come and go meanwhile.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use super::{stage, statement_id, text};
use crate::lines::{Engine, Plan, Run, Runs};
use crate::record::sleep_ms;
use crate::settings::{repeatable, Class, Settings};
use crate::thrift::{Answer, Client};
use crate::{Case, Outcome, Verdict};

const ROUNDS: usize = 6;
/// The rest that the settings name, less the slack of the protocol page.
const LEAST_REST_MS: f64 = 300.0 - 50.0;

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let runs = Runs::default();
    let resets: Arc<Mutex<HashSet<String>>> = Arc::default();
    let to_reset = resets.clone();
    let behaviour = Arc::new(move |want: &crate::lines::Want| {
        let resets = to_reset.lock().unwrap_or_else(|e| e.into_inner());
        match want.class.as_str() {
            "payout-load" if resets.contains(&want.id) => Plan::Reset {
                after: 160.0,
                runs_on: 200.0,
            },
            "payout-load" => Plan::Answer(20.0),
            _ => Plan::Answer(5.0),
        }
    });
    let mut engines = Vec::new();
    for name in ["e1", "e2"] {
        let quiet = ["status-check"];
        engines.push(Engine::start(record, name, &runs, &quiet, behaviour.clone()).map_err(text)?);
    }
    let settings = Settings {
        kinds: &["std-8core"],
        classes: vec![
            repeatable("status-check", 5_000, 1),
            Class {
                repeat: "once",
                in_turn: true,
                threads: 2,
                ..repeatable("payout-load", 20_000, 2)
            },
        ],
        drain_grace_ms: 1_000,
        turn_gap_ms: 300,
    };
    let listed: Vec<(&str, &str, &str)> = engines
        .iter()
        .map(|engine| (engine.name.as_str(), engine.address.as_str(), "std-8core"))
        .collect();
    let stage = stage(case, &settings, &listed, 0.0, None)?;

    // Other traffic: 50 quick statements a second.
    let ended = Arc::new(AtomicBool::new(false));
    let (stop, log, listen) = (ended.clone(), record.clone(), stage.listen.clone());
    let others = std::thread::spawn(move || {
        let Ok(mut client) = Client::connect(&log, "others", &listen) else {
            return;
        };
        let mut open = Vec::new();
        for number in 0..2_000 {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let id = statement_id(0xaaaa, number);
            open.push(client.serve(&id, "status-check", 5_000, &[], "select a from s_3.t", true));
            sleep_ms(20.0);
        }
    });

    // Each key has a client process of its own, as have the other partners.
    let mut loads = Client::connect(record, "loads", &stage.listen).map_err(text)?;
    let mut partners = Client::connect(record, "partners", &stage.listen).map_err(text)?;
    sleep_ms(500.0);
    let body = "insert into ledger_7.payouts values (1)";
    for round in 0..ROUNDS {
        let key = format!("partner-{round}");
        let other = format!("another-{round}");
        let id = |number: u32| statement_id(0xbbb0 + number, round);
        let item = [("item", key.as_str())];
        let first = loads.serve(&id(1), "payout-load", 20_000, &item, body, false);
        let answer = first.wait(10_000.0);
        record.line(&format!("the first load of {key}: {answer:?}"));
        sleep_ms(130.0);
        if case.trouble {
            resets
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .insert(id(2));
        }
        let second = loads.serve(&id(2), "payout-load", 20_000, &item, body, false);
        sleep_ms(230.0);
        // Another partner's load: another key.
        let item_other = [("item", other.as_str())];
        let between = partners.serve(&id(3), "payout-load", 20_000, &item_other, body, false);
        sleep_ms(60.0);
        let third = loads.serve(&id(4), "payout-load", 20_000, &item, body, false);
        for (open, what) in [
            (&second, "the second load"),
            (&between, "the other key's load"),
            (&third, "the third load"),
        ] {
            let answer = open.wait(10_000.0);
            record.line(&format!("{what} of {key}: {answer:?}"));
            if answer == Answer::None {
                return Err(format!("{what} got no answer"));
            }
        }
        sleep_ms(1_200.0);
    }
    ended.store(true, Ordering::Relaxed);
    let _ = others.join();

    let runs = runs.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let of = |id: String| -> Option<Run> { runs.iter().find(|run| run.want.id == id).cloned() };
    let mut short = Vec::new();
    let mut swapped = 0;
    let mut judged = 0;
    for round in 0..ROUNDS {
        let (Some(second), Some(third)) = (
            of(statement_id(0xbbb2, round)),
            of(statement_id(0xbbb4, round)),
        ) else {
            record.line(&format!("round {round}: a load never reached an engine"));
            continue;
        };
        judged += 1;
        let Some(ended) = second.to.filter(|_| second.was_reset) else {
            continue;
        };
        let rest = third.from - ended;
        record.line(&format!(
            "round {round}: the third load was sent {rest:.1} ms after the reset of the second"
        ));
        if rest < LEAST_REST_MS {
            short.push(format!("{rest:.0} ms"));
        }
        if third.applied < second.applied {
            swapped += 1;
        }
    }
    if judged == 0 {
        return Err("no round could be judged".into());
    }
    if short.is_empty() {
        return Ok(Verdict::Held(format!("{judged} rounds")));
    }
    Ok(Verdict::Broken(format!(
        "order: in {} of {judged} rounds a key rested less than 300 ms after a reset: {}; in {swapped} of them its loads were applied in the wrong order",
        short.len(),
        short.join(", ")
    )))
}
