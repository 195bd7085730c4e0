//! The ledger entries that a statement's executions require, by the settings of its workload.

use std::collections::HashMap;

use hallmux_config::Settings;
use hallmux_dispatcher::{DedupGroup, Effect, Micros, Site, StatementArrived};
use hallmux_ledger::{Key, Kind};
use serde::{Deserialize, Serialize};

/// Microseconds past its deadline for which the ledger knows that a non-idempotent statement was begun:
/// clients that retry it under the same id do so within seconds.
const BEGUN_RETENTION: Micros = 60_000_000;
/// Most microseconds that fronts' clocks differ by, as the ledger assumes.
pub(super) const MAX_CLOCK_SKEW: Micros = 500_000;

/// The engines among which repeats of a deduplicated statement are dropped. Part of the entries' format:
/// append only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineGroup {
    /// All engines.
    All,
    /// Those of one location.
    Location(u32),
    /// Those of one cell.
    Cell(u32),
}

/// By what engines are grouped.
#[derive(Clone, Copy, Debug)]
enum Grouping {
    All,
    Location,
    Cell,
}

/// One ledger entry that a statement requires.
#[derive(Clone, Debug)]
pub(super) struct Requirement {
    pub key: Key,
    /// Microseconds past the statement's deadline for which it is needed.
    retention_after_deadline: Micros,
    /// Microseconds past its end for which it is needed, where it may have run, or may be running.
    pub retention_after_end: Micros,
    grouping: Grouping,
    /// Microseconds past the deadline from which an execution can't be running any more.
    max_overrun: Micros,
}

impl Requirement {
    /// Unix milliseconds until which the entry has to be held for an execution that ends by `ends`.
    pub fn hold_until_ms(&self, ends: Micros) -> u64 {
        ((ends + self.retention_after_deadline + MAX_CLOCK_SKEW).max(0) / 1000) as u64
    }

    /// Unix milliseconds from which an execution can't be running any more.
    pub fn runs_until_ms(&self, ends: Micros) -> u64 {
        ((ends + self.max_overrun + MAX_CLOCK_SKEW).max(0) / 1000) as u64
    }

    /// The group of an engine at this site.
    pub fn group(&self, site: Site) -> EngineGroup {
        match self.grouping {
            Grouping::All => EngineGroup::All,
            Grouping::Location => EngineGroup::Location(site.location as u32),
            Grouping::Cell => EngineGroup::Cell(site.cell as u32),
        }
    }
}

/// What a workload's settings say of its statements.
struct Workload {
    /// Statements of one order key run one at a time.
    in_order: bool,
    /// How repeats are dropped, where they are.
    dedup: Option<Deduplication>,
    /// A statement must not run twice.
    non_idempotent: bool,
}

/// How repeats of a workload's statements are dropped.
#[derive(Clone, Copy)]
struct Deduplication {
    /// Microseconds for which engines drop them.
    window: Micros,
    grouping: Grouping,
}

/// The requirements of workloads, by name.
pub(super) struct Requirements {
    workloads: HashMap<String, Workload>,
    order_gap: Micros,
}

impl Requirements {
    pub fn new(settings: &Settings) -> Requirements {
        let agreed = settings
            .names
            .workloads
            .iter()
            .zip(&settings.agreement.workloads);
        let workloads = agreed.map(|(name, agreed)| {
            let dedup = Deduplication {
                window: agreed.dedup_window,
                grouping: grouping(agreed.dedup_group),
            };
            let workload = Workload {
                in_order: agreed.in_order,
                dedup: (agreed.effect == Effect::Deduplicated).then_some(dedup),
                non_idempotent: agreed.effect == Effect::NonIdempotent,
            };
            (name.clone(), workload)
        });
        Requirements {
            workloads: workloads.collect(),
            order_gap: settings.agreement.order_gap,
        }
    }

    /// Those of one statement, in the order in which they are claimed: the same on every front, so that no
    /// two statements wait for each other. `id` names it on whichever front it is retried.
    pub fn for_statement(&self, statement: &StatementArrived, id: &str) -> Vec<Requirement> {
        let Some(workload) = self.workloads.get(&statement.workload) else {
            return Vec::new();
        };
        // The order key last: many statements claim one, and none is to hold it while it waits for an entry of
        // its own.
        [
            self.dedup_key(workload, statement),
            self.begun(workload, statement, id),
            self.order_key(workload, statement),
        ]
        .into_iter()
        .flatten()
        .collect()
    }

    /// Repeats of a deduplicated statement go only to the group of engines that drops them.
    fn dedup_key(&self, workload: &Workload, statement: &StatementArrived) -> Option<Requirement> {
        let dedup = workload.dedup?;
        let name = statement.dedup_key.as_ref()?;
        let key = Key {
            kind: Kind::Dedup,
            name: format!("{}/{name}", statement.workload),
        };
        Some(Requirement {
            key,
            retention_after_deadline: dedup.window.max(self.order_gap),
            retention_after_end: dedup.window,
            grouping: dedup.grouping,
            max_overrun: self.order_gap,
        })
    }

    /// A non-idempotent statement is begun at most once.
    fn begun(
        &self,
        workload: &Workload,
        statement: &StatementArrived,
        id: &str,
    ) -> Option<Requirement> {
        if !workload.non_idempotent {
            return None;
        }
        let key = Key {
            kind: Kind::Begun,
            name: format!("{}/{id}", statement.customer),
        };
        Some(Requirement {
            key,
            retention_after_deadline: BEGUN_RETENTION,
            retention_after_end: BEGUN_RETENTION,
            grouping: Grouping::All,
            max_overrun: self.order_gap,
        })
    }

    /// Executions of one order key run one at a time. As in one front, the order of a key is the same for all
    /// workloads.
    fn order_key(&self, workload: &Workload, statement: &StatementArrived) -> Option<Requirement> {
        let name = statement.key.as_ref().filter(|_| workload.in_order)?;
        Some(Requirement {
            key: super::order_key(name),
            retention_after_deadline: self.order_gap,
            retention_after_end: self.order_gap,
            grouping: Grouping::All,
            max_overrun: self.order_gap,
        })
    }
}

fn grouping(group: DedupGroup) -> Grouping {
    match group {
        DedupGroup::All => Grouping::All,
        DedupGroup::Location => Grouping::Location,
        DedupGroup::Cell => Grouping::Cell,
    }
}

/// Names one entry: the request that made it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RequestId {
    /// When the front that made it started, in Unix milliseconds.
    pub started_ms: u64,
    /// The number of the request.
    pub number: u64,
}

/// The value of an entry; entries of order keys have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EntryValue {
    /// What tells it from other entries of the key, also of the same front.
    pub request_id: RequestId,
    /// Where its executions run.
    pub group: EngineGroup,
    /// Unix milliseconds from which none of them can be running any more.
    pub runs_until_ms: u64,
    /// Of a dedup key: Unix milliseconds until which engines surely drop a repeat of the first of them, on the
    /// clock of any front. An earlier build writes none, which is read as 0: when its executions left is unknown.
    pub dropped_until_ms: u64,
}

/// The value as builds before `dropped_until_ms` write it. They pass over what follows it, and so read the
/// later one.
#[derive(Deserialize)]
struct EarlierValue {
    request_id: RequestId,
    group: EngineGroup,
    runs_until_ms: u64,
}

impl EntryValue {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None where it can't be read: it counts as running in an unknown group.
    pub fn read(bytes: &[u8]) -> Option<EntryValue> {
        if let Ok(value) = postcard::from_bytes(bytes) {
            return Some(value);
        }
        let earlier: EarlierValue = postcard::from_bytes(bytes).ok()?;
        Some(EntryValue {
            request_id: earlier.request_id,
            group: earlier.group,
            runs_until_ms: earlier.runs_until_ms,
            dropped_until_ms: 0,
        })
    }
}
