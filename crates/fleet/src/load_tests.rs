//! Tests of merging load reports, including implausible ones.

use super::*;

fn offered_load(workload: u32, requested: u32, completed: u32, on_time: u32) -> OfferedLoad {
    OfferedLoad {
        workload,
        requested: requested * 16,
        completed: completed * 16,
        on_time: on_time * 16,
        service_us: 100,
    }
}

#[test]
fn merge_sums_counts_in_any_order_and_takes_the_median_late_share() {
    let (a, b, c) = (
        [offered_load(1, 4, 4, 4)],
        [offered_load(1, 8, 4, 2), offered_load(2, 3, 3, 3)],
        [offered_load(2, 5, 4, 3)],
    );
    let all = merge(&[&a, &b, &c], &[1, 2, 3]);
    let rows: Vec<_> = all
        .workloads
        .iter()
        .map(|load| (load.arrived, load.ended, load.timely, load.work))
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
fn relative_load_is_share_of_the_mean_and_zero_without_reports() {
    let (a, b) = ([offered_load(1, 10, 0, 0)], [offered_load(1, 30, 0, 0)]);
    let workloads = merge(&[&a, &b], &[1]).workloads;
    assert_eq!(relative_load(10.0 * 100.0, &workloads, 2), 0.5);
    assert_eq!(
        (
            relative_load(5.0, &[], 0),
            relative_load(5.0, &workloads[..0], 3)
        ),
        (0.0, 0.0)
    );
    // An implausible report counts for at most four times the median, so the relative load of the other fronts
    // stays close to 1.
    let implausible = [OfferedLoad {
        requested: u32::MAX,
        ..offered_load(1, 0, 0, 0)
    }];
    let plausible: Vec<[OfferedLoad; 1]> = (0..9).map(|_| [offered_load(1, 10, 10, 10)]).collect();
    let reports: Vec<&[OfferedLoad]> = plausible
        .iter()
        .map(|load| &load[..])
        .chain([&implausible[..]])
        .collect();
    let workloads = merge(&reports, &[1]).workloads;
    assert!((0.7..1.0).contains(&relative_load(10.0 * 100.0, &workloads, 10)));
}

#[test]
fn implausible_load_of_one_front_has_limited_effect() {
    let plausible: Vec<[OfferedLoad; 1]> = (0..9).map(|_| [offered_load(1, 10, 10, 10)]).collect();
    let implausible = [OfferedLoad {
        requested: u32::MAX,
        completed: u32::MAX,
        on_time: 0,
        ..offered_load(1, 0, 0, 0)
    }];
    let mut reports: Vec<&[OfferedLoad]> = plausible.iter().map(|load| &load[..]).collect();
    reports.push(&implausible);
    let MergedLoad {
        late_share,
        workloads,
    } = merge(&reports, &[1]);
    assert_eq!(
        (late_share, workloads[0].arrived, workloads[0].timely),
        (0.0, 130.0, 90.0)
    );
    // A report with more statements on time than completed, and an unknown workload.
    let odd = [offered_load(9, 5, 5, 5), offered_load(1, 1, 1, 7)];
    assert_eq!(merge(&[&odd], &[1]).workloads[0].timely, 1.0);
}
