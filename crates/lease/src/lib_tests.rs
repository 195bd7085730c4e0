//! Unit tests of the `lib` module.

#[test]
fn a_fingerprint_is_the_same_in_every_build() {
    assert_eq!(super::fingerprint("lab", &[3, 1, 2]), 0x6814_55d0_a5bb_cadc);
}
