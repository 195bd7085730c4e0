//! The settings object as written in JSON; times are in milliseconds.

use serde::Deserialize;

/// The settings object.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Options {
    pub instances: f64,
    #[serde(default)]
    pub areas: Vec<String>,
    #[serde(default)]
    pub kinds: Vec<String>,
    pub request_classes: Vec<Class>,
    #[serde(default)]
    pub customers: Vec<Customer>,
    #[serde(default = "one")]
    pub over_share_worth: f64,
    #[serde(default)]
    pub bounds: Bounds,
    #[serde(default)]
    pub discovery: Option<String>,
    #[serde(default)]
    pub extra: Extra,
    #[serde(default)]
    pub report: Report,
    pub rules: Rules,
}

/// An element of `requestClasses`: a workload.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Class {
    #[serde(default)]
    pub name: String,
    pub aim_ms: f64,
    #[serde(default)]
    pub aim_stretch: f64,
    pub deadline_ms: f64,
    #[serde(default)]
    pub dedup_window_ms: f64,
    pub group: Option<String>,
    #[serde(default)]
    pub in_turn: bool,
    #[serde(default)]
    pub late_share: f64,
    pub repeat: String,
    #[serde(default = "one")]
    pub worth: f64,
    pub kinds_allowed: Option<Vec<usize>>,
    pub areas_only: Option<Vec<usize>>,
}

/// An element of `customers`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Customer {
    #[serde(default)]
    pub name: String,
    pub allowance_per_s: Option<f64>,
}

/// `bounds`: features that a front may use, and its limits.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Bounds {
    pub cancelling: bool,
    pub dial_timeout_ms: Option<f64>,
    pub keepalive_ms: Option<f64>,
    pub streams_per_conn: Option<usize>,
    pub most_held: Option<usize>,
    pub probes: bool,
    pub retry_after: bool,
    pub max_retry_after_ms: Option<f64>,
    pub most_tries: Option<usize>,
}

/// `extra`: settings that only some sites provide.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Extra {
    pub class_waits: Vec<bool>,
    /// Unused; only its type is checked.
    #[serde(rename = "costInAnswers")]
    _cost_in_answers: bool,
    pub writes_tables: Vec<bool>,
    pub parallelism: Vec<f64>,
    pub grants_count: bool,
    pub largest_share: Option<f64>,
    pub memory_by_kind_mb: Vec<f64>,
    pub report_x0: Option<String>,
    pub report_x1: Option<String>,
    pub size_cores: Vec<f64>,
    pub takes_priority: bool,
    pub tells_every_ms: f64,
}

/// `report`: the names of the figures in engines' load reports, and how the reports arrive.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Report {
    pub names: Vec<String>,
    pub source: Option<String>,
}

/// `rules`: the parameters of the rules that every front must obey.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    #[serde(default)]
    pub answer_slack_ms: f64,
    #[serde(default = "one")]
    pub cold_from: f64,
    #[serde(default)]
    pub warm_within_ms: f64,
    #[serde(default = "one")]
    pub overload_factor: f64,
    #[serde(default)]
    pub fall_ms: f64,
    #[serde(default)]
    pub turn_gap_ms: f64,
    pub further_ratio: Option<f64>,
    #[serde(default)]
    pub spare_attempts: f64,
    pub budget_span_ms: Option<f64>,
}

fn one() -> f64 {
    1.0
}
