//! The storage of hits in the ledger: the keys, and the formats of pages and of the list of
//! incarnations.

use hallmux_ledger::{Key, Kind};
use serde::{Deserialize, Serialize};

use super::HitCounts;
use crate::FrontId;

/// The format of an open page and of the list of incarnations.
const FORMAT: u8 = 1;
/// The format of a closed page, which is not written any more.
const CLOSED: u8 = 2;

/// An incarnation in its front's list. Fields are positional in the stored list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct ListedIncarnation {
    pub incarnation: u64,
    /// The number of its pages of counts.
    pub pages: u32,
}

/// The list of a front's incarnations, with its version in the ledger; 0 if it is not stored yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct IncarnationList {
    pub entries: Vec<ListedIncarnation>,
    pub version: u64,
}

/// Returns the ledger key of the list of a front's incarnations.
pub(super) fn list_key(front: FrontId) -> Key {
    hits_key(format!("lives {front:016x}"))
}

/// Returns the ledger key of a page of counts.
pub(super) fn page_key(front: FrontId, incarnation: u64, page: usize) -> Key {
    hits_key(format!("hits {front:016x} {incarnation} {page}"))
}

/// Returns the ledger key of a part of the fleet's table.
pub(super) fn folded_key(part: usize) -> Key {
    hits_key(format!("folded {part}"))
}

fn hits_key(name: String) -> Key {
    Key {
        kind: Kind::Hits,
        name,
    }
}

/// Encodes a value with its format.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(&(FORMAT, value)).unwrap_or_default()
}

/// Encodes a closed page.
pub(super) fn encode_closed(counts: &HitCounts) -> Vec<u8> {
    postcard::to_stdvec(&(CLOSED, counts)).unwrap_or_default()
}

/// Decodes a value; `None` if its format is unknown to this build or bytes are left over.
pub(super) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Option<T> {
    match postcard::take_from_bytes::<(u8, T)>(bytes) {
        Ok(((FORMAT, value), [])) => Some(value),
        _ => None,
    }
}

/// Decodes the counts of a page, whether it is closed or not.
pub(super) fn decode_counts(bytes: &[u8]) -> Option<HitCounts> {
    match postcard::take_from_bytes::<(u8, HitCounts)>(bytes) {
        Ok(((FORMAT | CLOSED, counts), [])) => Some(counts),
        _ => None,
    }
}

/// Returns whether a page is closed.
pub(super) fn is_closed(bytes: &[u8]) -> bool {
    bytes.first() == Some(&CLOSED)
}
