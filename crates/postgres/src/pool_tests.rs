//! Unit tests of the `pool` module.

use super::*;

const BOUNDS: Bounds = Bounds {
    per_engine: 2,
    idle_timeout_us: 100,
    max_age_us: 1000,
};

fn pools() -> Pools<char> {
    Pools::new(BOUNDS)
}

fn dial(account: AccountId) -> Option<PoolAction<char>> {
    Some(PoolAction::Dial {
        account,
        replacing: None,
    })
}

fn released_to(unit: char, connection: ConnectionId) -> Released<char> {
    Released::Action(PoolAction::Use { unit, connection })
}

fn use_action(unit: char, connection: ConnectionId) -> Option<PoolAction<char>> {
    Some(PoolAction::Use { unit, connection })
}

#[test]
fn unit_uses_best_idle_connection_before_a_new_one() {
    let mut pools = pools();
    assert_eq!(pools.submit(0, 0, 'a', |_| 0), dial(0));
    pools.connecting(0, 0, 0, 1);
    assert_eq!(pools.submit(0, 0, 'b', |_| 0), dial(0));
    pools.connecting(0, 0, 0, 2);
    assert_eq!(pools.release(1, 2), released_to('a', 2));
    assert_eq!(pools.release(1, 1), released_to('b', 1));
    // The engine is at its limit of two connections.
    assert_eq!(pools.submit(0, 0, 'c', |_| 0), None);
    assert_eq!(pools.release(2, 1), released_to('c', 1));
    assert_eq!(pools.release(3, 2), Released::Idle);
    assert_eq!(pools.release(4, 1), Released::Idle);
    assert_eq!(
        pools.submit(0, 0, 'd', |connection| u32::from(connection == 2)),
        use_action('d', 2)
    );
    assert_eq!(pools.submit(0, 0, 'e', |_| 0), use_action('e', 1));
}

#[test]
fn idle_account_makes_room_and_first_waiting_unit_is_served_first() {
    let mut pools = pools();
    for connection in [1, 2] {
        pools.submit(0, 0, 'a', |_| 0);
        pools.connecting(0, 0, 0, connection);
        pools.release(0, connection);
    }
    assert_eq!(pools.submit(0, 1, 'x', |_| 0), None);
    assert_eq!(pools.submit(0, 0, 'b', |_| 0), None);
    let replacement = PoolAction::Dial {
        account: 1,
        replacing: Some(1),
    };
    assert_eq!(pools.release(5, 1), Released::Action(replacement));
    pools.remove(1);
    pools.connecting(5, 0, 1, 3);
    assert_eq!(pools.release(6, 2), released_to('b', 2));
}

#[test]
fn units_waiting_for_a_failed_connection_are_returned() {
    let mut pools = pools();
    pools.submit(0, 0, 'a', |_| 0);
    pools.connecting(0, 0, 0, 1);
    pools.submit(0, 0, 'b', |_| 0);
    pools.connecting(0, 0, 0, 2);
    assert_eq!(pools.remove(1), ['a']);
    assert_eq!(pools.remove(2), ['b']);
    pools.submit(0, 0, 'c', |_| 0);
    assert!(pools.withdraw(0, 'c') && !pools.withdraw(0, 'c'));
}

#[test]
fn retired_engine_keeps_no_connection_and_old_connections_are_not_reused() {
    let mut pools = pools();
    pools.submit(0, 0, 'a', |_| 0);
    pools.connecting(0, 0, 0, 1);
    pools.release(0, 1);
    pools.submit(0, 0, 'b', |_| 0);
    pools.connecting(0, 0, 0, 2);
    pools.release(0, 2);
    pools.release(0, 2);
    pools.submit(0, 1, 'w', |_| 0);
    assert_eq!(pools.retire_engine(0), (vec!['w'], vec![2]));
    assert_eq!(pools.release(1, 1), Released::Close);
    assert_eq!(pools.expired(0), [2]);
    pools.remove(1);
    pools.remove(2);
    pools.submit(0, 0, 'c', |_| 0);
    pools.connecting(10, 0, 0, 3);
    pools.release(10, 3);
    assert_eq!(pools.release(1010, 3), Released::Close);
    pools.submit(0, 0, 'd', |_| 0);
    pools.connecting(20, 0, 0, 4);
    pools.release(20, 4);
    assert_eq!(pools.release(30, 4), Released::Idle);
    assert_eq!(
        (pools.expired(129), pools.expired(130), pools.oldest_idle()),
        (vec![], vec![4], Some(4))
    );
}
