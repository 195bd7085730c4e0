//! What one front does in a turn: it takes in all that is there, decides once, and sends what follows.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use calloop::LoopHandle;
use hallmux_agreement::{Limits, Station};
use hallmux_codec::coordinator::{Engine, State, Stream};
use hallmux_codec::statement::{self, Call, Reply};
use hallmux_codec::tables;
use hallmux_dispatcher::{
    Ask, Dispatcher, Ending, Listing, Micros, Mode as EngineMode, Order, Speech, Ticket, Unfit,
};

use crate::clients::{self, ClientId, Clients};
use crate::clock::Clock;
use crate::coordinator::Coordinator;
use crate::doors::{Changes, Door, Party};
use crate::engines::{self, Engines};
use crate::entrance::Entrance;
use crate::link::Link;
use crate::peers::Peers;
use crate::portal::{Portal, Room};
use crate::shutdown::Shutdown;

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
    shutdown: Shutdown,
    clock: Clock,
    /// Connections with more to read than one turn takes.
    unfinished: Vec<Party>,
}

impl Front {
    pub fn new(
        station: &Station,
        known: &Stream,
        listener: TcpListener,
        handle: LoopHandle<'static, Changes>,
    ) -> std::io::Result<Front> {
        let contract = &station.contract;
        let portal = station.operator.postgres.as_ref();
        let portal = portal.map(|postgres| Portal::new(postgres, contract, handle.clone())).transpose()?;
        let mut clock = Clock::ahead(station.operator.clock_ahead);
        clock.look();
        let gossip = station.operator.gossip.as_ref();
        let peers = gossip.map(|gossip| Peers::new(gossip, clock.now, &handle)).transpose()?;
        let mut front = Front {
            entrance: Entrance::new(listener, &handle, Door::Listener.party(0))?,
            dispatcher: Dispatcher::new(contract, station.seed),
            answer_slack: contract.allowance.answer_slack,
            most_held: contract.allowance.most_held,
            most_bytes: 0,
            most_clients: 0,
            full: false,
            clients: Clients::new(contract.agreement.longest_retry_after),
            engines: Engines::new(handle.clone(), contract.allowance.clone(), &contract.names),
            coordinator: Coordinator::new(handle.clone(), station.coordinator, known.index),
            portal,
            peers,
            shutdown: Shutdown::default(),
            clock,
            unfinished: Vec::new(),
            handle,
        };
        front.limit(&station.limits);
        front.follow(known, 0);
        Ok(front)
    }

    /// How long nothing is due.
    pub fn idle(&mut self) -> Duration {
        self.clock.look();
        let due = [
            if self.unfinished.is_empty() { Micros::MAX } else { 0 },
            self.dispatcher.wake(),
            self.engines.due(),
            self.coordinator.due(),
            self.entrance.due(),
            self.shutdown.due(self.clock.now),
            self.portal.as_ref().map_or(Micros::MAX, Portal::due),
            self.peers.as_ref().map_or(Micros::MAX, Peers::due),
        ];
        let due = due.into_iter().min().unwrap_or(self.clock.now).max(self.clock.now);
        self.clock.sleep(due);
        Duration::from_micros((due - self.clock.now) as u64)
    }

    /// A connection has changed: takes what is there.
    pub fn ready(&mut self, party: Party) {
        self.clock.look();
        self.clock.woke();
        let number = party.number;
        let more = match party.door {
            Door::Listener => {
                self.entrance.knocked();
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
                let now = self.clock.now;
                self.portal.as_mut().is_some_and(|portal| portal.ready(now, party))
            }
        };
        if more {
            self.unfinished.push(party);
        }
    }

    fn read_client(&mut self, id: ClientId) -> bool {
        let mut told = Vec::new();
        let more = self.clients.read(self.clock.now, id, !self.shutdown.asked(), &mut told);
        self.take(told);
        more
    }

    fn take(&mut self, told: Vec<clients::Told>) {
        for told in told {
            match told {
                clients::Told::Asked { client, number, call } => {
                    let mut ended = Vec::new();
                    self.asked(client, number, *call, &mut ended);
                    self.take(ended);
                }
                clients::Told::Forgets { client, number } => {
                    let ticket = self.clients.forget(client, number);
                    ticket.into_iter().for_each(|ticket| self.dispatcher.left(self.clock.now, ticket));
                }
                clients::Told::Left(ticket) => self.dispatcher.left(self.clock.now, ticket),
            }
        }
    }

    fn asked(&mut self, client: ClientId, number: i32, call: Call, ended: &mut Vec<clients::Told>) {
        if !self.clients.has_room(client, number, &call, ended) {
            return;
        }
        if let Some(field) = call.unfit {
            return self.clients.unfit(client, number, field, ended);
        }
        let full = self.clients.held() > self.most_bytes;
        if full != std::mem::replace(&mut self.full, full) {
            log::warn!(
                "statements held take {} bytes; {}",
                self.clients.held(),
                if full { "more are rejected" } else { "taken again" }
            );
        }
        if full || self.dispatcher.held() >= self.most_held {
            return self.clients.refuse(client, number);
        }
        // Guards against a final answer that is held up on its way: it has the slack twice, before the
        // client's time is up and after. A result that comes in that last moment is lost to the client.
        let time_left = (call.time_left_ms * 1000.0) as Micros - self.answer_slack;
        let ask = Ask {
            workload: &call.workload,
            customer: &call.customer,
            key: call.order_key.as_deref(),
            dedup_key: call.dedup_key.as_deref(),
            time_left: time_left - self.clock.waited(),
            work: call.work_ms * 1000.0,
            memory_mb: call.memory_mb,
            data_set: tables::group(&call.statement),
            speech: Speech::Lines,
            pinned: None,
        };
        match self.dispatcher.pick(self.clock.now, &ask) {
            Ok(ticket) => self.clients.opened(client, number, ticket, call),
            Err(Unfit::Workload) => self.clients.unfit(client, number, statement::WORKLOAD, ended),
            Err(Unfit::DedupKey) => self.clients.unfit(client, number, statement::DEDUP_KEY, ended),
            Err(Unfit::Customer) => self.clients.unfit(client, number, statement::CUSTOMER, ended),
        }
    }

    /// Takes in the coordinator's events that come after the one given.
    fn follow(&mut self, stream: &Stream, after: u64) {
        for update in stream.updates.iter().filter(|u| u.index > after) {
            let Some(list) = &update.list else { continue };
            let portal = self.portal.as_ref();
            let speaks = |e: &Engine| portal.and_then(|portal| portal.port(&e.kind));
            let listings: Vec<Listing> = list.engines.iter().map(|e| listing(e, speaks(e))).collect();
            let places = self.dispatcher.list(list.whole, &listings);
            if list.whole {
                self.engines.retire_but(&places);
                self.portal.iter_mut().for_each(|portal| portal.servers().retire_but(&places));
            }
            for (engine, place) in list.engines.iter().zip(places) {
                let Engine { id, address, kind, state, .. } = engine;
                log::info!("engine {id}: {state:?} at {address} ({kind})");
                let sessions = self.portal.as_ref().and_then(|portal| portal.port(kind));
                let up = *state == State::Up;
                if let Some((portal, port)) = self.portal.as_mut().zip(sessions) {
                    match address.parse::<SocketAddr>() {
                        Ok(mut at) => {
                            at.set_port(port.unwrap_or(at.port()));
                            portal.servers().list(place, id, at, engine.started_ms, up);
                        }
                        Err(_) => portal.servers().retire(place),
                    }
                }
                if sessions == Some(None) {
                    continue;
                }
                match address.parse() {
                    Ok(at) => self.engines.list(place, id, at, engine.started_ms, *state == State::Up),
                    Err(_) if *state != State::Up => self.engines.retire(place),
                    Err(e) => log::error!("engine {id}: address '{address}': {e}"),
                }
            }
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
        self.engines.expire(self.clock.now);
        self.coordinator.expire(self.clock.now);
        self.clock.look();
        self.clock.decides();
        for _ in 0..ROUNDS {
            self.heard();
            let orders = self.dispatcher.tick(self.clock.now);
            if orders.is_empty() {
                break;
            }
            for order in orders {
                self.obey(order);
            }
            // Stops go out before what they make room for.
            self.engines.flush(self.clock.now);
            self.portal.iter_mut().for_each(|portal| portal.flush_servers(self.clock.now));
        }
        self.engines.flush(self.clock.now);
        self.portal.iter_mut().for_each(|portal| portal.flush_servers(self.clock.now));
        self.heard();
        let room = self.room();
        if let Some(portal) = &mut self.portal {
            portal.flush(self.clock.now, room, self.most_bytes, &mut self.dispatcher);
        }
        self.coordinator.flush(self.clock.now);
        let mut told = Vec::new();
        self.clients.flush(&mut told);
        if let (untaken, Some(client)) = self.clients.untaken() {
            if untaken > self.most_bytes {
                log::warn!(
                    "client {client}: takes no answers, {untaken} bytes wait; its connection is closed"
                );
                self.clients.end(client, &mut told);
            }
        }
        self.take(told);
        for client in self.clients.caught_up() {
            self.unfinished.push(Door::Client.party(client));
        }
        if self.shutdown.closes(self.clock.now) {
            if self.entrance.close() {
                log::info!("no more connections are taken; {} clients are connected", self.clients.len());
            }
            self.clients.close_idle();
            let room = self.room();
            if let Some(portal) = &mut self.portal {
                portal.close(self.clock.now, room, &mut self.dispatcher);
            }
        }
    }

    /// The end was asked for.
    pub fn end(&mut self) {
        self.clock.look();
        self.shutdown.ask(self.clock.now);
        self.peers.iter_mut().for_each(|peers| peers.leave(self.clock.now));
    }

    /// The configuration was read again: what may change while a front runs holds from now on. One that
    /// can't be used changes nothing.
    pub fn reload(&mut self, read: Result<Station, String>) {
        self.clock.look();
        match read {
            Ok(station) => {
                self.limit(&station.limits);
                if let Some((peers, gossip)) = self.peers.as_mut().zip(station.operator.gossip.as_ref()) {
                    peers.reload(gossip);
                }
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

    /// Passes on what engines have said.
    fn heard(&mut self) {
        for told in std::mem::take(&mut self.engines.told) {
            match told {
                engines::Told::Ended { sent: (ticket, execution), ending, report, cost, result } => {
                    if self.dispatcher.report(self.clock.now, ticket, execution, ending, report, cost) {
                        self.clients.answer(self.clock.now, ticket, &Reply::Completed(&result));
                    }
                }
                engines::Told::Noted { sent: (ticket, execution), note } => {
                    self.dispatcher.note(ticket, execution, note);
                }
                engines::Told::Probed { place, alive, report } => {
                    self.dispatcher.probed(self.clock.now, place, alive, report);
                }
            }
        }
        let room = self.room();
        if let Some(portal) = &mut self.portal {
            portal.heard(self.clock.now, room, &mut self.dispatcher);
        }
    }

    /// What sessions may count on just now.
    fn room(&self) -> Room {
        let held = self.clients.held() + self.portal.as_ref().map_or(0, Portal::held);
        let full = held > self.most_bytes || self.dispatcher.held() >= self.most_held;
        Room { waited: self.clock.waited(), full }
    }

    /// A statement is a session's.
    fn owns(&self, ticket: Ticket) -> bool {
        self.portal.as_ref().is_some_and(|portal| portal.owns(ticket))
    }

    /// An execution is one of a session's.
    fn is_out(&self, sent: engines::Sent) -> bool {
        self.portal.as_ref().is_some_and(|portal| portal.has(sent))
    }

    fn obey(&mut self, order: Order) {
        let now = self.clock.now;
        match order {
            Order::Send { ticket, execution, place, .. } if self.owns(ticket) => {
                self.portal.iter_mut().for_each(|portal| portal.send(now, (ticket, execution), place));
            }
            Order::Stop { ticket, execution, ending } if self.is_out((ticket, execution)) => {
                self.portal.iter_mut().for_each(|portal| portal.stop(now, (ticket, execution), ending));
            }
            Order::Reject { ticket, retry_after } if self.owns(ticket) => {
                self.portal.iter_mut().for_each(|portal| portal.refuse(now, ticket, true, retry_after));
            }
            Order::Abort { ticket } if self.owns(ticket) => {
                self.portal.iter_mut().for_each(|portal| portal.refuse(now, ticket, false, None));
            }
            Order::Send { ticket, execution, place, terms } => {
                let Some(call) = self.clients.call(ticket) else {
                    self.dispatcher.report(self.clock.now, ticket, execution, Ending::Withdrawn, None, None);
                    return;
                };
                self.engines.send(self.clock.now, (ticket, execution), place, call, terms);
            }
            Order::Hurry { ticket, execution, priority } => {
                self.engines.hurry((ticket, execution), priority);
            }
            Order::Stop { ticket, execution, ending } => {
                self.engines.stop(self.clock.now, (ticket, execution), ending)
            }
            Order::Reject { ticket, retry_after } => {
                let retry_after_ms = retry_after.map(|time| time / 1000);
                self.clients.answer(self.clock.now, ticket, &Reply::Rejected { retry_after_ms });
            }
            Order::Abort { ticket } => self.clients.answer(self.clock.now, ticket, &Reply::Aborted),
            // Between the decision and now the work may have become another's: then the probe stays here.
            Order::Probe { for_fleet: true, .. } if !self.peers.as_ref().is_none_or(Peers::may_probe) => {}
            Order::Probe { place, .. } => self.engines.probe(self.clock.now, place),
        }
    }
}

/// A line of the list; `sessions` tells whether it takes PostgreSQL sessions, and at which port beside lines.
fn listing(engine: &Engine, sessions: Option<Option<u16>>) -> Listing<'_> {
    Listing {
        id: &engine.id,
        location: &engine.location,
        kind: &engine.kind,
        cell: engine.cell,
        mode: match engine.state {
            State::Up => EngineMode::Ready,
            State::Draining => EngineMode::Draining,
            State::Removed => EngineMode::Gone,
        },
        started: (engine.started_ms > 0.0).then_some((engine.started_ms * 1000.0) as Micros),
        speaks: match sessions {
            None => &[Speech::Lines],
            Some(None) => &[Speech::Postgres],
            Some(Some(_)) => &[Speech::Lines, Speech::Postgres],
        },
    }
}
