//! The keys of the section `scatter` and their defaults. The type names appear in error texts.

use std::collections::BTreeMap;

use serde::Deserialize;

/// Maximum age of a summary in milliseconds.
const DEFAULT_SUMMARY_AGE_MS: u64 = 600_000;
/// Milliseconds by which a summary may be ahead: the maximum difference of the fronts' clocks.
const DEFAULT_SUMMARY_AHEAD_MS: u64 = 10_000;
/// Maximum number of summaries held.
const DEFAULT_MAX_SUMMARIES: usize = 4_096;
/// Maximum number of parts in flight at once of a statement with LIMIT.
const DEFAULT_PARALLEL_PARTS: usize = 4;
const DEFAULT_ANSWER_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScatterFile {
    pub workloads: Vec<String>,
    pub sites: BTreeMap<String, String>,
    pub directory: Option<String>,
    #[serde(default)]
    pub schemas: BTreeMap<String, u32>,
    pub loads: Option<String>,
    #[serde(default)]
    pub writes: Vec<String>,
    pub whole_site: Option<String>,
    #[serde(default)]
    pub partial: Vec<String>,
    #[serde(default)]
    pub distinct_error: BTreeMap<String, f64>,
    #[serde(default)]
    pub together: Vec<Vec<u32>>,
    #[serde(default = "default_oldest_ms")]
    pub oldest_ms: u64,
    #[serde(default = "default_ahead_ms")]
    pub ahead_ms: u64,
    #[serde(default = "default_summaries")]
    pub most: usize,
    #[serde(default = "default_at_once")]
    pub at_once: usize,
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: usize,
    pub keep: Option<SummaryBudgetFile>,
    pub audits: Option<AuditsFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditsFile {
    pub one_in: u64,
    pub a_minute: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SummaryBudgetFile {
    pub memory_kb: u64,
    pub bytes_a_second: u64,
    pub file: Option<String>,
}

fn default_oldest_ms() -> u64 {
    DEFAULT_SUMMARY_AGE_MS
}

fn default_ahead_ms() -> u64 {
    DEFAULT_SUMMARY_AHEAD_MS
}

fn default_summaries() -> usize {
    DEFAULT_MAX_SUMMARIES
}

fn default_at_once() -> usize {
    DEFAULT_PARALLEL_PARTS
}

fn default_answer_bytes() -> usize {
    DEFAULT_ANSWER_BYTES
}
