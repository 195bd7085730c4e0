//! Saves the changes of a replica: the records of its log, its snapshot and its Paxos promises.

use hallmux_replica::LogState;

use super::Replica;
use crate::batch::Batch;
use crate::records::{self, Meta};
use crate::Record;

impl Replica {
    /// Whether changes must be durable before any message that depends on them is sent.
    pub fn must_save(&mut self) -> bool {
        if let Some(changes) = self.store.take_changes() {
            self.changes.must_persist |= changes.must_persist;
            self.changes.snapshot |= changes.snapshot;
            self.changes.log_from = self
                .changes
                .log_from
                .into_iter()
                .chain(changes.log_from)
                .min();
            self.dirty = true;
        }
        self.changes.must_persist
    }

    /// Adds the changes since the last save to the records; returns the latest format among them.
    pub fn save_changes(&mut self, records: &mut Vec<Record>) -> u8 {
        let mut format = self.state.format();
        if !std::mem::take(&mut self.dirty) {
            return format;
        }
        let changes = std::mem::take(&mut self.changes);
        let shard = self.shard;
        let previously_saved = self.saved_indices.clone();
        self.saved_indices = self.store.read(|log_state| {
            records.push(records::meta(format, shard, &self.meta(log_state)));
            if let Some(snapshot) = log_state.snapshot.as_ref().filter(|_| changes.snapshot) {
                format = format.max(snapshot.format());
                records.push(records::snapshot(shard, snapshot));
            }
            let (compacted, end) = (log_state.compacted, log_state.end());
            let from = changes.log_from.unwrap_or(end).max(compacted);
            let entries = (compacted..end).zip(&log_state.log);
            for (index, batch) in entries.skip(from - compacted) {
                format = format.max(batch.tail.format());
                records.push(records::entry(shard, index, batch));
            }
            let compacted_away = previously_saved.start..compacted.min(previously_saved.end);
            let cut_off = end.max(previously_saved.start)..previously_saved.end;
            let removed = compacted_away.chain(cut_off);
            records.extend(removed.map(|index| records::remove_entry(shard, index)));
            compacted..end
        });
        format
    }

    /// The record that is saved in addition to the log and the snapshot.
    fn meta(&self, log_state: &LogState<Batch>) -> Meta {
        Meta {
            config: self.config,
            members: self.members.clone(),
            is_member: true,
            promise: log_state.promise,
            accepted_round: log_state.accepted_round,
            decided: log_state.decided,
            compacted: log_state.compacted,
            end: log_state.end(),
        }
    }

    /// Adds records that remove the saved log.
    pub fn remove_saved_log(&self, records: &mut Vec<Record>) {
        let saved = self.saved_indices.clone();
        records.extend(saved.map(|index| records::remove_entry(self.shard, index)));
    }
}
