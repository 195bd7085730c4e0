//! The settings object: what the decision module reads of it, and what the network code needs.

mod check;

use hallmux::interface::{Agreement, FurtherBudget, Micros, ReportLayout, Workload};
use serde::Deserialize;

use self::check::{check, word, EFFECTS, GROUPS};
use crate::error::Error;
use crate::text::Section;

/// Fronts of as many vantages have to report a zone as failed before the fleet leaves it, where the
/// operator's file says nothing: one front may be cut off alone.
pub const ZONE_QUORUM: usize = 2;
const DIAL_TIMEOUT_MS: f64 = 250.0; // milliseconds, where the settings are silent; a few round trips and more
const KEEPALIVE_MS: f64 = 15_000.0; // milliseconds, where the settings are silent; what most servers use
const MOST_HELD: usize = 20_000; // statements, where the settings are silent; some 10 MB of small ones

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Options {
    instances: f64,
    #[serde(default)]
    areas: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    request_classes: Vec<Class>,
    #[serde(default)]
    customers: Vec<Customer>,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    bounds: Bounds,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    extra: Extra,
    #[serde(default)]
    report: Report,
    rules: Rules,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Class {
    #[serde(default)]
    name: String,
    aim_ms: f64,
    #[serde(default)]
    aim_stretch: f64,
    deadline_ms: f64,
    #[serde(default)]
    dedup_window_ms: f64,
    group: Option<String>,
    #[serde(default)]
    in_turn: bool,
    #[serde(default)]
    late_share: f64,
    repeat: String,
    #[serde(default = "one")]
    worth: f64,
    kinds_allowed: Option<Vec<usize>>,
    areas_only: Option<Vec<usize>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Customer {
    #[serde(default)]
    name: String,
    allowance_per_s: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Bounds {
    cancelling: bool,
    dial_timeout_ms: Option<f64>,
    keepalive_ms: Option<f64>,
    streams_per_conn: Option<usize>,
    most_held: Option<usize>,
    probes: bool,
    retry_after: bool,
    max_retry_after_ms: Option<f64>,
    most_tries: Option<usize>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Extra {
    class_waits: Vec<bool>,
    /// Its type is checked; nothing uses it.
    #[serde(rename = "costInAnswers")]
    _cost_in_answers: bool,
    writes_tables: Vec<bool>,
    parallelism: Vec<f64>,
    grants_count: bool,
    largest_share: Option<f64>,
    memory_by_kind_mb: Vec<f64>,
    report_x0: Option<String>,
    report_x1: Option<String>,
    size_cores: Vec<f64>,
    takes_priority: bool,
    tells_every_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Report {
    names: Vec<String>,
    source: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    #[serde(default)]
    answer_slack_ms: f64,
    #[serde(default = "one")]
    cold_from: f64,
    #[serde(default)]
    warm_within_ms: f64,
    #[serde(default = "one")]
    overload_factor: f64,
    #[serde(default)]
    fall_ms: f64,
    #[serde(default)]
    turn_gap_ms: f64,
    further_ratio: Option<f64>,
    #[serde(default)]
    spare_attempts: f64,
    budget_span_ms: Option<f64>,
}

fn one() -> f64 {
    1.0
}

/// Microseconds of a time in milliseconds.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// The names that the settings give to what the decision module knows by its index.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Of the workloads.
    pub workloads: Vec<String>,
    /// Of the customers.
    pub customers: Vec<String>,
    /// Of the engines' locations.
    pub locations: Vec<String>,
    /// Of the kinds of engines.
    pub kinds: Vec<String>,
    /// Of the figures of a load report.
    pub report: Vec<String>,
}

/// What the settings say for the network code alone; the decision module does not read it.
#[derive(Clone, Debug, Default)]
pub struct NetworkSettings {
    /// A connection that is not up by then never will be.
    pub dial_timeout: Micros,
    /// Engines close connections that have been idle for so long.
    pub keepalive: Micros,
    /// Executions that may be open at once on a connection to an engine; 1 at least.
    pub executions_per_connection: usize,
    /// Statements that a front may hold at once; those beyond are rejected.
    pub most_held: usize,
    /// How long after the client's time is up a final answer still counts.
    pub answer_slack: Micros,
    /// Engines may be told to give an execution up.
    pub cancel: bool,
}

/// All that the settings object says.
#[derive(Clone, Debug)]
pub struct Settings {
    /// For the decision module.
    pub agreement: Agreement,
    /// Names by index, for the log and for what comes over the network.
    pub names: Names,
    /// For the network code.
    pub network: NetworkSettings,
}

impl Settings {
    /// Reads the settings' JSON text. Keys that are not known are ignored.
    pub fn parse(text: &str) -> Result<Settings, Error> {
        settings_of(&Section { name: "options", text, lines: 0 })
    }
}

/// Reads the settings as a section of a larger text.
pub(crate) fn settings_of(section: &Section) -> Result<Settings, Error> {
    let read: Options = section.read()?;
    check(section, &read)?;
    let names = Names {
        workloads: read.request_classes.iter().map(|c| c.name.clone()).collect(),
        customers: read.customers.iter().map(|c| c.name.clone()).collect(),
        locations: read.areas.clone(),
        kinds: read.kinds.clone(),
        report: read.report.names.clone(),
    };
    let network = NetworkSettings {
        dial_timeout: micros(read.bounds.dial_timeout_ms.unwrap_or(DIAL_TIMEOUT_MS)),
        keepalive: micros(read.bounds.keepalive_ms.unwrap_or(KEEPALIVE_MS)),
        executions_per_connection: read.bounds.streams_per_conn.unwrap_or(1).max(1),
        most_held: read.bounds.most_held.unwrap_or(MOST_HELD),
        answer_slack: micros(read.rules.answer_slack_ms),
        cancel: read.bounds.cancelling,
    };
    let flag = |list: &[bool], i: usize| list.get(i).copied().unwrap_or(false);
    let mut workloads = Vec::new();
    for (i, class) in read.request_classes.into_iter().enumerate() {
        workloads.push(Workload {
            importance: class.worth,
            late_share: class.late_share,
            slo_time: micros(class.aim_ms),
            slo_stretch: class.aim_stretch,
            statement_timeout: micros(class.deadline_ms),
            effect: word(section, &format!("requestClasses[{i}].repeat"), &class.repeat, &EFFECTS)?,
            dedup_group: word(
                section,
                &format!("requestClasses[{i}].group"),
                class.group.as_deref().unwrap_or("cell"),
                &GROUPS,
            )?,
            dedup_window: micros(class.dedup_window_ms),
            in_order: class.in_turn,
            threads: read.extra.parallelism.get(i).copied().unwrap_or(1.0),
            holds_data: flag(&read.extra.writes_tables, i),
            waits_for_data: flag(&read.extra.class_waits, i),
            locations: class.areas_only,
            kinds: class.kinds_allowed,
        });
    }
    let place = |name: &str| read.report.names.iter().position(|n| n == name);
    let extra_place = |about: &str| {
        let means = |text: &Option<String>| text.as_deref().is_some_and(|t| t.contains(about));
        let x1 = place("x1").filter(|_| means(&read.extra.report_x1));
        place("x0").filter(|_| means(&read.extra.report_x0)).or(x1)
    };
    let further = read.rules.further_ratio.zip(read.rules.budget_span_ms);
    let agreement = Agreement {
        budgets: None,
        zone_quorum: ZONE_QUORUM,
        workloads,
        customers: read.customers.iter().map(|c| c.allowance_per_s.unwrap_or(f64::INFINITY)).collect(),
        over_share: read.over_share_worth,
        fronts: read.instances.max(1.0),
        cores: read.extra.size_cores,
        memory_mb: read.extra.memory_by_kind_mb,
        largest_grant: read.extra.largest_share.unwrap_or(1.0),
        grants: read.extra.grants_count,
        priorities: read.extra.takes_priority,
        progress_every: micros(read.extra.tells_every_ms),
        report: ReportLayout {
            active: place("active"),
            busy: place("cpu"),
            waiting: place("waiting"),
            memory_granted: extra_place("memory"),
        },
        report_on_probe: read.report.source.as_deref() == Some("on_probe"),
        probes: read.bounds.probes,
        cancel: read.bounds.cancelling,
        subscribe: read.discovery.as_deref() == Some("subscribe"),
        most_executions: read.bounds.most_tries.unwrap_or(1),
        longest_retry_after: (read.bounds.retry_after)
            .then(|| micros(read.bounds.max_retry_after_ms.unwrap_or(1000.0))),
        order_gap: micros(read.rules.turn_gap_ms),
        cold_from: read.rules.cold_from,
        warm_within: micros(read.rules.warm_within_ms),
        overload_factor: read.rules.overload_factor,
        fall_window: micros(read.rules.fall_ms),
        further: further.map(|(ratio, span)| FurtherBudget {
            spare: read.rules.spare_attempts,
            ratio,
            window: micros(span),
        }),
    };
    Ok(Settings { agreement, names, network })
}
