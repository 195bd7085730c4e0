//! Decides which sites are asked for a statement, and in which order.

use crate::condition::Condition;
use crate::join::reason_to_ask_join;
use crate::load_markers::LoadMarkers;
use crate::sql::Query;
use crate::store::SummaryStore;
use crate::summary::{Summary, Table};

/// What is known about loads on the statement's groups.
pub enum LoadInfo<'a> {
    /// The load markers, read from the ledger after the statement arrived.
    Markers(&'a LoadMarkers),
    /// The load markers of the two groups of a join.
    JoinMarkers(&'a LoadMarkers, &'a LoadMarkers),
    /// The operator declares that no load is sent through a front.
    NoLoads,
    /// Nothing, because the ledger does not answer.
    Unknown,
}

impl<'a> LoadInfo<'a> {
    /// What is known about loads on each side of a join.
    pub(crate) fn sides(&self) -> (LoadInfo<'a>, LoadInfo<'a>) {
        match self {
            LoadInfo::JoinMarkers(first, second) => {
                (LoadInfo::Markers(first), LoadInfo::Markers(second))
            }
            LoadInfo::NoLoads => (LoadInfo::NoLoads, LoadInfo::NoLoads),
            // The markers of one group say nothing about loads on the other.
            LoadInfo::Markers(_) | LoadInfo::Unknown => (LoadInfo::Unknown, LoadInfo::Unknown),
        }
    }
}

/// Why a site is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No valid summary is held: none was received, or it is too old or of another schema.
    NoSummary,
    /// The site's summary does not contain the table.
    NoTable,
    /// The ledger gives no information on loads.
    LoadsUnknown,
    /// Markers were removed on the basis of a later summary than the one held.
    SummaryBehind,
    /// A load that the summary does not cover may have changed anything.
    UnknownLoad,
    /// Rows that such a load added may match.
    LoadedRows,
    /// The condition is not understood, or refers to columns that the summary does not describe.
    NotSummarized,
    /// Neither the filter nor the bounds and runs rule the site out, and the condition contains an
    /// equality.
    Filter,
    /// The bounds and runs do not rule the site out, and the condition contains no equality.
    Bounds,
    /// The site's summaries do not count at present.
    Suspected,
    /// The summary rules the site out; the site is asked to verify it.
    Audit,
    /// One site must be asked so that the answer without rows has the engines' form.
    OneForAll,
}

impl Reason {
    /// The name under which the reason is counted.
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
    /// The estimated number of rows, which only orders the sites; infinite if nothing is known.
    pub rows: f64,
    /// Whether the site is asked although its summary rules it out: it is suspected or audited.
    pub ruled_out: bool,
    /// Whether the part is an audit, whose failure does not fail the parent statement.
    pub audit: bool,
    /// Why the site is asked.
    pub reason: Reason,
}

/// The sites of a statement: those to ask, those that access rules forbid, and those that are left
/// out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The sites to ask, in the order in which their rows are concatenated.
    pub parts: Vec<Part>,
    /// Sites that can have rows but may not be asked.
    pub barred: Vec<String>,
    /// Sites proved to have no matching rows.
    pub pruned: Vec<String>,
}

/// The information that the choice of sites is based on, besides the statement.
#[derive(Clone, Copy)]
pub struct Basis<'a> {
    /// All configured sites, in the order in which their rows are concatenated.
    pub sites: &'a [String],
    /// The sites that may be asked; None for all.
    pub allowed: Option<&'a [&'a str]>,
    /// The summaries that this front holds.
    pub summaries: &'a SummaryStore,
    /// Unix milliseconds on this front's clock.
    pub wall_ms: u64,
    /// What is known about loads on the statement's groups.
    pub loads: &'a LoadInfo<'a>,
    /// Whether a site's summaries do not count at present.
    pub suspected: &'a dyn Fn(&str) -> bool,
}

impl Basis<'_> {
    /// Whether the site may be asked.
    pub(crate) fn allows(&self, site: &str) -> bool {
        self.allowed.is_none_or(|allowed| allowed.contains(&site))
    }
}

/// Determines the sites that can have matching rows, in their order.
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

/// Why a site can't be left out; None if none of its rows can match.
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
    /// The plan for a statement that is answered by the one site that has all rows.
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

    /// Ensures that at least one site is asked, for statements to which each site returns a row
    /// even if it has no matching ones.
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

    /// Adds the pruned site with this index as an audit, if it may be asked.
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
