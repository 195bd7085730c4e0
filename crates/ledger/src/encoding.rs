//! How messages, batches and states are written as bytes: postcard, whose bytes follow from the
//! order of fields and variants.

use serde::{Deserialize, Serialize};

/// The bytes of a value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Reads a value that fills the bytes exactly.
pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}
