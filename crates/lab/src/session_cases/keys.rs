//! Order keys across protocols, loop iterations and transactions.

use nix::sys::signal::Signal;

use super::stage::{ask, is_stopped, read_answer, run, stage, wait_until, LIMITS};
use crate::check::Outcome;
use crate::engine::EngineEventKind;
use crate::lines;
use crate::scripted::session::Session;

#[test]
fn the_same_key_from_both_protocols() {
    let stage = stage(1, LIMITS);
    let label = "/*hallmux.workload='load',hallmux.key='k',hallmux.dedup_key='u2'*/ ";
    let fields = [
        ("verb", "load"),
        ("team", "acme"),
        ("limit", "8000"),
        ("item", "k"),
        ("unique", "u1"),
    ];
    let lines_at = stage.front.statement_address;
    let first = std::thread::spawn(move || lines::ask(lines_at, 1, &fields, "id=a,key=k,ms=400"));
    wait_until("the first statement runs", || !stage.began("a").is_empty());
    let mut s = stage.open();
    assert_eq!(
        ask(&mut s, &format!("{label}{}", run("b", ",key=k"))).0,
        "TDCZ"
    );
    let order: Vec<_> = stage.engine_events().into_iter().map(|d| d.2).collect();
    let at = |kind: EngineEventKind| order.iter().position(|k| *k == kind).unwrap();
    assert!(
        at(EngineEventKind::Ended { id: "a".into() })
            < at(EngineEventKind::Began {
                id: "b".into(),
                key: "k".into()
            })
    );
    first.join().unwrap();
}

#[test]
fn a_transaction_holds_its_order_key_until_it_ends() {
    for end in ["COMMIT", "ROLLBACK", ""] {
        let stage = stage(2, LIMITS);
        let load = |n: usize| {
            format!("/*hallmux.workload='load',hallmux.key='k',hallmux.dedup_key='u{n}'*/ ")
        };
        let mut s = stage.open();
        ask(&mut s, "BEGIN");
        assert_eq!(
            ask(&mut s, &format!("{}{}", load(1), run("a", ",key=k"))).2,
            'T'
        );
        let mut other = stage.open();
        other.query(&format!("{}{}", load(2), run("b", ",key=k")));
        other.send().unwrap();
        // A further statement of the same transaction runs before the one that waits.
        assert_eq!(
            ask(&mut s, &format!("{}{}", load(3), run("c", ",key=k,ms=50"))).0,
            "TDCZ"
        );
        assert!(stage.began("b").is_empty());
        match end {
            "" => drop(s),
            end => assert_eq!(ask(&mut s, end).2, 'I'),
        }
        assert_eq!(read_answer(&mut other).0, "TDCZ");
        let kept = end == "COMMIT";
        assert_eq!(
            (stage.kept("a"), stage.kept("c"), stage.kept("b")),
            (kept, kept, true),
            "{end}"
        );
    }
}

/// A front that had no CPU for a while finds several arrivals in one iteration of its loop. It
/// accepts them in the order of arrival, whatever the protocol and whether or not the connection is
/// new.
#[test]
fn arrivals_of_one_loop_iteration_are_accepted_in_their_order() {
    const LABEL: &str = "/*hallmux.workload='load',hallmux.key='k',hallmux.dedup_key='d";
    let stage = stage(1, LIMITS);
    for round in 0..4 {
        // Each protocol is first once over open connections, and once with a new line-protocol
        // connection.
        let (lines_first, new) = (round % 2 == 0, round / 2 == 1);
        let mut client =
            (!new).then(|| lines::Client::open(stage.front.statement_address).unwrap());
        let mut sessions: Vec<Session> = (0..2).map(|_| stage.open()).collect();
        // Each session is served once before, so that none of them is new to the front.
        sessions
            .iter_mut()
            .for_each(|s| assert_eq!(ask(s, &run("before", "")).0, "TDCZ"));
        stage.front.signal(Signal::SIGSTOP);
        wait_until("the front is stopped", || is_stopped(&stage.front));
        let ids = [0, 1, 2].map(|n| format!("{round}x{n}"));
        for (n, id) in ids.iter().enumerate() {
            if n == if lines_first { 0 } else { 1 } {
                let dedup = format!("d{id}");
                let fields = [
                    ("verb", "load"),
                    ("team", "acme"),
                    ("limit", "8000"),
                    ("item", "k"),
                ];
                let fields = [&fields[..], &[("unique", dedup.as_str())]].concat();
                let mut own = client
                    .take()
                    .unwrap_or_else(|| lines::Client::open(stage.front.statement_address).unwrap());
                own.send(
                    round as u64 * 10 + n as u64,
                    &fields,
                    &format!("id={id},key=k,ms=1"),
                )
                .unwrap();
                client = Some(own);
            } else {
                let s = &mut sessions[if n == 2 { 1 } else { 0 }];
                s.query(&format!("{LABEL}{id}'*/ {}", run(id, ",key=k,ms=1")));
                s.send().unwrap();
            }
        }
        stage.front.signal(Signal::SIGCONT);
        assert_eq!(client.unwrap().answer(), Outcome::Completed { rows: 1 });
        sessions
            .iter_mut()
            .for_each(|s| assert_eq!(read_answer(s).0, "TDCZ"));
        let ran: Vec<String> = stage
            .engine_events()
            .into_iter()
            .filter_map(|(_, _, kind)| match kind {
                EngineEventKind::Began { id, .. } if id.starts_with(&format!("{round}x")) => {
                    Some(id)
                }
                _ => None,
            })
            .collect();
        assert_eq!(ran, ids, "round {round}");
    }
}
