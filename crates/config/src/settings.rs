//! The settings object, split into the part for the decision module and the part for the network
//! code.

mod check;
mod options;

use hallmux::interface::{Agreement, Micros, ReportLayout, RetryAllowance, Workload};

use self::check::{check, resolve_name, EFFECTS, GROUPS};
use self::options::{Extra, Options, Report, Rules};
use crate::error::Error;
use crate::text::Section;

/// Default number of vantages whose fronts must report a zone as failed before the fleet evacuates
/// it. One report is not enough, because a single front may be partitioned from the zone.
pub const ZONE_QUORUM: usize = 2;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
const DEFAULT_KEEPALIVE_MS: f64 = 15_000.0;
/// Maximum number of statements that a front holds at once.
const DEFAULT_MAX_HELD: usize = 20_000;
const DEFAULT_MAX_RETRY_AFTER_MS: f64 = 1000.0;
/// The narrowest deduplication group.
const DEFAULT_DEDUP_GROUP: &str = "cell";

/// Converts milliseconds to microseconds, rounded to the nearest one.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// The names in the settings of the items that the decision module identifies by index.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the workloads.
    pub workloads: Vec<String>,
    /// Names of the customers.
    pub customers: Vec<String>,
    /// Names of the engines' locations.
    pub locations: Vec<String>,
    /// Names of the engine kinds.
    pub kinds: Vec<String>,
    /// Names of the figures in a load report.
    pub report: Vec<String>,
}

/// Settings for the network code; the decision module does not use them.
#[derive(Clone, Debug, Default)]
pub struct NetworkSettings {
    /// Microseconds after which a connection attempt has failed.
    pub dial_timeout: Micros,
    /// Microseconds after which engines close idle connections.
    pub keepalive: Micros,
    /// Maximum number of concurrent executions on a connection to an engine; at least 1.
    pub executions_per_connection: usize,
    /// Maximum number of statements that a front holds at once; further ones are rejected.
    pub max_held_statements: usize,
    /// Microseconds after the client's deadline in which a final answer still counts.
    pub answer_slack: Micros,
    /// Whether executions may be cancelled at engines.
    pub cancel: bool,
}

/// The parsed settings object.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings for the decision module.
    pub agreement: Agreement,
    /// Names by index, for the log and for received messages.
    pub names: Names,
    /// Settings for the network code.
    pub network: NetworkSettings,
}

impl Settings {
    /// Parses and checks the settings' JSON text. Unknown keys are ignored.
    pub fn parse(text: &str) -> Result<Settings, Error> {
        parse_section(&Section {
            name: "options",
            text,
            line_offset: 0,
        })
    }
}

/// Parses and checks the settings in a section of a larger text.
pub(crate) fn parse_section(section: &Section) -> Result<Settings, Error> {
    let options: Options = section.read()?;
    check(section, &options)?;
    let workloads = (0..options.request_classes.len())
        .map(|index| workload(section, &options, index))
        .collect::<Result<_, _>>()?;
    Ok(Settings {
        names: names(&options),
        network: network(&options),
        agreement: agreement(options, workloads),
    })
}

fn names(options: &Options) -> Names {
    Names {
        workloads: options
            .request_classes
            .iter()
            .map(|c| c.name.clone())
            .collect(),
        customers: options.customers.iter().map(|c| c.name.clone()).collect(),
        locations: options.areas.clone(),
        kinds: options.kinds.clone(),
        report: options.report.names.clone(),
    }
}

fn network(options: &Options) -> NetworkSettings {
    let bounds = &options.bounds;
    NetworkSettings {
        dial_timeout: micros(bounds.dial_timeout_ms.unwrap_or(DEFAULT_CONNECT_TIMEOUT_MS)),
        keepalive: micros(bounds.keepalive_ms.unwrap_or(DEFAULT_KEEPALIVE_MS)),
        executions_per_connection: bounds.streams_per_conn.unwrap_or(1).max(1),
        max_held_statements: bounds.most_held.unwrap_or(DEFAULT_MAX_HELD),
        answer_slack: micros(options.rules.answer_slack_ms),
        cancel: bounds.cancelling,
    }
}

/// Converts the entry at an index of `requestClasses` to a workload.
fn workload(section: &Section, options: &Options, index: usize) -> Result<Workload, Error> {
    let class = &options.request_classes[index];
    let extra = &options.extra;
    let flag = |list: &[bool]| list.get(index).copied().unwrap_or(false);
    let path = |key: &str| format!("requestClasses[{index}].{key}");
    let group = class.group.as_deref().unwrap_or(DEFAULT_DEDUP_GROUP);
    Ok(Workload {
        importance: class.worth,
        late_value_share: class.late_share,
        slo_time: micros(class.aim_ms),
        slo_stretch: class.aim_stretch,
        statement_timeout: micros(class.deadline_ms),
        effect: resolve_name(section, &path("repeat"), &class.repeat, &EFFECTS)?,
        dedup_group: resolve_name(section, &path("group"), group, &GROUPS)?,
        dedup_window: micros(class.dedup_window_ms),
        in_order: class.in_turn,
        threads: extra.parallelism.get(index).copied().unwrap_or(1.0),
        holds_data: flag(&extra.writes_tables),
        waits_for_data: flag(&extra.class_waits),
        locations: class.areas_only.clone(),
        kinds: class.kinds_allowed.clone(),
    })
}

/// The indexes of the known figures in a load report. `x0` and `x1` are specific to a site; a text
/// in the settings describes each, and the one that describes memory is the memory granted.
fn report_layout(report: &Report, extra: &Extra) -> ReportLayout {
    let index = |name: &str| report.names.iter().position(|n| n == name);
    let describes_memory =
        |text: &Option<String>| text.as_deref().is_some_and(|t| t.contains("memory"));
    let x0 = index("x0").filter(|_| describes_memory(&extra.report_x0));
    let x1 = index("x1").filter(|_| describes_memory(&extra.report_x1));
    ReportLayout {
        active: index("active"),
        busy: index("cpu"),
        waiting: index("waiting"),
        memory_granted: x0.or(x1),
    }
}

fn retry_allowance(rules: &Rules) -> Option<RetryAllowance> {
    Some(RetryAllowance {
        spare: rules.spare_attempts,
        ratio: rules.further_ratio?,
        window: micros(rules.budget_span_ms?),
    })
}

fn agreement(options: Options, workloads: Vec<Workload>) -> Agreement {
    let (bounds, rules) = (&options.bounds, &options.rules);
    let max_retry_after_ms = bounds
        .max_retry_after_ms
        .unwrap_or(DEFAULT_MAX_RETRY_AFTER_MS);
    Agreement {
        budgets: None,
        zone_quorum: ZONE_QUORUM,
        workloads,
        customers: options
            .customers
            .iter()
            .map(|c| c.allowance_per_s.unwrap_or(f64::INFINITY))
            .collect(),
        beyond_share_weight: options.over_share_worth,
        fronts: options.instances.max(1.0),
        report: report_layout(&options.report, &options.extra),
        cores: options.extra.size_cores,
        memory_mb: options.extra.memory_by_kind_mb,
        max_grant_share: options.extra.largest_share.unwrap_or(1.0),
        grants: options.extra.grants_count,
        priorities: options.extra.takes_priority,
        progress_interval: micros(options.extra.tells_every_ms),
        report_on_probe: options.report.source.as_deref() == Some("on_probe"),
        probes: bounds.probes,
        cancel: bounds.cancelling,
        subscribe: options.discovery.as_deref() == Some("subscribe"),
        max_attempts: bounds.most_tries.unwrap_or(1),
        max_retry_after: bounds.retry_after.then(|| micros(max_retry_after_ms)),
        order_gap: micros(rules.turn_gap_ms),
        initial_capacity_share: rules.cold_from,
        warm_up_time: micros(rules.warm_within_ms),
        overload_factor: rules.overload_factor,
        overload_window: micros(rules.fall_ms),
        retry_allowance: retry_allowance(rules),
    }
}
