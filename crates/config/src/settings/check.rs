//! Figures of the settings that nothing could be reckoned with, and words that none stands for.

use hallmux::interface::{DedupGroup, Effect};

use crate::error::{Error, KeyProblem};
use crate::text::Section;

use super::Options;

const MOST: f64 = 1e12; // of any figure: some thirty years of milliseconds, and sums of many stay whole numbers

pub const EFFECTS: [(&str, Effect); 3] = [
    ("repeatable", Effect::Idempotent),
    ("by_key", Effect::Deduplicated),
    ("once", Effect::NonIdempotent),
];
pub const GROUPS: [(&str, DedupGroup); 3] = [
    ("all", DedupGroup::All),
    ("zone", DedupGroup::Location),
    ("cell", DedupGroup::Cell),
];

pub fn word<T: Copy>(
    section: &Section,
    path: &str,
    value: &str,
    known: &[(&'static str, T)],
) -> Result<T, Error> {
    let found = known
        .iter()
        .find(|(name, _)| *name == value)
        .map(|(_, meaning)| *meaning);
    let unknown = || {
        let known = known.iter().map(|(name, _)| *name).collect();
        section.error(
            path,
            KeyProblem::UnknownWord {
                word: value.to_string(),
                known,
            },
        )
    };
    found.ok_or_else(unknown)
}

/// Refuses what is negative, and what is so large that no sum of it would be right.
pub fn check(section: &Section, read: &Options) -> Result<(), Error> {
    let figure = |path: &str, value: f64| match (0.0..=MOST).contains(&value) {
        true => Ok(()),
        false => Err(section.error(path, KeyProblem::out_of_range(0, MOST))),
    };
    let perhaps =
        |path: &str, value: Option<f64>| value.map_or(Ok(()), |value| figure(path, value));
    let each = |path: &str, values: &[f64]| {
        let mut values = values.iter().enumerate();
        values.try_for_each(|(i, value)| figure(&format!("{path}[{i}]"), *value))
    };
    figure("instances", read.instances)?;
    figure("overShareWorth", read.over_share_worth)?;
    for (i, class) in read.request_classes.iter().enumerate() {
        for (key, value) in [
            ("aimMs", class.aim_ms),
            ("aimStretch", class.aim_stretch),
            ("deadlineMs", class.deadline_ms),
            ("dedupWindowMs", class.dedup_window_ms),
            ("lateShare", class.late_share),
            ("worth", class.worth),
        ] {
            figure(&format!("requestClasses[{i}].{key}"), value)?;
        }
    }
    for (i, customer) in read.customers.iter().enumerate() {
        perhaps(
            &format!("customers[{i}].allowancePerS"),
            customer.allowance_per_s,
        )?;
    }
    let (bounds, extra, rules) = (&read.bounds, &read.extra, &read.rules);
    perhaps("bounds.dialTimeoutMs", bounds.dial_timeout_ms)?;
    perhaps("bounds.keepaliveMs", bounds.keepalive_ms)?;
    perhaps("bounds.maxRetryAfterMs", bounds.max_retry_after_ms)?;
    perhaps(
        "bounds.streamsPerConn",
        bounds.streams_per_conn.map(|count| count as f64),
    )?;
    perhaps(
        "bounds.mostHeld",
        bounds.most_held.map(|count| count as f64),
    )?;
    perhaps(
        "bounds.mostTries",
        bounds.most_tries.map(|count| count as f64),
    )?;
    each("extra.parallelism", &extra.parallelism)?;
    each("extra.memoryByKindMb", &extra.memory_by_kind_mb)?;
    each("extra.sizeCores", &extra.size_cores)?;
    perhaps("extra.largestShare", extra.largest_share)?;
    figure("extra.tellsEveryMs", extra.tells_every_ms)?;
    perhaps("rules.furtherRatio", rules.further_ratio)?;
    perhaps("rules.budgetSpanMs", rules.budget_span_ms)?;
    for (key, value) in [
        ("answerSlackMs", rules.answer_slack_ms),
        ("coldFrom", rules.cold_from),
        ("warmWithinMs", rules.warm_within_ms),
        ("overloadFactor", rules.overload_factor),
        ("fallMs", rules.fall_ms),
        ("turnGapMs", rules.turn_gap_ms),
        ("spareAttempts", rules.spare_attempts),
    ] {
        figure(&format!("rules.{key}"), value)?;
    }
    Ok(())
}
