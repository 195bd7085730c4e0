//! Unit tests of the `gossip` module.

use super::super::peers::GossipPeer;
use super::super::sections::tests::read;

#[test]
fn invalid_peer_key_and_zone_quorum_out_of_range_are_rejected() {
    let key = "0f".repeat(32);
    let gossip = format!(
        "{{ gossip: {{ listen: '127.0.0.1:0', secret_file: 's', peers: {{ a: '{key}' }} }} }}"
    );
    let peer = GossipPeer {
        name: "a".to_string(),
        key: [15; 32],
    };
    assert_eq!(read(&gossip).unwrap().gossip.unwrap().peers, [peer]);
    let error = read(&gossip.replace(&key, &key[1..])).unwrap_err();
    assert!(
        error.starts_with("line 1: gossip.peers.a: is not a public key"),
        "{error}"
    );
    assert_eq!(read(&gossip).unwrap().gossip.unwrap().zone_quorum, 2);
    let disabled = gossip.replace("peers:", "zone_quorum: 0, peers:");
    assert_eq!(read(&disabled).unwrap().gossip.unwrap().zone_quorum, 0);
    let error = read(&gossip.replace("peers:", "\nzone_quorum: 65, peers:")).unwrap_err();
    assert!(
        error.starts_with("line 2: gossip.zone_quorum: is over 64"),
        "{error}"
    );
}
