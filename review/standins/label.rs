//! A non-idempotent statement that a client prepares and executes in one unit, with a Flush
//! between, while the engine's answers are lost and its process dies.

use std::sync::atomic::Ordering;

use crate::common::{config, free_port, operator, record_log, trouble, Front, Listed, Record};
use crate::postgres::{
    bind_and_execute, describe, flush, parse, start_engine, sync, Client, World,
};
use crate::Verdict;

const LABEL: &str = "/*hallmux.workload='payout-load',hallmux.key='file-7'*/ ";

pub fn run(record: &Record) -> Verdict {
    let mut held = true;
    // The same statement in one part first: what is out may have run, so it is never sent again.
    for (flushes, id) in [(false, "payout-1"), (true, "payout-2")] {
        record.line(&format!(
            "--- {id}: {} Flush between Describe and Bind",
            if flushes { "with a" } else { "without" }
        ));
        held &= play(record, flushes, id)?;
    }
    Ok(held)
}

fn play(record: &Record, flushes: bool, id: &str) -> Verdict {
    let world = World::new(record);
    let engines = ["e1", "e2", "e3"].map(|id| -> Result<Listed, String> {
        let port = start_engine(&world, id)?;
        Ok(Listed {
            id: id.to_string(),
            port,
        })
    });
    let engines: Vec<Listed> = engines.into_iter().collect::<Result<_, _>>()?;
    let (listen, sessions) = (free_port()?, free_port()?);
    let mut front = Front::start(&config(listen, &engines), Some(&operator(sessions)))?;
    let mut client = Client::connect(record, "client", sessions, &[])?;
    if trouble() {
        world
            .faults
            .answers_lost_then_death
            .store(1, Ordering::SeqCst);
    }
    let text = format!("{LABEL}INSERT INTO payout_7.entries VALUES ('{id}')");
    // As a client in pipeline mode sends it: prepare, describe, ask for what there is, execute.
    let mut unit = [parse("s1", &text), describe("s1")].concat();
    if flushes {
        unit.extend(flush());
    }
    unit.extend(bind_and_execute("s1"));
    unit.extend(sync());
    client.send(&format!("one unit: {text}"), &unit);
    let answer = client.answer(22_000);
    crate::common::sleep_ms(500);
    record_log(record, &front);
    if !front.runs() {
        return Err("the front has ended".to_string());
    }
    let count = world.count(id);
    record.line(&format!(
        "{id}: workload payout-load must never run twice: took effect {count} times; answered {:?}",
        answer.error.as_deref().unwrap_or("completed")
    ));
    Ok(count <= 1)
}
