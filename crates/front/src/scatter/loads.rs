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
const RUN_ON: Micros = 60_000_000;
/// Groups of tables that a load is marked for; statements are shorter than that.
const MOST_GROUPS: usize = 1_024;
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
            Load::Call(call) => tables::groups(&call.statement, MOST_GROUPS),
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
    writes: Vec<String>,
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
    pub fn new(writes: Vec<String>, locations: Vec<String>) -> Loads {
        Loads {
            marker: Marker::new(REQUEST_NUMBER_BASE),
            held: HashMap::new(),
            writes,
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
        ordered: &SendCommand,
        load: Load,
    ) -> bool {
        let SendCommand { place, terms, .. } = *ordered;
        let sent = ordered.id();
        if matches!(&load, Load::Call(call) if !self.writes.contains(&call.workload)) {
            return false;
        }
        let groups = load.groups();
        if groups.len() > MOST_GROUPS {
            // Not all could be marked.
            self.unmarked.push(sent);
            dispatcher.execution_held(now, sent.ticket, sent.number);
            return true;
        }
        if groups.is_empty() || load.text().is_some_and(|text| sql::read(text).is_ok()) {
            return false;
        }
        let by = |group| {
            load.text().map_or(Affected::Anything, |text| {
                Affected::of_statement(text, group)
            })
        };
        let of = |group| (group, by(group));
        let only = |touched: &Affected| matches!(touched, Affected::Rows { .. });
        let mut touched: std::collections::BTreeMap<u32, Affected> =
            groups.iter().map(|g| of(*g)).collect();
        // Rows for one table alone are rows for no other group.
        if touched.values().any(only) {
            touched.retain(|_, touched| only(touched));
        }
        let Some(site) = self.locations.get(dispatcher.site(place).location) else {
            return false;
        };
        let ends_ms = ((terms.deadline + RUN_ON).max(0) / 1000) as u64;
        self.marker.add_load(
            (u64::from(sent.ticket), sent.number),
            site,
            ends_ms,
            touched,
        );
        self.held.insert(sent, Held { place, terms, load });
        dispatcher.execution_held(now, sent.ticket, sent.number);
        true
    }

    /// An execution is given up. True if it was held.
    pub fn cancel(&mut self, sent: ExecutionId) -> bool {
        self.marker.cancel((u64::from(sent.ticket), sent.number));
        let before = self.unmarked.len();
        self.unmarked.retain(|unmarked| *unmarked != sent);
        self.held.remove(&sent).is_some() || self.unmarked.len() < before
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
            self.held
                .keys()
                .for_each(|sent| dispatcher.execution_held(now, sent.ticket, sent.number));
        }
    }

    /// What is to be asked of the ledger now, and what is known without asking.
    pub fn due_requests(&mut self, now: Micros, book: &SummaryStore) -> DueRequests {
        let wall_ms = (now / 1000) as u64;
        let (asks, follows) = self.marker.requests(wall_ms, |site, group| {
            book.reported_loads(wall_ms, site, group)
        });
        let mut outcomes: Vec<LoadOutcome> = follows.into_iter().map(|f| self.outcome(f)).collect();
        outcomes.extend(self.unmarked.drain(..).map(LoadOutcome::Reject));
        DueRequests {
            requests: asks.into_iter().map(ask).collect(),
            outcomes,
        }
    }

    /// What follows from an answer of the ledger.
    pub fn on_ledger_answer(&mut self, done: LedgerAnswer) -> Vec<LoadOutcome> {
        let said = match done.outcome {
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
            .on_reply(done.number, said)
            .into_iter()
            .map(|f| self.outcome(f))
            .collect()
    }

    fn outcome(&mut self, follows: Effect) -> LoadOutcome {
        let sent = |(ticket, number): marker::Waiter| ExecutionId::new(ticket as u32, number);
        match follows {
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

fn ask(ask: marker::LedgerRequest) -> LedgerRequest {
    let operation = match ask.what {
        marker::Operation::Read => Operation::Read,
        // It never ends: what it says of versions holds for good.
        marker::Operation::Put { expects, value } => Operation::Put {
            expects: Some(expects),
            ends_ms: 0,
            value,
        },
    };
    LedgerRequest {
        number: ask.number,
        key: Key {
            kind: Kind::Mark,
            name: key(ask.group),
        },
        operation,
    }
}
