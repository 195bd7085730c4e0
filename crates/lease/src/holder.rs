//! The owner's side: asks voters for the lease, keeps it, and knows by its own monotonic clock alone until
//! when it may act.

use crate::{Answer, Ask, FrontId, Micros, Task, Terms, Token};

const PATIENCE: Micros = 250_000; // microseconds until the next voter is asked instead; some round trips

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    token: Token,
    /// It may act before this.
    until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Asked {
    number: u64,
    at: Micros,
    voter: usize,
}

/// One front's claim on one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    task: Task,
    terms: Terms,
    voters: Vec<FrontId>,
    held: Option<Held>,
    asked: Option<Asked>,
    next_number: u64,
    voter: usize,
    /// How far the work had gone when the lease was granted; taken once.
    progress: Option<Vec<u8>>,
}

impl Holder {
    /// `first` is the number of its first question: of no use twice, as answers to an earlier life are not
    /// this one's.
    pub fn new(task: Task, terms: Terms, voters: Vec<FrontId>, first: u64) -> Holder {
        Holder { task, terms, voters, held: None, asked: None, next_number: first, voter: 0, progress: None }
    }

    /// The token under which it may act now.
    pub fn token(&self, now: Micros) -> Option<Token> {
        self.held.filter(|held| now < held.until).map(|held| held.token)
    }

    /// Until when it may act, whether it has run out or not.
    pub fn until(&self) -> Option<Micros> {
        self.held.map(|held| held.until)
    }

    /// What the owner before had done, once after each grant.
    pub fn inherited(&mut self) -> Option<Vec<u8>> {
        self.progress.take()
    }

    /// Asks for the lease, or to keep it: whom, and what. None while an answer is awaited or nothing is due:
    /// `wants` says that the work is wanted of whoever has no lease.
    pub fn ask(&mut self, now: Micros, wants: bool, progress: &[u8]) -> Option<(FrontId, Ask)> {
        let waits = self.asked.as_ref().is_some_and(|asked| now - asked.at < PATIENCE);
        // It is kept from a third of its time on: two more tries fit in.
        let due = match self.token(now) {
            Some(_) => self.until().is_some_and(|until| until - now < self.terms.acts_for() * 2 / 3),
            None => wants,
        };
        if waits || !due || self.voters.is_empty() {
            return None;
        }
        if self.asked.as_ref().is_some_and(|asked| asked.voter == self.voter) {
            self.voter = (self.voter + 1) % self.voters.len(); // that one is silent
        }
        let number = self.next_number;
        self.next_number += 1;
        self.asked = Some(Asked { number, at: now, voter: self.voter });
        let token = self.token(now);
        let progress = if token.is_some() { progress.to_vec() } else { Vec::new() };
        Some((self.voters[self.voter], Ask { task: self.task, number, token, progress }))
    }

    /// A voter's answer. One that is not to the question asked last says nothing.
    pub fn answered(&mut self, answer: &Answer) {
        let number = match answer {
            Answer::Yours { number, .. } | Answer::NotYours { number } | Answer::Elsewhere { number, .. } => {
                number
            }
        };
        let Some(asked) = self.asked.take_if(|asked| asked.number == *number) else { return };
        match answer {
            Answer::Yours { token, progress, .. } => {
                // Counted from when it asked: whatever the answer took, the voters counted from later.
                let held = Held { token: *token, until: asked.at + self.terms.acts_for() };
                if self.held.is_none_or(|before| before.token != *token) {
                    self.progress = Some(progress.clone());
                }
                self.held = Some(held);
            }
            // Asked for it or to keep it: another has it, and has had it since no later than now.
            Answer::NotYours { .. } => self.held = None,
            Answer::Elsewhere { leader, .. } => {
                let place = self.voters.iter().position(|voter| voter == leader);
                self.voter = place.unwrap_or((self.voter + 1) % self.voters.len());
            }
        }
    }
}

#[cfg(test)]
#[path = "holder_tests.rs"]
mod tests;
