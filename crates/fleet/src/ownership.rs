//! Ownership of the fleet's work, as one front takes part in it: its claim to the lease, its vote where it is
//! a voter, and the fence that owners' acts have to pass.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux_dispatcher::{Dispatcher, Micros};
use hallmux_gossip::channels::{Channel, ChannelMessage};
use hallmux_gossip::message::{OwnerAct, OwnershipReport, RecoveredEngine, ReportedLease};
use hallmux_gossip::node::{Datagram, Node};
use hallmux_gossip::{PeerId, RandomSource};
use hallmux_lease::disk::StateError;
use hallmux_lease::fence::{self, Fence, Refused};
use hallmux_lease::holder::Holder;
use hallmux_lease::voter::{self, Voter, VoterConfig};
use hallmux_lease::{
    fingerprint, AddressedEnvelope, AddressedRequest, Envelope, LeaseMessage, Task, Terms, Token,
    TokenOwner,
};

use crate::{engine_hash, ClockReading, Output};

const TASK: Task = Task::Zones;
/// Engines in an owner's act: they fit a report.
const MAX_RECOVERED: usize = 12;
/// Requests a second for a lease that nobody holds, of all fronts together.
const REQUESTS_PER_SECOND: f64 = 4.0;
/// Microseconds between checks of whether there is an owner.
const CHECK_INTERVAL: Micros = 250_000;
/// Ticks of a voter in that time: its log's clock ticks every 50 ms.
const VOTER_TICKS: Micros = 5;
/// Microseconds for which an owner's act shows that there is one.
const OWNER_SEEN: Micros = 2_000_000;

/// A voter, and where it listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterAddress {
    /// The front.
    pub id: PeerId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// How the operator has set up ownership of the fleet's work.
#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// The fleet's name; messages of another fleet are refused.
    pub fleet: String,
    /// The voters, in the order in which they are asked.
    pub voters: Vec<VoterAddress>,
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

/// Why an act or message about ownership was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ActRefusal {
    /// It can't be read.
    Form,
    /// It is meant for another fleet.
    Fleet,
    /// It is a reply of a front that is no voter.
    NoVoter,
    /// It is meant for a voter, which this front is not.
    NoVoterHere,
    /// A later owner was seen.
    Stale,
    /// No majority of voters has reported its token.
    Unknown,
}

impl ActRefusal {
    /// Its name in the log.
    fn name(self) -> &'static str {
        match self {
            ActRefusal::Form => "form",
            ActRefusal::Fleet => "fleet",
            ActRefusal::NoVoter => "no voter",
            ActRefusal::NoVoterHere => "no voter here",
            ActRefusal::Stale => "stale",
            ActRefusal::Unknown => "unknown",
        }
    }
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
    requests: Vec<AddressedEnvelope>,
    next_check: Micros,
    /// Whether this front requests the lease.
    requests_lease: bool,
    /// When an owner acted last, on the steady clock.
    owner_seen: Micros,
    /// Recovered engines that the dispatcher knows of, by the token of the owner that reported them.
    announced: BTreeMap<u64, Token>,
    /// Acts and messages that were refused, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

impl Ownership {
    /// An error says why the saved state can't be used.
    pub fn new(
        at: ClockReading,
        own: PeerId,
        config: OwnershipConfig,
    ) -> Result<Ownership, StateError> {
        let OwnershipConfig {
            fleet,
            voters,
            terms,
            saved,
        } = config;
        let ids: Vec<PeerId> = voters.iter().map(|voter| voter.id).collect();
        let fleet = fingerprint(&fleet, &ids);
        let mut voter = None;
        if ids.contains(&own) {
            let config = VoterConfig {
                fleet,
                own,
                voters: ids.clone(),
                terms,
            };
            voter = Some(Voter::new(at.steady, config, saved.as_deref())?);
        }
        Ok(Ownership {
            own,
            fleet,
            voters: voters
                .into_iter()
                .map(|voter| (voter.id, voter.address))
                .collect(),
            // The wall clock names this run: replies to an earlier one are not for it.
            holder: Holder::new(TASK, terms, ids, at.wall_ms << 16),
            voter,
            fence: Fence::default(),
            addresses: BTreeMap::new(),
            voter_outbox: Vec::new(),
            requests: Vec::new(),
            next_check: 0,
            requests_lease: false,
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
    pub fn receive(&mut self, at: ClockReading, message: &ChannelMessage) {
        let from = message.from;
        let Some(envelope) = hallmux_lease::read(&message.bytes) else {
            return self.refuse(ActRefusal::Form);
        };
        if envelope.fleet != self.fleet {
            return self.refuse(ActRefusal::Fleet);
        }
        self.addresses.insert(from, message.at);
        match (envelope.message, &mut self.voter) {
            (LeaseMessage::Reply(reply), _) if self.voters.contains_key(&from) => {
                self.holder.receive(&reply)
            }
            (LeaseMessage::Reply(_), _) => self.refuse(ActRefusal::NoVoter),
            (message, Some(voter)) => {
                let fleet = self.fleet;
                let output = voter.receive(at.steady, from, Envelope { fleet, message });
                self.voter_outbox.push(output);
            }
            (_, None) => self.refuse(ActRefusal::NoVoterHere),
        }
    }

    /// Runs the voter's clock, and asks for the lease or renews it. `up` is the number of fronts that are up.
    pub fn tick(
        &mut self,
        at: ClockReading,
        up: usize,
        dispatcher: &mut Dispatcher,
        random: &mut impl RandomSource,
    ) {
        let interval = if self.voter.is_some() {
            CHECK_INTERVAL / VOTER_TICKS
        } else {
            CHECK_INTERVAL
        };
        self.next_check = at.now + interval;
        if let Some(voter) = &mut self.voter {
            let output = voter.tick(at.steady);
            self.voter_outbox.push(output);
        }
        self.requests_lease = self.is_to_request_lease(at, interval, up, random);
        let progress = self.progress(at, dispatcher);
        let request = self
            .holder
            .next_request(at.steady, self.requests_lease, &progress);
        if let Some(AddressedRequest { to, request }) = request {
            let envelope = Envelope {
                fleet: self.fleet,
                message: LeaseMessage::Request(request),
            };
            self.requests.push(AddressedEnvelope { to, envelope });
        }
        if let Some(progress) = self.holder.inherited() {
            let recovered: Vec<RecoveredEngine> =
                postcard::from_bytes(&progress).unwrap_or_default();
            let token = self.holder.token(at.steady).unwrap_or_default();
            self.announce(at, token, &recovered, 0, dispatcher);
        }
    }

    /// Whether this front requests a lease that nobody seems to hold. The first to ask may have it: of all
    /// fronts a few a second begin to.
    fn is_to_request_lease(
        &self,
        at: ClockReading,
        interval: Micros,
        up: usize,
        random: &mut impl RandomSource,
    ) -> bool {
        let draw = random.below(1_000_000) as f64 / 1e6;
        let share = REQUESTS_PER_SECOND * interval as f64 / 1e6 / up.max(1) as f64;
        let owner_is_seen = at.steady - self.owner_seen <= OWNER_SEEN;
        !owner_is_seen && (self.requests_lease || draw < share)
    }

    /// Engines that answer again, and for how long.
    fn recovered(&self, at: ClockReading, dispatcher: &Dispatcher) -> Vec<RecoveredEngine> {
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

    fn progress(&self, at: ClockReading, dispatcher: &Dispatcher) -> Vec<u8> {
        postcard::to_stdvec(&self.recovered(at, dispatcher)).unwrap_or_default()
    }

    /// What this front reports of the fleet's work.
    pub fn report(&self, at: ClockReading, dispatcher: &Dispatcher) -> OwnershipReport {
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
    pub fn admit(&mut self, at: ClockReading, node: &Node, dispatcher: &mut Dispatcher) {
        if let Some(lease) = self.majority_lease(at, node) {
            self.fence.observe(TASK, lease);
        }
        for peer in node.ownership_reports(at.now) {
            if let Some(act) = &peer.ownership.act {
                self.admit_act(at, peer.reporter, act, peer.age, dispatcher);
            }
        }
    }

    /// The lease that a majority of the voters reports.
    fn majority_lease(&self, at: ClockReading, node: &Node) -> Option<TokenOwner> {
        let leases: BTreeMap<PeerId, TokenOwner> = node
            .ownership_reports(at.now)
            .filter(|peer| self.voters.contains_key(&peer.reporter))
            .filter_map(|peer| {
                let ReportedLease { token, owner } = peer.ownership.lease?;
                Some((peer.reporter, TokenOwner { token, owner }))
            })
            .collect();
        fence::majority(&leases, self.voters.len())
    }

    /// Takes in an owner's act, `age` microseconds old, where the fence admits it.
    fn admit_act(
        &mut self,
        at: ClockReading,
        reporter: PeerId,
        act: &OwnerAct,
        age: Micros,
        dispatcher: &mut Dispatcher,
    ) {
        let claimed = TokenOwner {
            token: act.token,
            owner: reporter,
        };
        match self.fence.admit(TASK, claimed) {
            Ok(()) => {
                self.owner_seen = self.owner_seen.max(at.steady - age);
                if reporter != self.own {
                    self.announce(at, act.token, &act.recovered, age, dispatcher);
                }
            }
            Err(Refused::Stale) => self.refuse(ActRefusal::Stale),
            Err(Refused::Unknown) => self.refuse(ActRefusal::Unknown),
        }
    }

    /// An owner reported, `age` microseconds ago, that engines answer again: the dispatcher learns of each
    /// once.
    fn announce(
        &mut self,
        at: ClockReading,
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
    pub fn send(&mut self, at: ClockReading, node: &mut Node, out: &mut Output) {
        for request in std::mem::take(&mut self.requests) {
            if request.to == self.own {
                self.request_of_own_voter(at, request.envelope);
                continue;
            }
            let to = self.voters.get(&request.to).copied();
            let datagram = to.and_then(|to| seal(at, node, to, &request.envelope));
            out.datagrams.extend(datagram);
        }
        for output in std::mem::take(&mut self.voter_outbox) {
            let datagrams = self.voter_datagrams(at, node, output.messages);
            if output.save.is_some() || !datagrams.is_empty() {
                out.voter_saves.push(VoterSave {
                    bytes: output.save,
                    datagrams,
                });
            }
        }
    }

    /// A request of this front to itself as a voter stays here.
    fn request_of_own_voter(&mut self, at: ClockReading, envelope: Envelope) {
        if let Some(voter) = &mut self.voter {
            let output = voter.receive(at.steady, self.own, envelope);
            self.voter_outbox.push(output);
        }
    }

    /// The datagrams with a voter's messages; its replies to this front itself are taken in.
    fn voter_datagrams(
        &mut self,
        at: ClockReading,
        node: &mut Node,
        messages: Vec<AddressedEnvelope>,
    ) -> Vec<Datagram> {
        let mut datagrams = Vec::new();
        for AddressedEnvelope { to, envelope } in messages {
            if let LeaseMessage::Reply(reply) = &envelope.message {
                if to == self.own {
                    self.holder.receive(reply);
                    continue;
                }
            }
            let address = self.voters.get(&to).or(self.addresses.get(&to)).copied();
            let datagram = address.and_then(|to| seal(at, node, to, &envelope));
            datagrams.extend(datagram);
        }
        datagrams
    }

    fn refuse(&mut self, why: ActRefusal) {
        *self.refused.entry(why.name()).or_default() += 1;
    }
}

/// Seals a lease message in a datagram. None where the channel's rate is exceeded.
fn seal(
    at: ClockReading,
    node: &mut Node,
    to: SocketAddr,
    envelope: &Envelope,
) -> Option<Datagram> {
    let bytes = hallmux_lease::bytes(envelope);
    node.channel_datagram(at.now, at.wall_ms, to, Channel::Lease, &bytes)
}
