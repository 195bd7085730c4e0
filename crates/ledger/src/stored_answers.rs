//! Answers that are remembered, so that a request made twice counts once.

use serde::{Deserialize, Serialize};

use crate::batch::Command;
use crate::{Entry, Operation, Outcome, Owner};

/// An outcome that is remembered, without what the request itself says.
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

/// The outcome of a request, and when it was first asked, in Unix milliseconds of its front.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredAnswer {
    pub asked_ms: u64,
    pub stored: StoredOutcome,
}

impl Command {
    /// The answer to a repeat. A claim that was granted and is gone since is not answered as if it stood.
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
