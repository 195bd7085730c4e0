//! Unit tests of the `demand` module.

use crate::test_support::{ask, dispatcher, listing};
use crate::{Command, Demand, Dispatcher, Ending, FleetDemand, ListScope, Micros, Mode};

fn counts(d: &mut Dispatcher, now: Micros) -> Vec<(f64, f64, f64)> {
    let round = |x: f64| (x * 100.0).round() / 100.0;
    d.workload_demand(now)
        .map(|(_, o)| (round(o.asked), round(o.ended), round(o.timely)))
        .collect()
}

#[test]
fn counts_are_by_workload_and_halve_and_what_the_fleet_does_not_admit_counts_as_asked_alone() {
    let mut d = dispatcher();
    d.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let (first, late) = (
        d.submit(0, &ask("lookup", None)).unwrap(),
        d.submit(0, &ask("pay", None)).unwrap(),
    );
    d.tick(0);
    d.report(100_000, first, 0, Ending::Answered, None);
    d.report(1_100_000, late, 0, Ending::Answered, None);
    let reported: Vec<_> = d
        .workload_demand(1_100_000)
        .map(|(name, o)| (name.to_string(), o.work))
        .collect();
    assert_eq!(reported[0], ("lookup".to_string(), 100_000.0));
    // Its SLO time is a second.
    assert_eq!(counts(&mut d, 1_100_000)[2], (0.68, 1.0, 0.0));
    assert_eq!(counts(&mut d, 2_000_000)[0], (0.5, 0.52, 0.52));
    // The fleet admits no lookup: it ends when it comes.
    let none = Demand {
        arrived: 100.0,
        ended: 0.0,
        timely: 0.0,
        work: 1.0,
    };
    d.fleet_demand(FleetDemand {
        late_share: 1.0,
        workloads: vec![none; 3],
        ..FleetDemand::default()
    });
    d.submit(2_000_000, &ask("lookup", None)).unwrap();
    let orders = d.tick(2_000_000);
    assert!(
        matches!(
            orders[..],
            [Command::Reject {
                retry_after: Some(_),
                ..
            }]
        ),
        "{orders:?}"
    );
    assert_eq!(counts(&mut d, 2_000_000)[0], (1.5, 0.52, 0.52));
}
