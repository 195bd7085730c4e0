use super::*;

fn claim(front: u64, number: u64) -> Command {
    let owner = Owner {
        front,
        incarnation: 1,
    };
    let key = Key {
        kind: Kind::Order,
        name: "k".to_string(),
    };
    Command {
        owner,
        number,
        asked_ms: 1,
        key,
        operation: Operation::Claim {
            ends_ms: 9,
            value: Vec::new(),
        },
    }
}

fn entry(front: u64) -> crate::Entry {
    let command = claim(front, 1);
    crate::Entry {
        key: command.key,
        owner: command.owner,
        version: 1,
        ends_ms: 9,
        value: Vec::new(),
    }
}

fn fronts(freed: Vec<CommandId>) -> Vec<(u64, u64)> {
    freed
        .into_iter()
        .map(|id| (id.owner.front, id.number))
        .collect()
}

#[test]
fn a_free_key_is_reserved_for_the_first_waiter_and_other_requests_are_deferred() {
    let mut queues = KeyQueues::default();
    let held = Outcome::Held(entry(1));
    for (front, number) in [(2, 10), (3, 20), (2, 11)] {
        queues.record(0, &claim(front, number), &held);
    }
    assert_eq!(fronts(queues.waiters_to_notify(1, |_| false)), []);
    assert!(!queues.is_reserved_for_another(1, &claim(4, 30), 0));
    assert_eq!(fronts(queues.waiters_to_notify(2, |_| true)), [(2, 11)]);
    assert_eq!(fronts(queues.waiters_to_notify(3, |_| true)), []);
    // Other requests are deferred now, for at most `MAX_DEFERRAL`.
    assert!(
        queues.is_reserved_for_another(4, &claim(4, 30), 4)
            && queues.is_reserved_for_another(4, &claim(3, 21), 4)
            && !queues.is_reserved_for_another(4, &claim(2, 12), 4)
    );
    assert!(!queues.is_reserved_for_another(4, &claim(4, 30), 4 - MAX_DEFERRAL));
    queues.record(5, &claim(2, 12), &Outcome::Stands(entry(2)));
    assert!(!queues.is_reserved_for_another(5, &claim(4, 30), 4));
    assert_eq!(fronts(queues.waiters_to_notify(6, |_| true)), [(3, 20)]);
    // A notified front that does not claim the key is overtaken by the next one, and a front that
    // stops requesting loses its place.
    queues.record(7, &claim(4, 30), &held);
    assert_eq!(
        fronts(queues.waiters_to_notify(6 + RESERVATION_TIME, |_| true)),
        [(4, 30)]
    );
    queues.record(8 + RESERVATION_TIME, &claim(5, 40), &held);
    assert_eq!(
        fronts(queues.waiters_to_notify(7 + WAITER_TIMEOUT, |_| true)),
        [(5, 40)]
    );
    assert_eq!(
        fronts(queues.waiters_to_notify(8 + RESERVATION_TIME + WAITER_TIMEOUT, |_| true)),
        []
    );
    assert!(queues.0.is_empty());
}

#[test]
fn key_queues_are_bounded() {
    let mut queues = KeyQueues::default();
    for n in 0..2 * MAX_KEYS as u64 {
        let mut one = claim(n % 100, n);
        one.key.name = format!("{}", n / 2);
        queues.record(0, &one, &Outcome::Held(entry(1)));
        queues.record(0, &claim(n, n), &Outcome::Held(entry(1)));
    }
    assert!(
        queues.0.len() <= MAX_KEYS
            && queues
                .0
                .values()
                .all(|queue| queue.waiting.len() <= MAX_WAITERS)
    );
}
