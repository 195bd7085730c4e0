//! Fronts that want one key of each other all the time: with the word that it is free, and by asking again alone.

mod sim;

use hallmux_ledger::{Micros, Operation, Outcome};
use sim::{Fleet, SECOND};

const WALL: i64 = 1_800_000_000_000;
const MS: Micros = 1_000;
const WORK: Micros = 30 * MS; // microseconds for which each has it
const AGAIN: Micros = 40 * MS; // as the gate asks again
const AGAIN_MOST: Micros = 320 * MS;

enum Now {
    Asks(u64),
    Waits(u64, Micros),
    Has(Micros),
    Frees(u64),
}

struct Front {
    now: Now,
    since: Micros,
    tries: u32,
    waits: Vec<Micros>,
}

/// How long each of five fronts waited for the key, each time; `format` 2 knows no word that it is free.
fn play(format: u8, seconds: i64) -> Vec<Vec<Micros>> {
    let mut fleet = Fleet::new(5, 3, 1, 7);
    fleet
        .fronts
        .iter_mut()
        .for_each(|front| front.format = format);
    fleet.start_anew(5);
    assert!(fleet.run_until(10 * SECOND, Fleet::is_whole));
    let claim = |fleet: &mut Fleet, n: usize| {
        let ends_ms = (WALL + fleet.now / 1_000 + 4_000) as u64;
        fleet.ask(
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
        let now = Now::Asks(claim(&mut fleet, n));
        fronts.push(Front {
            now,
            since: fleet.now,
            tries: 0,
            waits: Vec::new(),
        });
    }
    let end = fleet.now + seconds * SECOND;
    while fleet.now < end {
        fleet.run(fleet.now + sim::STEP);
        let now = fleet.now;
        for (n, front) in fronts.iter_mut().enumerate() {
            match front.now {
                Now::Asks(number) => match fleet.outcome(n, number) {
                    Some(Outcome::Stands(_)) => {
                        front.waits.push(now - front.since);
                        front.now = Now::Has(now + WORK);
                    }
                    Some(Outcome::Held(_)) => {
                        front.now =
                            Now::Waits(number, now + AGAIN_MOST.min(AGAIN << front.tries.min(4)));
                        front.tries += 1;
                    }
                    Some(other) => panic!("{other:?}"),
                    None => {}
                },
                Now::Waits(number, again)
                    if again <= now || fleet.record.turns.contains(&(n, number)) =>
                {
                    front.now = Now::Asks(claim(&mut fleet, n));
                }
                Now::Has(until) if until <= now => {
                    front.now = Now::Frees(fleet.ask(n, "k", Operation::Free))
                }
                Now::Frees(number) if fleet.outcome(n, number).is_some() => {
                    (front.since, front.tries) = (now, 0);
                    front.now = Now::Asks(claim(&mut fleet, n));
                }
                Now::Waits(..) | Now::Has(_) | Now::Frees(_) => {}
            }
        }
    }
    assert_eq!(fleet.record.faults(), Vec::<String>::new());
    fronts.into_iter().map(|front| front.waits).collect()
}

/// Times that the key was had, the middle wait, the longest, and the fewest and most times of any front.
fn tally(waits: &[Vec<Micros>]) -> (usize, Micros, Micros, usize, usize) {
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
    let (polled, told) = (
        tally(&play(2, 30)),
        tally(&play(hallmux_ledger::FORMAT, 30)),
    );
    println!(
        "asking again: {polled:?}, told: {told:?} (times, middle and longest wait in us, least and most)"
    );
    let (times, middle, longest, least, most) = told;
    // Four others go before, each with its work and two rounds.
    assert!(
        longest < 4 * middle && most < 2 * least && times > 200,
        "{told:?}"
    );
    assert!(
        longest * 2 < polled.2 && polled.4 > 3 * polled.3,
        "{polled:?} {told:?}"
    );
}
