//! The disk of a simulated front: what waits for it is made lasting together, as the front's own writer does.

use std::collections::BTreeMap;

use hallmux_fleet::LedgerSave;
use hallmux_ledger::{DiskId, Record, Saved};
use rand::Rng;

use super::simulation::{Event, Simulation};

const SYNC: std::ops::Range<i64> = 500..4_000; // microseconds that making records lasting takes, drawn
const TOLD: i64 = 20; // microseconds until word of what needed no sync is there
const TOGETHER: usize = 256; // saves that are made lasting at once at most

#[derive(Default)]
pub(super) struct Disk {
    pub(super) identity: DiskId,
    pub(super) records: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Microseconds that a sync takes longer.
    pub(super) slow: i64,
    /// Nothing can be written.
    pub(super) full: bool,
    pub(super) waits: Vec<LedgerSave>,
    pub(super) writing: Vec<LedgerSave>,
}

impl Disk {
    /// Its front is gone: what was being written is there as a whole, or not at all.
    pub(super) fn crash(&mut self, written: bool) {
        self.waits.clear();
        let writing = std::mem::take(&mut self.writing);
        if written && !self.full {
            self.write(&writing);
        }
    }

    /// All that it held is lost; another takes its place.
    pub(super) fn lose(&mut self, identity: DiskId) {
        *self = Disk {
            identity,
            ..Disk::default()
        };
    }

    /// What a new life of its front finds.
    pub(super) fn found(&self) -> Option<Saved> {
        let records = || {
            self.records
                .iter()
                .map(|(name, bytes)| (name.clone(), bytes.clone()))
                .collect()
        };
        (!self.records.is_empty()).then(|| Saved(records()))
    }

    fn write(&mut self, writes: &[LedgerSave]) {
        for Record { name, bytes } in writes.iter().flat_map(|kept| &kept.records) {
            match bytes {
                Some(bytes) => _ = self.records.insert(name.clone(), bytes.clone()),
                None => _ = self.records.remove(name),
            }
        }
    }
}

impl Simulation<'_> {
    /// Has it made lasting; its datagrams leave then.
    pub(super) fn save(&mut self, n: usize, mut kept: Vec<LedgerSave>) {
        if self.members[n].life.is_none() || kept.is_empty() {
            return;
        }
        if self.spoil.sends_before_sync {
            for kept in &mut kept {
                let datagrams = std::mem::take(&mut kept.datagrams);
                self.send_datagrams(n, datagrams);
            }
        }
        self.members[n].disk.waits.extend(kept);
        self.start_sync(n);
    }

    fn start_sync(&mut self, n: usize) {
        let time = self.chance.random_range(SYNC);
        let member = &mut self.members[n];
        let disk = &mut member.disk;
        if !disk.writing.is_empty() || disk.waits.is_empty() {
            return;
        }
        let most = disk.waits.len().min(TOGETHER);
        disk.writing = disk.waits.drain(..most).collect();
        let empty = disk.writing.iter().all(|kept| kept.records.is_empty());
        let time = if empty { TOLD } else { time + disk.slow };
        let lives = member.lives;
        self.at(self.now + time, Event::Lasting(n, lives));
    }

    /// What was being written is lasting, or could not be.
    pub(super) fn lasting(&mut self, n: usize) {
        let disk = &mut self.members[n].disk;
        let writing = std::mem::take(&mut disk.writing);
        let Some(last) = writing.last().map(|kept| kept.number) else {
            return;
        };
        let ok = !disk.full || writing.iter().all(|kept| kept.records.is_empty());
        if ok {
            disk.write(&writing);
            for kept in writing {
                self.send_datagrams(n, kept.datagrams);
            }
        }
        let at = self.moment(n);
        let exchange = self.members[n]
            .life
            .as_mut()
            .and_then(|life| life.exchange.as_mut());
        let Some(out) = exchange.map(|exchange| exchange.ledger_saved(at, last, ok)) else {
            return;
        };
        self.send_output(n, out);
        self.start_sync(n);
        self.promised(n);
    }
}
