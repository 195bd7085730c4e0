//! What the fleets of `prove` runs share: their shape, their engines, the workloads that need
//! ledger entries, and the order of the kinds of faults.

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::rig::scenario::{Class, Effect, FleetShape, Warm};

/// Draws the order of the kinds of faults. A small run has `count` of them, always including the
/// named one.
pub(super) fn draw_kinds(
    rng: &mut Pcg64Mcg,
    kinds: &[&'static str],
    small: Option<(usize, &str)>,
) -> Vec<&'static str> {
    let mut drawn = kinds.to_vec();
    drawn.shuffle(rng);
    if let Some((count, always)) = small {
        drawn.sort_by_key(|kind| *kind != always);
        drawn.truncate(count);
        drawn.shuffle(rng);
    }
    drawn
}

/// A fleet with gossip, three replicas of each ledger entry, and engines in three zones.
pub(super) fn fleet(fronts: usize) -> FleetShape {
    FleetShape {
        fronts,
        zones: 3,
        engines_per_zone: 2,
        gossip: true,
        clocks_apart_ms: 200,
        voters: None,
        lease_ms: 2_000,
        copies: Some(3),
        keys_by_front: false,
        zone_quorum: None,
        sheds_as_one: false,
        budgets: Default::default(),
        further: Default::default(),
    }
}

/// Engines with more slots than such a run needs.
pub(super) fn engines() -> Warm {
    Warm {
        slots: 64,
        cold_slots: 64,
        ..Warm::default()
    }
}

/// A class of statements with an order key and a dedup key each.
pub(super) fn keyed(keys: usize, work_ms: u64) -> Class {
    Class {
        effect: Effect::Deduplicated,
        keys,
        ..ledger_class("log-load", work_ms)
    }
}

/// A class of non-idempotent statements without a key.
pub(super) fn non_idempotent(work_ms: u64) -> Class {
    Class {
        effect: Effect::NonIdempotent,
        ..ledger_class("pay", work_ms)
    }
}

fn ledger_class(name: &str, work_ms: u64) -> Class {
    Class {
        importance: 8.0,
        work_ms: Some(work_ms),
        goes_on: true,
        ..Class::idempotent(name, 2_000)
    }
}
