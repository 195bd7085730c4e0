//! Forged load reports are ignored however many are received, and each front counts once.

#[allow(dead_code)]
#[path = "fleet/sim.rs"]
mod sim;

use hallmux_gossip::channels::Channel;
use hallmux_gossip::load_reports::{LoadReport, OfferedLoad};
use hallmux_gossip::message::{self, Message, Probe, Signed};
use hallmux_gossip::node::{Node, NodeConfig};
use hallmux_gossip::seal::Identity;
use hallmux_gossip::Micros;
use sim::{address, keys, secret, SECOND, WALL};

fn report(reporter: u64, version: u32, requested: u32) -> LoadReport {
    let offered = vec![OfferedLoad {
        workload: 1,
        requested,
        service_us: 100,
        ..OfferedLoad::default()
    }];
    LoadReport {
        reporter,
        started_ms: WALL,
        version,
        created_ms: WALL,
        offered,
    }
}

/// A datagram sealed by `sender` that carries these reports.
fn datagram_with(sender: &mut Identity, reports: &[Signed]) -> Vec<u8> {
    let payload = [
        &[Channel::Load as u8][..],
        &message::encode(&reports.to_vec()),
    ]
    .concat();
    let message = Message {
        probe: Probe::None,
        updates: Vec::new(),
        reports: Vec::new(),
        payload,
    };
    sender.seal(WALL, &message::encode(&message))
}

fn requested(node: &Node, now: Micros) -> Vec<u32> {
    node.offered_loads(now)
        .map(|offered| offered[0].requested)
        .collect()
}

#[test]
fn a_flood_of_forged_load_reports_is_ignored() {
    let config = NodeConfig {
        secret: secret(0),
        keys: keys(4),
        address: address(0),
        seeds: Vec::new(),
    };
    let mut node = Node::new(config, WALL);
    node.enable_load_reports();
    let (mut malicious, honest) = (
        Identity::new(&secret(1), WALL),
        Identity::new(&secret(2), WALL),
    );
    let passed_on = datagram_with(
        &mut malicious,
        &[honest.sign_load_report(&report(honest.id, 1, 7))],
    );
    node.receive(0, WALL, address(1), &passed_on);
    assert_eq!(
        requested(&node, 1),
        [7],
        "the report counts for its reporter, whichever front forwards it"
    );
    assert!(node.has_peer_load(1));
    // Reports in another front's name, of an unknown front, truncated, and with too many loads.
    let unknown = Identity::new(&secret(9), WALL);
    for version in 2..400 {
        let forged = malicious.sign_load_report(&report(honest.id, version, u32::MAX));
        let unknown_reporter = unknown.sign_load_report(&report(unknown.id, version, u32::MAX));
        let mut truncated = honest.sign_load_report(&report(honest.id, version, 9));
        truncated.report.pop();
        let too_many = LoadReport {
            offered: vec![OfferedLoad::default(); 25],
            ..report(malicious.id, version, 0)
        };
        for reports in [
            [forged, unknown_reporter],
            [truncated, malicious.sign_load_report(&too_many)],
        ] {
            let datagram = datagram_with(&mut malicious, &reports);
            node.receive(Micros::from(version), WALL, address(1), &datagram);
        }
    }
    assert_eq!(requested(&node, 500), [7]);
    assert!(node.rejected.values().sum::<u64>() > 0);
    // A front that keeps reporting for itself counts once, by its last accepted report.
    for version in 1..400 {
        let own_report =
            malicious.sign_load_report(&report(malicious.id, version, u32::MAX - version));
        let datagram = datagram_with(&mut malicious, &[own_report]);
        node.receive(
            SECOND + Micros::from(version) * 10_000,
            WALL + 1_000,
            address(1),
            &datagram,
        );
    }
    let now = 4 * SECOND;
    assert!(
        requested(&node, now).len() <= 2 && requested(&node, now).contains(&7),
        "{:?}",
        requested(&node, now)
    );
    // Reports that are not renewed expire within seconds.
    assert!(!node.has_peer_load(12 * SECOND) && requested(&node, 12 * SECOND).is_empty());
}
