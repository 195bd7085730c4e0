//! Lines of the log on gossip: what is new, and what was refused.

use std::collections::BTreeMap;

use hallmux_dispatcher::Micros;
use hallmux_fleet::{Exchange, OwnedLease};
use hallmux_gossip::evidence::PeerReport;
use hallmux_gossip::members::FleetSize;
use hallmux_gossip::seal::VerificationError;
use hallmux_gossip::PeerId;
use hallmux_ledger::Differences;

/// Microseconds between lines of the log on what was refused.
const LOG_INTERVAL: Micros = 10_000_000;

/// What was logged last, so that a line comes only where something has changed.
#[derive(Default)]
pub(super) struct LogState {
    last_log: Micros,
    refused: BTreeMap<VerificationError, u64>,
    refused_acts: BTreeMap<&'static str, u64>,
    ownership: Option<OwnedLease>,
    /// Replicas of the ledger that were found to differ.
    differences: Differences,
}

impl LogState {
    /// Logs what has changed in the lease of the fleet's work, in the ledger and in what was refused. `steady` is the
    /// time that leases go by.
    pub(super) fn log_changes(&mut self, now: Micros, steady: Micros, exchange: &Exchange) {
        self.log_ownership(exchange.owned_lease(steady));
        self.log_refused_acts(now, exchange);
        self.log_differences(exchange.replica_differences());
        self.log_refused(now, exchange);
    }

    fn log_ownership(&mut self, owned: Option<OwnedLease>) {
        match (self.ownership, owned) {
            (before, Some(OwnedLease { token })) if before != owned => {
                log::info!("owns the fleet's work under token {token}")
            }
            (Some(OwnedLease { token }), None) => {
                log::info!("owns the fleet's work under token {token} no longer")
            }
            _ => {}
        }
        self.ownership = owned;
    }

    fn log_refused_acts(&mut self, now: Micros, exchange: &Exchange) {
        let refused = exchange.refused_acts();
        if refused == self.refused_acts || !self.is_due(now) {
            return;
        }
        log::warn!("words on the fleet's work that count for nothing so far: {refused:?}");
        self.refused_acts = refused;
    }

    fn log_differences(&mut self, differences: Differences) {
        if differences == self.differences {
            return;
        }
        self.differences = differences;
        let Differences {
            found,
            repaired_here,
        } = differences;
        log::warn!(
            "ledger: {found} copies differed from the majority so far, {repaired_here} mended here; look at the disks"
        );
    }

    fn log_refused(&mut self, now: Micros, exchange: &Exchange) {
        let refused = exchange.refused();
        if refused == &self.refused || !self.is_due(now) {
            return;
        }
        self.last_log = now;
        self.refused = refused.clone();
        log::warn!(
            "datagrams and reports of other fronts that count for nothing so far: {refused:?}"
        );
    }

    fn is_due(&self, now: Micros) -> bool {
        self.last_log + LOG_INTERVAL <= now
    }
}

pub(super) fn log_fleet_size(size: FleetSize) {
    log::debug!("{} fronts are known, {} of them up", size.known, size.up);
}

/// What another front has seen of an engine.
pub(super) fn log_peer_report(report: &PeerReport, names: &BTreeMap<PeerId, String>) {
    let name = names.get(&report.reporter).map_or("?", String::as_str);
    let sighting = &report.status;
    let drains = if sighting.drains { ", drains" } else { "" };
    log::info!(
        "front {name} says of engine {:016x}: {} failed, {} answered, silent for {} ms{drains}; {} ms ago",
        sighting.engine,
        sighting.failed,
        sighting.answered,
        sighting.silent_ms,
        report.age / 1000
    );
}
