//! Ownership reports: the lease in force as voters know it, and the acts of its owner.

use std::collections::BTreeMap;

use hallmux_dispatcher::{Dispatcher, Micros};
use hallmux_gossip::message::{OwnerAct, OwnershipReport, RecoveredEngine, ReportedLease};
use hallmux_gossip::node::Node;
use hallmux_gossip::PeerId;
use hallmux_lease::fence::{self, FenceError};
use hallmux_lease::{Token, TokenOwner};

use super::refusal::OwnershipRefusal;
use super::{Ownership, MAX_RECOVERED, TASK};
use crate::{engine_hash, ClockReading};

impl Ownership {
    /// Builds this front's ownership report: the lease known to its voter, and its act if it is the owner.
    pub fn report(&self, at: ClockReading, dispatcher: &Dispatcher) -> OwnershipReport {
        let lease = self
            .voter
            .as_ref()
            .and_then(|voter| voter.leases().get(TASK));
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

    /// Applies the ownership reports of other fronts: the owner reported by a majority of voters, and the acts of
    /// owners.
    pub fn apply_reports(&mut self, at: ClockReading, node: &Node, dispatcher: &mut Dispatcher) {
        if let Some(lease) = self.majority_lease(at, node) {
            self.fence.observe(TASK, lease);
        }
        for peer in node.ownership_reports(at.now) {
            if let Some(act) = &peer.ownership.act {
                self.apply_owner_act(at, peer.reporter, act, peer.age, dispatcher);
            }
        }
    }

    /// The lease that a majority of the voters reports, if there is one.
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

    /// Applies an owner's act, reported `age` microseconds ago, if the fence admits its token.
    fn apply_owner_act(
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
                self.last_owner_act = self.last_owner_act.max(at.steady - age);
                if reporter != self.local_id {
                    self.announce_recovered(at, act.token, &act.recovered, age, dispatcher);
                }
            }
            Err(FenceError::Stale) => self.refuse(OwnershipRefusal::StaleToken),
            Err(FenceError::Unknown) => self.refuse(OwnershipRefusal::UnknownToken),
        }
    }

    /// Notifies the dispatcher of engines that, as an owner reported `age` microseconds ago, answer again. Each
    /// engine is announced once per token.
    pub(super) fn announce_recovered(
        &mut self,
        at: ClockReading,
        token: Token,
        recovered: &[RecoveredEngine],
        age: Micros,
        dispatcher: &mut Dispatcher,
    ) {
        let known: Vec<u64> = dispatcher
            .recoveries(at.now)
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
}
