//! A voter: an acceptor of the replicated log of leases (OmniPaxos), which grants leases while it leads. The
//! log alone decides who owns what; time only keeps a leader from proposing a new owner before the one before
//! has surely stopped.

mod log;

use std::collections::BTreeMap;

use hallmux_replica::{LogStore, MessageOrder};
use omnipaxos::OmniPaxos;

use crate::leases::{Change, Leases};
use crate::state::{DurableState, StateError};
use crate::{
    AddressedEnvelope, Envelope, FrontId, LeaseMessage, LeaseTerms, Micros, Reply, Request, Task,
};

/// Microseconds between ticks of the log's clock.
const TICK_INTERVAL: Micros = 50_000;
/// Bytes of progress that go with a lease.
const MAX_PROGRESS_BYTES: usize = 256;
/// Requests that wait for the log at once.
const MAX_WAITING_REQUESTS: usize = 64;

/// What a voter is part of.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// The fleet's fingerprint.
    pub fleet: u64,
    /// This front.
    pub local_id: FrontId,
    /// All voters, in any order.
    pub voters: Vec<FrontId>,
    /// How long a lease lasts.
    pub terms: LeaseTerms,
}

/// A request that waits until the log has decided on it.
struct WaitingRequest {
    requester: FrontId,
    request: Request,
    /// When it is given up.
    expires_at: Micros,
}

/// What a call gives out: what to save, and what to send once that is durable.
#[derive(Default)]
pub struct Output {
    /// Replaces what was saved before. Must be durable before any of the messages leaves, those of later
    /// calls too.
    pub save: Option<Vec<u8>>,
    /// To be sent, each to its front.
    pub messages: Vec<AddressedEnvelope>,
}

/// One voter, and its part of the log.
pub struct Voter {
    fleet: u64,
    local_id: FrontId,
    /// All voters in order: the place of each, counted from 1, is its number in the log.
    voters: Vec<FrontId>,
    terms: LeaseTerms,
    log: OmniPaxos<Change, LogStore<Change>>,
    state: DurableState,
    /// Messages that come out of order count as lost.
    message_order: MessageOrder,
    leases: Leases,
    /// How many entries of the log are applied to the leases.
    applied_entries: usize,
    /// When each lease was last confirmed, on this clock.
    last_confirmed: BTreeMap<Task, Micros>,
    /// Since when this voter leads.
    leading_since: Option<Micros>,
    started_at: Micros,
    next_tick: Micros,
    waiting: Vec<WaitingRequest>,
    outgoing: Vec<AddressedEnvelope>,
}

impl Voter {
    /// `saved` is what an earlier run gave out to be saved last; None only where there was none. An error
    /// says why it can't be used, or that this front is no voter.
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

    /// The leases, as far as the log is decided here.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Whether it leads now.
    pub fn is_leader(&self) -> bool {
        self.leading_since.is_some()
    }

    /// How many entries of the log are decided, as far as this voter knows.
    pub fn decided_entries(&self) -> usize {
        self.applied_entries
    }

    /// When `tick` is next due, on the caller's monotonic clock.
    pub fn due(&self) -> Micros {
        self.next_tick
    }

    /// Runs the log's clock where it is due, and gives what is to be saved and sent.
    pub fn tick(&mut self, now: Micros) -> Output {
        if self.next_tick <= now {
            // A voter that was paused does not catch up: the log's clock counts the ticks that it ran.
            self.next_tick = now + TICK_INTERVAL;
            self.log.tick();
        }
        self.collect_output(now)
    }

    /// A message has come from a front whose signature holds. It is ignored where it is for another fleet, or
    /// no voter's.
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

    /// A front requests a lease or its renewal. Without a reply it requests again, and this voter may be ready.
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

    /// The change of the leases that grants a request; None where it is denied.
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

    /// Whether the lease's last owner has surely stopped, whichever voter confirmed it and whenever: a leader
    /// counts from when it began to lead, and from when it learned of each confirmation.
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

    /// Applies what the log has decided, replies to requests that waited for it, and gathers what is to go
    /// out.
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

    /// Replies to requests that the log has granted. Those that it has not decided in time get no reply.
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
