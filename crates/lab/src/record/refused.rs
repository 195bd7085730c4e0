//! Nothing is refused that needed no refusal: what needs no promise never for want of one, and what needs one not on
//! a side that has the majority and has had it for long enough to agree.

use super::account::Offered;
use super::cuts::Ways;
use super::unpromised::needs;
use crate::check::{Outcome, Violations};

/// What a majority needs before a refusal has no excuse.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Fronts that have to hear each other.
    pub majority: usize,
    /// Microseconds of quiet until every shard has an owner again.
    pub settles: i64,
    /// Statements that must be refused without an excuse before it counts: engines turn away, too.
    pub spare: usize,
}

pub fn check(wrong: &mut Violations, asked: &[Offered], (ways, terms): (&Ways, Terms)) {
    let refused = |o: &&Offered| matches!(&o.asked.outcome, Outcome::Error(code) if code == "53000");
    let groundless = asked.iter().filter(refused).filter(|o| {
        let span = (o.asked.sent - terms.settles, o.asked.answered);
        let sound = ways.least_heard(o.front, span) >= terms.majority && !ways.is_troubled(span);
        !o.barred && (sound || !needs(o))
    });
    let said: Vec<String> = groundless
        .map(|o| format!("{}: refused at front {} at {} ms", o.asked.id, o.front, o.asked.answered / 1000))
        .collect();
    if said.len() > terms.spare {
        wrong.entry("groundless_refusal").or_default().extend(said);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::account::offered;
    use crate::record::cuts::Cut;

    #[test]
    fn a_refusal_without_an_excuse_is_found() {
        let cut = Cut { from: 5_000_000, to: 9_000_000, groups: vec![1, 0, 0] };
        let ways = Ways { fronts: 3, cuts: vec![cut], ..Ways::default() };
        let terms = Terms { majority: 2, settles: 3_000_000, spare: 0 };
        let found = |key: &str, front: usize, sent: i64| {
            let mut own = offered("a", front, sent);
            (own.asked.key, own.asked.outcome) = (key.into(), Outcome::Error("53000".into()));
            let mut wrong = Violations::new();
            check(&mut wrong, &[own], (&ways, terms));
            !wrong.is_empty()
        };
        assert!(found("k", 1, 6_000_000) && found("", 0, 6_000_000) && found("k", 0, 1_000_000));
        assert!(!found("k", 0, 6_000_000) && !found("k", 0, 11_000_000) && found("k", 0, 13_000_000));
    }
}
