//! Unit tests of the `pool` module.

use super::*;

const BOUNDS: Bounds = Bounds { each_engine: 2, idle: 100, age: 1000 };

fn pools() -> Pools<char> {
    Pools::new(BOUNDS)
}

fn dial(account: Account) -> Option<Step<char>> {
    Some(Step::Dial { account, instead_of: None })
}

fn served(unit: char, link: Link) -> Freed<char> {
    Freed::Step(Step::Use { unit, link })
}

fn goes(unit: char, link: Link) -> Option<Step<char>> {
    Some(Step::Use { unit, link })
}

#[test]
fn a_unit_takes_the_best_that_rests_and_only_then_a_new_one() {
    let mut pools = pools();
    assert_eq!(pools.submit(0, 0, 'a', |_| 0), dial(0));
    pools.dialled(0, 0, 0, 1);
    assert_eq!(pools.submit(0, 0, 'b', |_| 0), dial(0));
    pools.dialled(0, 0, 0, 2);
    assert_eq!(pools.rests(1, 2), served('a', 2));
    assert_eq!(pools.rests(1, 1), served('b', 1));
    // Two are all that the engine takes.
    assert_eq!(pools.submit(0, 0, 'c', |_| 0), None);
    assert_eq!(pools.rests(2, 1), served('c', 1));
    assert_eq!(pools.rests(3, 2), Freed::Rests);
    assert_eq!(pools.rests(4, 1), Freed::Rests);
    assert_eq!(pools.submit(0, 0, 'd', |link| u32::from(link == 2)), goes('d', 2));
    assert_eq!(pools.submit(0, 0, 'e', |_| 0), goes('e', 1));
}

#[test]
fn an_account_that_rests_makes_room_for_another_and_the_first_in_line_is_served_first() {
    let mut pools = pools();
    for link in [1, 2] {
        pools.submit(0, 0, 'a', |_| 0);
        pools.dialled(0, 0, 0, link);
        pools.rests(0, link);
    }
    assert_eq!(pools.submit(0, 1, 'x', |_| 0), None);
    assert_eq!(pools.submit(0, 0, 'b', |_| 0), None);
    let instead = Step::Dial { account: 1, instead_of: Some(1) };
    assert_eq!(pools.rests(5, 1), Freed::Step(instead));
    pools.gone(1);
    pools.dialled(5, 0, 1, 3);
    assert_eq!(pools.rests(6, 2), served('b', 2));
}

#[test]
fn those_that_waited_for_a_connection_that_never_came_are_told() {
    let mut pools = pools();
    pools.submit(0, 0, 'a', |_| 0);
    pools.dialled(0, 0, 0, 1);
    pools.submit(0, 0, 'b', |_| 0);
    pools.dialled(0, 0, 0, 2);
    assert_eq!(pools.gone(1), ['a']);
    assert_eq!(pools.gone(2), ['b']);
    pools.submit(0, 0, 'c', |_| 0);
    assert!(pools.withdraw(0, 'c') && !pools.withdraw(0, 'c'));
}

#[test]
fn an_engine_that_drains_keeps_nothing_and_old_connections_are_not_taken_again() {
    let mut pools = pools();
    pools.submit(0, 0, 'a', |_| 0);
    pools.dialled(0, 0, 0, 1);
    pools.rests(0, 1);
    pools.submit(0, 0, 'b', |_| 0);
    pools.dialled(0, 0, 0, 2);
    pools.rests(0, 2);
    pools.rests(0, 2);
    pools.submit(0, 1, 'w', |_| 0);
    assert_eq!(pools.retire(0), (vec!['w'], vec![2]));
    assert_eq!(pools.rests(1, 1), Freed::Close);
    assert_eq!(pools.idle(0), [2]);
    pools.gone(1);
    pools.gone(2);
    pools.submit(0, 0, 'c', |_| 0);
    pools.dialled(10, 0, 0, 3);
    pools.rests(10, 3);
    assert_eq!(pools.rests(1010, 3), Freed::Close);
    pools.submit(0, 0, 'd', |_| 0);
    pools.dialled(20, 0, 0, 4);
    pools.rests(20, 4);
    assert_eq!(pools.rests(30, 4), Freed::Rests);
    assert_eq!((pools.idle(129), pools.idle(130), pools.spare()), (vec![], vec![4], Some(4)));
}
