//! Unit tests of the `marker` module.

use super::*;

fn load(marker: &mut Marker, ticket: u64) {
    marker.load((ticket, 0), "ash", 50, BTreeMap::from([(17, Touched::Anything)]));
}

fn asks(marker: &mut Marker) -> Vec<Ask> {
    marker.asks(0, |_, _| Spoken::default()).0
}

#[test]
fn a_load_leaves_once_its_mark_stands_and_takes_its_turn_behind_other_fronts() {
    let mut marker = Marker::new(100);
    load(&mut marker, 1);
    let [ask] = &asks(&mut marker)[..] else { panic!() };
    assert!(matches!(ask.what, What::Put { expects: 0, .. }));
    // One change of a group at a time; what comes meanwhile waits for the next.
    load(&mut marker, 2);
    assert_eq!(asks(&mut marker), []);
    let mut others = Marks::default();
    others.add("ash", 60, Touched::Anything);
    let held = Said::Held { version: 7, value: others.bytes().unwrap() };
    assert_eq!(marker.said(ask.number, held), []);
    let [ask] = &asks(&mut marker)[..] else { panic!() };
    let What::Put { expects: 7, value } = &ask.what else { panic!("{ask:?}") };
    assert_eq!(Marks::read(value).unwrap().len(), 3);
    let follows = marker.said(ask.number, Said::Stands { version: 8, value: value.clone() });
    let go = |ticket, number| Follows::Go { load: (ticket, 0), numbers: vec![(17, number)] };
    assert_eq!(follows, [go(1, 2), go(2, 3)]);
    assert!(marker.is_idle());
}

#[test]
fn without_an_answer_a_load_never_leaves_and_a_scatter_has_no_word() {
    let mut marker = Marker::new(0);
    load(&mut marker, 1);
    marker.scatter(9, 17);
    let asked = asks(&mut marker);
    let follows: Vec<Follows> = asked.iter().flat_map(|a| marker.said(a.number, Said::Unreachable)).collect();
    let none = Follows::Marks { group: 17, scatters: vec![9], marks: None };
    assert_eq!(follows, [none, Follows::TurnAway { load: (1, 0) }]);
    // One that was stopped meanwhile goes nowhere.
    load(&mut marker, 2);
    let asked = asks(&mut marker);
    assert!(marker.stop((2, 0)) && !marker.stop((2, 0)));
    assert_eq!(marker.said(asked[0].number, Said::Stands { version: 1, value: vec![] }), []);
}

#[test]
fn a_scatter_has_a_word_that_was_asked_for_after_it_came() {
    let mut marker = Marker::new(0);
    marker.scatter(1, 17);
    let first = asks(&mut marker);
    marker.scatter(2, 17);
    assert_eq!(asks(&mut marker), []);
    let word = Follows::Marks { group: 17, scatters: vec![1], marks: Some(Marks::default()) };
    assert_eq!(marker.said(first[0].number, Said::Absent), [word]);
    assert_eq!(asks(&mut marker).len(), 1);
    let damaged = Said::Stands { version: 1, value: vec![9; 3] };
    assert_eq!(marker.said(1, damaged), [Follows::Marks { group: 17, scatters: vec![2], marks: None }]);
}
