//! Loads wait here until they are marked in the ledger, and scattered statements for the marks.

use std::collections::HashMap;
use std::rc::Rc;

use hallmux_dispatcher::{Dispatcher, Micros, Terms};
use hallmux_ledger::{Key, Kind, LedgerAnswer, LedgerRequest, Operation, Outcome};
use hallmux_native_codec::statement::Call;
use hallmux_native_codec::tables;
use hallmux_scatter::marker::{self, Effect, LedgerReply, Marker};
use hallmux_scatter::marks::{key, numbered, Affected};
use hallmux_scatter::sql;
use hallmux_scatter::store::SummaryStore;

use crate::execution::ExecutionId;
use crate::fleet::rules::SendCommand;

/// The highest byte of the numbers of this part's asks: others of one front have others.
pub const REQUEST_NUMBER_BASE: u64 = 3 << 56;
/// Microseconds beyond a statement's end for which an execution of it may run on.
const EXECUTION_OVERRUN: Micros = 60_000_000;
/// Groups of tables that a load is marked for; statements are shorter than that.
const MAX_TABLE_GROUPS: usize = 1_024;
/// Microseconds between reports to the dispatcher that an execution is still held.
const REPORT_INTERVAL: Micros = 100_000;

/// What an execution may write, as the protocol that it came in tells it.
pub enum Load {
    Call(Rc<Call>),
    /// A unit of a session: the groups that it may write to, and its text where that is all there is to it.
    Unit {
        groups: Vec<u32>,
        simple: Option<Vec<u8>>,
    },
}

impl Load {
    fn groups(&self) -> Vec<u32> {
        match self {
            Load::Call(call) => tables::groups(&call.statement, MAX_TABLE_GROUPS),
            Load::Unit { groups, .. } => groups.clone(),
        }
    }

    fn text(&self) -> Option<&[u8]> {
        match self {
            Load::Call(call) => Some(&call.statement),
            Load::Unit { simple, .. } => simple.as_deref(),
        }
    }
}

/// An execution that is held.
struct Held {
    place: usize,
    terms: Terms,
    load: Load,
}

/// What is to be asked of the ledger, and what became of loads meanwhile.
pub struct DueRequests {
    pub requests: Vec<LedgerRequest>,
    pub outcomes: Vec<LoadOutcome>,
}

/// Executions that wait until the marks of their loads are in the ledger.
pub struct Loads {
    marker: Marker,
    held: HashMap<ExecutionId, Held>,
    /// Workloads whose statements may write.
    writing_workloads: Vec<String>,
    locations: Vec<String>,
    last_report: Micros,
    /// Those that can't be marked, to be turned away.
    unmarked: Vec<ExecutionId>,
}

/// The form in which a load is sent.
pub enum Outgoing {
    Call(Rc<Call>),
    /// A session's unit, with this text where it is to have another.
    Unit(Option<Vec<u8>>),
}

/// What becomes of what waited.
pub enum LoadOutcome {
    /// It leaves, as it is to be sent.
    Send {
        execution_id: ExecutionId,
        place: usize,
        terms: Terms,
        outgoing: Outgoing,
    },
    Reject(ExecutionId),
    Other(Effect),
}

impl Loads {
    /// `writes` are the workloads whose statements may write, `locations` the sites' names.
    pub fn new(writing_workloads: Vec<String>, locations: Vec<String>) -> Loads {
        Loads {
            marker: Marker::new(REQUEST_NUMBER_BASE),
            held: HashMap::new(),
            writing_workloads,
            locations,
            last_report: 0,
            unmarked: Vec::new(),
        }
    }

    /// Holds an execution of what may write to groups of tables until it is marked. False: it needs no mark.
    pub fn hold(
        &mut self,
        now: Micros,
        dispatcher: &mut Dispatcher,
        command: &SendCommand,
        load: Load,
    ) -> bool {
        let SendCommand { place, terms, .. } = *command;
        let execution_id = command.id();
        if matches!(&load, Load::Call(call) if !self.writing_workloads.contains(&call.workload)) {
            return false;
        }
        let groups = load.groups();
        if groups.len() > MAX_TABLE_GROUPS {
            // Not all could be marked.
            self.unmarked.push(execution_id);
            dispatcher.execution_held(now, execution_id.ticket, execution_id.number);
            return true;
        }
        if groups.is_empty() || load.text().is_some_and(|text| sql::read(text).is_ok()) {
            return false;
        }
        let affected_by = |group| {
            load.text().map_or(Affected::Anything, |text| {
                Affected::of_statement(text, group)
            })
        };
        let group_entry = |group| (group, affected_by(group));
        let is_rows = |affected: &Affected| matches!(affected, Affected::Rows { .. });
        let mut affected: std::collections::BTreeMap<u32, Affected> =
            groups.iter().map(|g| group_entry(*g)).collect();
        // Rows for one table alone are rows for no other group.
        if affected.values().any(is_rows) {
            affected.retain(|_, affected| is_rows(affected));
        }
        let Some(site) = self.locations.get(dispatcher.site(place).location) else {
            return false;
        };
        let ends_ms = ((terms.deadline + EXECUTION_OVERRUN).max(0) / 1000) as u64;
        self.marker.add_load(
            (u64::from(execution_id.ticket), execution_id.number),
            site,
            ends_ms,
            affected,
        );
        self.held.insert(execution_id, Held { place, terms, load });
        dispatcher.execution_held(now, execution_id.ticket, execution_id.number);
        true
    }

    /// An execution is given up. True if it was held.
    pub fn cancel(&mut self, execution_id: ExecutionId) -> bool {
        self.marker
            .cancel((u64::from(execution_id.ticket), execution_id.number));
        let previous_len = self.unmarked.len();
        self.unmarked.retain(|unmarked| *unmarked != execution_id);
        self.held.remove(&execution_id).is_some() || self.unmarked.len() < previous_len
    }

    /// A scattered statement waits for the marks of its group.
    pub fn await_markers(&mut self, ticket: hallmux_dispatcher::Ticket, group: u32) {
        self.marker.await_marks(u64::from(ticket), group);
    }

    /// When something is due though no answer comes, in Unix microseconds.
    pub fn due(&self) -> Micros {
        if self.held.is_empty() {
            Micros::MAX
        } else {
            self.last_report + REPORT_INTERVAL
        }
    }

    /// Reports to the dispatcher, now and then, that what is held still is.
    pub fn report_held(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
        if self.last_report + REPORT_INTERVAL <= now {
            self.last_report = now;
            self.held.keys().for_each(|execution_id| {
                dispatcher.execution_held(now, execution_id.ticket, execution_id.number)
            });
        }
    }

    /// What is to be asked of the ledger now, and what is known without asking.
    pub fn due_requests(&mut self, now: Micros, store: &SummaryStore) -> DueRequests {
        let wall_ms = (now / 1000) as u64;
        let (requests, effects) = self.marker.requests(wall_ms, |site, group| {
            store.reported_loads(wall_ms, site, group)
        });
        let mut outcomes: Vec<LoadOutcome> = effects
            .into_iter()
            .map(|effect| self.apply_effect(effect))
            .collect();
        outcomes.extend(self.unmarked.drain(..).map(LoadOutcome::Reject));
        DueRequests {
            requests: requests.into_iter().map(ledger_request).collect(),
            outcomes,
        }
    }

    /// What follows from an answer of the ledger.
    pub fn on_ledger_answer(&mut self, answer: LedgerAnswer) -> Vec<LoadOutcome> {
        let reply = match answer.outcome {
            Outcome::Stands(entry) => LedgerReply::Stands {
                version: entry.version,
                value: entry.value,
            },
            Outcome::Held(entry) => LedgerReply::Held {
                version: entry.version,
                value: entry.value,
            },
            Outcome::Absent => LedgerReply::Absent,
            Outcome::Unreachable | Outcome::Full => LedgerReply::Unreachable,
        };
        self.marker
            .on_reply(answer.number, reply)
            .into_iter()
            .map(|effect| self.apply_effect(effect))
            .collect()
    }

    fn apply_effect(&mut self, effect: Effect) -> LoadOutcome {
        let sent = |(ticket, number): marker::Waiter| ExecutionId::new(ticket as u32, number);
        match effect {
            Effect::Send { load, numbers } => match self.held.remove(&sent(load)) {
                Some(Held {
                    place,
                    terms,
                    load: held,
                }) => {
                    let text = held.text().map(|text| numbered(&numbers, text));
                    let outgoing = match (held, text) {
                        (Load::Call(call), Some(statement)) => Outgoing::Call(Rc::new(Call {
                            statement,
                            ..Call::clone(&call)
                        })),
                        (_, text) => Outgoing::Unit(text),
                    };
                    LoadOutcome::Send {
                        execution_id: sent(load),
                        place,
                        terms,
                        outgoing,
                    }
                }
                None => LoadOutcome::Reject(sent(load)),
            },
            Effect::Reject { load } => {
                self.held.remove(&sent(load));
                LoadOutcome::Reject(sent(load))
            }
            other => LoadOutcome::Other(other),
        }
    }
}

fn ledger_request(request: marker::LedgerRequest) -> LedgerRequest {
    let operation = match request.what {
        marker::Operation::Read => Operation::Read,
        // It never ends: what it says of versions holds for good.
        marker::Operation::Put { expects, value } => Operation::Put {
            expects: Some(expects),
            ends_ms: 0,
            value,
        },
    };
    LedgerRequest {
        number: request.number,
        key: Key {
            kind: Kind::Mark,
            name: key(request.group),
        },
        operation,
    }
}
