//! Parsing of scattered statements, joins' load markers, answers for distinct counts from sketches,
//! and the log line on the sites asked.

use hallmux_dispatcher::{Dispatcher, Micros, Ticket};
use hallmux_native_codec::statement::Call;
use hallmux_scatter::gather::Answer;
use hallmux_scatter::join::Join;
use hallmux_scatter::plan::{Basis, LoadInfo, Reason};
use hallmux_scatter::sketch;
use hallmux_scatter::sql::{self, Query};

use super::{GroupMarkers, ScatteredStatements, SiteCounts, Statement};

impl ScatteredStatements {
    /// Parses a statement. Returns None if it can't be scattered and is to be sent to the site that
    /// has all rows. An error states why it can't be answered.
    pub fn parse_query(&self, call: &Call) -> Result<Option<Query>, String> {
        if self.settings.distinct_error.contains_key(&call.customer) {
            if let Some(query) = sql::read_distinct(&call.statement) {
                return Ok(Some(query));
            }
        }
        let result = sql::read(&call.statement).and_then(|mut query| {
            let (group, table) = (query.group, &query.table);
            let kind = |column: &str| self.summaries.store.column_kind(group, table, column);
            query
                .combine
                .iter_mut()
                .flatten()
                .try_for_each(|aggregate| aggregate.check(kind))?;
            let join_groups = |join: &Join| [group, join.group];
            let is_colocated = |both: [u32; 2]| {
                let together = |groups: &Vec<u32>| both.iter().all(|group| groups.contains(group));
                both[0] == both[1] || self.settings.colocated_groups.iter().any(together)
            };
            if let Some([a, b]) = query
                .join
                .as_ref()
                .map(join_groups)
                .filter(|both| !is_colocated(*both))
            {
                return Err(sql::Unsupported::NotColocated(a, b));
            }
            Ok(query)
        });
        match result {
            Ok(query) => Ok(Some(query)),
            Err(_) if self.settings.whole_site.is_some() => Ok(None),
            Err(why) => Err(why.to_string()),
        }
    }

    /// Applies the load markers of one of a join's table groups. Its sites are asked once those of
    /// both groups are known.
    pub(super) fn apply_join_markers(
        &mut self,
        now: Micros,
        ticket: Ticket,
        group_markers: GroupMarkers,
        dispatcher: &mut Dispatcher,
    ) {
        let Some(statement) = self.statements.get_mut(&ticket) else {
            return;
        };
        let markers = group_markers.markers.cloned();
        statement.group_markers.insert(group_markers.group, markers);
        let join_group = statement
            .query
            .join
            .as_ref()
            .map_or(statement.query.group, |join| join.group);
        let (Some(a), Some(b)) = (
            statement.group_markers.get(&statement.query.group),
            statement.group_markers.get(&join_group),
        ) else {
            return;
        };
        let both = a.clone().zip(b.clone());
        let load_info = both
            .as_ref()
            .map_or(LoadInfo::Unknown, |(a, b)| LoadInfo::JoinMarkers(a, b));
        self.ask_sites(now, ticket, &load_info, dispatcher);
    }

    /// Returns the answer to a statement that counts distinct values, if the sketches' error is
    /// within what its customer accepts. Otherwise returns None if a site has all rows and can be
    /// asked, and `NotEstimated` if there is none.
    pub(super) fn answer_from_sketches(
        &self,
        now: Micros,
        statement: &Statement,
        load_info: &LoadInfo,
    ) -> Option<Answer> {
        let accepted_error = self
            .settings
            .distinct_error
            .get(&statement.call.customer)
            .copied()
            .unwrap_or(0);
        let allowed: Option<Vec<&str>> = statement
            .allowed_sites
            .as_ref()
            .map(|names| names.iter().map(String::as_str).collect());
        let is_suspect = |site: &str| {
            self.audits
                .as_ref()
                .is_some_and(|audits| audits.is_suspect(site))
        };
        let (store, wall_ms) = (&self.summaries.store, (now / 1000) as u64);
        let (sites, allowed) = (&self.sites, allowed.as_deref());
        let basis = Basis {
            sites,
            allowed,
            summaries: store,
            wall_ms,
            loads: load_info,
            suspected: &is_suspect,
        };
        let estimate = sketch::distinct(&statement.query, &basis);
        match estimate.filter(|estimate| estimate.error * 1e6 <= f64::from(accepted_error)) {
            Some(estimate) => Some(Answer::Estimate {
                distinct: estimate.distinct,
                error: estimate.error,
            }),
            None => self
                .settings
                .whole_site
                .is_none()
                .then_some(Answer::NotEstimated),
        }
    }

    /// Logs how many sites were asked and skipped so far, and for what reasons sites without rows
    /// were asked.
    pub(super) fn log_counts(&self) {
        let SiteCounts { asked, left_out } = self.counts;
        let entry = |(reason, count): (&Reason, &u64)| format!(", {}: {count}", reason.name());
        let asked_without_rows: String = self.asked_without_rows.iter().map(entry).collect();
        log::info!(
            "sites asked so far {asked}, left out by their summaries {left_out}; asked and without rows{}",
            if asked_without_rows.is_empty() { ", none" } else { &asked_without_rows }
        );
    }
}
