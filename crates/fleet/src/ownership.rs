//! Ownership of the fleet's work, as one front takes part in it: its claim to the lease, its vote where it is
//! a voter, and the fence that owners' acts have to pass.

mod acts;
mod messages;
mod refusal;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux_dispatcher::{Dispatcher, Micros};
use hallmux_gossip::message::RecoveredEngine;
use hallmux_gossip::node::Datagram;
use hallmux_gossip::{PeerId, RandomSource};
use hallmux_lease::fence::Fence;
use hallmux_lease::holder::{Holder, Intent};
use hallmux_lease::state::StateError;
use hallmux_lease::voter::{self, Voter, VoterConfig};
use hallmux_lease::{
    fingerprint, AddressedEnvelope, AddressedRequest, Envelope, LeaseMessage, LeaseTerms, Task,
    Token,
};

use crate::{engine_hash, ClockReading};

use refusal::ActRefusal;

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
    pub terms: LeaseTerms,
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

/// Ownership of the fleet's work as one front takes part in it.
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
                local_id: own,
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
        let intent = if self.requests_lease {
            Intent::Acquire
        } else {
            Intent::RenewOnly
        };
        let request = self.holder.next_request(at.steady, intent, &progress);
        if let Some(AddressedRequest { to, request }) = request {
            let envelope = Envelope {
                fleet: self.fleet,
                message: LeaseMessage::Request(request),
            };
            self.requests.push(AddressedEnvelope { to, envelope });
        }
        if let Some(progress) = self.holder.take_inherited_progress() {
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

    fn refuse(&mut self, why: ActRefusal) {
        *self.refused.entry(why.name()).or_default() += 1;
    }
}
