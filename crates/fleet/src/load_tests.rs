//! Unit tests of the `load` module.

use super::*;

fn of(workload: u32, requested: u32, completed: u32, on_time: u32) -> OfferedLoad {
    OfferedLoad {
        workload,
        requested: requested * 16,
        completed: completed * 16,
        on_time: on_time * 16,
        service_us: 100,
    }
}

#[test]
fn counts_add_up_in_any_order_and_the_median_front_gives_what_was_missed() {
    let (a, b, c) = (
        [of(1, 4, 4, 4)],
        [of(1, 8, 4, 2), of(2, 3, 3, 3)],
        [of(2, 5, 4, 3)],
    );
    let all = merge(&[&a, &b, &c], &[1, 2, 3]);
    let rows: Vec<_> = all
        .workloads
        .iter()
        .map(|o| (o.arrived, o.ended, o.timely, o.work))
        .collect();
    assert_eq!(
        rows,
        [
            (12.0, 8.0, 6.0, 100.0),
            (8.0, 7.0, 6.0, 100.0),
            (0.0, 0.0, 0.0, 0.0)
        ]
    );
    assert_eq!(all.late_share, 0.25);
    assert_eq!(merge(&[&c, &a, &b], &[1, 2, 3]), all);
}

#[test]
fn a_front_takes_its_part_of_what_all_are_asked_and_none_where_nothing_is_reported() {
    let (a, b) = ([of(1, 10, 0, 0)], [of(1, 30, 0, 0)]);
    let offers = merge(&[&a, &b], &[1]).workloads;
    assert_eq!(relative_load(10.0 * 100.0, &offers, 2), 0.5);
    assert_eq!(
        (
            relative_load(5.0, &[], 0),
            relative_load(5.0, &offers[..0], 3)
        ),
        (0.0, 0.0)
    );
    // Absurd load of one front makes nobody's part small: it counts for four times the middle at most.
    let liar = [OfferedLoad {
        requested: u32::MAX,
        ..of(1, 0, 0, 0)
    }];
    let sane: Vec<[OfferedLoad; 1]> = (0..9).map(|_| [of(1, 10, 10, 10)]).collect();
    let reports: Vec<&[OfferedLoad]> = sane.iter().map(|o| &o[..]).chain([&liar[..]]).collect();
    let offers = merge(&reports, &[1]).workloads;
    assert!((0.7..1.0).contains(&relative_load(10.0 * 100.0, &offers, 10)));
}

#[test]
fn absurd_load_of_one_front_moves_little() {
    let sane: Vec<[OfferedLoad; 1]> = (0..9).map(|_| [of(1, 10, 10, 10)]).collect();
    let liar = [OfferedLoad {
        requested: u32::MAX,
        completed: u32::MAX,
        on_time: 0,
        ..of(1, 0, 0, 0)
    }];
    let mut reports: Vec<&[OfferedLoad]> = sane.iter().map(|o| &o[..]).collect();
    reports.push(&liar);
    let MergedLoad {
        late_share: missed,
        workloads: offers,
    } = merge(&reports, &[1]);
    assert_eq!(
        (missed, offers[0].arrived, offers[0].timely),
        (0.0, 130.0, 90.0)
    );
    // More in time than ended, and a workload that nobody knows.
    let odd = [of(9, 5, 5, 5), of(1, 1, 1, 7)];
    assert_eq!(merge(&[&odd], &[1]).workloads[0].timely, 1.0);
}
