//! Why a summary is rejected, with messages that state the remedy.

use super::{MAX_SUMMARY_BYTES, PLAIN_FORMAT};

/// Why a summary is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SummaryError {
    /// Longer than [`MAX_SUMMARY_BYTES`]; holds the length in bytes.
    #[error("a summary of {0} bytes, over {MAX_SUMMARY_BYTES}: make it coarser at its site")]
    Long(usize),
    /// The bytes are malformed or truncated.
    #[error("a summary that is cut short or no summary: let the site write it again")]
    Form,
    /// A format that this build does not read; holds its number.
    #[error(
        "a summary of format {0}, this front reads {PLAIN_FORMAT}: site and front must be of versions that agree"
    )]
    Format(u16),
    /// A site that is not configured; holds its name.
    #[error("a summary of site '{0}', which scatter.sites does not name: add the site with its key, or take the file away")]
    Unknown(String),
    /// The signature does not match the site's key; holds the site's name.
    #[error("a summary of site '{0}' whose signature does not hold: compare the key in scatter.sites with the site's own")]
    Forged(String),
    /// The signature is valid, but the content is inconsistent.
    #[error("site '{site}', group {group}: a summary that contradicts itself in {what}: the site makes it wrongly")]
    Content {
        /// The site that signed the summary.
        site: String,
        /// The table group.
        group: u32,
        /// The inconsistent part.
        what: &'static str,
    },
    /// The schema is not the configured one.
    #[error(
        "site '{site}', group {group}: schema {schema}, scatter.schemas says {stated}: bring the two in line"
    )]
    Schema {
        /// The site that signed the summary.
        site: String,
        /// The table group.
        group: u32,
        /// The schema that the summary states.
        schema: u32,
        /// The configured schema.
        stated: u32,
    },
    /// Not newer than the summary held.
    #[error(
        "site '{site}', group {group}: version {version} after {held}: a site's versions must grow"
    )]
    Version {
        /// The site that signed the summary.
        site: String,
        /// The table group.
        group: u32,
        /// The summary's version.
        version: u64,
        /// The version held.
        held: u64,
    },
    /// Older than the configured limit.
    #[error("site '{site}', group {group}: made {age_ms} ms ago, scatter.oldest_ms is {most_ms}: the site must write more often")]
    Old {
        /// The site that signed the summary.
        site: String,
        /// The table group.
        group: u32,
        /// The summary's age in milliseconds.
        age_ms: u64,
        /// The maximum age in milliseconds.
        most_ms: u64,
    },
    /// Made in the future, by this front's clock.
    #[error(
        "site '{site}', group {group}: made {ahead_ms} ms ahead of this front's clock: set the clocks right"
    )]
    Ahead {
        /// The site that signed the summary.
        site: String,
        /// The table group.
        group: u32,
        /// The difference in milliseconds.
        ahead_ms: u64,
    },
    /// The store has no room for another site or group.
    #[error("site '{site}', group {group}: {held} summaries are held, as many as scatter.most allows: raise it or name fewer sites")]
    Full {
        /// The site that signed the summary.
        site: String,
        /// The table group.
        group: u32,
        /// The number of summaries held.
        held: usize,
    },
}

impl SummaryError {
    /// The name under which the reason is counted.
    pub fn name(&self) -> &'static str {
        match self {
            SummaryError::Long(_) => "long",
            SummaryError::Form => "form",
            SummaryError::Format(_) => "format",
            SummaryError::Unknown(_) => "unknown site",
            SummaryError::Forged(_) => "forged",
            SummaryError::Content { .. } => "content",
            SummaryError::Schema { .. } => "schema",
            SummaryError::Version { .. } => "version",
            SummaryError::Old { .. } => "old",
            SummaryError::Ahead { .. } => "clock ahead",
            SummaryError::Full { .. } => "full",
        }
    }
}
