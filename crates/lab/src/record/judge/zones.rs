//! How a fleet used a zone that was lost or cut off, and how the zone returned to use.

use std::collections::BTreeMap;

use crate::record::account::{raise_to, Account, Tallies, SECOND};
use crate::rig::agreed::warmth;
use crate::rig::relay::Relayed;
use crate::rig::scenario::{Fault, Scenario};

/// Adds tallies of how long statements were sent to a zone after its loss, how it was probed
/// meanwhile, and how it was used again.
pub(super) fn zone_lost(
    scenario: &Scenario,
    account: &Account,
    (fault, from, to): (&Fault, i64, i64),
    tallies: &mut Tallies,
) {
    let into = |r: &&Relayed| r.zone == fault.zone;
    let during = |r: &&Relayed| into(r) && r.at >= from && r.at <= to && !r.passed;
    let sent = || {
        account
            .relayed
            .iter()
            .filter(during)
            .filter(|r| r.statements > 0)
    };
    let last = sent()
        .map(|r| r.at)
        .max()
        .map_or(0, |at| (at - from) / 1000);
    raise_to(tallies, "zone_lost_last_sent_ms", last);
    *tallies.entry("zone_lost_sent").or_insert(0) +=
        sent().map(|r| r.statements as i64).sum::<i64>();
    // Probes while no statements are sent there any more: the whole loss except its first three
    // seconds.
    let probed_from = from + 3 * SECOND;
    if to > probed_from + SECOND {
        let probes = account
            .relayed
            .iter()
            .filter(during)
            .filter(|r| r.probes > 0 && r.at >= probed_from);
        let mut seconds: BTreeMap<i64, i64> = BTreeMap::new();
        probes.for_each(|r| {
            *seconds.entry((r.at - probed_from) / SECOND).or_insert(0) += r.probes as i64
        });
        let all: i64 = seconds.values().sum();
        tallies.insert("probes_per_100s", all * 100 * SECOND / (to - probed_from));
        raise_to(
            tallies,
            "probes_most_in_a_second",
            seconds.values().copied().max().unwrap_or(0),
        );
    }
    let after = |r: &&Relayed| into(r) && r.passed && r.at > to;
    let returned = || {
        account
            .relayed
            .iter()
            .filter(after)
            .filter(|r| r.statements > 0)
    };
    *tallies.entry("returned_sent").or_insert(0) +=
        returned().map(|r| r.statements as i64).sum::<i64>();
    if let Some(first) = returned().map(|r| r.at).min() {
        raise_to(tallies, "returned_first_ms", (first - to) / 1000);
    }
    let own = fault.zone * scenario.fleet.engines_per_zone;
    let back = account
        .peaks_since_start
        .iter()
        .skip(own)
        .take(scenario.fleet.engines_per_zone);
    raise_to(
        tallies,
        "return_peak_over_bound_pct",
        (back.copied().fold(0.0, f64::max) * 100.0).round() as i64,
    );
    // Statements sent into the zone in each second until it was warm, relative to the capacity of
    // its engines in that second.
    let warm = (scenario.engine.warm_ms as i64 * 1000 + SECOND - 1) / SECOND;
    for second in 0..warm {
        let (start, end) = (to + second * SECOND, to + (second + 1) * SECOND);
        let load: i64 = returned()
            .filter(|r| r.at >= start && r.at < end)
            .map(|r| r.statements as i64)
            .sum();
        let over =
            load as f64 / zone_capacity(scenario, second * SECOND, (second + 1) * SECOND).max(1e-9);
        raise_to(
            tallies,
            "return_load_over_bound_pct",
            (over * 100.0).round() as i64,
        );
    }
}

/// Adds tallies of how long a front that was cut off from a zone still sent there, and what the
/// other fronts sent meanwhile.
pub(super) fn link_cut(
    account: &Account,
    (fault, from, to): (&Fault, i64, i64),
    tallies: &mut Tallies,
) {
    let during =
        |r: &&Relayed| r.zone == fault.zone && r.at >= from && r.at <= to && r.statements > 0;
    let own = || {
        account
            .relayed
            .iter()
            .filter(during)
            .filter(|r| r.front == fault.front && !r.passed)
    };
    let last = own().map(|r| r.at).max().map_or(0, |at| (at - from) / 1000);
    raise_to(tallies, "link_cut_last_sent_ms", last);
    *tallies.entry("link_cut_sent").or_insert(0) += own().map(|r| r.statements as i64).sum::<i64>();
    // The other fronts must keep using the zone: what they sent there while only one front was cut
    // off from it.
    let others = account
        .relayed
        .iter()
        .filter(during)
        .filter(|r| r.front != fault.front && r.passed);
    *tallies.entry("link_cut_others_sent").or_insert(0) +=
        others.map(|r| r.statements as i64).sum::<i64>();
    let after = account
        .relayed
        .iter()
        .filter(|r| r.zone == fault.zone && r.at > to && r.passed);
    let after = after
        .filter(|r| r.front != fault.front)
        .map(|r| r.statements as i64);
    *tallies.entry("link_cut_others_sent_after").or_insert(0) += after.sum::<i64>();
}

/// Returns how many statements of the load's duration the engines of a zone can run in a span after
/// their start.
pub(super) fn zone_capacity(scenario: &Scenario, from: i64, to: i64) -> f64 {
    const STEP: i64 = 10_000; // microseconds
    let warmth = warmth(scenario);
    let steps = (from..to).step_by(STEP as usize);
    let slots: f64 = steps
        .map(|since| warmth.capacity_at(since) as f64 * (STEP.min(to - since)) as f64)
        .sum();
    slots * scenario.fleet.engines_per_zone as f64 / (scenario.load.work_ms.max(1) * 1000) as f64
}
