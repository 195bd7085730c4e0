//! Joins the elections for ownership of the fleet's work, and the ledger, when a front starts.

use std::net::UdpSocket;

use calloop::LoopHandle;
use hallmux_config::{self as config, OnDiskFailure};
use hallmux_dispatcher::Micros;
use hallmux_fleet::{ClockReading, Exchange, OwnershipConfig, VoterAddress};
use hallmux_gossip::seal::peer_id;
use hallmux_lease::LeaseTerms;

use super::copies::{Copies, CopiesError, StoredCopies};
use super::errors::PeersError;
use super::members::{ledger_setup, LedgerSetup};
use super::votes::Votes;
use crate::events::{LoopEvents, SocketKind};

/// Joins the elections for ownership of the fleet's work. Returns the storage of votes if this
/// front is a voter.
pub(super) fn join_ownership(
    exchange: &mut Exchange,
    ownership: &config::Ownership,
    now: Micros,
    socket: &UdpSocket,
) -> Result<Option<Votes>, PeersError> {
    let mut votes = None;
    let voters: Vec<_> = ownership
        .voters
        .iter()
        .map(|voter| VoterAddress {
            id: peer_id(&voter.key),
            address: voter.address,
        })
        .collect();
    let local_id = peer_id(&exchange.public_key());
    let mut saved = None;
    if voters.iter().any(|voter| voter.id == local_id) {
        let socket = socket.try_clone().map_err(PeersError::system)?;
        let (opened, previous) = Votes::open(&ownership.directory, socket)?;
        (votes, saved) = (Some(opened), previous);
    }
    let terms = LeaseTerms {
        length: ownership.lease,
        drift_ppm: ownership.drift_ppm,
    };
    let ownership = OwnershipConfig {
        fleet: ownership.fleet.clone(),
        voters,
        terms,
        saved,
    };
    let clock = ClockReading {
        now,
        steady: 0,
        wall_ms: (now / 1000) as u64,
    };
    exchange.enable_ownership(clock, ownership)?;
    log::info!(
        "gossip.ownership: takes part in the election of the owner of the fleet's work{}",
        if votes.is_some() { ", as a voter" } else { "" }
    );
    Ok(votes)
}

/// Joins the ledger. Returns the storage of replicas if this front is a member that keeps them on disk.
pub(super) fn join_ledger(
    exchange: &mut Exchange,
    ledger: &config::Ledger,
    now: Micros,
    socket: &UdpSocket,
    handle: &LoopHandle<'static, LoopEvents>,
) -> Result<Option<Copies>, PeersError> {
    let local_id = peer_id(&exchange.public_key());
    let wall_ms = (now / 1000) as u64;
    let clock = ClockReading {
        now,
        steady: 0,
        wall_ms,
    };
    let LedgerSetup {
        mut setup,
        addresses,
    } = ledger_setup(ledger, local_id, wall_ms);
    let mut members = ledger.members.iter();
    let is_member = members.any(|member| peer_id(&member.key) == local_id);
    let mut copies = None;
    let mut saved = None;
    if is_member {
        if let Some((opened, stored)) = open_copies(ledger, socket, handle)? {
            copies = Some(opened);
            setup.disk = stored.disk;
            saved = stored.saved;
        }
    }
    let storage = match (&copies, &saved) {
        _ if !is_member => "",
        (None, _) => "; keeps replicas in memory only",
        (Some(_), None) => "; keeps replicas on a new disk",
        (Some(_), Some(_)) => "; keeps replicas on its disk, which has those of an earlier start",
    };
    exchange.enable_ledger(clock, setup, addresses, saved)?;
    let count = ledger.members.len();
    log::info!("gossip.ledger: uses a ledger of {count} members{storage}");
    Ok(copies)
}

/// Opens the directory for replicas. Returns None if replicas are kept in memory only: the
/// operator's file names no directory, or the disk failed and `on_disk_failure` allows that.
fn open_copies(
    ledger: &config::Ledger,
    socket: &UdpSocket,
    handle: &LoopHandle<'static, LoopEvents>,
) -> Result<Option<(Copies, StoredCopies)>, PeersError> {
    let Some(directory) = &ledger.directory else {
        return Ok(None);
    };
    let memory_on_disk_failure = ledger.on_disk_failure == OnDiskFailure::Memory;
    let fault_file = ledger.disk_fault_file.as_deref();
    let socket = socket.try_clone().map_err(PeersError::system)?;
    let loop_waker = loop_waker(handle).map_err(PeersError::system)?;
    match Copies::open(directory, fault_file, socket, loop_waker) {
        Ok(opened) => Ok(Some(opened)),
        Err(error @ CopiesError::Disk { .. }) if memory_on_disk_failure => {
            log::error!("gossip: {error}; this front keeps its ledger replicas in memory only");
            Ok(None)
        }
        Err(error) => Err(error.into()),
    }
}

/// Returns the callback with which the thread that stores replicas wakes the event loop.
fn loop_waker(
    handle: &LoopHandle<'static, LoopEvents>,
) -> std::io::Result<impl Fn() + Send + 'static> {
    let (ping, source) = calloop::ping::make_ping()?;
    let registered = handle.insert_source(source, |(), _, events: &mut LoopEvents| {
        events.ready.push(SocketKind::Peers.id(0));
    });
    registered.map_err(|e| std::io::Error::other(e.error.to_string()))?;
    Ok(move || ping.ping())
}
