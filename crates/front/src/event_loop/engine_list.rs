//! The engine list: updates of the coordinator go to the dispatcher and to the connections.

use std::collections::HashSet;
use std::net::SocketAddr;

use hallmux_dispatcher::{ListScope, Listing, Micros, Mode as EngineMode, Protocol};
use hallmux_native_codec::coordinator::{Engine, EngineList, EngineState, Events};

use super::EventLoopState;
use crate::engine_starts::ListMoment;

impl EventLoopState {
    /// Takes in the coordinator's events that come after the one given.
    pub(super) fn apply_list(&mut self, stream: &Events, after: u64) {
        let moment = ListMoment {
            now: self.clock.now,
            wall_lead: self.clock.wall_lead(),
        };
        for update in stream.updates.iter().filter(|u| u.index > after) {
            let Some(list) = &update.list else { continue };
            let starts = self.starts(list, moment);
            let gateway = self.gateway.as_ref();
            let speaks = |e: &Engine| gateway.and_then(|gateway| gateway.port(&e.kind));
            let started = list.engines.iter().zip(&starts);
            let listings: Vec<Listing> = started
                .map(|(e, start)| listing(e, speaks(e), *start))
                .collect();
            let scope = if list.is_full {
                ListScope::Full
            } else {
                ListScope::Changes
            };
            let places = self.dispatcher.update_engines(scope, &listings);
            if list.is_full {
                self.engines.retire_others(&places);
                self.gateway
                    .iter_mut()
                    .for_each(|gateway| gateway.servers().retire_others(&places));
            }
            for ((engine, place), start) in list.engines.iter().zip(places).zip(starts) {
                let Engine {
                    id,
                    address,
                    kind,
                    state,
                    ..
                } = engine;
                let age = start.map_or(String::new(), |at| {
                    format!(", started {} ms ago", (moment.now - at) / 1000)
                });
                log::info!("engine {id}: {state:?} at {address} ({kind}){age}");
                let sessions = self.gateway.as_ref().and_then(|gateway| gateway.port(kind));
                let up = *state == EngineState::Up;
                if let Some((gateway, port)) = self.gateway.as_mut().zip(sessions) {
                    match address.parse::<SocketAddr>() {
                        Ok(mut at) => {
                            at.set_port(port.unwrap_or(at.port()));
                            gateway.servers().list(place, id, at, engine.started_ms, up);
                        }
                        Err(_) => gateway.servers().retire(place),
                    }
                }
                if sessions == Some(None) {
                    continue;
                }
                match address.parse() {
                    Ok(at) => self.engines.list(
                        place,
                        id,
                        at,
                        engine.started_ms,
                        *state == EngineState::Up,
                    ),
                    Err(_) if *state != EngineState::Up => self.engines.retire(place),
                    Err(e) => log::error!("engine {id}: address '{address}': {e}"),
                }
            }
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

/// A line of the list; `sessions` tells whether it takes PostgreSQL sessions, and at which port beside lines.
fn listing(engine: &Engine, sessions: Option<Option<u16>>, started: Option<Micros>) -> Listing<'_> {
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
        protocols: match sessions {
            None => &[Protocol::Lines],
            Some(None) => &[Protocol::Postgres],
            Some(Some(_)) => &[Protocol::Lines, Protocol::Postgres],
        },
    }
}
