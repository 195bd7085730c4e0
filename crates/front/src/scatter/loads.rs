//! Holds loads (executions that may write) until their load markers are in the ledger, and requests
//! load markers for scattered statements.

use std::collections::HashMap;
use std::rc::Rc;

use hallmux_dispatcher::{Dispatcher, Micros, Terms};
use hallmux_ledger::{Key, Kind, LedgerAnswer, LedgerRequest, Operation, Outcome};
use hallmux_native_codec::statement::Call;
use hallmux_native_codec::tables;
use hallmux_scatter::load_markers::{ledger_key, with_load_numbers, Affected};
use hallmux_scatter::marker_requests::{self, Effect, LedgerReply, MarkerRequests};
use hallmux_scatter::sql;
use hallmux_scatter::store::SummaryStore;

use crate::execution::ExecutionId;
use crate::fleet::rules::SendCommand;

/// First number of the ledger requests for load markers. Its highest byte identifies them among the
/// front's components.
pub const REQUEST_NUMBER_BASE: u64 = 3 << 56;
/// Microseconds beyond a statement's deadline for which an execution of it may continue to run.
const EXECUTION_OVERRUN: Micros = 60_000_000;
/// Maximum number of table groups that a load is marked for. Statements are too short to name more.
const MAX_TABLE_GROUPS: usize = 1_024;
/// Microseconds between reports to the dispatcher that an execution is still held.
const REPORT_INTERVAL: Micros = 100_000;

/// What an execution may write, as far as its protocol shows.
pub enum Load {
    Call(Rc<Call>),
    /// A unit of a session: the table groups that it may write to, and its text if it consists of a
    /// simple query only.
    Unit {
        groups: Vec<u32>,
        simple: Option<Vec<u8>>,
    },
}

impl Load {
    /// Returns the table groups that the load may write to.
    fn groups(&self) -> Vec<u32> {
        match self {
            Load::Call(call) => tables::groups(&call.statement, MAX_TABLE_GROUPS),
            Load::Unit { groups, .. } => groups.clone(),
        }
    }

    /// Returns the text of the load; None for a unit that is not a simple query.
    fn text(&self) -> Option<&[u8]> {
        match self {
            Load::Call(call) => Some(&call.statement),
            Load::Unit { simple, .. } => simple.as_deref(),
        }
    }
}

/// An execution that is held until its load is marked.
struct Held {
    place: usize,
    terms: Terms,
    load: Load,
}

/// Requests to send to the ledger, and outcomes that need no request.
pub struct DueRequests {
    pub requests: Vec<LedgerRequest>,
    pub outcomes: Vec<LoadOutcome>,
}

/// Executions that wait until their load markers are in the ledger.
pub struct Loads {
    marker: MarkerRequests,
    held: HashMap<ExecutionId, Held>,
    /// Workloads whose statements may write.
    writing_workloads: Vec<String>,
    locations: Vec<String>,
    last_report: Micros,
    /// Executions that can't be marked, to be rejected.
    unmarked: Vec<ExecutionId>,
}

/// The form in which a load is sent.
pub enum Outgoing {
    Call(Rc<Call>),
    /// A session's unit. Its text is replaced by this one, if there is one.
    Unit(Option<Vec<u8>>),
}

/// What follows for an execution that was held, or for scattered statements that wait for load markers.
pub enum LoadOutcome {
    /// The load is marked, and its execution is sent in this form.
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
    /// `writing_workloads` are the workloads whose statements may write, `locations` the names of
    /// the sites.
    pub fn new(writing_workloads: Vec<String>, locations: Vec<String>) -> Loads {
        Loads {
            marker: MarkerRequests::new(REQUEST_NUMBER_BASE),
            held: HashMap::new(),
            writing_workloads,
            locations,
            last_report: 0,
            unmarked: Vec::new(),
        }
    }

    /// Holds an execution that may write until its load is marked. Returns false if it needs no
    /// load marker.
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
            // Not all its groups could be marked, so that it is rejected.
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
        // A statement whose affected rows are known writes to the table of those rows only, and to
        // no other group.
        if affected.values().any(is_rows) {
            affected.retain(|_, affected| is_rows(affected));
        }
        let Some(site) = self.locations.get(dispatcher.engine_site(place).location) else {
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

    /// Cancels an execution. Returns true if it was held, so it was never sent.
    pub fn cancel(&mut self, execution_id: ExecutionId) -> bool {
        self.marker
            .cancel((u64::from(execution_id.ticket), execution_id.number));
        let previous_len = self.unmarked.len();
        self.unmarked.retain(|unmarked| *unmarked != execution_id);
        self.held.remove(&execution_id).is_some() || self.unmarked.len() < previous_len
    }

    /// Requests the load markers of a table group for a scattered statement.
    pub fn await_markers(&mut self, ticket: hallmux_dispatcher::Ticket, group: u32) {
        self.marker.await_markers(u64::from(ticket), group);
    }

    /// When `report_held` must run even if no answer arrives, in Unix microseconds.
    pub fn due(&self) -> Micros {
        if self.held.is_empty() {
            Micros::MAX
        } else {
            self.last_report + REPORT_INTERVAL
        }
    }

    /// Reports to the dispatcher every `REPORT_INTERVAL` that the held executions are still held.
    pub fn report_held(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
        if self.last_report + REPORT_INTERVAL <= now {
            self.last_report = now;
            self.held.keys().for_each(|execution_id| {
                dispatcher.execution_held(now, execution_id.ticket, execution_id.number)
            });
        }
    }

    /// Returns the requests to send to the ledger now, and the outcomes that need no request.
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

    /// Returns the outcomes that follow from an answer of the ledger.
    pub fn on_ledger_answer(&mut self, answer: LedgerAnswer) -> Vec<LoadOutcome> {
        let reply = match answer.outcome {
            Outcome::Stands(entry) => LedgerReply::Entry {
                version: entry.version,
                value: entry.value,
            },
            Outcome::Held(entry) => LedgerReply::Conflict {
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
        let sent =
            |(ticket, number): marker_requests::Waiter| ExecutionId::new(ticket as u32, number);
        match effect {
            Effect::Send { load, numbers } => match self.held.remove(&sent(load)) {
                Some(Held {
                    place,
                    terms,
                    load: held,
                }) => {
                    let text = held.text().map(|text| with_load_numbers(&numbers, text));
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

/// Converts a marker's request to one to the ledger.
fn ledger_request(request: marker_requests::LedgerRequest) -> LedgerRequest {
    let operation = match request.operation {
        marker_requests::Operation::Read => Operation::Read,
        // The entry never expires, because what it states about versions stays valid.
        marker_requests::Operation::Put {
            expected_version,
            value,
        } => Operation::Put {
            expects: Some(expected_version),
            ends_ms: 0,
            value,
        },
    };
    LedgerRequest {
        number: request.number,
        key: Key {
            kind: Kind::Mark,
            name: ledger_key(request.group),
        },
        operation,
    }
}
