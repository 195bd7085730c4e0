//! `measure fleet`: the same simulated scenarios at several fleet sizes, with fleet-wide evacuation
//! of a zone off and on, on the same seeds.

use crate::record::account::Run;
use crate::rig::scenario::Scenario;
use crate::simulated;

const SIZES: [usize; 4] = [5, 20, 40, 300];
const SEEDS: [u64; 3] = [1, 2, 3];
/// Figures printed of each run.
const FIGURES: [&str; 8] = [
    "zone_lost_sent",
    "zone_lost_last_sent_ms",
    "probes_per_100s",
    "returned_first_ms",
    "return_load_over_bound_pct",
    "refused",
    "unanswered",
    "gossip_bytes_per_front_s",
];
/// Figures printed of a run in which an owner is stalled longer than its lease.
const OWNER_FIGURES: [&str; 7] = [
    "owners",
    "owner_passed_on",
    "probes_of_earlier_owners",
    "without_owner_ms",
    "probes_per_100s",
    "unanswered",
    "gossip_bytes_per_s",
];
const OWNER_STALL: &str = include_str!("../../fleet/owner-stall.toml");
const ZONE_RETURN: &str = include_str!("../../fleet/zone-return.toml");
const ZONE_AWAY: &str = include_str!("../../fleet/zone-away.toml");

/// Returns the median; panics if there are no values.
pub fn median(mut values: Vec<i64>) -> i64 {
    values.sort_unstable();
    values[values.len() / 2]
}

/// Prints a row for each scenario, size and mode: the median over the seeds, with least and most.
pub fn measure() -> Result<(), String> {
    println!("| day | fronts | voters | {} |", OWNER_FIGURES.join(" | "));
    println!(
        "| --- | --- | --- |{}",
        " --- |".repeat(OWNER_FIGURES.len())
    );
    for size in [5, 20, 40] {
        for voters in [None, Some(3), Some(5)] {
            let mut scenario = Scenario::parse(OWNER_STALL, true, Some(size))?;
            scenario.fleet.voters = voters;
            let way = voters.map_or("none".to_string(), |voters| voters.to_string());
            print_row(&scenario, ("owner-stall", &way), &OWNER_FIGURES)?;
        }
    }
    println!(
        "| day | fronts | the fleet's word | {} |",
        FIGURES.join(" | ")
    );
    println!("| --- | --- | --- |{}", " --- |".repeat(FIGURES.len()));
    for (day, text) in [("zone-return", ZONE_RETURN), ("zone-away", ZONE_AWAY)] {
        for size in SIZES {
            for (way, quorum) in [("off", Some(0)), ("on", None)] {
                let mut scenario = Scenario::parse(text, true, Some(size))?;
                scenario.fleet.zone_quorum = quorum;
                print_row(&scenario, (day, way), &FIGURES)?;
            }
        }
    }
    Ok(())
}

/// Runs a scenario on all seeds concurrently. Returns an error if a run fails or breaks a rule.
pub fn runs(scenario: &Scenario, what: &str) -> Result<Vec<Run>, String> {
    let runs: Vec<Result<Run, String>> = std::thread::scope(|scope| {
        let started: Vec<_> = SEEDS
            .iter()
            .map(|seed| scope.spawn(move || simulated::run(scenario, *seed)))
            .collect();
        let ended = started.into_iter().map(|run| run.join());
        ended
            .map(|run| run.unwrap_or_else(|_| Err("the thread of a run panicked".to_string())))
            .collect()
    });
    let runs: Vec<Run> = runs.into_iter().collect::<Result<_, _>>()?;
    match runs.iter().find(|run| !run.passed()) {
        Some(failed) => Err(format!("{what}: a rule is broken: {}", failed.line())),
        None => Ok(runs),
    }
}

/// Runs a scenario and prints its row.
fn print_row(
    scenario: &Scenario,
    (day, way): (&str, &str),
    figures: &[&str],
) -> Result<(), String> {
    let size = scenario.fleet.fronts;
    let runs = runs(scenario, &format!("{day}, {size} fronts, {way}"))?;
    let cell = |figure: &&str| {
        let values: Vec<i64> = runs
            .iter()
            .filter_map(|run| run.tallies.get(*figure).copied())
            .collect();
        match (values.iter().min(), values.iter().max()) {
            (Some(least), Some(most)) => format!("{} ({least}-{most})", median(values.clone())),
            _ => "-".to_string(),
        }
    };
    let cells: Vec<String> = figures.iter().map(cell).collect();
    println!("| {day} | {size} | {way} | {} |", cells.join(" | "));
    Ok(())
}
