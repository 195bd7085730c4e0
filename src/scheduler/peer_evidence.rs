//! What peer reports on an engine are worth, and which zones are evacuated for them.

use super::*;

impl Scheduler {
    pub(super) fn peer_reported(&mut self, report: PeerReport) {
        // Silence counts beyond what the longest usual run may take here: long statements are silent too.
        let longest = self.learned.iter().map(|l| l.run.value).fold(0.0, f64::max);
        let beyond = (report.silent as f64 - MAX_SILENT_RUNS * longest).max(0.0);
        let silence = beyond / (beyond + SECOND as f64);
        let severity = (report.failed / (report.failed + report.answered + 1.0)).max(silence);
        let (e, reporter, until) = (
            report.engine,
            report.reporter,
            self.now - report.age + PEER_REPORT_LIFETIME,
        );
        self.peer_reports.expire(self.now);
        let believed =
            self.peer_reports.credibility(reporter, INITIAL_CREDIBILITY) >= INITIAL_CREDIBILITY;
        // What was reported before an engine was found healthy, or of an earlier start, is over.
        let healthy_since = self.slow_start.started_at(e);
        if severity >= MIN_ADVERSE_SEVERITY
            && until > self.now
            && until - PEER_REPORT_LIFETIME >= healthy_since
        {
            self.peer_reports
                .adverse
                .insert((e, reporter), Adverse { severity, until });
            self.evacuate_zone(e);
        } else {
            self.peer_reports.adverse.remove(&(e, reporter));
            let finders = self
                .engines
                .evacuated
                .get_mut(&e)
                .filter(|_| believed && report.answers());
            let enough =
                finders.is_some_and(|w| w.insert(reporter) && w.len() >= self.agreed.zone_quorum);
            self.found_healthy(e, enough);
        }
    }

    /// The share of an engine's bound that peer reports leave: one believed front takes half at most, fading
    /// with age; of an evacuated zone nothing.
    pub(super) fn unsuspected_share(&self, e: EngineId) -> f64 {
        let worth = |(reporter, report): (usize, Adverse)| {
            let left = (report.until - self.now).max(0) as f64 / PEER_REPORT_LIFETIME as f64;
            (self.peer_reports.credibility(reporter, INITIAL_CREDIBILITY)
                * report.severity
                * left.sqrt())
            .min(0.5)
        };
        let suspicion = MAX_SUSPICION * self.peer_reports.on(e).map(worth).sum::<f64>().min(1.0);
        f64::from(u8::from(!self.engines.is_evacuated(e))) * (1.0 - suspicion)
    }

    /// Adverse reports on most of a zone from believed fronts at as many vantages as agreed decide for the
    /// fleet: it is evacuated, and stays so when the reports fade, as nobody has anything out there by then.
    fn evacuate_zone(&mut self, e: EngineId) {
        let (zone, quorum) = (self.engines.same_zone(e), self.agreed.zone_quorum);
        let suspects = self
            .peer_reports
            .suspects(&zone, INITIAL_CREDIBILITY, INITIAL_CREDIBILITY);
        if quorum > 0
            && suspects.reporters.len() >= quorum
            && 2 * suspects.engines.len() > zone.len()
        {
            suspects
                .engines
                .iter()
                .for_each(|o| _ = self.engines.evacuated.entry(*o).or_default());
        }
    }

    /// An engine of an evacuated zone is healthy: once half of them are, the zone is used again, as cold.
    pub(super) fn found_healthy(&mut self, e: EngineId, healthy: bool) {
        if !healthy || self.engines.evacuated.remove(&e).is_none() {
            return;
        }
        let zone = self.engines.same_zone(e);
        if 2 * zone
            .iter()
            .filter(|o| self.engines.evacuated.contains_key(o))
            .count()
            <= zone.len()
        {
            for o in zone {
                self.engines.evacuated.remove(&o);
                self.peer_reports.forget(o);
                self.outliers.reset(o);
                self.start_warm_up(o, self.now);
            }
        }
    }

    /// An engine has shown here what peer reports on it were worth: whether they were right.
    pub(super) fn proved(&mut self, e: EngineId, right: bool) {
        let change = |c: f64| {
            if right {
                (c + CREDIBILITY_PER_TRUE_REPORT).min(1.0)
            } else {
                c * CREDIBILITY_FACTOR_FALSE_REPORT
            }
        };
        self.peer_reports.proved(e, INITIAL_CREDIBILITY, change);
    }
}
