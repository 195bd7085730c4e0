//! The start of a front: creates its components from the configuration and connects them.

use std::net::TcpListener;

use calloop::LoopHandle;
use hallmux_config::{NodeConfig, Settings};
use hallmux_dispatcher::{Dispatcher, Micros, SendCapacity};
use hallmux_native_codec::coordinator::Events as EngineListEvents;

use super::EventLoopState;
use crate::clients::Clients;
use crate::clock::Clock;
use crate::coordinator::Coordinator;
use crate::dial_pacer;
use crate::engine_starts::EngineStarts;
use crate::engines::Engines;
use crate::events::{LoopEvents, SocketKind};
use crate::fleet::rules::{Rules, SharedRules};
use crate::fleet::{LoggedBarrier, Peers};
use crate::listener::Listener;
use crate::postgres::gateway::Gateway;
use crate::read_queue::ReadQueue;
use crate::scatter::ScatteredStatements;
use crate::shutdown::Shutdown;
use crate::start_error::StartError;

impl EventLoopState {
    /// Opens the sockets and files that the configuration names, and registers them with the event loop. `known_events`
    /// is the engine list in the configuration. An error says what keeps the process from starting.
    pub fn new(
        config: &NodeConfig,
        known_events: &EngineListEvents,
        listener: TcpListener,
        handle: LoopHandle<'static, LoopEvents>,
    ) -> Result<EventLoopState, StartError> {
        let settings = &config.settings;
        let clock = start_clock(config)?;
        let peers = start_peers(config, clock.now, &handle)?;
        let rules = Rules::start(config, clock.now, peers.as_ref())?;
        let gateway = start_gateway(config, &handle, rules.clone())?;
        let scatter = start_scatter(config, clock.now, peers.as_ref())?;
        let listener = Listener::new(listener, &handle, SocketKind::Listener.id(0));
        let mut front = EventLoopState {
            listener: listener.map_err(|error| StartError::component(&error))?,
            dispatcher: Dispatcher::new(settings, config.seed),
            answer_slack: settings.network.answer_slack,
            max_statements: settings.network.max_held_statements,
            max_bytes: 0,
            max_input_bytes: 0,
            max_clients: 0,
            is_memory_full: false,
            clients: Clients::new(
                settings.agreement.max_retry_after,
                longest_timeout(settings),
            ),
            engines: Engines::new(handle.clone(), settings.network.clone(), &settings.names),
            engine_starts: EngineStarts::default(),
            coordinator: Coordinator::new(handle.clone(), config.coordinator, known_events.index),
            gateway,
            peers,
            rules,
            guard: None,
            scatter,
            send_capacity: SendCapacity::default(),
            shutdown: Shutdown::default(),
            clock,
            unfinished_reads: ReadQueue::default(),
            flush_deferred: false,
            handle,
        };
        front.share_dial_pacer(config);
        front.start_guard(config);
        front.apply_limits(&config.limits);
        front.apply_list(known_events, 0);
        Ok(front)
    }

    /// Makes engines of both protocols share one budget of new connections.
    fn share_dial_pacer(&mut self, config: &NodeConfig) {
        self.engines.dials = dial_pacer::from_config(config, self.clock.now);
        if let Some(gateway) = &mut self.gateway {
            gateway.servers().dials = self.engines.dials.clone();
        }
    }

    /// Creates the guard that holds executions until their ledger entries are replicated, if the fronts keep a ledger.
    fn start_guard(&mut self, config: &NodeConfig) {
        let gossip = config.operator.gossip.as_ref();
        let Some(ledger) = gossip.and_then(|gossip| gossip.ledger.as_ref()) else {
            return;
        };
        let now = self.clock.now;
        let guard = LoggedBarrier::new(&config.settings, now, ledger.shards, &mut self.dispatcher);
        self.guard = Some(guard);
    }
}

fn start_clock(config: &NodeConfig) -> Result<Clock, StartError> {
    let clock = Clock::new(config.operator.clock_offset, config.clock_file.as_deref());
    let mut clock = clock.map_err(|error| StartError::component(&error))?;
    clock.refresh();
    Ok(clock)
}

fn start_peers(
    config: &NodeConfig,
    now: Micros,
    handle: &LoopHandle<'static, LoopEvents>,
) -> Result<Option<Peers>, StartError> {
    let gossip = config.operator.gossip.as_ref();
    let peers = gossip.map(|gossip| Peers::new(gossip, now, handle));
    Ok(peers.transpose()?)
}

fn start_gateway(
    config: &NodeConfig,
    handle: &LoopHandle<'static, LoopEvents>,
    rules: Option<SharedRules>,
) -> Result<Option<Gateway>, StartError> {
    let Some(postgres) = &config.operator.postgres else {
        return Ok(None);
    };
    let gateway = Gateway::new(postgres, &config.settings, handle.clone(), rules);
    let mut gateway = gateway.map_err(|error| StartError::component(&error))?;
    let scatter = config.operator.scatter.as_ref();
    if let Some(scatter) = scatter.filter(|scatter| scatter.marks_loads) {
        gateway.writing_workloads = scatter.writing_workloads.clone();
    }
    Ok(Some(gateway))
}

fn start_scatter(
    config: &NodeConfig,
    now: Micros,
    peers: Option<&Peers>,
) -> Result<Option<ScatteredStatements>, StartError> {
    let Some(scatter) = &config.operator.scatter else {
        return Ok(None);
    };
    let spread_offset = peers.map_or(0, Peers::spread_offset);
    let scatter = ScatteredStatements::new(scatter, now, spread_offset, &config.settings);
    Ok(Some(
        scatter.map_err(|error| StartError::component(&error))?,
    ))
}

/// The longest time that a client of any workload waits for an answer; 0 without workloads.
fn longest_timeout(settings: &Settings) -> Micros {
    settings
        .agreement
        .workloads
        .iter()
        .map(|workload| workload.statement_timeout)
        .max()
        .unwrap_or(0)
}
