//! `measure promises`: the added latency of a statement that needs a ledger entry, by its number of
//! replicas, and the cost of an access decision, by the number of rules; each compared with a
//! baseline in alternating rounds of one run.

use std::time::Instant;

use hallmux_access::{Attributes, DefaultEffect, Index, Rule, RuleEffect, RuleSet, TableRange};

use super::{spread, Spread};
use crate::engine::lines;
use crate::prove::promises::{draw, RunOptions};
use crate::rig::fleet::Fleet;
use crate::rig::scenario::Scenario;

const ROUNDS: usize = 7;
const FRONTS: usize = 5;
const STATEMENTS_PER_ROUND: u64 = 200; // statements of each kind, fleet and round
const COPIES: [usize; 4] = [0, 1, 3, 5]; // replicas; 0: no ledger
const RULE_COUNTS: [usize; 3] = [10, 1_000, 100_000];
/// Decisions by the index in a round; the linear search makes fewer, in inverse proportion to the
/// rules.
const DECISIONS_PER_ROUND: usize = 20_000;

/// Prints all tables. Returns an error if a run fails.
pub fn measure() -> Result<(), String> {
    measure_rules();
    measure_copies()?;
    super::sites::measure()?;
    super::grown::measure()
}

/// Returns the scenario of a fleet with so many replicas and without faults; its statements take no
/// time on an engine.
fn quiet_scenario(copies: usize) -> Scenario {
    let mut scenario = draw(
        7,
        RunOptions {
            small: true,
            simulated: false,
            fronts: Some(FRONTS),
            copies,
            ..RunOptions::default()
        },
    );
    scenario.faults.clear();
    scenario.fleet.clocks_apart_ms = 0;
    scenario
}

/// Returns the median latency in microseconds of consecutive statements, each over its own
/// connection.
fn median_latency_us(
    fleet: &Fleet,
    first: u64,
    fields: &[(&str, &str)],
    keyed: bool,
) -> Result<f64, String> {
    let mut times = Vec::new();
    for number in first..first + STATEMENTS_PER_ROUND {
        let member = &fleet.members[(number % FRONTS as u64) as usize];
        let at = member
            .front
            .lock()
            .ok()
            .and_then(|front| front.as_ref().map(|front| front.statement_address));
        let at = at.ok_or("a front is away")?;
        let (key, unique) = (format!("k{number}"), format!("u{number}"));
        let own = [("item", key.as_str()), ("unique", unique.as_str())];
        let all: Vec<(&str, &str)> = fields
            .iter()
            .copied()
            .chain(own.into_iter().filter(|_| keyed))
            .collect();
        let since = Instant::now();
        let outcome = lines::ask(at, number, &all, &format!("id=s{number},key=,ms=0"));
        times.push(since.elapsed().as_nanos() as f64 / 1000.0);
        if outcome != (crate::check::Outcome::Completed { rows: 1 }) {
            return Err(format!("statement {number}: {outcome:?}"));
        }
    }
    Ok(spread(&mut times).median)
}

/// Prints the latency of statements by the number of replicas.
fn measure_copies() -> Result<(), String> {
    let fleets: Vec<Fleet> = (COPIES.iter())
        .map(|copies| Fleet::start(&quiet_scenario(*copies), *copies as u64))
        .collect::<Result<_, _>>()?;
    let plain = [("verb", "lookup"), ("team", "acme"), ("limit", "4000")];
    let load = [("verb", "log-load"), ("team", "acme"), ("limit", "4000")];
    let mut first = 1;
    // Warms up until every shard has an owner and each front knows it.
    for fleet in &fleets {
        for _ in 0..ROUNDS {
            let _ = median_latency_us(fleet, first, &load, true);
            first += STATEMENTS_PER_ROUND;
        }
    }
    let mut times = vec![(Vec::new(), Vec::new()); COPIES.len()];
    for _ in 0..ROUNDS {
        for (fleet, times) in fleets.iter().zip(&mut times) {
            for (fields, keyed, into) in
                [(&plain, false, &mut times.0), (&load, true, &mut times.1)]
            {
                into.push(median_latency_us(fleet, first, fields, keyed)?);
                first += STATEMENTS_PER_ROUND;
            }
        }
    }
    println!("| copies, {FRONTS} fronts, {ROUNDS} rounds in turn | unkeyed, us | keyed, us | keyed beside none, us |");
    println!("| --- | --- | --- | --- |");
    let none = times
        .first()
        .map(|(_, keyed)| keyed.clone())
        .unwrap_or_default();
    for (copies, (unkeyed, keyed)) in COPIES.iter().zip(&mut times) {
        let mut more: Vec<f64> = keyed
            .iter()
            .zip(&none)
            .map(|(with, without)| with - without)
            .collect();
        let way = if *copies == 0 {
            "none".to_string()
        } else {
            copies.to_string()
        };
        println!(
            "| {way} | {} | {} | {} |",
            spread(unkeyed),
            spread(keyed),
            spread(&mut more)
        );
    }
    Ok(())
}

/// Creates `count` rules about customers, workloads and groups of tables.
fn rule_set(count: usize) -> RuleSet {
    let rule = |n: usize| Rule {
        name: format!("r{n}"),
        customer: (!n.is_multiple_of(3)).then(|| format!("c{}", n % 2_000)),
        workload: n.is_multiple_of(2).then(|| format!("w{}", n % 7)),
        tables: Some(TableRange {
            first: n as u32,
            last: n as u32 + 3,
        }),
        front: None,
        effect: match n % 4 {
            0 => RuleEffect::Deny {
                reason: "barred".into(),
            },
            _ => RuleEffect::Allow {
                locations: Some(vec![(n % 3) as u16]),
            },
        },
        limit: None,
        priority: (n % 3) as i32,
        from_ms: 0,
        until_ms: u64::MAX,
        is_move_phase: false,
        file_index: n,
    };
    RuleSet::new(1, DefaultEffect::Allow, (0..count).map(rule).collect())
}

/// Prints the cost of an access decision by the number of rules.
fn measure_rules() {
    println!("| rules, {ROUNDS} rounds in turn | index, ns a decision | plain walk, ns a decision | walk / index |");
    println!("| --- | --- | --- | --- |");
    for count in RULE_COUNTS {
        let (walk, index) = (rule_set(count), Index::new(rule_set(count)));
        let attributes: Vec<(String, String, u32)> = (0..1_000usize)
            .map(|n| {
                let at = n.wrapping_mul(7_919) % count;
                (format!("c{}", at % 2_000), format!("w{}", n % 7), at as u32)
            })
            .collect();
        let one = |n: usize| {
            let (customer, workload, group) = &attributes[n % attributes.len()];
            Attributes {
                customer,
                workload,
                group: Some(*group),
                front: "z0",
                tables_known: true,
                first_evaluated_ms: None,
            }
        };
        let (mut indexed, mut walked, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            let per = |decisions: usize, decide: &dyn Fn(usize)| {
                let since = Instant::now();
                (0..decisions).for_each(decide);
                since.elapsed().as_nanos() as f64 / decisions as f64
            };
            let fast = per(DECISIONS_PER_ROUND, &|n| {
                _ = std::hint::black_box(index.find(&one(n), 1))
            });
            let slow = per(
                (DECISIONS_PER_ROUND * 10 / count).clamp(50, DECISIONS_PER_ROUND),
                &|n| _ = std::hint::black_box(walk.find_linear(&one(n), 1)),
            );
            indexed.push(fast);
            walked.push(slow);
            ratios.push(slow / fast);
        }
        let ratio = spread(&mut ratios);
        let Spread { median, min, max } = ratio;
        let ratio = format!("{median:.1} ({min:.1} to {max:.1})");
        println!(
            "| {count} | {} | {} | {ratio} |",
            spread(&mut indexed),
            spread(&mut walked)
        );
    }
}
