//! The engine list: applies updates of the coordinator to the dispatcher and to the connections.

use std::collections::HashSet;
use std::net::SocketAddr;

use hallmux_dispatcher::{EngineIndex, ListScope, Listing, Micros, Mode as EngineMode, Protocol};
use hallmux_native_codec::coordinator::{Engine, EngineList, EngineState, Events};

use super::EventLoopState;
use crate::engine_protocols::EngineProtocols;
use crate::engine_starts::ClockReading;
use crate::listed_engine::ListedEngine;

impl EventLoopState {
    /// Applies the coordinator's events with an index above `last_index`.
    pub(super) fn apply_list(&mut self, events: &Events, last_index: u64) {
        let clocks = ClockReading {
            now: self.clock.now,
            wall_lead: self.clock.wall_lead(),
        };
        for update in events.updates.iter().filter(|u| u.index > last_index) {
            if let Some(list) = &update.list {
                self.apply_update(list, clocks);
            }
        }
    }

    fn apply_update(&mut self, list: &EngineList, clocks: ClockReading) {
        let starts = self.start_times(list, clocks);
        let listings: Vec<Listing> = list
            .engines
            .iter()
            .zip(&starts)
            .map(|(engine, start)| listing(engine, self.protocols(&engine.kind), *start))
            .collect();
        let scope = if list.is_full {
            ListScope::Full
        } else {
            ListScope::Changes
        };
        let places = self.dispatcher.update_engines(scope, &listings);
        if list.is_full {
            self.engines.retire_unlisted(&places);
            if let Some(gateway) = &mut self.gateway {
                gateway.servers().retire_unlisted(&places);
            }
        }
        for ((engine, place), start) in list.engines.iter().zip(places).zip(starts) {
            log_listed(engine, start.map(|at| clocks.now - at));
            self.update_connections(engine, place);
        }
    }

    /// The protocols that engines of a kind speak.
    fn protocols(&self, kind: &str) -> EngineProtocols {
        let gateway = self.gateway.as_ref();
        gateway.map_or(EngineProtocols::Lines, |gateway| gateway.protocols(kind))
    }

    /// Applies a listed engine to the connections of each protocol: they use its address, or are retired if it has none.
    fn update_connections(&mut self, engine: &Engine, place: EngineIndex) {
        let protocols = self.protocols(&engine.kind);
        let address = engine.address.parse::<SocketAddr>();
        let available = engine.state == EngineState::Up;
        let listed_engine = |address: SocketAddr| ListedEngine {
            id: &engine.id,
            address,
            started_ms: engine.started_ms,
            available,
        };
        if let Some(gateway) = self
            .gateway
            .as_mut()
            .filter(|_| protocols.speaks_postgres())
        {
            match &address {
                Ok(address) => {
                    let address = protocols.postgres_address(*address);
                    gateway
                        .servers()
                        .update_engine(place, listed_engine(address));
                }
                Err(_) => gateway.servers().retire(place),
            }
        }
        if !protocols.speaks_lines() {
            return;
        }
        match address {
            Ok(address) => self.engines.update_engine(place, listed_engine(address)),
            Err(_) if !available => self.engines.retire(place),
            Err(error) => log::error!(
                "engine {}: address '{}': {error}; its line-protocol connections are left unchanged",
                engine.id,
                engine.address
            ),
        }
    }

    /// When the engines of a list started, on the front's clock; None for an engine that did not start recently.
    fn start_times(&mut self, list: &EngineList, clocks: ClockReading) -> Vec<Option<Micros>> {
        if list.is_full {
            let listed_ids: HashSet<&str> = list
                .engines
                .iter()
                .map(|engine| engine.id.as_str())
                .collect();
            self.engine_starts
                .retain_listed(|id| listed_ids.contains(id));
        }
        let starts = &mut self.engine_starts;
        let start = |engine: &Engine| {
            let start = starts.start_time(&engine.id, engine.started_ms, clocks);
            if engine.state == EngineState::Removed {
                starts.remove(&engine.id);
            }
            start
        };
        list.engines.iter().map(start).collect()
    }
}

fn log_listed(engine: &Engine, age: Option<Micros>) {
    let Engine {
        id,
        address,
        kind,
        state,
        ..
    } = engine;
    let age = age.map_or(String::new(), |age| {
        format!(", started {} ms ago", age / 1000)
    });
    log::info!("engine {id}: {state:?} at {address} ({kind}){age}");
}

fn listing(engine: &Engine, protocols: EngineProtocols, started: Option<Micros>) -> Listing<'_> {
    Listing {
        id: &engine.id,
        location: &engine.location,
        kind: &engine.kind,
        cell: engine.cell,
        mode: match engine.state {
            EngineState::Up => EngineMode::Ready,
            EngineState::Draining => EngineMode::Draining,
            EngineState::Removed => EngineMode::Gone,
        },
        started,
        protocols: match protocols {
            EngineProtocols::Lines => &[Protocol::Lines],
            EngineProtocols::Postgres => &[Protocol::Postgres],
            EngineProtocols::Both { .. } => &[Protocol::Lines, Protocol::Postgres],
        },
    }
}
