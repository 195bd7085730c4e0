//! Size limits of packets and of the long messages that are split into them.

use crate::Micros;

/// Maximum bytes of a packet: a datagram of gossip (1,200) less its seal (92), its sender's own
/// update and lengths (44), and the byte that names the channel of the packet.
pub(crate) const PACKET_BYTES: usize = 1_040;
/// Maximum bytes of a packet in addition to its messages or its fragment.
pub(crate) const HEADER_BYTES: usize = 48;
/// Maximum bytes of a fragment, or of the small messages that share a packet.
pub(crate) const FRAGMENT_BYTES: usize = PACKET_BYTES - HEADER_BYTES;
/// Maximum fragments of a message: some 4 MB.
pub(crate) const MAX_FRAGMENTS: usize = 4_096;
/// Microseconds without activity after which a long message is abandoned.
pub(crate) const ABANDON_AFTER: Micros = 10_000_000;
