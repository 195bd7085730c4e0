//! The exchange's methods on the replicated ledger.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux_gossip::PeerId;
use hallmux_ledger as ledger;

use super::{ClockReading, Exchange, LedgerNode, Output};

impl Exchange {
    /// Switches on the ledger; `addresses` says where its members listen. An error says why the setup or the
    /// saved records can't be used.
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

    /// The operator's list of members has changed. Nothing changes where the list can't be used.
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

    /// Asks the ledger; the answer comes with [`Exchange::take_ledger_answers`], maybe at once.
    pub fn submit_ledger_request(
        &mut self,
        at: ClockReading,
        request: ledger::LedgerRequest,
    ) -> Output {
        self.with_ledger(at, |ledger| ledger.submit(at, request))
    }

    /// Takes the ledger's answers since the last call.
    pub fn take_ledger_answers(&mut self) -> Vec<ledger::LedgerAnswer> {
        self.ledger
            .as_mut()
            .map(LedgerNode::take_answers)
            .unwrap_or_default()
    }

    /// The save of this number is durable, or has failed where `ok` is false.
    pub fn ledger_saved(&mut self, at: ClockReading, number: u64, ok: bool) -> Output {
        self.with_ledger(at, |ledger| ledger.saved(at, number, ok))
    }

    /// The front's replicas are lost with their disk: it begins anew on the disk of this identity, holding
    /// nothing.
    pub fn reset_ledger(&mut self, at: ClockReading, disk: u64) -> Output {
        self.with_ledger(at, |ledger| ledger.reset(at, disk))
    }

    /// This front is to end: the shards that it owns are handed over.
    pub fn hand_over_shards(&mut self, at: ClockReading) -> Output {
        self.with_ledger(at, |ledger| ledger.hand_over_shards(at))
    }

    /// Whether it still owns a shard that another front could own.
    pub fn has_shards_to_hand_over(&self) -> bool {
        self.ledger
            .as_ref()
            .is_some_and(LedgerNode::has_shards_to_hand_over)
    }

    /// Whether a shard would lose its quorum without this front, as other replicas are away.
    pub fn is_needed_for_quorum(&self, at: ClockReading) -> bool {
        self.ledger
            .as_ref()
            .is_some_and(|ledger| ledger.is_needed_for_quorum(at))
    }

    /// Replicas that were found to differ from their majority, so far.
    pub fn replica_differences(&self) -> ledger::Differences {
        self.ledger
            .as_ref()
            .map(LedgerNode::replica_differences)
            .unwrap_or_default()
    }

    /// The ledger's counters, where it is enabled.
    pub fn ledger_counters(&self) -> Option<ledger::Counters> {
        self.ledger.as_ref().map(LedgerNode::counters)
    }

    pub(super) fn tick_ledger(&mut self, at: ClockReading, out: &mut Output) {
        if let Some(ledger) = &mut self.ledger {
            ledger.tick(at, &self.node);
        }
        self.send_ledger(at, out);
    }

    pub(super) fn send_ledger(&mut self, at: ClockReading, out: &mut Output) {
        if let Some(ledger) = &mut self.ledger {
            ledger.send(at, &mut self.node, out);
        }
    }

    /// Applies a change to the ledger, where it is enabled; gives what is to go out.
    fn with_ledger(&mut self, at: ClockReading, change: impl FnOnce(&mut LedgerNode)) -> Output {
        let mut out = Output::default();
        if let Some(ledger) = &mut self.ledger {
            change(ledger);
        }
        self.send_ledger(at, &mut out);
        out
    }
}
