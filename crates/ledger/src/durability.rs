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
    pub(crate) fn settle(&mut self, at: ClockReading) {
        while let Some(shard) = self.touched.pop_first() {
            self.settle_shard(at, shard);
        }
        let packets = self.transport.packets(at);
        let mut must = !self.records.is_empty();
        for view in &mut self.shards {
            must |= view.replica.as_mut().is_some_and(Replica::must_save);
        }
        let done = std::mem::take(&mut self.done);
        if must {
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
                records.push(records::header(format, self.transport.fleet, self.own.disk));
            }
            return self.save(records, packets, done);
        }
        if self.unsaved.is_empty() {
            self.out.packets.extend(packets);
            self.out.answers.extend(done);
        } else if !packets.is_empty() || !done.is_empty() {
            self.save(Vec::new(), packets, done);
        }
    }

    fn save(
        &mut self,
        records: Vec<Record>,
        packets: Vec<OutgoingPacket>,
        done: Vec<LedgerAnswer>,
    ) {
        let number = self.next_save;
        self.next_save += 1;
        self.unsaved.push_back(UnsavedAnswers {
            number,
            answers: done,
        });
        self.out.saves.push(Save {
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
        while let Some(first) = self.unsaved.front_mut() {
            if first.number > number {
                break;
            }
            self.out.answers.append(&mut first.answers);
            self.unsaved.pop_front();
        }
        self.settle(at);
    }

    /// Drops all replicas, as nothing can be saved any more: this front is a member of no shard
    /// until [`Ledger::reset`], and its packets name no disk.
    pub(crate) fn fail(&mut self) {
        self.counters.failed = true;
        self.transport.disk = 0;
        self.own.disk = 0;
        for view in &mut self.shards {
            (view.replica, view.bootstrap, view.learned) = (None, None, None);
            (view.barred, view.leader_since, view.repair) = (u32::MAX, None, None);
        }
        self.records.clear();
        // A request whose save failed may or may not have taken effect.
        for unsaved in std::mem::take(&mut self.unsaved) {
            let unreachable = unsaved.answers.into_iter().map(|answer| LedgerAnswer {
                outcome: Outcome::Unreachable,
                ..answer
            });
            self.out.answers.extend(unreachable);
        }
    }

    /// Restarts the ledger on another disk, or in memory only, as a front without any saved state.
    pub fn reset(&mut self, at: ClockReading, disk: u64) {
        self.fail();
        self.counters.failed = false;
        self.setup.disk = disk;
        self.own.disk = disk;
        self.transport.disk = disk;
        self.transport.incarnation = at.wall_ms.max(self.transport.incarnation + 1);
        self.latest_saved_format = OLDEST_FORMAT;
        self.records
            .push(records::header(OLDEST_FORMAT, self.transport.fleet, disk));
        self.shards.iter_mut().for_each(|view| view.barred = 0);
        self.start_bootstraps();
        self.settle(at);
    }
}
