//! A voter: an acceptor of the replicated log of leases (OmniPaxos), which grants leases while it
//! is the leader. The log alone decides who owns a lease. Time is used only to keep a leader from
//! proposing a new owner before the previous owner's lease has certainly expired.

mod log;

use std::collections::BTreeMap;

use hallmux_replica::{LogStore, MessageOrder};
use omnipaxos::OmniPaxos;

use crate::leases::{Change, Leases};
use crate::state::{DurableState, StateError};
use crate::{
    AddressedEnvelope, Envelope, FrontId, LeaseMessage, LeaseTerms, Micros, Reply, Request, Task,
};

/// Microseconds between ticks of the log library's clock.
const TICK_INTERVAL: Micros = 50_000;
/// Maximum size in bytes of the progress stored with a lease; requests with more are ignored.
const MAX_PROGRESS_BYTES: usize = 256;
/// Maximum number of requests that wait for the log at once; further ones are ignored.
const MAX_WAITING_REQUESTS: usize = 64;

/// The configuration of a voter.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// The fleet's fingerprint.
    pub fleet: u64,
    /// The front that the voter runs on.
    pub local_id: FrontId,
    /// All voters, in any order.
    pub voters: Vec<FrontId>,
    /// The duration of a lease and the clock drift it tolerates.
    pub terms: LeaseTerms,
}

/// A request whose change was proposed to the log and is not yet decided.
struct WaitingRequest {
    requester: FrontId,
    request: Request,
    /// When the voter stops waiting for the decision and sends no reply.
    expires_at: Micros,
}

/// The output of a call: the state to save, and the messages to send once it is durable.
#[derive(Default)]
pub struct Output {
    /// Replaces the state saved before; None if nothing changed. It must be durable before any of
    /// the messages of this call or a later one is sent.
    pub save: Option<Vec<u8>>,
    /// The messages to send.
    pub messages: Vec<AddressedEnvelope>,
}

/// One voter with its replica of the log.
pub struct Voter {
    fleet: u64,
    local_id: FrontId,
    /// All voters, sorted: the position of a voter, counted from 1, is its number in the log.
    voters: Vec<FrontId>,
    terms: LeaseTerms,
    log: OmniPaxos<Change, LogStore<Change>>,
    state: DurableState,
    /// Numbers sent log messages, and drops received ones that are out of order: they count as
    /// lost.
    message_order: MessageOrder,
    leases: Leases,
    /// The number of log entries applied to the leases.
    applied_entries: usize,
    /// When this voter last learned of a grant or renewal of each lease, on the local clock.
    last_confirmed: BTreeMap<Task, Micros>,
    /// When this voter became the leader; None while it is not.
    leading_since: Option<Micros>,
    started_at: Micros,
    next_tick: Micros,
    waiting: Vec<WaitingRequest>,
    outgoing: Vec<AddressedEnvelope>,
}

impl Voter {
    /// Starts a voter from the state that its previous incarnation saved last. `saved` may be None
    /// only if the voter has never run. Fails if the state is not usable or this front is not a
    /// voter.
    pub fn new(
        now: Micros,
        config: VoterConfig,
        saved: Option<&[u8]>,
    ) -> Result<Voter, StateError> {
        let VoterConfig {
            fleet,
            local_id,
            mut voters,
            terms,
        } = config;
        voters.sort_unstable();
        voters.dedup();
        let mut state = match saved {
            Some(saved) => DurableState::read(fleet, saved)?,
            None => DurableState::new(fleet),
        };
        state.start();
        let log = log::open_log(local_id, &voters, state.store.clone())?;
        let mut voter = Voter {
            fleet,
            local_id,
            voters,
            terms,
            log,
            state,
            message_order: MessageOrder::default(),
            leases: Leases::default(),
            applied_entries: 0,
            last_confirmed: BTreeMap::new(),
            leading_since: None,
            started_at: now,
            next_tick: now,
            waiting: Vec::new(),
            outgoing: Vec::new(),
        };
        voter.apply(now);
        Ok(voter)
    }

    /// The leases according to the log entries that are decided on this voter.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Whether this voter is the leader and ready to propose, as of the last call.
    pub fn is_leader(&self) -> bool {
        self.leading_since.is_some()
    }

    /// The number of log entries that are decided and applied on this voter.
    pub fn decided_entries(&self) -> usize {
        self.applied_entries
    }

    /// When `tick` is next due, on the caller's monotonic clock.
    pub fn due(&self) -> Micros {
        self.next_tick
    }

    /// Advances the log library's clock if a tick is due, and returns the state to save and
    /// messages to send.
    pub fn tick(&mut self, now: Micros) -> Output {
        if self.next_tick <= now {
            // Ticks missed during a pause are not made up: the log's clock counts only ticks that
            // ran.
            self.next_tick = now + TICK_INTERVAL;
            self.log.tick();
        }
        self.collect_output(now)
    }

    /// Handles a message whose sender `from` was verified by its signature. Messages of another
    /// fleet and log messages that do not come from the voter they name are ignored.
    pub fn receive(&mut self, now: Micros, from: FrontId, envelope: Envelope) -> Output {
        if envelope.fleet != self.fleet {
            return Output::default();
        }
        match envelope.message {
            LeaseMessage::Log {
                incarnation,
                number,
                message,
            } if self.matches_endpoints(&message, from) => {
                if self.message_order.accepts(from, incarnation, number) {
                    self.log.handle_incoming(*message);
                }
            }
            LeaseMessage::Request(request) => self.handle_request(now, from, request),
            LeaseMessage::Log { .. } | LeaseMessage::Unnumbered(_) | LeaseMessage::Reply(_) => {}
        }
        self.collect_output(now)
    }

    /// Handles a front's request for a lease or its renewal. The voter sends no reply if it knows
    /// no leader, is the leader but not ready, or finds the progress too long; the front then
    /// repeats the request.
    fn handle_request(&mut self, now: Micros, requester: FrontId, request: Request) {
        let number = request.number;
        let Some(leader) = self.leader() else { return };
        if leader != self.local_id {
            return self.reply(requester, Reply::NotLeader { number, leader });
        }
        let is_ready = self.leading_since.is_some() && self.waiting.len() < MAX_WAITING_REQUESTS;
        if !is_ready || request.progress.len() > MAX_PROGRESS_BYTES {
            return;
        }
        let Some(change) = self.change_for(now, requester, &request) else {
            return self.reply(requester, Reply::Denied { number });
        };
        if self.log.append(change).is_ok() {
            self.waiting.push(WaitingRequest {
                requester,
                request,
                expires_at: now + self.terms.length,
            });
        }
    }

    /// The change of the leases that grants a request; None if the request is denied.
    fn change_for(&self, now: Micros, requester: FrontId, request: &Request) -> Option<Change> {
        let lease = self.leases.get(request.task);
        let Some(token) = request.token else {
            return self.is_free(now, request.task).then_some(Change::Grant {
                task: request.task,
                previous_token: lease.map_or(0, |lease| lease.token),
                owner: requester,
                number: request.number,
            });
        };
        lease
            .filter(|lease| lease.token == token && lease.owner == requester)
            .map(|_| Change::Renew {
                task: request.task,
                token,
                number: request.number,
                progress: request.progress.clone(),
            })
    }

    /// Whether the last owner's lease has certainly expired, whichever voter confirmed it and when.
    /// The block must have passed since this voter became the leader, since it learned of the last
    /// confirmation, and since its own start.
    fn is_free(&self, now: Micros, task: Task) -> bool {
        let block_has_passed = |since: Micros| now >= since + self.terms.blocked_for();
        let since_leading = self.leading_since.is_some_and(block_has_passed);
        since_leading
            && self
                .last_confirmed
                .get(&task)
                .is_none_or(|at| block_has_passed(*at))
            && block_has_passed(self.started_at)
    }

    fn reply(&mut self, to: FrontId, reply: Reply) {
        self.send(to, LeaseMessage::Reply(reply));
    }

    fn send(&mut self, to: FrontId, message: LeaseMessage) {
        let fleet = self.fleet;
        let envelope = Envelope { fleet, message };
        self.outgoing.push(AddressedEnvelope { to, envelope });
    }

    /// Applies the entries that the log has decided, replies to the requests that waited for them,
    /// and collects the state to save and the messages to send.
    fn collect_output(&mut self, now: Micros) -> Output {
        self.apply(now);
        self.leading_since = if self.is_ready_leader() {
            self.leading_since.or(Some(now))
        } else {
            None
        };
        self.reply_to_waiting(now);
        self.send_log_messages();
        Output {
            save: self.state.take_unsaved(),
            messages: std::mem::take(&mut self.outgoing),
        }
    }

    /// Replies to waiting requests whose change the log has decided. Requests that are not decided
    /// in time get no reply.
    fn reply_to_waiting(&mut self, now: Micros) {
        for waiting in std::mem::take(&mut self.waiting) {
            let number = waiting.request.number;
            let granted = self
                .leases
                .get(waiting.request.task)
                .filter(|lease| lease.owner == waiting.requester && lease.number == number);
            if let Some(lease) = granted {
                let reply = Reply::Granted {
                    number,
                    token: lease.token,
                    progress: lease.progress.clone(),
                };
                self.reply(waiting.requester, reply);
            } else if now < waiting.expires_at {
                self.waiting.push(waiting);
            }
        }
    }
}
