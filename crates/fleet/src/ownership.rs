//! A front's part in the ownership of fleet-wide work: its lease requests, its vote if it is a voter, and the
//! fence that rejects the acts of former owners.

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

use refusal::OwnershipRefusal;

/// The fleet-wide work whose owner this module determines.
const TASK: Task = Task::Zones;
/// Maximum number of engines in an owner's act, so that the act fits in a report.
const MAX_RECOVERED: usize = 12;
/// Requests per second that all fronts together make for a lease without an owner.
const REQUESTS_PER_SECOND: f64 = 4.0;
/// Microseconds between checks for an active owner.
const CHECK_INTERVAL: Micros = 250_000;
/// Ticks of a voter per check interval: the clock of the voters' log ticks every 50 ms.
const VOTER_TICKS_PER_CHECK: Micros = 5;
/// Microseconds after an owner's act during which the owner counts as active.
const OWNER_ACTIVE_WINDOW: Micros = 2_000_000;

/// A voter and its listen address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterAddress {
    /// The id of the front that votes.
    pub id: PeerId,
    /// The voter's listen address.
    pub address: SocketAddr,
}

/// The operator's settings for ownership of fleet-wide work.
#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// The name of the fleet; messages of other fleets are refused.
    pub fleet: String,
    /// The voters, in the order in which the lease is requested from them.
    pub voters: Vec<VoterAddress>,
    /// The duration of leases.
    pub terms: LeaseTerms,
    /// The state that this voter's previous incarnation saved last; None only if there was no earlier
    /// incarnation.
    pub saved: Option<Vec<u8>>,
}

/// A lease that this front holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedLease {
    /// The fencing token of the lease.
    pub token: Token,
}

/// A voter state that must be durable before the datagrams of the same save are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterSave {
    /// The state that replaces the previously saved one; None if the state has not changed.
    pub bytes: Option<Vec<u8>>,
    /// The datagrams to send after this save and all earlier ones are durable.
    pub datagrams: Vec<Datagram>,
}

/// The state of a front's part in the ownership of fleet-wide work.
pub(crate) struct Ownership {
    local_id: PeerId,
    fleet: u64,
    voters: BTreeMap<PeerId, SocketAddr>,
    holder: Holder,
    voter: Option<Voter>,
    fence: Fence,
    /// The addresses of other fronts that have sent lease messages.
    addresses: BTreeMap<PeerId, SocketAddr>,
    /// Outputs of this front's voter that are not saved and sent yet.
    voter_outbox: Vec<voter::Output>,
    /// Lease requests that are not sent to voters yet.
    requests: Vec<AddressedEnvelope>,
    next_check: Micros,
    /// Whether this front currently requests the lease.
    requests_lease: bool,
    /// When an owner last acted, on the steady clock.
    last_owner_act: Micros,
    /// The recovered engines passed to the dispatcher, each with the token of the owner that reported it.
    announced: BTreeMap<u64, Token>,
    /// The number of refused acts and messages, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

impl Ownership {
    /// Creates the state of a front, which is a voter if the settings list it. Fails if the saved voter state can't
    /// be used.
    pub fn new(
        at: ClockReading,
        local_id: PeerId,
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
        if ids.contains(&local_id) {
            let config = VoterConfig {
                fleet,
                local_id,
                voters: ids.clone(),
                terms,
            };
            voter = Some(Voter::new(at.steady, config, saved.as_deref())?);
        }
        Ok(Ownership {
            local_id,
            fleet,
            voters: voters
                .into_iter()
                .map(|voter| (voter.id, voter.address))
                .collect(),
            // Request numbers start at the wall clock, so that replies to an earlier incarnation do not match.
            holder: Holder::new(TASK, terms, ids, at.wall_ms << 16),
            voter,
            fence: Fence::default(),
            addresses: BTreeMap::new(),
            voter_outbox: Vec::new(),
            requests: Vec::new(),
            next_check: 0,
            requests_lease: false,
            last_owner_act: Micros::MIN / 2,
            announced: BTreeMap::new(),
            refused: BTreeMap::new(),
        })
    }

    /// The lease that this front holds now; None if there is none, or a later owner was seen.
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

    /// Advances the voter, and requests or renews the lease. `up` is the number of fronts that are up.
    pub fn tick(
        &mut self,
        at: ClockReading,
        up: usize,
        dispatcher: &mut Dispatcher,
        random: &mut impl RandomSource,
    ) {
        let interval = if self.voter.is_some() {
            CHECK_INTERVAL / VOTER_TICKS_PER_CHECK
        } else {
            CHECK_INTERVAL
        };
        self.next_check = at.now + interval;
        if let Some(voter) = &mut self.voter {
            let output = voter.tick(at.steady);
            self.voter_outbox.push(output);
        }
        self.requests_lease = self.should_request_lease(at, interval, up, random);
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
            self.announce_recovered(at, token, &recovered, 0, dispatcher);
        }
    }

    /// Whether this front requests a lease without an active owner. The first requester can get the lease, so each
    /// front starts at random, at a rate of `REQUESTS_PER_SECOND` over all fronts that are up.
    fn should_request_lease(
        &self,
        at: ClockReading,
        interval: Micros,
        up: usize,
        random: &mut impl RandomSource,
    ) -> bool {
        let draw = random.below(1_000_000) as f64 / 1e6;
        let share = REQUESTS_PER_SECOND * interval as f64 / 1e6 / up.max(1) as f64;
        let owner_is_active = at.steady - self.last_owner_act <= OWNER_ACTIVE_WINDOW;
        !owner_is_active && (self.requests_lease || draw < share)
    }

    /// The engines that answer again, each with the time since its recovery; at most `MAX_RECOVERED`.
    fn recovered(&self, at: ClockReading, dispatcher: &Dispatcher) -> Vec<RecoveredEngine> {
        let since_ms =
            |since: Micros| ((at.now - since).max(0) / 1000).min(Micros::from(u32::MAX)) as u32;
        let recovered = dispatcher.recoveries(at.now).into_iter();
        recovered
            .map(|recovery| RecoveredEngine {
                engine: engine_hash(recovery.engine_id),
                since_ms: since_ms(recovery.since),
            })
            .take(MAX_RECOVERED)
            .collect()
    }

    /// The encoded list of recovered engines, which the voters pass to the next owner of the lease.
    fn progress(&self, at: ClockReading, dispatcher: &Dispatcher) -> Vec<u8> {
        postcard::to_stdvec(&self.recovered(at, dispatcher)).unwrap_or_default()
    }

    /// Counts a refused act or message.
    fn refuse(&mut self, reason: OwnershipRefusal) {
        *self.refused.entry(reason.name()).or_default() += 1;
    }
}
