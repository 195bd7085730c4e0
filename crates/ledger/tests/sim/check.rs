//! What must hold of all that fronts asked and were answered, whatever happened meanwhile.

use std::collections::{BTreeMap, BTreeSet};

use hallmux_ledger::{Key, LedgerAnswer, Micros, Operation, Outcome};

/// One ask of a front, in true time.
#[derive(Clone, Debug)]
pub struct Op {
    pub front: usize,
    pub incarnation: u64,
    pub number: u64,
    pub key: Key,
    pub operation: Operation,
    pub asked: Micros,
    /// Milliseconds that its front's Unix clock is ahead.
    pub ahead: i64,
    pub done: Option<(Micros, Outcome)>,
}

#[derive(Clone, Debug, Default)]
pub struct Record {
    pub ops: Vec<Op>,
    /// When a front's life ended: it holds nothing any more.
    pub died: BTreeMap<(usize, u64), Micros>,
    /// Asks that were `Held` and told later that the key is free.
    pub turns: BTreeSet<(usize, u64)>,
}

const WALL: i64 = 1_800_000_000_000;

impl Record {
    pub fn died(&mut self, front: usize, incarnation: u64, at: Micros) {
        self.died.insert((front, incarnation), at);
    }

    pub fn answered(&mut self, front: usize, incarnation: u64, done: LedgerAnswer, at: Micros) {
        let mut ops = self.ops.iter_mut().rev();
        let op = ops
            .find(|op| (op.front, op.incarnation, op.number) == (front, incarnation, done.number));
        if let Some(op) = op {
            // An ask that was unreachable and is asked again has its latest answer.
            if op
                .done
                .as_ref()
                .is_none_or(|(_, before)| *before == Outcome::Unreachable)
            {
                op.done = Some((at, done.outcome));
            } else {
                self.turns.insert((front, done.number));
            }
        }
    }

    pub fn outcome(&self, front: usize, incarnation: u64, number: u64) -> Option<&Outcome> {
        let mut ops = self.ops.iter().rev();
        let op =
            ops.find(|op| (op.front, op.incarnation, op.number) == (front, incarnation, number));
        op.and_then(|op| op.done.as_ref())
            .map(|(_, outcome)| outcome)
    }

    /// Everything that is wrong with it.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = self.held_twice();
        faults.extend(self.gone_back());
        faults.extend(self.counted_twice());
        faults
    }

    /// Two fronts hold a key at a time. One holds it from its answer until it asks to free it, its end on its own
    /// clock, or its own end.
    fn held_twice(&self) -> Vec<String> {
        let mut holds: BTreeMap<&Key, Vec<(Micros, Micros, usize)>> = BTreeMap::new();
        for op in &self.ops {
            let (Operation::Claim { ends_ms, .. }, Some((from, Outcome::Stands(_)))) =
                (&op.operation, &op.done)
            else {
                continue;
            };
            let mine = |other: &&Op| (other.front, other.incarnation) == (op.front, op.incarnation);
            // A later claim of its own goes before, whatever becomes of it.
            let later = |o: &&Op| match o.operation {
                Operation::Free => o.asked >= op.asked,
                Operation::Claim { .. } => o.asked > op.asked,
                _ => false,
            };
            let frees = self
                .ops
                .iter()
                .filter(mine)
                .filter(|o| o.key == op.key)
                .filter(later);
            let freed = frees.map(|o| o.asked).min().unwrap_or(Micros::MAX);
            let ends = match ends_ms {
                0 => Micros::MAX,
                ends => (*ends as i64 - WALL - op.ahead) * 1_000,
            };
            let died = self
                .died
                .get(&(op.front, op.incarnation))
                .copied()
                .unwrap_or(Micros::MAX);
            let until = freed.min(ends).min(died);
            if *from < until {
                holds
                    .entry(&op.key)
                    .or_default()
                    .push((*from, until, op.front));
            }
        }
        let mut faults = Vec::new();
        for (key, mut holds) in holds {
            holds.sort_unstable();
            for (n, a) in holds.iter().enumerate() {
                for b in holds[n + 1..].iter().take_while(|b| b.0 < a.1) {
                    if a.2 != b.2 {
                        faults.push(format!(
                            "{} is held by {} and {} at {}",
                            key.name, a.2, b.2, b.0
                        ));
                    }
                }
            }
        }
        faults
    }

    /// What was acknowledged is lost, or something older is told later. Keys with names in `r` never end.
    fn gone_back(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let done: Vec<(&Op, Micros, u64)> = self
            .ops
            .iter()
            .filter_map(|op| match &op.done {
                Some((at, Outcome::Stands(entry) | Outcome::Held(entry))) => {
                    Some((op, *at, entry.version))
                }
                _ => None,
            })
            .collect();
        let mut highest: BTreeMap<&Key, Vec<(Micros, u64)>> = BTreeMap::new();
        for (op, at, version) in &done {
            highest.entry(&op.key).or_default().push((*at, *version));
        }
        let before = |key: &Key, at: Micros| {
            highest.get(key).and_then(|told| {
                told.iter()
                    .filter(|(done, _)| *done < at)
                    .map(|(_, v)| *v)
                    .max()
            })
        };
        for op in &self.ops {
            let Some((_, outcome)) = &op.done else {
                continue;
            };
            let Some(known) = before(&op.key, op.asked) else {
                continue;
            };
            match outcome {
                Outcome::Stands(entry) | Outcome::Held(entry) if entry.version < known => {
                    faults.push(format!(
                        "{} is at {} after {known}: {op:?}",
                        op.key.name, entry.version
                    ));
                }
                Outcome::Absent if op.key.name.starts_with('r') => {
                    faults.push(format!("{} is lost after {known}: {op:?}", op.key.name));
                }
                _ => {}
            }
        }
        faults
    }

    /// One put, by its value, was applied under two versions. Values tell their put.
    fn counted_twice(&self) -> Vec<String> {
        let mut versions: BTreeMap<(&Key, &[u8]), BTreeSet<u64>> = BTreeMap::new();
        for op in &self.ops {
            if let Some((_, Outcome::Stands(entry))) = &op.done {
                if entry.key.name.starts_with('r') {
                    versions
                        .entry((&op.key, &entry.value))
                        .or_default()
                        .insert(entry.version);
                }
            }
        }
        let twice = versions
            .into_iter()
            .filter(|(_, versions)| versions.len() > 1);
        twice
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

    fn stands(name: &str, front: u64, version: u64, value: u8) -> Outcome {
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

    fn op(front: usize, name: &str, operation: Operation, asked: Micros, done: Outcome) -> Op {
        let number = asked as u64;
        let done = Some((asked + 10, done));
        Op {
            front,
            incarnation: 1,
            number,
            key: key(name),
            operation,
            asked,
            ahead: 0,
            done,
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

    fn faults(ops: Vec<Op>) -> Vec<String> {
        Record {
            ops,
            died: BTreeMap::new(),
            turns: BTreeSet::new(),
        }
        .faults()
    }

    #[test]
    fn a_key_held_twice_is_flagged_and_one_after_the_other_is_not() {
        let first = op(1, "a", claim(WALL as u64 + 1), 0, stands("a", 1, 1, 0));
        let second = |asked| op(2, "a", claim(0), asked, stands("a", 2, 2, 0));
        assert!(faults(vec![first.clone(), second(1_000)]).is_empty());
        assert!(faults(vec![first.clone(), second(500)])[0].contains("is held by 1 and 2"));
        let free = op(1, "a", Operation::Free, 300, Outcome::Absent);
        assert!(faults(vec![first, free, second(500)]).is_empty());
    }

    #[test]
    fn a_lost_entry_a_version_gone_back_and_a_put_that_counts_twice_are_flagged() {
        let wrote = op(1, "r", put(), 0, stands("r", 1, 5, 1));
        let read = |outcome| op(2, "r", Operation::Read, 100, outcome);
        assert!(faults(vec![wrote.clone(), read(stands("r", 1, 5, 1))]).is_empty());
        assert!(faults(vec![wrote.clone(), read(Outcome::Absent)])[0].contains("is lost"));
        assert!(
            faults(vec![wrote.clone(), read(stands("r", 1, 4, 9))])[0].contains("is at 4 after 5")
        );
        assert!(faults(vec![wrote, read(stands("r", 1, 6, 1))])[0].contains("counts as"));
    }
}
