//! Converts the operator's settings of the ledger and its members to those of `hallmux_ledger`.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

use hallmux_config::Ledger;
use hallmux_gossip::seal::peer_id;
use hallmux_gossip::PeerId;
use hallmux_ledger::{Member, Setup};

/// The members that keep replicas, and their addresses.
pub struct LedgerMembers {
    pub members: Vec<Member>,
    pub addresses: BTreeMap<PeerId, SocketAddr>,
}

/// The ledger's settings, and the addresses of its members.
pub struct LedgerSetup {
    pub setup: Setup,
    pub addresses: BTreeMap<PeerId, SocketAddr>,
}

/// Returns the members that the operator's file names.
pub fn ledger_members(ledger: &Ledger) -> LedgerMembers {
    let member = |m: &hallmux_config::LedgerMember| Member {
        front: peer_id(&m.key),
        zone: m.zone.clone(),
    };
    let addresses = ledger
        .members
        .iter()
        .map(|m| (peer_id(&m.key), m.address))
        .collect();
    LedgerMembers {
        members: ledger.members.iter().map(member).collect(),
        addresses,
    }
}

/// Returns the settings of this front's ledger. `local_id` identifies the front by its key, and
/// `incarnation` is the Unix time of its start in milliseconds.
pub fn ledger_setup(ledger: &Ledger, local_id: PeerId, incarnation: u64) -> LedgerSetup {
    let LedgerMembers { members, addresses } = ledger_members(ledger);
    // Replicas in memory end with the incarnation, so that each incarnation counts as another disk.
    let disk = RandomState::new().hash_one(incarnation).max(1);
    let setup = Setup {
        replication_factor: ledger.replication_factor,
        shards: ledger.shards,
        max_shard_entries: ledger.max_shard_entries,
        max_shard_bytes: ledger.max_shard_bytes,
        request_timeout: ledger.request_timeout,
        repair_after: ledger.repair_after,
        repair_bytes_per_s: ledger.repair_bytes_per_s,
        max_moving_percent: ledger.max_moving_percent,
        zone_repair_after: ledger.zone_repair_after,
        clock_skew_ms: ledger.clock_skew_ms,
        ..Setup::new(&ledger.fleet, local_id, incarnation, disk, members)
    };
    LedgerSetup { setup, addresses }
}
