//! The encoding of messages, batches and states: postcard, whose bytes depend on the order of
//! fields and variants.

use serde::{Deserialize, Serialize};

/// The encoding of a value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes a value that takes up all of the bytes; None if they are malformed or too many.
pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Some(value),
        _ => None,
    }
}
