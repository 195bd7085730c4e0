//! Log lines on gossip: new reports, changes of ownership and of the ledger, and rejected messages.

use std::collections::BTreeMap;

use hallmux_dispatcher::Micros;
use hallmux_fleet::{Exchange, OwnedLease};
use hallmux_gossip::evidence::PeerReport;
use hallmux_gossip::members::FleetSize;
use hallmux_gossip::seal::VerificationError;
use hallmux_gossip::PeerId;
use hallmux_ledger::Differences;

/// Microseconds between log lines on rejected messages.
const LOG_INTERVAL: Micros = 10_000_000;

/// The state that was logged last, so that only changes are logged.
#[derive(Default)]
pub(super) struct LogState {
    last_log_time: Micros,
    logged_rejections: BTreeMap<VerificationError, u64>,
    logged_ownership_rejections: BTreeMap<&'static str, u64>,
    logged_lease: Option<OwnedLease>,
    /// Counts of ledger replicas that differed from the majority.
    logged_differences: Differences,
}

impl LogState {
    /// Logs changes in the lease of the fleet's work, in the ledger's replicas and in the counts of
    /// rejected messages. `steady` is the reading of the monotonic clock that leases use, in
    /// microseconds.
    pub(super) fn log_changes(&mut self, now: Micros, steady: Micros, exchange: &Exchange) {
        self.log_ownership(exchange.owned_lease(steady));
        self.log_ownership_rejections(now, exchange);
        self.log_differences(exchange.replica_differences());
        self.log_rejections(now, exchange);
    }

    fn log_ownership(&mut self, owned: Option<OwnedLease>) {
        match (self.logged_lease, owned) {
            (previous, Some(OwnedLease { token })) if previous != owned => {
                log::info!("owns the fleet's work under token {token}")
            }
            (Some(OwnedLease { token }), None) => {
                log::info!("owns the fleet's work under token {token} no longer")
            }
            _ => {}
        }
        self.logged_lease = owned;
    }

    fn log_ownership_rejections(&mut self, now: Micros, exchange: &Exchange) {
        let rejected = exchange.refused_acts();
        if rejected == self.logged_ownership_rejections || !self.is_log_due(now) {
            return;
        }
        log::warn!(
            "gossip.ownership: messages of other fronts rejected so far, by reason: {rejected:?}"
        );
        self.logged_ownership_rejections = rejected;
    }

    fn log_differences(&mut self, differences: Differences) {
        if differences == self.logged_differences {
            return;
        }
        self.logged_differences = differences;
        let Differences {
            found,
            repaired_here,
        } = differences;
        log::warn!(
            "ledger: {found} copies differed from the majority so far, {repaired_here} of them repaired at this front; check the disks"
        );
    }

    fn log_rejections(&mut self, now: Micros, exchange: &Exchange) {
        let rejected = exchange.refused();
        if rejected == &self.logged_rejections || !self.is_log_due(now) {
            return;
        }
        self.last_log_time = now;
        self.logged_rejections = rejected.clone();
        log::warn!(
            "gossip: datagrams and reports of other fronts rejected so far, by reason: {rejected:?}"
        );
    }

    fn is_log_due(&self, now: Micros) -> bool {
        self.last_log_time + LOG_INTERVAL <= now
    }
}

/// Logs the number of known fronts.
pub(super) fn log_fleet_size(size: FleetSize) {
    log::debug!(
        "gossip: {} fronts are known, {} of them up",
        size.known,
        size.up
    );
}

/// Logs a peer's report about an engine. `names` maps the peers to their names in the operator's file.
pub(super) fn log_peer_report(report: &PeerReport, names: &BTreeMap<PeerId, String>) {
    let reporter_name = names.get(&report.reporter).map_or("?", String::as_str);
    let status = &report.status;
    let drain_suffix = if status.drains { ", drains" } else { "" };
    log::info!(
        "front {reporter_name} says of engine {:016x}: {} failed, {} answered, silent for {} ms{drain_suffix}; {} ms ago",
        status.engine,
        status.failed,
        status.answered,
        status.silent_ms,
        report.age / 1000
    );
}
