//! A file of rules read as a whole: JSON5, every error at once with its path and line.

use serde_json::{Map, Value};

use crate::check;
use crate::error::{FileError, FileErrors, Problem};
use crate::known::KnownNames;
use crate::rule::{DefaultEffect, Rule, RuleEffect, RuleSet, TableRange};
use crate::Micros;

const MOST_RULES: usize = 200_000; // rules; twice what the cost of a decision was measured with
const KEYS: &str = "version, default, rules, roll_back_to, what_if";
const RULE_KEYS: &str =
    "name, customer, workload, tables, front, regions, barred, then, reason, at_most, in_ms, moves, \
     priority, from, until";
const MOST_AT_ONCE: u64 = 100_000; // of a limit; some 8 bytes for each statement that began in its window
const WINDOW_MS: (u64, u64) = (1_000, 86_400_000); // milliseconds: below, what is under way weighs; a day

/// What a file asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RulesCommand {
    /// This set is to hold for the fleet.
    Replace(RuleSet),
    /// What this set would decide otherwise is to be told; nothing changes.
    WhatIf(RuleSet),
    /// The set of an earlier version is to hold again, under a new one.
    RollBack {
        /// The version under which the earlier set is to hold.
        version: u64,
        /// The version of the earlier set.
        to: u64,
    },
}

impl RulesCommand {
    /// The version that the file states.
    pub fn version(&self) -> u64 {
        match self {
            RulesCommand::Replace(set) | RulesCommand::WhatIf(set) => set.version,
            RulesCommand::RollBack { version, .. } => *version,
        }
    }
}

/// The line on which the value at a path like `rules[2].name` begins.
pub type LineLookup<'a> = &'a dyn Fn(&str) -> Option<usize>;

/// Reads a file's text and checks it against what is known. `file` names it in the errors.
pub fn read(
    file: &str,
    text: &str,
    known: &KnownNames,
    lines: LineLookup,
) -> Result<RulesCommand, FileErrors> {
    let mut reader = Reader { known, errors: Vec::new() };
    let command = reader.file(text);
    let mut errors = reader.errors;
    if let (Some(RulesCommand::Replace(set) | RulesCommand::WhatIf(set)), true) =
        (&command, errors.is_empty())
    {
        errors = check::check(set, known, lines);
    }
    match command {
        Some(command) if errors.is_empty() => Ok(command),
        _ => {
            let at = |(path, what): (String, Problem)| FileError { line: lines(&path), path, what };
            let mut errors: Vec<FileError> = errors.into_iter().map(at).collect();
            errors.sort_by_key(|f| f.line);
            errors.dedup(); // a rule that moves is read as three
            Err(FileErrors { file: file.to_string(), errors })
        }
    }
}

pub(crate) struct Reader<'a> {
    known: &'a KnownNames,
    errors: Vec<(String, Problem)>,
}

impl Reader<'_> {
    pub(crate) fn known(&self) -> &KnownNames {
        self.known
    }

    pub(crate) fn problem<T>(&mut self, path: &str, what: Problem) -> Option<T> {
        self.errors.push((path.to_string(), what));
        None
    }

    fn file(&mut self, text: &str) -> Option<RulesCommand> {
        let value: Value = match json5::from_str(text) {
            Ok(value) => value,
            Err(e) => return self.problem("", Problem::Form(e.to_string())),
        };
        let Value::Object(file) = value else {
            return self.problem("", Problem::Kind { needs: "object of version and rules" });
        };
        self.keys("", &file, KEYS);
        let version = match file.get("version") {
            None => self
                .problem("version", Problem::Missing { needs: "a whole number that grows with each change" }),
            Some(v) => match whole(v).filter(|v| *v > 0) {
                Some(version) => Some(version),
                None => self.problem("version", Problem::Kind { needs: "whole number from 1" }),
            },
        };
        if let Some(to) = file.get("roll_back_to") {
            for key in ["rules", "default", "what_if"].into_iter().filter(|key| file.contains_key(*key)) {
                self.errors.push((key.to_string(), Problem::Key { known: "version, roll_back_to" }));
            }
            let to =
                whole(to).or_else(|| self.problem("roll_back_to", Problem::Kind { needs: "version" }))?;
            return Some(RulesCommand::RollBack { version: version?, to });
        }
        let default = match file.get("default").map(Value::as_str) {
            Some(Some("allow")) => Some(DefaultEffect::Allow),
            Some(Some("deny")) => Some(DefaultEffect::Deny),
            None => self.problem("default", Problem::Missing { needs: "'allow' or 'deny'" }),
            _ => self.problem("default", Problem::Kind { needs: "'allow' or 'deny'" }),
        };
        let rules = match file.get("rules") {
            Some(Value::Array(rules)) => rules.as_slice(),
            None => {
                return self
                    .problem("rules", Problem::Missing { needs: "a list of rules, which may be empty" })
            }
            _ => return self.problem("rules", Problem::Kind { needs: "list of rules" }),
        };
        if rules.len() > MOST_RULES {
            return self.problem("rules", Problem::TooMany { count: rules.len(), most: MOST_RULES });
        }
        let asks = match file.get("what_if").map(Value::as_bool) {
            None => Some(false),
            Some(Some(asks)) => Some(asks),
            Some(None) => self.problem("what_if", Problem::Kind { needs: "true or false" }),
        };
        let read: Vec<Option<Vec<Rule>>> = rules.iter().enumerate().map(|(at, r)| self.rule(at, r)).collect();
        let read: Option<Vec<Vec<Rule>>> = read.into_iter().collect();
        let set = RuleSet::new(version?, default?, read?.concat());
        Some(if asks? { RulesCommand::WhatIf(set) } else { RulesCommand::Replace(set) })
    }

    pub(crate) fn keys(&mut self, path: &str, object: &Map<String, Value>, known: &'static str) {
        for key in object.keys().filter(|key| !known.split(", ").any(|k| k == *key)) {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            self.errors.push((path, Problem::Key { known }));
        }
    }

    pub(crate) fn text(&mut self, path: &str, object: &Map<String, Value>, key: &str) -> Option<String> {
        match object.get(key)? {
            Value::String(text) if !text.is_empty() => Some(text.clone()),
            _ => self.problem(&format!("{path}.{key}"), Problem::Kind { needs: "text" }),
        }
    }

    /// A name out of a list; where the list is empty any will do.
    pub(crate) fn name(
        &mut self,
        path: &str,
        object: &Map<String, Value>,
        key: &str,
        list: &'static str,
        known: Vec<String>,
    ) -> Option<String> {
        let name = self.text(path, object, key)?;
        if known.is_empty() || known.contains(&name) {
            return Some(name);
        }
        self.problem(&format!("{path}.{key}"), Problem::Name { name, list, known: known.join(", ") })
    }

    fn rule(&mut self, place: usize, value: &Value) -> Option<Vec<Rule>> {
        let path = &format!("rules[{place}]");
        let Value::Object(r) = value else { return self.problem(path, Problem::Kind { needs: "rule" }) };
        let before = self.errors.len();
        self.keys(path, r, RULE_KEYS);
        let needs = "a name that the log and the counts can give it";
        let name = match r.contains_key("name") {
            true => self.text(path, r, "name").unwrap_or_default(),
            false => self.problem(path, Problem::Missing { needs }).unwrap_or_default(),
        };
        let known = self.known;
        let customer = self.name(path, r, "customer", "settings' customers", known.customers.clone());
        if let Some(customer) = customer.as_ref().filter(|customer| !known.covers(customer)) {
            let what = Problem::NotCovered { rule: name.clone(), customer: customer.clone() };
            self.errors.push((format!("{path}.customer"), what));
        }
        let workloads = known.workloads.iter().map(|w| w.name.clone()).collect();
        let workload = self.name(path, r, "workload", "settings' workloads", workloads);
        let front = self.name(path, r, "front", "regions", known.region_names());
        let tables = r.get("tables").and_then(|t| self.tables(path, t));
        let priority = match r.get("priority").map(|p| number(p).and_then(|p| i32::try_from(p).ok())) {
            None => 0,
            Some(Some(priority)) => priority,
            Some(None) => {
                let what = Problem::Kind { needs: "whole number" };
                self.problem(&format!("{path}.priority"), what).unwrap_or_default()
            }
        };
        let from_ms = self.time(path, r, "from").unwrap_or(0);
        let until_ms = self.time(path, r, "until").unwrap_or(u64::MAX);
        let shape = |why, remedy| Problem::Shape { rule: name.clone(), why, remedy };
        if from_ms >= until_ms {
            let what = shape("ends before it begins", "give `until` a time after `from`");
            self.errors.push((format!("{path}.until"), what));
        }
        let moved = r.contains_key("moves").then(|| self.moves(path, r, &name));
        let effect = match &moved {
            Some(_) => Some(RuleEffect::Allow { places: None }),
            None => self.effect(path, r, &name),
        };
        let limit = self.limit(path, r, &name);
        if limit.is_some()
            && effect.as_ref().is_some_and(|effect| !matches!(effect, RuleEffect::Allow { .. }))
        {
            let what = Problem::Shape {
                rule: name.clone(),
                why: "has a limit though it does not allow",
                remedy: "take out `at_most` and `in_ms`, or say then: 'allow'",
            };
            self.errors.push((format!("{path}.at_most"), what));
        }
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

    fn tables(&mut self, path: &str, value: &Value) -> Option<TableRange> {
        let group = |v: &Value| whole(v).and_then(|v| u32::try_from(v).ok());
        let tables = match value {
            Value::Array(ends) => match ends.as_slice() {
                [first, last] => group(first).zip(group(last)).filter(|(first, last)| first <= last),
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

    fn limit(&mut self, path: &str, r: &Map<String, Value>, name: &str) -> Option<(u32, Micros)> {
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
            Some(ms) => Some((most as u32, ms as Micros * 1000)),
            None => {
                let needs = "whole number of milliseconds from 1000 to 86400000";
                self.problem(&format!("{path}.in_ms"), Problem::Kind { needs })
            }
        }
    }

    pub(crate) fn time(&mut self, path: &str, object: &Map<String, Value>, key: &str) -> Option<u64> {
        let text = self.text(path, object, key)?;
        let time = text.parse::<jiff::Timestamp>().ok().and_then(|t| u64::try_from(t.as_millisecond()).ok());
        let needs = "time by RFC 3339, such as '2026-12-01T06:00:00Z'";
        time.or_else(|| self.problem(&format!("{path}.{key}"), Problem::Kind { needs }))
    }

    fn effect(&mut self, path: &str, r: &Map<String, Value>, name: &str) -> Option<RuleEffect> {
        let reason = self.text(path, r, "reason");
        let named = self.regions(path, r, "regions");
        let barred = self.regions(path, r, "barred");
        let shape = |why, remedy| Problem::Shape { rule: name.to_string(), why, remedy };
        let says_where = r.contains_key("regions") || r.contains_key("barred");
        let word = match r.get("then") {
            None => "allow",
            Some(word) => word.as_str().unwrap_or_default(),
        };
        if reason.is_some() && word != "deny" {
            let what =
                shape("gives a reason though it does not deny", "take out `reason`, or say then: 'deny'");
            self.errors.push((format!("{path}.reason"), what));
        }
        match word {
            "deny" | "count" if says_where => {
                let why = "names regions though it does not allow";
                self.problem(path, shape(why, "take out `regions` and `barred`, or say then: 'allow'"))
            }
            "deny" => match reason {
                Some(reason) => Some(RuleEffect::Deny { reason }),
                None => self.problem(path, shape("denies without a reason", "give it `reason`, for the log")),
            },
            "count" => Some(RuleEffect::Count),
            "allow" if r.contains_key("regions") && r.contains_key("barred") => {
                self.problem(path, shape("has both `regions` and `barred`", "give one of them"))
            }
            "allow" if r.contains_key("regions") => Some(RuleEffect::Allow { places: Some(named?) }),
            "allow" if r.contains_key("barred") => {
                let barred = barred?;
                let left = (0..self.known.locations.len() as u16).filter(|at| !barred.contains(at)).collect();
                Some(RuleEffect::Allow { places: Some(left) })
            }
            "allow" => Some(RuleEffect::Allow { places: None }),
            _ => self.problem(&format!("{path}.then"), Problem::Kind { needs: "'allow', 'deny' or 'count'" }),
        }
    }

    pub(crate) fn regions(&mut self, path: &str, r: &Map<String, Value>, key: &str) -> Option<Vec<u16>> {
        let Value::Array(names) = r.get(key)? else {
            return self.problem(&format!("{path}.{key}"), Problem::Kind { needs: "list of regions" });
        };
        let mut places = Vec::new();
        for (at, name) in names.iter().enumerate() {
            let path = format!("{path}.{key}[{at}]");
            let name = name.as_str().unwrap_or_default();
            match self.known.places(name) {
                Some(named) => places.extend(named),
                None => {
                    let known = self.known.region_names().join(", ");
                    let what = Problem::Name { name: name.to_string(), list: "regions", known };
                    self.errors.push((path, what));
                }
            }
        }
        places.sort_unstable();
        places.dedup();
        Some(places)
    }
}

/// JSON5 has one kind of number; whole ones may be written with a point.
fn number(value: &Value) -> Option<i64> {
    let fits = |f: &f64| f.fract() == 0.0 && f.abs() < 9e15;
    value.as_i64().or_else(|| value.as_f64().filter(fits).map(|f| f as i64))
}

pub(crate) fn whole(value: &Value) -> Option<u64> {
    number(value).and_then(|n| u64::try_from(n).ok())
}
