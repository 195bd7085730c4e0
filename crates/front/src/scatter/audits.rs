//! Audits of sites' summaries: which sites are asked although their summaries rule them out, and what their answers show. An
//! answer with rows is checked against the marks on loads, read anew: rows that a load may have brought prove no summary false.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_scatter::audit::{AuditSettings, Audits, Verdict};
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
    ruled_out: RuledOut,
    query: Query,
    rows: u64,
}

/// Audits of sites whose summaries say that they have no rows.
pub struct SiteAudits {
    audits: Audits,
    checks: HashMap<Ticket, PendingCheck>,
    random: RandomState,
    /// False summaries found here, which are to be reported to other fronts.
    pub false_summaries: Vec<FalseSummary>,
    /// Fronts that share the budget.
    pub front_count: usize,
}

fn audit_settings(settings: hallmux_config::Audits) -> AuditSettings {
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
            audits: Audits::new(audit_settings(settings)),
            checks,
            random,
            false_summaries: Vec::new(),
            front_count: 1,
        }
    }

    /// The settings were read again.
    pub fn reconfigure(&mut self, settings: hallmux_config::Audits) {
        self.audits.reconfigure(audit_settings(settings));
    }

    /// Another front reports a false summary.
    pub fn receive_report(&mut self, report: &FalseSummary) {
        let FalseSummary {
            site,
            group,
            version,
        } = report;
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
    pub fn add_audit(
        &mut self,
        now: Micros,
        ticket: Ticket,
        plan: &mut Plan,
        sites: &[String],
        allowed: Option<&[&str]>,
    ) {
        let random = self.random.hash_one(ticket);
        if let Some(pruned_index) =
            self.audits
                .pick(now, random, self.front_count as f64, &plan.pruned)
        {
            plan.audit(pruned_index, sites, allowed);
        }
    }

    /// A site that its summary rules out has answered. True: `check` needs the marks on loads before anything is concluded.
    pub fn site_answered(
        &mut self,
        check: Ticket,
        ruled_out: RuledOut,
        query: &Query,
        rows: u64,
    ) -> bool {
        if rows == 0 {
            self.conclude(&ruled_out, 0, true);
            return false;
        }
        self.checks.insert(
            check,
            PendingCheck {
                ruled_out,
                query: query.clone(),
                rows,
            },
        );
        true
    }

    /// The marks on loads for an answer. False: it is none of these.
    pub fn apply_markers(
        &mut self,
        wall_ms: u64,
        check: Ticket,
        load_info: &LoadInfo,
        store: &SummaryStore,
    ) -> bool {
        let Some(PendingCheck {
            ruled_out,
            query,
            rows,
        }) = self.checks.remove(&check)
        else {
            return false;
        };
        let summary = store
            .current(wall_ms, &ruled_out.site, query.group)
            .filter(|s| s.version == ruled_out.version);
        let table = summary.and_then(|summary| Some((summary, summary.table(&query.table)?)));
        let is_certain = table.is_some_and(|(summary, table)| match load_info {
            LoadInfo::Marks(marks) => marks.prove_absent(summary, table, &query.condition),
            LoadInfo::NoLoads => true,
            LoadInfo::MarksOfJoin(..) | LoadInfo::Unknown => false,
        });
        self.conclude(&ruled_out, rows, is_certain);
        true
    }

    fn conclude(&mut self, ruled_out: &RuledOut, rows: u64, is_certain: bool) {
        let RuledOut {
            site,
            group,
            version,
        } = ruled_out;
        match self.audits.answered(site, rows, is_certain) {
            Verdict::False => {
                let counts = self.audits.counts;
                self.false_summaries.push(FalseSummary {
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
            Verdict::Earned => log::info!("site '{site}': its summaries count again"),
            Verdict::Holds | Verdict::Unsure => {}
        }
    }
}
