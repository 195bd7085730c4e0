//! Unit tests of the `votes` module.

use super::*;
use hallmux_gossip::node::Datagram;

#[test]
fn datagram_is_sent_after_its_vote_is_durable_and_directory_is_locked() {
    let path = std::env::temp_dir().join(format!("hallmux-votes-{}", std::process::id()));
    let directory = path.display().to_string();
    let socket = || UdpSocket::bind("127.0.0.1:0").unwrap();
    let receiver = socket();
    receiver
        .set_read_timeout(Some(std::time::Duration::from_secs(10)))
        .unwrap();
    let (mut votes, initial) = Votes::open(&directory, socket()).unwrap();
    assert_eq!(initial, None);
    let second = Votes::open(&directory, socket()).err().unwrap();
    assert!(
        matches!(&second, VotesError::InUse(at) if *at == directory),
        "{second}"
    );
    let datagrams = vec![Datagram {
        to: receiver.local_addr().unwrap(),
        bytes: b"word".to_vec(),
    }];
    votes.save(VoterSave {
        bytes: Some(b"state".to_vec()),
        datagrams,
    });
    let mut received = [0; 8];
    assert_eq!(receiver.recv(&mut received).unwrap(), 4);
    assert_eq!(std::fs::read(path.join(FILE_NAME)).unwrap(), b"state");
    drop(votes);
    let (_votes, saved) = Votes::open(&directory, socket()).unwrap();
    assert_eq!(saved.as_deref(), Some(&b"state"[..]));
    std::fs::remove_dir_all(&path).unwrap();
}
