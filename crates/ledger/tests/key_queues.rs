//! Fronts that compete for one key all the time: with notifications that the key is free, and by
//! polling only.

mod sim;

use hallmux_ledger::{Micros, Operation, Outcome};
use sim::{Fleet, SECOND};

const WALL: i64 = 1_800_000_000_000;
const MS: Micros = 1_000;
/// Microseconds for which a front holds the key.
const HOLD_TIME: Micros = 30 * MS;
/// Bounds in microseconds of the backoff between claims, as the ledger barrier uses them.
const MIN_RETRY_INTERVAL: Micros = 40 * MS;
const MAX_RETRY_INTERVAL: Micros = 320 * MS;

enum Phase {
    Claiming(u64),
    Waiting(u64, Micros),
    Holding(Micros),
    Freeing(u64),
}

struct Front {
    now: Phase,
    claimed_since: Micros,
    retries: u32,
    waits: Vec<Micros>,
}

/// Lets five fronts compete for a key and returns each front's waits for it. With `format` 2 the
/// fronts are not notified of the free key.
fn run_contending_fronts(format: u8, seconds: i64) -> Vec<Vec<Micros>> {
    let mut fleet = Fleet::new(5, 3, 1, 7);
    fleet
        .fronts
        .iter_mut()
        .for_each(|front| front.format = format);
    fleet.restart_with_empty_disks(5);
    assert!(fleet.run_until(10 * SECOND, Fleet::is_fully_replicated));
    let claim = |fleet: &mut Fleet, n: usize| {
        let ends_ms = (WALL + fleet.now / 1_000 + 4_000) as u64;
        fleet.submit(
            n,
            "k",
            Operation::Claim {
                ends_ms,
                value: Vec::new(),
            },
        )
    };
    let mut fronts: Vec<Front> = Vec::new();
    for n in 0..5 {
        let now = Phase::Claiming(claim(&mut fleet, n));
        fronts.push(Front {
            now,
            claimed_since: fleet.now,
            retries: 0,
            waits: Vec::new(),
        });
    }
    let end = fleet.now + seconds * SECOND;
    while fleet.now < end {
        fleet.run(fleet.now + sim::STEP);
        let now = fleet.now;
        for (n, front) in fronts.iter_mut().enumerate() {
            match front.now {
                Phase::Claiming(number) => match fleet.outcome(n, number) {
                    Some(Outcome::Stands(_)) => {
                        front.waits.push(now - front.claimed_since);
                        front.now = Phase::Holding(now + HOLD_TIME);
                    }
                    Some(Outcome::Held(_)) => {
                        front.now = Phase::Waiting(
                            number,
                            now + MAX_RETRY_INTERVAL
                                .min(MIN_RETRY_INTERVAL << front.retries.min(4)),
                        );
                        front.retries += 1;
                    }
                    Some(other) => panic!("{other:?}"),
                    None => {}
                },
                Phase::Waiting(number, retry_at)
                    if retry_at <= now || fleet.history.freed_keys.contains(&(n, number)) =>
                {
                    front.now = Phase::Claiming(claim(&mut fleet, n));
                }
                Phase::Holding(until) if until <= now => {
                    front.now = Phase::Freeing(fleet.submit(n, "k", Operation::Free))
                }
                Phase::Freeing(number) if fleet.outcome(n, number).is_some() => {
                    (front.claimed_since, front.retries) = (now, 0);
                    front.now = Phase::Claiming(claim(&mut fleet, n));
                }
                Phase::Waiting(..) | Phase::Holding(_) | Phase::Freeing(_) => {}
            }
        }
    }
    assert_eq!(fleet.history.violations(), Vec::<String>::new());
    fronts.into_iter().map(|front| front.waits).collect()
}

/// The number of grants, the median and the longest wait, and the fewest and most grants of a
/// front.
fn summarize(waits: &[Vec<Micros>]) -> (usize, Micros, Micros, usize, usize) {
    let mut all: Vec<Micros> = waits.iter().flatten().copied().collect();
    all.sort_unstable();
    let each = || waits.iter().map(Vec::len);
    (
        all.len(),
        all[all.len() / 2],
        all[all.len() - 1],
        each().min().unwrap_or(0),
        each().max().unwrap_or(0),
    )
}

#[test]
fn fronts_that_wait_for_a_key_get_it_in_order_of_arrival_and_none_starves() {
    let (polling, notified) = (
        summarize(&run_contending_fronts(2, 30)),
        summarize(&run_contending_fronts(hallmux_ledger::FORMAT, 30)),
    );
    println!(
        "polling: {polling:?}, notified: {notified:?} (grants, median and longest wait in us, fewest and most grants of a front)"
    );
    let (grants, median, longest, fewest, most_grants) = notified;
    // Four other fronts go first, each with its hold time and two rounds.
    assert!(
        longest < 4 * median && most_grants < 2 * fewest && grants > 200,
        "{notified:?}"
    );
    assert!(
        longest * 2 < polling.2 && polling.4 > 3 * polling.3,
        "{polling:?} {notified:?}"
    );
}
