//! Sessions that cancel, pipeline, read slowly, disconnect, are idle, or are too many.

use std::time::{Duration, Instant};

use super::stage::{ask, read_answer, run, stage, stage_with_sockets, wait_until, LIMITS};
use crate::engine::EngineEventKind;
use crate::scripted::session::{code, Session};

#[test]
fn a_cancel_crosses_the_end_of_its_statement() {
    let stage = stage(1, LIMITS);
    let mut s = stage.open();
    assert_eq!(ask(&mut s, &run("a", "")).0, "TDCZ");
    s.cancel(stage.front.session_address).unwrap();
    assert_eq!(ask(&mut s, &run("b", ",ms=50")).0, "TDCZ");
    // A cancel request that arrives in time ends only its statement.
    for within in [false, true] {
        if within {
            ask(&mut s, "BEGIN");
        }
        let id = format!("c{within}");
        s.query(&run(&id, ",ms=6000"));
        s.send().unwrap();
        wait_until("the statement runs", || !stage.began(&id).is_empty());
        s.cancel(stage.front.session_address).unwrap();
        let status = if within { 'E' } else { 'I' };
        assert_eq!(read_answer(&mut s), ("TEZ".into(), "57014".into(), status));
        if within {
            assert_eq!(ask(&mut s, "ROLLBACK").2, 'I');
        }
        assert_eq!(ask(&mut s, &run("d", ",ms=30")).0, "TDCZ");
    }
    let hit: Vec<_> = stage
        .engine_events()
        .into_iter()
        .filter(|d| matches!(d.2, EngineEventKind::Cancelled { .. }))
        .collect();
    let ids = ["cfalse", "ctrue"].map(|id| EngineEventKind::Cancelled {
        id: Some(id.into()),
    });
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
    let answers: Vec<_> = (0..4)
        .map(|_| read_answer(&mut s))
        .map(|(tags, code, _)| (tags, code))
        .collect();
    let expected = [
        ("1Z", ""),
        ("2DC2DCZ", ""),
        ("2EZ", "23505"),
        ("2DC2DCZ", ""),
    ];
    assert_eq!(
        answers,
        expected.map(|(tags, code)| (tags.to_string(), code.to_string()))
    );
    assert_eq!(
        (stage.began("then-b").len(), stage.began("then-c").len()),
        (0, 1)
    );
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
    // The forty megabytes wait on the engine, not in the front.
    let grown = stage.front.memory_kb().saturating_sub(before);
    assert!(grown < 8_192, "{grown} kB");
    // All rows arrive within the statement's deadline.
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
fn a_front_shuts_down_with_open_transactions() {
    let mut stage = stage(1, "transaction_idle_ms: 8000");
    let mut s = stage.open();
    ask(&mut s, "BEGIN");
    ask(&mut s, &run("a", ""));
    let mut busy = stage.open();
    busy.query(&run("b", ",ms=1500"));
    busy.send().unwrap();
    let mut idle = stage.open();
    wait_until("the statement runs", || !stage.began("b").is_empty());
    stage.front.terminate();
    assert_eq!(code(&idle.read().unwrap()), "57P01");
    assert_eq!(read_answer(&mut busy).0, "TDCZ");
    assert_eq!(code(&busy.read().unwrap()), "57P01");
    assert_eq!(code(&s.read().unwrap()), "57P01");
    let (well, took) = stage.front.wait_for_exit().unwrap();
    assert!(well && took < Duration::from_secs(4), "{took:?}");
    assert!(!stage.kept("a") && stage.kept("b"));
}

#[test]
fn an_idle_transaction_is_ended_and_a_disconnect_cancels_its_statement() {
    let stage = stage(1, "transaction_idle_ms: 200");
    let mut s = stage.open();
    ask(&mut s, "BEGIN");
    ask(&mut s, &run("a", ""));
    assert_eq!(code(&s.read().unwrap()), "25P03");
    let mut leaves = stage.open();
    leaves.query(&run("b", ",ms=6000"));
    leaves.send().unwrap();
    wait_until("the statement runs", || !stage.began("b").is_empty());
    drop(leaves);
    wait_until("its cancellation is requested", || {
        stage.engine_events().iter().any(|d| {
            d.2 == EngineEventKind::Cancelled {
                id: Some("b".into()),
            }
        })
    });
    assert!(!stage.kept("a"));
}

#[test]
fn a_password_opens_a_session_and_a_wrong_one_does_not() {
    let stage = stage(1, LIMITS);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let at = |password: &str, user: &str| {
            let port = stage.front.session_address.port();
            format!("host=127.0.0.1 port={port} user={user} dbname=x password={password}")
        };
        let connect =
            |at: String| async move { tokio_postgres::connect(&at, tokio_postgres::NoTls).await };
        let (client, connection) = connect(at("example", "locked")).await.unwrap();
        tokio::spawn(connection);
        assert_eq!(
            client
                .query("select run($1)", &[&"id=a,rows=2"])
                .await
                .unwrap()
                .len(),
            2
        );
        for (password, user) in [("wrong", "locked"), ("example", "stranger")] {
            let refused = connect(at(password, user)).await.err().unwrap();
            assert_eq!(refused.code().unwrap().code(), "28P01");
        }
    });
}

#[test]
fn idle_sessions_close_first_when_descriptors_run_short_and_session_state_is_limited() {
    let stage = stage_with_sockets(
        1,
        "start_up_ms: 400, statements: 2, portals: 2, message_bytes: 4096",
        64,
    );
    // Half of the descriptors are for clients. These connections send nothing and are closed.
    let silent: Vec<_> = (0..32)
        .map(|_| std::net::TcpStream::connect(stage.front.session_address).unwrap())
        .collect();
    let mut first = stage.open();
    drop(silent);
    assert_eq!(ask(&mut first, &run("a", "")).0, "TDCZ");
    let mut busy = stage.open();
    assert_eq!(ask(&mut busy, "BEGIN").2, 'T');
    std::thread::sleep(Duration::from_millis(1200)); // until both are idle
    let mut others: Vec<Session> = (0..31).map(|_| stage.open()).collect();
    // The idle session was closed; the one with an open transaction was not.
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
    assert_eq!(read_answer(&mut s).1, "26000");
    ask(&mut s, "BEGIN");
    for n in 0..3 {
        s.bind(&format!("p{n}"), "s0", "id=y");
    }
    s.sync();
    s.send().unwrap();
    assert_eq!(read_answer(&mut s), ("22EZ".into(), "54000".into(), 'E'));
    s.query(&"x".repeat(8192));
    s.send().unwrap();
    assert_eq!(code(&s.read().unwrap()), "54000");
}

#[test]
fn a_long_result_is_delivered_with_any_buffer_size() {
    for buffer in [1024, 65536, 1 << 20] {
        let stage = stage(1, &format!("buffer_bytes: {buffer}"));
        let mut s = stage.open();
        for rows in [1_000, 3_000, 8_000, 16_000] {
            s.query(&format!("select run('id=a,rows={rows},bytes=1000')"));
            s.send().unwrap();
            // By now the engine has sent all it can, and no further input from it would wake the
            // front.
            std::thread::sleep(Duration::from_millis(150));
            let had = s.unit().unwrap().iter().filter(|m| m.0 == b'D').count();
            assert_eq!(had, rows, "{buffer}");
        }
        // A unit of the largest size, sent at once.
        let long = format!("select run('id=b,rows=1') /* {} */", "x".repeat(1_000_000));
        assert_eq!(ask(&mut s, &long).0, "TDCZ", "{buffer}");
    }
}
