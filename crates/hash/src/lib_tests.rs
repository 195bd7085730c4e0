//! Tests of [`fnv1a`] against published test vectors.

use super::fnv1a;

/// Test vectors from the FNV reference implementation (`test_fnv`, 64-bit FNV-1a).
const PUBLISHED: [(&str, u64); 8] = [
    ("", 0xcbf2_9ce4_8422_2325),
    ("a", 0xaf63_dc4c_8601_ec8c),
    ("b", 0xaf63_df4c_8601_f1a5),
    ("c", 0xaf63_de4c_8601_eff2),
    ("fo", 0x0898_5907_b541_d342),
    ("foo", 0xdcb2_7518_fed9_d577),
    ("foob", 0xdd12_0e79_0c25_12af),
    ("foobar", 0x8594_4171_f739_67e8),
];

#[test]
fn hash_equals_published_test_vectors() {
    for (text, hash) in PUBLISHED {
        assert_eq!(fnv1a(text.bytes()), hash, "{text:?}");
    }
}

#[test]
fn chained_fields_hash_like_their_concatenation() {
    assert_eq!(
        fnv1a("foo".bytes().chain("bar".bytes())),
        fnv1a("foobar".bytes())
    );
}
