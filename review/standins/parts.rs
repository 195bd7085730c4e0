//! A non-idempotent statement in a unit that comes in two parts, with a Flush between, while the
//! engine's answers are lost and its process dies.

use std::sync::atomic::Ordering;

use crate::common::{
    config, free_port, operator, record_log, sleep_ms, trouble, Front, Listed, Record, TAOYUAN,
};
use crate::postgres::{
    bind_and_execute, bind_and_execute_with, describe, flush, parse, start_engine, sync, Client,
    World,
};
use crate::Verdict;

const LABEL: &str = "/*hallmux.workload='payout-load',hallmux.key='file-7'*/ ";
/// Bytes of the second file of a load.
const FILE: usize = 900_000;

/// A unit of a client in pipeline mode, which sends all of it before it reads.
struct Unit {
    what: &'static str,
    /// The payout that must take effect once.
    payout: &'static str,
    /// The session's user, whose default workload is the operator's choice.
    user: &'static str,
    bytes: Vec<u8>,
}

pub fn run(record: &Record) -> Verdict {
    let mut held = true;
    // Without a Flush, what is out may have run and is never sent again; with one, it is.
    for unit in [
        labelled("payout-1", false),
        load("payout-2", false),
        labelled("payout-3", true),
        load("payout-4", true),
    ] {
        held &= play(record, &unit)?;
    }
    Ok(held)
}

/// Prepares, describes, asks for what there is so far, executes: a payout whose workload is named
/// in its leading comment, by a user whose default is another.
fn labelled(payout: &'static str, flushes: bool) -> Unit {
    let text = format!("{LABEL}INSERT INTO payout_7.entries VALUES ('{payout}')");
    let mut bytes = [parse("s1", &text), describe("s1")].concat();
    if flushes {
        bytes.extend(flush());
    }
    bytes.extend(bind_and_execute("s1"));
    bytes.extend(sync());
    Unit {
        what: if flushes {
            "a payout, prepared and executed with a Flush between"
        } else {
            "a payout, prepared and executed without a Flush"
        },
        payout,
        user: "portal",
        bytes,
    }
}

/// Loads two files, each in a transaction of its own, and asks for what there is after the first
/// one's rows. All that this user sends is non-idempotent.
fn load(payout: &'static str, flushes: bool) -> Unit {
    let first = format!("INSERT INTO payout_7.entries VALUES ('{payout}')");
    let mut bytes = [
        [parse("begin", "BEGIN"), bind_and_execute("begin")].concat(),
        [parse("first", &first), bind_and_execute("first")].concat(),
    ]
    .concat();
    if flushes {
        bytes.extend(flush());
    }
    let second = "INSERT INTO payout_7.entries SELECT * FROM lines($1)";
    bytes.extend([parse("commit", "COMMIT"), bind_and_execute("commit")].concat());
    bytes.extend(bind_and_execute("begin"));
    bytes.extend(parse("second", second));
    bytes.extend(bind_and_execute_with("second", &vec![b'x'; FILE]));
    bytes.extend(bind_and_execute("commit"));
    bytes.extend(sync());
    Unit {
        what: if flushes {
            "two files in one unit, with a Flush after the first one's rows"
        } else {
            "two files in one unit, without a Flush"
        },
        payout,
        user: "loader",
        bytes,
    }
}

fn play(record: &Record, unit: &Unit) -> Verdict {
    record.line(&format!("--- {}: {}", unit.payout, unit.what));
    let world = World::new(record);
    let mut engines = Vec::new();
    for id in ["e1", "e2", "e3", "e4"] {
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
    let mut client = Client::connect(record, "client", sessions, unit.user)?;
    if trouble() {
        let faults = &world.faults;
        faults.answers_lost_then_death.store(1, Ordering::SeqCst);
    }
    client.send(unit.what, &unit.bytes);
    let answer = client.answer(22_000);
    sleep_ms(300);
    record_log(record, &front);
    if !front.runs() {
        return Err("the front has ended".to_string());
    }
    let count = world.count(unit.payout);
    record.line(&format!(
        "{}: its workload payout-load must never run twice: it took effect {count} times; answered {:?}",
        unit.payout,
        answer.error.as_deref().unwrap_or("completed")
    ));
    Ok(count <= 1)
}
