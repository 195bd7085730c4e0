//! One statement in progress over its sites: which parts to start and to end, and one final answer from them.

use crate::combine::{self, Aggregate};
use crate::plan::Part;
use crate::Micros;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// The part of this place is to be asked.
    Start(usize),
    /// It is no longer waited for.
    End(usize),
    /// Final, once.
    Answer(Answer),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// `missing`: the sites whose rows are not in it; only where the customer takes such answers.
    Rows {
        bytes: Vec<u8>,
        missing: Vec<String>,
        barred: Vec<String>,
    },
    /// Trying again is harmless.
    Rejected {
        retry_after: Option<Micros>,
        site: String,
    },
    Aborted {
        site: String,
    },
    /// Sites that could have rows may not be asked.
    Barred(Vec<String>),
    /// More rows than an answer holds.
    Long,
    /// So many distinct values, and by which part of them that may be wrong at two standard deviations.
    About {
        distinct: u64,
        error: f64,
    },
    /// Sketches do not tell it now as well as its customer wants it.
    Untold,
    /// A site's answer can't be joined with the others: it is of another form.
    Unlike {
        site: String,
    },
}

/// How a part failed for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failed {
    Rejected {
        retry_after: Option<Micros>,
    },
    Aborted,
    /// It may not be asked there.
    Barred,
}

/// What holds for the whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rules {
    pub limit: Option<u64>,
    /// The customer takes an answer that says which sites are missing.
    pub partial: bool,
    /// Parts of a statement with a limit that are asked at a time.
    pub at_once: usize,
    /// Bytes of an answer.
    pub most_bytes: usize,
    /// The answer is one row of these, from one row of each part.
    pub combine: Option<Vec<Aggregate>>,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Waits,
    Out,
    Rows(Vec<u8>),
    Missing,
    Over,
}

/// A statement and its parts, from the first to the final answer.
pub struct Whole {
    rules: Rules,
    parts: Vec<(Part, State)>,
    barred: Vec<String>,
    /// Places in the order in which they are asked.
    order: Vec<usize>,
    done: bool,
    /// Audits are waited for no more.
    hurried: bool,
}

impl Whole {
    /// What is to be done first; an answer where nothing needs to be asked.
    pub fn new(parts: Vec<Part>, barred: Vec<String>, rules: Rules) -> (Whole, Vec<Act>) {
        let mut order: Vec<usize> = (0..parts.len()).collect();
        if rules.limit.is_some() {
            // Those likeliest to have enough rows go first; of equal ones the first.
            let rows = |at: &usize| parts.get(*at).map_or(0.0, |part| part.rows);
            order.sort_by(|a, b| rows(b).total_cmp(&rows(a)));
        }
        let parts = parts.into_iter().map(|part| (part, State::Waits)).collect();
        let mut whole = Whole { rules, parts, barred, order, done: false, hurried: false };
        if !whole.barred.is_empty() && !whole.rules.partial {
            whole.done = true;
            let barred = whole.barred.clone();
            return (whole, vec![Act::Answer(Answer::Barred(barred))]);
        }
        let acts = whole.go_on();
        (whole, acts)
    }

    pub fn site(&self, place: usize) -> Option<&str> {
        self.parts.get(place).map(|(part, _)| part.site.as_str())
    }

    /// The part of a place.
    pub fn part(&self, place: usize) -> Option<&Part> {
        self.parts.get(place).map(|(part, _)| part)
    }

    /// All that is still out are audits.
    pub fn waits_for_audits(&self) -> bool {
        let open = |(_, state): &&(Part, State)| matches!(state, State::Waits | State::Out);
        !self.done && self.parts.iter().filter(open).all(|(part, _)| part.audit)
    }

    /// Audits are waited for no more.
    pub fn hurry(&mut self) -> Vec<Act> {
        self.hurried = true;
        if self.done {
            return Vec::new();
        }
        self.go_on()
    }

    pub fn is_done(&self) -> bool {
        self.done
    }

    /// A part is answered.
    pub fn answered(&mut self, place: usize, rows: Vec<u8>) -> Vec<Act> {
        self.ended(place, State::Rows(rows))
    }

    /// A part failed for good.
    pub fn failed(&mut self, place: usize, failed: Failed) -> Vec<Act> {
        if self.done || !self.is_out(place) {
            return Vec::new();
        }
        if self.part(place).is_some_and(|part| part.audit) {
            return self.ended(place, State::Over);
        }
        let site = self.site(place).unwrap_or_default().to_string();
        if self.rules.partial {
            if failed == Failed::Barred {
                self.barred.push(site);
                return self.ended(place, State::Over);
            }
            return self.ended(place, State::Missing);
        }
        self.set(place, State::Over);
        self.end(match failed {
            Failed::Rejected { retry_after } => Answer::Rejected { retry_after, site },
            Failed::Aborted => Answer::Aborted { site },
            Failed::Barred => Answer::Barred(vec![site]),
        })
    }

    /// Nobody waits for the whole any more: the parts to end.
    pub fn left(&mut self) -> Vec<Act> {
        let mut acts = self.end(Answer::Long);
        acts.retain(|act| !matches!(act, Act::Answer(_)));
        acts
    }

    fn ended(&mut self, place: usize, state: State) -> Vec<Act> {
        if self.done || !self.is_out(place) {
            return Vec::new();
        }
        self.set(place, state);
        self.go_on()
    }

    fn is_out(&self, place: usize) -> bool {
        self.parts.get(place).is_some_and(|(_, state)| *state == State::Out)
    }

    fn set(&mut self, place: usize, state: State) {
        if let Some((_, was)) = self.parts.get_mut(place) {
            *was = state;
        }
    }

    fn rows(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().filter_map(|(_, state)| match state {
            State::Rows(rows) => Some(rows.as_slice()),
            _ => None,
        })
    }

    fn go_on(&mut self) -> Vec<Act> {
        if self.rows().map(<[u8]>::len).sum::<usize>() > self.rules.most_bytes {
            return self.end(Answer::Long);
        }
        let had: u64 = self.rows().map(lines).sum();
        let enough = self.rules.limit.is_some_and(|limit| had >= limit);
        let hurried = self.hurried;
        let open = |(part, state): &(Part, State)| {
            matches!(state, State::Waits | State::Out) && !(hurried && part.audit)
        };
        if enough || !self.parts.iter().any(open) {
            let answer = self.joined(enough);
            return self.end(answer);
        }
        let mut acts = Vec::new();
        let mut out = self.parts.iter().filter(|(_, state)| *state == State::Out).count();
        let most = if self.rules.limit.is_some() { self.rules.at_once.max(1) } else { usize::MAX };
        for place in self.order.clone() {
            if out >= most {
                break;
            }
            if self.parts.get(place).is_some_and(|(_, state)| *state == State::Waits) {
                self.set(place, State::Out);
                acts.push(Act::Start(place));
                out += 1;
            }
        }
        acts
    }

    fn joined(&self, enough: bool) -> Answer {
        let mut bytes: Vec<u8> = match &self.rules.combine {
            Some(aggregates) if self.rows().next().is_some() => {
                let parts: Vec<&[u8]> = self.rows().collect();
                match combine::join(aggregates, &parts) {
                    Ok(row) => row,
                    Err(at) => {
                        let answered = self.parts.iter().filter(|(_, s)| matches!(s, State::Rows(_)));
                        let site = answered.map(|(part, _)| part.site.clone()).nth(at);
                        return Answer::Unlike { site: site.unwrap_or_default() };
                    }
                }
            }
            _ => self.rows().flatten().copied().collect(),
        };
        if let Some(limit) = self.rules.limit {
            bytes.truncate(first_lines(&bytes, limit));
        }
        // What a limit has filled lacks nothing.
        let missing = self.parts.iter().filter(|(_, state)| !enough && *state == State::Missing);
        let missing = missing.map(|(part, _)| part.site.clone()).collect();
        let barred = if enough { Vec::new() } else { self.barred.clone() };
        Answer::Rows { bytes, missing, barred }
    }

    fn end(&mut self, answer: Answer) -> Vec<Act> {
        if std::mem::replace(&mut self.done, true) {
            return Vec::new();
        }
        let mut acts: Vec<Act> = (0..self.parts.len()).filter(|p| self.is_out(*p)).map(Act::End).collect();
        acts.push(Act::Answer(answer));
        acts
    }
}

/// Rows of a result: each ends with a line feed.
fn lines(rows: &[u8]) -> u64 {
    rows.iter().filter(|c| **c == b'\n').count() as u64
}

fn first_lines(rows: &[u8], most: u64) -> usize {
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    let Some(before) = most.checked_sub(1) else { return 0 };
    let ends = rows.iter().enumerate().filter(|(_, c)| **c == b'\n').map(|(at, _)| at + 1);
    ends.into_iter().nth(before).unwrap_or(rows.len())
}

#[cfg(test)]
#[path = "whole_tests.rs"]
mod tests;
