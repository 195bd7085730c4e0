//! The methods of [`Exchange`] for the replicated ledger.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux_gossip::PeerId;
use hallmux_ledger as ledger;

use super::{ClockReading, Exchange, LedgerNode, Output};

impl Exchange {
    /// Enables the ledger; `addresses` are the listen addresses of its members. Fails if the setup or the saved
    /// records can't be used.
    pub fn enable_ledger(
        &mut self,
        at: ClockReading,
        setup: ledger::Setup,
        addresses: BTreeMap<PeerId, SocketAddr>,
        saved: Option<ledger::Saved>,
    ) -> Result<(), ledger::Error> {
        self.ledger = Some(LedgerNode::new(at, setup, addresses, saved)?);
        Ok(())
    }

    /// Applies a changed member list of the operator. Fails without any change if the list can't be used.
    pub fn set_ledger_members(
        &mut self,
        at: ClockReading,
        members: Vec<ledger::Member>,
        addresses: BTreeMap<PeerId, SocketAddr>,
    ) -> Result<(), ledger::Error> {
        self.ledger
            .as_mut()
            .map_or(Ok(()), |ledger| ledger.set_members(at, members, addresses))
    }

    /// Submits a request to the ledger. [`Exchange::take_ledger_answers`] returns the answer, possibly
    /// immediately.
    pub fn submit_ledger_request(
        &mut self,
        at: ClockReading,
        request: ledger::LedgerRequest,
    ) -> Output {
        self.with_ledger(at, |ledger| ledger.submit(at, request))
    }

    /// Removes and returns the ledger's answers since the last call.
    pub fn take_ledger_answers(&mut self) -> Vec<ledger::LedgerAnswer> {
        self.ledger
            .as_mut()
            .map(LedgerNode::take_answers)
            .unwrap_or_default()
    }

    /// Reports the outcome of the save with this number: durable if `ok`, otherwise failed.
    pub fn ledger_saved(&mut self, at: ClockReading, number: u64, ok: bool) -> Output {
        self.with_ledger(at, |ledger| ledger.saved(at, number, ok))
    }

    /// Restarts the ledger without any replicas on the disk with the identity `disk`, after the replicas were
    /// lost with their disk.
    pub fn reset_ledger(&mut self, at: ClockReading, disk: u64) -> Output {
        self.with_ledger(at, |ledger| ledger.reset(at, disk))
    }

    /// Starts handing over the shards that this front leads, before the front shuts down.
    pub fn hand_over_shards(&mut self, at: ClockReading) -> Output {
        self.with_ledger(at, |ledger| ledger.hand_over_shards(at))
    }

    /// Whether this front still leads a shard that another front could lead.
    pub fn has_shards_to_hand_over(&self) -> bool {
        self.ledger
            .as_ref()
            .is_some_and(LedgerNode::has_shards_to_hand_over)
    }

    /// Whether a shard would lose its quorum without this front, because other replicas are down.
    pub fn is_needed_for_quorum(&self, at: ClockReading) -> bool {
        self.ledger
            .as_ref()
            .is_some_and(|ledger| ledger.is_needed_for_quorum(at))
    }

    /// The number of replicas found to differ from their majority so far, and of those repaired on this front;
    /// zero if the ledger is not enabled.
    pub fn replica_differences(&self) -> ledger::Differences {
        self.ledger
            .as_ref()
            .map(LedgerNode::replica_differences)
            .unwrap_or_default()
    }

    /// The ledger's counters, if the ledger is enabled.
    pub fn ledger_counters(&self) -> Option<ledger::Counters> {
        self.ledger.as_ref().map(LedgerNode::counters)
    }

    /// Runs the ledger's due work and adds what it sends and saves to `out`.
    pub(super) fn tick_ledger(&mut self, at: ClockReading, out: &mut Output) {
        if let Some(ledger) = &mut self.ledger {
            ledger.tick(at, &self.node);
        }
        self.send_ledger(at, out);
    }

    /// Adds what the ledger sends and saves to `out`.
    pub(super) fn send_ledger(&mut self, at: ClockReading, out: &mut Output) {
        if let Some(ledger) = &mut self.ledger {
            ledger.send(at, &mut self.node, out);
        }
    }

    /// Applies a change to the ledger, if it is enabled; returns what the ledger sends and saves as a result.
    fn with_ledger(&mut self, at: ClockReading, change: impl FnOnce(&mut LedgerNode)) -> Output {
        let mut out = Output::default();
        if let Some(ledger) = &mut self.ledger {
            change(ledger);
        }
        self.send_ledger(at, &mut out);
        out
    }
}
