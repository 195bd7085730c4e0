//! Audits of sites' summaries: some sites are asked although their summaries rule them out, and
//! their answers are checked. An answer with rows is compared with the load markers, which are read
//! again for it, because rows that a load may have added do not prove a summary false.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_scatter::audit::{AuditResult, AuditSettings, Audits};
use hallmux_scatter::exchange::FalseSummary;
use hallmux_scatter::plan::{LoadInfo, Plan};
use hallmux_scatter::sql::Query;
use hallmux_scatter::store::SummaryStore;

/// A site that is asked although its summary rules it out, and the version of that summary.
#[derive(Clone, Debug)]
pub struct RuledOut {
    pub site: String,
    pub group: u32,
    pub version: u64,
}

/// An answer with rows from a site that was ruled out, which waits for the load markers.
struct PendingCheck {
    ruled_out: RuledOut,
    query: Query,
    rows: u64,
}

/// The audits in progress, and the sites that are suspected after earlier ones.
pub struct SiteAudits {
    audits: Audits,
    checks: HashMap<Ticket, PendingCheck>,
    random: RandomState,
    /// False summaries found at this front that have not been reported to other fronts yet.
    pub false_summaries: Vec<FalseSummary>,
    /// Number of fronts that share the budget of audits.
    pub front_count: usize,
}

fn audit_settings(settings: hallmux_config::Audits) -> AuditSettings {
    AuditSettings {
        one_in: settings.statements_per_audit,
        per_second: settings.max_per_minute as f64 / 60.0,
    }
}

impl SiteAudits {
    /// Creates the audits, with no site suspected.
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

    /// Applies settings that were read again.
    pub fn reconfigure(&mut self, settings: hallmux_config::Audits) {
        self.audits.reconfigure(audit_settings(settings));
    }

    /// Handles another front's report of a false summary: its site is suspected here too.
    pub fn receive_report(&mut self, report: &FalseSummary) {
        let FalseSummary {
            site,
            group,
            version,
        } = report;
        log::warn!(
            "site '{site}': another front has found its summary of group {group}, version {version}, false; \
             the site is asked always until enough of its answers agree with its summaries"
        );
        self.audits.reported_by_peer(site);
    }

    /// Whether a site's summaries are ignored because an audit found one false.
    pub fn is_suspect(&self, site: &str) -> bool {
        self.audits.is_suspected(site)
    }

    /// Adds a skipped site to the sites of a plan if an audit is due.
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
                .choose_site(now, random, self.front_count as f64, &plan.pruned)
        {
            plan.audit(pruned_index, sites, allowed);
        }
    }

    /// Records the answer of a site that its summary rules out. Returns true if the audit needs the
    /// load markers first; then `apply_markers` must follow with the same `check` ticket.
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

    /// Completes the audit that waits for load markers under the ticket `check`. Returns false if
    /// there is none.
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
            LoadInfo::Markers(marks) => marks.prove_absent(summary, table, &query.condition),
            LoadInfo::NoLoads => true,
            LoadInfo::JoinMarkers(..) | LoadInfo::Unknown => false,
        });
        self.conclude(&ruled_out, rows, is_certain);
        true
    }

    /// Records the outcome of an audit and logs a change of the site's standing. `is_certain` means
    /// that no load can have added the rows.
    fn conclude(&mut self, ruled_out: &RuledOut, rows: u64, is_certain: bool) {
        let RuledOut {
            site,
            group,
            version,
        } = ruled_out;
        match self.audits.record_answer(site, rows, is_certain) {
            AuditResult::Refuted => {
                let counts = self.audits.counts;
                self.false_summaries.push(FalseSummary {
                    site: site.clone(),
                    group: *group,
                    version: *version,
                });
                log::error!(
                    "site '{site}': its summary, version {version}, says that it has no row for a statement, and it has \
                     {rows}; the site is asked always until enough of its answers agree with its summaries. Repair what \
                     makes its summaries. {} false summaries found by {} audits so far, {} rows",
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
