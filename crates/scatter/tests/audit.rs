//! How long a site's false word lasts, in simulated time, by the share of scatters and the budget of the fleet.

use hallmux_scatter::audit::{AuditResult, AuditSettings, Audits};
use hallmux_scatter::Micros;

const FRONTS: usize = 10;
const SITES: usize = 20;
const FALSE: &str = "s07";
const APART: Micros = 100_000; // microseconds between a front's scatters

/// Drawn numbers (SplitMix64).
fn drawn(seed: &mut u64) -> u64 {
    *seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = (*seed ^ (*seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Seconds until each front has found it, in the mean; audits of the fleet a second; rows missed.
fn plays(one_in: u64, per_second: f64, seed: u64) -> (f64, f64, u64) {
    let sites: Vec<String> = (0..SITES).map(|n| format!("s{n:02}")).collect();
    let (mut seed, mut sum, mut last, mut missed, mut audits) = (seed, 0.0, 0, 0, 0);
    for _ in 0..FRONTS {
        let mut front = Audits::new(AuditSettings { one_in, per_second });
        let (mut now, mut steps) = (0, 0);
        while !front.is_suspected(FALSE) {
            now += APART;
            steps += 1;
            assert!(steps < 2_000_000, "never found");
            // One scatter in ten has a row there that its summary denies.
            let has = drawn(&mut seed).is_multiple_of(10);
            let at = front.choose_site(now, drawn(&mut seed), FRONTS as f64, &sites);
            let asked = at.map(|at| sites[at].as_str());
            if let Some(site) = asked {
                let rows = u64::from(site == FALSE && has);
                let verdict = front.record_answer(site, rows, true);
                assert_eq!(verdict == AuditResult::Refuted, rows > 0);
            }
            missed += u64::from(has && asked != Some(FALSE));
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
fn a_false_word_is_found_the_sooner_the_more_is_spent_and_never_over_the_budget() {
    let mut before = f64::MAX;
    for (one_in, per_second) in [(300, 1.0), (100, 1.0), (10, 1.0), (10, 10.0)] {
        let (found, spent, missed) = plays(one_in, per_second, 5);
        println!(
            "one scatter in {one_in}, {per_second} audits a second: found after {found:.0} s in the mean, {spent:.2} audits a \
             second spent, {missed} rows missed by the site's own word"
        );
        assert!(found < before * 1.1, "{found} after {before}");
        before = found;
    }
}

#[test]
fn credit_is_earned_back_by_answers_in_a_row_and_costs_more_each_time() {
    let mut audits = Audits::new(AuditSettings {
        one_in: 1,
        per_second: 1.0,
    });
    // Rows that a load may have brought prove nothing.
    assert_eq!(
        audits.record_answer(FALSE, 1, false),
        AuditResult::Inconclusive
    );
    assert!(!audits.is_suspected(FALSE));
    for penalty in [20, 40, 80] {
        assert_eq!(audits.record_answer(FALSE, 3, true), AuditResult::Refuted);
        for _ in 1..penalty {
            assert_eq!(audits.record_answer(FALSE, 0, true), AuditResult::Confirmed);
            assert!(audits.is_suspected(FALSE));
        }
        assert_eq!(audits.record_answer(FALSE, 0, true), AuditResult::Recovered);
        assert!(!audits.is_suspected(FALSE));
    }
    assert_eq!((audits.counts.found, audits.counts.rows), (3, 9));
}

#[test]
fn a_word_that_another_front_found_false_counts_for_nothing_until_it_is_earned_back() {
    let mut audits = Audits::new(AuditSettings {
        one_in: 1,
        per_second: 1.0,
    });
    audits.reported_by_peer(FALSE);
    for _ in 1..20 {
        assert_eq!(audits.record_answer(FALSE, 0, true), AuditResult::Confirmed);
        assert!(audits.is_suspected(FALSE));
    }
    assert_eq!(audits.record_answer(FALSE, 0, true), AuditResult::Recovered);
    assert!(!audits.is_suspected(FALSE) && audits.counts.found == 0);
    // Found false here after that it costs twice as much.
    assert_eq!(audits.record_answer(FALSE, 1, true), AuditResult::Refuted);
    let earned =
        (0..100).position(|_| audits.record_answer(FALSE, 0, true) == AuditResult::Recovered);
    assert_eq!(earned, Some(39));
}
