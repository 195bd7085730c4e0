//! The engine list: updates of the coordinator go to the dispatcher and to the connections.

use std::collections::HashSet;
use std::net::SocketAddr;

use hallmux_dispatcher::{EngineIndex, ListScope, Listing, Micros, Mode as EngineMode, Protocol};
use hallmux_native_codec::coordinator::{Engine, EngineList, EngineState, Events};

use super::EventLoopState;
use crate::engine_protocols::EngineProtocols;
use crate::engine_starts::ListMoment;
use crate::listed_engine::ListedEngine;

impl EventLoopState {
    /// Takes in the coordinator's events that come after the one given.
    pub(super) fn apply_list(&mut self, stream: &Events, after: u64) {
        let moment = ListMoment {
            now: self.clock.now,
            wall_lead: self.clock.wall_lead(),
        };
        for update in stream.updates.iter().filter(|u| u.index > after) {
            if let Some(list) = &update.list {
                self.apply_update(list, moment);
            }
        }
    }

    fn apply_update(&mut self, list: &EngineList, moment: ListMoment) {
        let starts = self.starts(list, moment);
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
                gateway.servers().retire_others(&places);
            }
        }
        for ((engine, place), start) in list.engines.iter().zip(places).zip(starts) {
            log_listed(engine, start.map(|at| moment.now - at));
            self.update_connections(engine, place);
        }
    }

    /// What engines of a kind speak.
    fn protocols(&self, kind: &str) -> EngineProtocols {
        let gateway = self.gateway.as_ref();
        gateway.map_or(EngineProtocols::Lines, |gateway| gateway.protocols(kind))
    }

    /// The connections of each protocol go by the list: to where the engine is, or nowhere.
    fn update_connections(&mut self, engine: &Engine, place: EngineIndex) {
        let protocols = self.protocols(&engine.kind);
        let address = engine.address.parse::<SocketAddr>();
        let available = engine.state == EngineState::Up;
        let listed = |address: SocketAddr| ListedEngine {
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
                    gateway.servers().list(place, listed(address));
                }
                Err(_) => gateway.servers().retire(place),
            }
        }
        if !protocols.speaks_lines() {
            return;
        }
        match address {
            Ok(address) => self.engines.update_engine(place, listed(address)),
            Err(_) if !available => self.engines.retire(place),
            Err(error) => log::error!(
                "engine {}: address '{}': {error}",
                engine.id,
                engine.address
            ),
        }
    }

    /// When the engines of a list started, on the front's clock.
    fn starts(&mut self, list: &EngineList, moment: ListMoment) -> Vec<Option<Micros>> {
        if list.is_full {
            let named: HashSet<&str> = list.engines.iter().map(|e| e.id.as_str()).collect();
            self.engine_starts.whole_list(|id| named.contains(id));
        }
        let starts = &mut self.engine_starts;
        let start = |engine: &Engine| {
            let start = starts.listed(&engine.id, engine.started_ms, moment);
            if engine.state == EngineState::Removed {
                starts.gone(&engine.id);
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
