//! What fronts report of the fleet's work: the lease in force, and what its owner has done.

use std::collections::BTreeMap;

use hallmux_dispatcher::{Dispatcher, Micros};
use hallmux_gossip::message::{OwnerAct, OwnershipReport, RecoveredEngine, ReportedLease};
use hallmux_gossip::node::Node;
use hallmux_gossip::PeerId;
use hallmux_lease::fence::{self, FenceError};
use hallmux_lease::{Token, TokenOwner};

use super::refusal::ActRefusal;
use super::{Ownership, MAX_RECOVERED, TASK};
use crate::{engine_hash, ClockReading};

impl Ownership {
    /// What this front reports of the fleet's work.
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
            Err(FenceError::Stale) => self.refuse(ActRefusal::Stale),
            Err(FenceError::Unknown) => self.refuse(ActRefusal::Unknown),
        }
    }

    /// An owner reported, `age` microseconds ago, that engines answer again: the dispatcher learns of each
    /// once.
    pub(super) fn announce(
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
}
