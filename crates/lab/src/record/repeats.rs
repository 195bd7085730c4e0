//! A non-idempotent statement runs once; a deduplicated one again only inside its group of engines and its window.

use std::collections::HashMap;

use super::account::Offered;
use super::executions::Execution;
use crate::check::{Repeat, Violations};

/// What is agreed of one workload's repeats.
#[derive(Clone, Copy, Debug)]
pub struct Repeats {
    /// Microseconds for which engines drop a repeat; from the start of the first run here, which is after its send.
    pub window: i64,
    /// All engines drop a repeat; otherwise those of its own zone.
    pub all: bool,
}

/// `lost`: fronts whose process ended without warning, and when. `zone` gives an engine's.
pub fn check(
    wrong: &mut Violations,
    ran: &[Execution],
    asked: &[Offered],
    (agreed, zone): (&[Repeats], &dyn Fn(usize) -> usize),
    lost: &[(usize, i64)],
) {
    let known: HashMap<&str, &Offered> = asked.iter().map(|o| (o.asked.id.as_str(), o)).collect();
    let mut firsts: HashMap<&str, &Execution> = HashMap::new();
    for x in ran {
        let Some(first) = firsts.get(x.id.as_str()) else {
            firsts.insert(&x.id, x);
            continue;
        };
        let Some(offered) = known.get(x.id.as_str()) else { continue };
        let after = x.from - first.from;
        let why = match offered.asked.repeat {
            Repeat::Idempotent => continue,
            Repeat::NonIdempotent => format!("non-idempotent, ran again after {} ms", after / 1000),
            Repeat::Deduplicated => {
                let Some(agreed) = agreed.get(offered.class) else { continue };
                if after >= agreed.window {
                    format!("deduplicated, ran again after {} ms of {}", after / 1000, agreed.window / 1000)
                } else if !agreed.all && zone(first.engine) != zone(x.engine) {
                    format!("deduplicated, ran in zones {} and {}", zone(first.engine), zone(x.engine))
                } else {
                    continue;
                }
            }
        };
        let forgot =
            lost.iter().any(|(front, at)| *front == first.front && (first.from..=x.from).contains(at));
        let rule = if forgot { "promise_lost" } else { "second_run" };
        let said = format!("{}: {why}, at front {} then {}", x.id, first.front, x.front);
        wrong.entry(rule).or_default().push(said);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::account::offered;
    use crate::record::executions::ran;

    fn found(repeat: Repeat, all: bool, second: Execution, lost: &[(usize, i64)]) -> Vec<&'static str> {
        let mut own = offered("a", 0, 0);
        own.asked.repeat = repeat;
        let mut wrong = Violations::new();
        let ran = [ran("a", "", (0, 0), (0, 10)), second];
        check(&mut wrong, &ran, &[own], (&[Repeats { window: 1_000, all }], &|engine| engine / 2), lost);
        wrong.into_keys().collect()
    }

    #[test]
    fn a_second_run_is_found_where_it_may_not_be() {
        let again = |engine, from| ran("a", "", (engine, 1), (from, from + 5));
        assert!(found(Repeat::Idempotent, true, again(3, 5_000), &[]).is_empty());
        assert_eq!(found(Repeat::NonIdempotent, true, again(0, 20), &[]), ["second_run"]);
        assert_eq!(found(Repeat::NonIdempotent, true, again(0, 20), &[(0, 15)]), ["promise_lost"]);
        assert!(found(Repeat::Deduplicated, true, again(3, 999), &[]).is_empty());
        assert_eq!(found(Repeat::Deduplicated, true, again(0, 1_000), &[]), ["second_run"]);
        assert_eq!(found(Repeat::Deduplicated, false, again(2, 20), &[]), ["second_run"]);
        assert!(found(Repeat::Deduplicated, false, again(1, 20), &[]).is_empty());
    }
}
