//! Format versions, which let a fleet run two builds during a release.
//!
//! Packets: a front writes to another in the latest format that both read, and in the first format
//! until it knows the other's. A message that exists only in later formats is withheld until its
//! receiver has shown that it reads such a format.
//!
//! Saved and proposed data (entries of the log, states, records) name their format from the third
//! format on; data without a format is of the first. A later format is used only once all members
//! read it, and never a later one than the previous build reads, so that a release can be rolled
//! back by one build without loss. A build that finds a later format than it reads reports that and
//! changes nothing.

/// The latest format that this build reads and writes. Format 1 is the first; 2 adds messages for
/// leader transfer and for comparing replicas; 3 adds entries, states and records that name their
/// format, and messages about shutdowns and free keys.
pub const FORMAT: u8 = 3;
/// The latest format in which this build saves or proposes data: one that the previous build reads.
/// The next build's is 3.
pub const SAVED_FORMAT: u8 = 1;
/// The first format with messages for leader transfer and for comparing replicas.
pub(crate) const TRANSFER_FORMAT: u8 = 2;
/// The first format whose entries, states and records name it.
pub(crate) const FIRST_EXPLICIT_FORMAT: u8 = 3;
/// The first format with messages that notify a front of a free key.
pub(crate) const KEY_QUEUE_FORMAT: u8 = 3;
/// The earliest format that this build reads.
pub const OLDEST_FORMAT: u8 = 1;

#[cfg(test)]
#[path = "formats_tests.rs"]
mod tests;
