//! Ledger requests for load markers, on behalf of loads that wait until they are marked and of
//! scatters that wait for the markers of a group. A read serves only scatters that began before it
//! was sent. A group has at most one change in progress; all loads that wait share the next one.

use std::collections::{BTreeMap, BTreeSet};

use crate::load_markers::{Affected, LoadMarkers, ReportedLoads};

// The clock skew between fronts that gossip tolerates.
const MAX_CLOCK_SKEW_MS: u64 = 10_000;
// Changes of a batch that lost to other fronts; its loads are rejected then.
const MAX_PUT_ATTEMPTS: u32 = 16;

/// Identifies a waiting load, as the caller numbers executions.
pub type Waiter = (u64, usize);

/// Loads, and the number that each receives.
type Batch = Vec<(Waiter, u64)>;

/// A request for the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerRequest {
    /// Identifies the request; the reply has the same number.
    pub number: u64,
    /// The table group whose markers are read or changed.
    pub group: u32,
    /// What the ledger must do.
    pub operation: Operation,
}

/// An operation of the ledger on a group's markers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Return the current markers, linearizable with all changes.
    Read,
    /// Replace the markers if the entry has the expected version.
    Put {
        /// The version that the entry must have; 0 if there must be no entry.
        expected_version: u64,
        /// The markers, as [`crate::load_markers::LoadMarkers::bytes`] encodes them.
        value: Vec<u8>,
    },
}

/// The ledger's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerReply {
    /// The entry as it was read or written.
    Entry {
        /// The entry's version.
        version: u64,
        /// The entry's bytes.
        value: Vec<u8>,
    },
    /// A put was not executed because the entry has another version.
    Conflict {
        /// The entry's version.
        version: u64,
        /// The entry's bytes.
        value: Vec<u8>,
    },
    /// There is no entry.
    Absent,
    /// The outcome is unknown, or the ledger is full.
    Unreachable,
}

/// What the caller must do for a waiting load or scatter.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a load whose markers are replicated.
    Send {
        /// The load.
        load: Waiter,
        /// For each group that the load changes, the number under which it is marked.
        numbers: Vec<(u32, u64)>,
    },
    /// Reject a load that can't be marked; it must not be sent.
    Reject {
        /// The load.
        load: Waiter,
    },
    /// Continue scatters with the markers of a group.
    Markers {
        /// The table group whose markers were read.
        group: u32,
        /// The scatters that waited, by the tickets given to [`MarkerRequests::await_markers`].
        scatters: Vec<u64>,
        /// The markers as of a read that was sent after all these scatters began; None if the
        /// ledger can't be read.
        markers: Option<LoadMarkers>,
    },
}

struct Load {
    site: String,
    ends_ms: u64,
    /// Groups in which the load is not marked yet, and what it may change there.
    unmarked_groups: BTreeMap<u32, Affected>,
    numbers: Vec<(u32, u64)>,
}

#[derive(Default)]
struct Group {
    /// The version of the entry when it was last seen.
    version: u64,
    markers: LoadMarkers,
    queue: BTreeSet<Waiter>,
    /// The change in progress: its request number, its loads, and the markers as they will be.
    put: Option<(u64, Batch, LoadMarkers)>,
    put_attempts: u32,
    readers: Vec<u64>,
    read: Option<(u64, Vec<u64>)>,
}

/// The waiting loads and scatters of one front.
pub struct MarkerRequests {
    next_number: u64,
    loads: BTreeMap<Waiter, Load>,
    groups: BTreeMap<u32, Group>,
    requested: BTreeMap<u64, u32>,
}

impl MarkerRequests {
    /// Creates an empty state whose requests are numbered from `first`.
    pub fn new(first: u64) -> MarkerRequests {
        MarkerRequests {
            next_number: first,
            loads: BTreeMap::new(),
            groups: BTreeMap::new(),
            requested: BTreeMap::new(),
        }
    }

    /// Adds a load that waits until it is marked. It can't be running from `ends_ms` on.
    pub fn add_load(
        &mut self,
        load: Waiter,
        site: &str,
        ends_ms: u64,
        touched: BTreeMap<u32, Affected>,
    ) {
        for group in touched.keys() {
            self.groups.entry(*group).or_default().queue.insert(load);
        }
        let waiting_load = Load {
            site: site.to_string(),
            ends_ms,
            unmarked_groups: touched,
            numbers: Vec::new(),
        };
        self.loads.insert(load, waiting_load);
    }

    /// Removes a waiting load. Returns false if it was not waiting.
    pub fn cancel(&mut self, load: Waiter) -> bool {
        self.groups
            .values_mut()
            .for_each(|group| _ = group.queue.remove(&load));
        self.loads.remove(&load).is_some()
    }

    /// The loads that are not marked yet.
    pub fn waiting(&self) -> impl Iterator<Item = Waiter> + '_ {
        self.loads.keys().copied()
    }

    /// Adds a scatter that waits for the markers of a group.
    pub fn await_markers(&mut self, ticket: u64, group: u32) {
        self.groups.entry(group).or_default().readers.push(ticket);
    }

    /// The requests to send now, and the loads rejected because the markers are full. `wall_ms` is
    /// the Unix clock; `reported_loads` returns the loads that a site's summaries cover.
    pub fn requests<'a>(
        &mut self,
        wall_ms: u64,
        reported_loads: impl Fn(&str, u32) -> ReportedLoads<'a>,
    ) -> (Vec<LedgerRequest>, Vec<Effect>) {
        let (mut requests, mut effects) = (Vec::new(), Vec::new());
        for (&number, group) in &mut self.groups {
            if group.read.is_none() && !group.readers.is_empty() {
                // Scatters that begin from now on need the next read, since this one may be older
                // than they are.
                group.read = Some((self.next_number, std::mem::take(&mut group.readers)));
                self.requested.insert(self.next_number, number);
                requests.push(LedgerRequest {
                    number: self.next_number,
                    group: number,
                    operation: Operation::Read,
                });
                self.next_number += 1;
            }
            if group.put.is_some() || group.queue.is_empty() {
                continue;
            }
            let mut markers = group.markers.clone();
            markers.clean_up(wall_ms.saturating_sub(MAX_CLOCK_SKEW_MS), |site| {
                reported_loads(site, number)
            });
            let mut batch = Vec::new();
            for waiter in std::mem::take(&mut group.queue) {
                let Some(load) = self.loads.get(&waiter) else {
                    continue;
                };
                let Some(touched) = load.unmarked_groups.get(&number) else {
                    continue;
                };
                batch.push((
                    waiter,
                    markers.add(&load.site, load.ends_ms, touched.clone()),
                ));
            }
            markers.shrink_to_fit(|site| reported_loads(site, number));
            match markers.bytes() {
                _ if batch.is_empty() => {}
                None => reject_batch(&mut self.loads, batch, &mut effects),
                Some(value) => {
                    group.put = Some((self.next_number, batch, markers));
                    self.requested.insert(self.next_number, number);
                    let operation = Operation::Put {
                        expected_version: group.version,
                        value,
                    };
                    requests.push(LedgerRequest {
                        number: self.next_number,
                        group: number,
                        operation,
                    });
                    self.next_number += 1;
                }
            }
        }
        (requests, effects)
    }

    /// Handles the ledger's reply to a request.
    pub fn on_reply(&mut self, number: u64, reply: LedgerReply) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(group_number) = self.requested.remove(&number) else {
            return effects;
        };
        let Some(group) = self.groups.get_mut(&group_number) else {
            return effects;
        };
        if group
            .read
            .as_ref()
            .is_some_and(|(requested, _)| *requested == number)
        {
            let scatters = group
                .read
                .take()
                .map_or(Vec::new(), |(_, scatters)| scatters);
            let markers = match reply {
                LedgerReply::Entry { value, .. } | LedgerReply::Conflict { value, .. } => {
                    LoadMarkers::read(&value)
                }
                LedgerReply::Absent => Some(LoadMarkers::default()),
                LedgerReply::Unreachable => None,
            };
            effects.push(Effect::Markers {
                group: group_number,
                scatters,
                markers,
            });
            return effects;
        }
        let Some((_, batch, markers)) = group.put.take() else {
            return effects;
        };
        match reply {
            LedgerReply::Entry { version, .. } => {
                (group.version, group.markers, group.put_attempts) = (version, markers, 0);
                for (waiter, number) in batch {
                    let Some(load) = self.loads.get_mut(&waiter) else {
                        continue;
                    };
                    load.unmarked_groups.remove(&group_number);
                    load.numbers.push((group_number, number));
                    if load.unmarked_groups.is_empty() {
                        let numbers = std::mem::take(&mut load.numbers);
                        self.loads.remove(&waiter);
                        effects.push(Effect::Send {
                            load: waiter,
                            numbers,
                        });
                    }
                }
            }
            // Another front changed the entry first: retries on the basis of its version.
            LedgerReply::Conflict { version, value } => {
                group.put_attempts += 1;
                match LoadMarkers::read(&value).filter(|_| group.put_attempts < MAX_PUT_ATTEMPTS) {
                    Some(markers) => {
                        (group.version, group.markers) = (version, markers);
                        group
                            .queue
                            .extend(batch.into_iter().map(|(waiter, _)| waiter));
                    }
                    None => {
                        group.put_attempts = 0;
                        reject_batch(&mut self.loads, batch, &mut effects);
                    }
                }
            }
            LedgerReply::Absent if group.version > 0 => {
                (group.version, group.markers) = (0, LoadMarkers::default());
                group
                    .queue
                    .extend(batch.into_iter().map(|(waiter, _)| waiter));
            }
            LedgerReply::Absent | LedgerReply::Unreachable => {
                reject_batch(&mut self.loads, batch, &mut effects)
            }
        }
        effects
    }

    /// Whether nothing is waiting.
    pub fn is_idle(&self) -> bool {
        self.requested.is_empty()
            && self
                .groups
                .values()
                .all(|g| g.queue.is_empty() && g.readers.is_empty())
    }
}

fn reject_batch(loads: &mut BTreeMap<Waiter, Load>, batch: Batch, effects: &mut Vec<Effect>) {
    for (load, _) in batch {
        if loads.remove(&load).is_some() {
            effects.push(Effect::Reject { load });
        }
    }
}

#[cfg(test)]
#[path = "marker_requests_tests.rs"]
mod tests;
