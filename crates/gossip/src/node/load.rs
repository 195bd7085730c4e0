//! A front's part in the exchange of load reports.

use std::net::IpAddr;

use super::*;
use crate::load_reports::{LoadReport, OfferedLoad};

/// Microseconds between a front's load reports: they reach 300 fronts in some two seconds.
const REPORT_EVERY: Micros = 1_500_000;

impl Node {
    /// From now on this front sends load reports and takes in those of others.
    pub fn enable_load_reports(&mut self) {
        self.load_reports.get_or_insert_default();
    }

    /// Reports the load offered to this front, where a report is due and would count. `offered` is called
    /// only then.
    pub fn report_load(
        &mut self,
        now: Micros,
        wall_ms: u64,
        offered: impl FnOnce() -> Vec<OfferedLoad>,
    ) {
        let Some(reports) = self
            .load_reports
            .as_mut()
            .filter(|_| now - self.load_reported_at >= REPORT_EVERY)
        else {
            return;
        };
        reports.expire(now);
        let version = self.load_version + 1;
        if !reports.is_later(self.own.id, self.own.started_ms, version) {
            return;
        }
        (self.load_reported_at, self.load_version) = (now, version);
        let (reporter, started_ms) = (self.own.id, self.own.started_ms);
        let report = LoadReport {
            reporter,
            started_ms,
            version,
            created_ms: wall_ms,
            offered: offered(),
        };
        let signed = self.own.sign_load_report(&report);
        reports.merge(now, report, signed, 0);
    }

    /// The loads offered to the fronts whose reports count, one slice a front; this front's own too.
    pub fn offered_loads(&self, now: Micros) -> impl Iterator<Item = &[OfferedLoad]> {
        self.load_reports
            .iter()
            .flat_map(move |reports| reports.current(now))
    }

    /// Whether a load report of any other front is held.
    pub fn has_peer_load(&self, now: Micros) -> bool {
        self.load_reports
            .iter()
            .flat_map(|reports| reports.reporters(now))
            .any(|reporter| reporter != self.own.id)
    }

    pub(super) fn pass_load_reports(
        &mut self,
        now: Micros,
        wall_ms: u64,
        to: SocketAddr,
    ) -> Option<Datagram> {
        let budget = MAX_PAYLOAD - COUNT_BYTES;
        let reports = self.load_reports.as_mut()?.pass_on(now, budget);
        (!reports.is_empty())
            .then(|| message::bytes(&reports))
            .and_then(|payload| self.channel_datagram(now, wall_ms, to, Channel::Load, &payload))
    }

    pub(super) fn receive_load_reports(
        &mut self,
        now: Micros,
        wall_ms: u64,
        from: IpAddr,
        payload: &[u8],
    ) {
        let Some(reports) = &mut self.load_reports else {
            return;
        };
        let Some(all) = message::read::<Vec<Signed>>(payload) else {
            *self.refused.entry(Refused::Form).or_default() += 1;
            return;
        };
        for signed in all {
            let Some(report) = message::read::<LoadReport>(&signed.report) else {
                *self.refused.entry(Refused::Form).or_default() += 1;
                continue;
            };
            // Guards against the cost of what is known already, which is most of what comes.
            if report.reporter == self.own.id
                || !reports.is_later(report.reporter, report.started_ms, report.version)
            {
                continue;
            }
            match self
                .peers
                .verify_load_report(now, from, report.reporter, &signed)
            {
                Ok(()) => {
                    let age = self.peers.age(report.reporter, wall_ms, report.created_ms);
                    age.into_iter().for_each(|age| {
                        _ = reports.merge(now, report.clone(), signed.clone(), age)
                    });
                }
                Err(why) => *self.refused.entry(why).or_default() += 1,
            }
        }
    }
}
