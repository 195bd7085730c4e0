//! What one front does in a turn: it takes in all that is there, decides once, and sends what follows.

mod asked;
mod listed;
mod orders;
mod rooms;
mod scattered;

use std::net::TcpListener;
use std::time::Duration;

use calloop::LoopHandle;
use hallmux_agreement::{Contract, Limits, Station};
use hallmux_codec::coordinator::Stream;
use hallmux_dispatcher::{Dispatcher, Micros, SendCapacity};

use crate::clients::Clients;
use crate::clock::Clock;
use crate::coordinator::Coordinator;
use crate::doors::{Changes, Door, Party};
use crate::engines::Engines;
use crate::entrance::Entrance;
use crate::fleet::rules::{self, Shared};
use crate::fleet::{Guard, Peers};
use crate::link::Link;
use crate::postgres::portal::Portal;
use crate::scatter::Scatters;
use crate::shutdown::{Keeps, Shutdown};
use crate::start::Fault;

pub use rooms::Pacer;

const ROUNDS: usize = 8; // decisions in a turn: what the first one stops is told to the next at once
const MEMORY_PART: u64 = 4; // statements held may take one part of so many, untaken answers another
const CLIENTS_PART: usize = 2; // of the descriptors; clients hold a third, the rest is for engines

pub struct Front {
    handle: LoopHandle<'static, Changes>,
    entrance: Entrance,
    dispatcher: Dispatcher,
    answer_slack: Micros,
    most_held: usize,
    most_bytes: usize,
    most_clients: usize,
    full: bool,
    clients: Clients,
    engines: Engines,
    coordinator: Coordinator,
    /// PostgreSQL sessions, where the operator's file switches them on.
    portal: Option<Portal>,
    /// Words with other fronts, likewise.
    peers: Option<Peers>,
    /// Regional access rules of customers, likewise.
    rules: Option<Shared>,
    /// Where fronts keep promises: what waits for them.
    guard: Option<Guard>,
    /// Statements that are asked of several sites, likewise.
    scatter: Option<Scatters>,
    /// What the module knows of connections that are there.
    rooms: SendCapacity,
    shutdown: Shutdown,
    clock: Clock,
    /// Connections with more to read than one turn takes.
    unfinished: Vec<Party>,
    /// What was decided has not left for engines yet: the connections are looked at first.
    stale: bool,
}

/// No client waits longer than that for an answer.
fn longest_timeout(contract: &Contract) -> Micros {
    contract.agreement.workloads.iter().map(|workload| workload.statement_timeout).max().unwrap_or(0)
}

impl Front {
    pub fn new(
        station: &Station,
        known: &Stream,
        listener: TcpListener,
        handle: LoopHandle<'static, Changes>,
    ) -> Result<Front, Fault> {
        let contract = &station.contract;
        let portal = station.operator.postgres.as_ref();
        let part = |why: std::io::Error| Fault::part(&why);
        let clock = Clock::new(station.operator.clock_ahead, station.drill_clock.as_deref());
        let mut clock = clock.map_err(part)?;
        clock.look();
        let gossip = station.operator.gossip.as_ref();
        let peers = gossip.map(|gossip| Peers::new(gossip, clock.now, &handle)).transpose()?;
        let rules = rules::start(station, clock.now, peers.as_ref())?;
        let open = |postgres| Portal::new(postgres, contract, handle.clone(), rules.clone());
        let mut portal = portal.map(open).transpose().map_err(part)?;
        let turn = peers.as_ref().map_or(0, Peers::turn);
        let scatter = station.operator.scatter.as_ref();
        if let Some((portal, scatter)) = portal.as_mut().zip(scatter.filter(|scatter| scatter.marked)) {
            portal.writes = scatter.writes.clone();
        }
        let scatter = scatter.map(|scatter| Scatters::new(scatter, clock.now, turn, contract));
        let scatter = scatter.transpose().map_err(part)?;
        let mut front = Front {
            entrance: Entrance::new(listener, &handle, Door::Listener.party(0)).map_err(part)?,
            dispatcher: Dispatcher::new(contract, station.seed),
            answer_slack: contract.allowance.answer_slack,
            most_held: contract.allowance.most_held,
            most_bytes: 0,
            most_clients: 0,
            full: false,
            clients: Clients::new(contract.agreement.longest_retry_after, longest_timeout(contract)),
            engines: Engines::new(handle.clone(), contract.allowance.clone(), &contract.names),
            coordinator: Coordinator::new(handle.clone(), station.coordinator, known.index),
            portal,
            peers,
            rules,
            guard: None,
            scatter,
            rooms: SendCapacity::default(),
            shutdown: Shutdown::default(),
            clock,
            unfinished: Vec::new(),
            stale: false,
            handle,
        };
        front.engines.dials = rooms::pacer(station, front.clock.now);
        if let Some(portal) = &mut front.portal {
            portal.servers().dials = front.engines.dials.clone();
        }
        if let Some(ledger) = station.operator.gossip.as_ref().and_then(|gossip| gossip.ledger.as_ref()) {
            let now = front.clock.now;
            front.guard = Some(Guard::new(contract, now, ledger.shards, &mut front.dispatcher));
        }
        front.limit(&station.limits);
        front.follow(known, 0);
        Ok(front)
    }

    /// How long nothing is due.
    pub fn idle(&mut self) -> Duration {
        self.clock.look();
        let due = [
            if self.unfinished.is_empty() && !self.stale { Micros::MAX } else { 0 },
            self.dispatcher.wake(),
            self.engines.due(),
            self.coordinator.due(),
            self.entrance.due(),
            self.shutdown.due(self.clock.now),
            self.portal.as_ref().map_or(Micros::MAX, Portal::due),
            self.peers.as_ref().map_or(Micros::MAX, |peers| peers.due(self.clock.now)),
            self.guard.as_ref().map_or(Micros::MAX, Guard::due),
            self.rules.as_ref().map_or(Micros::MAX, |rules| rules.borrow().due(self.clock.now)),
            self.scatter.as_ref().map_or(Micros::MAX, |scatter| scatter.due(self.peers.is_some())),
        ];
        self.clock.sleep(due.into_iter().min().unwrap_or(self.clock.now))
    }

    /// A connection has changed: takes what is there.
    pub fn ready(&mut self, party: Party) {
        self.clock.look();
        self.clock.woke();
        let number = party.number;
        let more = match party.door {
            // Statements of one order key run in the order in which they were taken: each is taken as it is found.
            Door::Listener => {
                self.entrance.knocked();
                self.accept();
                false
            }
            Door::Client => self.read_client(number),
            Door::Engine => self.engines.read(self.clock.now, number),
            Door::Coordinator => {
                let before = self.coordinator.follow;
                if let Some(stream) = self.coordinator.read(self.clock.now, number) {
                    self.follow(&stream, before);
                }
                false
            }
            Door::Peers => self.peers.as_mut().is_some_and(|peers| peers.read(self.clock.now)),
            Door::SessionListener | Door::Session | Door::Server | Door::Cancel => {
                let (now, room) = (self.clock.now, self.room());
                let portal = self.portal.as_mut();
                portal.is_some_and(|portal| portal.found(now, party, room, &mut self.dispatcher))
            }
        };
        if more {
            self.unfinished.push(party);
        }
    }

    /// Decides on all that was taken in, and sends what follows.
    pub fn turn(&mut self) {
        self.clock.look();
        self.clock.woke();
        for party in std::mem::take(&mut self.unfinished) {
            self.ready(party);
        }
        self.accept();
        let room = self.room();
        if let Some(portal) = &mut self.portal {
            let room_left = self.most_clients.saturating_sub(self.clients.len() + portal.len());
            portal.accept(self.clock.now, room_left);
            portal.take(self.clock.now, room, &mut self.dispatcher);
            portal.expire(self.clock.now, room, &mut self.dispatcher);
        }
        let mut told = Vec::new();
        self.clients.expire(self.clock.now, &mut told);
        self.take(told);
        if let Some(peers) = &mut self.peers {
            peers.tick(self.clock.now, &mut self.dispatcher);
        }
        self.tick_scatters();
        self.engines.expire(self.clock.now);
        self.coordinator.expire(self.clock.now);
        self.clock.look();
        self.clock.decides();
        self.rule();
        self.flush_after_look();
        for _ in 0..ROUNDS {
            self.heard();
            self.guarded();
            self.marked();
            self.tell_rooms();
            let orders = self.dispatcher.tick(self.clock.now);
            if orders.is_empty() {
                break;
            }
            for order in orders {
                self.obey(order);
            }
            self.rule();
            // Stops go out before what they make room for.
            self.flush_engines();
        }
        self.flush_engines();
        self.heard();
        let room = self.room();
        if let Some(portal) = &mut self.portal {
            portal.flush(self.clock.now, room, self.most_bytes, &mut self.dispatcher);
        }
        self.coordinator.flush(self.clock.now);
        let mut told = Vec::new();
        self.answer_scatters();
        self.clients.flush(self.clock.now, &mut told);
        if let (untaken, Some(client)) = self.clients.untaken() {
            if untaken > self.most_bytes {
                log::warn!(
                    "client {client}: takes no answers, {untaken} bytes wait; its connection is closed"
                );
                self.clients.end(client, &mut told);
            }
        }
        self.take(told);
        let peers = self.peers.as_ref().filter(|_| self.shutdown.asked());
        let keeps = peers.map_or(Keeps::Nothing, |peers| peers.keeps(self.clock.now));
        if self.shutdown.closes(self.clock.now, keeps) {
            // Whoever has connected by now is heard: closing the listener resets what waits there.
            self.accept();
            if self.entrance.close() {
                log::info!("no more connections are taken; {} clients are connected", self.clients.len());
            }
            self.clients.close_idle(self.clock.now);
            let room = self.room();
            if let Some(portal) = &mut self.portal {
                portal.close(self.clock.now, room, &mut self.dispatcher);
            }
        }
        for client in self.clients.ready_again() {
            self.unfinished.push(Door::Client.party(client));
        }
    }

    /// Sends to engines what was decided. Guards against a front that stood still or worked for long since it last
    /// looked at its connections: a client may have left meanwhile, or a drain been told. Then it looks first, and
    /// sends in the next turn.
    fn flush_engines(&mut self) {
        self.clock.look();
        self.stale = self.clock.is_stale();
        if !self.stale {
            self.send_out();
        }
    }

    /// The connections were looked at just now: what was kept for that leaves.
    fn flush_after_look(&mut self) {
        if std::mem::take(&mut self.stale) {
            self.clock.look();
            self.send_out();
        }
    }

    fn send_out(&mut self) {
        self.engines.flush(self.clock.now);
        self.portal.iter_mut().for_each(|portal| portal.flush_servers(self.clock.now));
    }

    /// The end was asked for.
    pub fn end(&mut self) {
        self.clock.look();
        self.shutdown.ask(self.clock.now);
        self.peers.iter_mut().for_each(|peers| peers.leave(self.clock.now));
        self.scatter.iter().for_each(|scatter| scatter.summaries.save());
    }

    /// The configuration was read again: what may change while a front runs holds from now on. One that
    /// can't be used changes nothing.
    pub fn reload(&mut self, read: Result<Station, hallmux_agreement::Error>) {
        self.clock.look();
        match read {
            Ok(station) => {
                self.limit(&station.limits);
                if let Some((peers, gossip)) = self.peers.as_mut().zip(station.operator.gossip.as_ref()) {
                    peers.reload(self.clock.now, gossip);
                }
                if let Some((rules, read)) = self.rules.as_ref().zip(station.operator.rules.as_ref()) {
                    rules.borrow_mut().reload(self.clock.now, read);
                }
                if let Some((scatter, settings)) =
                    self.scatter.as_mut().zip(station.operator.scatter.as_ref())
                {
                    scatter.reload(settings, self.clock.now);
                }
                self.follow_known(&station.known);
                self.coordinator.turn_to(self.clock.now, station.coordinator);
                let at = station.coordinator.map_or("none".to_string(), |at| at.to_string());
                log::info!("the configuration was read again; coordinator: {at}");
            }
            Err(why) => log::error!("the configuration is left as it was: {why}"),
        }
    }

    fn limit(&mut self, limits: &Limits) {
        self.most_bytes = (limits.memory_bytes / MEMORY_PART) as usize;
        self.most_clients = limits.sockets / CLIENTS_PART;
        let engines = limits.sockets - self.most_clients;
        match &mut self.portal {
            Some(portal) => {
                portal.limit(engines / 2);
                self.engines.limit(engines - engines / 2);
            }
            None => self.engines.limit(engines),
        }
    }

    /// Whether all is answered after the end was asked for.
    pub fn is_done(&self) -> bool {
        !self.entrance.is_open()
            && self.clients.len() == 0
            && self.portal.as_ref().is_none_or(|portal| portal.len() == 0)
            // What it holds for others is freed first.
            && self.guard.as_ref().is_none_or(Guard::is_idle)
    }

    fn accept(&mut self) {
        let now = self.clock.now;
        loop {
            let (clients, portal, most) = (&mut self.clients, &mut self.portal, self.most_clients);
            let room = || {
                let sessions = portal.as_ref().map_or(0, Portal::len);
                let room = clients.len() + sessions < most
                    || clients.make_room()
                    || portal.as_mut().is_some_and(|portal| portal.make_room(now));
                room.then_some(())
                    .ok_or_else(|| format!("{} clients are connected", clients.len() + sessions))
            };
            let Some(stream) = self.entrance.next(now, room) else { return };
            let id = self.clients.next_id();
            match Link::new(stream, &self.handle, Door::Client.party(id)) {
                Ok(link) => {
                    self.clients.accept(now, id, link);
                    self.ready(Door::Client.party(id));
                }
                Err(e) => log::warn!("a client's connection can't be served: {e}"),
            }
        }
    }
}
