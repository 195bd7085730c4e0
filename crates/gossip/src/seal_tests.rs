//! Unit tests of the `seal` module.

use super::peer::TIME_WINDOW;
use super::*;

const SOURCE: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
const WALL_MS: u64 = 1_800_000_000_000;

fn identity_and_peers() -> (Identity, Peers) {
    let identity = Identity::new(&[7; 32], WALL_MS - 1000);
    let peers = Peers::new(Keys::new(&[identity.public_key()]));
    (identity, peers)
}

#[test]
fn a_sealed_datagram_opens_once_and_a_corrupted_one_never() {
    let (mut identity, mut peers) = identity_and_peers();
    let sealed = identity.seal(WALL_MS, b"news");
    for at in 0..sealed.len() {
        let mut corrupted = sealed.clone();
        corrupted[at] ^= 1;
        assert!(
            peers
                .open(at as Micros * 20_000, WALL_MS, SOURCE, &corrupted)
                .is_err(),
            "{at}"
        );
    }
    let now = 60_000_000;
    let opened = peers.open(now, WALL_MS, SOURCE, &sealed).unwrap();
    assert_eq!((opened.sender, opened.content), (identity.id, &b"news"[..]));
    assert_eq!(
        peers.open(now, WALL_MS, SOURCE, &sealed),
        Err(VerificationError::Replay)
    );
    assert_eq!(
        peers.open(now, WALL_MS, SOURCE, &sealed[..SEAL_BYTES - 1]),
        Err(VerificationError::Form)
    );
    assert_eq!(
        Peers::new(Keys::new(&[])).open(now, WALL_MS, SOURCE, &sealed),
        Err(VerificationError::Stranger)
    );
}

#[test]
fn datagrams_out_of_order_are_accepted_and_repeated_ones_rejected() {
    let (mut identity, mut peers) = identity_and_peers();
    let all: Vec<Vec<u8>> = (0..400).map(|_| identity.seal(WALL_MS, b"x")).collect();
    let mut now = 1_000_000;
    let mut open = |n: usize| {
        now += 20_000;
        peers.open(now, WALL_MS, SOURCE, &all[n]).map(|_| ())
    };
    for n in [0, 5, 3, 200, 130, 64, 399, 398, 144] {
        assert_eq!(open(n), Ok(()), "{n}");
        assert_eq!(open(n), Err(VerificationError::Replay), "{n}");
    }
    assert_eq!(
        open(143),
        Err(VerificationError::Replay),
        "beyond the window"
    );
}

#[test]
fn datagrams_a_minute_old_are_rejected() {
    let (mut identity, mut peers) = identity_and_peers();
    let first = identity.seal(WALL_MS, b"x");
    let second = identity.seal(WALL_MS, b"y");
    assert!(peers.open(0, WALL_MS, SOURCE, &first).is_ok());
    let (later, wall_ms) = (60_000_000, WALL_MS + 60_000);
    assert_eq!(
        peers.open(later, wall_ms, SOURCE, &first),
        Err(VerificationError::Replay)
    );
    assert_eq!(
        peers.open(later, wall_ms, SOURCE, &second),
        Err(VerificationError::Old)
    );
    // A receiver without any earlier datagram of the sender rejects it too.
    let mut fresh = Peers::new(Keys::new(&[identity.public_key()]));
    assert_eq!(
        fresh.open(later, wall_ms, SOURCE, &first),
        Err(VerificationError::Old)
    );
}

#[test]
fn clock_offsets_of_seconds_affect_neither_acceptance_nor_ages() {
    for clock_offset_ms in [-5_000i64, 0, 5_000] {
        let (mut identity, mut peers) = identity_and_peers();
        let sender_wall_ms = (WALL_MS as i64 + clock_offset_ms) as u64;
        for n in 0..20u64 {
            let sealed = identity.seal(sender_wall_ms + n * 100, b"x");
            let now = n as Micros * 100_000;
            assert!(
                peers
                    .open(now, WALL_MS + n * 100 + 3, SOURCE, &sealed)
                    .is_ok(),
                "{clock_offset_ms}"
            );
        }
        let age = peers
            .age(identity.id, WALL_MS + 5_000, sender_wall_ms + 2_000)
            .unwrap();
        assert_eq!(age, 2_997_000, "{clock_offset_ms}");
    }
}

#[test]
fn a_new_incarnation_supersedes_the_old_until_it_is_silent_for_the_time_window() {
    let (mut identity, mut peers) = identity_and_peers();
    assert!(peers
        .open(0, WALL_MS, SOURCE, &identity.seal(WALL_MS, b"x"))
        .is_ok());
    let mut older = Identity::new(&[7; 32], WALL_MS - 500_000);
    assert_eq!(
        peers.open(1_000_000, WALL_MS, SOURCE, &older.seal(WALL_MS, b"x")),
        Err(VerificationError::Replay)
    );
    let mut newer = Identity::new(&[7; 32], WALL_MS);
    assert!(peers
        .open(2_000_000, WALL_MS, SOURCE, &newer.seal(WALL_MS, b"x"))
        .is_ok());
    assert_eq!(
        peers.open(3_000_000, WALL_MS, SOURCE, &identity.seal(WALL_MS, b"x")),
        Err(VerificationError::Replay)
    );
    let after_window = 2_000_000 + TIME_WINDOW + 1;
    let wall_ms = WALL_MS + 13_000;
    assert!(peers
        .open(after_window, wall_ms, SOURCE, &older.seal(wall_ms, b"x"))
        .is_ok());
}

#[test]
fn a_flood_of_forgeries_causes_a_bounded_number_of_signature_checks() {
    let (mut identity, mut peers) = identity_and_peers();
    let mut rejected: HashMap<VerificationError, usize> = HashMap::new();
    for n in 0..20_000u32 {
        let mut forged = identity.seal(WALL_MS, b"x");
        forged[HEADER_BYTES] ^= 1;
        let now = Micros::from(n) * 50; // a second in all
        let error = peers.open(now, WALL_MS, SOURCE, &forged).unwrap_err();
        *rejected.entry(error).or_default() += 1;
    }
    assert!(
        rejected[&VerificationError::Forged] <= 2 * FAILED_CHECKS_PER_SOURCE as usize,
        "{rejected:?}"
    );
    // Valid datagrams from other source addresses are still accepted.
    let other = IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 2));
    assert!(peers
        .open(1_000_000, WALL_MS, other, &identity.seal(WALL_MS, b"x"))
        .is_ok());
}

#[test]
fn many_valid_datagrams_of_a_front_do_not_raise_the_limit_on_forgeries() {
    let (mut identity, mut peers) = identity_and_peers();
    let mut opened = 0;
    for n in 0..6_000u32 {
        let sealed = identity.seal(WALL_MS, b"x");
        opened += usize::from(
            peers
                .open(Micros::from(n) * 10, WALL_MS, SOURCE, &sealed)
                .is_ok(),
        );
    }
    let checks_per_second = VALID_CHECKS_PER_SECOND as usize;
    assert!(
        (checks_per_second..checks_per_second + checks_per_second / 10).contains(&opened),
        "{opened}"
    );
    let mut forged = identity.seal(WALL_MS, b"x");
    forged[HEADER_BYTES] ^= 1;
    let checked = (0..1_000)
        .filter(|_| peers.open(60_000, WALL_MS, SOURCE, &forged) == Err(VerificationError::Forged));
    assert!(checked.count() <= FAILED_CHECKS_PER_SOURCE as usize);
}

#[test]
fn a_report_signed_by_another_front_is_rejected() {
    let (identity, mut peers) = identity_and_peers();
    let report = Report {
        reporter: identity.id,
        started_ms: identity.started_ms,
        version: 1,
        created_ms: WALL_MS,
        statuses: Vec::new(),
        ownership: Default::default(),
    };
    let signed = identity.sign(&report);
    assert_eq!(peers.verify_report(0, SOURCE, &signed), Ok(report.clone()));
    let other = Identity::new(&[8; 32], 1);
    // A front with a known key can't sign a report in another front's name.
    let mut peers_with_both_keys =
        Peers::new(Keys::new(&[identity.public_key(), other.public_key()]));
    assert_eq!(
        peers_with_both_keys.verify_report(0, SOURCE, &other.sign(&report)),
        Err(VerificationError::Forged)
    );
    let mut corrupted = signed.clone();
    corrupted.report[9] ^= 1;
    assert!(peers.verify_report(0, SOURCE, &corrupted).is_err());
}
