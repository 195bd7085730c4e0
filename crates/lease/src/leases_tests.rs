//! Unit tests of the `leases` module.

use super::*;

fn grant(previous_token: Token, owner: FrontId) -> Change {
    Change::Grant {
        task: Task::Zones,
        previous_token,
        owner,
        number: 1,
    }
}

#[test]
fn the_first_of_two_grants_after_the_same_token_takes_effect() {
    let mut leases = Leases::default();
    assert!(leases.apply(&grant(0, 5)));
    assert!(!leases.apply(&grant(0, 6)));
    assert!(leases.apply(&grant(1, 6)));
    assert!(!leases.apply(&Change::Renew {
        task: Task::Zones,
        token: 1,
        number: 2,
        progress: vec![1]
    }));
    assert_eq!(
        leases
            .get(Task::Zones)
            .map(|lease| (lease.token, lease.owner)),
        Some((2, 6))
    );
}

#[test]
fn merged_snapshots_yield_the_same_leases_as_the_log() {
    let renew = |token, progress| Change::Renew {
        task: Task::Zones,
        token,
        number: 2,
        progress: vec![progress],
    };
    let log = [
        grant(0, 5),
        renew(1, 3),
        grant(0, 9),
        grant(1, 6),
        renew(2, 8),
        renew(1, 9),
        grant(2, 5),
    ];
    let mut expected = Leases::default();
    log.iter().for_each(|change| _ = expected.apply(change));
    for first in 0..=log.len() {
        for second in first..=log.len() {
            let mut snapshot = LeaseSnapshot::create(&log[..first]);
            snapshot.merge(LeaseSnapshot::create(&log[first..second]));
            snapshot.merge(LeaseSnapshot::create(&log[second..]));
            assert_eq!(snapshot.leases(), expected, "{first} {second}");
        }
    }
    assert_eq!(
        expected
            .get(Task::Zones)
            .map(|lease| (lease.token, lease.owner, lease.progress.clone())),
        Some((3, 5, vec![8]))
    );
}
