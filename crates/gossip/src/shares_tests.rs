//! Unit tests of the `shares` module.

use super::*;

fn share(reporter: PeerId, version: u32, asked: u32) -> Share {
    let offered = vec![Offered { workload: 1, asked, ..Offered::default() }];
    Share { reporter, life: 1, version, created_ms: 0, offered }
}

fn signed() -> Signed {
    Signed { report: vec![0; 40], signature: vec![0; 64] }
}

fn asked(shares: &Shares, now: Micros) -> Vec<u32> {
    shares.all(now).map(|offered| offered[0].asked).collect()
}

#[test]
fn the_least_makers_count_in_any_order_and_the_latest_of_each() {
    let mut all: Vec<Share> = (0..40).flat_map(|n| [share(n, 1, 1), share(n, 2, 100 + n as u32)]).collect();
    for turn in 0..5 {
        let mut shares = Shares::default();
        all.rotate_left(17 * turn);
        for s in all.iter().chain(all.clone().iter()) {
            shares.merge(0, s.clone(), signed(), 0);
        }
        assert_eq!(asked(&shares, 1), (100..100 + MAX_REPORTERS as u32).collect::<Vec<_>>());
    }
}

#[test]
fn what_is_not_renewed_fades_and_makes_room_for_others() {
    let mut shares = Shares::default();
    (0..MAX_REPORTERS as u64).for_each(|n| _ = shares.merge(0, share(n, 1, 1), signed(), 0));
    assert!(!shares.merge(0, share(99, 1, 7), signed(), 0), "others have lesser ids");
    shares.fade(FADES);
    assert!(shares.merge(FADES, share(99, 1, 7), signed(), 0));
    assert_eq!(asked(&shares, FADES), [7]);
    assert!(!shares.merge(FADES, share(98, 1, 7), signed(), FADES), "older than it lasts");
}

#[test]
fn bytes_and_workloads_are_bounded() {
    let mut shares = Shares::default();
    let mut long = share(1, 1, 1);
    long.offered = vec![Offered::default(); MOST_OFFERED + 1];
    assert!(!shares.merge(0, long, signed(), 0));
    (0..8).for_each(|n| _ = shares.merge(0, share(n, 1, 1), signed(), 0));
    assert_eq!(shares.pass_on(1, 230).len(), 2);
    let rest: usize = (0..99).map(|_| shares.pass_on(1, 1_000).len()).sum();
    assert_eq!(rest + 2, 8 * MOST_SENT as usize);
}
