//! One entry of a file's list of rules.

use serde_json::{Map, Value};

use super::reader::{number, whole, Reader};
use crate::error::Problem;
use crate::rule::{RateLimit, Rule, RuleEffect, TableRange};
use crate::Micros;

const RULE_KEYS: &str =
    "name, customer, workload, tables, front, regions, barred, then, reason, at_most, in_ms, moves, \
     priority, from, until";
const MOST_AT_ONCE: u64 = 100_000; // of a limit; some 8 bytes for each statement that began in its window
const WINDOW_MS: (u64, u64) = (1_000, 86_400_000); // milliseconds: below, what is under way weighs; a day

impl Reader<'_> {
    /// The rules that an entry of the list stands for: one, or three for one that moves. `None` where it is faulty.
    pub(super) fn rule(&mut self, place: usize, value: &Value) -> Option<Vec<Rule>> {
        let path = &format!("rules[{place}]");
        let Value::Object(r) = value else {
            return self.problem(path, Problem::Kind { needs: "rule" });
        };
        let before = self.errors.len();
        self.keys(path, r, RULE_KEYS);
        let name = self.rule_name(path, r);
        let known = self.known;
        let customer = self.customer(path, r, &name);
        let workloads = known.workloads.iter().map(|w| w.name.clone()).collect();
        let workload = self.name(path, r, "workload", "settings' workloads", workloads);
        let front = self.name(path, r, "front", "regions", known.region_names());
        let tables = r.get("tables").and_then(|t| self.tables(path, t));
        let priority = self.priority(path, r);
        let (from_ms, until_ms) = self.period(path, r, &name);
        let moved = r.contains_key("moves").then(|| self.moves(path, r, &name));
        let effect = match &moved {
            Some(_) => Some(RuleEffect::Allow { places: None }),
            None => self.effect(path, r, &name),
        };
        let limit = self.limit_of(path, r, &name, effect.as_ref());
        let (effect, moves) = (effect?, false);
        #[rustfmt::skip]
        let rule = Rule {
            name, customer, workload, tables, front, effect, limit, priority, from_ms, until_ms, moves, place,
        };
        let rules = match moved {
            Some(moved) => moved?.phases(&rule),
            None => vec![rule],
        };
        (self.errors.len() == before).then_some(rules)
    }

    fn rule_name(&mut self, path: &str, r: &Map<String, Value>) -> String {
        let needs = "a name that the log and the counts can give it";
        match r.contains_key("name") {
            true => self.text(path, r, "name").unwrap_or_default(),
            false => self
                .problem(path, Problem::Missing { needs })
                .unwrap_or_default(),
        }
    }

    fn customer(&mut self, path: &str, r: &Map<String, Value>, rule: &str) -> Option<String> {
        let known = self.known;
        let customer = self.name(
            path,
            r,
            "customer",
            "settings' customers",
            known.customers.clone(),
        );
        if let Some(customer) = customer.as_ref().filter(|customer| !known.covers(customer)) {
            let what = Problem::NotCovered {
                rule: rule.to_string(),
                customer: customer.clone(),
            };
            self.errors.push((format!("{path}.customer"), what));
        }
        customer
    }

    fn priority(&mut self, path: &str, r: &Map<String, Value>) -> i32 {
        match r
            .get("priority")
            .map(|p| number(p).and_then(|p| i32::try_from(p).ok()))
        {
            None => 0,
            Some(Some(priority)) => priority,
            Some(None) => {
                let what = Problem::Kind {
                    needs: "whole number",
                };
                self.problem(&format!("{path}.priority"), what)
                    .unwrap_or_default()
            }
        }
    }

    /// From when and until when it holds, in Unix milliseconds.
    fn period(&mut self, path: &str, r: &Map<String, Value>, rule: &str) -> (u64, u64) {
        let from_ms = self.time(path, r, "from").unwrap_or(0);
        let until_ms = self.time(path, r, "until").unwrap_or(u64::MAX);
        if from_ms >= until_ms {
            let what = Problem::Shape {
                rule: rule.to_string(),
                why: "ends before it begins",
                remedy: "give `until` a time after `from`",
            };
            self.errors.push((format!("{path}.until"), what));
        }
        (from_ms, until_ms)
    }

    /// Its limit; only a rule that allows may have one.
    fn limit_of(
        &mut self,
        path: &str,
        r: &Map<String, Value>,
        rule: &str,
        effect: Option<&RuleEffect>,
    ) -> Option<RateLimit> {
        let limit = self.limit(path, r, rule);
        let allows = effect.is_none_or(|effect| matches!(effect, RuleEffect::Allow { .. }));
        if limit.is_some() && !allows {
            let what = Problem::Shape {
                rule: rule.to_string(),
                why: "has a limit though it does not allow",
                remedy: "take out `at_most` and `in_ms`, or say then: 'allow'",
            };
            self.errors.push((format!("{path}.at_most"), what));
        }
        limit
    }

    fn tables(&mut self, path: &str, value: &Value) -> Option<TableRange> {
        let group = |v: &Value| whole(v).and_then(|v| u32::try_from(v).ok());
        let tables = match value {
            Value::Array(ends) => match ends.as_slice() {
                [first, last] => group(first)
                    .zip(group(last))
                    .filter(|(first, last)| first <= last),
                _ => None,
            },
            one => group(one).map(|one| (one, one)),
        };
        match tables {
            Some((first, last)) => Some(TableRange { first, last }),
            None => {
                let needs = "number of a group of tables, nor [first, last]";
                self.problem(&format!("{path}.tables"), Problem::Kind { needs })
            }
        }
    }

    fn limit(&mut self, path: &str, r: &Map<String, Value>, name: &str) -> Option<RateLimit> {
        let (most, window) = (r.get("at_most"), r.get("in_ms"));
        if most.is_some() != window.is_some() {
            let what = Problem::Shape {
                rule: name.to_string(),
                why: "has one of `at_most` and `in_ms`",
                remedy: "give both: so many statements, in a window of so many milliseconds",
            };
            return self.problem(path, what);
        }
        let needs = "whole number from 1 to 100000";
        let most = match whole(most?).filter(|most| (1..=MOST_AT_ONCE).contains(most)) {
            Some(most) => most,
            None => return self.problem(&format!("{path}.at_most"), Problem::Kind { needs }),
        };
        match whole(window?).filter(|ms| (WINDOW_MS.0..=WINDOW_MS.1).contains(ms)) {
            Some(ms) => Some(RateLimit {
                most: most as u32,
                window: ms as Micros * 1000,
            }),
            None => {
                let needs = "whole number of milliseconds from 1000 to 86400000";
                self.problem(&format!("{path}.in_ms"), Problem::Kind { needs })
            }
        }
    }

    pub fn time(&mut self, path: &str, object: &Map<String, Value>, key: &str) -> Option<u64> {
        let text = self.text(path, object, key)?;
        let time = text
            .parse::<jiff::Timestamp>()
            .ok()
            .and_then(|t| u64::try_from(t.as_millisecond()).ok());
        let needs = "time by RFC 3339, such as '2026-12-01T06:00:00Z'";
        time.or_else(|| self.problem(&format!("{path}.{key}"), Problem::Kind { needs }))
    }

    fn effect(&mut self, path: &str, r: &Map<String, Value>, name: &str) -> Option<RuleEffect> {
        let reason = self.text(path, r, "reason");
        let named = self.regions(path, r, "regions");
        let barred = self.regions(path, r, "barred");
        let shape = |why, remedy| Problem::Shape {
            rule: name.to_string(),
            why,
            remedy,
        };
        let says_where = r.contains_key("regions") || r.contains_key("barred");
        let word = match r.get("then") {
            None => "allow",
            Some(word) => word.as_str().unwrap_or_default(),
        };
        if reason.is_some() && word != "deny" {
            let what = shape(
                "gives a reason though it does not deny",
                "take out `reason`, or say then: 'deny'",
            );
            self.errors.push((format!("{path}.reason"), what));
        }
        match word {
            "deny" | "count" if says_where => {
                let why = "names regions though it does not allow";
                self.problem(
                    path,
                    shape(why, "take out `regions` and `barred`, or say then: 'allow'"),
                )
            }
            "deny" => match reason {
                Some(reason) => Some(RuleEffect::Deny { reason }),
                None => self.problem(
                    path,
                    shape("denies without a reason", "give it `reason`, for the log"),
                ),
            },
            "count" => Some(RuleEffect::Count),
            "allow" if r.contains_key("regions") && r.contains_key("barred") => self.problem(
                path,
                shape("has both `regions` and `barred`", "give one of them"),
            ),
            "allow" if r.contains_key("regions") => Some(RuleEffect::Allow {
                places: Some(named?),
            }),
            "allow" if r.contains_key("barred") => {
                let barred = barred?;
                let left = (0..self.known.locations.len() as u16)
                    .filter(|at| !barred.contains(at))
                    .collect();
                Some(RuleEffect::Allow { places: Some(left) })
            }
            "allow" => Some(RuleEffect::Allow { places: None }),
            _ => self.problem(
                &format!("{path}.then"),
                Problem::Kind {
                    needs: "'allow', 'deny' or 'count'",
                },
            ),
        }
    }

    pub fn regions(&mut self, path: &str, r: &Map<String, Value>, key: &str) -> Option<Vec<u16>> {
        let Value::Array(names) = r.get(key)? else {
            return self.problem(
                &format!("{path}.{key}"),
                Problem::Kind {
                    needs: "list of regions",
                },
            );
        };
        let mut places = Vec::new();
        for (at, name) in names.iter().enumerate() {
            let path = format!("{path}.{key}[{at}]");
            let name = name.as_str().unwrap_or_default();
            match self.known.places(name) {
                Some(named) => places.extend(named),
                None => {
                    let known = self.known.region_names().join(", ");
                    let what = Problem::Name {
                        name: name.to_string(),
                        list: "regions",
                        known,
                    };
                    self.errors.push((path, what));
                }
            }
        }
        places.sort_unstable();
        places.dedup();
        Some(places)
    }
}
