//! Samples the resource usage of simulated fronts, to detect unbounded growth, and the time until
//! all replicas of ledger entries exist again after a loss.

use std::collections::BTreeMap;

use super::simulation::{Event, Simulation};

pub(super) const SAMPLE_INTERVAL_US: i64 = 10_000_000; // time between samples
const REPLICA_CHECK_INTERVAL_US: i64 = 50_000; // time between checks for missing replicas

/// The maximum over all fronts in one sample.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceSample {
    entries: i64,
    ledger_bytes: i64,
    disk_bytes: i64,
    records: i64,
}

/// Resource samples and replica losses of a run.
#[derive(Default)]
pub(super) struct Growth {
    samples: Vec<ResourceSample>,
    /// Since when replicas are missing.
    loss_since: Option<i64>,
    /// Microseconds until all replicas existed again, for each loss.
    recovery_times: Vec<i64>,
    /// The front that held most replicas in the last sample.
    largest_holder: Option<usize>,
}

impl Growth {
    /// Adds the first and last quarter's maxima and the recovery times to the tallies.
    pub(super) fn add_tallies(&self, tallies: &mut BTreeMap<&'static str, i64>) {
        let quarter = self.samples.len().div_ceil(4);
        let most = |samples: &[ResourceSample], of: fn(&ResourceSample) -> i64| {
            samples.iter().map(of).max().unwrap_or(0)
        };
        let (early, late) = (
            &self.samples[..quarter],
            &self.samples[self.samples.len() - quarter..],
        );
        tallies.insert("disk_bytes_early", most(early, |h| h.disk_bytes));
        tallies.insert("disk_bytes_late", most(late, |h| h.disk_bytes));
        tallies.insert("disk_records_late", most(late, |h| h.records));
        tallies.insert("ledger_bytes_early", most(early, |h| h.ledger_bytes));
        tallies.insert("ledger_bytes_late", most(late, |h| h.ledger_bytes));
        tallies.insert("entries_late", most(late, |h| h.entries));
        if let Some(longest) = self.recovery_times.iter().max() {
            tallies.insert("copies_again_ms", longest / 1000);
            tallies.insert("copies_made_again", self.recovery_times.len() as i64);
        }
        if let Some(front) = self.largest_holder {
            tallies.insert("keeps_most", front as i64);
        }
    }
}

impl Simulation<'_> {
    /// Samples the resource usage of all fronts.
    pub(super) fn sample_sizes(&mut self) {
        let mut sample = ResourceSample::default();
        let mut most = (0, None);
        for (n, member) in self.members.iter().enumerate() {
            let exchange = member
                .running
                .as_ref()
                .and_then(|running| running.exchange.as_ref());
            let counters = exchange
                .and_then(|exchange| exchange.ledger_counters())
                .unwrap_or_default();
            let disk: usize = member
                .disk
                .records
                .iter()
                .map(|(name, bytes)| name.len() + bytes.len())
                .sum();
            sample.entries = sample.entries.max(counters.entries as i64);
            sample.ledger_bytes = sample.ledger_bytes.max(counters.bytes as i64);
            sample.disk_bytes = sample.disk_bytes.max(disk as i64);
            sample.records = sample.records.max(member.disk.records.len() as i64);
            if counters.replicas > most.0 {
                most = (counters.replicas, Some(n));
            }
        }
        self.growth.samples.push(sample);
        self.growth.largest_holder = most.1;
        self.schedule_event(self.now + SAMPLE_INTERVAL_US, Event::SampleSizes);
    }

    /// A front has died with its disk: replicas are missing from now on.
    pub(super) fn record_replica_loss(&mut self) {
        if self.scenario.fleet.copies.is_some() {
            self.growth.loss_since.get_or_insert(self.now);
            self.schedule_event(self.now + REPLICA_CHECK_INTERVAL_US, Event::CheckReplicas);
        }
    }

    /// Checks whether every shard has a leader and all its replicas on running fronts; if not,
    /// schedules another check.
    pub(super) fn check_replicas(&mut self) {
        let Some((since, copies)) = self.growth.loss_since.zip(self.scenario.fleet.copies) else {
            return;
        };
        let (mut owned, mut kept, mut missing) = (0, 0, 0);
        let exchanges = self
            .members
            .iter()
            .filter_map(|m| m.running.as_ref()?.exchange.as_ref());
        for counters in exchanges.filter_map(|exchange| exchange.ledger_counters()) {
            (owned, kept) = (owned + counters.led_shards, kept + counters.replicas);
            missing += counters.missing_replicas;
        }
        let shards = usize::from(self.shards);
        if owned >= shards && kept >= shards * copies && missing == 0 {
            self.growth.recovery_times.push(self.now - since);
            self.growth.loss_since = None;
            return;
        }
        self.schedule_event(self.now + REPLICA_CHECK_INTERVAL_US, Event::CheckReplicas);
    }
}
