//! Unit tests of the `bootstrap` module.

use super::*;

fn replica(front: FrontId, disk: u64, incarnation: u64) -> ReplicaIncarnation {
    ReplicaIncarnation {
        id: ReplicaId { front, disk },
        incarnation,
    }
}

#[test]
fn a_joining_front_waits_for_all_fronts_before_it_starts_a_shard() {
    let mut bootstrap = Bootstrap::default();
    let (local, placed, members) = (replica(6, 60, 5), [6, 7], [1, 6, 7]);
    bootstrap.record_offer(replica(7, 70, 5), &[replica(6, 60, 5), replica(7, 70, 5)]);
    assert!(matches!(
        bootstrap.next_step(local, &placed, &members),
        Step::Wait
    ));
    assert_eq!(bootstrap.without_offer(6, &members), [1]);
    bootstrap.record_offer(replica(1, 10, 5), &[]);
    assert!(matches!(
        bootstrap.next_step(local, &placed, &members),
        Step::Agree(_)
    ));
    bootstrap.set_started();
    assert!(matches!(
        bootstrap.next_step(local, &placed, &members),
        Step::Wait
    ));
}

#[test]
fn all_placed_fronts_must_agree_and_an_earlier_disk_is_never_accepted_again() {
    let mut bootstrap = Bootstrap::default();
    let (local, placed) = (replica(1, 10, 5), [1, 2, 3]);
    assert!(matches!(
        bootstrap.next_step(local, &placed, &placed),
        Step::Wait
    ));
    bootstrap.record_offer(replica(2, 20, 5), &[]);
    bootstrap.record_offer(replica(3, 30, 5), &[]);
    let Step::Agree(agreed) = bootstrap.next_step(local, &placed, &placed) else {
        panic!()
    };
    bootstrap.record_offer(replica(2, 20, 5), &agreed);
    assert!(matches!(
        bootstrap.next_step(local, &placed, &placed),
        Step::Wait
    ));
    // The third front has lost its disk: what was agreed with its first disk no longer counts.
    bootstrap.record_offer(replica(3, 31, 6), &[]);
    let Step::Agree(later) = bootstrap.next_step(local, &placed, &placed) else {
        panic!()
    };
    bootstrap.record_offer(replica(3, 30, 5), &agreed);
    bootstrap.record_offer(replica(2, 20, 5), &later);
    assert!(matches!(
        bootstrap.next_step(local, &placed, &placed),
        Step::Wait
    ));
    bootstrap.record_offer(replica(3, 31, 6), &later);
    assert!(
        matches!(bootstrap.next_step(local, &placed, &placed), Step::Start(members) if members.len() == 3)
    );
    // After a restart with its saved agreement, the front still ignores the earlier disk.
    let mut restarted = Bootstrap::new(later.clone());
    restarted.record_offer(replica(2, 20, 5), &later);
    restarted.record_offer(replica(3, 30, 5), &agreed);
    assert!(matches!(
        restarted.next_step(local, &placed, &placed),
        Step::Wait
    ));
}
