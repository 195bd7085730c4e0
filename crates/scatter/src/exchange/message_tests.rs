//! Unit tests of the `message` module.

use super::*;
use crate::layers::Detail;

/// Fronts of all versions must read each other: the kind of message, the count, then name, version and detail of each.
#[test]
fn versions_with_their_detail_are_written_as_in_every_build() {
    let held = |name, version, detail| HeldVersion {
        name,
        version,
        detail,
    };
    let message =
        Message::DetailedVersions(vec![held(5, 300, Detail::Small), held(6, 7, Detail::Full)]);
    let bytes = vec![3, 2, 5, 0xac, 0x02, 1, 6, 7, 2];
    assert_eq!(postcard::to_stdvec(&message), Ok(bytes.clone()));
    // Builds before this struct wrote a tuple.
    let tuples = vec![(5_u64, 300_u64, Detail::Small), (6, 7, Detail::Full)];
    assert_eq!(postcard::to_stdvec(&(3_u32, tuples)), Ok(bytes));
}
