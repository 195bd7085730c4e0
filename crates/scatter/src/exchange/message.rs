//! Messages between fronts about summaries, as `postcard` writes them. Variants are numbered by
//! their order, so that new ones must be appended.

use serde::{Deserialize, Serialize};

use crate::store::{HeldVersion, SummaryStore};

/// A message about summaries.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum Message {
    /// Summaries that the sender can serve, by id and version.
    Versions(Vec<(u64, u64)>),
    /// Requests a piece that the sender lacks.
    Request { name: u64, version: u64, piece: u16 },
    /// The answer to `Request`: the bytes of one piece, and the number of pieces of the summary.
    Piece {
        name: u64,
        version: u64,
        piece: u16,
        pieces: u16,
        bytes: Vec<u8>,
    },
    /// Like `Versions`, with the detail of each, between fronts that hold parts of summaries.
    DetailedVersions(Vec<HeldVersion>),
    /// Summaries that fronts have recently found false.
    FalseSummaries(Vec<FalseSummary>),
}

/// Reports that a site's summary ruled out rows that the site had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FalseSummary {
    /// The site whose summary was wrong.
    pub site: String,
    /// The table group of the summary.
    pub group: u32,
    /// The version of the summary.
    pub version: u64,
}

/// The announcement of the available versions. Fronts without a retention budget hold complete
/// summaries and send the variant without details.
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
