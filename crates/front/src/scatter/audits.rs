//! Audits of sites' summaries: which sites are asked although their summaries rule them out, and what their answers show. An
//! answer with rows is checked against the marks on loads, read anew: rows that a load may have brought prove no summary false.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_scatter::audit::{AuditResult, AuditSettings, Audits};
use hallmux_scatter::exchange::FalseSummary;
use hallmux_scatter::plan::{LoadInfo, Plan};
use hallmux_scatter::sql::Query;
use hallmux_scatter::store::SummaryStore;

/// A site that is asked though its summary rules it out, and the version of that.
#[derive(Clone, Debug)]
pub struct RuledOut {
    pub site: String,
    pub group: u32,
    pub version: u64,
}

/// An answer with rows of such a site, until the marks on loads are there.
struct PendingCheck {
    of: RuledOut,
    query: Query,
    rows: u64,
}

/// Audits of sites whose summaries say that they have no rows.
pub struct SiteAudits {
    audits: Audits,
    checks: HashMap<Ticket, PendingCheck>,
    random: RandomState,
    /// False summaries found here, which are to be reported to other fronts.
    pub found: Vec<FalseSummary>,
    /// Fronts that share the budget.
    pub fronts: usize,
}

fn terms(settings: hallmux_config::Audits) -> AuditSettings {
    AuditSettings {
        one_in: settings.one_in,
        per_second: settings.a_minute as f64 / 60.0,
    }
}

impl SiteAudits {
    /// Nothing is suspected yet.
    pub fn new(settings: hallmux_config::Audits) -> SiteAudits {
        let (checks, random) = (HashMap::new(), RandomState::new());
        SiteAudits {
            audits: Audits::new(terms(settings)),
            checks,
            random,
            found: Vec::new(),
            fronts: 1,
        }
    }

    /// The settings were read again.
    pub fn set_terms(&mut self, settings: hallmux_config::Audits) {
        self.audits.reconfigure(terms(settings));
    }

    /// Another front reports a false summary.
    pub fn receive_report(&mut self, word: &FalseSummary) {
        let FalseSummary {
            site,
            group,
            version,
        } = word;
        log::warn!(
            "site '{site}': another front has found its summary of group {group}, version {version}, false; \
             it is asked always until its answers bear it out"
        );
        self.audits.reported_by_peer(site);
    }

    /// Whether a site's summaries count for nothing for now, after an audit.
    pub fn is_suspect(&self, site: &str) -> bool {
        self.audits.is_suspected(site)
    }

    /// Now and then adds a site that is left out to those that are asked.
    pub fn audit(
        &mut self,
        now: Micros,
        ticket: Ticket,
        plan: &mut Plan,
        sites: &[String],
        allowed: Option<&[&str]>,
    ) {
        let drawn = self.random.hash_one(ticket);
        if let Some(at) = self
            .audits
            .choose_site(now, drawn, self.fronts as f64, &plan.pruned)
        {
            plan.audit(at, sites, allowed);
        }
    }

    /// A site that its summary rules out has answered. True: `check` needs the marks on loads before anything is concluded.
    pub fn answered(&mut self, check: Ticket, of: RuledOut, query: &Query, rows: u64) -> bool {
        if rows == 0 {
            self.conclude(&of, 0, true);
            return false;
        }
        self.checks.insert(
            check,
            PendingCheck {
                of,
                query: query.clone(),
                rows,
            },
        );
        true
    }

    /// The marks on loads for an answer. False: it is none of these.
    pub fn apply_marks(
        &mut self,
        wall_ms: u64,
        check: Ticket,
        word: &LoadInfo,
        book: &SummaryStore,
    ) -> bool {
        let Some(PendingCheck { of, query, rows }) = self.checks.remove(&check) else {
            return false;
        };
        let summary = book
            .current(wall_ms, &of.site, query.group)
            .filter(|s| s.version == of.version);
        let table = summary.and_then(|summary| Some((summary, summary.table(&query.table)?)));
        let sure = table.is_some_and(|(summary, table)| match word {
            LoadInfo::Markers(marks) => marks.prove_absent(summary, table, &query.condition),
            LoadInfo::NoLoads => true,
            LoadInfo::JoinMarkers(..) | LoadInfo::Unknown => false,
        });
        self.conclude(&of, rows, sure);
        true
    }

    fn conclude(&mut self, of: &RuledOut, rows: u64, sure: bool) {
        let RuledOut {
            site,
            group,
            version,
        } = of;
        match self.audits.record_answer(site, rows, sure) {
            AuditResult::Refuted => {
                let counts = self.audits.counts;
                self.found.push(FalseSummary {
                    site: site.clone(),
                    group: *group,
                    version: *version,
                });
                log::error!(
                    "site '{site}': its summary, version {version}, says that it has no row for a statement, and it has \
                     {rows}; it is asked always until its answers bear it out. Mend what makes its summaries. {} false \
                     words found by {} audits, {} rows",
                    counts.found,
                    counts.audits,
                    counts.rows
                );
            }
            AuditResult::Recovered => log::info!("site '{site}': its summaries count again"),
            AuditResult::Confirmed | AuditResult::Inconclusive => {}
        }
    }
}
