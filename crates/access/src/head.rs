//! Which version holds for the fleet, as the ledger keeps it, and the text that goes with it in parts.

use hallmux_ledger::{Key, Kind};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Of the stored head; one of another format counts for nothing.
const FORMAT: u8 = 1;
/// Bytes of a file; a shard of the ledger holds 512 KiB.
pub const MAX_TEXT_BYTES: usize = 256 << 10;
/// Bytes of a part: a few datagrams.
const PART_BYTES: usize = 8 << 10;
/// Versions kept behind the one that holds.
pub const MAX_PREVIOUS: usize = 8;
/// Milliseconds for which the parts of a version that is kept no longer stay.
pub const DROPPED_PARTS_MS: u64 = 600_000;

/// A SHA-256 hash.
pub type Hash = [u8; 32];

/// A version and the text that goes with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredVersion {
    /// The version's number; grows with each change.
    pub version: u64,
    /// The SHA-256 of its text.
    pub hash: Hash,
    /// The length of its text in bytes.
    pub bytes: u32,
}

/// The entry in the ledger that names the fleet's version. Changed by compare and swap only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The format of this entry; an entry of another format is not read.
    pub format: u8,
    /// The version that holds now.
    pub current: StoredVersion,
    /// No front judges by an earlier version any more.
    pub in_force: bool,
    /// The versions before, the latest first.
    pub previous: Vec<StoredVersion>,
}

/// A head that follows another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NextHead {
    /// The head.
    pub head: Head,
    /// The version whose text it keeps no longer.
    pub dropped: Option<StoredVersion>,
}

/// The SHA-256 of a text.
pub fn hash(text: &str) -> Hash {
    Sha256::digest(text).into()
}

impl StoredVersion {
    /// The entry for a text.
    pub fn of_text(version: u64, text: &str) -> StoredVersion {
        StoredVersion {
            version,
            hash: hash(text),
            bytes: text.len() as u32,
        }
    }
}

impl Head {
    /// The head that follows another one.
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
        // The same text may be kept under another version.
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

    /// The bytes to keep in the ledger.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None where it is of a format that this build does not know, or no head at all.
    pub fn read(bytes: &[u8]) -> Option<Head> {
        let head = match postcard::take_from_bytes::<Head>(bytes) {
            Ok((head, [])) => head,
            _ => return None,
        };
        let fits = head.format == FORMAT && head.previous.len() <= MAX_PREVIOUS;
        (fits && head.current.bytes as usize <= MAX_TEXT_BYTES).then_some(head)
    }

    /// A version that is kept.
    pub fn find(&self, version: u64) -> Option<StoredVersion> {
        [self.current]
            .into_iter()
            .chain(self.previous.iter().copied())
            .find(|kept| kept.version == version)
    }
}

/// The ledger's key of the head.
pub fn head_key() -> Key {
    Key {
        kind: Kind::Rules,
        name: "head".to_string(),
    }
}

/// The keys of a text's parts.
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

/// The text cut into the parts that the ledger keeps.
pub fn split_parts(text: &str) -> Vec<Vec<u8>> {
    if text.is_empty() {
        return vec![Vec::new()];
    }
    let parts = text.as_bytes().chunks(PART_BYTES);
    parts.map(<[u8]>::to_vec).collect()
}

/// The text, if the parts are all of it and nothing else.
pub fn join_parts(kept: StoredVersion, parts: Vec<Vec<u8>>) -> Option<String> {
    let text = String::from_utf8(parts.concat()).ok()?;
    (text.len() == kept.bytes as usize && hash(&text) == kept.hash).then_some(text)
}

#[cfg(test)]
#[path = "head_tests.rs"]
mod tests;
