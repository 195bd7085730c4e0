//! Engines that drain, die, hang, reject, or are replaced.

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

use super::stage::{ask, read_answer, run, stage, stage_with_config, wait_until, LIMITS};
use crate::engine::EngineEventKind;

#[test]
fn an_engine_drains_while_a_portal_holds_an_open_transaction() {
    for first in ["fetch", "COMMIT", "ROLLBACK"] {
        let stage = stage(2, LIMITS);
        let mut s = stage.open();
        assert_eq!(ask(&mut s, "BEGIN").2, 'T');
        s.parse("", "select run($1)");
        s.bind("c", "", "id=p,rows=6");
        s.execute("c", 2);
        s.sync();
        s.send().unwrap();
        assert_eq!(read_answer(&mut s), ("12DDsZ".into(), String::new(), 'T'));
        let holder = stage.holder("p");
        stage.set_engine_state(holder, "draining");
        wait_until("the connections to the engine are closed", || {
            stage.engines[holder].connections() == 0
        });
        let before = stage.engine_events().len();
        if first == "fetch" {
            s.execute("c", 2);
            s.sync();
            s.send().unwrap();
            assert_eq!(read_answer(&mut s), ("EZ".into(), "40001".into(), 'E'));
            assert_eq!(
                ask(&mut s, &run("x", "")),
                ("EZ".into(), "25P02".into(), 'E')
            );
            assert_eq!(ask(&mut s, "COMMIT"), ("CZ".into(), String::new(), 'I'));
        } else if first == "COMMIT" {
            // The commit has not taken effect and must not seem to.
            assert_eq!(ask(&mut s, "COMMIT"), ("EZ".into(), "40001".into(), 'I'));
        } else {
            assert_eq!(ask(&mut s, "ROLLBACK"), ("CZ".into(), String::new(), 'I'));
        }
        assert_eq!(stage.engine_events().len(), before);
        assert_eq!(ask(&mut s, &run("after", "")).0, "TDCZ");
        assert_ne!(stage.holder("after"), holder);
        assert!(!stage.kept("p"));
    }
}

#[test]
fn an_engine_dies_during_commit() {
    // The commit is lost after it took effect, and before.
    for (lost, kept) in [(1, true), (2, false)] {
        let stage = stage(1, LIMITS);
        let mut s = stage.open();
        ask(&mut s, "BEGIN");
        assert_eq!(ask(&mut s, &run("a", "")).2, 'T');
        stage.engines[0].faults.lost_commits.store(lost, SeqCst);
        assert_eq!(ask(&mut s, "COMMIT"), ("EZ".into(), "08007".into(), 'I'));
        assert_eq!((stage.kept("a"), stage.began("a").len()), (kept, 1));
        assert_eq!(
            stage.engines[0].faults.played.load(SeqCst),
            1,
            "the commit is sent once"
        );
        stage.engines[0].faults.lost_commits.store(0, SeqCst);
        assert_eq!(ask(&mut s, &run("b", "")).0, "TDCZ");
    }
}

#[test]
fn a_new_engine_rejects_preparing_a_statement_again() {
    let stage = stage(2, LIMITS);
    let mut s = stage.open();
    s.prepare("s", "select run($1)").unwrap();
    s.ask("s", "id=a,rows=1").unwrap();
    let (holder, other) = (stage.holder("a"), 1 - stage.holder("a"));
    stage.set_engine_state(holder, "draining");
    wait_until("the connections to the engine are closed", || {
        stage.engines[holder].connections() == 0
    });
    stage.engines[other].faults.refused_parses.store(1, SeqCst);
    s.bind("", "s", "id=b,rows=1");
    s.execute("", 0);
    s.sync();
    s.send().unwrap();
    assert_eq!(read_answer(&mut s), ("EZ".into(), "42P01".into(), 'I'));
    s.ask("s", "id=c,rows=1").unwrap();
    assert_eq!((stage.began("b").len(), stage.began("c").len()), (0, 1));
}

#[test]
fn a_long_statement_is_waited_for_and_a_hung_engine_is_not() {
    let stage = stage(2, LIMITS);
    let mut s = stage.open();
    // Nothing else is in flight, and the duration of such statements is unknown.
    let long = format!("/*hallmux.workload='pay'*/ {}", run("long", ",ms=2500"));
    assert_eq!(ask(&mut s, &long).0, "TDCZ");
    assert_eq!(stage.began("long").len(), 1);
    ask(&mut s, &run("quick", ""));
    let hung = &stage.engines[stage.holder("quick")];
    hung.faults
        .stalled_until
        .store((stage.records.now() + 30_000_000) as u64, SeqCst);
    // Some of these are sent to the hung engine; each is retried elsewhere, long before its
    // deadline.
    for n in 0..6 {
        let since = Instant::now();
        assert_eq!(ask(&mut s, &run(&format!("h{n}"), "")).0, "TDCZ");
        assert!(
            since.elapsed() < Duration::from_secs(6),
            "{:?}",
            since.elapsed()
        );
    }
}

#[test]
fn statements_evicted_from_a_connection_are_prepared_again() {
    let stage = stage(1, "prepared: 2, engine_connections: 1");
    let mut s = stage.open();
    for n in 0..5 {
        s.prepare(&format!("s{n}"), &format!("select run($1) /* {n} */"))
            .unwrap();
    }
    for n in (0..20).map(|n| n * 3 % 5) {
        s.ask(&format!("s{n}"), &format!("id=x{n},rows=1")).unwrap();
    }
    // All in one unit, once without and once with a failure in the middle.
    for fails in ["", "23505"] {
        for n in 0..5 {
            let fail = if n == 2 { fails } else { "" };
            s.bind("", &format!("s{n}"), &format!("id=y{n},rows=1,fail={fail}"));
            s.execute("", 0);
        }
        s.sync();
        s.send().unwrap();
        assert_eq!(read_answer(&mut s).1, fails);
    }
    for n in 0..5 {
        s.ask(&format!("s{n}"), "id=z,rows=1").unwrap();
    }
}

#[test]
fn settings_apply_to_their_session_only() {
    let stage = stage(1, "engine_connections: 1");
    let (mut a, mut b) = (stage.open(), stage.open());
    assert_eq!(ask(&mut a, "SET search_path = one").0, "CZ");
    assert_eq!(ask(&mut a, "BEGIN; SET work_mem = 1; ROLLBACK").2, 'I');
    for n in 0..2 {
        ask(&mut a, &run(&format!("a{n}"), ""));
        ask(&mut b, &run(&format!("b{n}"), ""));
    }
    let recorded: Vec<String> = stage
        .engine_events()
        .into_iter()
        .filter_map(|(_, _, kind)| match kind {
            EngineEventKind::Began { id, .. } => Some(id),
            EngineEventKind::Control { text } => Some(text),
            _ => None,
        })
        .skip_while(|text| text != "ROLLBACK")
        .skip(1)
        .collect();
    let (set, reset) = ("SET search_path = one", "RESET ALL");
    assert_eq!(
        recorded,
        [reset, set, "a0", reset, "b0", reset, set, "a1", reset, "b1"]
    );
}

#[test]
fn fronts_report_a_dead_engine_to_peers_and_reject_strangers() {
    let folder = std::env::temp_dir().join(format!("hallmux-lab-keys-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let hex = |bytes: &[u8]| {
        bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
    };
    let secret = |n: usize| [n as u8 + 1; 32];
    // Two fronts that know each other, and a third that neither knows.
    let keys: Vec<String> = (0..2)
        .map(|n| hex(&hallmux_gossip::seal::Identity::new(&secret(n), 0).public_key()))
        .collect();
    let known = format!("peers: {{ one: '{}', two: '{}' }}", keys[0], keys[1]);
    let mut seeds = String::new();
    let mut stages = Vec::new();
    for n in 0..3 {
        let file = folder.join(format!("secret{n}"));
        std::fs::write(&file, hex(&secret(n))).unwrap();
        let file = file.display();
        let part =
            format!("gossip: {{ listen: '127.0.0.1:0', secret_file: '{file}', {known}, seeds: [{seeds}] }},");
        let stage = stage_with_config(1, LIMITS, 1024, &part);
        let line = stage
            .front
            .find_log_line("talks with other fronts")
            .unwrap();
        seeds = format!("'{}'", line.rsplit(' ').next().unwrap());
        stages.push(stage);
    }
    // The second learns of the first's engine, and the first of the second's; nobody accepts
    // reports of the third.
    for (n, stage) in stages.iter().enumerate().take(2) {
        let mut s = stage.open();
        stage.engines[0].crash();
        for m in 0..2 {
            ask(&mut s, &run(&format!("{n}x{m}"), ""));
        }
    }
    wait_until("the second front receives the report", || {
        stages[1]
            .front
            .find_log_line("front one says of engine")
            .is_some()
    });
    wait_until("the first front receives the report", || {
        stages[0]
            .front
            .find_log_line("front two says of engine")
            .is_some()
    });
    wait_until("a stranger is rejected", || {
        stages[1].front.find_log_line("Stranger").is_some()
    });
    assert!(stages
        .iter()
        .all(|stage| stage.front.find_log_line("front ? says").is_none()));
    let _ = std::fs::remove_dir_all(&folder);
}
