//! The operator's settings of the ledger and of its members, as `hallmux_ledger` takes them.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

use hallmux_config::Ledger;
use hallmux_gossip::seal::peer_id;
use hallmux_gossip::PeerId;
use hallmux_ledger::{Member, Setup};

/// The members that keep copies, and their addresses.
pub fn members(ledger: &Ledger) -> (Vec<Member>, BTreeMap<PeerId, SocketAddr>) {
    let member = |m: &hallmux_config::LedgerMember| Member {
        front: peer_id(&m.key),
        zone: m.zone.clone(),
    };
    let addresses = ledger
        .members
        .iter()
        .map(|m| (peer_id(&m.key), m.at))
        .collect();
    (ledger.members.iter().map(member).collect(), addresses)
}

/// The ledger's settings, and the addresses of its members.
pub fn setup(ledger: &Ledger, own: PeerId, life: u64) -> (Setup, BTreeMap<PeerId, SocketAddr>) {
    let (members, addresses) = members(ledger);
    // In memory each life is a disk of its own.
    let disk = RandomState::new().hash_one(life).max(1);
    let (copies, shards) = (ledger.copies, ledger.shards);
    let setup = Setup {
        copies,
        shards,
        most_entries: ledger.most_entries,
        most_bytes: ledger.most_bytes,
        ask_timeout: ledger.patience,
        repair_after: ledger.repair_after,
        repair_bytes: ledger.repair_bytes,
        moves_percent: ledger.moves_percent,
        zone_after: ledger.zone_after,
        clock_skew_ms: ledger.clocks_apart_ms,
        ..Setup::new(&ledger.fleet, own, life, disk, members)
    };
    (setup, addresses)
}
