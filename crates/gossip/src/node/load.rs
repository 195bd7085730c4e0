//! Makes, sends and receives load reports.

use std::net::{IpAddr, SocketAddr};

use crate::channels::{Channel, MAX_PAYLOAD};
use crate::load_reports::{LoadReport, OfferedLoad};
use crate::message::{self, Signed};
use crate::seal::VerificationError;
use crate::Micros;

use super::{Datagram, Node};

/// Microseconds between a front's load reports, which reach 300 fronts in about two seconds.
const LOAD_REPORT_INTERVAL: Micros = 1_500_000;
/// Upper bound in bytes for the encoded number of load reports in a payload.
const REPORT_COUNT_BYTES: usize = 8;

impl Node {
    /// Enables sending and receiving load reports.
    pub fn enable_load_reports(&mut self) {
        self.load_reports.get_or_insert_default();
    }

    /// Reports the load offered to this front. `offered` is called only if a report is due and this
    /// front is among the reporters that count.
    pub fn report_load(
        &mut self,
        now: Micros,
        wall_ms: u64,
        offered: impl FnOnce() -> Vec<OfferedLoad>,
    ) {
        let Some(reports) = &mut self.load_reports else {
            return;
        };
        if now - self.load_reported_at < LOAD_REPORT_INTERVAL {
            return;
        }
        reports.expire(now);
        let version = self.load_version + 1;
        if !reports.is_later(self.identity.id, self.identity.started_ms, version) {
            return;
        }
        self.load_reported_at = now;
        self.load_version = version;
        let report = LoadReport {
            reporter: self.identity.id,
            started_ms: self.identity.started_ms,
            version,
            created_ms: wall_ms,
            offered: offered(),
        };
        let signed = self.identity.sign_load_report(&report);
        reports.merge(now, report, signed, 0);
    }

    /// The loads offered to the fronts whose reports count, including this one; one slice for each
    /// front.
    pub fn offered_loads(&self, now: Micros) -> impl Iterator<Item = &[OfferedLoad]> {
        self.load_reports
            .iter()
            .flat_map(move |reports| reports.current(now))
    }

    /// Whether an unexpired load report of another front is held.
    pub fn has_peer_load(&self, now: Micros) -> bool {
        self.load_reports
            .iter()
            .flat_map(|reports| reports.reporters(now))
            .any(|reporter| reporter != self.identity.id)
    }

    pub(super) fn load_report_datagram(
        &mut self,
        now: Micros,
        wall_ms: u64,
        to: SocketAddr,
    ) -> Option<Datagram> {
        let budget = MAX_PAYLOAD - REPORT_COUNT_BYTES;
        let reports = self.load_reports.as_mut()?.pick_to_send(now, budget);
        if reports.is_empty() {
            return None;
        }
        let payload = message::encode(&reports);
        self.channel_datagram(now, wall_ms, to, Channel::Load, &payload)
    }

    pub(super) fn receive_load_reports(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: IpAddr,
        payload: &[u8],
    ) {
        if self.load_reports.is_none() {
            return;
        }
        let Some(reports) = message::decode::<Vec<Signed>>(payload) else {
            return self.count_rejected(VerificationError::Form);
        };
        for signed in reports {
            if let Err(error) = self.receive_load_report(now, wall_ms, from, signed) {
                self.count_rejected(error);
            }
        }
    }

    /// Verifies and merges a load report received from `from`, if it is later than the one held.
    fn receive_load_report(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: IpAddr,
        signed: Signed,
    ) -> Result<(), VerificationError> {
        let Some(reports) = &mut self.load_reports else {
            return Ok(());
        };
        let report: LoadReport = message::decode(&signed.report).ok_or(VerificationError::Form)?;
        let reporter = report.reporter;
        // Most received reports are known already: skip the cost of verifying their signatures.
        let is_own = reporter == self.identity.id;
        if is_own || !reports.is_later(reporter, report.started_ms, report.version) {
            return Ok(());
        }
        self.peers
            .verify_load_report(now, from, reporter, &signed)?;
        if let Some(age) = self.peers.age(reporter, wall_ms, report.created_ms) {
            reports.merge(now, report, signed, age);
        }
        Ok(())
    }
}
