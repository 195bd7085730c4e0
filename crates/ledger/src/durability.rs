//! Durability before communication: messages and answers wait for the saves that they depend on, so
//! that nothing is sent before the state that it relies on is durable.

use crate::formats::OLDEST_FORMAT;
use crate::ledger::{Ledger, UnsavedAnswers};
use crate::records;
use crate::replica::Replica;
use crate::{ClockReading, LedgerAnswer, Outcome, OutgoingPacket, Record, Save};

impl Ledger {
    /// Processes the shards that have changed, and collects the messages, saves and answers that
    /// result.
    pub(crate) fn process_changes(&mut self, at: ClockReading) {
        while let Some(shard) = self.changed_shards.pop_first() {
            self.process_shard(at, shard);
        }
        let packets = self.transport.packets(at);
        let mut must_save = !self.records.is_empty();
        for view in &mut self.shards {
            must_save |= view.replica.as_mut().is_some_and(Replica::must_save);
        }
        let answers = std::mem::take(&mut self.pending_answers);
        if must_save {
            let (mut records, mut format) =
                (std::mem::take(&mut self.records), self.latest_saved_format);
            for replica in self
                .shards
                .iter_mut()
                .filter_map(|view| view.replica.as_mut())
            {
                format = format.max(replica.save_changes(&mut records));
            }
            if format > self.latest_saved_format {
                // The header is saved with the first record of a later format, so that a build that
                // can't read that record finds the format in the header.
                self.latest_saved_format = format;
                records.push(records::header(
                    format,
                    self.transport.fleet,
                    self.local.disk,
                ));
            }
            return self.save(records, packets, answers);
        }
        if self.unsaved_answers.is_empty() {
            self.output.packets.extend(packets);
            self.output.answers.extend(answers);
        } else if !packets.is_empty() || !answers.is_empty() {
            self.save(Vec::new(), packets, answers);
        }
    }

    fn save(
        &mut self,
        records: Vec<Record>,
        packets: Vec<OutgoingPacket>,
        answers: Vec<LedgerAnswer>,
    ) {
        let number = self.next_save;
        self.next_save += 1;
        self.unsaved_answers
            .push_back(UnsavedAnswers { number, answers });
        self.output.saves.push(Save {
            number,
            records,
            packets,
        });
    }

    /// Handles the outcome of a save: it and all earlier saves are durable, or it has failed.
    pub fn saved(&mut self, at: ClockReading, number: u64, ok: bool) {
        if !ok {
            self.fail();
        }
        while let Some(first) = self.unsaved_answers.front_mut() {
            if first.number > number {
                break;
            }
            self.output.answers.append(&mut first.answers);
            self.unsaved_answers.pop_front();
        }
        self.process_changes(at);
    }

    /// Drops all replicas, as nothing can be saved any more: this front is a member of no shard
    /// until [`Ledger::reset`], and its packets name no disk.
    pub(crate) fn fail(&mut self) {
        self.counters.failed = true;
        self.transport.disk = 0;
        self.local.disk = 0;
        for view in &mut self.shards {
            (view.replica, view.bootstrap, view.received_snapshot) = (None, None, None);
            (view.barred_config, view.leader_since, view.repair) = (u32::MAX, None, None);
        }
        self.records.clear();
        // A request whose save failed may or may not have taken effect.
        for unsaved_answers in std::mem::take(&mut self.unsaved_answers) {
            let unreachable = unsaved_answers
                .answers
                .into_iter()
                .map(|answer| LedgerAnswer {
                    outcome: Outcome::Unreachable,
                    ..answer
                });
            self.output.answers.extend(unreachable);
        }
    }

    /// Restarts the ledger on another disk, or in memory only, as a front without any saved state.
    pub fn reset(&mut self, at: ClockReading, disk: u64) {
        self.fail();
        self.counters.failed = false;
        self.setup.disk = disk;
        self.local.disk = disk;
        self.transport.disk = disk;
        self.transport.incarnation = at.wall_ms.max(self.transport.incarnation + 1);
        self.latest_saved_format = OLDEST_FORMAT;
        self.records
            .push(records::header(OLDEST_FORMAT, self.transport.fleet, disk));
        self.shards
            .iter_mut()
            .for_each(|view| view.barred_config = 0);
        self.start_bootstraps();
        self.process_changes(at);
    }
}
