//! What peer reports on an engine are worth, and which zones the fleet leaves for them.

use super::*;

impl Front {
    pub(super) fn peer_reported(&mut self, report: PeerReport) {
        // Silence counts beyond what the longest usual run may take here: long statements are silent too.
        let longest = self.learned.iter().map(|l| l.run.value).fold(0.0, f64::max);
        let beyond = (report.silent as f64 - SILENCE_RUNS * longest).max(0.0);
        let silence = beyond / (beyond + SECOND as f64);
        let severity = (report.failed / (report.failed + report.answered + 1.0)).max(silence);
        let (e, reporter, until) = (report.engine, report.reporter, self.now - report.age + REPORT_LIFETIME);
        self.peer_reports.expire(self.now);
        let believed = self.peer_reports.credibility(reporter, TRUSTED) >= TRUSTED;
        // What was reported before an engine was found well, or of an earlier start, is over.
        let well_since = self.engines.cold_until[e] - self.agreed.warm_within;
        if severity >= ADVERSE && until > self.now && until - REPORT_LIFETIME >= well_since {
            self.peer_reports.adverse.insert((e, reporter), Adverse { severity, until });
            self.leave_zone(e);
        } else {
            self.peer_reports.adverse.remove(&(e, reporter));
            let well = self.engines.left.get_mut(&e).filter(|_| believed && report.answers());
            let enough = well.is_some_and(|w| w.insert(reporter) && w.len() >= self.agreed.zone_quorum);
            self.found_well(e, enough);
        }
    }

    /// The share of an engine's bound that peer reports leave: one believed front takes half at most, fading
    /// with age; of a zone that the fleet has left nothing.
    pub(super) fn unsuspected_share(&self, e: EngineId) -> f64 {
        let worth = |(reporter, report): (usize, Adverse)| {
            let left = (report.until - self.now).max(0) as f64 / REPORT_LIFETIME as f64;
            (self.peer_reports.credibility(reporter, TRUSTED) * report.severity * left.sqrt()).min(0.5)
        };
        let suspicion = MOST_SUSPICION * self.peer_reports.on(e).map(worth).sum::<f64>().min(1.0);
        f64::from(u8::from(!self.engines.is_left(e))) * (1.0 - suspicion)
    }

    /// Adverse reports on most of a zone from believed fronts at as many vantages as agreed decide for the
    /// fleet: it is left, and stays so when the reports fade, as nobody has anything out there by then.
    fn leave_zone(&mut self, e: EngineId) {
        let (near, quorum) = (self.engines.near(e), self.agreed.zone_quorum);
        let suspects = self.peer_reports.suspects(&near, TRUSTED, TRUSTED);
        if quorum > 0 && suspects.reporters.len() >= quorum && 2 * suspects.engines.len() > near.len() {
            suspects.engines.iter().for_each(|o| _ = self.engines.left.entry(*o).or_default());
        }
    }

    /// An engine of a zone that was left is well: once half of them are, the zone is used again, as cold.
    pub(super) fn found_well(&mut self, e: EngineId, well: bool) {
        if !well || self.engines.left.remove(&e).is_none() {
            return;
        }
        let near = self.engines.near(e);
        if 2 * near.iter().filter(|o| self.engines.left.contains_key(o)).count() <= near.len() {
            for o in near {
                self.engines.left.remove(&o);
                self.peer_reports.forget(o);
                (self.engines.credit[o], self.engines.rests_until[o]) = (TRUSTED, 0);
                self.found_cold(o, self.now + self.agreed.warm_within);
            }
        }
    }

    /// An engine has shown here what peer reports on it were worth: whether they were right.
    pub(super) fn proved(&mut self, e: EngineId, right: bool) {
        let change = |c: f64| if right { (c + EARNED).min(1.0) } else { c * FALSE_REPORT };
        self.peer_reports.proved(e, TRUSTED, change);
    }
}
