//! A workload of the load: its share, its SLO time, and what may be done again with its statements.

use serde::Deserialize;

use crate::check::Repeat;

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Its part of the load, against the others'.
    pub share: f64,
    /// Its importance, as the agreement has it.
    pub importance: f64,
    /// Its SLO time in milliseconds.
    pub slo_ms: u64,
    #[serde(default)]
    pub effect: Effect,
    /// So many order keys, drawn evenly, one of which each statement has; without, it has none.
    #[serde(default)]
    pub keys: usize,
    /// What each takes on an engine and its statement timeout, instead of the load's.
    pub work_ms: Option<u64>,
    pub timeout_ms: Option<u64>,
    /// Milliseconds for which all engines drop a repeat of a deduplicated one.
    #[serde(default = "window_ms")]
    pub window_ms: u64,
    /// Whose statements they are.
    #[serde(default = "customer")]
    pub customer: String,
    /// Statements a second over all fronts that are within that customer's share; without, all are.
    pub customer_per_second: Option<f64>,
    /// An engine goes on with it though its connection ended.
    #[serde(default)]
    pub goes_on: bool,
    /// So often a client whose statement was lost or rejected asks for it again, at another front.
    #[serde(default)]
    pub asks_again: usize,
}

/// What may be done again with a workload's statements.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    #[default]
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

impl Class {
    pub fn repeat(&self) -> Repeat {
        match self.effect {
            Effect::Idempotent => Repeat::Idempotent,
            Effect::Deduplicated => Repeat::Deduplicated,
            Effect::NonIdempotent => Repeat::NonIdempotent,
        }
    }

    /// Whether its statements depend on a promise.
    pub fn needs_ledger_entry(&self) -> bool {
        self.keys > 0 || self.effect != Effect::Idempotent
    }

    /// One that may run again whenever, with nothing of its own.
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
