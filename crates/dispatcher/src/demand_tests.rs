//! Unit tests of the `demand` module.

use crate::test_support::{dispatcher, listing, request};
use crate::{Command, Demand, Dispatcher, Ending, FleetDemand, ListScope, Micros, Mode};

fn counts(dispatcher: &mut Dispatcher, now: Micros) -> Vec<(f64, f64, f64)> {
    let round = |x: f64| (x * 100.0).round() / 100.0;
    dispatcher
        .workload_demand(now)
        .map(|(_, demand)| {
            (
                round(demand.asked),
                round(demand.ended),
                round(demand.timely),
            )
        })
        .collect()
}

#[test]
fn demand_decays_per_workload_and_a_rejection_on_arrival_counts_as_asked_only() {
    let mut dispatcher = dispatcher();
    dispatcher.update_engines(ListScope::Full, &[listing("a", Mode::Ready, None)]);
    let (first, late) = (
        dispatcher.submit(0, &request("lookup", None)).unwrap(),
        dispatcher.submit(0, &request("pay", None)).unwrap(),
    );
    dispatcher.tick(0);
    dispatcher.execution_ended(100_000, first, 0, Ending::Answered, None);
    dispatcher.execution_ended(1_100_000, late, 0, Ending::Answered, None);
    let mean_work: Vec<_> = dispatcher
        .workload_demand(1_100_000)
        .map(|(name, demand)| (name.to_string(), demand.work))
        .collect();
    assert_eq!(mean_work[0], ("lookup".to_string(), 100_000.0));
    // The SLO time of `pay` is a second.
    assert_eq!(counts(&mut dispatcher, 1_100_000)[2], (0.68, 1.0, 0.0));
    assert_eq!(counts(&mut dispatcher, 2_000_000)[0], (0.5, 0.52, 0.52));
    // The fleet admits no lookup, so the statement is rejected on arrival.
    let no_answers = Demand {
        arrived: 100.0,
        ended: 0.0,
        timely: 0.0,
        work: 1.0,
    };
    dispatcher.set_fleet_demand(FleetDemand {
        late_share: 1.0,
        workloads: vec![no_answers; 3],
        ..FleetDemand::default()
    });
    dispatcher
        .submit(2_000_000, &request("lookup", None))
        .unwrap();
    let commands = dispatcher.tick(2_000_000);
    assert!(
        matches!(
            commands[..],
            [Command::Reject {
                retry_after: Some(_),
                ..
            }]
        ),
        "{commands:?}"
    );
    assert_eq!(counts(&mut dispatcher, 2_000_000)[0], (1.5, 0.52, 0.52));
}
