//! Audits in simulated time: how long a false summary stays undetected, by the share of scatters
//! audited and the fleet's rate.

use hallmux_scatter::audit::{AuditResult, AuditSettings, Audits};
use hallmux_scatter::Micros;

const FRONTS: usize = 10;
const SITES: usize = 20;
const FALSE_SITE: &str = "s07";
const SCATTER_INTERVAL: Micros = 100_000; // Microseconds between the scatters of a front.

/// The next pseudo-random number (SplitMix64).
fn next_random(seed: &mut u64) -> u64 {
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = (*seed ^ (*seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Plays the fleet until each front has found the false summary. Returns the mean seconds until
/// then, the audits per second of the fleet, and the number of missed rows.
fn play(one_in: u64, per_second: f64, seed: u64) -> (f64, f64, u64) {
    let sites: Vec<String> = (0..SITES).map(|n| format!("s{n:02}")).collect();
    let (mut seed, mut sum, mut last, mut missed, mut audits) = (seed, 0.0, 0, 0, 0);
    for _ in 0..FRONTS {
        let mut front = Audits::new(AuditSettings { one_in, per_second });
        let (mut now, mut steps) = (0, 0);
        while !front.is_suspected(FALSE_SITE) {
            now += SCATTER_INTERVAL;
            steps += 1;
            assert!(steps < 2_000_000, "never found");
            // One scatter in ten has a matching row there, which the summary rules out.
            let has = next_random(&mut seed).is_multiple_of(10);
            let audited = front.choose_site(now, next_random(&mut seed), FRONTS as f64, &sites);
            let asked = audited.map(|at| sites[at].as_str());
            if let Some(site) = asked {
                let rows = u64::from(site == FALSE_SITE && has);
                let result = front.record_answer(site, rows, true);
                assert_eq!(result == AuditResult::Refuted, rows > 0);
            }
            missed += u64::from(has && asked != Some(FALSE_SITE));
        }
        (sum, last) = (sum + now as f64 / 1e6, last.max(now));
        audits += front.counts.audits;
        assert!(front.counts.audits as f64 <= now as f64 / 1e6 * per_second / FRONTS as f64 + 1.0);
    }
    (
        sum / FRONTS as f64,
        audits as f64 / (last as f64 / 1e6),
        missed,
    )
}

#[test]
fn a_false_summary_is_found_sooner_with_more_audits_and_within_the_rate() {
    let mut before = f64::MAX;
    for (one_in, per_second) in [(300, 1.0), (100, 1.0), (10, 1.0), (10, 10.0)] {
        let (found, spent, missed) = play(one_in, per_second, 5);
        println!(
            "one scatter in {one_in}, {per_second} audits a second: found after {found:.0} s in the mean, {spent:.2} audits a \
             second spent, {missed} rows missed because of the false summary"
        );
        assert!(found < before * 1.1, "{found} after {before}");
        before = found;
    }
}

#[test]
fn a_site_recovers_by_consecutive_answers_and_needs_more_each_time() {
    let mut audits = Audits::new(AuditSettings {
        one_in: 1,
        per_second: 1.0,
    });
    // Rows that a load may have added prove nothing.
    assert_eq!(
        audits.record_answer(FALSE_SITE, 1, false),
        AuditResult::Inconclusive
    );
    assert!(!audits.is_suspected(FALSE_SITE));
    for penalty in [20, 40, 80] {
        assert_eq!(
            audits.record_answer(FALSE_SITE, 3, true),
            AuditResult::Refuted
        );
        for _ in 1..penalty {
            assert_eq!(
                audits.record_answer(FALSE_SITE, 0, true),
                AuditResult::Confirmed
            );
            assert!(audits.is_suspected(FALSE_SITE));
        }
        assert_eq!(
            audits.record_answer(FALSE_SITE, 0, true),
            AuditResult::Recovered
        );
        assert!(!audits.is_suspected(FALSE_SITE));
    }
    assert_eq!((audits.counts.found, audits.counts.rows), (3, 9));
}

#[test]
fn a_site_that_a_peer_found_false_is_suspected_until_it_recovers() {
    let mut audits = Audits::new(AuditSettings {
        one_in: 1,
        per_second: 1.0,
    });
    audits.reported_by_peer(FALSE_SITE);
    for _ in 1..20 {
        assert_eq!(
            audits.record_answer(FALSE_SITE, 0, true),
            AuditResult::Confirmed
        );
        assert!(audits.is_suspected(FALSE_SITE));
    }
    assert_eq!(
        audits.record_answer(FALSE_SITE, 0, true),
        AuditResult::Recovered
    );
    assert!(!audits.is_suspected(FALSE_SITE) && audits.counts.found == 0);
    // After being reported by a peer, a false summary found here requires twice as many answers.
    assert_eq!(
        audits.record_answer(FALSE_SITE, 1, true),
        AuditResult::Refuted
    );
    let recovered_after =
        (0..100).position(|_| audits.record_answer(FALSE_SITE, 0, true) == AuditResult::Recovered);
    assert_eq!(recovered_after, Some(39));
}
