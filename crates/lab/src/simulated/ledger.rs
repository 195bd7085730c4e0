//! The ledger of simulated fronts: switched on as the front does, asked by the same gate.

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

const PART: u32 = 56; // bits of a number that a part of the front counts in

/// The gate's way to the ledger of its front; what is to go out for it is gathered.
struct GateLedgerClient<'a> {
    exchange: &'a mut Exchange,
    at: ClockReading,
    done: &'a mut Vec<LedgerAnswer>,
    outs: Vec<Output>,
}

impl LedgerClient for GateLedgerClient<'_> {
    fn submit(&mut self, _: i64, ask: LedgerRequest) {
        self.outs
            .push(self.exchange.submit_ledger_request(self.at, ask));
    }

    fn take_answers(&mut self, part: u64) -> Vec<LedgerAnswer> {
        self.done.extend(self.exchange.take_ledger_answers());
        let (told, others) = self
            .done
            .drain(..)
            .partition(|done| done.number >> PART == part >> PART);
        *self.done = others;
        told
    }
}

/// The fronts that keep copies, by their keys, and where each is heard.
pub(super) fn members(fronts: usize, zones: usize) -> (Vec<Member>, BTreeMap<PeerId, SocketAddr>) {
    let keeper = |n| peer_id(&Identity::new(&secret(n), 0).public_key());
    let member = |n| Member {
        front: keeper(n),
        zone: zone_name(n % zones),
    };
    (
        (0..fronts).map(member).collect(),
        (0..fronts).map(|n| (keeper(n), address(n))).collect(),
    )
}

impl Simulation<'_> {
    /// Switches on the ledger of a front that starts, on the disk that it has.
    pub(super) fn promises(&self, n: usize, exchange: &mut Exchange) -> Result<(), String> {
        let Some(copies) = self.scenario.fleet.copies else {
            return Ok(());
        };
        let (members, heard) = &self.ledger_members;
        let at = self.moment(n);
        let disk = &self.members[n].disk;
        let own = peer_id(&exchange.public_key());
        let setup = Setup {
            replication_factor: copies,
            ..Setup::new("lab", own, at.wall_ms, disk.identity, members.clone())
        };
        let found = disk.found();
        exchange
            .enable_ledger(at, setup, heard.clone(), found)
            .map_err(|e| e.to_string())
    }

    /// What promises let go of, or can't be had for.
    pub(super) fn guarded(&mut self, n: usize) {
        let (own, at) = (self.own(n), self.moment(n));
        let lives = self.members[n].lives;
        let Some(life) = &mut self.members[n].life else {
            return;
        };
        let Some((guard, exchange)) = life.guard.as_mut().zip(life.exchange.as_mut()) else {
            return;
        };
        let mut way = GateLedgerClient {
            exchange,
            at,
            done: &mut life.done,
            outs: Vec::new(),
        };
        let (named, asked) = (&self.named, &self.account.asked);
        let id = |ticket| {
            named
                .get(&(n, lives, ticket))
                .map(|number| asked[*number].asked.id.clone())
        };
        let rulings = guard.advance(own, &mut life.dispatcher, &mut way, id);
        let outs = way.outs;
        outs.into_iter().for_each(|out| self.send_output(n, out));
        for ruling in rulings {
            let Some(life) = &mut self.members[n].life else {
                return;
            };
            match ruling {
                BarrierDecision::Release(go) => {
                    life.dispatcher.execution_sent(own, go.ticket, go.execution);
                    self.leaves(n, (go.ticket, go.execution), go.place);
                }
                BarrierDecision::Reject(ticket) => {
                    life.dispatcher.reject(own, ticket);
                    self.answer(n, ticket, Outcome::Error("53000".into()));
                }
                BarrierDecision::Abort(ticket) => {
                    life.dispatcher.reject(own, ticket);
                    self.answer(n, ticket, Outcome::Error("08007".into()));
                }
            }
        }
    }

    /// Whatever a front's exchange was just told: it decides if the ledger has answered, else it is looked at when due.
    pub(super) fn promised(&mut self, n: usize) {
        let Some(life) = &mut self.members[n].life else {
            return;
        };
        if let Some(exchange) = &mut life.exchange {
            life.done.extend(exchange.take_ledger_answers());
        }
        match life.done.is_empty() {
            true => self.wakes(n),
            false => self.turn(n),
        }
    }
}
