//! Shares of liars: forged ones count for nothing however many come, and one front's own word counts once.

#[allow(dead_code)]
#[path = "fleet/sim.rs"]
mod sim;

use hallmux_gossip::channels::Channel;
use hallmux_gossip::message::{self, Message, Probe, Signed};
use hallmux_gossip::node::{Node, Start};
use hallmux_gossip::seal::Own;
use hallmux_gossip::shares::{Offered, Share};
use hallmux_gossip::Micros;
use sim::{at, keys, secret, SECOND, WALL};

fn share(reporter: u64, version: u32, asked: u32) -> Share {
    let offered = vec![Offered { workload: 1, asked, work_us: 100, ..Offered::default() }];
    Share { reporter, life: WALL, version, created_ms: WALL, offered }
}

/// A datagram of `own` that holds these shares.
fn datagram_with(own: &mut Own, shares: &[Signed]) -> Vec<u8> {
    let payload = [&[Channel::Load as u8][..], &message::bytes(&shares.to_vec())].concat();
    let message = Message { probe: Probe::None, rumours: Vec::new(), reports: Vec::new(), payload };
    own.seal(WALL, &message::bytes(&message))
}

fn asked(node: &Node, now: Micros) -> Vec<u32> {
    node.offered(now).map(|offered| offered[0].asked).collect()
}

#[test]
fn a_flood_of_forged_shares_changes_nothing() {
    let start = Start { secret: secret(0), keys: keys(4), address: at(0), seeds: Vec::new() };
    let mut node = Node::new(start, WALL);
    node.tells_load();
    let (mut liar, honest) = (Own::new(&secret(1), WALL), Own::new(&secret(2), WALL));
    let told = datagram_with(&mut liar, &[honest.sign_share(&share(honest.id, 1, 7))]);
    node.heard(0, WALL, at(1), &told);
    assert_eq!(asked(&node, 1), [7], "whoever passes it on, it is its reporter's word");
    assert!(node.hears_load(1));
    // Under another's name, of fronts that nobody knows, cut short, with more workloads than count.
    let stranger = Own::new(&secret(9), WALL);
    for version in 2..400 {
        let forged = liar.sign_share(&share(honest.id, version, u32::MAX));
        let strange = stranger.sign_share(&share(stranger.id, version, u32::MAX));
        let mut short = honest.sign_share(&share(honest.id, version, 9));
        short.report.pop();
        let many = Share { offered: vec![Offered::default(); 25], ..share(liar.id, version, 0) };
        for shares in [[forged, strange], [short, liar.sign_share(&many)]] {
            let datagram = datagram_with(&mut liar, &shares);
            node.heard(Micros::from(version), WALL, at(1), &datagram);
        }
    }
    assert_eq!(asked(&node, 500), [7]);
    assert!(node.refused.values().sum::<u64>() > 0);
    // One that speaks for itself without end has one word, the last.
    for version in 1..400 {
        let own = liar.sign_share(&share(liar.id, version, u32::MAX - version));
        let datagram = datagram_with(&mut liar, &[own]);
        node.heard(SECOND + Micros::from(version) * 10_000, WALL + 1_000, at(1), &datagram);
    }
    let now = 4 * SECOND;
    assert!(asked(&node, now).len() <= 2 && asked(&node, now).contains(&7), "{:?}", asked(&node, now));
    // What is not renewed is gone in seconds.
    assert!(!node.hears_load(12 * SECOND) && asked(&node, 12 * SECOND).is_empty());
}
