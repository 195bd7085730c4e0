//! A statement in progress at its sites: which parts to start and to end, and the final answer that
//! is built from them.

use crate::combine::{self, Aggregate};
use crate::plan::Part;
use crate::Micros;

/// What the caller must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the part with this index.
    Start(usize),
    /// Cancel the part with this index.
    End(usize),
    /// Return the final answer; happens once.
    Answer(Answer),
}

/// The final answer to a statement over several sites.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The rows of the sites. Sites are missing only if the customer accepts partial answers.
    Rows {
        /// The rows, each terminated by a line feed.
        bytes: Vec<u8>,
        /// The sites whose rows are missing because their parts failed.
        missing: Vec<String>,
        /// The sites whose rows are missing because access rules do not allow them to be asked.
        barred: Vec<String>,
    },
    /// The statement was not executed; a retry is harmless.
    Rejected {
        /// Microseconds after which a retry may succeed, if the site reported it.
        retry_after: Option<Micros>,
        /// The site that rejected its part.
        site: String,
    },
    /// A part may have been executed or not.
    Aborted {
        /// The site whose part was aborted.
        site: String,
    },
    /// Access rules do not allow these sites, which can have rows, to be asked.
    Barred(Vec<String>),
    /// The rows exceed the size limit of an answer.
    TooLong,
    /// An estimate of the number of distinct values, with its error at two standard deviations.
    Estimate {
        /// The estimated number of distinct values.
        distinct: u64,
        /// The relative error: 0.033 means that the number may be off by 3.3 %.
        error: f64,
    },
    /// The sketches do not give an estimate as exact as the customer requires.
    NotEstimated,
    /// A site's answer does not have the form of the others and can't be combined with them.
    Mismatch {
        /// The site of the first such answer.
        site: String,
    },
}

/// Why a part has failed finally.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartFailure {
    /// The part was not executed; a retry is harmless.
    Rejected {
        /// Microseconds after which a retry may succeed, if the site reported it.
        retry_after: Option<Micros>,
    },
    /// The part may have been executed or not.
    Aborted,
    /// Access rules do not allow the site to be asked.
    Barred,
}

/// How the parts of a statement are started and combined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatherRules {
    /// The statement's LIMIT; an answer needs no more rows.
    pub limit: Option<u64>,
    /// Whether the customer accepts an answer that lacks sites and names them.
    pub allow_partial: bool,
    /// The number of parts in flight at a time, for statements with a limit.
    pub max_parallel_parts: usize,
    /// The size limit of an answer, in bytes.
    pub max_answer_bytes: usize,
    /// The aggregates of the answer, whose one row is computed from one row of each part; None: the
    /// rows of the parts are concatenated.
    pub combine: Option<Vec<Aggregate>>,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Waiting,
    Running,
    Rows(Vec<u8>),
    Missing,
    Dropped,
}

/// The parent statement and the states of its parts.
pub struct Gather {
    rules: GatherRules,
    parts: Vec<(Part, State)>,
    barred: Vec<String>,
    /// The indexes of the parts in the order in which they are started.
    order: Vec<usize>,
    done: bool,
    /// Whether the answer no longer waits for audits.
    audits_skipped: bool,
}

impl Gather {
    /// Returns the gather with its first actions; these contain the answer if no part needs to be
    /// started.
    pub fn new(parts: Vec<Part>, barred: Vec<String>, rules: GatherRules) -> (Gather, Vec<Action>) {
        let mut order: Vec<usize> = (0..parts.len()).collect();
        if rules.limit.is_some() {
            // Starts with the parts expected to have the most rows; among equal ones with the
            // first.
            let rows = |at: &usize| parts.get(*at).map_or(0.0, |part| part.rows);
            order.sort_by(|a, b| rows(b).total_cmp(&rows(a)));
        }
        let parts = parts
            .into_iter()
            .map(|part| (part, State::Waiting))
            .collect();
        let mut gather = Gather {
            rules,
            parts,
            barred,
            order,
            done: false,
            audits_skipped: false,
        };
        if !gather.barred.is_empty() && !gather.rules.allow_partial {
            gather.done = true;
            let barred = gather.barred.clone();
            return (gather, vec![Action::Answer(Answer::Barred(barred))]);
        }
        let actions = gather.advance();
        (gather, actions)
    }

    /// The site of the part with this index.
    pub fn site(&self, index: usize) -> Option<&str> {
        self.parts.get(index).map(|(part, _)| part.site.as_str())
    }

    /// The part with this index.
    pub fn part(&self, index: usize) -> Option<&Part> {
        self.parts.get(index).map(|(part, _)| part)
    }

    /// Whether every part that is still in flight is an audit.
    pub fn only_audits_pending(&self) -> bool {
        let open = |(_, state): &&(Part, State)| matches!(state, State::Waiting | State::Running);
        !self.done && self.parts.iter().filter(open).all(|(part, _)| part.audit)
    }

    /// Stops waiting for audits.
    pub fn skip_audits(&mut self) -> Vec<Action> {
        self.audits_skipped = true;
        if self.done {
            return Vec::new();
        }
        self.advance()
    }

    /// Whether the final answer has been returned.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Handles the rows of a part.
    pub fn part_answered(&mut self, index: usize, rows: Vec<u8>) -> Vec<Action> {
        self.finish_part(index, State::Rows(rows))
    }

    /// Handles the final failure of a part.
    pub fn part_failed(&mut self, index: usize, failed: PartFailure) -> Vec<Action> {
        if self.done || !self.is_running(index) {
            return Vec::new();
        }
        if self.part(index).is_some_and(|part| part.audit) {
            return self.finish_part(index, State::Dropped);
        }
        let site = self.site(index).unwrap_or_default().to_string();
        if self.rules.allow_partial {
            if failed == PartFailure::Barred {
                self.barred.push(site);
                return self.finish_part(index, State::Dropped);
            }
            return self.finish_part(index, State::Missing);
        }
        self.set_state(index, State::Dropped);
        self.finish(match failed {
            PartFailure::Rejected { retry_after } => Answer::Rejected { retry_after, site },
            PartFailure::Aborted => Answer::Aborted { site },
            PartFailure::Barred => Answer::Barred(vec![site]),
        })
    }

    fn finish_part(&mut self, index: usize, state: State) -> Vec<Action> {
        if self.done || !self.is_running(index) {
            return Vec::new();
        }
        self.set_state(index, state);
        self.advance()
    }

    fn is_running(&self, index: usize) -> bool {
        self.parts
            .get(index)
            .is_some_and(|(_, state)| *state == State::Running)
    }

    fn set_state(&mut self, index: usize, state: State) {
        if let Some((_, current)) = self.parts.get_mut(index) {
            *current = state;
        }
    }

    fn rows(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().filter_map(|(_, state)| match state {
            State::Rows(rows) => Some(rows.as_slice()),
            _ => None,
        })
    }

    fn advance(&mut self) -> Vec<Action> {
        if self.rows().map(<[u8]>::len).sum::<usize>() > self.rules.max_answer_bytes {
            return self.finish(Answer::TooLong);
        }
        let row_count: u64 = self.rows().map(count_lines).sum();
        let limit_reached = self.rules.limit.is_some_and(|limit| row_count >= limit);
        let audits_skipped = self.audits_skipped;
        let open = |(part, state): &(Part, State)| {
            matches!(state, State::Waiting | State::Running) && !(audits_skipped && part.audit)
        };
        if limit_reached || !self.parts.iter().any(open) {
            let answer = self.build_answer(limit_reached);
            return self.finish(answer);
        }
        let mut actions = Vec::new();
        let mut running = self
            .parts
            .iter()
            .filter(|(_, state)| *state == State::Running)
            .count();
        let max_running = if self.rules.limit.is_some() {
            self.rules.max_parallel_parts.max(1)
        } else {
            usize::MAX
        };
        for index in self.order.clone() {
            if running >= max_running {
                break;
            }
            if self
                .parts
                .get(index)
                .is_some_and(|(_, state)| *state == State::Waiting)
            {
                self.set_state(index, State::Running);
                actions.push(Action::Start(index));
                running += 1;
            }
        }
        actions
    }

    fn build_answer(&self, limit_reached: bool) -> Answer {
        let mut bytes: Vec<u8> = match &self.rules.combine {
            Some(aggregates) if self.rows().next().is_some() => {
                let parts: Vec<&[u8]> = self.rows().collect();
                match combine::join(aggregates, &parts) {
                    Ok(row) => row,
                    Err(at) => {
                        let answered = self
                            .parts
                            .iter()
                            .filter(|(_, s)| matches!(s, State::Rows(_)));
                        let site = answered.map(|(part, _)| part.site.clone()).nth(at);
                        return Answer::Mismatch {
                            site: site.unwrap_or_default(),
                        };
                    }
                }
            }
            _ => self.rows().flatten().copied().collect(),
        };
        if let Some(limit) = self.rules.limit {
            bytes.truncate(first_lines_end(&bytes, limit));
        }
        // No row is missing from an answer that has reached the limit.
        let missing = self
            .parts
            .iter()
            .filter(|(_, state)| !limit_reached && *state == State::Missing);
        let missing = missing.map(|(part, _)| part.site.clone()).collect();
        let barred = if limit_reached {
            Vec::new()
        } else {
            self.barred.clone()
        };
        Answer::Rows {
            bytes,
            missing,
            barred,
        }
    }

    fn finish(&mut self, answer: Answer) -> Vec<Action> {
        if std::mem::replace(&mut self.done, true) {
            return Vec::new();
        }
        let mut actions: Vec<Action> = (0..self.parts.len())
            .filter(|p| self.is_running(*p))
            .map(Action::End)
            .collect();
        actions.push(Action::Answer(answer));
        actions
    }
}

/// Counts the rows of a result, each of which ends with a line feed.
fn count_lines(rows: &[u8]) -> u64 {
    rows.iter().filter(|c| **c == b'\n').count() as u64
}

fn first_lines_end(rows: &[u8], max_lines: u64) -> usize {
    let max_lines = usize::try_from(max_lines).unwrap_or(usize::MAX);
    let Some(lines_before) = max_lines.checked_sub(1) else {
        return 0;
    };
    let ends = rows
        .iter()
        .enumerate()
        .filter(|(_, c)| **c == b'\n')
        .map(|(at, _)| at + 1);
    ends.into_iter().nth(lines_before).unwrap_or(rows.len())
}

#[cfg(test)]
#[path = "gather_tests.rs"]
mod tests;
