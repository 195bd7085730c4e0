//! Unit tests of the `combine` module.

use super::*;

fn aggregate(aggregate_kind: AggregateKind) -> Aggregate {
    Aggregate {
        kind: aggregate_kind,
        column: None,
        float: false,
    }
}

#[test]
fn floats_are_added_in_site_order_and_compared_as_numbers() {
    let float = |kind| Aggregate {
        float: true,
        ..aggregate(kind)
    };
    let all = [
        float(AggregateKind::Sum),
        float(AggregateKind::Min),
        float(AggregateKind::Max),
    ];
    let parts: [&[u8]; 3] = [b"1e16\t-2.5e0\t1e3\n", b"1\t\\N\t0.5\n", b"-1e16\t-10\t9\n"];
    assert_eq!(join(&all, &parts).unwrap(), b"0\t-10\t1e3\n");
    let flipped: [&[u8]; 3] = [b"1e16\n", b"-1e16\n", b"1\n"];
    assert_eq!(join(&all[..1], &flipped).unwrap(), b"1\n");
    assert_eq!(
        join(&all, &[b"0.1\t\\N\t\\N\n"]).unwrap(),
        b"0.1\t\\N\t\\N\n"
    );
    for wrong in [
        &b"NaN\t1\t1\n"[..],
        b"inf\t1\t1\n",
        b"1e999\t1\t1\n",
        b"x\t1\t1\n",
    ] {
        assert_eq!(join(&all, &[parts[0], wrong]), Err(1), "{wrong:?}");
    }
}

#[test]
fn aggregates_of_decimals_are_combined_exactly() {
    let all = [
        aggregate(AggregateKind::Count),
        aggregate(AggregateKind::Sum),
        aggregate(AggregateKind::Min),
        aggregate(AggregateKind::Max),
    ];
    let parts: [&[u8]; 3] = [
        b"2\t99999999999999999999999999999999999999.10\t-3\t9\n",
        b"0\t\\N\t\\N\t\\N\n",
        b"40\t0.905\t-2.50\t10.0\n",
    ];
    let joined = join(&all, &parts).unwrap();
    assert_eq!(
        joined,
        b"42\t100000000000000000000000000000000000000.005\t-3\t10.0\n"
    );
    assert_eq!(
        join(&all, &[parts[1], parts[1]]).unwrap(),
        b"0\t\\N\t\\N\t\\N\n"
    );
    assert_eq!(
        join(&all[..1], &[b"1\t\t\n", b"2\t\t\n"]).unwrap(),
        b"3\t\t\n"
    );
    for (wrong, at) in [
        (&b"1\t2\t3\n"[..], 1),
        (b"1\t2e5\t3\t4\n", 1),
        (b"x\t2\t3\t4\n", 1),
        (b"\\N\t2\t3\t4\n", 1),
        (b"1\t2\t3\t4\n5\t6\t7\t8\n", 1),
        (b"", 1),
    ] {
        assert_eq!(join(&all, &[parts[0], wrong]), Err(at), "{wrong:?}");
    }
}
