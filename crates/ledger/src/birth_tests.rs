//! Unit tests of the `birth` module.

use super::*;

fn born(front: FrontId, disk: u64, incarnation: u64) -> Born {
    Born { id: ReplicaId { front, disk }, incarnation }
}

#[test]
fn one_that_joins_later_begins_nothing_where_a_front_that_it_is_not_placed_with_has_begun() {
    let mut birth = Birth::default();
    let (own, placed, members) = (born(6, 60, 5), [6, 7], [1, 6, 7]);
    birth.heard(born(7, 70, 5), &[born(6, 60, 5), born(7, 70, 5)]);
    assert!(matches!(birth.next(own, &placed, &members), Next::Waits));
    assert_eq!(birth.unheard(6, &members), [1]);
    birth.heard(born(1, 10, 5), &[]);
    assert!(matches!(birth.next(own, &placed, &members), Next::Agree(_)));
    birth.has_begun();
    assert!(matches!(birth.next(own, &placed, &members), Next::Waits));
}

#[test]
fn all_must_agree_and_an_earlier_disk_never_comes_back() {
    let mut birth = Birth::default();
    let (own, placed) = (born(1, 10, 5), [1, 2, 3]);
    assert!(matches!(birth.next(own, &placed, &placed), Next::Waits));
    birth.heard(born(2, 20, 5), &[]);
    birth.heard(born(3, 30, 5), &[]);
    let Next::Agree(with) = birth.next(own, &placed, &placed) else { panic!() };
    birth.heard(born(2, 20, 5), &with);
    assert!(matches!(birth.next(own, &placed, &placed), Next::Waits));
    // The third has lost its disk meanwhile: what was agreed with the first disk no longer counts.
    birth.heard(born(3, 31, 6), &[]);
    let Next::Agree(later) = birth.next(own, &placed, &placed) else { panic!() };
    birth.heard(born(3, 30, 5), &with);
    birth.heard(born(2, 20, 5), &later);
    assert!(matches!(birth.next(own, &placed, &placed), Next::Waits));
    birth.heard(born(3, 31, 6), &later);
    assert!(matches!(birth.next(own, &placed, &placed), Next::Begin(members) if members.len() == 3));
    // Come back itself, with what it agreed to: the earlier disk counts for nothing.
    let mut again = Birth::new(later.clone());
    again.heard(born(2, 20, 5), &later);
    again.heard(born(3, 30, 5), &with);
    assert!(matches!(again.next(own, &placed, &placed), Next::Waits));
}
