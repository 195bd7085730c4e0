//! Retained answers, so that a repeated request is applied once.

use serde::{Deserialize, Serialize};

use crate::batch::Command;
use crate::{Entry, Operation, Outcome, Owner};

/// The retained outcome of a request, without what the request itself contains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StoredOutcome {
    Stands {
        version: u64,
    },
    Held {
        owner: Owner,
        version: u64,
        ends_ms: u64,
    },
    Absent,
    Full,
}

/// The outcome of a request, and when the request was first made, in Unix milliseconds of its
/// front's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredAnswer {
    pub asked_ms: u64,
    pub stored: StoredOutcome,
}

impl Command {
    /// The answer to a repeated request. A granted claim whose entry is gone by now is not answered
    /// as if it still held the key.
    pub fn repeat_answer(&self, stored: &StoredOutcome, current: Option<&Entry>) -> Outcome {
        let entry = |owner, version, ends_ms, value| Entry {
            key: self.key.clone(),
            owner,
            version,
            ends_ms,
            value,
        };
        match (stored, &self.operation) {
            (StoredOutcome::Stands { .. }, Operation::Claim { .. }) => match current {
                Some(entry) if entry.owner == self.owner => Outcome::Stands(entry.clone()),
                Some(entry) => Outcome::Held(entry.clone()),
                None => Outcome::Absent,
            },
            (StoredOutcome::Stands { version }, Operation::Put { ends_ms, value, .. }) => {
                Outcome::Stands(entry(self.owner, *version, *ends_ms, value.clone()))
            }
            (
                StoredOutcome::Held {
                    owner,
                    version,
                    ends_ms,
                },
                _,
            ) => Outcome::Held(entry(*owner, *version, *ends_ms, Vec::new())),
            (StoredOutcome::Full, _) => Outcome::Full,
            (StoredOutcome::Absent | StoredOutcome::Stands { .. }, _) => Outcome::Absent,
        }
    }
}
