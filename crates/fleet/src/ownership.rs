//! Ownership of the fleet's work, as one front takes part in it: its claim to the lease, its vote where it is
//! a voter, and the fence that owners' acts have to pass.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux_dispatcher::{Dispatcher, Micros};
use hallmux_gossip::channels::Channel;
use hallmux_gossip::message::{OwnerAct, OwnershipReport, RecoveredEngine, ReportedLease};
use hallmux_gossip::node::{Datagram, Node};
use hallmux_gossip::{PeerId, RandomSource};
use hallmux_lease::disk::StateError;
use hallmux_lease::fence::{self, Fence, Refused};
use hallmux_lease::holder::Holder;
use hallmux_lease::voter::{self, Voter};
use hallmux_lease::{fingerprint, Envelope, LeaseMessage, Task, Terms, Token, TokenOwner};

use crate::{engine_hash, Moment, Output};

const TASK: Task = Task::Zones;
const MAX_RECOVERED: usize = 12; // engines in an owner's act: they fit a report
const REQUESTS_A_SECOND: f64 = 4.0; // for a lease that nobody holds, of all fronts together
const CHECK_EVERY: Micros = 250_000; // microseconds between looks at whether there is an owner
const VOTER_TICKS: Micros = 5; // ticks of a voter in that time: its log's clock ticks every 50 ms
const OWNER_SEEN: Micros = 2_000_000; // microseconds for which an owner's act shows that there is one

/// How the operator has set up ownership of the fleet's work.
#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// The fleet's name; messages of another fleet are refused.
    pub fleet: String,
    /// The voters, and where each listens.
    pub voters: Vec<(PeerId, SocketAddr)>,
    /// How long a lease lasts.
    pub terms: Terms,
    /// The state that an earlier run of this voter saved last; None only where there was none.
    pub saved: Option<Vec<u8>>,
}

/// A lease that this front holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedLease {
    /// Its fencing token.
    pub token: Token,
}

/// A voter's state that must be durable before the datagrams beside it leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterSave {
    /// Replaces what was saved before; None if nothing changed.
    pub bytes: Option<Vec<u8>>,
    /// To be sent after the save, and after those before it.
    pub datagrams: Vec<Datagram>,
}

pub(crate) struct Ownership {
    own: PeerId,
    fleet: u64,
    voters: BTreeMap<PeerId, SocketAddr>,
    holder: Holder,
    voter: Option<Voter>,
    fence: Fence,
    /// Where other fronts that have sent lease messages listen.
    addresses: BTreeMap<PeerId, SocketAddr>,
    /// What this front's voter has to save and send.
    voter_outbox: Vec<voter::Output>,
    /// Lease requests to be sent to voters.
    requests: Vec<(PeerId, Envelope)>,
    next_check: Micros,
    /// Whether this front asks for the lease.
    claims: bool,
    /// When an owner acted last, on the steady clock.
    owner_seen: Micros,
    /// Recovered engines that the dispatcher knows of, by the token of the owner that reported them.
    announced: BTreeMap<u64, Token>,
    /// Acts and messages that were refused, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

impl Ownership {
    /// An error says why the saved state can't be used.
    pub fn new(at: Moment, own: PeerId, config: OwnershipConfig) -> Result<Ownership, StateError> {
        let OwnershipConfig {
            fleet,
            voters,
            terms,
            saved,
        } = config;
        let ids: Vec<PeerId> = voters.iter().map(|(id, _)| *id).collect();
        let fleet = fingerprint(&fleet, &ids);
        let voter = match ids.contains(&own) {
            true => Some(Voter::new(
                at.steady,
                fleet,
                own,
                &ids,
                terms,
                saved.as_deref(),
            )?),
            false => None,
        };
        Ok(Ownership {
            own,
            fleet,
            voters: voters.into_iter().collect(),
            // The wall clock names this run: replies to an earlier one are not for it.
            holder: Holder::new(TASK, terms, ids, at.wall_ms << 16),
            voter,
            fence: Fence::default(),
            addresses: BTreeMap::new(),
            voter_outbox: Vec::new(),
            requests: Vec::new(),
            next_check: 0,
            claims: false,
            owner_seen: Micros::MIN / 2,
            announced: BTreeMap::new(),
            refused: BTreeMap::new(),
        })
    }

    /// The lease that this front holds now, unless a later owner was seen.
    pub fn owned_lease(&self, steady: Micros) -> Option<OwnedLease> {
        let token = self.holder.token(steady)?;
        let later = self
            .fence
            .highest(TASK)
            .is_some_and(|highest| highest.token > token);
        (!later).then_some(OwnedLease { token })
    }

    /// When `tick` is next due, on the dispatcher's clock.
    pub fn due(&self) -> Micros {
        self.next_check
    }

    /// Takes in a message on the lease channel.
    pub fn receive(&mut self, at: Moment, from: PeerId, address: SocketAddr, bytes: &[u8]) {
        let Some(envelope) = hallmux_lease::read(bytes) else {
            return self.refuse("form");
        };
        if envelope.fleet != self.fleet {
            return self.refuse("fleet");
        }
        self.addresses.insert(from, address);
        match (envelope.message, &mut self.voter) {
            (LeaseMessage::Reply(reply), _) if self.voters.contains_key(&from) => {
                self.holder.receive(&reply)
            }
            (LeaseMessage::Reply(_), _) => self.refuse("no voter"),
            (message, Some(voter)) => {
                let out = voter.receive(
                    at.steady,
                    from,
                    Envelope {
                        fleet: self.fleet,
                        message,
                    },
                );
                self.voter_outbox.push(out);
            }
            (_, None) => self.refuse("no voter here"),
        }
    }

    /// Runs the voter's clock, and asks for the lease or renews it. `up` is the number of fronts that are up.
    pub fn tick(
        &mut self,
        at: Moment,
        up: usize,
        dispatcher: &mut Dispatcher,
        random: &mut impl RandomSource,
    ) {
        let wait = if self.voter.is_some() {
            CHECK_EVERY / VOTER_TICKS
        } else {
            CHECK_EVERY
        };
        self.next_check = at.now + wait;
        if let Some(voter) = &mut self.voter {
            let out = voter.tick(at.steady);
            self.voter_outbox.push(out);
        }
        // The first to ask may have it, as long as no owner is seen: of all fronts a few a second ask.
        let draw = random.below(1_000_000) as f64 / 1e6;
        let share = REQUESTS_A_SECOND * wait as f64 / 1e6 / up.max(1) as f64;
        self.claims = at.steady - self.owner_seen > OWNER_SEEN && (self.claims || draw < share);
        let progress = self.progress(at, dispatcher);
        if let Some((voter, request)) = self.holder.next_request(at.steady, self.claims, &progress)
        {
            self.requests.push((
                voter,
                Envelope {
                    fleet: self.fleet,
                    message: LeaseMessage::Request(request),
                },
            ));
        }
        if let Some(progress) = self.holder.inherited() {
            let recovered: Vec<RecoveredEngine> =
                postcard::from_bytes(&progress).unwrap_or_default();
            let token = self.holder.token(at.steady).unwrap_or_default();
            self.announce(at, token, &recovered, 0, dispatcher);
        }
    }

    /// Engines that answer again, and for how long.
    fn recovered(&self, at: Moment, dispatcher: &Dispatcher) -> Vec<RecoveredEngine> {
        let since_ms =
            |since: Micros| ((at.now - since).max(0) / 1000).min(Micros::from(u32::MAX)) as u32;
        let back = dispatcher.recovered(at.now).into_iter();
        back.map(|recovery| RecoveredEngine {
            engine: engine_hash(recovery.engine_id),
            since_ms: since_ms(recovery.since),
        })
        .take(MAX_RECOVERED)
        .collect()
    }

    fn progress(&self, at: Moment, dispatcher: &Dispatcher) -> Vec<u8> {
        postcard::to_stdvec(&self.recovered(at, dispatcher)).unwrap_or_default()
    }

    /// What this front reports of the fleet's work.
    pub fn report(&self, at: Moment, dispatcher: &Dispatcher) -> OwnershipReport {
        let lease = self
            .voter
            .as_ref()
            .and_then(|voter| voter.leases().of(TASK));
        let act = self.owned_lease(at.steady).map(|owned| OwnerAct {
            token: owned.token,
            recovered: self.recovered(at, dispatcher),
        });
        let lease = lease.map(|lease| ReportedLease {
            token: lease.token,
            owner: lease.owner,
        });
        OwnershipReport { lease, act }
    }

    /// Takes in what other fronts report: the owner that a majority of voters names, and what that owner has
    /// done.
    pub fn admit(&mut self, at: Moment, node: &Node, dispatcher: &mut Dispatcher) {
        let voters = node
            .ownership_reports(at.now)
            .filter(|peer| self.voters.contains_key(&peer.reporter));
        let leases: BTreeMap<PeerId, TokenOwner> = voters
            .filter_map(|peer| {
                let ReportedLease { token, owner } = peer.ownership.lease?;
                Some((peer.reporter, TokenOwner { token, owner }))
            })
            .collect();
        if let Some(lease) = fence::majority(&leases, self.voters.len()) {
            self.fence.observe(TASK, lease);
        }
        let acts: Vec<(PeerId, OwnerAct, Micros)> = node
            .ownership_reports(at.now)
            .filter_map(|peer| Some((peer.reporter, peer.ownership.act.clone()?, peer.age)))
            .collect();
        for (reporter, act, age) in acts {
            match self.fence.admit(
                TASK,
                TokenOwner {
                    token: act.token,
                    owner: reporter,
                },
            ) {
                Ok(()) => {
                    self.owner_seen = self.owner_seen.max(at.steady - age);
                    if reporter != self.own {
                        self.announce(at, act.token, &act.recovered, age, dispatcher);
                    }
                }
                Err(Refused::Stale) => self.refuse("stale"),
                Err(Refused::Unknown) => self.refuse("unknown"),
            }
        }
    }

    /// An owner reported, `age` microseconds ago, that engines answer again: the dispatcher learns of each
    /// once.
    fn announce(
        &mut self,
        at: Moment,
        token: Token,
        recovered: &[RecoveredEngine],
        age: Micros,
        dispatcher: &mut Dispatcher,
    ) {
        let known: Vec<u64> = dispatcher
            .recovered(at.now)
            .into_iter()
            .map(|recovery| engine_hash(recovery.engine_id))
            .collect();
        for RecoveredEngine { engine, since_ms } in recovered.iter().take(MAX_RECOVERED) {
            if !known.contains(engine) && self.announced.insert(*engine, token) != Some(token) {
                let since = at.now - age - Micros::from(*since_ms) * 1000;
                dispatcher.set_recovered_since(|id| engine_hash(id) == *engine, since);
            }
        }
        self.announced.retain(|engine, _| {
            known.contains(engine) || recovered.iter().any(|r| r.engine == *engine)
        });
    }

    /// Puts what there is to send into datagrams: a voter's behind what it has to save.
    pub fn send(&mut self, at: Moment, node: &mut Node, out: &mut Output) {
        let seal = |node: &mut Node, to, envelope: &Envelope| {
            node.channel_datagram(
                at.now,
                at.wall_ms,
                to,
                Channel::Lease,
                &hallmux_lease::bytes(envelope),
            )
        };
        let mut requests = std::mem::take(&mut self.requests);
        // What this front asks itself as a voter stays here.
        let own: Vec<Envelope> = requests
            .extract_if(.., |(to, _)| *to == self.own)
            .map(|(_, envelope)| envelope)
            .collect();
        for envelope in own {
            let answer = self
                .voter
                .as_mut()
                .map(|voter| voter.receive(at.steady, self.own, envelope));
            self.voter_outbox.extend(answer);
        }
        for (to, envelope) in requests {
            let to = self.voters.get(&to).copied();
            out.datagrams
                .extend(to.and_then(|to| seal(node, to, &envelope)));
        }
        for voted in std::mem::take(&mut self.voter_outbox) {
            let mut datagrams = Vec::new();
            for (to, envelope) in voted.messages {
                match envelope.message {
                    LeaseMessage::Reply(reply) if to == self.own => self.holder.receive(&reply),
                    _ => {
                        let to = self.voters.get(&to).or(self.addresses.get(&to)).copied();
                        datagrams.extend(to.and_then(|to| seal(node, to, &envelope)));
                    }
                }
            }
            if voted.save.is_some() || !datagrams.is_empty() {
                out.voter_saves.push(VoterSave {
                    bytes: voted.save,
                    datagrams,
                });
            }
        }
    }

    fn refuse(&mut self, why: &'static str) {
        *self.refused.entry(why).or_default() += 1;
    }
}
