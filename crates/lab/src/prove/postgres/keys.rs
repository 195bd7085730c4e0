//! Statements with the same order keys over both protocols.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::clients::text;
use super::notes::Notes;
use crate::check::{Outcome, Repeat, StatementRecord};
use crate::lines;
use crate::scripted::session;

/// Sends statements with the same order keys over both protocols, each once the front is known to
/// have accepted the one before.
pub(super) fn both_protocols(
    seed: u64,
    lines: SocketAddr,
    sessions: SocketAddr,
    notes: &Arc<Notes>,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xb07);
    let mut number = 1;
    while !notes.is_stopping() {
        let key = format!("both{}", rng.random_range(0..3));
        let mut pending = Vec::new();
        for _ in 0..4 {
            let asked = StatementRecord {
                key: key.clone(),
                rows: 1,
                ..notes.new_statement(Repeat::Deduplicated)
            };
            let answer = match rng.random_bool(0.5) {
                true => ask_in_lines(lines, number, &asked),
                false => ask_in_session(sessions, &asked),
            };
            number += 1;
            let records = notes.records.clone();
            let wait = std::thread::spawn(move || {
                let outcome = answer.map_or(Outcome::Lost, |answer| answer());
                // A statement that a Thrift client sees aborted may or may not have run.
                StatementRecord {
                    outcome,
                    answered: records.now(),
                    ..asked
                }
            });
            pending.push((
                wait,
                session::round_trip(sessions)
                    .ok()
                    .map(|()| notes.records.now()),
            ));
        }
        for (wait, accepted_at) in pending {
            wait.join().into_iter().for_each(|asked| {
                notes.record(StatementRecord {
                    accepted_at,
                    ..asked
                })
            });
        }
    }
}

/// Waits for the answer to a statement that was sent.
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
