//! A planned restart while a session is in a transaction.

use std::sync::atomic::Ordering;

use crate::common::{
    config, free_port, operator, record_log, sleep_ms, trouble, Front, Listed, Record, SIGKILL,
    SIGTERM, TAOYUAN,
};
use crate::postgres::{query, start_engine, Client, World};
use crate::Verdict;

/// Milliseconds from SIGTERM to the statement: more than 700.
const STATEMENT_AFTER: u64 = 1_000;
/// Milliseconds from SIGTERM to SIGKILL: the longest deadline, counted as 3 s where it is longer, and
/// 700 more; 300 beyond that.
const KILL_AFTER: u64 = 4_000;
/// Milliseconds that the statement runs: well within its 20 s.
const RUN: u32 = 5_000;

pub fn run(record: &Record) -> Verdict {
    let world = World::new(record);
    world.insert_ms.store(RUN, Ordering::SeqCst);
    let mut engines = Vec::new();
    for id in ["e1", "e2"] {
        let port = start_engine(&world, id)?;
        engines.push(Listed {
            id: id.to_string(),
            port,
        });
    }
    let (listen, sessions) = (free_port()?, free_port()?);
    let mut front = Front::start(
        &config(listen, &engines, &TAOYUAN),
        Some(&operator(sessions)),
    )?;
    let mut client = Client::connect(record, "client", sessions, "portal")?;
    client.send("BEGIN", &query("/*hallmux.workload='payout-load'*/ BEGIN"));
    let begun = client.answer(5_000);
    if !begun.whole || begun.error.is_some() {
        return Err(format!("no transaction: {begun:?}"));
    }
    if trouble() {
        record.line("front: SIGTERM");
        front.signal(SIGTERM);
    }
    sleep_ms(STATEMENT_AFTER);
    let text =
        "/*hallmux.workload='payout-load'*/ INSERT INTO payout_7.entries VALUES ('payout-1')";
    client.send(text, &query(text));
    let mut answer = client.answer(KILL_AFTER - STATEMENT_AFTER);
    if trouble() {
        if front.runs() {
            record.line("front: SIGKILL");
            front.signal(SIGKILL);
        } else {
            record.line("front: has ended by itself");
        }
    }
    if !answer.whole && answer.error.is_none() {
        answer = client.answer(25_000);
    }
    record_log(record, &front);
    let answered = answer.whole || answer.error.is_some();
    record.line(&format!(
        "the statement came {STATEMENT_AFTER} ms after SIGTERM and got {}",
        if answered {
            "an answer"
        } else {
            "no answer: it is lost"
        }
    ));
    Ok(answered)
}
