//! `measure overload`, in simulated time: answers in time, attempts and rejections with a load of
//! half to three times the capacity of the engines, and the connections and probes that engines
//! receive after seven in ten fronts were killed and restarted. Fleet-wide shedding and the fleet's
//! budgets are compared off and on, on the same seeds.

use super::fleet::{median, runs};
use crate::check::Outcome;
use crate::record::account::Run;
use crate::rig::scenario::{Budgets, Scenario};

const SIZES: [usize; 4] = [5, 20, 40, 300];
/// Percent of the capacity of the engines.
const OFFERED_PERCENT: [u64; 5] = [50, 100, 150, 200, 300];
const CAPACITY_PER_SECOND: u64 = 640; // capacity of the scenario's engines, in statements a second
const OVERLOAD: &str = include_str!("../../fleet/overload.toml");
const RELEASE: &str = include_str!("../../fleet/release.toml");
const CUSTOMERS: &str = include_str!("../../fleet/overload-customers.toml");
const FLEET_MODES: [(&str, bool); 2] = [("off", false), ("on", true)];
const OVERLOAD_FIGURES: [&str; 7] = [
    "in_time_per_s",
    "worth_per_s",
    "attempts_over_first_pct",
    "shed_order_agreed_pct",
    "turned_away_by_engines",
    "refused",
    "unanswered",
];
const RELEASE_FIGURES: [&str; 4] = [
    "released_connections_most_s",
    "released_probes_most_s",
    "released_connections",
    "released_in_time_pct",
];
const STATEMENTS_PER_BAR_SIGN: i64 = 20; // statements a second that one sign of the plot stands for

/// Returns the median of a figure over the runs, and a table cell with its range as well.
fn cell(runs: &[Run], figure: &str) -> (i64, String) {
    let values: Vec<i64> = runs
        .iter()
        .filter_map(|run| run.tallies.get(figure).copied())
        .collect();
    match (values.iter().min(), values.iter().max()) {
        (Some(least), Some(most)) => {
            let middle = median(values.clone());
            (middle, format!("{middle} ({least}-{most})"))
        }
        _ => (0, "-".to_string()),
    }
}

fn print_row(head: &str, runs: &[Run], figures: &[&str]) {
    let cells: Vec<String> = figures.iter().map(|figure| cell(runs, figure).1).collect();
    println!("| {head} | {} |", cells.join(" | "));
}

fn print_header(first: &str, figures: &[&str]) {
    println!("| {first} | {} |", figures.join(" | "));
    println!(
        "|{}",
        " --- |".repeat(first.split('|').count() + figures.len())
    );
}

/// Prints the tables and the plot. Returns an error if a run fails or breaks a rule.
pub fn measure() -> Result<(), String> {
    print_header(
        "offered, % of what is borne | fronts | the fleet as one",
        &OVERLOAD_FIGURES,
    );
    let mut plot = Vec::new();
    let mut held = Vec::new();
    for size in SIZES {
        let mut goodput = [Vec::new(), Vec::new()];
        for percent in OFFERED_PERCENT {
            for (n, (mode, as_one)) in FLEET_MODES.into_iter().enumerate() {
                let mut scenario = Scenario::parse(OVERLOAD, true, Some(size))?;
                scenario.load.per_second = CAPACITY_PER_SECOND * percent / 100;
                scenario.fleet.sheds_as_one = as_one;
                let runs = runs(&scenario, &format!("{size} fronts, {percent} %, {mode}"))?;
                print_row(
                    &format!("{percent} | {size} | {mode}"),
                    &runs,
                    &OVERLOAD_FIGURES,
                );
                goodput[n].push(cell(&runs, "in_time_per_s").0);
            }
        }
        for ((mode, _), goodput) in FLEET_MODES.iter().zip(&goodput) {
            let peak = goodput.iter().max().copied().unwrap_or(0).max(1);
            held.push(format!(
                "| {size} | {mode} | {} |",
                goodput.last().unwrap_or(&0) * 100 / peak
            ));
            let bars = OFFERED_PERCENT.iter().zip(goodput).map(|(percent, good)| {
                let bar = "#".repeat((good / STATEMENTS_PER_BAR_SIGN) as usize);
                format!("{size:>4} {mode:>4} {percent:>4} %  {bar} {good}")
            });
            plot.extend(bars);
        }
    }
    println!(
        "\n| fronts | the fleet as one | goodput at three times over its peak, % |\n| --- | --- | --- |"
    );
    held.iter().for_each(|line| println!("{line}"));
    println!("\n```\nfronts, as one, offered: goodput, answers in time a second ({STATEMENTS_PER_BAR_SIGN} a sign)");
    plot.iter().for_each(|line| println!("{line}"));
    println!("```\n");
    measure_release()?;
    measure_customers()
}

/// Measures seven fronts in ten killed at once and restarted, with several budgets and without.
fn measure_release() -> Result<(), String> {
    print_header(
        "fronts | budgets, a second into each engine",
        &RELEASE_FIGURES,
    );
    for size in SIZES.into_iter().chain([12]) {
        for most in [0, 10, 100] {
            let mut scenario = Scenario::parse(RELEASE, true, Some(size))?;
            scenario.fleet.budgets = Budgets {
                connections_per_second: most,
                probes_per_second: most,
            };
            let runs = runs(&scenario, &format!("release, {size} fronts, {most}"))?;
            let mode = if most == 0 {
                "off".to_string()
            } else {
                most.to_string()
            };
            print_row(&format!("{size} | {mode}"), &runs, &RELEASE_FIGURES);
        }
    }
    println!();
    Ok(())
}

/// Measures the share of each customer's statements answered in time, where one customer exceeds
/// its share of the load.
fn measure_customers() -> Result<(), String> {
    println!("| fronts | the fleet as one | customer, workload | asked | in time, % |\n| --- | --- | --- | --- | --- |");
    for size in SIZES {
        for (mode, as_one) in FLEET_MODES {
            let mut scenario = Scenario::parse(CUSTOMERS, true, Some(size))?;
            scenario.fleet.sheds_as_one = as_one;
            let runs = runs(&scenario, &format!("customers, {size} fronts, {mode}"))?;
            for (n, class) in scenario.classes.iter().enumerate() {
                let asked: Vec<_> = runs
                    .iter()
                    .flat_map(|run| &run.asked)
                    .filter(|o| o.class == n)
                    .collect();
                let slo = class.slo_ms as i64 * 1000;
                let in_time = asked.iter().filter(|o| {
                    let took = o.asked.answered.saturating_sub(o.asked.sent);
                    matches!(o.asked.outcome, Outcome::Completed { .. }) && took <= slo
                });
                let share = in_time.count() * 100 / asked.len().max(1);
                let (customer, workload) = (&class.customer, &class.name);
                println!(
                    "| {size} | {mode} | {customer}, {workload} | {} | {share} |",
                    asked.len()
                );
            }
        }
    }
    Ok(())
}
