//! Helpers shared by the tests of several rules.

use crate::interface::{DedupGroup, Effect, Workload};

/// An idempotent workload whose statements use the given number of threads.
pub fn workload(threads: f64) -> Workload {
    Workload {
        importance: 1.0,
        late_value_share: 0.0,
        slo_time: 1_000_000,
        slo_stretch: 0.0,
        statement_timeout: 5_000_000,
        effect: Effect::Idempotent,
        dedup_group: DedupGroup::All,
        dedup_window: 1_000_000,
        in_order: false,
        threads,
        holds_data: false,
        waits_for_data: false,
        locations: None,
        kinds: None,
    }
}
