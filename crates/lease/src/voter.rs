//! A voter: an acceptor of the replicated log of leases (OmniPaxos), which grants leases while it leads. The
//! log alone decides who owns what; time only keeps a leader from proposing a new owner before the one before
//! has surely stopped.

use std::collections::BTreeMap;

use hallmux_replica::{LogStore, MessageOrder};
use omnipaxos::messages::Message as LogMessage;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use crate::disk::{Disk, StateError};
use crate::leases::{Change, Leases};
use crate::{Envelope, FrontId, LeaseMessage, Micros, Reply, Request, Task, Terms};

const TICK: Micros = 50_000; // microseconds between ticks of the log's clock
/// 300 ms without a message of a leader: some round trips and a stall of a busy machine.
const ELECTION_TICKS: u64 = 6;
const RESEND_TICKS: u64 = 4; // 200 ms until a message counts as lost
/// Decided entries until the log is compacted into a snapshot: a follower far behind gets it whole.
const SNAPSHOT_AFTER: usize = 16;
const MAX_PROGRESS: usize = 256; // bytes of progress that go with a lease
const MAX_WAITING: usize = 64; // requests that wait for the log at once

/// A request that waits until the log has decided on it.
struct Waiting {
    requester: FrontId,
    request: Request,
    ends: Micros,
}

/// What a call gives out: what to save, and what to send once that is durable.
#[derive(Default)]
pub struct Output {
    /// Replaces what was saved before. Must be durable before any of the messages leaves, those of later
    /// calls too.
    pub save: Option<Vec<u8>>,
    /// To be sent, each to its front.
    pub messages: Vec<(FrontId, Envelope)>,
}

/// One voter, and its part of the log.
pub struct Voter {
    fleet: u64,
    own: FrontId,
    /// All voters in order: the place of each, counted from 1, is its number in the log.
    voters: Vec<FrontId>,
    terms: Terms,
    log: OmniPaxos<Change, LogStore<Change>>,
    disk: Disk,
    /// Messages that come out of order count as lost.
    order: MessageOrder,
    leases: Leases,
    applied: usize,
    /// When each lease was last confirmed, on this clock.
    confirmed: BTreeMap<Task, Micros>,
    /// Since when this voter leads.
    leading_since: Option<Micros>,
    started: Micros,
    next_tick: Micros,
    waiting: Vec<Waiting>,
    messages: Vec<(FrontId, Envelope)>,
}

impl Voter {
    /// `saved` is what an earlier run gave out to be saved last; None only where there was none. An error
    /// says why it can't be used, or that this front is no voter.
    pub fn new(
        now: Micros,
        fleet: u64,
        own: FrontId,
        voters: &[FrontId],
        terms: Terms,
        saved: Option<&[u8]>,
    ) -> Result<Voter, StateError> {
        let mut voters = voters.to_vec();
        voters.sort_unstable();
        voters.dedup();
        let mut disk = match saved {
            Some(saved) => Disk::read(fleet, saved)?,
            None => Disk::new(fleet),
        };
        disk.start();
        let number = |front: FrontId| {
            voters
                .iter()
                .position(|v| *v == front)
                .map(|n| n as u64 + 1)
        };
        let cluster_config = ClusterConfig {
            configuration_id: 1,
            nodes: (1..=voters.len() as u64).collect(),
            ..ClusterConfig::default()
        };
        let server_config = ServerConfig {
            pid: number(own).ok_or(StateError::Voters)?,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            ..ServerConfig::default()
        };
        let log = OmniPaxosConfig {
            cluster_config,
            server_config,
        }
        .build(disk.store.clone())
        .map_err(|_| StateError::Voters)?;
        let mut voter = Voter {
            fleet,
            own,
            voters,
            terms,
            log,
            disk,
            order: MessageOrder::default(),
            leases: Leases::default(),
            applied: 0,
            confirmed: BTreeMap::new(),
            leading_since: None,
            started: now,
            next_tick: now,
            waiting: Vec::new(),
            messages: Vec::new(),
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
    pub fn decided(&self) -> usize {
        self.applied
    }

    /// When `tick` is next due, on the caller's monotonic clock.
    pub fn due(&self) -> Micros {
        self.next_tick
    }

    /// Runs the log's clock where it is due, and gives what is to be saved and sent.
    pub fn tick(&mut self, now: Micros) -> Output {
        if self.next_tick <= now {
            // A voter that was paused does not catch up: the log's clock counts the ticks that it ran.
            self.next_tick = now + TICK;
            self.log.tick();
        }
        self.settle(now)
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
            } if self.is_from(&message, from) => {
                if self.order.accepts(from, incarnation, number) {
                    self.log.handle_incoming(*message);
                }
            }
            LeaseMessage::Request(request) => self.requested(now, from, request),
            LeaseMessage::Log { .. } | LeaseMessage::Unnumbered(_) | LeaseMessage::Reply(_) => {}
        }
        self.settle(now)
    }

    /// Whether a log message names its true sender and this voter: the library uses its numbers as places.
    fn is_from(&self, message: &LogMessage<Change>, from: FrontId) -> bool {
        let voter = |number: u64| {
            number
                .checked_sub(1)
                .and_then(|n| self.voters.get(n as usize))
                .copied()
        };
        voter(message.get_sender()) == Some(from) && voter(message.get_receiver()) == Some(self.own)
    }

    fn requested(&mut self, now: Micros, requester: FrontId, request: Request) {
        let number = request.number;
        let Some(leader) = self.leader() else { return };
        if leader != self.own {
            return self.reply(requester, Reply::NotLeader { number, leader });
        }
        if self.leading_since.is_none()
            || request.progress.len() > MAX_PROGRESS
            || self.waiting.len() >= MAX_WAITING
        {
            return; // requested again, it may be ready
        }
        let lease = self.leases.of(request.task);
        let change = match (request.token, lease) {
            (Some(token), Some(lease)) if lease.token == token && lease.owner == requester => {
                Change::Renew {
                    task: request.task,
                    token,
                    number,
                    progress: request.progress.clone(),
                }
            }
            (Some(_), _) => return self.reply(requester, Reply::Denied { number }),
            (None, lease) if self.is_free(now, request.task) => {
                let after = lease.map_or(0, |lease| lease.token);
                Change::Grant {
                    task: request.task,
                    after,
                    owner: requester,
                    number,
                }
            }
            (None, _) => return self.reply(requester, Reply::Denied { number }),
        };
        if self.log.append(change).is_ok() {
            self.waiting.push(Waiting {
                requester,
                request,
                ends: now + self.terms.length,
            });
        }
    }

    /// Whether the lease's last owner has surely stopped, whichever voter confirmed it and whenever: a leader
    /// counts from when it began to lead, and from when it learned of each confirmation.
    fn is_free(&self, now: Micros, task: Task) -> bool {
        let rested = |since: Micros| now >= since + self.terms.rests_for();
        let since_leading = self.leading_since.is_some_and(rested);
        since_leading
            && self.confirmed.get(&task).is_none_or(|at| rested(*at))
            && rested(self.started)
    }

    fn leader(&self) -> Option<FrontId> {
        let (number, _) = self.log.get_current_leader()?;
        number
            .checked_sub(1)
            .and_then(|n| self.voters.get(n as usize))
            .copied()
    }

    fn reply(&mut self, to: FrontId, reply: Reply) {
        self.messages.push((
            to,
            Envelope {
                fleet: self.fleet,
                message: LeaseMessage::Reply(reply),
            },
        ));
    }

    /// Applies what the log has decided, replies to requests that waited for it, and gathers what is to go
    /// out.
    fn settle(&mut self, now: Micros) -> Output {
        self.apply(now);
        let leads = self
            .log
            .get_current_leader()
            .is_some_and(|(_, ready)| ready)
            && self.leader() == Some(self.own);
        self.leading_since = if leads {
            self.leading_since.or(Some(now))
        } else {
            None
        };
        let waiting = std::mem::take(&mut self.waiting);
        for w in waiting {
            let lease = self.leases.of(w.request.task);
            let granted = lease.filter(|l| l.owner == w.requester && l.number == w.request.number);
            match granted.map(|l| (l.token, l.progress.clone())) {
                Some((token, progress)) => {
                    self.reply(
                        w.requester,
                        Reply::Granted {
                            number: w.request.number,
                            token,
                            progress,
                        },
                    );
                }
                None if now < w.ends => self.waiting.push(w),
                None => {} // the log has not decided in time: no reply
            }
        }
        let mut messages = Vec::new();
        self.log.take_outgoing_messages(&mut messages);
        for message in messages {
            let place = message
                .get_receiver()
                .checked_sub(1)
                .and_then(|n| self.voters.get(n as usize));
            if let Some(to) = place.copied().filter(|to| *to != self.own) {
                let (incarnation, number) = (self.disk.incarnation, self.order.number(&message));
                let message = LeaseMessage::Log {
                    incarnation,
                    number,
                    message: Box::new(message),
                };
                self.messages.push((
                    to,
                    Envelope {
                        fleet: self.fleet,
                        message,
                    },
                ));
            }
        }
        Output {
            save: self.disk.unsaved(),
            messages: std::mem::take(&mut self.messages),
        }
    }

    fn apply(&mut self, now: Micros) {
        let decided = self.log.get_decided_idx();
        if decided <= self.applied {
            return;
        }
        for entry in self
            .log
            .read_decided_suffix(self.applied)
            .unwrap_or_default()
        {
            match entry {
                LogEntry::Decided(change) => {
                    self.leases.apply(&change);
                    let (Change::Grant { task, .. } | Change::Renew { task, .. }) = change;
                    self.confirmed.insert(task, now);
                }
                LogEntry::Snapshotted(snapshotted) => {
                    self.leases = snapshotted.snapshot.leases();
                    let tasks: Vec<Task> = self.leases.all().map(|(task, _)| task).collect();
                    tasks
                        .into_iter()
                        .for_each(|task| _ = self.confirmed.insert(task, now));
                }
                LogEntry::Undecided(_) | LogEntry::Trimmed(_) | LogEntry::StopSign(..) => {}
            }
        }
        self.applied = decided;
        if decided.saturating_sub(self.log.get_compacted_idx()) >= SNAPSHOT_AFTER {
            // If it can't be compacted now, it is the next time.
            let _ = self.log.snapshot(Some(decided), true);
        }
    }
}
