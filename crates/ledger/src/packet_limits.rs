//! Bounds of packets and of the long messages that are cut into them.

use crate::Micros;

/// Bytes of a packet at most: a datagram of gossip (1,200) less its seal (92), its sender's own update and lengths
/// (44), and the byte that tells whose packet it is.
pub(crate) const PACKET_BYTES: usize = 1_040;
/// Bytes of a packet beside its messages or its fragment at most.
pub(crate) const HEADER_BYTES: usize = 48;
/// Bytes of a fragment, or of the small messages that share a packet, at most.
pub(crate) const FRAGMENT_BYTES: usize = PACKET_BYTES - HEADER_BYTES;
/// Fragments of a message at most: some 4 MB.
pub(crate) const MAX_FRAGMENTS: usize = 4_096;
/// Microseconds without a sign until a long message is forgotten.
pub(crate) const ABANDON_AFTER: Micros = 10_000_000;
