//! Checks of the history of requests and answers that must hold whatever faults occurred.

use std::collections::{BTreeMap, BTreeSet};

use hallmux_ledger::{Key, LedgerAnswer, Micros, Operation, Outcome};

/// One request of a front, in simulated time.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub front: usize,
    pub incarnation: u64,
    pub number: u64,
    pub key: Key,
    pub operation: Operation,
    pub submitted_at: Micros,
    /// Milliseconds by which the front's Unix clock is ahead.
    pub clock_ahead_ms: i64,
    pub answer: Option<(Micros, Outcome)>,
}

#[derive(Clone, Debug, Default)]
pub struct History {
    pub requests: Vec<RequestRecord>,
    /// When a front's incarnation ended, and with it all its holds.
    pub ended_at: BTreeMap<(usize, u64), Micros>,
    /// Requests that were answered `Held` and later notified that the key is free.
    pub freed_keys: BTreeSet<(usize, u64)>,
}

const WALL: i64 = 1_800_000_000_000;

impl History {
    pub fn record_end(&mut self, front: usize, incarnation: u64, at: Micros) {
        self.ended_at.insert((front, incarnation), at);
    }

    pub fn record_answer(
        &mut self,
        front: usize,
        incarnation: u64,
        answer: LedgerAnswer,
        at: Micros,
    ) {
        let mut requests = self.requests.iter_mut().rev();
        let op = requests.find(|op| {
            (op.front, op.incarnation, op.number) == (front, incarnation, answer.number)
        });
        if let Some(op) = op {
            // A repeated request that was unreachable has its latest answer.
            if op
                .answer
                .as_ref()
                .is_none_or(|(_, before)| *before == Outcome::Unreachable)
            {
                op.answer = Some((at, answer.outcome));
            } else {
                self.freed_keys.insert((front, answer.number));
            }
        }
    }

    pub fn outcome(&self, front: usize, incarnation: u64, number: u64) -> Option<&Outcome> {
        let mut requests = self.requests.iter().rev();
        let op = requests
            .find(|op| (op.front, op.incarnation, op.number) == (front, incarnation, number));
        op.and_then(|op| op.answer.as_ref())
            .map(|(_, outcome)| outcome)
    }

    /// All violations in the history.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.double_holds();
        violations.extend(self.lost_or_stale());
        violations.extend(self.applied_twice());
        violations
    }

    /// Finds keys held by two fronts at a time. A front holds a key from the answer to its claim
    /// until it submits a free, the entry expires on its own clock, or its incarnation ends.
    fn double_holds(&self) -> Vec<String> {
        let mut holds: BTreeMap<&Key, Vec<(Micros, Micros, usize)>> = BTreeMap::new();
        for op in &self.requests {
            let (Operation::Claim { ends_ms, .. }, Some((from, Outcome::Stands(_)))) =
                (&op.operation, &op.answer)
            else {
                continue;
            };
            let is_same_incarnation = |other: &&RequestRecord| {
                (other.front, other.incarnation) == (op.front, op.incarnation)
            };
            // A later claim of the same front replaces this one, whatever its outcome.
            let ends_the_hold = |o: &&RequestRecord| match o.operation {
                Operation::Free => o.submitted_at >= op.submitted_at,
                Operation::Claim { .. } => o.submitted_at > op.submitted_at,
                _ => false,
            };
            let later_requests = self
                .requests
                .iter()
                .filter(is_same_incarnation)
                .filter(|o| o.key == op.key)
                .filter(ends_the_hold);
            let freed_at = later_requests
                .map(|o| o.submitted_at)
                .min()
                .unwrap_or(Micros::MAX);
            let ends = match ends_ms {
                0 => Micros::MAX,
                ends => (*ends as i64 - WALL - op.clock_ahead_ms) * 1_000,
            };
            let ended_at = self
                .ended_at
                .get(&(op.front, op.incarnation))
                .copied()
                .unwrap_or(Micros::MAX);
            let until = freed_at.min(ends).min(ended_at);
            if *from < until {
                holds
                    .entry(&op.key)
                    .or_default()
                    .push((*from, until, op.front));
            }
        }
        let mut violations = Vec::new();
        for (key, mut holds) in holds {
            holds.sort_unstable();
            for (n, a) in holds.iter().enumerate() {
                for b in holds[n + 1..].iter().take_while(|b| b.0 < a.1) {
                    if a.2 != b.2 {
                        violations.push(format!(
                            "{} is held by {} and {} at {}",
                            key.name, a.2, b.2, b.0
                        ));
                    }
                }
            }
        }
        violations
    }

    /// Finds acknowledged entries that were lost, and answers with an older version than an earlier
    /// answer. Keys with names that start with `r` never expire.
    fn lost_or_stale(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let answer: Vec<(&RequestRecord, Micros, u64)> = self
            .requests
            .iter()
            .filter_map(|op| match &op.answer {
                Some((at, Outcome::Stands(entry) | Outcome::Held(entry))) => {
                    Some((op, *at, entry.version))
                }
                _ => None,
            })
            .collect();
        let mut highest: BTreeMap<&Key, Vec<(Micros, u64)>> = BTreeMap::new();
        for (op, at, version) in &answer {
            highest.entry(&op.key).or_default().push((*at, *version));
        }
        let before = |key: &Key, at: Micros| {
            highest.get(key).and_then(|versions| {
                versions
                    .iter()
                    .filter(|(answer, _)| *answer < at)
                    .map(|(_, v)| *v)
                    .max()
            })
        };
        for op in &self.requests {
            let Some((_, outcome)) = &op.answer else {
                continue;
            };
            let Some(known) = before(&op.key, op.submitted_at) else {
                continue;
            };
            match outcome {
                Outcome::Stands(entry) | Outcome::Held(entry) if entry.version < known => {
                    violations.push(format!(
                        "{} is at {} after {known}: {op:?}",
                        op.key.name, entry.version
                    ));
                }
                Outcome::Absent if op.key.name.starts_with('r') => {
                    violations.push(format!("{} is lost after {known}: {op:?}", op.key.name));
                }
                _ => {}
            }
        }
        violations
    }

    /// Finds writes that were applied under two versions. The value identifies the write.
    fn applied_twice(&self) -> Vec<String> {
        let mut versions: BTreeMap<(&Key, &[u8]), BTreeSet<u64>> = BTreeMap::new();
        for op in &self.requests {
            if let Some((_, Outcome::Stands(entry))) = &op.answer {
                if entry.key.name.starts_with('r') {
                    versions
                        .entry((&op.key, &entry.value))
                        .or_default()
                        .insert(entry.version);
                }
            }
        }
        let applied_more_than_once = versions
            .into_iter()
            .filter(|(_, versions)| versions.len() > 1);
        applied_more_than_once
            .map(|((key, value), versions)| {
                format!("{} {value:?} counts as {versions:?}", key.name)
            })
            .collect()
    }
}

mod tests {
    use super::*;
    use hallmux_ledger::{Entry, Kind, Owner};

    fn key(name: &str) -> Key {
        Key {
            kind: Kind::Order,
            name: name.to_string(),
        }
    }

    fn standing(name: &str, front: u64, version: u64, value: u8) -> Outcome {
        let owner = Owner {
            front,
            incarnation: 1,
        };
        Outcome::Stands(Entry {
            key: key(name),
            owner,
            version,
            ends_ms: 0,
            value: vec![value],
        })
    }

    fn op(
        front: usize,
        name: &str,
        operation: Operation,
        submitted_at: Micros,
        answer: Outcome,
    ) -> RequestRecord {
        let number = submitted_at as u64;
        let answer = Some((submitted_at + 10, answer));
        RequestRecord {
            front,
            incarnation: 1,
            number,
            key: key(name),
            operation,
            submitted_at,
            clock_ahead_ms: 0,
            answer,
        }
    }

    fn claim(ends_ms: u64) -> Operation {
        Operation::Claim {
            ends_ms,
            value: vec![],
        }
    }

    fn put() -> Operation {
        Operation::Put {
            expects: None,
            ends_ms: 0,
            value: vec![],
        }
    }

    fn violations(requests: Vec<RequestRecord>) -> Vec<String> {
        History {
            requests,
            ended_at: BTreeMap::new(),
            freed_keys: BTreeSet::new(),
        }
        .violations()
    }

    #[test]
    fn a_key_held_twice_is_flagged_and_one_after_the_other_is_not() {
        let first = op(1, "a", claim(WALL as u64 + 1), 0, standing("a", 1, 1, 0));
        let second = |submitted_at| op(2, "a", claim(0), submitted_at, standing("a", 2, 2, 0));
        assert!(violations(vec![first.clone(), second(1_000)]).is_empty());
        assert!(violations(vec![first.clone(), second(500)])[0].contains("is held by 1 and 2"));
        let free = op(1, "a", Operation::Free, 300, Outcome::Absent);
        assert!(violations(vec![first, free, second(500)]).is_empty());
    }

    #[test]
    fn a_lost_entry_a_version_gone_back_and_a_put_that_counts_twice_are_flagged() {
        let wrote = op(1, "r", put(), 0, standing("r", 1, 5, 1));
        let read = |outcome| op(2, "r", Operation::Read, 100, outcome);
        assert!(violations(vec![wrote.clone(), read(standing("r", 1, 5, 1))]).is_empty());
        assert!(violations(vec![wrote.clone(), read(Outcome::Absent)])[0].contains("is lost"));
        assert!(
            violations(vec![wrote.clone(), read(standing("r", 1, 4, 9))])[0]
                .contains("is at 4 after 5")
        );
        assert!(violations(vec![wrote, read(standing("r", 1, 6, 1))])[0].contains("counts as"));
    }
}
