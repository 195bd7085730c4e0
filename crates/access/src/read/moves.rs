//! Rules that follow data: a group of tables that moves from one region to another at a time, with an overlap in which
//! it lies at both. Read as three rules of one name, one for each time.

use std::ops::RangeInclusive;

use serde_json::{Map, Value};

use super::reader::{read_unsigned, Reader};
use super::rule::conflicting_keys;
use crate::error::Problem;
use crate::rule::{Rule, RuleEffect};

const KEYS: &str = "from, to, at, overlap_ms";
/// Keys of a rule that say where or when; a move does so itself.
const EXCLUDED_KEYS: [&str; 6] = ["regions", "barred", "then", "reason", "from", "until"];
/// Milliseconds for which the tables may lie at both regions; at most a year.
const OVERLAP_RANGE_MS: RangeInclusive<u64> = 1..=366 * 86_400_000;

/// The move of a group of tables. Regions are places, ascending.
pub(super) struct Move {
    from: Vec<u16>,
    to: Vec<u16>,
    /// When it lies at both, in Unix milliseconds.
    at_ms: u64,
    /// Milliseconds for which it lies at both.
    overlap_ms: u64,
}

impl Move {
    /// Before its time, while both have the data, and after.
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
    /// The move of a rule; None where it is faulty.
    pub fn read_move(
        &mut self,
        path: &str,
        fields: &Map<String, Value>,
        name: &str,
    ) -> Option<Move> {
        if EXCLUDED_KEYS.iter().any(|key| fields.contains_key(*key)) {
            let why = "moves, and says otherwise where or when too";
            let remedy = "take out `regions`, `barred`, `then`, `reason`, `from` and `until`";
            return self.fail(path, conflicting_keys(name, why, remedy));
        }
        if !fields.contains_key("tables") {
            let why = "moves, but names no tables";
            let remedy = "name the group of tables that moves";
            return self.fail(path, conflicting_keys(name, why, remedy));
        }
        let path = &format!("{path}.moves");
        let Some(Value::Object(moves)) = fields.get("moves") else {
            let needs = "object of from, to, at and overlap_ms";
            return self.fail(path, Problem::WrongType { needs });
        };
        self.check_keys(path, moves, KEYS);
        if let Some(missing) = KEYS.split(", ").find(|key| !moves.contains_key(*key)) {
            let needs =
                "from which region to which, when, and for how many milliseconds it lies at both";
            return self.fail(&format!("{path}.{missing}"), Problem::Missing { needs });
        }
        let from = self.region(path, moves, "from");
        let to = self.region(path, moves, "to");
        let at_ms = self.time(path, moves, "at");
        let overlap = moves.get("overlap_ms").and_then(read_unsigned);
        let Some(overlap_ms) = overlap.filter(|ms| OVERLAP_RANGE_MS.contains(ms)) else {
            let needs = "whole number of milliseconds from 1 to 31622400000";
            return self.fail(&format!("{path}.overlap_ms"), Problem::WrongType { needs });
        };
        let (from, to, at_ms) = (from?, to?, at_ms?);
        if at_ms == 0 {
            let needs = "time after 1970";
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
