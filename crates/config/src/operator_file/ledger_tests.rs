//! Unit tests of the `ledger` module.

use super::super::sections::tests::read;
use super::OnDiskFailure;

#[test]
fn ledger_with_unknown_member_or_value_out_of_range_is_rejected() {
    let key = |n: u8| format!("{n:02x}").repeat(32);
    let peers: Vec<String> = (1..=4).map(|n| format!("f{n}: '{}'", key(n))).collect();
    let with = |ledger: &str| {
        let peers = peers.join(", ");
        read(&format!(
            "{{ gossip: {{ listen: '127.0.0.1:1', secret_file: 's', peers: {{ {peers} }},\n ledger: {{ {ledger} }} }} }}"
        ))
    };
    let member = |n: u8| format!("f{n}: {{ at: '127.0.0.1:{n}', zone: 'z{n}' }}");
    let members: Vec<String> = (1..=4).map(member).collect();
    let good = format!(
        "fleet: 'campus', members: {{ {} }}, directory: '/var/lib/hallmux'",
        members.join(", ")
    );
    let ledger = with(&good).unwrap().gossip.unwrap().ledger.unwrap();
    assert_eq!(
        (
            ledger.replication_factor,
            ledger.shards,
            ledger.request_timeout
        ),
        (3, 16, 500_000)
    );
    assert_eq!(
        (ledger.members.len(), ledger.members[1].zone.as_str()),
        (4, "z2")
    );
    assert_eq!(ledger.on_disk_failure, OnDiskFailure::Reject);
    for (from, to, expected) in [
        (
            "f4:",
            "f9:",
            "gossip.ledger.members.f9: is not among gossip.peers",
        ),
        (
            "fleet:",
            "copies: 5, fleet:",
            "gossip.ledger.copies: is not from 1 to 4",
        ),
        (
            "fleet:",
            "copies: 0, fleet:",
            "gossip.ledger.copies: is not from 1 to 4",
        ),
        (
            "fleet:",
            "shards: 0, fleet:",
            "gossip.ledger.shards: is not from 1 to 1024",
        ),
        (
            "fleet:",
            "patience_ms: 20, fleet:",
            "gossip.ledger.patience_ms: is not from 50 to 10000",
        ),
        (
            "fleet:",
            "repair_after_ms: 1, fleet:",
            "gossip.ledger.repair_after_ms: is not from 1000",
        ),
        (
            "fleet:",
            "moves_percent: 101, fleet:",
            "gossip.ledger.moves_percent: is not from 0 to 100",
        ),
        (
            "fleet:",
            "zone_after_ms: 7, fleet:",
            "gossip.ledger.zone_after_ms: is not from 30000 to 86400000",
        ),
        (
            "fleet:",
            "repair_bytes: 7, fleet:",
            "gossip.ledger.repair_bytes: is under 1024",
        ),
        (
            "fleet:",
            "most_bytes: 7, fleet:",
            "gossip.ledger.most_bytes: is not from 4096",
        ),
        (
            "fleet:",
            "most_entries: 0, fleet:",
            "gossip.ledger.most_entries: is not from 1",
        ),
        (
            "fleet:",
            "clocks_apart_ms: 60001, fleet:",
            "gossip.ledger.clocks_apart_ms: is over 60000",
        ),
        (
            "fleet:",
            "on_disk_failure: 'pray', fleet:",
            "gossip.ledger.on_disk_failure: is neither",
        ),
        (
            "'/var/lib/hallmux'",
            "''",
            "gossip.ledger.directory: is empty",
        ),
        (
            "directory: '/var/lib/hallmux'",
            "drill: 'd'",
            "gossip.ledger.drill: needs gossip.ledger.directory",
        ),
        ("'campus'", "''", "gossip.ledger.fleet: is empty"),
    ] {
        let error = with(&good.replace(from, to)).unwrap_err();
        assert!(error.starts_with(&format!("line 2: {expected}")), "{error}");
    }
}
