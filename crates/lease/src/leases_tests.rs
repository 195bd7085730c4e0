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
fn of_two_grants_after_the_same_owner_the_first_counts() {
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
        leases.get(Task::Zones).map(|l| (l.token, l.owner)),
        Some((2, 6))
    );
}

#[test]
fn snapshots_made_piece_by_piece_tell_what_the_whole_log_tells() {
    let keep = |token, so_far| Change::Renew {
        task: Task::Zones,
        token,
        number: 2,
        progress: vec![so_far],
    };
    let log = [
        grant(0, 5),
        keep(1, 3),
        grant(0, 9),
        grant(1, 6),
        keep(2, 8),
        keep(1, 9),
        grant(2, 5),
    ];
    let mut whole = Leases::default();
    log.iter().for_each(|change| _ = whole.apply(change));
    for first in 0..=log.len() {
        for second in first..=log.len() {
            let mut snapshot = LeaseSnapshot::create(&log[..first]);
            snapshot.merge(LeaseSnapshot::create(&log[first..second]));
            snapshot.merge(LeaseSnapshot::create(&log[second..]));
            assert_eq!(snapshot.leases(), whole, "{first} {second}");
        }
    }
    assert_eq!(
        whole
            .get(Task::Zones)
            .map(|l| (l.token, l.owner, l.progress.clone())),
        Some((3, 5, vec![8]))
    );
}
