//! Why a summary is rejected, with messages that state the remedy.

use super::{MAX_SUMMARY_BYTES, PLAIN_FORMAT};

/// Why a summary is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SummaryError {
    /// Longer than [`MAX_SUMMARY_BYTES`]; holds the length in bytes.
    #[error("a summary of {0} bytes exceeds the limit of {MAX_SUMMARY_BYTES}: reduce its size at the site")]
    Long(usize),
    /// The bytes are malformed or truncated.
    #[error("a malformed or truncated summary: let the site write it again")]
    Form,
    /// A format that this build does not read; holds its number.
    #[error(
        "a summary of format {0}, but this front reads {PLAIN_FORMAT}: run compatible versions at the site and the front"
    )]
    Format(u16),
    /// A site that is not configured; holds its name.
    #[error("a summary of site '{0}', which scatter.sites does not name: add the site with its key, or remove the file")]
    Unknown(String),
    /// The signature does not match the site's key; holds the site's name.
    #[error("a summary of site '{0}' with an invalid signature: compare the key in scatter.sites with the site's own")]
    Forged(String),
    /// The signature is valid, but the content is inconsistent.
    #[error("site '{site}', group {group}: an inconsistent summary ({what}): correct how the site builds it")]
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
        "site '{site}', group {group}: schema {schema}, but scatter.schemas states {stated}: make the two agree"
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
        "site '{site}', group {group}: version {version} after {held}: the versions of a site's summaries must increase"
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
    #[error("site '{site}', group {group}: made {age_ms} ms ago, but scatter.oldest_ms is {max_age_ms}: the site must write summaries more often")]
    Old {
        /// The site that signed the summary.
        site: String,
        /// The table group.
        group: u32,
        /// The summary's age in milliseconds.
        age_ms: u64,
        /// The maximum age in milliseconds.
        max_age_ms: u64,
    },
    /// Made in the future, by this front's clock.
    #[error(
        "site '{site}', group {group}: made {ahead_ms} ms ahead of this front's clock: synchronize the clocks"
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
    #[error("site '{site}', group {group}: {held} summaries are held, which is the limit of scatter.most: raise it or configure fewer sites")]
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
