//! The load of a fleet scenario: statements at the agreed rate, over all fronts that take them.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::check::{Asked, Repeat};
use crate::engine::lines;
use crate::record::account::Offered;
use crate::rig::member::{Member, Record};
use crate::rig::scenario::{Load, Scenario};

const CLIENT_WAIT: Duration = Duration::from_secs(70); // the longest a client waits for any answer

/// Offers the load: statements at the agreed rate, each to a front drawn among those that take statements.
pub(crate) fn offer(
    scenario: &Scenario,
    seed: u64,
    members: &[Arc<Member>],
    record: &Arc<Record>,
    stop: &AtomicBool,
) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let began = Instant::now();
    let (load, seconds) = (&scenario.load, scenario.seconds);
    let gap = Duration::from_micros(1_000_000 / load.per_second);
    let mut waits = Vec::new();
    let mut number = 0u64;
    while !stop.load(SeqCst) && began.elapsed() < Duration::from_secs(seconds) {
        number += 1;
        let here: Vec<usize> = (0..members.len()).filter(|m| !members[*m].away.load(SeqCst)).collect();
        if let Some(&front) = here.get(chance.random_range(0..here.len().max(1))) {
            let address = members[front].front.lock().ok().and_then(|f| f.as_ref().map(|f| f.lines));
            if let Some(address) = address {
                let (record, member) = (record.clone(), members[front].clone());
                let load = load.clone();
                let class = scenario.draw_class(chance.random());
                let name = scenario.classes[class].name.clone();
                let to = (front, address, class, name);
                waits.push(std::thread::spawn(move || ask(number, to, &load, &member, &record)));
            }
        }
        let due = gap * number as u32;
        if let Some(rest) = due.checked_sub(began.elapsed()) {
            std::thread::sleep(rest);
        }
    }
    waits.into_iter().for_each(|w| _ = w.join());
}

fn ask(
    number: u64,
    (front, address, class, name): (usize, std::net::SocketAddr, usize, String),
    load: &Load,
    member: &Member,
    record: &Record,
) {
    let id = format!("s{number}");
    let Load { timeout_ms, work_ms, memory_mb, .. } = *load;
    let now = || record.records.now();
    let mut asked = Asked::new(id.clone(), now(), timeout_ms as i64 * 1000, Repeat::Idempotent);
    asked.rows = 1;
    let limit = timeout_ms.to_string();
    let (work, memory) = (work_ms.to_string(), memory_mb.to_string());
    let fields = [
        ("verb", name.as_str()),
        ("team", "acme"),
        ("limit", limit.as_str()),
        ("cpu", work.as_str()),
        ("heap_mb", memory.as_str()),
    ];
    let statement = format!("id={id},key=,ms={work_ms}");
    let outcome = lines::ask(address, number, &fields, &statement);
    asked.answered = now();
    // A front that was stopped or killed while the statement was out answers late or never, by its own fault.
    let troubled = member.troubled.lock().map(|t| t.clone()).unwrap_or_default();
    let excused = troubled.iter().any(|(from, to)| asked.sent <= *to && asked.answered >= *from);
    asked.may_be_lost = excused;
    if excused {
        asked.timeout += CLIENT_WAIT.as_micros() as i64;
    }
    asked.outcome = outcome;
    if let Ok(mut all) = record.asked.lock() {
        all.push(Offered { front, class, asked });
    }
}
