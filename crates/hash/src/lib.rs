//! The one hash whose values fronts exchange, sign or keep on disk: shard placement, engine and summary ids,
//! fleet fingerprints and membership filters.
//!
//! Its values are part of formats between versions, so the function must never change. It is not keyed and
//! not collision-resistant: use it only where a collision costs efficiency or is checked for otherwise.

#![warn(missing_docs)]

use std::hash::Hasher;

/// The 64-bit FNV-1a hash of a sequence of bytes, as published by Fowler, Noll and Vo.
///
/// Several fields are hashed by chaining their bytes; the caller separates them where they vary in length.
/// The high bits of short inputs are poorly mixed: callers that reduce the hash to a few values finish it
/// with a mixer of their own.
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    for byte in bytes {
        hasher.write(&[byte]);
    }
    hasher.finish()
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
