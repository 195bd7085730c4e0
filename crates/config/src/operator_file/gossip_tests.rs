//! Unit tests of the `gossip` module.

use super::super::peers::GossipPeer;
use super::super::sections::tests::read;

#[test]
fn keys_and_the_quorum_are_read_and_checked() {
    let key = "0f".repeat(32);
    let gossip = format!(
        "{{ gossip: {{ listen: '127.0.0.1:0', secret_file: 's', peers: {{ a: '{key}' }} }} }}"
    );
    let peer = GossipPeer {
        name: "a".to_string(),
        key: [15; 32],
    };
    assert_eq!(read(&gossip).unwrap().gossip.unwrap().peers, [peer]);
    let why = read(&gossip.replace(&key, &key[1..])).unwrap_err();
    assert!(
        why.starts_with("line 1: gossip.peers.a: is no key"),
        "{why}"
    );
    assert_eq!(read(&gossip).unwrap().gossip.unwrap().zone_quorum, 2);
    let off = gossip.replace("peers:", "zone_quorum: 0, peers:");
    assert_eq!(read(&off).unwrap().gossip.unwrap().zone_quorum, 0);
    let why = read(&gossip.replace("peers:", "\nzone_quorum: 65, peers:")).unwrap_err();
    assert!(
        why.starts_with("line 2: gossip.zone_quorum: is over 64"),
        "{why}"
    );
}
