//! Unit tests of the `message` module.

use super::*;
use crate::layers::Detail;

/// Fronts of all versions must be able to read each other's messages: the variant's number, the
/// count, then name, version and detail of each summary.
#[test]
fn detailed_versions_keep_their_encoding() {
    let held = |name, version, detail| HeldVersion {
        name,
        version,
        detail,
    };
    let message =
        Message::DetailedVersions(vec![held(5, 300, Detail::Small), held(6, 7, Detail::Full)]);
    let bytes = vec![3, 2, 5, 0xac, 0x02, 1, 6, 7, 2];
    assert_eq!(postcard::to_stdvec(&message), Ok(bytes.clone()));
    // Earlier builds wrote a tuple in place of this struct.
    let tuples = vec![(5_u64, 300_u64, Detail::Small), (6, 7, Detail::Full)];
    assert_eq!(postcard::to_stdvec(&(3_u32, tuples)), Ok(bytes));
}
