//! Periodic work: bootstraps shards that have not started and, for shards that this front leads,
//! replaces missing replicas, moves replicas for balance, compares them and transfers leadership.

use crate::bootstrap::{Bootstrap, Step};
use crate::encoding::encode;
use crate::ledger::Ledger;
use crate::long_message::Pace;
use crate::members::{Configuration, ReplicaId, ReplicaIncarnation};
use crate::messages::LedgerMessage;
use crate::peer::Peer;
use crate::rebalance::Move;
use crate::records;
use crate::repair::{missing_member, spare_front, MissingMember, Repair};
use crate::replica::{Replica, FIRST_INDEX};
use crate::state::{Limits, State, StateAt};
use crate::{ClockReading, FrontId, Micros};

/// Microseconds between two runs of `maintain`, and between announcements to the same front.
pub(crate) const MAINTENANCE_INTERVAL: Micros = 250_000;
/// Fronts that are asked in one run whether a shard has started.
const PROBES_AT_ONCE: usize = 8;

impl Ledger {
    /// Starts to bootstrap the shards that are placed on this front and that it knows nothing of:
    /// either they have not started, or this front has lost its disk.
    pub(crate) fn start_bootstraps(&mut self) {
        let (local, replication_factor) = (self.local.front, self.setup.replication_factor);
        for view in &mut self.shards {
            let placed = view
                .ranked
                .iter()
                .take(replication_factor)
                .any(|front| *front == local);
            if placed
                && view.replica.is_none()
                && view.barred_config == 0
                && view.bootstrap.is_none()
            {
                view.bootstrap = Some(Bootstrap::default());
            }
        }
    }

    /// Takes the next step of bootstrapping a shard.
    pub(crate) fn advance_bootstrap(&mut self, at: ClockReading, shard: u16) {
        let local = ReplicaIncarnation {
            id: self.local,
            incarnation: self.transport.incarnation,
        };
        let replication_factor = self.setup.replication_factor;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let placed: Vec<FrontId> = view
            .ranked
            .iter()
            .take(replication_factor)
            .copied()
            .collect();
        let Some(bootstrap) = &mut view.bootstrap else {
            return;
        };
        match bootstrap.next_step(local, &placed, &view.ranked) {
            Step::Wait => {}
            Step::Agree(agreed) => {
                self.records.push(records::bootstrap(shard, &agreed));
                view.last_announced.clear();
                self.send_agreed(at, shard, &placed, &agreed);
                if placed.len() == 1 {
                    self.advance_bootstrap(at, shard);
                }
            }
            Step::Start(members) => {
                // The other fronts start once they learn that this front has agreed, so its
                // agreement is sent once more.
                let agreed = bootstrap.agreed().to_vec();
                self.send_agreed(at, shard, &placed, &agreed);
                let state = State::new(Limits::of(&self.setup));
                self.open_replica(
                    at,
                    shard,
                    Configuration { config: 1, members },
                    StateAt {
                        index: FIRST_INDEX,
                        state,
                    },
                );
            }
        }
    }

    /// Sends the replicas with which this front has agreed to start a shard to the fronts that it
    /// is placed on.
    fn send_agreed(
        &mut self,
        at: ClockReading,
        shard: u16,
        placed: &[FrontId],
        agreed: &[ReplicaIncarnation],
    ) {
        for to in placed.iter().filter(|front| **front != self.local.front) {
            let message = LedgerMessage::Available {
                shard,
                config: 0,
                agreed: agreed.to_vec(),
            };
            self.transport.send(at, *to, &message, Pace::Fast);
        }
    }

    /// Exchanges messages with the fronts that the start of a shard depends on.
    fn drive_bootstrap(&mut self, at: ClockReading, shard: u16) {
        let Some(view) = self.shards.get(usize::from(shard)) else {
            return;
        };
        let placed = view
            .ranked
            .iter()
            .take(self.setup.replication_factor)
            .copied();
        let members = view.members().iter().map(|member| member.front);
        let other_fronts: Vec<FrontId> = placed
            .chain(members)
            .filter(|to| *to != self.local.front)
            .collect();
        let without_offer = view.bootstrap.as_ref().filter(|_| view.config() == 0);
        let without_offer =
            without_offer.map(|bootstrap| bootstrap.without_offer(self.local.front, &view.ranked));
        let offset = (at.steady / MAINTENANCE_INTERVAL) as usize * PROBES_AT_ONCE;
        let without_offer = without_offer.unwrap_or_default();
        for n in 0..without_offer.len().min(PROBES_AT_ONCE) {
            self.probe(at, without_offer[(offset + n) % without_offer.len()], shard);
        }
        other_fronts
            .into_iter()
            .for_each(|to| self.announce(at, to, shard));
        self.advance_bootstrap(at, shard);
    }

    /// Runs the periodic work if it is due.
    pub(crate) fn maintain(&mut self, at: ClockReading) {
        if at.steady < self.next_maintenance {
            return;
        }
        self.next_maintenance = at.steady + MAINTENANCE_INTERVAL;
        self.update_placement(at.steady);
        // Any front on the list may have to read the saved data, and may run the previous build by
        // then.
        let other_fronts = self
            .setup
            .members
            .iter()
            .map(|member| member.front)
            .filter(|f| *f != self.local.front);
        self.proposal_format = self
            .setup
            .saved_format
            .min(self.transport.common_format_of_all(other_fronts));
        for shard in 0..self.setup.shards {
            let Some(view) = self.shards.get(usize::from(shard)) else {
                continue;
            };
            if view.bootstrap.is_some() {
                self.drive_bootstrap(at, shard);
            } else if view.replica.as_ref().is_some_and(Replica::is_leader) {
                self.replace_missing(at, shard);
                self.compare_replicas(at, shard);
                self.yield_leadership(at, shard);
            }
        }
    }

    /// Replaces a missing replica of a shard that this front leads, or moves one for balance.
    fn replace_missing(&mut self, at: ClockReading, shard: u16) {
        let now = at.steady;
        let Some(view) = self.shards.get(usize::from(shard)) else {
            return;
        };
        let (Some(replica), Some(since)) = (&view.replica, view.leader_since) else {
            return;
        };
        if let Some(repair) = view.repair {
            return self.advance_repair(now, shard, repair);
        }
        let peer = |front: FrontId| self.peers.get(&front).copied();
        let wait_until = |front, since| self.away.wait_until(&self.setup, front, since);
        let local = self.local.front;
        let missing = missing_member(now, since, wait_until, &replica.members, local, peer);
        let Some(MissingMember { leaving, returned }) = missing else {
            if let Some(Move {
                leaving,
                joining,
                deadline,
            }) = self.next_move(at, shard)
            {
                self.start_replacement(at, shard, leaving, joining, Some(deadline));
            }
            return;
        };
        if returned.is_none() {
            self.declare_gone(now, leaving.front);
        }
        match returned.or_else(|| self.spare_for(now, shard)) {
            Some(joining) => self.start_replacement(at, shard, leaving, joining, None),
            None => self.probe_spares(at, shard),
        }
    }

    /// Continues a replacement: aborts it, or proposes the new members once the new one has caught
    /// up.
    fn advance_repair(&mut self, now: Micros, shard: u16, repair: Repair) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(replica) = &mut view.replica else {
            return;
        };
        let joining = self.peers.get(&repair.joining.front);
        if repair.must_abort(now, replica.config, joining) {
            view.repair = None;
        } else if repair.caught_up_index.is_some() {
            replica.propose_members(now, repair.next(&replica.members));
            self.changed_shards.insert(shard);
        }
    }

    /// The front that is to replace a missing member, if a suitable one is up.
    fn spare_for(&self, now: Micros, shard: u16) -> Option<ReplicaId> {
        let view = self.shards.get(usize::from(shard))?;
        let replica = view.replica.as_ref()?;
        let peer = |front: FrontId| self.peers.get(&front).copied();
        let order: Vec<FrontId> = view
            .target_fronts
            .iter()
            .chain(&view.ranked)
            .copied()
            .collect();
        spare_front(now, &order, &replica.members, peer)
    }

    /// Asks fronts without a replica of the shard whether they can hold one, two per run.
    fn probe_spares(&mut self, at: ClockReading, shard: u16) {
        let Some(view) = self.shards.get(usize::from(shard)) else {
            return;
        };
        let Some(replica) = &view.replica else { return };
        let is_member =
            |front: &FrontId| replica.members.iter().any(|member| member.front == *front);
        let free: Vec<FrontId> = view
            .ranked
            .iter()
            .filter(|front| !is_member(front))
            .copied()
            .collect();
        let offset = (at.steady / MAINTENANCE_INTERVAL) as usize;
        for to in (0..free.len().min(2)).filter_map(|n| free.get((offset * 2 + n) % free.len())) {
            self.probe(at, *to, shard);
        }
    }

    /// Asks a front whether it can hold a replica of the shard.
    pub(crate) fn probe(&mut self, at: ClockReading, to: FrontId, shard: u16) {
        self.transport
            .send(at, to, &LedgerMessage::Probe { shard }, Pace::Fast);
    }

    /// Sends the state to the replica that is to replace another. `move_deadline` is set for a move
    /// for balance, and None if a replica is missing.
    fn start_replacement(
        &mut self,
        at: ClockReading,
        shard: u16,
        leaving: ReplicaId,
        joining: ReplicaId,
        move_deadline: Option<Micros>,
    ) {
        let Some(view) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(replica) = &view.replica else { return };
        let config = replica.config;
        let (index, bytes) = (replica.applied(), replica.state.bytes());
        let state = encode(&replica.state);
        let mut repair = Repair::new(
            at.steady,
            leaving,
            joining,
            config,
            bytes,
            self.setup.repair_bytes_per_s,
        );
        (repair.is_move, repair.deadline) = (
            move_deadline.is_some(),
            move_deadline.unwrap_or(repair.deadline),
        );
        view.repair = Some(repair);
        self.transport.send(
            at,
            joining.front,
            &LedgerMessage::Snapshot {
                shard,
                config,
                index,
                state,
            },
            Pace::Repair,
        );
    }

    /// The Unix time of a round: the median of the members' clocks, so that a member whose clock is
    /// far off does not expire entries of others.
    pub(crate) fn wall_ms(&self, at: ClockReading, shard: u16) -> u64 {
        let members = self
            .shards
            .get(usize::from(shard))
            .map_or(&[][..], |view| view.members());
        let other_fronts = members
            .iter()
            .filter(|member| member.front != self.local.front);
        let now = |peer: &Peer| peer.wall_ms + ((at.steady - peer.last_seen).max(0) / 1_000) as u64;
        let mut walls: Vec<u64> = other_fronts
            .filter_map(|k| self.peers.get(&k.front))
            .map(now)
            .collect();
        walls.push(at.wall_ms);
        walls.sort_unstable();
        walls[(walls.len() - 1) / 2]
    }
}
