//! Determines the ledger entries that a statement's executions require, from the settings of its workload.

use std::collections::HashMap;

use hallmux_config::Settings;
use hallmux_dispatcher::{DedupGroup, Effect, Micros, Site, StatementArrived};
use hallmux_ledger::{Key, Kind};
use serde::{Deserialize, Serialize};

/// Microseconds past a non-idempotent statement's deadline for which the ledger records that it was started.
/// Clients that retry a statement under the same id do so within seconds.
const START_RECORD_RETENTION: Micros = 60_000_000;
/// The largest difference between the clocks of two fronts that the ledger assumes, in microseconds.
pub(super) const MAX_CLOCK_SKEW: Micros = 500_000;

/// The group of engines within which repeats of a deduplicated statement are dropped. Part of the stored format
/// of entries: append only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineGroup {
    /// All engines.
    All,
    /// The engines of one location.
    Location(u32),
    /// The engines of one cell.
    Cell(u32),
}

/// The attribute by which engines are grouped.
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
    /// Microseconds past the statement's deadline for which the entry is needed.
    retention_after_deadline: Micros,
    /// Microseconds past the statement's end for which the entry is needed if the statement may have run or may
    /// still be running.
    pub retention_after_end: Micros,
    grouping: Grouping,
    /// Microseconds past the deadline after which an execution can't still be running.
    max_overrun: Micros,
}

impl Requirement {
    /// Unix milliseconds until which the entry must be held for an execution with the deadline `ends`.
    pub fn hold_until_ms(&self, ends: Micros) -> u64 {
        ((ends + self.retention_after_deadline + MAX_CLOCK_SKEW).max(0) / 1000) as u64
    }

    /// Unix milliseconds from which an execution with the deadline `ends` can't still be running.
    pub fn runs_until_ms(&self, ends: Micros) -> u64 {
        ((ends + self.max_overrun + MAX_CLOCK_SKEW).max(0) / 1000) as u64
    }

    /// The group that an engine at this site belongs to.
    pub fn group(&self, site: Site) -> EngineGroup {
        match self.grouping {
            Grouping::All => EngineGroup::All,
            Grouping::Location => EngineGroup::Location(site.location as u32),
            Grouping::Cell => EngineGroup::Cell(site.cell as u32),
        }
    }
}

/// The settings of a workload that determine the requirements of its statements.
struct Workload {
    /// Whether statements with the same order key run one at a time.
    in_order: bool,
    /// How engines drop repeats; None if they do not.
    dedup: Option<Deduplication>,
    /// Whether a statement must not run twice.
    non_idempotent: bool,
}

/// How engines drop repeats of a workload's statements.
#[derive(Clone, Copy)]
struct Deduplication {
    /// The dedup window: microseconds for which engines drop repeats.
    window: Micros,
    grouping: Grouping,
}

/// Determines the requirements of statements by the settings of their workloads.
pub(super) struct Requirements {
    workloads: HashMap<String, Workload>,
    order_gap: Micros,
}

impl Requirements {
    /// Collects the relevant settings of all workloads.
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

    /// Returns the requirements of a statement in the order in which they are claimed; empty if there are none.
    /// The order is the same on every front, so that no two statements wait for each other. `id` identifies the
    /// statement on every front where it is retried.
    pub fn for_statement(&self, statement: &StatementArrived, id: &str) -> Vec<Requirement> {
        let Some(workload) = self.workloads.get(&statement.workload) else {
            return Vec::new();
        };
        // The order key comes last: many statements claim the same one, and none may hold it while waiting for
        // an entry that only that statement needs.
        [
            self.dedup_key(workload, statement),
            self.start_record(workload, statement, id),
            self.order_key(workload, statement),
        ]
        .into_iter()
        .flatten()
        .collect()
    }

    /// The requirement that repeats of a deduplicated statement are sent only to the engine group that drops them.
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

    /// The requirement that a non-idempotent statement is started at most once.
    fn start_record(
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
            retention_after_deadline: START_RECORD_RETENTION,
            retention_after_end: START_RECORD_RETENTION,
            grouping: Grouping::All,
            max_overrun: self.order_gap,
        })
    }

    /// The requirement that executions with the same order key run one at a time. Order keys are shared by all
    /// workloads, as they are within one front.
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

/// Identifies the request that made an entry, and thereby the entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RequestId {
    /// When the requesting front started, in Unix milliseconds.
    pub started_ms: u64,
    /// The number of the request.
    pub number: u64,
}

/// The value of a ledger entry; entries of order keys have an empty value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EntryValue {
    /// The request that made the entry; distinguishes it from other entries of the key, also those of the same
    /// front.
    pub request_id: RequestId,
    /// The engine group in which the entry's executions run.
    pub group: EngineGroup,
    /// Unix milliseconds from which none of these executions can still be running.
    pub runs_until_ms: u64,
    /// For a dedup key: Unix milliseconds until which engines are sure to drop a repeat of the first execution,
    /// on the clock of any front. An earlier build writes no such field; its entries read as 0, because the time
    /// when their executions were sent is unknown.
    pub dropped_until_ms: u64,
}

/// The value as written by builds that lack `dropped_until_ms`. Those builds ignore trailing bytes, so they can
/// read the current format.
#[derive(Deserialize)]
struct EarlierValue {
    request_id: RequestId,
    group: EngineGroup,
    runs_until_ms: u64,
}

impl EntryValue {
    /// Encodes the value as stored in the ledger.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a value in the current or the earlier format. None if it can't be decoded; callers then treat the
    /// entry's executions as still running in an unknown group.
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
