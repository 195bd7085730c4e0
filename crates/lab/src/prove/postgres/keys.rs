//! The same order keys from both protocols.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::clients::text;
use super::notes::Notes;
use crate::check::{Outcome, Repeat, StatementRecord};
use crate::lines;
use crate::scripted::session;

/// The same order keys from both protocols, each statement sent once the front is known to have accepted_at the last.
pub(super) fn both_protocols(
    seed: u64,
    lines: SocketAddr,
    sessions: SocketAddr,
    notes: &Arc<Notes>,
) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0xb07);
    let mut number = 1;
    while !notes.over() {
        let key = format!("both{}", chance.random_range(0..3));
        let mut waits = Vec::new();
        for _ in 0..4 {
            let asked = StatementRecord {
                key: key.clone(),
                rows: 1,
                ..notes.fresh(Repeat::Deduplicated)
            };
            let answer = match chance.random_bool(0.5) {
                true => ask_in_lines(lines, number, &asked),
                false => ask_in_session(sessions, &asked),
            };
            number += 1;
            let records = notes.records.clone();
            let wait = std::thread::spawn(move || {
                let outcome = answer.map_or(Outcome::Lost, |answer| answer());
                // What a Thrift client calls aborted may or may not have run.
                StatementRecord {
                    outcome,
                    answered: records.now(),
                    ..asked
                }
            });
            waits.push((
                wait,
                session::round_trip(sessions)
                    .ok()
                    .map(|()| notes.records.now()),
            ));
        }
        for (wait, accepted_at) in waits {
            wait.join().into_iter().for_each(|asked| {
                notes.note(StatementRecord {
                    accepted_at,
                    ..asked
                })
            });
        }
    }
}

/// What waits for the answer to a statement that has left.
type PendingAnswer = Box<dyn FnOnce() -> Outcome + Send>;

fn ask_in_lines(
    at: SocketAddr,
    number: u64,
    asked: &StatementRecord,
) -> std::io::Result<PendingAnswer> {
    let statement = format!("id={},key={},ms=15", asked.id, asked.key);
    let dedup = format!("d{}", asked.id);
    let fields = [
        ("verb", "log-load"),
        ("team", "acme"),
        ("limit", "3000"),
        ("item", asked.key.as_str()),
        ("unique", dedup.as_str()),
    ];
    let mut client = lines::Client::open(at)?;
    client.send(number, &fields, &statement)?;
    Ok(Box::new(move || client.answer()))
}

fn ask_in_session(at: SocketAddr, asked: &StatementRecord) -> std::io::Result<PendingAnswer> {
    let label = format!(
        "/*hallmux.workload='log-load',hallmux.key='{}',hallmux.dedup_key='d{}'*/ ",
        asked.key, asked.id
    );
    let mut session = session::open_with_query(at, &text(&label, asked, 15))?;
    let asked = asked.clone();
    Ok(Box::new(move || session::answer(&mut session, &asked)))
}
