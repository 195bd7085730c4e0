//! What a front requests of the ledger for marks: loads that wait until they are marked, and scatters that wait for a word on a
//! group that is requested for after they came. One change of a group's entry at a time; all that waits shares it.

use std::collections::{BTreeMap, BTreeSet};

use crate::load_markers::{Affected, LoadMarkers, ReportedLoads};

const MAX_CLOCK_SKEW_MS: u64 = 10_000; // milliseconds that fronts' clocks may be apart, as gossip has it
const MAX_PUT_ATTEMPTS: u32 = 16; // changes of one batch that others' got before; then its loads are turned away

/// Who waits: a load's execution or a scatter, as the caller knows it.
pub type Waiter = (u64, usize);

/// LoadNumbers, and the number that each gets.
type Batch = Vec<(Waiter, u64)>;

/// What is to be requested of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerRequest {
    /// Identifies the request; the reply comes under the same number.
    pub number: u64,
    /// The table group whose marks are read or changed.
    pub group: u32,
    /// What is to be done.
    pub operation: Operation,
}

/// What the ledger is to do with a group's marks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Return the marks as they stand, in one order with all changes.
    Read,
    /// 0: there is none yet.
    Put {
        /// The version that the entry has to have for the put to be done.
        expected_version: u64,
        /// The marks, as [`crate::load_markers::LoadMarkers::bytes`] writes them.
        value: Vec<u8>,
    },
}

/// What the ledger answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerReply {
    /// The entry as read, or as a put has left it.
    Entry {
        /// The entry's version.
        version: u64,
        /// The entry's bytes.
        value: Vec<u8>,
    },
    /// A put was not done: the entry has another version than expected.
    Conflict {
        /// The entry's version.
        version: u64,
        /// The entry's bytes.
        value: Vec<u8>,
    },
    /// There is no entry.
    Absent,
    /// It may stand or not, or there is no room.
    Unreachable,
}

/// What effects for those that waited.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A load's marks stand: it leaves with these numbers.
    Send {
        /// The load.
        load: Waiter,
        /// For each group that it touches the number under which it is marked.
        numbers: Vec<(u32, u64)>,
    },
    /// A load can't be marked: it must not leave.
    Reject {
        /// The load.
        load: Waiter,
    },
    /// The word on a group, for scatters. None: there is none to have.
    Markers {
        /// The table group that was asked about.
        group: u32,
        /// The scatters that waited, by the tickets given to [`Marker::await_marks`].
        scatters: Vec<u64>,
        /// The marks as the ledger has them after all these scatters came.
        markers: Option<LoadMarkers>,
    },
}

struct Load {
    site: String,
    ends_ms: u64,
    /// Groups that are not marked yet, and what it may have touched there.
    unmarked_groups: BTreeMap<u32, Affected>,
    numbers: Vec<(u32, u64)>,
}

#[derive(Default)]
struct Group {
    /// The entry as it was seen last.
    version: u64,
    markers: LoadMarkers,
    queue: BTreeSet<Waiter>,
    /// The change that is requested for: its number, loads and the marks as they will be.
    put: Option<(u64, Batch, LoadMarkers)>,
    put_attempts: u32,
    readers: Vec<u64>,
    read: Option<(u64, Vec<u64>)>,
}

/// All of one front.
pub struct MarkerRequests {
    next_number: u64,
    loads: BTreeMap<Waiter, Load>,
    groups: BTreeMap<u32, Group>,
    requested: BTreeMap<u64, u32>,
}

impl MarkerRequests {
    /// Its requests are numbered from the number given.
    pub fn new(first: u64) -> MarkerRequests {
        MarkerRequests {
            next_number: first,
            loads: BTreeMap::new(),
            groups: BTreeMap::new(),
            requested: BTreeMap::new(),
        }
    }

    /// A load waits to leave for a site; it can't be running any more from `ends_ms` on.
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

    /// A load waits no longer. False if it did not.
    pub fn cancel(&mut self, load: Waiter) -> bool {
        self.groups
            .values_mut()
            .for_each(|group| _ = group.queue.remove(&load));
        self.loads.remove(&load).is_some()
    }

    /// The loads that have yet to be marked.
    pub fn waiting(&self) -> impl Iterator<Item = Waiter> + '_ {
        self.loads.keys().copied()
    }

    /// A scatter waits for the word on a group.
    pub fn await_markers(&mut self, ticket: u64, group: u32) {
        self.groups.entry(group).or_default().readers.push(ticket);
    }

    /// What is to be requested now. `wall_ms` is the Unix clock; summaries lift what they speak beyond.
    pub fn requests<'a>(
        &mut self,
        wall_ms: u64,
        reported_loads: impl Fn(&str, u32) -> ReportedLoads<'a>,
    ) -> (Vec<LedgerRequest>, Vec<Effect>) {
        let (mut requests, mut effects) = (Vec::new(), Vec::new());
        for (&number, group) in &mut self.groups {
            if group.read.is_none() && !group.readers.is_empty() {
                // Those that come from now on are for the next one: this one may be older than they are.
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

    /// The ledger has answered an ask.
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
            // Another front was before: once more on what it has left.
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

    /// Whether nothing waits.
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
