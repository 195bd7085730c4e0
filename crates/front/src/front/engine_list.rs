//! The engine list: updates of the coordinator go to the dispatcher and to the connections.

use std::net::SocketAddr;

use hallmux_codec::coordinator::{Engine, EngineState, Events};
use hallmux_dispatcher::{Listing, Micros, Mode as EngineMode, Protocol};

use super::Front;

impl Front {
    /// Takes in what a new configuration knows of the coordinator's events: a drain among them counts,
    /// whether the coordinator that the configuration names answers or not.
    pub(super) fn apply_known_list(&mut self, known: &str) {
        match hallmux_codec::coordinator::events(known.as_bytes()) {
            Ok(known) => {
                let before = self.coordinator.last_index;
                self.coordinator.last_index = before.max(known.index);
                self.apply_list(&known, before);
            }
            Err(what) => log::error!("NODE_CONFIG: known: {what}; the engine list is left as it was"),
        }
    }

    /// Takes in the coordinator's events that come after the one given.
    pub(super) fn apply_list(&mut self, stream: &Events, after: u64) {
        for update in stream.updates.iter().filter(|u| u.index > after) {
            let Some(list) = &update.list else { continue };
            let gateway = self.gateway.as_ref();
            let speaks = |e: &Engine| gateway.and_then(|gateway| gateway.port(&e.kind));
            let listings: Vec<Listing> = list.engines.iter().map(|e| listing(e, speaks(e))).collect();
            let places = self.dispatcher.list(list.is_full, &listings);
            if list.is_full {
                self.engines.retire_others(&places);
                self.gateway.iter_mut().for_each(|gateway| gateway.servers().retire_others(&places));
            }
            for (engine, place) in list.engines.iter().zip(places) {
                let Engine { id, address, kind, state, .. } = engine;
                log::info!("engine {id}: {state:?} at {address} ({kind})");
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
                    Ok(at) => self.engines.list(place, id, at, engine.started_ms, *state == EngineState::Up),
                    Err(_) if *state != EngineState::Up => self.engines.retire(place),
                    Err(e) => log::error!("engine {id}: address '{address}': {e}"),
                }
            }
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
            EngineState::Up => EngineMode::Ready,
            EngineState::Draining => EngineMode::Draining,
            EngineState::Removed => EngineMode::Gone,
        },
        started: (engine.started_ms > 0.0).then_some((engine.started_ms * 1000.0) as Micros),
        protocols: match sessions {
            None => &[Protocol::Lines],
            Some(None) => &[Protocol::Postgres],
            Some(Some(_)) => &[Protocol::Lines, Protocol::Postgres],
        },
    }
}
