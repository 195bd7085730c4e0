//! A fleet scenario: the fleet's shape, its load, its engines' warm-up and a schedule of faults,
//! read from one TOML file. Unknown keys and values out of range are rejected with their key and
//! line.

use hallmux_config::Overload;
use serde::Deserialize;

pub use super::class::{Class, Effect};
pub use super::fault::{Fault, FaultKind, Step};

/// A fleet scenario as read from its file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The seed of the run; drawn and printed if unset.
    pub seed: Option<u64>,
    /// Duration of the load in seconds.
    pub seconds: u64,
    pub fleet: FleetShape,
    pub load: Load,
    #[serde(default)]
    pub engine: Warm,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// The workloads of the load; one default workload if none is given.
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
}

const MAX_KEYS: usize = 10_000; // limit on the order keys of a workload
const MAX_WINDOW_MS: u64 = 600_000; // limit on a dedup window
const MAX_TIMEOUT_MS: u64 = 60_000; // limit on a statement timeout
const MAX_CLIENT_RETRIES: usize = 8; // limit on a client's retries at other fronts

const MAX_CLASSES: usize = 16;

/// The size of the fleet and the settings that all fronts share.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetShape {
    pub fronts: usize,
    pub zones: usize,
    pub engines_per_zone: usize,
    /// Whether fronts exchange their engine observations by gossip: signed datagrams, with each
    /// front's public key known to all.
    #[serde(default)]
    pub gossip: bool,
    /// Bound in milliseconds on the offset of each front's clock, which is drawn evenly in both
    /// directions.
    #[serde(default)]
    pub clocks_apart_ms: u64,
    /// How many fronts, from the first on, vote on the ownership of the fleet's work; if unset,
    /// there are no voters and every front does a share of that work.
    pub voters: Option<usize>,
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// The replication factor of ledger entries; if unset, fronts have no ledger.
    pub copies: Option<usize>,
    /// Whether each front has order keys of its own, as if clients of one key all used one front.
    #[serde(default)]
    pub keys_by_front: bool,
    /// How many vantages must report a zone for the fleet to evacuate it (`gossip.zone_quorum` of
    /// the operator's file); 0: never.
    pub zone_quorum: Option<usize>,
    /// Whether the fleet sheds overload jointly (`gossip.overload` of the operator's file).
    #[serde(default)]
    pub sheds_as_one: bool,
    /// Limits over all fronts on new connections and probes a second into one engine, if the fleet
    /// sheds jointly; 0: unlimited.
    #[serde(default)]
    pub budgets: Budgets,
    /// The retry budget of each front for any ten seconds.
    #[serde(default)]
    pub further: RetryBudget,
}

/// A retry budget: a fixed number of further executions, and a share of the accepted statements.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct RetryBudget {
    pub spare: u32,
    pub share: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            spare: 10,
            share: 0.2,
        }
    }
}

/// Limits on new connections and probes a second into one engine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Budgets {
    pub connections_per_second: u32,
    pub probes_per_second: u32,
}

impl Default for Budgets {
    fn default() -> Budgets {
        let Overload {
            connections_per_second,
            probes_per_second,
            ..
        } = Overload::default();
        Budgets {
            connections_per_second,
            probes_per_second,
        }
    }
}

impl FleetShape {
    /// The overload settings of the operator's file.
    pub fn overload(&self) -> Overload {
        let Budgets {
            connections_per_second,
            probes_per_second,
        } = self.budgets;
        Overload {
            connections_per_second,
            probes_per_second,
            ..Overload::default()
        }
    }
}

/// The load over all fronts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Statements a second over the whole fleet.
    pub per_second: u64,
    /// Work of each statement on an engine, in milliseconds.
    pub work_ms: u64,
    /// The statement timeout of the workload, in milliseconds.
    pub timeout_ms: u64,
    /// Memory in megabytes that each statement holds on its engine while it runs.
    #[serde(default)]
    pub memory_mb: u64,
}

/// The capacity and warm-up of the engines.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Warm {
    /// Statements that an engine runs at once when warm, and right after a start.
    pub slots: usize,
    pub cold_slots: usize,
    /// Milliseconds that warming up takes.
    pub warm_ms: u64,
    /// Memory in megabytes that an engine's statements share: a statement that does not fit is
    /// rejected.
    pub memory_mb: u64,
    /// The agreed overload limit of a cold engine: work over any `fall_ms` at `overload` times its
    /// capacity makes it fail.
    pub overload: f64,
    pub fall_ms: u64,
    /// Whether engines report their load only when they are probed.
    pub load_on_probe: bool,
}

impl Default for Warm {
    fn default() -> Warm {
        Warm {
            slots: 16,
            cold_slots: 16,
            warm_ms: 0,
            memory_mb: 16_384,
            overload: 2.0,
            fall_ms: 1_000,
            load_on_probe: false,
        }
    }
}

fn lease_ms() -> u64 {
    2_000
}

const MAX_FRONT_PROCESSES: usize = 40; // processes that an eight-core machine runs in real time
const MAX_SIMULATED_FRONTS: usize = 1_000; // fronts in simulated time; 300 take a minute or two
const MAX_DELAY_MS: u64 = 10_000; // a later datagram is as good as lost
const MAX_CLOCKS_APART_MS: u64 = 600_000; // the operator file's limit on `clock_ahead_ms`
const MAX_ENGINES: usize = 64;
const MAX_LOAD_SECONDS: u64 = 120; // a run ends by itself
const MAX_STATEMENTS_PER_SECOND: u64 = 2_000; // each statement is a thread of the client
const MAX_ZONE_QUORUM: usize = 64; // the operator file's limit on `gossip.zone_quorum`

impl Scenario {
    /// The class at position `at`, from 0 to 1, of the cumulated shares.
    pub fn draw_class(&self, at: f64) -> usize {
        let mut remaining = at * self.classes.iter().map(|class| class.share).sum::<f64>();
        let found = self.classes.iter().position(|class| {
            remaining -= class.share;
            remaining < 0.0
        });
        found.unwrap_or(self.classes.len() - 1)
    }

    /// Parses and checks a scenario for front processes, or for simulated time, which allows more
    /// fronts. `count` overrides the file's number of fronts.
    /// An error names the line and the key.
    pub fn parse(text: &str, simulated: bool, count: Option<usize>) -> Result<Scenario, String> {
        let mut scenario: Scenario = toml::from_str(text).map_err(|e| {
            let line = e
                .span()
                .map(|span| 1 + text[..span.start.min(text.len())].matches('\n').count());
            format!("line {}: {}", line.unwrap_or(0), e.message())
        })?;
        scenario.fleet.fronts = count.unwrap_or(scenario.fleet.fronts);
        let file = KeyLocation {
            text,
            start_line: 0,
        };
        check_shares(&scenario.classes, file)?;
        if scenario.classes.is_empty() {
            let slo_ms = scenario.load.timeout_ms / 2;
            scenario.classes = vec![Class::idempotent("lookup", slo_ms)];
        }
        scenario.fleet.check(simulated, file)?;
        for (n, class) in scenario.classes.iter().enumerate() {
            scenario.check_class(class, file.nth_table("[[class]]", n))?;
        }
        scenario.fleet.check_lease_and_quorum(file)?;
        scenario.check_load(file)?;
        scenario.engine.check(scenario.load.memory_mb, file)?;
        for (n, fault) in scenario.faults.iter().enumerate() {
            scenario.check_fault(fault, file.nth_table("[[fault]]", n))?;
        }
        Ok(scenario)
    }

    fn check_class(&self, class: &Class, place: KeyLocation) -> Result<(), String> {
        let work = class.work_ms.unwrap_or(self.load.work_ms);
        let timeout = class.timeout_ms.unwrap_or(self.load.timeout_ms);
        if class.keys > MAX_KEYS {
            return place.reject("keys", &format!("is over {MAX_KEYS}"));
        }
        if class.asks_again > MAX_CLIENT_RETRIES {
            return place.reject("asks_again", &format!("is over {MAX_CLIENT_RETRIES}"));
        }
        if !(1..=MAX_WINDOW_MS).contains(&class.window_ms) {
            return place.reject("window_ms", &format!("must be from 1 to {MAX_WINDOW_MS}"));
        }
        if timeout <= work || timeout > MAX_TIMEOUT_MS {
            let message =
                format!("of a class must be over its work_ms and {MAX_TIMEOUT_MS} at most");
            return place.reject("timeout_ms", &message);
        }
        Ok(())
    }

    fn check_load(&self, place: KeyLocation) -> Result<(), String> {
        if !(1..=MAX_LOAD_SECONDS).contains(&self.seconds) {
            return place.reject("seconds", &format!("must be from 1 to {MAX_LOAD_SECONDS}"));
        }
        if !(1..=MAX_STATEMENTS_PER_SECOND).contains(&self.load.per_second) {
            return place.reject(
                "per_second",
                &format!("must be from 1 to {MAX_STATEMENTS_PER_SECOND}"),
            );
        }
        if self.load.timeout_ms <= self.load.work_ms || self.load.timeout_ms > MAX_TIMEOUT_MS {
            let message = format!("must be over work_ms and {MAX_TIMEOUT_MS} at most");
            return place.reject("timeout_ms", &message);
        }
        Ok(())
    }

    fn check_fault(&self, fault: &Fault, place: KeyLocation) -> Result<(), String> {
        let FleetShape { fronts, zones, .. } = self.fleet;
        if fault.zone >= zones {
            return place.reject(
                "zone",
                &format!("must be below {zones}, the number of zones"),
            );
        }
        if fault.front >= fronts {
            return place.reject(
                "front",
                &format!("must be below {fronts}, the number of fronts"),
            );
        }
        if fault
            .second
            .is_some_and(|second| second <= fault.front || second >= fronts)
        {
            return place.reject(
                "second",
                "must be above `front` and below the number of fronts",
            );
        }
        if fault.step.is_some() && fault.what != FaultKind::LoseDisk {
            return place.reject("step", "is allowed for lose_disk only");
        }
        if fault.percent > 100 {
            return place.reject("percent", "is over 100");
        }
        if fault.delay_ms > MAX_DELAY_MS {
            return place.reject("delay_ms", &format!("is over {MAX_DELAY_MS}"));
        }
        if fault
            .at_ms
            .checked_add(fault.for_ms)
            .is_none_or(|ends| ends > self.seconds * 1000)
        {
            return place.reject("at_ms", "and for_ms must end within the seconds of load");
        }
        Ok(())
    }
}

fn check_shares(classes: &[Class], place: KeyLocation) -> Result<(), String> {
    let is_valid = |class: &Class| class.share > 0.0 && class.importance > 0.0 && class.slo_ms > 0;
    if classes.len() <= MAX_CLASSES && classes.iter().all(is_valid) {
        return Ok(());
    }
    let message = format!(
        "and importance and slo_ms of a class must be over 0, {MAX_CLASSES} classes at most"
    );
    place.reject("share", &message)
}

impl FleetShape {
    fn check(&self, simulated: bool, place: KeyLocation) -> Result<(), String> {
        let FleetShape {
            fronts,
            zones,
            engines_per_zone,
            ..
        } = *self;
        let most = if simulated {
            MAX_SIMULATED_FRONTS
        } else {
            MAX_FRONT_PROCESSES
        };
        if !(1..=most).contains(&fronts) {
            return place.reject("fronts", &format!("must be from 1 to {most}"));
        }
        if self.clocks_apart_ms > MAX_CLOCKS_APART_MS {
            return place.reject("clocks_apart_ms", &format!("is over {MAX_CLOCKS_APART_MS}"));
        }
        if zones == 0 || engines_per_zone == 0 || zones * engines_per_zone > MAX_ENGINES {
            let message =
                format!("and engines_per_zone must be 1 or more, {MAX_ENGINES} engines at most");
            return place.reject("zones", &message);
        }
        match self.voters {
            Some(_) if !self.gossip => return place.reject("voters", "needs gossip = true"),
            Some(voters) if !matches!(voters, 3 | 5) || voters > fronts => {
                return place.reject("voters", "must be 3 or 5, and no more than fronts")
            }
            _ => {}
        }
        match self.copies {
            Some(_) if !self.gossip => place.reject("copies", "needs gossip = true"),
            Some(copies) if !matches!(copies, 1 | 3 | 5) || copies > fronts => {
                place.reject("copies", "must be 1, 3 or 5, and no more than fronts")
            }
            _ => Ok(()),
        }
    }

    fn check_lease_and_quorum(&self, place: KeyLocation) -> Result<(), String> {
        if !(500..=60_000).contains(&self.lease_ms) {
            return place.reject("lease_ms", "must be from 500 to 60000");
        }
        match self.zone_quorum {
            Some(_) if !self.gossip => place.reject("zone_quorum", "needs gossip = true"),
            Some(quorum) if quorum > MAX_ZONE_QUORUM => {
                place.reject("zone_quorum", &format!("is over {MAX_ZONE_QUORUM}"))
            }
            _ => Ok(()),
        }
    }
}

impl Warm {
    fn check(&self, statement_mb: u64, place: KeyLocation) -> Result<(), String> {
        if self.slots == 0 || self.cold_slots == 0 || self.cold_slots > self.slots {
            return place.reject("cold_slots", "must be from 1 to slots");
        }
        if statement_mb > self.memory_mb {
            return place.reject(
                "memory_mb",
                "of a statement exceeds the memory of an engine",
            );
        }
        if !(1.0..=100.0).contains(&self.overload) {
            return place.reject("overload", "must be from 1 to 100");
        }
        Ok(())
    }
}

/// The part of the file where a rejected key is searched: from `start_line`, counted from 0.
#[derive(Clone, Copy)]
struct KeyLocation<'a> {
    text: &'a str,
    start_line: usize,
}

impl KeyLocation<'_> {
    /// The location of the `n`-th table of that name, counted from 0, starting at its header.
    fn nth_table(self, header: &str, n: usize) -> Self {
        let headers = self
            .text
            .lines()
            .enumerate()
            .filter(|(_, line)| line.trim() == header);
        KeyLocation {
            start_line: headers.map(|(at, _)| at).nth(n).unwrap_or(0),
            ..self
        }
    }

    fn reject(self, key: &str, why: &str) -> Result<(), String> {
        Err(format!("line {}: `{key}` {why}", self.line_of(key)))
    }

    /// The number, counted from 1, of the first line from `start_line` on that sets `key`; 0 if
    /// none does.
    fn line_of(self, key: &str) -> usize {
        let sets = |line: &str| {
            line.trim_start()
                .strip_prefix(key)
                .is_some_and(|rest| rest.trim_start().starts_with('='))
        };
        let mut lines = self.text.lines().enumerate().skip(self.start_line);
        lines
            .find(|(_, line)| sets(line))
            .map_or(0, |(at, _)| at + 1)
    }
}

#[cfg(test)]
#[path = "scenario_tests.rs"]
mod tests;
