//! How a front joins the fleet at its start: the elections for ownership of the fleet's work, and the ledger.

use std::net::UdpSocket;

use calloop::LoopHandle;
use hallmux_config::{self as agreement, OnDiskFailure};
use hallmux_dispatcher::Micros;
use hallmux_fleet::{ClockReading, Exchange, OwnershipConfig, VoterAddress};
use hallmux_gossip::seal::peer_id;
use hallmux_lease::LeaseTerms;

use super::copies::{Copies, CopiesError, Found};
use super::errors::PeersError;
use super::members::{setup, LedgerSetup};
use super::votes::Votes;
use crate::events::{LoopEvents, SocketKind};

/// Joins the elections for ownership of the fleet's work. Returns the durable votes, where this front is a voter.
pub(super) fn join_ownership(
    exchange: &mut Exchange,
    ownership: &agreement::Ownership,
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
    let own = peer_id(&exchange.public_key());
    let mut saved = None;
    if voters.iter().any(|voter| voter.id == own) {
        let socket = socket.try_clone().map_err(PeersError::system)?;
        let (opened, kept) = Votes::open(&ownership.directory, socket)?;
        (votes, saved) = (Some(opened), kept);
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
    let moment = ClockReading {
        now,
        steady: 0,
        wall_ms: (now / 1000) as u64,
    };
    exchange.enable_ownership(moment, ownership)?;
    log::info!(
        "takes part in ownership of the fleet's work{}",
        if votes.is_some() { ", and votes" } else { "" }
    );
    Ok(votes)
}

/// Joins the ledger. Returns the durable copies, where this front keeps some on disk.
pub(super) fn join_ledger(
    exchange: &mut Exchange,
    ledger: &agreement::Ledger,
    now: Micros,
    socket: &UdpSocket,
    handle: &LoopHandle<'static, LoopEvents>,
) -> Result<Option<Copies>, PeersError> {
    let own = peer_id(&exchange.public_key());
    let wall_ms = (now / 1000) as u64;
    let moment = ClockReading {
        now,
        steady: 0,
        wall_ms,
    };
    let LedgerSetup {
        mut setup,
        addresses,
    } = setup(ledger, own, wall_ms);
    let mut members = ledger.members.iter();
    let keeps = members.any(|member| peer_id(&member.key) == own);
    let mut copies = None;
    let mut saved = None;
    if keeps {
        if let Some((opened, found)) = open_copies(ledger, socket, handle)? {
            copies = Some(opened);
            setup.disk = found.disk;
            saved = found.saved;
        }
    }
    let kept = match (&copies, &saved) {
        _ if !keeps => "",
        (None, _) => ", and keeps copies in memory alone",
        (Some(_), None) => ", and keeps copies on a disk that is new",
        (Some(_), Some(_)) => ", and keeps copies on the disk that it had",
    };
    exchange.enable_ledger(moment, setup, addresses, saved)?;
    let count = ledger.members.len();
    log::info!("asks {count} fronts for promises{kept}");
    Ok(copies)
}

/// Opens the directory for copies, where the operator's file names one. None: copies are in memory alone, also after
/// a failure of the disk where the file allows that.
fn open_copies(
    ledger: &agreement::Ledger,
    socket: &UdpSocket,
    handle: &LoopHandle<'static, LoopEvents>,
) -> Result<Option<(Copies, Found)>, PeersError> {
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
            log::error!("{error}; copies are in memory alone");
            Ok(None)
        }
        Err(error) => Err(error.into()),
    }
}

/// What wakes the loop from the thread that writes copies.
fn loop_waker(
    handle: &LoopHandle<'static, LoopEvents>,
) -> std::io::Result<impl Fn() + Send + 'static> {
    let (ping, source) = calloop::ping::make_ping()?;
    let told = handle.insert_source(source, |(), _, events: &mut LoopEvents| {
        events.ready.push(SocketKind::Peers.id(0));
    });
    told.map_err(|e| std::io::Error::other(e.error.to_string()))?;
    Ok(move || ping.ping())
}
