//! What a statement's executions depend on, by what was agreed for its workload.

use std::collections::HashMap;

use hallmux_agreement::Contract;
use hallmux_dispatcher::{Micros, Site, StatementArrived};
use hallmux_ledger::{Key, Kind};
use serde::{Deserialize, Serialize};

/// Microseconds beyond its client's time for which a non-idempotent statement is known to have been begun: clients
/// that come again under its name come within seconds.
const BEGUN_KEPT: Micros = 60_000_000;
/// Microseconds that fronts' clocks are apart at most, as the ledger has it.
const APART: Micros = 500_000;

/// Which engines drop the repeats of a deduplicated statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    All,
    Location(u32),
    Cell(u32),
}

#[derive(Clone, Copy, Debug)]
enum Groups {
    All,
    Location,
    Cell,
}

/// One promise that a statement depends on.
#[derive(Clone, Debug)]
pub(super) struct Need {
    pub key: Key,
    /// Microseconds after its client's time for which it is needed.
    beyond: Micros,
    /// Microseconds after its end for which it is needed, where it may have run, or may be running.
    pub after: Micros,
    groups: Groups,
    gap: Micros,
}

impl Need {
    /// Unix milliseconds until which the promise has to stand for an execution.
    pub fn until(&self, ends: Micros) -> u64 {
        ((ends + self.beyond + APART).max(0) / 1000) as u64
    }

    /// Unix milliseconds from which an execution can't be running any more.
    pub fn runs_until(&self, ends: Micros) -> u64 {
        ((ends + self.gap + APART).max(0) / 1000) as u64
    }

    /// Those that drop the repeats of what is sent to an engine.
    pub fn group(&self, site: Site) -> Group {
        match self.groups {
            Groups::All => Group::All,
            Groups::Location => Group::Location(site.location as u32),
            Groups::Cell => Group::Cell(site.cell as u32),
        }
    }
}

struct Workload {
    in_order: bool,
    /// Of a deduplicated one.
    dedup: Option<(Micros, Groups)>,
    once: bool,
}

/// The workloads that depend on promises, by name.
pub(super) struct Needs {
    workloads: HashMap<String, Workload>,
    turn_gap: Micros,
}

impl Needs {
    pub fn new(contract: &Contract) -> Needs {
        use hallmux_dispatcher::{DedupGroup, Effect};
        let agreed = contract.names.workloads.iter().zip(&contract.agreement.workloads);
        let workloads = agreed.map(|(name, w)| {
            let groups = match w.dedup_group {
                DedupGroup::All => Groups::All,
                DedupGroup::Location => Groups::Location,
                DedupGroup::Cell => Groups::Cell,
            };
            let workload = Workload {
                in_order: w.in_order,
                dedup: (w.effect == Effect::Deduplicated).then_some((w.dedup_window, groups)),
                once: w.effect == Effect::NonIdempotent,
            };
            (name.clone(), workload)
        });
        Needs { workloads: workloads.collect(), turn_gap: contract.agreement.order_gap }
    }

    /// Of one statement, in the order in which its promises are asked for: the same on every front, so that no two
    /// statements wait for each other. `id` is its name wherever it is tried.
    pub fn of(&self, taken: &StatementArrived, id: &str) -> Vec<Need> {
        let Some(workload) = self.workloads.get(&taken.workload) else { return Vec::new() };
        let mut needs = Vec::new();
        let gap = self.turn_gap;
        if let Some(((window, groups), dedup)) = workload.dedup.zip(taken.dedup_key.as_ref()) {
            let key = Key { kind: Kind::Dedup, name: format!("{}/{dedup}", taken.workload) };
            needs.push(Need { key, beyond: window.max(gap), after: window, groups, gap });
        }
        if workload.once {
            let key = Key { kind: Kind::Begun, name: format!("{}/{id}", taken.customer) };
            needs.push(Need { key, beyond: BEGUN_KEPT, after: BEGUN_KEPT, groups: Groups::All, gap });
        }
        // Last: many statements want an order key, and none is to keep it while it waits for what is its own alone.
        if let Some(key) = taken.key.as_ref().filter(|_| workload.in_order) {
            // As in one front, the order of a key is the same for all workloads.
            let key = Key { kind: Kind::Order, name: key.clone() };
            needs.push(Need { key, beyond: gap, after: gap, groups: Groups::All, gap });
        }
        needs
    }
}

/// What an entry says, but for those of order keys, which say nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Out {
    /// The life of the front and the number of the ask that made it.
    pub mark: (u64, u64),
    pub group: Group,
    /// Unix milliseconds from which nothing of it can be running any more.
    pub runs_until_ms: u64,
}

impl Out {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// One that can't be read is as if it were running in a group that nobody knows.
    pub fn read(bytes: &[u8]) -> Option<Out> {
        postcard::from_bytes(bytes).ok()
    }
}
