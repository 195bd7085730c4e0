//! What fronts send each other about summaries, as `postcard` writes it. Variants are numbered by their order: new ones
//! go to the end.

use serde::{Deserialize, Serialize};

use crate::store::{HeldVersion, SummaryStore};

/// A message about summaries.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// Summaries that the sender can serve, by id and version.
    Versions(Vec<(u64, u64)>),
    /// The sender lacks this piece.
    Request { name: u64, version: u64, piece: u16 },
    /// The answer to `Request`: the bytes of one of so many pieces.
    Piece {
        name: u64,
        version: u64,
        piece: u16,
        pieces: u16,
        bytes: Vec<u8>,
    },
    /// The same as `Versions`, with the detail of each: between fronts that hold parts of summaries.
    DetailedVersions(Vec<HeldVersion>),
    /// False reports of sites that fronts have found lately.
    FalseSummaries(Vec<FalseSummary>),
}

/// A site's summary of a group said that it has no row for a statement, and it had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FalseSummary {
    /// The site whose summary was wrong.
    pub site: String,
    /// The table group of the summary.
    pub group: u32,
    /// The version of the summary.
    pub version: u64,
}

/// What a front tells that it has; to fronts that take all of a summary, as they know it.
pub(super) fn version_list(versions: Vec<HeldVersion>, summaries: &SummaryStore) -> Message {
    match summaries.retention {
        Some(_) => Message::DetailedVersions(versions),
        None => Message::Versions(
            versions
                .into_iter()
                .map(|held| (held.name, held.version))
                .collect(),
        ),
    }
}

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
