//! Rules that follow data: a group of tables that moves from one region to another at a time, with an overlap in which
//! it lies at both. Read as three rules of one name, one for each time.

use serde_json::{Map, Value};

use super::reader::{whole, Reader};
use crate::error::Problem;
use crate::rule::{Rule, RuleEffect};

const KEYS: &str = "from, to, at, overlap_ms";
const MOST_OVERLAP_MS: u64 = 366 * 86_400_000; // milliseconds; a year

pub(super) struct Move {
    from: Vec<u16>,
    to: Vec<u16>,
    at_ms: u64,
    overlap_ms: u64,
}

impl Move {
    /// Before its time, while both have the data, and after.
    pub fn phases(&self, rule: &Rule) -> Vec<Rule> {
        let mut both: Vec<u16> = self.from.iter().chain(&self.to).copied().collect();
        both.sort_unstable();
        both.dedup();
        let ends = self.at_ms.saturating_add(self.overlap_ms);
        let phase = |places: &Vec<u16>, from_ms, until_ms| {
            let effect = RuleEffect::Allow {
                places: Some(places.clone()),
            };
            Rule {
                effect,
                from_ms,
                until_ms,
                moves: true,
                ..rule.clone()
            }
        };
        vec![
            phase(&self.from, 0, self.at_ms),
            phase(&both, self.at_ms, ends),
            phase(&self.to, ends, u64::MAX),
        ]
    }
}

impl Reader<'_> {
    /// None where it is faulty.
    pub fn moves(&mut self, path: &str, r: &Map<String, Value>, name: &str) -> Option<Move> {
        let shape = |why, remedy| Problem::Shape {
            rule: name.to_string(),
            why,
            remedy,
        };
        let says = ["regions", "barred", "then", "reason", "from", "until"];
        if says.iter().any(|key| r.contains_key(*key)) {
            let why = "moves, and says otherwise where or when too";
            let remedy = "take out `regions`, `barred`, `then`, `reason`, `from` and `until`";
            return self.problem(path, shape(why, remedy));
        }
        if !r.contains_key("tables") {
            let why = "moves, but names no tables";
            return self.problem(path, shape(why, "name the group of tables that moves"));
        }
        let path = &format!("{path}.moves");
        let Some(Value::Object(moves)) = r.get("moves") else {
            return self.problem(
                path,
                Problem::Kind {
                    needs: "object of from, to, at and overlap_ms",
                },
            );
        };
        self.keys(path, moves, KEYS);
        if let Some(missing) = KEYS.split(", ").find(|key| !moves.contains_key(*key)) {
            let needs =
                "from which region to which, when, and for how many milliseconds it lies at both";
            return self.problem(&format!("{path}.{missing}"), Problem::Missing { needs });
        }
        let (from, to) = (
            self.region(path, moves, "from"),
            self.region(path, moves, "to"),
        );
        let at_ms = self.time(path, moves, "at");
        let overlap = moves.get("overlap_ms").and_then(whole);
        let overlap_ms = match overlap.filter(|ms| (1..=MOST_OVERLAP_MS).contains(ms)) {
            Some(ms) => ms,
            None => {
                let needs = "whole number of milliseconds from 1 to 31622400000";
                return self.problem(&format!("{path}.overlap_ms"), Problem::Kind { needs });
            }
        };
        let (from, to, at_ms) = (from?, to?, at_ms?);
        if at_ms == 0 {
            return self.problem(
                &format!("{path}.at"),
                Problem::Kind {
                    needs: "time after 1970",
                },
            );
        }
        Some(Move {
            from,
            to,
            at_ms,
            overlap_ms,
        })
    }

    fn region(&mut self, path: &str, moves: &Map<String, Value>, key: &str) -> Option<Vec<u16>> {
        let name = self.text(path, moves, key)?;
        let mut places = match self.known.places(&name) {
            Some(places) => places,
            None => {
                let known = self.known.region_names().join(", ");
                return self.problem(
                    &format!("{path}.{key}"),
                    Problem::Name {
                        name,
                        list: "regions",
                        known,
                    },
                );
            }
        };
        places.sort_unstable();
        Some(places)
    }
}
