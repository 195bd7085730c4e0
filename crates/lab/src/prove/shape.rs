//! What the fleets of proofs have in common: their shape, their engines, the workloads that need promises, and the
//! order in which kinds of trouble come.

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::rig::scenario::{Class, Effect, FleetShape, Warm};

/// The kinds of trouble of a run, in the order drawn. A small run has so many of them, the named one always
/// among these.
pub(super) fn draw_kinds(
    chance: &mut Pcg64Mcg,
    kinds: &[&'static str],
    small: Option<(usize, &str)>,
) -> Vec<&'static str> {
    let mut drawn = kinds.to_vec();
    drawn.shuffle(chance);
    if let Some((count, always)) = small {
        drawn.sort_by_key(|kind| *kind != always);
        drawn.truncate(count);
        drawn.shuffle(chance);
    }
    drawn
}

/// Fronts that talk with each other, their promises on three of them, engines in three zones.
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

/// Engines that bear all that such a run asks of them.
pub(super) fn engines() -> Warm {
    Warm {
        slots: 64,
        cold_slots: 64,
        ..Warm::default()
    }
}

/// Statements with an order key and a dedup key each.
pub(super) fn keyed(keys: usize, work_ms: u64) -> Class {
    Class {
        effect: Effect::Deduplicated,
        keys,
        ..promised("log-load", work_ms)
    }
}

/// Statements without a key that may run once alone.
pub(super) fn once(work_ms: u64) -> Class {
    Class {
        effect: Effect::NonIdempotent,
        ..promised("pay", work_ms)
    }
}

fn promised(name: &str, work_ms: u64) -> Class {
    Class {
        importance: 8.0,
        work_ms: Some(work_ms),
        goes_on: true,
        ..Class::idempotent(name, 2_000)
    }
}
