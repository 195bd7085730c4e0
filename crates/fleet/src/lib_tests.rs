//! Tests of the engine hash.

#[test]
fn engine_hash_is_the_same_in_every_build() {
    assert_eq!(super::engine_hash("e0"), 0x088e_7a07_b539_b6d0);
    assert_eq!(super::engine_hash(""), 0xcbf2_9ce4_8422_2325);
}
