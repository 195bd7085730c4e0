//! The fronts of `gossip.peers` by name, which other keys of the section refer to.

/// The problem of a name in a section of gossip's that is no peer's.
pub const NOT_A_PEER: &str = "is not among gossip.peers; add its public key there, or name another";

/// The public half of a front's key pair.
pub type PublicKey = [u8; 32];

/// Another front whose messages count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipPeer {
    /// The name that the log gives it.
    pub name: String,
    /// Its public key.
    pub key: PublicKey,
}

/// The key of the peer of a name.
pub fn key_of(peers: &[GossipPeer], name: &str) -> Option<PublicKey> {
    let peer = peers.iter().find(|peer| peer.name == name)?;
    Some(peer.key)
}

/// Thirty-two bytes of a key, from 64 hexadecimal digits with white space around; None for any other text.
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
