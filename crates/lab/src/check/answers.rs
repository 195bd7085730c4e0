//! Each statement has exactly one final answer, and the answers match the effects.

use std::collections::{HashMap, HashSet};

use super::statements::{
    add_violation, Agreement, Execution, Outcome, Repeat, StatementRecord, Transaction, Violations,
};

/// Checks that each statement has exactly one final answer that is complete, correct and in time.
pub(super) fn answers(wrong: &mut Violations, asked: &[StatementRecord], agreed: &Agreement) {
    let mut seen = HashSet::new();
    for a in asked {
        if !seen.insert(&a.id) {
            add_violation(wrong, "answers", format!("{}: two final answers", a.id));
        }
        // Waiting before the answer was due does not excuse its delay.
        let waited = agreed
            .processor_waits
            .between(a.sent + a.timeout, a.answered);
        let late = a.answered - a.sent > a.timeout + agreed.slack + waited;
        match &a.outcome {
            Outcome::Nothing => add_violation(wrong, "answers", format!("{}: no answer", a.id)),
            Outcome::Spoilt => add_violation(
                wrong,
                "answers",
                format!("{}: rows of another statement", a.id),
            ),
            Outcome::Lost if !a.may_be_lost => {
                add_violation(wrong, "answers", format!("{}: lost", a.id))
            }
            Outcome::Completed { rows } if *rows != a.rows || a.expected_error.is_some() => {
                add_violation(
                    wrong,
                    "answers",
                    format!("{}: {rows} rows of {}", a.id, a.rows),
                );
            }
            Outcome::Error(code) => {
                let known = [
                    "53000", "57014", "08007", "08006", "40001", "25P02", "25P03", "57P01",
                ];
                let own = [a.expected_error, a.tolerated_error].contains(&Some(code.as_str()));
                if !own && !known.contains(&code.as_str()) {
                    add_violation(wrong, "answers", format!("{}: {code}", a.id));
                }
                // A cancel request meant for another statement shows as a cancellation that its
                // client did not request.
                let early = a.answered - a.sent < a.timeout - agreed.slack;
                if code == "57014" && !a.cancel_requested && early {
                    add_violation(
                        wrong,
                        "cancels",
                        format!("{}: cancelled without a request of its client", a.id),
                    );
                }
            }
            _ => {}
        }
        if late && !matches!(a.outcome, Outcome::Nothing) {
            let ms = (a.answered - a.sent) / 1000;
            add_violation(
                wrong,
                "answers",
                format!(
                    "{}: after {ms} ms of {}, {} of them waiting for a CPU",
                    a.id,
                    a.timeout / 1000,
                    waited / 1000
                ),
            );
        }
    }
}

/// Checks that the effects of statements and transactions are those that were answered.
pub(super) fn effects(
    wrong: &mut Violations,
    asked: &[StatementRecord],
    transactions: &[Transaction],
    executions: &HashMap<String, Vec<Execution>>,
    kept: &HashMap<String, usize>,
) {
    for a in asked
        .iter()
        .filter(|a| a.transaction.is_none() && !a.control)
    {
        let (ran, lasting) = (
            executions.get(&a.id).map_or(0, Vec::len),
            kept.get(&a.id).copied().unwrap_or(0),
        );
        let completed = matches!(a.outcome, Outcome::Completed { .. });
        if completed && lasting == 0 {
            add_violation(
                wrong,
                "effects",
                format!("{}: completed, but has no lasting effect", a.id),
            );
        }
        let rejected = matches!(&a.outcome, Outcome::Error(code) if code == "53000");
        if rejected && a.repeat == Repeat::NonIdempotent && ran > 0 {
            add_violation(wrong, "effects", format!("{}: rejected, but it ran", a.id));
        }
    }
    for (n, t) in transactions.iter().enumerate() {
        let lasting = t
            .statements
            .iter()
            .filter(|id| kept.contains_key(*id))
            .count();
        let total = t.statements.len();
        match &t.commit {
            Some(Outcome::Completed { .. }) if lasting < total => {
                add_violation(
                    wrong,
                    "effects",
                    format!("transaction {n}: committed, {lasting} of {total} kept"),
                );
            }
            Some(Outcome::Error(code)) if code == "08007" && lasting != 0 && lasting != total => {
                add_violation(
                    wrong,
                    "effects",
                    format!("transaction {n}: {lasting} of {total} kept"),
                );
            }
            Some(Outcome::Error(code)) if code == "08007" => {}
            Some(Outcome::Lost | Outcome::Nothing) => {}
            Some(Outcome::Completed { .. }) => {}
            _ if lasting > 0 => {
                add_violation(
                    wrong,
                    "effects",
                    format!("transaction {n}: {:?}, but {lasting} kept", t.commit),
                );
            }
            _ => {}
        }
    }
}
