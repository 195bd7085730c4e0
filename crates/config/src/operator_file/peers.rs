//! The fronts in `gossip.peers`, to which other keys of the section refer by name.

/// The problem of a name in a subsection of `gossip` that is not the name of a peer.
pub const NOT_A_PEER: &str = "is not among gossip.peers; add its public key there, or name another";

/// The public key of a front.
pub type PublicKey = [u8; 32];

/// Another front whose messages are accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipPeer {
    /// The front's name in the log.
    pub name: String,
    /// The front's public key.
    pub key: PublicKey,
}

/// The public key of the peer with a name; None if no peer has it.
pub fn key_of(peers: &[GossipPeer], name: &str) -> Option<PublicKey> {
    let peer = peers.iter().find(|peer| peer.name == name)?;
    Some(peer.key)
}

/// Parses a key of 32 bytes from 64 hexadecimal digits, ignoring surrounding white space. None for
/// any other text.
pub fn parse_key(text: &str) -> Option<[u8; 32]> {
    let digits = text.trim().as_bytes();
    if digits.len() != 64 {
        return None;
    }
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let mut key = [0; 32];
    for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = (digit(pair[0])? * 16 + digit(pair[1])?) as u8;
    }
    Some(key)
}
