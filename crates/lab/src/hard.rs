//! The hard cases of PostgreSQL sessions, one by one: each test causes the very thing it is named after.

use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;

use crate::check::Outcome;
use crate::engine::{Engine, Kind, Records};
use crate::lines;
use crate::rig::{Coordinator, Front};
use crate::scripted::{code, tags, Session};

const PATIENCE: Duration = Duration::from_secs(10); // for one thing to come about; a busy machine takes some

struct Stage {
    records: Arc<Records>,
    engines: Vec<Arc<Engine>>,
    coordinator: Coordinator,
    front: Front,
}

const LIMITS: &str = "transaction_idle_ms: 3000, buffer_bytes: 32768";

/// A front among so many engines, and one that speaks lines.
fn stage(count: usize, limits: &str) -> Stage {
    stage_with(count, limits, 1024)
}

fn stage_with(count: usize, limits: &str, sockets: usize) -> Stage {
    stage_among(count, limits, sockets, "")
}

/// The same with a further part of the operator's file.
fn stage_among(count: usize, limits: &str, sockets: usize, part: &str) -> Stage {
    let records = Records::new();
    let engines: Vec<_> = (0..count).map(|n| Engine::start(n, records.clone(), true).unwrap()).collect();
    let lines_at = lines::engine(count, records.clone()).unwrap();
    let coordinator = Coordinator::start().unwrap();
    let mut list: Vec<_> = engines.iter().map(|e| (format!("e{}", e.number), e.at, "pg", "up")).collect();
    list.push(("lines".to_string(), lines_at, "lines", "up"));
    coordinator.tell(true, &list);
    let class =
        |name: &str, repeat: &str| json!({"name": name, "aimMs": 2000, "deadlineMs": 8000, "repeat": repeat});
    let mut load = class("load", "by_key");
    (load["group"], load["dedupWindowMs"], load["inTurn"]) = (json!("all"), json!(9000), json!(true));
    let settings = json!({"instances": 1, "areas": ["here"], "kinds": ["pg", "lines"],
        "rules": {"turnGapMs": 50}, "customers": [{"name": "acme"}],
        "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true},
        "extra": {"sizeCores": [8, 8], "memoryByKindMb": [16384, 16384]},
        "requestClasses": [class("lookup", "repeatable"), load, class("pay", "once")]});
    // For the password 'example'.
    let verifier = postgres_protocol::password::scram_sha_256(b"example");
    let operator = format!(
        "{{ {part} postgres: {{ listen: '127.0.0.1:0', engines: [{{ kinds: ['pg'] }}],
        users: {{ portal: {{ trust: true, member: 'acme', workload: 'lookup' }},
            locked: {{ verifier: '{verifier}', member: 'acme', workload: 'lookup', engine_user: 'front' }} }},
        limits: {{ {limits} }} }} }}"
    );
    let front = Front::start(&settings, &operator, &coordinator, sockets).unwrap();
    Stage { records, engines, coordinator, front }
}

impl Stage {
    fn open(&self) -> Session {
        Session::open(self.front.sessions, "portal", false).unwrap()
    }

    fn tell(&self, engine: usize, state: &str) {
        let e = &self.engines[engine];
        self.coordinator.tell(false, &[(format!("e{engine}"), e.at, "pg", state)]);
    }

    fn deeds(&self) -> Vec<(usize, u32, Kind)> {
        self.records.deeds.lock().unwrap().iter().map(|d| (d.engine, d.link, d.kind.clone())).collect()
    }

    /// Where a statement began, in order.
    fn began(&self, wanted: &str) -> Vec<(usize, u32)> {
        let own = |(engine, link, kind): (usize, u32, Kind)| match kind {
            Kind::Began { id, .. } if id == wanted => Some((engine, link)),
            _ => None,
        };
        self.deeds().into_iter().filter_map(own).collect()
    }

    fn kept(&self, wanted: &str) -> bool {
        self.deeds().iter().any(|(_, _, kind)| *kind == Kind::Kept { id: wanted.into() })
    }

    /// The engine that has the only transaction that is open.
    fn holder(&self, id: &str) -> usize {
        self.began(id)[0].0
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The tags of one simple query's answer, the code of its error, and the status behind it.
fn ask(s: &mut Session, text: &str) -> (String, String, char) {
    s.query(text);
    s.send().unwrap();
    heard(s)
}

fn heard(s: &mut Session) -> (String, String, char) {
    let unit = s.unit().unwrap();
    let error = unit.iter().find(|m| m.0 == b'E').map(code).unwrap_or_default();
    (tags(&unit), error, unit.last().map_or(' ', |m| m.1[0] as char))
}

fn run(id: &str, more: &str) -> String {
    format!("select run('id={id},rows=1{more}')")
}

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
        assert_eq!(heard(&mut s), ("12DDsZ".into(), String::new(), 'T'));
        let holder = stage.holder("p");
        stage.tell(holder, "draining");
        until("the engine is let go of", || stage.engines[holder].connections() == 0);
        let before = stage.deeds().len();
        if first == "fetch" {
            s.execute("c", 2);
            s.sync();
            s.send().unwrap();
            assert_eq!(heard(&mut s), ("EZ".into(), "40001".into(), 'E'));
            assert_eq!(ask(&mut s, &run("x", "")), ("EZ".into(), "25P02".into(), 'E'));
            assert_eq!(ask(&mut s, "COMMIT"), ("CZ".into(), String::new(), 'I'));
        } else if first == "COMMIT" {
            // It has not come to pass, and is not to seem so.
            assert_eq!(ask(&mut s, "COMMIT"), ("EZ".into(), "40001".into(), 'I'));
        } else {
            assert_eq!(ask(&mut s, "ROLLBACK"), ("CZ".into(), String::new(), 'I'));
        }
        assert_eq!(stage.deeds().len(), before);
        assert_eq!(ask(&mut s, &run("after", "")).0, "TDCZ");
        assert_ne!(stage.holder("after"), holder);
        assert!(!stage.kept("p"));
    }
}

#[test]
fn an_engine_dies_during_commit() {
    // After it took effect, and before.
    for (lost, kept) in [(1, true), (2, false)] {
        let stage = stage(1, LIMITS);
        let mut s = stage.open();
        ask(&mut s, "BEGIN");
        assert_eq!(ask(&mut s, &run("a", "")).2, 'T');
        stage.engines[0].faults.lost_commits.store(lost, SeqCst);
        assert_eq!(ask(&mut s, "COMMIT"), ("EZ".into(), "08007".into(), 'I'));
        assert_eq!((stage.kept("a"), stage.began("a").len()), (kept, 1));
        assert_eq!(stage.engines[0].faults.played.load(SeqCst), 1, "asked for once");
        stage.engines[0].faults.lost_commits.store(0, SeqCst);
        assert_eq!(ask(&mut s, &run("b", "")).0, "TDCZ");
    }
}

#[test]
fn a_cancel_crosses_the_end_of_its_statement() {
    let stage = stage(1, LIMITS);
    let mut s = stage.open();
    assert_eq!(ask(&mut s, &run("a", "")).0, "TDCZ");
    s.cancel(stage.front.sessions).unwrap();
    assert_eq!(ask(&mut s, &run("b", ",ms=50")).0, "TDCZ");
    // And one that meets its statement ends it alone.
    for within in [false, true] {
        if within {
            ask(&mut s, "BEGIN");
        }
        let id = format!("c{within}");
        s.query(&run(&id, ",ms=6000"));
        s.send().unwrap();
        until("it runs", || !stage.began(&id).is_empty());
        s.cancel(stage.front.sessions).unwrap();
        let status = if within { 'E' } else { 'I' };
        assert_eq!(heard(&mut s), ("TEZ".into(), "57014".into(), status));
        if within {
            assert_eq!(ask(&mut s, "ROLLBACK").2, 'I');
        }
        assert_eq!(ask(&mut s, &run("d", ",ms=30")).0, "TDCZ");
    }
    let hit: Vec<_> = stage.deeds().into_iter().filter(|d| matches!(d.2, Kind::Cancelled { .. })).collect();
    let ids = ["cfalse", "ctrue"].map(|id| Kind::Cancelled { id: Some(id.into()) });
    assert_eq!(hit.into_iter().map(|d| d.2).collect::<Vec<_>>(), ids);
}

#[test]
fn a_pipeline_whose_second_unit_fails() {
    let stage = stage(1, LIMITS);
    let mut s = stage.open();
    s.parse("s", "select run($1)");
    s.sync();
    for task in ["id=a,rows=1", "id=b,fail=23505", "id=c,rows=1"] {
        s.bind("", "s", task);
        s.execute("", 0);
        s.bind("", "s", &task.replace("id=", "id=then-"));
        s.execute("", 0);
        s.sync();
    }
    s.send().unwrap();
    let heard: Vec<_> = (0..4).map(|_| heard(&mut s)).map(|(tags, code, _)| (tags, code)).collect();
    let expected = [("1Z", ""), ("2DC2DCZ", ""), ("2EZ", "23505"), ("2DC2DCZ", "")];
    assert_eq!(heard, expected.map(|(tags, code)| (tags.to_string(), code.to_string())));
    assert_eq!((stage.began("then-b").len(), stage.began("then-c").len()), (0, 1));
}

#[test]
fn a_new_engine_refuses_to_prepare_again() {
    let stage = stage(2, LIMITS);
    let mut s = stage.open();
    s.prepare("s", "select run($1)").unwrap();
    s.ask("s", "id=a,rows=1").unwrap();
    let (holder, other) = (stage.holder("a"), 1 - stage.holder("a"));
    stage.tell(holder, "draining");
    until("the engine is let go of", || stage.engines[holder].connections() == 0);
    stage.engines[other].faults.refused_parses.store(1, SeqCst);
    s.bind("", "s", "id=b,rows=1");
    s.execute("", 0);
    s.sync();
    s.send().unwrap();
    assert_eq!(heard(&mut s), ("EZ".into(), "42P01".into(), 'I'));
    s.ask("s", "id=c,rows=1").unwrap();
    assert_eq!((stage.began("b").len(), stage.began("c").len()), (0, 1));
}

#[test]
fn a_client_reads_one_row_a_second() {
    let stage = stage(1, LIMITS);
    let mut slow = stage.open();
    let before = stage.front.memory_kb();
    slow.query("select run('id=slow,rows=40000,bytes=1000')");
    slow.send().unwrap();
    let mut other = stage.open();
    for row in 0..3 {
        while slow.read().unwrap().0 != b'D' {}
        let since = Instant::now();
        while since.elapsed() < Duration::from_secs(1) {
            assert_eq!(ask(&mut other, &run(&format!("o{row}"), "")).0, "TDCZ");
        }
    }
    // Forty megabytes wait on the engine, not here.
    let grown = stage.front.memory_kb().saturating_sub(before);
    assert!(grown < 8_192, "{grown} kB");
    // Within its time it has all of them.
    let mut rows = 3;
    loop {
        match slow.read().unwrap().0 {
            b'D' => rows += 1,
            b'Z' => break,
            _ => {}
        }
    }
    assert_eq!(rows, 40_000);
}

#[test]
fn the_same_key_from_both_protocols() {
    let stage = stage(1, LIMITS);
    let label = "/*hallmux.workload='load',hallmux.key='k',hallmux.dedup_key='u2'*/ ";
    let fields = [("verb", "load"), ("team", "acme"), ("limit", "8000"), ("item", "k"), ("unique", "u1")];
    let lines_at = stage.front.lines;
    let first = std::thread::spawn(move || lines::ask(lines_at, 1, &fields, "id=a,key=k,ms=400"));
    until("the first runs", || !stage.began("a").is_empty());
    let mut s = stage.open();
    assert_eq!(ask(&mut s, &format!("{label}{}", run("b", ",key=k"))).0, "TDCZ");
    let order: Vec<_> = stage.deeds().into_iter().map(|d| d.2).collect();
    let at = |kind: Kind| order.iter().position(|k| *k == kind).unwrap();
    assert!(at(Kind::Ended { id: "a".into() }) < at(Kind::Began { id: "b".into(), key: "k".into() }));
    first.join().unwrap();
}

#[test]
fn a_transaction_keeps_the_turn_of_its_key_until_it_ends() {
    for end in ["COMMIT", "ROLLBACK", ""] {
        let stage = stage(2, LIMITS);
        let load =
            |n: usize| format!("/*hallmux.workload='load',hallmux.key='k',hallmux.dedup_key='u{n}'*/ ");
        let mut s = stage.open();
        ask(&mut s, "BEGIN");
        assert_eq!(ask(&mut s, &format!("{}{}", load(1), run("a", ",key=k"))).2, 'T');
        let mut other = stage.open();
        other.query(&format!("{}{}", load(2), run("b", ",key=k")));
        other.send().unwrap();
        // Its own further statement goes ahead of the one that waits.
        assert_eq!(ask(&mut s, &format!("{}{}", load(3), run("c", ",key=k,ms=50"))).0, "TDCZ");
        assert!(stage.began("b").is_empty());
        match end {
            "" => drop(s),
            end => assert_eq!(ask(&mut s, end).2, 'I'),
        }
        assert_eq!(heard(&mut other).0, "TDCZ");
        let kept = end == "COMMIT";
        assert_eq!((stage.kept("a"), stage.kept("c"), stage.kept("b")), (kept, kept, true), "{end}");
    }
}

#[test]
fn the_end_of_a_front_with_transactions_open() {
    let mut stage = stage(1, "transaction_idle_ms: 8000");
    let mut s = stage.open();
    ask(&mut s, "BEGIN");
    ask(&mut s, &run("a", ""));
    let mut busy = stage.open();
    busy.query(&run("b", ",ms=1500"));
    busy.send().unwrap();
    let mut idle = stage.open();
    until("it runs", || !stage.began("b").is_empty());
    stage.front.terminate();
    assert_eq!(code(&idle.read().unwrap()), "57P01");
    assert_eq!(heard(&mut busy).0, "TDCZ");
    assert_eq!(code(&busy.read().unwrap()), "57P01");
    assert_eq!(code(&s.read().unwrap()), "57P01");
    let (well, took) = stage.front.ended().unwrap();
    assert!(well && took < Duration::from_secs(4), "{took:?}");
    assert!(!stage.kept("a") && stage.kept("b"));
}

#[test]
fn a_long_statement_is_waited_for_and_a_hung_engine_is_not() {
    let stage = stage(2, LIMITS);
    let mut s = stage.open();
    // Nothing else is out, and nothing is known of how long such statements take.
    let long = format!("/*hallmux.workload='pay'*/ {}", run("long", ",ms=2500"));
    assert_eq!(ask(&mut s, &long).0, "TDCZ");
    assert_eq!(stage.began("long").len(), 1);
    ask(&mut s, &run("quick", ""));
    let hung = &stage.engines[stage.holder("quick")];
    hung.faults.stalled_until.store((stage.records.now() + 30_000_000) as u64, SeqCst);
    // Some of these land there; each is tried elsewhere, long before its time is up.
    for n in 0..6 {
        let since = Instant::now();
        assert_eq!(ask(&mut s, &run(&format!("h{n}"), "")).0, "TDCZ");
        assert!(since.elapsed() < Duration::from_secs(6), "{:?}", since.elapsed());
    }
}

#[test]
fn settings_follow_their_session_and_no_other() {
    let stage = stage(1, "engine_connections: 1");
    let (mut a, mut b) = (stage.open(), stage.open());
    assert_eq!(ask(&mut a, "SET search_path = one").0, "CZ");
    assert_eq!(ask(&mut a, "BEGIN; SET work_mem = 1; ROLLBACK").2, 'I');
    for n in 0..2 {
        ask(&mut a, &run(&format!("a{n}"), ""));
        ask(&mut b, &run(&format!("b{n}"), ""));
    }
    let told: Vec<String> = stage
        .deeds()
        .into_iter()
        .filter_map(|(_, _, kind)| match kind {
            Kind::Began { id, .. } => Some(id),
            Kind::Control { text } => Some(text),
            _ => None,
        })
        .skip_while(|text| text != "ROLLBACK")
        .skip(1)
        .collect();
    let (set, reset) = ("SET search_path = one", "RESET ALL");
    assert_eq!(told, [reset, set, "a0", reset, "b0", reset, set, "a1", reset, "b1"]);
}

#[test]
fn statements_beyond_what_a_connection_keeps_are_prepared_again() {
    let stage = stage(1, "prepared: 2, engine_connections: 1");
    let mut s = stage.open();
    for n in 0..5 {
        s.prepare(&format!("s{n}"), &format!("select run($1) /* {n} */")).unwrap();
    }
    for n in (0..20).map(|n| n * 3 % 5) {
        s.ask(&format!("s{n}"), &format!("id=x{n},rows=1")).unwrap();
    }
    // All in one unit, and one of them fails in the middle.
    for fails in ["", "23505"] {
        for n in 0..5 {
            let fail = if n == 2 { fails } else { "" };
            s.bind("", &format!("s{n}"), &format!("id=y{n},rows=1,fail={fail}"));
            s.execute("", 0);
        }
        s.sync();
        s.send().unwrap();
        assert_eq!(heard(&mut s).1, fails);
    }
    for n in 0..5 {
        s.ask(&format!("s{n}"), "id=z,rows=1").unwrap();
    }
}

#[test]
fn a_transaction_that_stands_idle_ends_and_a_client_that_leaves_leaves_nothing() {
    let stage = stage(1, "transaction_idle_ms: 200");
    let mut s = stage.open();
    ask(&mut s, "BEGIN");
    ask(&mut s, &run("a", ""));
    assert_eq!(code(&s.read().unwrap()), "25P03");
    let mut leaves = stage.open();
    leaves.query(&run("b", ",ms=6000"));
    leaves.send().unwrap();
    until("it runs", || !stage.began("b").is_empty());
    drop(leaves);
    until("its end was asked for", || {
        stage.deeds().iter().any(|d| d.2 == Kind::Cancelled { id: Some("b".into()) })
    });
    assert!(!stage.kept("a"));
}

#[test]
fn a_password_opens_a_session_and_a_wrong_one_does_not() {
    let stage = stage(1, LIMITS);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let at = |password: &str, user: &str| {
            let port = stage.front.sessions.port();
            format!("host=127.0.0.1 port={port} user={user} dbname=x password={password}")
        };
        let connect = |at: String| async move { tokio_postgres::connect(&at, tokio_postgres::NoTls).await };
        let (client, connection) = connect(at("example", "locked")).await.unwrap();
        tokio::spawn(connection);
        assert_eq!(client.query("select run($1)", &[&"id=a,rows=2"]).await.unwrap().len(), 2);
        for (password, user) in [("wrong", "locked"), ("example", "stranger")] {
            let refused = connect(at(password, user)).await.err().unwrap();
            assert_eq!(refused.code().unwrap().code(), "28P01");
        }
    });
}

/// A front that had no CPU for a while finds in one turn what came one after the other: it takes it in that order,
/// whatever the protocol and whether the connection is new.
#[test]
fn what_is_found_in_one_turn_is_taken_in_the_order_in_which_it_came() {
    const LABEL: &str = "/*hallmux.workload='load',hallmux.key='k',hallmux.dedup_key='d";
    let stage = stage(1, LIMITS);
    for round in 0..4 {
        // Each of both protocols first once, over connections that are open; then over one that comes with it.
        let (lines_first, new) = (round % 2 == 0, round / 2 == 1);
        let mut client = (!new).then(|| lines::Client::open(stage.front.lines).unwrap());
        let mut sessions: Vec<Session> = (0..2).map(|_| stage.open()).collect();
        // Served before, so that none of them is new to the front.
        sessions.iter_mut().for_each(|s| assert_eq!(ask(s, &run("before", "")).0, "TDCZ"));
        stage.front.signal(Signal::SIGSTOP);
        until("it stands still", || stands_still(&stage.front));
        let ids = [0, 1, 2].map(|n| format!("{round}x{n}"));
        for (n, id) in ids.iter().enumerate() {
            if n == if lines_first { 0 } else { 1 } {
                let dedup = format!("d{id}");
                let fields = [("verb", "load"), ("team", "acme"), ("limit", "8000"), ("item", "k")];
                let fields = [&fields[..], &[("unique", dedup.as_str())]].concat();
                let mut own =
                    client.take().unwrap_or_else(|| lines::Client::open(stage.front.lines).unwrap());
                own.send(round as u64 * 10 + n as u64, &fields, &format!("id={id},key=k,ms=1")).unwrap();
                client = Some(own);
            } else {
                let s = &mut sessions[if n == 2 { 1 } else { 0 }];
                s.query(&format!("{LABEL}{id}'*/ {}", run(id, ",key=k,ms=1")));
                s.send().unwrap();
            }
        }
        stage.front.signal(Signal::SIGCONT);
        assert_eq!(client.unwrap().answer(), Outcome::Completed { rows: 1 });
        sessions.iter_mut().for_each(|s| assert_eq!(heard(s).0, "TDCZ"));
        let ran: Vec<String> = stage
            .deeds()
            .into_iter()
            .filter_map(|(_, _, kind)| match kind {
                Kind::Began { id, .. } if id.starts_with(&format!("{round}x")) => Some(id),
                _ => None,
            })
            .collect();
        assert_eq!(ran, ids, "round {round}");
    }
}

/// Whether its process is stopped, as the system has it.
fn stands_still(front: &Front) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", front.pid())).unwrap_or_default();
    stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
}

#[test]
fn the_silent_go_first_when_descriptors_are_short_and_what_a_session_holds_is_bounded() {
    let stage = stage_with(1, "start_up_ms: 400, statements: 2, portals: 2, message_bytes: 4096", 64);
    // Half of the descriptors are clients'. These say nothing, and are closed.
    let silent: Vec<_> =
        (0..32).map(|_| std::net::TcpStream::connect(stage.front.sessions).unwrap()).collect();
    let mut first = stage.open();
    drop(silent);
    assert_eq!(ask(&mut first, &run("a", "")).0, "TDCZ");
    let mut busy = stage.open();
    assert_eq!(ask(&mut busy, "BEGIN").2, 'T');
    std::thread::sleep(Duration::from_millis(1200)); // until both rest
    let mut others: Vec<Session> = (0..31).map(|_| stage.open()).collect();
    // The one that rested went, the one with a transaction did not.
    assert_eq!(code(&first.read().unwrap()), "57P01");
    assert_eq!(ask(&mut busy, &run("b", "")).0, "TDCZ");
    let mut s = others.remove(0);
    drop(others);
    for n in 0..3 {
        s.prepare(&format!("s{n}"), "select run($1)").unwrap();
    }
    s.bind("", "s2", "id=x");
    s.sync();
    s.send().unwrap();
    assert_eq!(heard(&mut s).1, "26000");
    ask(&mut s, "BEGIN");
    for n in 0..3 {
        s.bind(&format!("p{n}"), "s0", "id=y");
    }
    s.sync();
    s.send().unwrap();
    assert_eq!(heard(&mut s), ("22EZ".into(), "54000".into(), 'E'));
    s.query(&"x".repeat(8192));
    s.send().unwrap();
    assert_eq!(code(&s.read().unwrap()), "54000");
}

#[test]
fn fronts_tell_each_other_of_an_engine_that_dies_and_believe_no_stranger() {
    let folder = std::env::temp_dir().join(format!("hallmux-lab-keys-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let secret = |n: usize| [n as u8 + 1; 32];
    // Two that know each other, and a third that both do not know.
    let keys: Vec<String> =
        (0..2).map(|n| hex(&hallmux_gossip::seal::Own::new(&secret(n), 0).public())).collect();
    let known = format!("peers: {{ one: '{}', two: '{}' }}", keys[0], keys[1]);
    let mut seeds = String::new();
    let mut stages = Vec::new();
    for n in 0..3 {
        let file = folder.join(format!("secret{n}"));
        std::fs::write(&file, hex(&secret(n))).unwrap();
        let file = file.display();
        let part =
            format!("gossip: {{ listen: '127.0.0.1:0', secret_file: '{file}', {known}, seeds: [{seeds}] }},");
        let stage = stage_among(1, LIMITS, 1024, &part);
        let line = stage.front.logged("talks with other fronts").unwrap();
        seeds = format!("'{}'", line.rsplit(' ').next().unwrap());
        stages.push(stage);
    }
    // The second hears of the first's engine, the first of the second's; the third is heard by nobody.
    for (n, stage) in stages.iter().enumerate().take(2) {
        let mut s = stage.open();
        stage.engines[0].crash();
        for m in 0..2 {
            ask(&mut s, &run(&format!("{n}x{m}"), ""));
        }
    }
    until("the second hears of it", || stages[1].front.logged("front one says of engine").is_some());
    until("the first hears of it", || stages[0].front.logged("front two says of engine").is_some());
    until("a stranger is refused", || stages[1].front.logged("Stranger").is_some());
    assert!(stages.iter().all(|stage| stage.front.logged("front ? says").is_none()));
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn a_long_result_goes_through_whatever_the_buffer() {
    for buffer in [1024, 65536, 1 << 20] {
        let stage = stage(1, &format!("buffer_bytes: {buffer}"));
        let mut s = stage.open();
        for rows in [1_000, 3_000, 8_000, 16_000] {
            s.query(&format!("select run('id=a,rows={rows},bytes=1000')"));
            s.send().unwrap();
            // So that the engine has sent all it can, and nothing more comes from it that would wake the front.
            std::thread::sleep(Duration::from_millis(150));
            let had = s.unit().unwrap().iter().filter(|m| m.0 == b'D').count();
            assert_eq!(had, rows, "{buffer}");
        }
        // And a unit of the largest size, sent in one go.
        let long = format!("select run('id=b,rows=1') /* {} */", "x".repeat(1_000_000));
        assert_eq!(ask(&mut s, &long).0, "TDCZ", "{buffer}");
    }
}
