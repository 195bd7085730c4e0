//! Starts gossip: reads the secret, opens the socket, and joins the elections and the ledger if
//! they are configured.

use std::collections::BTreeMap;
use std::hash::RandomState;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Instant;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction};
use hallmux_config::{parse_key, Gossip, OnDiskFailure};
use hallmux_dispatcher::Micros;
use hallmux_fleet::Exchange;
use hallmux_gossip::node::NodeConfig;

use super::log_lines::LogState;
use super::{peer_keys, peer_names, Peers};
use crate::events::{LoopEvents, SocketKind};
use crate::fleet::errors::PeersError;
use crate::fleet::join::{join_ledger, join_ownership};
use crate::transient;

impl Peers {
    /// Opens the socket and joins the elections and the ledger that the operator's file configures.
    /// `now` is the Unix time in microseconds, which identifies this incarnation of the front.
    pub fn new(
        gossip: &Gossip,
        now: Micros,
        handle: &LoopHandle<'static, LoopEvents>,
    ) -> Result<Peers, PeersError> {
        let secret = read_secret(gossip)?;
        let socket = bind(gossip)?;
        let local_address = socket
            .local_addr()
            .map_err(|why| listen_error(gossip, why))?;
        register(&socket, handle)?;
        let node = NodeConfig {
            secret,
            keys: peer_keys(gossip),
            address: gossip.advertise.unwrap_or(local_address),
            seeds: gossip.seeds.clone(),
        };
        let mut exchange = Exchange::new(node, (now / 1000) as u64);
        if gossip.overload.is_some() {
            exchange.enable_load_reports();
            log::info!("gossip.overload: sheds overload by the load of the whole fleet");
        }
        let steady_start = Instant::now();
        let votes = match &gossip.ownership {
            Some(ownership) => join_ownership(&mut exchange, ownership, now, &socket)?,
            None => None,
        };
        let copies = match &gossip.ledger {
            Some(ledger) => join_ledger(&mut exchange, ledger, now, &socket, handle)?,
            None => None,
        };
        let ledger = gossip.ledger.as_ref();
        log_start(gossip, &exchange, local_address);
        Ok(Peers {
            socket,
            exchange,
            peer_names: peer_names(gossip),
            random: RandomState::new(),
            draws_made: 0,
            steady_start,
            votes,
            copies,
            memory_on_disk_failure: ledger
                .is_some_and(|ledger| ledger.on_disk_failure == OnDiskFailure::Memory),
            log_state: LogState::default(),
            ledger_answers: Vec::new(),
            has_ledger: ledger.is_some(),
            messages: BTreeMap::new(),
        })
    }
}

fn read_secret(gossip: &Gossip) -> Result<[u8; 32], PeersError> {
    let file = || gossip.secret_file.clone();
    let text = std::fs::read_to_string(&gossip.secret_file);
    let text = text.map_err(|why| PeersError::SecretFile { file: file(), why })?;
    parse_key(&text).ok_or_else(|| PeersError::Secret(file()))
}

fn listen_error(gossip: &Gossip, why: std::io::Error) -> PeersError {
    PeersError::Listen {
        at: gossip.listen,
        why,
    }
}

fn bind(gossip: &Gossip) -> Result<Rc<UdpSocket>, PeersError> {
    let socket = transient::retry(|| UdpSocket::bind(gossip.listen))
        .map_err(|why| listen_error(gossip, why))?;
    socket
        .set_nonblocking(true)
        .map_err(|why| listen_error(gossip, why))?;
    Ok(Rc::new(socket))
}

/// Registers the socket with the event loop, which reports arriving datagrams from then on.
fn register(
    socket: &Rc<UdpSocket>,
    handle: &LoopHandle<'static, LoopEvents>,
) -> Result<(), PeersError> {
    let source = Generic::new(socket.clone(), Interest::READ, Mode::Edge);
    let registered = handle.insert_source(source, |_, _, events: &mut LoopEvents| {
        events.ready.push(SocketKind::Peers.id(0));
        Ok(PostAction::Continue)
    });
    registered.map_err(|e| PeersError::system(e.error))?;
    Ok(())
}

fn log_start(gossip: &Gossip, exchange: &Exchange, local_address: SocketAddr) {
    let public_key: String = exchange
        .public_key()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    log::info!(
        "talks with other fronts, {} keys count; its own is {public_key}, its address {local_address}",
        gossip.peers.len()
    );
}
