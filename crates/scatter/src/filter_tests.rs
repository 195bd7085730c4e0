//! Unit tests of the `filter` module.

use super::*;
use crate::value::Value;
use hallmux_hash::fnv1a;

fn hashes(from: i128, count: i128) -> Vec<u64> {
    (from..from + count)
        .map(|n| Value::Number(n).hash())
        .collect()
}

fn false_positive_rate(may_contain: impl Fn(u64) -> bool) -> f64 {
    hashes(1_000_000_000, 200_000)
        .into_iter()
        .filter(|hash| may_contain(*hash))
        .count() as f64
        / 200_000.0
}

#[test]
fn filters_contain_every_member_and_few_other_values() {
    for count in [0, 1, 31, 32, 33, 100, 5_000] {
        let members = Members::new(hashes(0, count)).unwrap();
        assert!(members.is_valid());
        assert!(hashes(0, count)
            .into_iter()
            .all(|hash| members.may_contain(hash)));
        assert!(
            false_positive_rate(|hash| members.may_contain(hash)) < 0.006,
            "{count}"
        );
        let small = Members::small(hashes(0, count));
        assert!(
            small.is_valid()
                && hashes(0, count)
                    .into_iter()
                    .all(|hash| small.may_contain(hash))
        );
        assert!(
            false_positive_rate(|hash| small.may_contain(hash)) < 0.25,
            "{count}"
        );
    }
}

/// The full filter is a binary fuse filter because it has fewer false positives than a Bloom filter
/// of the same size.
#[test]
fn full_filter_has_fewer_false_positives_than_a_bloom_filter_of_equal_size() {
    let members = Members::new(hashes(0, 50_000)).unwrap();
    let bits = members.size() as f64 * 8.0 / 50_000.0;
    let fuse = false_positive_rate(|hash| members.may_contain(hash));
    let bloom = fastbloom::BloomFilter::with_num_bits((bits * 50_000.0) as usize).seed(&7);
    let bloom = bloom.items(hashes(0, 50_000).iter());
    let bloom = false_positive_rate(|hash| bloom.contains(&hash));
    println!(
        "bits a value {bits:.2}: binary fuse {:.3} %, bloom {:.3} %",
        fuse * 100.0,
        bloom * 100.0
    );
    assert!(fuse < bloom / 2.0, "{fuse} {bloom}");
}

#[test]
fn filters_whose_lookups_would_leave_their_bounds_are_invalid() {
    let Some(Members::Fuse {
        seed,
        segment,
        segments,
        fingerprints,
    }) = Members::new(hashes(0, 100))
    else {
        panic!()
    };
    let fuse = |segment, segments, fingerprints: &[u8]| Members::Fuse {
        seed,
        segment,
        segments,
        fingerprints: fingerprints.to_vec(),
    };
    assert!(fuse(segment, segments, &fingerprints).is_valid());
    assert!(!fuse(segment, segments, &fingerprints[1..]).is_valid());
    assert!(!fuse(segment * 2, segments, &fingerprints).is_valid());
    assert!(!fuse(0, segments, &fingerprints).is_valid());
    assert!(!fuse(segment, 0, &fingerprints).is_valid());
    assert!(!fuse(segment, u32::MAX, &fingerprints).is_valid());
    assert!(!Members::All(
        vec![fnv1a(*b"b"), fnv1a(*b"a")]
            .into_iter()
            .rev()
            .collect::<Vec<_>>()
            .repeat(2)
    )
    .is_valid());
}
