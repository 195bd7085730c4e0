//! What fleets come to, over a simulated network.

use std::collections::BTreeSet;

use hallmux_gossip::members::FleetSize;
use hallmux_gossip::message::{self, EngineStatus, Health, MemberUpdate, Probe};
use hallmux_gossip::seal::{Identity, VerificationError};
use hallmux_gossip::{Micros, PeerId};

#[path = "fleet/sim.rs"]
mod sim;

use sim::{address, next_random, secret, Fleet, SECOND, WALL};

fn sullen(engine: u64) -> Vec<EngineStatus> {
    vec![EngineStatus {
        engine,
        failed: 9,
        silent_ms: 3000,
        ..EngineStatus::default()
    }]
}

#[test]
fn twenty_find_each_other_and_news_reaches_all_of_them_with_losses() {
    let mut fleet = Fleet::new(20, 1);
    fleet.loss_rate = 0.1;
    fleet.run(10 * SECOND);
    // With one datagram in ten lost some are under suspicion at any time; nobody is given up for it.
    for n in 0..20 {
        assert_eq!(
            fleet.count_with_health(n, Health::Alive) + fleet.count_with_health(n, Health::Suspect),
            19,
            "{n}"
        );
    }
    fleet.report_engine_statuses(7, sullen(77));
    fleet.run(13 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(77).len(), 19);
    // It fades once its reporter no longer says so.
    fleet.report_engine_statuses(7, Vec::new());
    fleet.run(22 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(77).len(), 0);
}

#[test]
fn twelve_that_start_at_once_know_each_other_within_three_seconds() {
    let mut fleet = Fleet::with_seeds(12, 11, 3);
    fleet.run(3 * SECOND);
    for n in 0..12 {
        assert_eq!(
            fleet.nodes[n].as_ref().unwrap().fleet_size(),
            FleetSize { known: 12, up: 12 },
            "{n}"
        );
    }
}

#[test]
fn one_that_dies_is_found_and_no_other_is_and_it_comes_back_with_an_older_life() {
    let mut fleet = Fleet::new(12, 2);
    fleet.loss_rate = 0.05;
    fleet.run(8 * SECOND);
    fleet.nodes[5] = None;
    fleet.run(40 * SECOND);
    assert_eq!(fleet.count_with_health(5, Health::Dead), 11);
    for n in (0..12).filter(|n| *n != 5) {
        assert_eq!(fleet.count_with_health(n, Health::Dead), 0, "{n}");
    }
    // Its clock was set back by an hour meanwhile, and is right again: its new run has an earlier start.
    fleet.start(5, 12, 3_600_000);
    fleet.run(60 * SECOND);
    assert_eq!(fleet.count_with_health(5, Health::Alive), 11);
    fleet.report_engine_statuses(5, sullen(5));
    fleet.run(63 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(5).len(), 11);
}

#[test]
fn a_partition_in_two_heals() {
    let mut fleet = Fleet::new(10, 3);
    fleet.run(8 * SECOND);
    for a in 0..5 {
        (5..10).for_each(|b| _ = fleet.cut_links.insert((a, b)));
    }
    fleet.run(45 * SECOND);
    assert_eq!(fleet.count_with_health(9, Health::Alive), 4);
    fleet.report_engine_statuses(9, sullen(9));
    fleet.run(48 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(9).len(), 4);
    fleet.cut_links.clear();
    fleet.run(75 * SECOND);
    for n in 0..10 {
        assert_eq!(fleet.count_with_health(n, Health::Alive), 9, "{n}");
    }
    fleet.report_engine_statuses(9, sullen(10));
    fleet.run(78 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(10).len(), 9);
}

#[test]
fn one_that_leaves_is_known_to_have_left() {
    let mut fleet = Fleet::new(10, 4);
    fleet.run(8 * SECOND);
    let (now, wall, mut seed) = (fleet.now, fleet.wall_ms(3), 9);
    let out = fleet.nodes[3]
        .as_mut()
        .unwrap()
        .leave(now, wall, &mut || next_random(&mut seed));
    fleet.send(3, out);
    fleet.nodes[3] = None;
    fleet.run(11 * SECOND);
    assert_eq!(fleet.count_with_health(3, Health::Left), 9);
}

/// What a datagram of this key holds that says a lie of an engine in the name of a reporter.
fn lie(liar: &mut Identity, reporter: PeerId, wall: u64, engine: u64) -> Vec<u8> {
    let started_ms = wall - 1;
    let report = message::Report {
        reporter,
        started_ms,
        version: 9,
        created_ms: wall,
        statuses: sullen(engine),
        ownership: Default::default(),
    };
    let signed = liar.sign(&report);
    let message = message::Message {
        probe: Probe::None,
        updates: Vec::new(),
        reports: vec![signed],
        payload: Vec::new(),
    };
    let content = message::encode(&message);
    liar.seal(wall, &content)
}

#[test]
fn a_stranger_changes_nothing_and_a_liar_speaks_for_itself_alone() {
    let mut fleet = Fleet::new(6, 5);
    fleet.run(8 * SECOND);
    let before: Vec<_> = (0..6)
        .map(|n| fleet.nodes[n].as_ref().unwrap().peer_reports(fleet.now))
        .collect();
    let (mut stranger, mut liar) = (
        Identity::new(&secret(999), WALL),
        Identity::new(&secret(4), WALL + 8_001),
    );
    let wall = fleet.wall_ms(0);
    for to in 0..6 {
        let forged = lie(&mut stranger, fleet.peer_id(2), wall, 8);
        fleet.deliver(5, to, 1, forged);
    }
    fleet.run(9 * SECOND);
    let after: Vec<_> = (0..6)
        .map(|n| fleet.nodes[n].as_ref().unwrap().peer_reports(fleet.now))
        .collect();
    assert_eq!(before, after);
    assert!((0..6)
        .all(|n| fleet.nodes[n].as_ref().unwrap().rejected[&VerificationError::Stranger] == 1));
    // A good key: in another's name it is refused, in its own it counts as one voice.
    let wall = fleet.wall_ms(0);
    let (other, own) = (fleet.peer_id(2), fleet.peer_id(4));
    let forged = lie(&mut liar, other, wall, 8);
    fleet.deliver(4, 0, 1, forged);
    let told = lie(&mut liar, own, wall, 9);
    fleet.deliver(4, 0, 2, told);
    fleet.run(12 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(8).len(), 0);
    assert!(fleet
        .fronts_with_report_on(9)
        .iter()
        .all(|(_, reporters)| *reporters == BTreeSet::from([own])));
    assert!(!fleet.fronts_with_report_on(9).is_empty());
}

#[test]
fn what_is_replayed_a_minute_later_counts_for_nothing() {
    let mut fleet = Fleet::new(5, 6);
    fleet.run(5 * SECOND);
    fleet.report_engine_statuses(1, sullen(3));
    fleet.is_capturing = true;
    fleet.run(6 * SECOND);
    fleet.is_capturing = false;
    fleet.report_engine_statuses(1, Vec::new());
    fleet.run(70 * SECOND);
    assert!(fleet.fronts_with_report_on(3).is_empty());
    let all = std::mem::take(&mut fleet.captured);
    assert!(all.len() > 20);
    for (from, datagram) in all {
        for to in 0..5 {
            fleet.deliver(from, to, 1000, datagram.bytes.clone());
        }
    }
    fleet.run(72 * SECOND);
    assert!(fleet.fronts_with_report_on(3).is_empty());
    assert!((0..5).all(|n| fleet.count_with_health(n, Health::Alive) == 4));
}

#[test]
fn clocks_that_differ_by_five_seconds_leave_news_its_age() {
    let mut fleet = Fleet::new(6, 7);
    fleet.clock_offsets_ms = vec![0, 5_000, -5_000, 2_000, 0, -2_500];
    for n in 0..6 {
        fleet.start(n, 6, 0);
    }
    fleet.run(8 * SECOND);
    for n in 0..6 {
        fleet.report_engine_statuses(n, sullen(n as u64));
        let created = fleet.now;
        fleet.run(created + 2 * SECOND);
        let heard = fleet.fronts_with_report_on(n as u64);
        assert_eq!(heard.len(), 5, "of {n}");
        for (to, _) in heard {
            let news = fleet.nodes[to].as_ref().unwrap().peer_reports(fleet.now);
            let age = news
                .iter()
                .find(|x| x.status.engine == n as u64)
                .unwrap()
                .age;
            assert!(
                (age - (fleet.now - created)).abs() < 100_000,
                "{to} of {n}: {age}"
            );
        }
        fleet.report_engine_statuses(n, Vec::new());
    }
}

#[test]
fn a_flood_from_one_peer_costs_the_others_neither_news_nor_traffic() {
    let mut fleet = Fleet::new(8, 8);
    fleet.run(8 * SECOND);
    let calm = fleet.bytes_sent();
    fleet.run(18 * SECOND);
    let each: Vec<u64> = fleet
        .bytes_sent()
        .iter()
        .zip(&calm)
        .map(|(after, before)| after - before)
        .collect();
    let mut loud = Identity::new(&secret(7), WALL + 20_000);
    fleet.nodes[7] = None;
    let before = fleet.bytes_sent();
    for n in 0..4_000 {
        let message = message::Message {
            probe: Probe::Ping { number: n },
            updates: Vec::new(),
            reports: Vec::new(),
            payload: Vec::new(),
        };
        let wall = fleet.wall_ms(0) + u64::from(n) / 4;
        let bytes = loud.seal(wall, &message::encode(&message));
        fleet.deliver(7, n as usize % 7, Micros::from(n) * 2_500, bytes);
    }
    fleet.report_engine_statuses(2, sullen(2));
    fleet.run(21 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(2).len(), 6);
    fleet.run(28 * SECOND);
    let flooded: Vec<u64> = fleet
        .bytes_sent()
        .iter()
        .zip(&before)
        .map(|(after, before)| after - before)
        .collect();
    assert!(
        flooded.iter().all(|sent| *sent < 10 * 3_800 + 3_800),
        "{flooded:?} after {each:?}"
    );
}

#[test]
fn a_liar_can_not_talk_a_member_dead_for_long() {
    let mut fleet = Fleet::new(6, 9);
    fleet.run(8 * SECOND);
    let mut liar = Identity::new(&secret(4), WALL + 8_001);
    let wall = fleet.wall_ms(0);
    let victim = fleet.peer_id(2);
    for incarnation in [WALL + 1, WALL + 1_000_000, u64::MAX] {
        let update = MemberUpdate {
            member: victim,
            address: address(2),
            incarnation,
            health: Health::Dead,
        };
        let message = message::Message {
            probe: Probe::None,
            updates: vec![update],
            reports: Vec::new(),
            payload: Vec::new(),
        };
        let content = message::encode(&message);
        for to in [0, 1, 3, 5] {
            let bytes = liar.seal(wall, &content);
            fleet.deliver(4, to, 1000, bytes);
        }
    }
    fleet.run(25 * SECOND);
    assert_eq!(fleet.count_with_health(2, Health::Alive), 5);
}

#[test]
fn traffic_is_flat_whatever_the_size() {
    let rate = |count: usize| {
        let mut fleet = Fleet::new(count, 10);
        fleet.run(8 * SECOND);
        let before: u64 = fleet.bytes_sent().iter().sum();
        fleet.report_engine_statuses(1, sullen(4));
        fleet.report_engine_statuses(2, sullen(4));
        fleet.run(20 * SECOND);
        (fleet.bytes_sent().iter().sum::<u64>() - before) as f64 / 12.0 / count as f64
    };
    let rates: Vec<f64> = [5, 10, 20, 40].map(rate).to_vec();
    assert!(rates.iter().all(|rate| *rate < 4096.0), "{rates:?}");
    // Within a tenth of each other.
    let (least, most) = rates.iter().fold((f64::MAX, 0.0f64), |(least, most), r| {
        (least.min(*r), most.max(*r))
    });
    assert!(most < 1.1 * least, "{rates:?}");
}
