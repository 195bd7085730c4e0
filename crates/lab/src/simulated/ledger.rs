//! The ledger of simulated fronts, enabled and used through the same ledger barrier as in a front.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux_fleet::ledger_barrier::{BarrierDecision, LedgerClient};
use hallmux_fleet::{ClockReading, Exchange, Output};
use hallmux_gossip::seal::{peer_id, Identity};
use hallmux_gossip::PeerId;
use hallmux_ledger::{LedgerAnswer, LedgerRequest, Member, Setup};

use super::simulation::{address, secret, Simulation};
use crate::check::Outcome;
use crate::rig::agreed::zone_name;

const COMPONENT_SHIFT: u32 = 56; // low bits of a request number; the bits above identify the component that sent it

/// The barrier's client of the front's ledger; collects the output to send.
struct BarrierLedgerClient<'a> {
    exchange: &'a mut Exchange,
    at: ClockReading,
    done: &'a mut Vec<LedgerAnswer>,
    outs: Vec<Output>,
}

impl LedgerClient for BarrierLedgerClient<'_> {
    fn submit(&mut self, _: i64, ask: LedgerRequest) {
        self.outs
            .push(self.exchange.submit_ledger_request(self.at, ask));
    }

    fn take_answers(&mut self, part: u64) -> Vec<LedgerAnswer> {
        self.done.extend(self.exchange.take_ledger_answers());
        let (matching, others) = self
            .done
            .drain(..)
            .partition(|answers| answers.number >> COMPONENT_SHIFT == part >> COMPONENT_SHIFT);
        *self.done = others;
        matching
    }
}

/// The members of the ledger, by their keys, and the address of each.
pub(super) fn members(fronts: usize, zones: usize) -> (Vec<Member>, BTreeMap<PeerId, SocketAddr>) {
    let peer_id_of = |n| peer_id(&Identity::new(&secret(n), 0).public_key());
    let member = |n| Member {
        front: peer_id_of(n),
        zone: zone_name(n % zones),
    };
    (
        (0..fronts).map(member).collect(),
        (0..fronts).map(|n| (peer_id_of(n), address(n))).collect(),
    )
}

impl Simulation<'_> {
    /// Enables the ledger of a starting front with the records on its disk.
    pub(super) fn enable_ledger(&self, n: usize, exchange: &mut Exchange) -> Result<(), String> {
        let Some(copies) = self.scenario.fleet.copies else {
            return Ok(());
        };
        let (members, addresses) = &self.ledger_members;
        let at = self.clock_reading(n);
        let disk = &self.members[n].disk;
        let own_id = peer_id(&exchange.public_key());
        let setup = Setup {
            replication_factor: copies,
            ..Setup::new("lab", own_id, at.wall_ms, disk.identity, members.clone())
        };
        let found = disk.load_records();
        exchange
            .enable_ledger(at, setup, addresses.clone(), found)
            .map_err(|e| e.to_string())
    }

    /// Executes the ledger barrier's decisions: releases executions, rejects or aborts statements.
    pub(super) fn advance_barrier(&mut self, n: usize) {
        let (local_time, at) = (self.local_time(n), self.clock_reading(n));
        let incarnation = self.members[n].incarnation;
        let Some(running) = &mut self.members[n].running else {
            return;
        };
        let Some((barrier, exchange)) = running.barrier.as_mut().zip(running.exchange.as_mut())
        else {
            return;
        };
        let mut client = BarrierLedgerClient {
            exchange,
            at,
            done: &mut running.ledger_answers,
            outs: Vec::new(),
        };
        let (named, asked) = (&self.statement_numbers, &self.account.asked);
        let id = |ticket| {
            named
                .get(&(n, incarnation, ticket))
                .map(|number| asked[*number].asked.id.clone())
        };
        let decisions = barrier.advance(local_time, &mut running.dispatcher, &mut client, id);
        let outputs = client.outs;
        outputs.into_iter().for_each(|out| self.send_output(n, out));
        for decision in decisions {
            let Some(running) = &mut self.members[n].running else {
                return;
            };
            match decision {
                BarrierDecision::Release(released) => {
                    running.dispatcher.execution_sent(
                        local_time,
                        released.ticket,
                        released.execution,
                    );
                    self.send_execution(n, (released.ticket, released.execution), released.place);
                }
                BarrierDecision::Reject(ticket) => {
                    running.dispatcher.reject(local_time, ticket);
                    self.answer(n, ticket, Outcome::Error("53000".into()));
                }
                BarrierDecision::Abort(ticket) => {
                    running.dispatcher.reject(local_time, ticket);
                    self.answer(n, ticket, Outcome::Error("08007".into()));
                }
            }
        }
    }

    /// Takes ledger answers after input to the front's exchange: with answers the front runs now,
    /// otherwise its next wake-up is scheduled.
    pub(super) fn take_ledger_answers(&mut self, n: usize) {
        let Some(running) = &mut self.members[n].running else {
            return;
        };
        if let Some(exchange) = &mut running.exchange {
            running
                .ledger_answers
                .extend(exchange.take_ledger_answers());
        }
        match running.ledger_answers.is_empty() {
            true => self.schedule_wakeup(n),
            false => self.run_front(n),
        }
    }
}
