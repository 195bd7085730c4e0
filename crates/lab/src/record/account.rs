//! What a fleet run came to: the rules checked on its record, tallies, and a table by the second. The record is
//! the same for front processes and for simulated time.

use std::collections::{BTreeMap, HashMap};

#[cfg(test)]
pub use super::offered::offered;
pub use super::offered::Offered;
use super::{attempts, given_up, herd, promises};
use crate::check::{self, Agreed, Outcome, StatementRecord};
use crate::engine::lines::Warmth;
use crate::engine::{EngineEvent, WireEvent};
use crate::rig::datagrams::RelayedDatagram;
use crate::rig::member::Shutdown;
use crate::rig::relay::Relayed;
use crate::rig::scenario::{Fault, FaultKind, Scenario, Step};
use crate::rig::starved::Starved;

const SECOND: i64 = 1_000_000; // microseconds

/// What happened, as the rig saw it; times are microseconds since the rig began.
#[derive(Default)]
pub struct Account {
    /// When the load began.
    pub began: i64,
    pub asked: Vec<Offered>,
    pub engine_events: Vec<EngineEvent>,
    /// The front that sent what an engine wrote down under a link.
    pub sent_by: HashMap<(usize, u32), usize>,
    /// The relay's port and the id that the same came over and under; what was said over all connections.
    pub came: HashMap<(usize, u32), (u16, String)>,
    pub wire_events: Vec<WireEvent>,
    /// Warnings of fronts, with when they were read.
    pub warned: Vec<(usize, i64, String)>,
    pub relayed: Vec<Relayed>,
    pub datagrams: Vec<RelayedDatagram>,
    /// Faults as played: what, from, to.
    pub played: Vec<(Fault, i64, i64)>,
    /// Ends that fronts were asked for.
    pub shutdowns: Vec<Shutdown>,
    pub turned_away: i64,
    /// The most asked of any engine at once against what it bore then, and the same of each since its last start.
    pub peak: f64,
    pub peaks_since_start: Vec<f64>,
    /// Configuration files that fronts said they had read again.
    pub read_again: i64,
    /// Fronts killed at a step of a promise, with the step and when.
    pub steps: Vec<(Step, usize, i64)>,
    /// Statements that were sent to any engine at least once, where that is known.
    pub first_tries: Option<i64>,
    /// Microseconds that a final answer may take beyond its time.
    pub slack: i64,
    /// What the fronts and the rig wanted of the machine and were not given.
    pub starved: Starved,
}

/// Tallies, the check's findings and the table by the second.
pub struct Run {
    pub tallies: BTreeMap<&'static str, i64>,
    pub violations: check::Violations,
    pub table: String,
    /// Faults as played: what, from, to.
    pub played: Vec<(Fault, i64, i64)>,
    pub asked: Vec<Offered>,
    /// The ids of every front process that was started, to be looked for afterwards.
    pub pids: Vec<u32>,
}

impl Run {
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
            && self.tallies.get("faults_played") == self.tallies.get("faults")
    }

    pub fn line(&self) -> String {
        let tallies = self.tallies.iter().map(|(k, v)| format!("{k}={v}"));
        let violations = self
            .violations
            .iter()
            .map(|(rule, seen)| format!("violations_{rule}={}", seen.len()));
        tallies.chain(violations).collect::<Vec<_>>().join(" ")
    }
}

/// Statements that the engines of a zone bear in a span after their start, in statements of the load's work.
fn borne(scenario: &Scenario, from: i64, to: i64) -> f64 {
    const STEP: i64 = 10_000; // microseconds
    let warmth = warmth(scenario);
    let steps = (from..to).step_by(STEP as usize);
    let slots: f64 = steps
        .map(|since| warmth.bears(since) as f64 * (STEP.min(to - since)) as f64)
        .sum();
    slots * scenario.fleet.engines_per_zone as f64 / (scenario.load.work_ms.max(1) * 1000) as f64
}

/// How the engines of a scenario warm up.
pub fn warmth(scenario: &Scenario) -> Warmth {
    let engine = &scenario.engine;
    let memory = engine
        .memory_mb
        .checked_div(scenario.load.memory_mb)
        .map_or(usize::MAX, |fit| fit as usize);
    let warm_us = engine.warm_ms as i64 * 1000;
    Warmth {
        cold: engine.cold_slots,
        warm: engine.slots,
        warm_us,
        memory,
    }
}

/// Checks the rules over the record and draws up the tallies and the table.
pub fn judge(scenario: &Scenario, account: &Account, pids: Vec<u32>) -> Run {
    let Account {
        asked,
        relayed,
        played,
        ..
    } = account;
    let agreed = Agreed {
        slack: account.slack,
        ..Agreed::default()
    };
    let mut tallies = BTreeMap::new();
    let mut violations = promises::check(scenario, account, &mut tallies);
    // What was asked again is another statement to the front that it came to. Order keys are the fleet's here, and have
    // a check of their own.
    let statements: Vec<StatementRecord> = asked.iter().map(promises::at_its_front).collect();
    let engine_events = given_up::ended(scenario, account);
    let engine_events: Vec<EngineEvent> = engine_events
        .iter()
        .map(|event| promises::by_its_front(event, account))
        .collect();
    for (rule, found) in check::check(&statements, &[], &engine_events, &agreed) {
        violations.entry(rule).or_default().extend(found);
    }
    attempts::name(&mut violations, account);
    let count =
        |f: &dyn Fn(&Outcome) -> bool| statements.iter().filter(|a| f(&a.outcome)).count() as i64;
    tallies.insert("statements", statements.len() as i64);
    tallies.insert(
        "completed",
        count(&|o| matches!(o, Outcome::Completed { .. })),
    );
    tallies.insert("refused", count(&|o| matches!(o, Outcome::Error(_))));
    tallies.insert(
        "unanswered",
        count(&|o| matches!(o, Outcome::Lost | Outcome::Nothing | Outcome::Spoilt)),
    );
    tallies.insert(
        "excused",
        statements.iter().filter(|a| a.may_be_lost).count() as i64,
    );
    tallies.insert("faults", scenario.faults.len() as i64);
    tallies.insert("faults_played", played.len() as i64);
    tallies.insert("turned_away_by_engines", account.turned_away);
    tallies.insert("starved_seconds", account.starved.spans().len() as i64);
    tallies.insert("start_seconds", account.began / SECOND);
    tallies.insert("probes", relayed.iter().map(|r| r.probes as i64).sum());
    let hups = scenario
        .faults
        .iter()
        .filter(|f| f.what == FaultKind::Hup)
        .count();
    if hups > 0 {
        tallies.insert("read_again", account.read_again);
    }
    tallies.insert(
        "peak_load_over_bound_pct",
        (account.peak * 100.0).round() as i64,
    );
    if scenario.fleet.gossip {
        let seconds = scenario.seconds as i64 * scenario.fleet.fronts as i64;
        let over = account.began + scenario.seconds as i64 * SECOND;
        let during = account
            .datagrams
            .iter()
            .filter(|p| p.at >= account.began && p.at < over);
        let sent: i64 = during.map(|p| p.bytes as i64).sum();
        tallies.insert("gossip_bytes_per_front_s", sent / seconds.max(1));
        tallies.insert(
            "gossip_bytes_per_s",
            sent / (scenario.seconds as i64).max(1),
        );
        tallies.insert(
            "gossip_lost",
            account.datagrams.iter().filter(|p| !p.passed).count() as i64,
        );
    }
    for (fault, from, to) in played {
        match fault.what {
            FaultKind::ZoneLost => zone_lost(scenario, account, (fault, *from, *to), &mut tallies),
            FaultKind::Release => herd::released(scenario, account, (fault, *from), &mut tallies),
            FaultKind::LinkCut => link_cut(account, (fault, *from, *to), &mut tallies),
            _ => {}
        }
    }
    shed(scenario, account.began, asked, &mut tallies);
    if let Some(first) = account.first_tries {
        let all: i64 = relayed.iter().map(|r| r.statements as i64).sum();
        tallies.insert("attempts_over_first_pct", all * 100 / first.max(1));
    }
    if scenario.fleet.voters.is_some() {
        owners(account, &mut tallies);
    }
    let table = table(scenario, account.began, asked, relayed);
    Run {
        tallies,
        violations,
        table,
        played: played.clone(),
        asked: asked.clone(),
        pids,
    }
}

pub type Tallies = BTreeMap<&'static str, i64>;

fn at_least(tallies: &mut Tallies, key: &'static str, value: i64) {
    let entry = tallies.entry(key).or_insert(0);
    *entry = (*entry).max(value);
}

/// How long after its loss a zone was still sent to, how it was probed meanwhile, and how it was used again.
fn zone_lost(
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
    at_least(tallies, "zone_lost_last_sent_ms", last);
    *tallies.entry("zone_lost_sent").or_insert(0) +=
        sent().map(|r| r.statements as i64).sum::<i64>();
    // Probes while nothing is sent there any more: all of the loss but its first three seconds.
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
        at_least(
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
        at_least(tallies, "returned_first_ms", (first - to) / 1000);
    }
    let own = fault.zone * scenario.fleet.engines_per_zone;
    let back = account
        .peaks_since_start
        .iter()
        .skip(own)
        .take(scenario.fleet.engines_per_zone);
    at_least(
        tallies,
        "return_peak_over_bound_pct",
        (back.copied().fold(0.0, f64::max) * 100.0).round() as i64,
    );
    // What was sent into it in each second until it was warm, against what its engines bore in that second.
    let warm = (scenario.engine.warm_ms as i64 * 1000 + SECOND - 1) / SECOND;
    for second in 0..warm {
        let (start, end) = (to + second * SECOND, to + (second + 1) * SECOND);
        let load: i64 = returned()
            .filter(|r| r.at >= start && r.at < end)
            .map(|r| r.statements as i64)
            .sum();
        let over = load as f64 / borne(scenario, second * SECOND, (second + 1) * SECOND).max(1e-9);
        at_least(
            tallies,
            "return_load_over_bound_pct",
            (over * 100.0).round() as i64,
        );
    }
}

/// What came in time, and which classes were refused: of each front its order by the share refused, held against the
/// fleet's by Spearman's rank correlation; the mean over fronts that refused anything.
fn shed(scenario: &Scenario, began: i64, asked: &[Offered], tallies: &mut Tallies) {
    let in_time = |o: &Offered| {
        let slo = scenario.classes[o.class].slo_ms as i64 * 1000;
        matches!(o.asked.outcome, Outcome::Completed { .. })
            && o.asked.answered - o.asked.sent <= slo
    };
    // While the load was on: what waits when it ends is served after it by engines that have nothing else.
    let over = began + scenario.seconds as i64 * SECOND;
    let served = || {
        asked
            .iter()
            .filter(|o| o.asked.answered < over && in_time(o))
    };
    let worth: f64 = served().map(|o| scenario.classes[o.class].importance).sum();
    tallies.insert(
        "in_time_per_s",
        served().count() as i64 / scenario.seconds as i64,
    );
    tallies.insert("worth_per_s", (worth / scenario.seconds as f64) as i64);
    let classes = scenario.classes.len();
    if classes < 2 {
        return;
    }
    let refused = |of: &mut dyn Iterator<Item = &Offered>| {
        let mut counts = vec![(0.0, 0.0); classes];
        for o in of {
            counts[o.class].1 += 1.0;
            counts[o.class].0 += f64::from(u8::from(!in_time(o)));
        }
        counts
            .iter()
            .map(|(refused, all)| refused / f64::max(*all, 1.0))
            .collect::<Vec<f64>>()
    };
    let fleet = ranks(&refused(&mut asked.iter()));
    let mut agreed = Vec::new();
    for front in 0..scenario.fleet.fronts {
        let own = refused(&mut asked.iter().filter(|o| o.front == front));
        if own.iter().any(|share| *share > 0.0) {
            agreed.push(correlation(&ranks(&own), &fleet));
        }
    }
    let mean = agreed.iter().sum::<f64>() / agreed.len().max(1) as f64;
    tallies.insert("shed_order_agreed_pct", (mean * 100.0).round() as i64);
}

/// The rank of each value, those that are alike sharing the mean of theirs.
fn ranks(values: &[f64]) -> Vec<f64> {
    let rank = |value: &f64| {
        let below = values.iter().filter(|other| *other < value).count();
        let alike = values.iter().filter(|other| *other == value).count();
        below as f64 + (alike as f64 - 1.0) / 2.0
    };
    values.iter().map(rank).collect()
}

fn correlation(a: &[f64], b: &[f64]) -> f64 {
    let mean = (a.len() as f64 - 1.0) / 2.0;
    let product = |x: &[f64], y: &[f64]| -> f64 {
        x.iter().zip(y).map(|(x, y)| (x - mean) * (y - mean)).sum()
    };
    product(a, b) / (product(a, a) * product(b, b)).sqrt().max(1e-9)
}

/// Who probed for the fleet, in the order of the probes: how many fronts, how often that passed from one to another,
/// how many probes a front sent after another had taken over, and the longest time without a probe in between.
fn owners(account: &Account, tallies: &mut Tallies) {
    let mut probes: Vec<(i64, usize)> = account
        .relayed
        .iter()
        .filter(|r| r.probes > 0)
        .map(|r| (r.at, r.front))
        .collect();
    probes.sort_unstable();
    let (mut seen, mut passed, mut again, mut longest) = (Vec::new(), 0, 0, 0);
    for (n, (at, front)) in probes.iter().enumerate() {
        match seen.iter().position(|before| before == front) {
            None => {
                passed += i64::from(n > 0);
                longest = longest.max(if n > 0 { at - probes[n - 1].0 } else { 0 });
                seen.push(*front);
            }
            Some(place) => again += i64::from(place + 1 < seen.len()),
        }
    }
    tallies.insert("owners", seen.len() as i64);
    tallies.insert("owner_passed_on", passed);
    tallies.insert("probes_of_earlier_owners", again);
    tallies.insert("without_owner_ms", longest / 1000);
}

/// How long a front that was cut from a zone alone still sent there, and what the others sent meanwhile.
fn link_cut(account: &Account, (fault, from, to): (&Fault, i64, i64), tallies: &mut Tallies) {
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
    at_least(tallies, "link_cut_last_sent_ms", last);
    *tallies.entry("link_cut_sent").or_insert(0) += own().map(|r| r.statements as i64).sum::<i64>();
    // The others keep the zone: what they sent there while one front alone was cut off from it.
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

/// A line a second: statements sent, completed, refused and unanswered; statements relayed into each zone, and of
/// them those that were lost on the way; probes into each.
fn table(scenario: &Scenario, began: i64, asked: &[Offered], relayed: &[Relayed]) -> String {
    let zones = scenario.fleet.zones;
    let seconds = scenario.seconds as usize + 1;
    let mut rows = vec![(0, 0, 0, 0, vec![(0, 0, 0); zones]); seconds];
    let second = |at: i64| (((at - began).max(0)) / SECOND) as usize;
    for Offered { asked: a, .. } in asked {
        let Some(row) = rows.get_mut(second(a.sent)) else {
            continue;
        };
        row.0 += 1;
        match a.outcome {
            Outcome::Completed { .. } => row.1 += 1,
            Outcome::Error(_) => row.2 += 1,
            _ => row.3 += 1,
        }
    }
    for r in relayed {
        let Some(row) = rows.get_mut(second(r.at)) else {
            continue;
        };
        row.4[r.zone].0 += r.statements;
        row.4[r.zone].2 += r.probes;
        if !r.passed {
            row.4[r.zone].1 += r.statements;
        }
    }
    let zone_heads: String = (0..zones)
        .map(|z| format!("  into z{z} (lost) probes"))
        .collect();
    let mut out = format!("second  sent  completed  refused  unanswered{zone_heads}\n");
    for (n, (sent, completed, refused, unanswered, into)) in rows.iter().enumerate() {
        let into: String = into
            .iter()
            .map(|(all, lost, probes)| format!("  {all:>7} ({lost:>4}) {probes:>6}"))
            .collect();
        out.push_str(&format!(
            "{n:>6}  {sent:>4}  {completed:>9}  {refused:>7}  {unanswered:>10}{into}\n"
        ));
    }
    out
}

#[cfg(test)]
#[path = "account_tests.rs"]
mod tests;
