//! Why a summary is refused, in words that say what to do about it.

use super::{FORMAT, MOST_BYTES};

/// Why a summary counts for nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("a summary of {0} bytes, over {MOST_BYTES}: make it coarser at its site")]
    Long(usize),
    #[error("a summary that is cut short or no summary: let the site write it again")]
    Form,
    #[error(
        "a summary of format {0}, this front reads {FORMAT}: site and front must be of versions that agree"
    )]
    Format(u16),
    #[error("a summary of site '{0}', which scatter.sites does not name: add the site with its key, or take the file away")]
    Unknown(String),
    #[error("a summary of site '{0}' whose signature does not hold: compare the key in scatter.sites with the site's own")]
    Forged(String),
    #[error("site '{site}', group {group}: a summary that contradicts itself in {what}: the site makes it wrongly")]
    Content { site: String, group: u32, what: &'static str },
    #[error(
        "site '{site}', group {group}: schema {schema}, scatter.schemas says {stated}: bring the two in line"
    )]
    Schema { site: String, group: u32, schema: u32, stated: u32 },
    #[error("site '{site}', group {group}: version {version} after {held}: a site's versions must grow")]
    Version { site: String, group: u32, version: u64, held: u64 },
    #[error("site '{site}', group {group}: made {age_ms} ms ago, scatter.oldest_ms is {most_ms}: the site must write more often")]
    Old { site: String, group: u32, age_ms: u64, most_ms: u64 },
    #[error(
        "site '{site}', group {group}: made {ahead_ms} ms ahead of this front's clock: set the clocks right"
    )]
    Ahead { site: String, group: u32, ahead_ms: u64 },
    #[error("site '{site}', group {group}: {held} summaries are held, as many as scatter.most allows: raise it or name fewer sites")]
    Full { site: String, group: u32, held: usize },
}

impl Refused {
    /// For counts by reason.
    pub fn why(&self) -> &'static str {
        match self {
            Refused::Long(_) => "long",
            Refused::Form => "form",
            Refused::Format(_) => "format",
            Refused::Unknown(_) => "unknown site",
            Refused::Forged(_) => "forged",
            Refused::Content { .. } => "content",
            Refused::Schema { .. } => "schema",
            Refused::Version { .. } => "version",
            Refused::Old { .. } => "old",
            Refused::Ahead { .. } => "clock ahead",
            Refused::Full { .. } => "full",
        }
    }
}
