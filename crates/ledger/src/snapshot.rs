//! Snapshots of a shard's log, as the consensus library creates and merges them.

use omnipaxos::storage::{Entry as Logged, Snapshot};
use serde::{Deserialize, Serialize};

use crate::batch::Batch;
use crate::state::State;

/// A snapshot of the log: the state up to some index, and later batches that are not applied to it
/// yet. The consensus library creates a snapshot from entries alone, and then merges it into the
/// previous one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct LogSnapshot {
    base: State,
    since: Vec<Batch>,
}

impl LogSnapshot {
    pub fn of(base: State) -> LogSnapshot {
        LogSnapshot {
            base,
            since: Vec::new(),
        }
    }

    /// The latest format of the state and the batches.
    pub fn format(&self) -> u8 {
        self.since
            .iter()
            .map(|batch| batch.tail.format())
            .fold(self.base.format(), u8::max)
    }

    pub fn state(&self) -> State {
        let mut state = self.base.clone();
        self.since.iter().for_each(|batch| _ = state.apply(batch));
        state
    }
}

impl Snapshot<Batch> for LogSnapshot {
    fn create(entries: &[Batch]) -> LogSnapshot {
        LogSnapshot {
            base: State::default(),
            since: entries.to_vec(),
        }
    }

    fn merge(&mut self, later: LogSnapshot) {
        let since = std::mem::take(&mut self.since);
        since
            .iter()
            .chain(&later.since)
            .for_each(|batch| _ = self.base.apply(batch));
    }

    fn use_snapshots() -> bool {
        true
    }
}

impl Logged for Batch {
    type Snapshot = LogSnapshot;
}
