use super::*;

fn ask(front: u64, number: u64) -> Command {
    let owner = Owner { front, incarnation: 1 };
    let key = Key { kind: Kind::Order, name: "k".to_string() };
    Command { owner, number, asked_ms: 1, key, act: Act::Claim { ends_ms: 9, value: Vec::new() } }
}

fn entry(front: u64) -> crate::Entry {
    let command = ask(front, 1);
    crate::Entry { key: command.key, owner: command.owner, version: 1, ends_ms: 9, value: Vec::new() }
}

fn fronts(turns: Vec<(Owner, u64)>) -> Vec<(u64, u64)> {
    turns.into_iter().map(|(owner, number)| (owner.front, number)).collect()
}

#[test]
fn a_free_key_is_the_turn_of_who_came_first_and_others_stand_back_for_a_while() {
    let mut lines = Lines::default();
    let held = Outcome::Held(entry(1));
    for (front, number) in [(2, 10), (3, 20), (2, 11)] {
        lines.heard(0, &ask(front, number), &held);
    }
    assert_eq!(fronts(lines.turns(1, |_| false)), []);
    assert!(!lines.defers(1, &ask(4, 30), 0));
    assert_eq!(fronts(lines.turns(2, |_| true)), [(2, 11)]);
    assert_eq!(fronts(lines.turns(3, |_| true)), []);
    // Whoever comes now is behind it, but never for long.
    assert!(
        lines.defers(4, &ask(4, 30), 4)
            && lines.defers(4, &ask(3, 21), 4)
            && !lines.defers(4, &ask(2, 12), 4)
    );
    assert!(!lines.defers(4, &ask(4, 30), 4 - DEFERRED));
    lines.heard(5, &ask(2, 12), &Outcome::Stands(entry(2)));
    assert!(!lines.defers(5, &ask(4, 30), 4));
    assert_eq!(fronts(lines.turns(6, |_| true)), [(3, 20)]);
    // One that does not come lets the next go before, and one that no longer asks loses its place.
    lines.heard(7, &ask(4, 30), &held);
    assert_eq!(fronts(lines.turns(6 + TURN, |_| true)), [(4, 30)]);
    lines.heard(8 + TURN, &ask(5, 40), &held);
    assert_eq!(fronts(lines.turns(7 + STAYS, |_| true)), [(5, 40)]);
    assert_eq!(fronts(lines.turns(8 + TURN + STAYS, |_| true)), []);
    assert!(lines.0.is_empty());
}

#[test]
fn lines_are_bounded() {
    let mut lines = Lines::default();
    for n in 0..2 * MOST_KEYS as u64 {
        let mut one = ask(n % 100, n);
        one.key.name = format!("{}", n / 2);
        lines.heard(0, &one, &Outcome::Held(entry(1)));
        lines.heard(0, &ask(n, n), &Outcome::Held(entry(1)));
    }
    assert!(lines.0.len() <= MOST_KEYS && lines.0.values().all(|line| line.waiting.len() <= MOST_WAITING));
}
