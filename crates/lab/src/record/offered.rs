//! A statement as its client saw it, and what excuses its front.

use super::starved::Starved;
use crate::check::StatementRecord;

const MAX_ANSWER_WAIT_US: i64 = 70_000_000; // the longest that a client waits for any answer

/// A statement with the front it was sent to and the index of its class in the scenario.
#[derive(Clone, Debug)]
pub struct Offered {
    pub front: usize,
    pub class: usize,
    pub asked: StatementRecord,
    /// The access rules deny it: a rejection is the correct answer.
    pub barred: bool,
    /// The client sent it to another front before.
    pub is_retry: bool,
    /// Microseconds for which the client waited for a CPU.
    pub starved: i64,
}

impl Offered {
    /// Excuses a loss or a delay that is not the front's fault: faults of the front while the
    /// statement was in flight, and the time that the front and the client waited for a CPU.
    pub fn excuse(&mut self, disturbed: &[(i64, i64)], starved: &Starved) {
        let StatementRecord { sent, answered, .. } = self.asked;
        self.asked.may_be_lost = disturbed
            .iter()
            .any(|(from, to)| sent <= *to && answered >= *from);
        if self.asked.may_be_lost {
            self.asked.timeout += MAX_ANSWER_WAIT_US;
        }
        self.asked.timeout += self.starved + starved.front(self.front, (sent, answered));
    }
}

/// Creates a completed statement without an order key for unit tests.
#[cfg(test)]
pub fn offered(id: &str, front: usize, sent: i64) -> Offered {
    let asked = StatementRecord::new(id.into(), sent, 1_000_000, crate::check::Repeat::Idempotent);
    let outcome = crate::check::Outcome::Completed { rows: 1 };
    let asked = StatementRecord {
        answered: sent + 1_000,
        outcome,
        rows: 1,
        ..asked
    };
    Offered {
        front,
        class: 0,
        asked,
        barred: false,
        is_retry: false,
        starved: 0,
    }
}

#[cfg(test)]
#[path = "offered_tests.rs"]
mod tests;
