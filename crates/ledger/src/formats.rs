//! Format versions, so that a fleet can run two builds while a release goes through it.
//!
//! Packets: a front writes to another in the latest format that both read, and in the first one
//! until it knows. A message that only later formats have is held back until its receiver has shown
//! that it reads it.
//!
//! What is saved or proposed (entries of the log, states, records) names its format from the third
//! on; what names none is of the first. A later format is used only once all members read it, and
//! never a later one than the build before this one reads: so a release can go back one build and
//! lose nothing. A build that finds a later format than it reads reports that and changes nothing.

/// The format that this build writes where it can: 1, the first; 2, with messages for leader
/// transfer and for comparing replicas; 3, with entries, states and records that name their format,
/// and messages of fronts that shut down and of free keys.
pub const FORMAT: u8 = 3;
/// The latest format in which this build saves or proposes anything: one that the build before it
/// reads. The next build's is 3.
pub const SAVED_FORMAT: u8 = 1;
/// The first format with messages for leader transfer and for comparing replicas.
pub(crate) const TRANSFER_FORMAT: u8 = 2;
/// The first format whose entries, states and records name it.
pub(crate) const FIRST_EXPLICIT_FORMAT: u8 = 3;
/// The first format that tells fronts that a key is free.
pub(crate) const KEY_QUEUE_FORMAT: u8 = 3;
/// The earliest format that this build reads.
pub const OLDEST_FORMAT: u8 = 1;

#[cfg(test)]
#[path = "formats_tests.rs"]
mod tests;
