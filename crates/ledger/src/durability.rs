//! Durability before communication: what goes out waits for the saves that it depends on, so that
//! no message or answer leaves before what it promises is durable.

use crate::formats::OLDEST_FORMAT;
use crate::ledger::{Ledger, UnsavedAnswers};
use crate::records;
use crate::replica::Replica;
use crate::{ClockReading, LedgerAnswer, Outcome, OutgoingPacket, Record, Save};

impl Ledger {
    /// Takes in what has happened, and gathers what is to go out.
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
                // With the first of them, so that a build that can't read them finds that said.
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

    /// A save is durable, with those before it, or has failed.
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

    /// Nothing can be kept any more: this front is a member of nothing until it starts again, and
    /// says so.
    pub(crate) fn fail(&mut self) {
        self.counters.failed = true;
        self.transport.disk = 0;
        self.own.disk = 0;
        for view in &mut self.shards {
            (view.replica, view.bootstrap, view.learned) = (None, None, None);
            (view.barred, view.leader_since, view.repair) = (u32::MAX, None, None);
        }
        self.records.clear();
        // What rests on a save that failed may stand or not.
        for unsaved in std::mem::take(&mut self.unsaved) {
            let unreachable = unsaved.answers.into_iter().map(|answer| LedgerAnswer {
                outcome: Outcome::Unreachable,
                ..answer
            });
            self.out.answers.extend(unreachable);
        }
    }

    /// Begins anew with another disk, or with none but memory: as a front that remembers nothing.
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
