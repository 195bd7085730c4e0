//! Rules that follow a move of tables: a range of table groups moves from one region to another at
//! a given time, with an overlap in which it is available in both. Such a rule is read as three
//! rules of one name, one for each phase of the move.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::reader::{read_unsigned, Reader};
use super::rule::conflicting_keys;
use crate::error::Problem;
use crate::rule::{Rule, RuleEffect};

const KEYS: &str = "from, to, at, overlap_ms";
/// Keys that set the location or the period of a rule, which a move sets itself.
const EXCLUDED_KEYS: [&str; 6] = ["regions", "barred", "then", "reason", "from", "until"];
/// The overlap allowed, in milliseconds; at most a year.
const OVERLAP_RANGE_MS: RangeInclusive<u64> = 1..=366 * 86_400_000;

/// The move of a range of table groups. `from` and `to` are location indices, ascending.
pub(super) struct Move {
    from: Vec<u16>,
    to: Vec<u16>,
    /// The start of the overlap, in Unix milliseconds.
    at_ms: u64,
    /// The length of the overlap, in milliseconds.
    overlap_ms: u64,
}

impl Move {
    /// Returns the rules for the time before the overlap, during it, and after it.
    pub fn phases(&self, rule: &Rule) -> Vec<Rule> {
        let mut both: Vec<u16> = self.from.iter().chain(&self.to).copied().collect();
        both.sort_unstable();
        both.dedup();
        let ends = self.at_ms.saturating_add(self.overlap_ms);
        let phase = |locations: &[u16], from_ms, until_ms| Rule {
            effect: RuleEffect::Allow {
                locations: Some(locations.to_vec()),
            },
            from_ms,
            until_ms,
            is_move_phase: true,
            ..rule.clone()
        };
        vec![
            phase(&self.from, 0, self.at_ms),
            phase(&both, self.at_ms, ends),
            phase(&self.to, ends, u64::MAX),
        ]
    }
}

impl Reader<'_> {
    /// Reads the move of a rule; `None` if it has an error.
    pub fn read_move(
        &mut self,
        path: &str,
        fields: &Map<String, Value>,
        name: &str,
    ) -> Option<Move> {
        if EXCLUDED_KEYS.iter().any(|key| fields.contains_key(*key)) {
            let why = "moves tables and also sets regions or a period";
            let remedy = "remove `regions`, `barred`, `then`, `reason`, `from` and `until`";
            return self.fail(path, conflicting_keys(name, why, remedy));
        }
        if !fields.contains_key("tables") {
            let why = "moves, but names no tables";
            let remedy = "name the group of tables that moves";
            return self.fail(path, conflicting_keys(name, why, remedy));
        }
        let path = &format!("{path}.moves");
        let Some(Value::Object(moves)) = fields.get("moves") else {
            let needs = "an object of from, to, at and overlap_ms";
            return self.fail(path, Problem::WrongType { needs });
        };
        self.check_keys(path, moves, KEYS);
        if let Some(missing) = KEYS.split(", ").find(|key| !moves.contains_key(*key)) {
            let needs =
                "the regions to move from and to, the time, and the milliseconds for which both regions have the tables";
            return self.fail(&format!("{path}.{missing}"), Problem::Missing { needs });
        }
        let from = self.region(path, moves, "from");
        let to = self.region(path, moves, "to");
        let at_ms = self.time(path, moves, "at");
        let overlap = moves.get("overlap_ms").and_then(read_unsigned);
        let Some(overlap_ms) = overlap.filter(|ms| OVERLAP_RANGE_MS.contains(ms)) else {
            let needs = "a whole number of milliseconds from 1 to 31622400000";
            return self.fail(&format!("{path}.overlap_ms"), Problem::WrongType { needs });
        };
        let (from, to, at_ms) = (from?, to?, at_ms?);
        if at_ms == 0 {
            let needs = "a time after 1970";
            return self.fail(&format!("{path}.at"), Problem::WrongType { needs });
        }
        Some(Move {
            from,
            to,
            at_ms,
            overlap_ms,
        })
    }

    fn region(&mut self, path: &str, moves: &Map<String, Value>, key: &str) -> Option<Vec<u16>> {
        let name = self.read_text(path, moves, key)?;
        let Some(mut locations) = self.known.region_locations(&name) else {
            let problem = self.unknown_region(&name);
            return self.fail(&format!("{path}.{key}"), problem);
        };
        locations.sort_unstable();
        Some(locations)
    }
}
