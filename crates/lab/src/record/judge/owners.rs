//! Which front owned the work that one front does for the fleet.

use crate::record::account::{Account, Tallies};

/// Counts the owners of the fleet's probing, in the order of the probes: how many fronts probed,
/// how often the ownership passed to another, how many probes a front sent after another had taken
/// over, and the longest time without a probe in between.
pub(super) fn count_owners(account: &Account, tallies: &mut Tallies) {
    let mut probes: Vec<(i64, usize)> = account
        .relayed
        .iter()
        .filter(|r| r.probes > 0)
        .map(|r| (r.at, r.front))
        .collect();
    probes.sort_unstable();
    let (mut seen, mut passed, mut again, mut longest) = (Vec::new(), 0, 0, 0);
    for (n, (at, front)) in probes.iter().enumerate() {
        match seen.iter().position(|before| before == front) {
            None => {
                passed += i64::from(n > 0);
                longest = longest.max(if n > 0 { at - probes[n - 1].0 } else { 0 });
                seen.push(*front);
            }
            Some(place) => again += i64::from(place + 1 < seen.len()),
        }
    }
    tallies.insert("owners", seen.len() as i64);
    tallies.insert("owner_passed_on", passed);
    tallies.insert("probes_of_earlier_owners", again);
    tallies.insert("without_owner_ms", longest / 1000);
}
