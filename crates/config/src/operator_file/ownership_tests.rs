//! Unit tests of the `ownership` module.

use super::super::sections::tests::read;
use super::OwnershipVoter;

#[test]
fn ownership_requires_three_or_five_known_voters_and_a_directory() {
    let key = |n: u8| format!("{n:02x}").repeat(32);
    let peers: Vec<String> = (1..=4).map(|n| format!("f{n}: '{}'", key(n))).collect();
    let with = |ownership: &str| {
        let peers = peers.join(", ");
        read(&format!(
            "{{ gossip: {{ listen: '127.0.0.1:1', secret_file: 's', peers: {{ {peers} }},\n ownership: {{ {ownership} }} }} }}"
        ))
    };
    let voters = "voters: { f1: '127.0.0.1:1', f2: '127.0.0.1:2', f3: '127.0.0.1:3' }";
    let good = with(&format!(
        "fleet: 'campus', {voters}, directory: '/var/lib/hallmux'"
    ))
    .unwrap();
    let owned = good.gossip.unwrap().ownership.unwrap();
    assert_eq!(
        (owned.voters.len(), owned.lease, owned.drift_ppm),
        (3, 3_000_000, 10_000)
    );
    let second = OwnershipVoter {
        key: [2; 32],
        address: "127.0.0.1:2".parse().unwrap(),
    };
    assert_eq!(owned.voters[1], second);
    for (from, to, expected) in [
        (
            ", f3: '127.0.0.1:3'",
            "",
            "gossip.ownership.voters: names neither 3 nor 5 fronts",
        ),
        (
            "f3:",
            "f9:",
            "gossip.ownership.voters.f9: is not among gossip.peers",
        ),
        (
            "fleet:",
            "lease_ms: 499, fleet:",
            "gossip.ownership.lease_ms: is not from 500 to 60000",
        ),
        (
            "fleet:",
            "drift_ppm: 200001, fleet:",
            "gossip.ownership.drift_ppm: is over 200000",
        ),
        (
            "'/var/lib/hallmux'",
            "''",
            "gossip.ownership.directory: is empty",
        ),
    ] {
        let text =
            format!("fleet: 'campus', {voters}, directory: '/var/lib/hallmux'").replace(from, to);
        let error = with(&text).unwrap_err();
        assert!(error.starts_with(&format!("line 2: {expected}")), "{error}");
    }
    let without_directory = with(&format!("fleet: 'campus', {voters}")).unwrap_err();
    assert!(
        without_directory.contains("directory"),
        "{without_directory}"
    );
}
