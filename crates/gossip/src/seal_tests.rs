//! Unit tests of the `seal` module.

use super::peer::TIME_WINDOW;
use super::*;

const FROM: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
const WALL: u64 = 1_800_000_000_000;

fn pair() -> (Identity, Peers) {
    let own = Identity::new(&[7; 32], WALL - 1000);
    let peers = Peers::new(Keys::new(&[own.public_key()]));
    (own, peers)
}

#[test]
fn what_is_sealed_opens_once_and_spoilt_never() {
    let (mut own, mut peers) = pair();
    let sealed = own.seal(WALL, b"news");
    for at in 0..sealed.len() {
        let mut spoilt = sealed.clone();
        spoilt[at] ^= 1;
        assert!(
            peers
                .open(at as Micros * 20_000, WALL, FROM, &spoilt)
                .is_err(),
            "{at}"
        );
    }
    let now = 60_000_000;
    let opened = peers.open(now, WALL, FROM, &sealed).unwrap();
    assert_eq!((opened.sender, opened.content), (own.id, &b"news"[..]));
    assert_eq!(
        peers.open(now, WALL, FROM, &sealed),
        Err(VerificationError::Replay)
    );
    assert_eq!(
        peers.open(now, WALL, FROM, &sealed[..SEAL_BYTES - 1]),
        Err(VerificationError::Form)
    );
    assert_eq!(
        Peers::new(Keys::new(&[])).open(now, WALL, FROM, &sealed),
        Err(VerificationError::Stranger)
    );
}

#[test]
fn out_of_order_is_taken_and_repeated_is_not() {
    let (mut own, mut peers) = pair();
    let all: Vec<Vec<u8>> = (0..400).map(|_| own.seal(WALL, b"x")).collect();
    let mut now = 1_000_000;
    let mut open = |n: usize| {
        now += 20_000;
        peers.open(now, WALL, FROM, &all[n]).map(|_| ())
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
fn a_minute_later_nothing_counts_again_whatever_became_of_its_sender() {
    let (mut own, mut peers) = pair();
    let first = own.seal(WALL, b"x");
    let second = own.seal(WALL, b"y");
    assert!(peers.open(0, WALL, FROM, &first).is_ok());
    let (later, wall) = (60_000_000, WALL + 60_000);
    assert_eq!(
        peers.open(later, wall, FROM, &first),
        Err(VerificationError::Replay)
    );
    assert_eq!(
        peers.open(later, wall, FROM, &second),
        Err(VerificationError::Old)
    );
    // Nor to one that has never heard of it.
    let mut fresh = Peers::new(Keys::new(&[own.public_key()]));
    assert_eq!(
        fresh.open(later, wall, FROM, &first),
        Err(VerificationError::Old)
    );
}

#[test]
fn clocks_that_differ_by_seconds_change_neither_what_counts_nor_its_age() {
    for apart in [-5_000i64, 0, 5_000] {
        let (mut own, mut peers) = pair();
        let theirs = (WALL as i64 + apart) as u64;
        for n in 0..20u64 {
            let sealed = own.seal(theirs + n * 100, b"x");
            let now = n as Micros * 100_000;
            assert!(
                peers.open(now, WALL + n * 100 + 3, FROM, &sealed).is_ok(),
                "{apart}"
            );
        }
        let age = peers.age(own.id, WALL + 5_000, theirs + 2_000).unwrap();
        assert_eq!(age, 2_997_000, "{apart}");
    }
}

#[test]
fn a_new_life_goes_before_the_old_and_an_older_counts_once_the_newer_is_forgotten() {
    let (mut own, mut peers) = pair();
    assert!(peers.open(0, WALL, FROM, &own.seal(WALL, b"x")).is_ok());
    let mut older = Identity::new(&[7; 32], WALL - 500_000);
    assert_eq!(
        peers.open(1_000_000, WALL, FROM, &older.seal(WALL, b"x")),
        Err(VerificationError::Replay)
    );
    let mut newer = Identity::new(&[7; 32], WALL);
    assert!(peers
        .open(2_000_000, WALL, FROM, &newer.seal(WALL, b"x"))
        .is_ok());
    assert_eq!(
        peers.open(3_000_000, WALL, FROM, &own.seal(WALL, b"x")),
        Err(VerificationError::Replay)
    );
    let silent = 2_000_000 + TIME_WINDOW + 1;
    let wall = WALL + 13_000;
    assert!(peers
        .open(silent, wall, FROM, &older.seal(wall, b"x"))
        .is_ok());
}

#[test]
fn a_flood_of_forgeries_costs_a_bounded_number_of_signatures() {
    let (mut own, mut peers) = pair();
    let mut refused: HashMap<VerificationError, usize> = HashMap::new();
    for n in 0..20_000u32 {
        let mut forged = own.seal(WALL, b"x");
        forged[HEADER_BYTES] ^= 1;
        let now = Micros::from(n) * 50; // a second in all
        let why = peers.open(now, WALL, FROM, &forged).unwrap_err();
        *refused.entry(why).or_default() += 1;
    }
    assert!(
        refused[&VerificationError::Forged] <= 2 * FAILED_CHECKS_PER_SOURCE as usize,
        "{refused:?}"
    );
    // Those of others still count meanwhile.
    let other = IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 2));
    assert!(peers
        .open(1_000_000, WALL, other, &own.seal(WALL, b"x"))
        .is_ok());
}

#[test]
fn many_letters_of_a_front_count_and_forgeries_from_its_address_are_bounded_as_ever() {
    let (mut own, mut peers) = pair();
    let mut opened = 0;
    for n in 0..6_000u32 {
        let sealed = own.seal(WALL, b"x");
        opened += usize::from(
            peers
                .open(Micros::from(n) * 10, WALL, FROM, &sealed)
                .is_ok(),
        );
    }
    let most = VALID_CHECKS_PER_SECOND as usize;
    assert!((most..most + most / 10).contains(&opened), "{opened}");
    let mut forged = own.seal(WALL, b"x");
    forged[HEADER_BYTES] ^= 1;
    let looked = (0..1_000)
        .filter(|_| peers.open(60_000, WALL, FROM, &forged) == Err(VerificationError::Forged));
    assert!(looked.count() <= FAILED_CHECKS_PER_SOURCE as usize);
}

#[test]
fn a_report_is_its_makers_alone() {
    let (own, mut peers) = pair();
    let report = Report {
        reporter: own.id,
        started_ms: own.started_ms,
        version: 1,
        created_ms: WALL,
        statuses: Vec::new(),
        ownership: Default::default(),
    };
    let signed = own.sign(&report);
    assert_eq!(peers.verify_report(0, FROM, &signed), Ok(report.clone()));
    let other = Identity::new(&[8; 32], 1);
    // A liar whose key is good can't speak for another.
    let mut both = Peers::new(Keys::new(&[own.public_key(), other.public_key()]));
    assert_eq!(
        both.verify_report(0, FROM, &other.sign(&report)),
        Err(VerificationError::Forged)
    );
    let mut spoilt = signed.clone();
    spoilt.report[9] ^= 1;
    assert!(peers.verify_report(0, FROM, &spoilt).is_err());
}
