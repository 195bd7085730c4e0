//! Which values a column has, by their hashes: all of them where they are few, else a filter that has every one of them and
//! one in 256 of the others.

use serde::{Deserialize, Serialize};
use xorf::{BinaryFuse8, BinaryFuse8Ref, Filter, FilterRef};

const FUSE_HEADER_BYTES: usize = 20; // bytes: a seed of eight, three figures of four
const MIN_FILTER_HASHES: usize = 32; // hashes: below that a filter's segments take more than they do

/// The hashes of a column's values, exactly or as a filter with false positives and no false negatives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Members {
    /// Their hashes, in order.
    All(Vec<u64>),
    /// A binary fuse filter: its seed, its segments and its fingerprints.
    Fuse {
        /// The seed of the hash function that the filter was built with.
        seed: u64,
        /// The length of a segment, a power of two.
        segment: u32,
        /// The length of all segments but the last two, a multiple of one segment's.
        segments: u32,
        /// One byte for each place of the filter.
        fingerprints: Vec<u8>,
    },
    /// Four bits a value, of which each sets two: one in six of the others is found too.
    Bits(Vec<u8>),
}

/// The two bits of a hash among so many; the hash is mixed first (the finaliser of SplitMix64).
fn bit_positions(hash: u64, bits: u64) -> [u64; 2] {
    let mut mixed = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    [mixed >> 32, mixed & 0xffff_ffff].map(|half| (half * bits) >> 32)
}

impl Members {
    /// None where no filter could be made of them, which is not to be expected.
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

    /// The small filter of the same; all of the hashes where they are few.
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

    /// Whether what was read can be asked without a look beyond its end.
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

    /// False: surely none of them.
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
                // The library takes a filter that lies elsewhere by a head of this form.
                let mut header = Vec::with_capacity(FUSE_HEADER_BYTES);
                header.extend(seed.to_le_bytes());
                header.extend(segment.to_le_bytes());
                header.extend(segment.wrapping_sub(1).to_le_bytes());
                header.extend(segments.to_le_bytes());
                BinaryFuse8Ref::from_dma(&header, fingerprints).contains(&hash)
            }
        }
    }

    /// Bytes that it takes, near enough.
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
