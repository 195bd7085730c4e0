//! Checks the numbers of the settings for their range, and resolves names of a fixed set.

use hallmux::interface::{DedupGroup, Effect};

use super::options::{Bounds, Class, Extra, Options, Rules};
use crate::error::{Error, KeyProblem};
use crate::text::Section;

/// The upper bound of every number: sums of many such milliseconds are still exact integers in an
/// `f64`.
const MAX_FIGURE: f64 = 1e12;

/// A name in the settings and the value that it denotes.
pub struct NamedValue<T> {
    name: &'static str,
    value: T,
}

const fn named<T>(name: &'static str, value: T) -> NamedValue<T> {
    NamedValue { name, value }
}

/// The values of `requestClasses[].repeat`.
pub const EFFECTS: [NamedValue<Effect>; 3] = [
    named("repeatable", Effect::Idempotent),
    named("by_key", Effect::Deduplicated),
    named("once", Effect::NonIdempotent),
];
/// The values of `requestClasses[].group`.
pub const GROUPS: [NamedValue<DedupGroup>; 3] = [
    named("all", DedupGroup::All),
    named("zone", DedupGroup::Location),
    named("cell", DedupGroup::Cell),
];

/// The value of the name at a path; a name that is not in `known` is an error.
pub fn resolve_name<T: Copy>(
    section: &Section,
    path: &str,
    text: &str,
    known: &[NamedValue<T>],
) -> Result<T, Error> {
    if let Some(entry) = known.iter().find(|entry| entry.name == text) {
        return Ok(entry.value);
    }
    let problem = KeyProblem::UnknownWord {
        word: text.to_string(),
        known: known.iter().map(|entry| entry.name).collect(),
    };
    Err(section.error(path, problem))
}

/// Rejects numbers that are negative, or so large that sums of them would be inexact.
pub fn check(section: &Section, options: &Options) -> Result<(), Error> {
    let check = FigureChecker { section };
    check.figure("instances", options.instances)?;
    check.figure("overShareWorth", options.over_share_worth)?;
    for (index, class) in options.request_classes.iter().enumerate() {
        check.class(&format!("requestClasses[{index}]"), class)?;
    }
    for (index, customer) in options.customers.iter().enumerate() {
        let path = format!("customers[{index}].allowancePerS");
        check.optional(&path, customer.allowance_per_s)?;
    }
    check.bounds(&options.bounds)?;
    check.extra(&options.extra)?;
    check.rules(&options.rules)
}

/// Checks numbers of the settings; an error names the line and the key.
struct FigureChecker<'a> {
    section: &'a Section<'a>,
}

impl FigureChecker<'_> {
    fn figure(&self, path: &str, value: f64) -> Result<(), Error> {
        if (0.0..=MAX_FIGURE).contains(&value) {
            return Ok(());
        }
        let problem = KeyProblem::out_of_range(0, MAX_FIGURE);
        Err(self.section.error(path, problem))
    }

    fn optional(&self, path: &str, value: Option<f64>) -> Result<(), Error> {
        value.map_or(Ok(()), |value| self.figure(path, value))
    }

    fn optional_count(&self, path: &str, count: Option<usize>) -> Result<(), Error> {
        self.optional(path, count.map(|count| count as f64))
    }

    fn figures(&self, path: &str, values: &[f64]) -> Result<(), Error> {
        for (index, value) in values.iter().enumerate() {
            self.figure(&format!("{path}[{index}]"), *value)?;
        }
        Ok(())
    }

    fn class(&self, path: &str, class: &Class) -> Result<(), Error> {
        self.figure(&format!("{path}.aimMs"), class.aim_ms)?;
        self.figure(&format!("{path}.aimStretch"), class.aim_stretch)?;
        self.figure(&format!("{path}.deadlineMs"), class.deadline_ms)?;
        self.figure(&format!("{path}.dedupWindowMs"), class.dedup_window_ms)?;
        self.figure(&format!("{path}.lateShare"), class.late_share)?;
        self.figure(&format!("{path}.worth"), class.worth)
    }

    fn bounds(&self, bounds: &Bounds) -> Result<(), Error> {
        self.optional("bounds.dialTimeoutMs", bounds.dial_timeout_ms)?;
        self.optional("bounds.keepaliveMs", bounds.keepalive_ms)?;
        self.optional("bounds.maxRetryAfterMs", bounds.max_retry_after_ms)?;
        self.optional_count("bounds.streamsPerConn", bounds.streams_per_conn)?;
        self.optional_count("bounds.mostHeld", bounds.most_held)?;
        self.optional_count("bounds.mostTries", bounds.most_tries)
    }

    fn extra(&self, extra: &Extra) -> Result<(), Error> {
        self.figures("extra.parallelism", &extra.parallelism)?;
        self.figures("extra.memoryByKindMb", &extra.memory_by_kind_mb)?;
        self.figures("extra.sizeCores", &extra.size_cores)?;
        self.optional("extra.largestShare", extra.largest_share)?;
        self.figure("extra.tellsEveryMs", extra.tells_every_ms)
    }

    fn rules(&self, rules: &Rules) -> Result<(), Error> {
        self.optional("rules.furtherRatio", rules.further_ratio)?;
        self.optional("rules.budgetSpanMs", rules.budget_span_ms)?;
        self.figure("rules.answerSlackMs", rules.answer_slack_ms)?;
        self.figure("rules.coldFrom", rules.cold_from)?;
        self.figure("rules.warmWithinMs", rules.warm_within_ms)?;
        self.figure("rules.overloadFactor", rules.overload_factor)?;
        self.figure("rules.fallMs", rules.fall_ms)?;
        self.figure("rules.turnGapMs", rules.turn_gap_ms)?;
        self.figure("rules.spareAttempts", rules.spare_attempts)
    }
}
