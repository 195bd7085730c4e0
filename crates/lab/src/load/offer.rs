//! The load of a fleet scenario: statements at the agreed rate, over all fronts that accept them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::check::{Outcome, Repeat, StatementRecord};
use crate::engine::lines;
use crate::record::offered::Offered;
use crate::rig::member::{ClientRecord, Member};
use crate::rig::scenario::{Scenario, Step};
use crate::rig::starvation_watch::thread_cpu_wait;

const CLIENT_RETRY_DELAY_MS: std::ops::Range<u64> = 20..400; // time until a client retries

/// Offers the load for the duration of the scenario: statements at the agreed rate, each to a
/// random front that accepts statements. Returns when all have been answered.
pub(crate) fn offer(
    scenario: &Scenario,
    seed: u64,
    members: &[Arc<Member>],
    record: &Arc<ClientRecord>,
    stop: &AtomicBool,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let began = Instant::now();
    let (load, seconds) = (&scenario.load, scenario.seconds);
    let gap = Duration::from_micros(1_000_000 / load.per_second);
    let mut clients = Vec::new();
    let mut number = 0u64;
    while !stop.load(SeqCst) && began.elapsed() < Duration::from_secs(seconds) {
        number += 1;
        let class = scenario.draw_class(rng.random());
        let client = Client {
            number,
            class,
            key: scenario.classes[class]
                .keys
                .checked_sub(1)
                .map(|most| rng.random_range(0..=most)),
            seed: rng.random(),
            scenario: scenario.clone(),
        };
        let (members, record) = (members.to_vec(), record.clone());
        clients.push(std::thread::spawn(move || client.run(&members, &record)));
        let due = gap * number as u32;
        if let Some(rest) = due.checked_sub(began.elapsed()) {
            std::thread::sleep(rest);
        }
    }
    clients.into_iter().for_each(|w| _ = w.join());
}

/// The client of one statement, at one front and, if its workload allows it, again at others.
struct Client {
    number: u64,
    class: usize,
    key: Option<usize>,
    seed: u64,
    scenario: Scenario,
}

impl Client {
    fn run(&self, members: &[Arc<Member>], record: &ClientRecord) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let class = &self.scenario.classes[self.class];
        let mut before = Vec::new();
        for _ in 0..=class.asks_again {
            let candidates: Vec<&Arc<Member>> = (members.iter())
                .filter(|m| {
                    m.accepts_statements(record.records.now()) && !before.contains(&m.number)
                })
                .collect();
            let Some(member) = candidates.get(rng.random_range(0..candidates.len().max(1))) else {
                return;
            };
            let address = member
                .front
                .lock()
                .ok()
                .and_then(|f| f.as_ref().map(|f| f.statement_address));
            let Some(address) = address else { return };
            let outcome = self.execute(member, address, record, !before.is_empty());
            // A lost or aborted statement may have executed: it is repeated only if its workload
            // allows it.
            let may_retry = match &outcome {
                Outcome::Error(code) if code == "53000" => true,
                Outcome::Error(_) | Outcome::Lost => class.repeat() != Repeat::NonIdempotent,
                _ => false,
            };
            if !may_retry {
                return;
            }
            before.push(member.number);
            std::thread::sleep(Duration::from_millis(
                rng.random_range(CLIENT_RETRY_DELAY_MS),
            ));
        }
    }

    fn execute(
        &self,
        member: &Member,
        address: SocketAddr,
        record: &ClientRecord,
        is_retry: bool,
    ) -> Outcome {
        let (class, load) = (&self.scenario.classes[self.class], &self.scenario.load);
        let id = format!("s{}", self.number);
        let timeout_ms = class.timeout_ms.unwrap_or(load.timeout_ms);
        let work_ms = class.work_ms.unwrap_or(load.work_ms);
        let owner = if self.scenario.fleet.keys_by_front {
            format!("-f{}", member.number)
        } else {
            String::new()
        };
        let key = self
            .key
            .map(|key| format!("{}-{key}{owner}", class.name))
            .unwrap_or_default();
        let now = || record.records.now();
        let mut asked =
            StatementRecord::new(id.clone(), now(), timeout_ms as i64 * 1000, class.repeat());
        (asked.rows, asked.key) = (1, key.clone());
        let (timeout_text, work, memory) = (
            timeout_ms.to_string(),
            work_ms.to_string(),
            load.memory_mb.to_string(),
        );
        let unique = format!("u{}", self.number);
        let mut fields = vec![
            ("verb", class.name.as_str()),
            ("team", class.customer.as_str()),
            ("limit", timeout_text.as_str()),
            ("cpu", work.as_str()),
            ("heap_mb", memory.as_str()),
        ];
        if !key.is_empty() {
            fields.push(("item", key.as_str()));
        }
        if class.repeat() == Repeat::Deduplicated {
            fields.push(("unique", unique.as_str()));
        }
        let (continues, needs_entry) = (
            u8::from(class.goes_on),
            u8::from(class.needs_ledger_entry()),
        );
        let statement =
            format!("id={id},key={key},ms={work_ms},on={continues},promised={needs_entry}");
        if class.needs_ledger_entry() {
            let (records, front) = (record.records.clone(), member.number);
            // About when the front receives the statement: a little before or after.
            let wait = Duration::from_micros(200 + self.seed % 400);
            std::thread::spawn(move || {
                std::thread::sleep(wait);
                records.step_reached(Step::Taken, front);
            });
        }
        let before = thread_cpu_wait();
        let (outcome, later) =
            lines::ask_with_retry_hint(address, self.number, &fields, &statement);
        asked.outcome = outcome;
        asked.answered = now();
        let starved = thread_cpu_wait() - before;
        let outcome = asked.outcome.clone();
        // Rejected without a hint to retry and well within its timeout: by a rule, not for lack of
        // an engine or a ledger entry.
        let soon = asked.answered - asked.sent < asked.timeout / 2;
        let barred = !later && soon && matches!(&outcome, Outcome::Error(code) if code == "53000");
        let (front, class) = (member.number, self.class);
        if let Ok(mut all) = record.offered.lock() {
            all.push(Offered {
                front,
                class,
                asked,
                barred,
                is_retry,
                starved,
            });
        }
        outcome
    }
}
