//! The engine list as the coordinator tells it.

use std::net::SocketAddr;

use hallmux_codec::coordinator::{Engine, State, Stream};
use hallmux_dispatcher::{Listing, Micros, Mode as EngineMode, Protocol};

use super::Front;

impl Front {
    /// Takes in what a new configuration knows of the coordinator's events: a drain that it tells counts as told,
    /// whether the coordinator that it names answers or not.
    pub(super) fn follow_known(&mut self, known: &str) {
        match hallmux_codec::coordinator::stream(known.as_bytes()) {
            Ok(known) => {
                let before = self.coordinator.follow;
                self.coordinator.follow = before.max(known.index);
                self.follow(&known, before);
            }
            Err(what) => log::error!("NODE_CONFIG: known: {what}; the engine list is left as it was"),
        }
    }

    /// Takes in the coordinator's events that come after the one given.
    pub(super) fn follow(&mut self, stream: &Stream, after: u64) {
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
        protocols: match sessions {
            None => &[Protocol::Lines],
            Some(None) => &[Protocol::Postgres],
            Some(Some(_)) => &[Protocol::Lines, Protocol::Postgres],
        },
    }
}
