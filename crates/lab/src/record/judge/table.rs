//! The table of a run by the second.

use crate::check::Outcome;
use crate::record::account::{Offered, SECOND};
use crate::rig::relay::Relayed;
use crate::rig::scenario::Scenario;

/// Returns a line per second: statements sent, completed, refused and unanswered; for each zone,
/// statements relayed into it, how many of those were lost on the way, and probes.
pub(super) fn table(
    scenario: &Scenario,
    began: i64,
    asked: &[Offered],
    relayed: &[Relayed],
) -> String {
    let zones = scenario.fleet.zones;
    let seconds = scenario.seconds as usize + 1;
    let mut rows = vec![(0, 0, 0, 0, vec![(0, 0, 0); zones]); seconds];
    let second = |at: i64| (((at - began).max(0)) / SECOND) as usize;
    for Offered { asked: a, .. } in asked {
        let Some(row) = rows.get_mut(second(a.sent)) else {
            continue;
        };
        row.0 += 1;
        match a.outcome {
            Outcome::Completed { .. } => row.1 += 1,
            Outcome::Error(_) => row.2 += 1,
            _ => row.3 += 1,
        }
    }
    for r in relayed {
        let Some(row) = rows.get_mut(second(r.at)) else {
            continue;
        };
        row.4[r.zone].0 += r.statements;
        row.4[r.zone].2 += r.probes;
        if !r.passed {
            row.4[r.zone].1 += r.statements;
        }
    }
    let zone_heads: String = (0..zones)
        .map(|z| format!("  into z{z} (lost) probes"))
        .collect();
    let mut out = format!("second  sent  completed  refused  unanswered{zone_heads}\n");
    for (n, (sent, completed, refused, unanswered, into)) in rows.iter().enumerate() {
        let into: String = into
            .iter()
            .map(|(all, lost, probes)| format!("  {all:>7} ({lost:>4}) {probes:>6}"))
            .collect();
        out.push_str(&format!(
            "{n:>6}  {sent:>4}  {completed:>9}  {refused:>7}  {unanswered:>10}{into}\n"
        ));
    }
    out
}
