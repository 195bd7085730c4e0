//! The set of a column's values, by their hashes: all hashes where there are few, otherwise a
//! filter that contains every value and one in 256 of other values.

use serde::{Deserialize, Serialize};
use xorf::{BinaryFuse8, BinaryFuse8Ref, Filter, FilterRef};

// A seed of eight bytes and three integers of four.
const FUSE_HEADER_BYTES: usize = 20;
// With fewer hashes a filter's segments are larger than the hashes themselves.
const MIN_FILTER_HASHES: usize = 32;

/// The hashes of a column's values, exactly or as a filter with false positives and no false
/// negatives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Members {
    /// All hashes, in ascending order.
    All(Vec<u64>),
    /// A binary fuse filter: its seed, its segments and its fingerprints.
    Fuse {
        /// The seed of the hash function that the filter was built with.
        seed: u64,
        /// The length of a segment, a power of two.
        segment: u32,
        /// The length of all segments but the last two, a multiple of the length of one segment.
        segments: u32,
        /// One byte for each slot of the filter.
        fingerprints: Vec<u8>,
    },
    /// A bitmap of four bits per value, two of which each value sets; one in six of other values is
    /// a false positive.
    Bits(Vec<u8>),
}

/// The two bit positions of a hash, which is mixed first (the finalizer of SplitMix64).
fn bit_positions(hash: u64, bits: u64) -> [u64; 2] {
    let mut mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    [mixed >> 32, mixed & 0xffff_ffff].map(|half| (half * bits) >> 32)
}

impl Members {
    /// Builds the full filter. None if the filter can't be constructed, which is not expected.
    pub fn new(mut hashes: Vec<u64>) -> Option<Members> {
        hashes.sort_unstable();
        hashes.dedup();
        if hashes.len() < MIN_FILTER_HASHES {
            return Some(Members::All(hashes));
        }
        let BinaryFuse8 {
            descriptor,
            fingerprints,
        } = BinaryFuse8::try_from(&hashes).ok()?;
        Some(Members::Fuse {
            seed: descriptor.seed,
            segment: descriptor.segment_length,
            segments: descriptor.segment_count_length,
            fingerprints: fingerprints.into_vec(),
        })
    }

    /// Builds the small filter, or keeps all hashes where there are few.
    pub fn small(mut hashes: Vec<u64>) -> Members {
        hashes.sort_unstable();
        hashes.dedup();
        if hashes.len() < MIN_FILTER_HASHES {
            return Members::All(hashes);
        }
        let mut bytes = vec![0; hashes.len().div_ceil(2)];
        let bits = bytes.len() as u64 * 8;
        for bit in hashes.iter().flat_map(|hash| bit_positions(*hash, bits)) {
            bytes[(bit / 8) as usize] |= 1 << (bit % 8);
        }
        Members::Bits(bytes)
    }

    /// Whether lookups in a filter that was received stay within its bounds.
    pub fn is_valid(&self) -> bool {
        match self {
            Members::All(hashes) => {
                hashes.len() < MIN_FILTER_HASHES && hashes.windows(2).all(|w| w[0] < w[1])
            }
            Members::Bits(bytes) => (1..1 << 24).contains(&bytes.len()),
            Members::Fuse {
                segment,
                segments,
                fingerprints,
                ..
            } => {
                let end = u64::from(*segments) + 2 * u64::from(*segment);
                segment.is_power_of_two()
                    && *segments > 0
                    && segments.is_multiple_of(*segment)
                    && end == fingerprints.len() as u64
            }
        }
    }

    /// Whether the filter may contain the hash; false is certain.
    pub fn may_contain(&self, hash: u64) -> bool {
        match self {
            Members::All(hashes) => hashes.binary_search(&hash).is_ok(),
            Members::Bits(bytes) => {
                let set = |bit: u64| {
                    bytes
                        .get((bit / 8) as usize)
                        .is_none_or(|b| (b >> (bit % 8)) & 1 == 1)
                };
                bit_positions(hash, bytes.len() as u64 * 8)
                    .into_iter()
                    .all(set)
            }
            Members::Fuse {
                seed,
                segment,
                segments,
                fingerprints,
            } => {
                // The library reads a filter outside its own memory by a header of this form.
                let mut header = Vec::with_capacity(FUSE_HEADER_BYTES);
                header.extend(seed.to_le_bytes());
                header.extend(segment.to_le_bytes());
                header.extend(segment.wrapping_sub(1).to_le_bytes());
                header.extend(segments.to_le_bytes());
                BinaryFuse8Ref::from_dma(&header, fingerprints).contains(&hash)
            }
        }
    }

    /// The approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Members::All(hashes) => hashes.len() * 10 + 4,
            Members::Bits(bytes) => bytes.len() + 4,
            Members::Fuse { fingerprints, .. } => fingerprints.len() + 24,
        }
    }
}

#[cfg(test)]
#[path = "filter_tests.rs"]
mod tests;
