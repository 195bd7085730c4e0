//! Discovery, failure detection, spread of reports and authentication in fleets over a simulated
//! network.

use std::collections::BTreeSet;

use hallmux_gossip::members::FleetSize;
use hallmux_gossip::message::{self, EngineStatus, Health, MemberUpdate, Probe};
use hallmux_gossip::seal::{Identity, VerificationError};
use hallmux_gossip::{Micros, PeerId};

#[path = "fleet/sim.rs"]
mod sim;

use sim::{address, next_random, secret, Fleet, SECOND, WALL};

fn faulty_status(engine: u64) -> Vec<EngineStatus> {
    vec![EngineStatus {
        engine,
        failed: 9,
        silent_ms: 3000,
        ..EngineStatus::default()
    }]
}

#[test]
fn twenty_fronts_discover_each_other_and_receive_reports_despite_loss() {
    let mut fleet = Fleet::new(20, 1);
    fleet.loss_rate = 0.1;
    fleet.run(10 * SECOND);
    // With one datagram in ten lost some fronts are suspected at any time, but none is declared
    // dead.
    for n in 0..20 {
        assert_eq!(
            fleet.count_with_health(n, Health::Alive) + fleet.count_with_health(n, Health::Suspect),
            19,
            "{n}"
        );
    }
    fleet.report_engine_statuses(7, faulty_status(77));
    fleet.run(13 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(77).len(), 19);
    // The status expires once its reporter no longer reports it.
    fleet.report_engine_statuses(7, Vec::new());
    fleet.run(22 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(77).len(), 0);
}

#[test]
fn twelve_fronts_started_together_know_each_other_within_three_seconds() {
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
fn a_dead_front_is_detected_alone_and_rejoins_with_a_lower_incarnation() {
    let mut fleet = Fleet::new(12, 2);
    fleet.loss_rate = 0.05;
    fleet.run(8 * SECOND);
    fleet.nodes[5] = None;
    fleet.run(40 * SECOND);
    assert_eq!(fleet.count_with_health(5, Health::Dead), 11);
    for n in (0..12).filter(|n| *n != 5) {
        assert_eq!(fleet.count_with_health(n, Health::Dead), 0, "{n}");
    }
    // The clock was an hour behind at the restart: the new incarnation is lower than the one that
    // died.
    fleet.start(5, 12, 3_600_000);
    fleet.run(60 * SECOND);
    assert_eq!(fleet.count_with_health(5, Health::Alive), 11);
    fleet.report_engine_statuses(5, faulty_status(5));
    fleet.run(63 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(5).len(), 11);
}

#[test]
fn a_fleet_split_in_two_rejoins() {
    let mut fleet = Fleet::new(10, 3);
    fleet.run(8 * SECOND);
    for a in 0..5 {
        (5..10).for_each(|b| _ = fleet.cut_links.insert((a, b)));
    }
    fleet.run(45 * SECOND);
    assert_eq!(fleet.count_with_health(9, Health::Alive), 4);
    fleet.report_engine_statuses(9, faulty_status(9));
    fleet.run(48 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(9).len(), 4);
    fleet.cut_links.clear();
    fleet.run(75 * SECOND);
    for n in 0..10 {
        assert_eq!(fleet.count_with_health(n, Health::Alive), 9, "{n}");
    }
    fleet.report_engine_statuses(9, faulty_status(10));
    fleet.run(78 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(10).len(), 9);
}

#[test]
fn a_front_that_leaves_is_marked_as_left() {
    let mut fleet = Fleet::new(10, 4);
    fleet.run(8 * SECOND);
    let (now, wall_ms, mut seed) = (fleet.now, fleet.wall_ms(3), 9);
    let datagrams = fleet.nodes[3]
        .as_mut()
        .unwrap()
        .leave(now, wall_ms, &mut || next_random(&mut seed));
    fleet.send(3, datagrams);
    fleet.nodes[3] = None;
    fleet.run(11 * SECOND);
    assert_eq!(fleet.count_with_health(3, Health::Left), 9);
}

/// A datagram sealed and a report signed with the key of `malicious`, on an engine, in the name of
/// `reporter`.
fn datagram_with_report(
    malicious: &mut Identity,
    reporter: PeerId,
    wall_ms: u64,
    engine: u64,
) -> Vec<u8> {
    let started_ms = wall_ms - 1;
    let report = message::Report {
        reporter,
        started_ms,
        version: 9,
        created_ms: wall_ms,
        statuses: faulty_status(engine),
        ownership: Default::default(),
    };
    let signed = malicious.sign(&report);
    let message = message::Message {
        probe: Probe::None,
        updates: Vec::new(),
        reports: vec![signed],
        payload: Vec::new(),
    };
    let content = message::encode(&message);
    malicious.seal(wall_ms, &content)
}

#[test]
fn unknown_keys_are_ignored_and_a_known_key_can_report_only_for_itself() {
    let mut fleet = Fleet::new(6, 5);
    fleet.run(8 * SECOND);
    let before: Vec<_> = (0..6)
        .map(|n| fleet.nodes[n].as_ref().unwrap().peer_reports(fleet.now))
        .collect();
    let (mut unknown, mut malicious) = (
        Identity::new(&secret(999), WALL),
        Identity::new(&secret(4), WALL + 8_001),
    );
    let wall_ms = fleet.wall_ms(0);
    for to in 0..6 {
        let forged = datagram_with_report(&mut unknown, fleet.peer_id(2), wall_ms, 8);
        fleet.deliver(5, to, 1, forged);
    }
    fleet.run(9 * SECOND);
    let after: Vec<_> = (0..6)
        .map(|n| fleet.nodes[n].as_ref().unwrap().peer_reports(fleet.now))
        .collect();
    assert_eq!(before, after);
    assert!((0..6)
        .all(|n| fleet.nodes[n].as_ref().unwrap().rejected[&VerificationError::Stranger] == 1));
    // A known key: a report in another front's name is rejected, one in its own name counts as one
    // reporter.
    let wall_ms = fleet.wall_ms(0);
    let (other_id, malicious_id) = (fleet.peer_id(2), fleet.peer_id(4));
    let forged = datagram_with_report(&mut malicious, other_id, wall_ms, 8);
    fleet.deliver(4, 0, 1, forged);
    let own_report = datagram_with_report(&mut malicious, malicious_id, wall_ms, 9);
    fleet.deliver(4, 0, 2, own_report);
    fleet.run(12 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(8).len(), 0);
    assert!(fleet
        .fronts_with_report_on(9)
        .iter()
        .all(|(_, reporters)| *reporters == BTreeSet::from([malicious_id])));
    assert!(!fleet.fronts_with_report_on(9).is_empty());
}

#[test]
fn datagrams_replayed_a_minute_later_are_ignored() {
    let mut fleet = Fleet::new(5, 6);
    fleet.run(5 * SECOND);
    fleet.report_engine_statuses(1, faulty_status(3));
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
fn clock_offsets_of_five_seconds_do_not_distort_report_ages() {
    let mut fleet = Fleet::new(6, 7);
    fleet.clock_offsets_ms = vec![0, 5_000, -5_000, 2_000, 0, -2_500];
    for n in 0..6 {
        fleet.start(n, 6, 0);
    }
    fleet.run(8 * SECOND);
    for n in 0..6 {
        fleet.report_engine_statuses(n, faulty_status(n as u64));
        let created = fleet.now;
        fleet.run(created + 2 * SECOND);
        let fronts = fleet.fronts_with_report_on(n as u64);
        assert_eq!(fronts.len(), 5, "of {n}");
        for (to, _) in fronts {
            let reports = fleet.nodes[to].as_ref().unwrap().peer_reports(fleet.now);
            let age = reports
                .iter()
                .find(|report| report.status.engine == n as u64)
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
fn a_flood_from_one_peer_neither_stops_reports_nor_exceeds_the_traffic_limit() {
    let mut fleet = Fleet::new(8, 8);
    fleet.run(8 * SECOND);
    let before_calm = fleet.bytes_sent();
    fleet.run(18 * SECOND);
    let calm_bytes: Vec<u64> = fleet
        .bytes_sent()
        .iter()
        .zip(&before_calm)
        .map(|(after, before)| after - before)
        .collect();
    let mut flooder = Identity::new(&secret(7), WALL + 20_000);
    fleet.nodes[7] = None;
    let before = fleet.bytes_sent();
    for n in 0..4_000 {
        let message = message::Message {
            probe: Probe::Ping { number: n },
            updates: Vec::new(),
            reports: Vec::new(),
            payload: Vec::new(),
        };
        let wall_ms = fleet.wall_ms(0) + u64::from(n) / 4;
        let bytes = flooder.seal(wall_ms, &message::encode(&message));
        fleet.deliver(7, n as usize % 7, Micros::from(n) * 2_500, bytes);
    }
    fleet.report_engine_statuses(2, faulty_status(2));
    fleet.run(21 * SECOND);
    assert_eq!(fleet.fronts_with_report_on(2).len(), 6);
    fleet.run(28 * SECOND);
    let flooded_bytes: Vec<u64> = fleet
        .bytes_sent()
        .iter()
        .zip(&before)
        .map(|(after, before)| after - before)
        .collect();
    assert!(
        flooded_bytes.iter().all(|sent| *sent < 10 * 3_800 + 3_800),
        "{flooded_bytes:?} after {calm_bytes:?}"
    );
}

#[test]
fn false_death_updates_are_refuted() {
    let mut fleet = Fleet::new(6, 9);
    fleet.run(8 * SECOND);
    let mut malicious = Identity::new(&secret(4), WALL + 8_001);
    let wall_ms = fleet.wall_ms(0);
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
            let bytes = malicious.seal(wall_ms, &content);
            fleet.deliver(4, to, 1000, bytes);
        }
    }
    fleet.run(25 * SECOND);
    assert_eq!(fleet.count_with_health(2, Health::Alive), 5);
}

#[test]
fn traffic_per_front_does_not_grow_with_the_fleet() {
    let bytes_per_second = |count: usize| {
        let mut fleet = Fleet::new(count, 10);
        fleet.run(8 * SECOND);
        let before: u64 = fleet.bytes_sent().iter().sum();
        fleet.report_engine_statuses(1, faulty_status(4));
        fleet.report_engine_statuses(2, faulty_status(4));
        fleet.run(20 * SECOND);
        (fleet.bytes_sent().iter().sum::<u64>() - before) as f64 / 12.0 / count as f64
    };
    let rates: Vec<f64> = [5, 10, 20, 40].map(bytes_per_second).to_vec();
    assert!(
        rates
            .iter()
            .all(|bytes_per_second| *bytes_per_second < 4096.0),
        "{rates:?}"
    );
    // The rates differ by less than a tenth.
    let (lowest, highest) = rates
        .iter()
        .fold((f64::MAX, 0.0f64), |(lowest, highest), r| {
            (lowest.min(*r), highest.max(*r))
        });
    assert!(highest < 1.1 * lowest, "{rates:?}");
}
