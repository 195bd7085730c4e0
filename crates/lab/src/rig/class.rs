//! A workload of the load: its share, SLO time and repeat semantics.

use serde::Deserialize;

use crate::check::Repeat;

/// A workload of the load and the customer that sends its statements.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Weight of the workload in the load, relative to the others.
    pub share: f64,
    /// Importance in the agreement.
    pub importance: f64,
    /// SLO time in milliseconds.
    pub slo_ms: u64,
    #[serde(default)]
    pub effect: Effect,
    /// Number of order keys, one of which is drawn evenly for each statement; 0: statements have no
    /// order key.
    #[serde(default)]
    pub keys: usize,
    /// Work per statement and statement timeout in milliseconds; the load's values if unset.
    pub work_ms: Option<u64>,
    pub timeout_ms: Option<u64>,
    /// Dedup window in milliseconds, in which engines drop a repeat of a deduplicated statement.
    #[serde(default = "window_ms")]
    pub window_ms: u64,
    /// The customer that sends the statements.
    #[serde(default = "customer")]
    pub customer: String,
    /// Statements a second over all fronts within the customer's share; unlimited if unset.
    pub customer_per_second: Option<f64>,
    /// An engine continues a statement after its connection has closed.
    #[serde(default)]
    pub goes_on: bool,
    /// How often a client repeats a lost or rejected statement at another front.
    #[serde(default)]
    pub asks_again: usize,
}

/// Whether a statement of a workload may be executed again.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    #[default]
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

impl Class {
    /// The repeat semantics that the checks apply.
    pub fn repeat(&self) -> Repeat {
        match self.effect {
            Effect::Idempotent => Repeat::Idempotent,
            Effect::Deduplicated => Repeat::Deduplicated,
            Effect::NonIdempotent => Repeat::NonIdempotent,
        }
    }

    /// Whether statements need a ledger entry before they execute: they have an order key or are
    /// not idempotent.
    pub fn needs_ledger_entry(&self) -> bool {
        self.keys > 0 || self.effect != Effect::Idempotent
    }

    /// An idempotent workload without order keys, with defaults for all else.
    pub fn idempotent(name: &str, slo_ms: u64) -> Class {
        Class {
            name: name.to_string(),
            share: 1.0,
            importance: 1.0,
            slo_ms,
            effect: Effect::Idempotent,
            keys: 0,
            work_ms: None,
            timeout_ms: None,
            window_ms: window_ms(),
            customer: customer(),
            customer_per_second: None,
            goes_on: false,
            asks_again: 0,
        }
    }
}

fn customer() -> String {
    "acme".to_string()
}

fn window_ms() -> u64 {
    9_000
}
