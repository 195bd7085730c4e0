//! Which sites a statement is asked of, and in which order.

use crate::condition::Condition;
use crate::join::reason_to_ask_join;
use crate::load_markers::LoadMarkers;
use crate::sql::Query;
use crate::store::SummaryStore;
use crate::summary::{Summary, Table};

/// What is known of loads on the group.
pub enum LoadInfo<'a> {
    /// The marks, as the ledger said after the statement came.
    Markers(&'a LoadMarkers),
    /// The marks of the two groups of a join.
    JoinMarkers(&'a LoadMarkers, &'a LoadMarkers),
    /// The operator says that no load goes through a front.
    NoLoads,
    /// Nothing: the ledger does not answer.
    Unknown,
}

impl<'a> LoadInfo<'a> {
    /// What is known of each side of a join.
    pub(crate) fn sides(&self) -> (LoadInfo<'a>, LoadInfo<'a>) {
        match self {
            LoadInfo::JoinMarkers(first, second) => {
                (LoadInfo::Markers(first), LoadInfo::Markers(second))
            }
            LoadInfo::NoLoads => (LoadInfo::NoLoads, LoadInfo::NoLoads),
            // Of one group alone the other's loads are not known.
            LoadInfo::Markers(_) | LoadInfo::Unknown => (LoadInfo::Unknown, LoadInfo::Unknown),
        }
    }
}

/// Why a site is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Nothing that may count is held of it: none came, or it is too old, or of another schema.
    NoSummary,
    /// Its summary does not name the table.
    NoTable,
    /// The ledger gives no word on loads.
    LoadsUnknown,
    /// Marks were lifted by a later summary than the one that is held.
    SummaryBehind,
    /// A load that its summary does not speak of may have touched anything.
    UnknownLoad,
    /// Rows that such a load names fit.
    LoadedRows,
    /// The condition is not understood, or over what its summary does not tell.
    NotSummarized,
    /// Its summary does not rule it out: an equality by its filter, anything else by its bounds and runs.
    Filter,
    /// Its bounds and runs do not rule it out.
    Bounds,
    /// Its word counts for nothing for now.
    Suspected,
    /// Its summary is checked: it is asked though it should have no rows.
    Audit,
    /// One is asked that says in the engines' own way that there is nothing.
    OneForAll,
}

impl Reason {
    /// For counts by reason.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoSummary => "no summary",
            Reason::NoTable => "no table",
            Reason::LoadsUnknown => "no word on loads",
            Reason::SummaryBehind => "summary behind",
            Reason::UnknownLoad => "unknown load",
            Reason::LoadedRows => "rows of a load",
            Reason::NotSummarized => "not told",
            Reason::Filter => "filter",
            Reason::Bounds => "bounds",
            Reason::Suspected => "doubted",
            Reason::Audit => "audit",
            Reason::OneForAll => "one for all",
        }
    }
}

/// A site to ask.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The site's name.
    pub site: String,
    /// Rows to expect, by a guess that only orders the sites; infinitely many where nothing is known.
    pub rows: f64,
    /// Its summary rules it out: it is asked because its word counts for nothing for now, or for an audit.
    pub ruled_out: bool,
    /// The whole does not hang on it.
    pub audit: bool,
    /// Why the site is asked.
    pub reason: Reason,
}

/// The sites of a statement: those to ask, those that access rules bar, and those that are left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// In the order in which their rows are joined.
    pub parts: Vec<Part>,
    /// Could have rows, and may not be asked.
    pub barred: Vec<String>,
    /// Proved to have none.
    pub pruned: Vec<String>,
}

/// What the choice of sites goes by, beside the statement itself.
#[derive(Clone, Copy)]
pub struct Basis<'a> {
    /// All sites of the operator, in the order in which their rows are joined.
    pub sites: &'a [String],
    /// The sites that may be asked; None: all.
    pub allowed: Option<&'a [&'a str]>,
    /// The summaries that this front holds.
    pub summaries: &'a SummaryStore,
    /// Unix milliseconds by this front's clock.
    pub wall_ms: u64,
    /// What is known of loads on the statement's groups.
    pub loads: &'a LoadInfo<'a>,
    /// Whether a site's summaries count for nothing for now.
    pub suspected: &'a dyn Fn(&str) -> bool,
}

impl Basis<'_> {
    /// Whether a site may be asked.
    pub(crate) fn allows(&self, site: &str) -> bool {
        self.allowed.is_none_or(|allowed| allowed.contains(&site))
    }
}

/// The sites that could have rows, in their order.
pub fn plan(query: &Query, basis: &Basis) -> Plan {
    let Basis {
        sites,
        summaries,
        wall_ms,
        loads,
        suspected,
        ..
    } = *basis;
    let mut plan = Plan::default();
    for site in sites {
        let summary = summaries.current(wall_ms, site, query.group);
        let table = summary.and_then(|summary| Some((summary, summary.table(&query.table)?)));
        let reason = match (&query.join, summary, table) {
            (Some(join), ..) => reason_to_ask_join(query, join, basis, site),
            (None, None, _) => Some(Reason::NoSummary),
            (None, _, None) => Some(Reason::NoTable),
            (None, _, Some((summary, table))) => {
                reason_to_ask(&query.condition, summary, table, loads)
            }
        };
        let is_ruled_out = reason.is_none();
        if is_ruled_out && !suspected(site) || query.limit == Some(0) {
            plan.pruned.push(site.clone());
        } else if !basis.allows(site) {
            plan.barred.push(site.clone());
        } else {
            let rows = table.map_or(f64::INFINITY, |(_, t)| {
                t.rows as f64 * query.condition.selectivity(t)
            });
            let reason = reason.unwrap_or(Reason::Suspected);
            plan.parts.push(Part {
                site: site.clone(),
                rows,
                ruled_out: is_ruled_out,
                audit: false,
                reason,
            });
        }
    }
    plan
}

/// What stands against leaving a site out; None: surely no row of it is asked for.
pub(crate) fn reason_to_ask(
    condition: &Condition,
    summary: &Summary,
    table: &Table,
    loads: &LoadInfo,
) -> Option<Reason> {
    if !condition.never_true(table) {
        return Some(match () {
            () if !condition.is_summarized(table) => Reason::NotSummarized,
            () if condition.has_equality() => Reason::Filter,
            () => Reason::Bounds,
        });
    }
    match loads {
        LoadInfo::Markers(markers) => markers.reason_to_ask(summary, table, condition),
        LoadInfo::NoLoads => None,
        LoadInfo::JoinMarkers(..) | LoadInfo::Unknown => Some(Reason::LoadsUnknown),
    }
}

impl Plan {
    /// Of the one site that has all rows.
    pub fn single_site(site: &str, allowed: Option<&[&str]>) -> Plan {
        let site = site.to_string();
        if allowed.is_some_and(|allowed| !allowed.contains(&site.as_str())) {
            return Plan {
                barred: vec![site],
                ..Plan::default()
            };
        }
        let part = Part {
            site,
            rows: f64::INFINITY,
            ruled_out: false,
            audit: false,
            reason: Reason::OneForAll,
        };
        Plan {
            parts: vec![part],
            ..Plan::default()
        }
    }

    /// What each site answers even without rows is asked of one of them at least.
    pub fn ensure_one(&mut self, sites: &[String], allowed: Option<&[&str]>) {
        while self.parts.is_empty() && self.barred.is_empty() && !self.pruned.is_empty() {
            self.audit(0, sites, allowed);
        }
        for part in &mut self.parts {
            if part.audit {
                part.reason = Reason::OneForAll;
            }
            (part.audit, part.ruled_out) = (false, false);
        }
    }

    /// A site that is left out is asked all the same, if it may be.
    pub fn audit(&mut self, index: usize, sites: &[String], allowed: Option<&[&str]>) {
        if index >= self.pruned.len() {
            return;
        }
        let site = self.pruned.remove(index);
        if allowed.is_none_or(|allowed| allowed.contains(&site.as_str())) {
            let position_of = |name: &String| sites.iter().position(|site| site == name);
            let index = self
                .parts
                .partition_point(|part| position_of(&part.site) < position_of(&site));
            self.parts.insert(
                index,
                Part {
                    site,
                    rows: 0.0,
                    ruled_out: true,
                    audit: true,
                    reason: Reason::Audit,
                },
            );
        }
    }
}
