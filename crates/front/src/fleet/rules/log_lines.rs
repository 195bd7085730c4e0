//! Log lines on access rules. Lines on faults state what an operator can do.

use hallmux_access::{Event, FleetHits, Permission, WhatIfReport};
use hallmux_ledger::ClockReading;

use super::Rules;

impl Rules {
    /// Logs the fleet's hits, one line for each row, if they have changed.
    pub(super) fn log_hits(&mut self, clock: ClockReading, fleet: &FleetHits) {
        let is_unchanged = self
            .logged_hits
            .as_ref()
            .is_some_and(|logged| logged.counts == fleet.counts && logged.missing == fleet.missing);
        if is_unchanged || fleet.counts.is_empty() && fleet.missing.is_empty() {
            return;
        }
        let age_ms = fleet.as_of.map_or(0, |as_of| (clock.steady - as_of) / 1000);
        let missing: Vec<String> = fleet
            .missing
            .iter()
            .map(|front| format!("{front:016x}"))
            .collect();
        let missing = if missing.is_empty() {
            "none".to_string()
        } else {
            missing.join(", ")
        };
        log::info!("the fleet's hits, at most {age_ms} ms old; fronts that are missing: {missing}");
        for (hit, count) in &fleet.counts {
            log::info!(
                "hits of rule {} by customer {} in {}: {count}",
                hit.rule,
                hit.customer,
                hit.region
            );
        }
        self.logged_hits = Some(fleet.clone());
    }

    /// Logs how many statements each rule's limit has rejected at this front, if the count has changed.
    pub(super) fn log_limits(&mut self) {
        let limited = self.access.limit_rejections().clone();
        for (rule, count) in &limited {
            if self.logged_limits.get(rule) != Some(count) {
                log::info!(
                    "statements beyond the limit of rule {rule} at this front so far: {count}"
                );
            }
        }
        self.logged_limits = limited;
    }
}

/// Maximum number of lines on the changes of a hypothetical set.
const MAX_LOGGED_CHANGES: usize = 100;

/// Logs which recorded statements a hypothetical set of rules would decide differently from the
/// current version.
pub fn log_what_if(report: &WhatIfReport) {
    let WhatIfReport {
        held_version: held,
        proposed_version: version,
        covered_time: back,
        statements,
        unrecorded: unknown,
        changes,
    } = report;
    let changed_count: u64 = changes.values().sum();
    let minutes = back / 60_000_000;
    log::info!(
        "what if version {version} held: of {statements} statements that were asked here in the last {minutes} min \
         {changed_count} would be decided otherwise than by version {held}"
    );
    for (change, count) in changes.iter().take(MAX_LOGGED_CHANGES) {
        log::info!(
            "what if version {version} held: customer {}, {}: {count} would be {} instead of {}",
            change.customer,
            change.workload,
            permission_text(&change.proposed),
            permission_text(&change.current)
        );
    }
    if changes.len() > MAX_LOGGED_CHANGES {
        log::info!(
            "what if version {version} held: {} more kinds of change are not listed",
            changes.len() - MAX_LOGGED_CHANGES
        );
    }
    if *unknown > 0 {
        log::warn!("what if version {version} held: {unknown} more statements are not included, because there were too many kinds of statements to record");
    }
}

fn permission_text(permission: &Permission) -> String {
    let Permission::Allowed { locations, limits } = permission else {
        return "denied".to_string();
    };
    let location_text = locations.as_ref().map_or("anywhere".to_string(), |names| {
        format!("at {}", names.join(", "))
    });
    let limit = |l: &hallmux_access::Limit| {
        format!(", at most {} in {} ms", l.max_statements, l.window / 1000)
    };
    format!(
        "let through {location_text}{}",
        limits.iter().map(limit).collect::<String>()
    )
}

/// Logs an event of the access rules.
pub fn log_event(event: &Event) {
    match event {
        Event::Adopted { version, rules, in_force } => {
            let suffix = if *in_force { "" } else { ", not yet in force" };
            log::info!("judges by version {version} of the rules, {rules} of them{suffix}")
        }
        Event::InForce { version } => log::info!("version {version} of the rules is in force"),
        Event::Accepted { version } => {
            log::info!("this front's file is the fleet's: version {version} of the rules")
        }
        Event::ChangeRejected(why) => log::error!("the rules are left as they were: {why}"),
        Event::RulesUnknown => {
            log::warn!("cannot know which rules hold; statements of customers with rules are rejected until the ledger answers")
        }
        Event::RulesKnown { version } => log::info!("knows which rules hold: version {version}"),
        Event::Superseded => log::error!(
            "the ledger knows a later incarnation of this front: statements that hits count are held here; end this process, or \
             set its clock right and restart it"
        ),
        Event::Unreadable { what } => log::error!(
            "the fleet's rules can't be read here ({what}); give this front the same settings and build as the other fronts"
        ),
        Event::LedgerFull { what } => {
            log::error!("the ledger is full, and {what} can't be stored; raise the ledger's limits, or use fewer rules")
        }
    }
}
