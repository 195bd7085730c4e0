//! The hash function for values that fronts exchange, sign or store on disk: shard placement, engine and
//! summary ids, fleet fingerprints and membership filters.
//!
//! Hash values are part of formats shared between versions, so the function must never change. The hash is
//! neither keyed nor collision-resistant: use it only where a collision merely costs efficiency or is
//! detected by other means.

#![warn(missing_docs)]

use std::hash::Hasher;

/// Returns the 64-bit FNV-1a hash of a sequence of bytes, as published by Fowler, Noll and Vo.
///
/// To hash several fields, chain their bytes; fields of variable length need a separator. The high bits of
/// short inputs are poorly mixed: a caller that reduces the hash to a small range must apply a finalizer.
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
