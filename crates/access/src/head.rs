//! The ledger entries for the fleet's version: the head, which names the version, and the parts of
//! its text.

use hallmux_ledger::{Key, Kind};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The format of the stored head; a head of another format is not read.
const FORMAT: u8 = 1;
/// The length allowed for a file, in bytes; a shard of the ledger holds 512 KiB.
pub const MAX_TEXT_BYTES: usize = 256 << 10;
/// The length of a part in bytes: a few datagrams.
const PART_BYTES: usize = 8 << 10;
/// The number of earlier versions kept.
pub const MAX_PREVIOUS: usize = 8;
/// Milliseconds for which the parts of a version that is no longer kept remain in the ledger.
pub const DROPPED_PARTS_MS: u64 = 600_000;

/// A SHA-256 hash.
pub type Hash = [u8; 32];

/// A version number and the identity of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVersion {
    /// The version's number, which grows with each change.
    pub version: u64,
    /// The SHA-256 of its text.
    pub hash: Hash,
    /// The length of its text in bytes.
    pub bytes: u32,
}

/// The ledger entry that names the fleet's version. It is changed by compare-and-swap only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The format of this entry; an entry of another format is not read.
    pub format: u8,
    /// The fleet's version.
    pub current: StoredVersion,
    /// Whether no front applies an earlier version any more.
    pub in_force: bool,
    /// The earlier versions, the latest first.
    pub previous: Vec<StoredVersion>,
}

/// A head with the consequences of its change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NextHead {
    /// The head.
    pub head: Head,
    /// The version whose text is no longer needed once the head is stored.
    pub dropped: Option<StoredVersion>,
}

/// Returns the SHA-256 of a text.
pub fn hash(text: &str) -> Hash {
    Sha256::digest(text).into()
}

impl StoredVersion {
    /// Returns the stored version of a text.
    pub fn of_text(version: u64, text: &str) -> StoredVersion {
        StoredVersion {
            version,
            hash: hash(text),
            bytes: text.len() as u32,
        }
    }
}

impl Head {
    /// Returns the head that replaces another one with a new version.
    pub fn following(
        predecessor: Option<&Head>,
        current: StoredVersion,
        in_force: bool,
    ) -> NextHead {
        let mut kept: Vec<StoredVersion> = predecessor.iter().map(|head| head.current).collect();
        kept.extend(
            predecessor
                .iter()
                .flat_map(|head| head.previous.iter().copied()),
        );
        let dropped = if kept.len() > MAX_PREVIOUS {
            kept.pop()
        } else {
            None
        };
        // The same text may still be kept under another version.
        let is_kept = |dropped: &StoredVersion| {
            dropped.hash == current.hash || kept.iter().any(|kept| kept.hash == dropped.hash)
        };
        let dropped = dropped.filter(|dropped| !is_kept(dropped));
        let head = Head {
            format: FORMAT,
            current,
            in_force,
            previous: kept,
        };
        NextHead { head, dropped }
    }

    /// Encodes the head for the ledger.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a head; `None` if the bytes are of an unknown format or not a head.
    pub fn read(bytes: &[u8]) -> Option<Head> {
        let head = match postcard::take_from_bytes::<Head>(bytes) {
            Ok((head, [])) => head,
            _ => return None,
        };
        let fits = head.format == FORMAT && head.previous.len() <= MAX_PREVIOUS;
        (fits && head.current.bytes as usize <= MAX_TEXT_BYTES).then_some(head)
    }

    /// Returns a version that is kept; `None` if it is not.
    pub fn find(&self, version: u64) -> Option<StoredVersion> {
        [self.current]
            .into_iter()
            .chain(self.previous.iter().copied())
            .find(|kept| kept.version == version)
    }
}

/// Returns the ledger key of the head.
pub fn head_key() -> Key {
    Key {
        kind: Kind::Rules,
        name: "head".to_string(),
    }
}

/// Returns the ledger keys of the parts of a version's text.
pub fn part_keys(kept: StoredVersion) -> impl Iterator<Item = Key> {
    let name: String = kept
        .hash
        .iter()
        .take(8)
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let parts = (kept.bytes as usize).div_ceil(PART_BYTES).max(1);
    (0..parts).map(move |n| Key {
        kind: Kind::Rules,
        name: format!("text {name} {n}"),
    })
}

/// Splits a text into the parts stored in the ledger; an empty text has one empty part.
pub fn split_parts(text: &str) -> Vec<Vec<u8>> {
    if text.is_empty() {
        return vec![Vec::new()];
    }
    let parts = text.as_bytes().chunks(PART_BYTES);
    parts.map(<[u8]>::to_vec).collect()
}

/// Joins the parts of a version's text; `None` if the length or the hash differs.
pub fn join_parts(kept: StoredVersion, parts: Vec<Vec<u8>>) -> Option<String> {
    let text = String::from_utf8(parts.concat()).ok()?;
    (text.len() == kept.bytes as usize && hash(&text) == kept.hash).then_some(text)
}

#[cfg(test)]
#[path = "head_tests.rs"]
mod tests;
