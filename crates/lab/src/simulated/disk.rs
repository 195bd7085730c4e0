//! The disk of a simulated front: queued saves are synced in batches, as in a front's own writer.

use std::collections::BTreeMap;

use hallmux_fleet::LedgerSave;
use hallmux_ledger::{DiskId, Record, Saved};
use rand::Rng;

use super::simulation::{Event, Simulation};

const SYNC_TIME_US: std::ops::Range<i64> = 500..4_000; // microseconds of a sync, drawn
const NO_SYNC_DELAY_US: i64 = 20; // microseconds until a save without records is acknowledged
const MAX_SYNC_BATCH: usize = 256; // saves per sync

/// A simulated disk: durable records, queued saves and the batch being written.
#[derive(Default)]
pub(super) struct Disk {
    pub(super) identity: DiskId,
    pub(super) records: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Microseconds that are added to each sync.
    pub(super) extra_sync_us: i64,
    /// Whether all writes fail.
    pub(super) full: bool,
    pub(super) queued: Vec<LedgerSave>,
    pub(super) writing: Vec<LedgerSave>,
}

impl Disk {
    /// The front has died: the batch being written is stored completely if `written`, otherwise not
    /// at all.
    pub(super) fn crash(&mut self, written: bool) {
        self.queued.clear();
        let writing = std::mem::take(&mut self.writing);
        if written && !self.full {
            self.write(&writing);
        }
    }

    /// Replaces the disk by an empty one with another identity.
    pub(super) fn replace(&mut self, identity: DiskId) {
        *self = Disk {
            identity,
            ..Disk::default()
        };
    }

    /// The records that a new incarnation of the front finds; `None` if there are none.
    pub(super) fn load_records(&self) -> Option<Saved> {
        let records = || {
            self.records
                .iter()
                .map(|(name, bytes)| (name.clone(), bytes.clone()))
                .collect()
        };
        (!self.records.is_empty()).then(|| Saved(records()))
    }

    fn write(&mut self, writes: &[LedgerSave]) {
        for Record { name, bytes } in writes.iter().flat_map(|save| &save.records) {
            match bytes {
                Some(bytes) => _ = self.records.insert(name.clone(), bytes.clone()),
                None => _ = self.records.remove(name),
            }
        }
    }
}

impl Simulation<'_> {
    /// Queues saves; their datagrams are sent once the saves are durable.
    pub(super) fn save(&mut self, n: usize, mut saves: Vec<LedgerSave>) {
        if self.members[n].running.is_none() || saves.is_empty() {
            return;
        }
        if self.mutation.sends_before_sync {
            for save in &mut saves {
                let datagrams = std::mem::take(&mut save.datagrams);
                self.send_datagrams(n, datagrams);
            }
        }
        self.members[n].disk.queued.extend(saves);
        self.start_sync(n);
    }

    fn start_sync(&mut self, n: usize) {
        let time = self.rng.random_range(SYNC_TIME_US);
        let member = &mut self.members[n];
        let disk = &mut member.disk;
        if !disk.writing.is_empty() || disk.queued.is_empty() {
            return;
        }
        let most = disk.queued.len().min(MAX_SYNC_BATCH);
        disk.writing = disk.queued.drain(..most).collect();
        let empty = disk.writing.iter().all(|save| save.records.is_empty());
        let time = if empty {
            NO_SYNC_DELAY_US
        } else {
            time + disk.extra_sync_us
        };
        let incarnation = member.incarnation;
        self.schedule_event(self.now + time, Event::SyncFinished(n, incarnation));
    }

    /// Completes a sync: the batch is durable, or failed if the disk is full.
    pub(super) fn finish_sync(&mut self, n: usize) {
        let disk = &mut self.members[n].disk;
        let writing = std::mem::take(&mut disk.writing);
        let Some(last) = writing.last().map(|save| save.number) else {
            return;
        };
        let ok = !disk.full || writing.iter().all(|save| save.records.is_empty());
        if ok {
            disk.write(&writing);
            for save in writing {
                self.send_datagrams(n, save.datagrams);
            }
        }
        let at = self.clock_reading(n);
        let exchange = self.members[n]
            .running
            .as_mut()
            .and_then(|running| running.exchange.as_mut());
        let Some(out) = exchange.map(|exchange| exchange.ledger_saved(at, last, ok)) else {
            return;
        };
        self.send_output(n, out);
        self.start_sync(n);
        self.take_ledger_answers(n);
    }
}
