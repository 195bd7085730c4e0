//! A rate limit of a rule over several fronts, one of which is stopped for longer than its lease. By the
//! records of the engines and clients alone, no window may have more executions than the limit.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fronts::fleet;
use crate::{id, Scenario};

const MAX_EXECUTIONS: usize = 20;
const WINDOW: Duration = Duration::from_secs(6);
const STATEMENT_INTERVAL: Duration = Duration::from_millis(60); // between statements of a client
const STATEMENTS_AFTER_RESUME: u32 = 40; // statements of each front after the stopped one resumes
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

type ReceivedTimes = Arc<Mutex<HashMap<String, Vec<Instant>>>>;

/// The number of the front that received a statement.
fn front_of(id: &str) -> u32 {
    id.parse::<u32>().map_or(0, |number| number / 1_000)
}

/// Sends a statement to a front; returns when.
fn send_statement(front: &mut Scenario, number: u32) -> Instant {
    let number = number.to_string();
    let frame = front.frame(&number, &[], &format!("select {number}"));
    let sent = Instant::now();
    front
        .clients
        .get_mut("c")
        .unwrap()
        .write_all(&frame)
        .unwrap();
    sent
}

#[test]
fn a_limit_holds_for_the_fleet_while_a_front_is_stopped_past_its_lease() {
    let rules = format!(
        "{{ version: 1, default: 'allow', rules: [ {{ name: 'few', customer: 'acme', at_most: {MAX_EXECUTIONS}, in_ms: {} }} ] }}",
        WINDOW.as_millis()
    );
    let mut fleet = fleet(&rules);
    let received = ReceivedTimes::default();
    for front in &mut fleet {
        front.run_line("logs version 1 of the rules is in force");
        front.run_line("c connects");
        let engines = std::mem::take(&mut front.engines);
        engines
            .into_values()
            .for_each(|engine| engine.answer_each(received.clone()));
    }
    let mut sent = HashMap::new();
    let started = Instant::now();
    let received_by = |front: u32| {
        received
            .lock()
            .unwrap()
            .keys()
            .filter(|id| front_of(id) == front)
            .count()
    };
    let (mut n, mut is_halted, mut resumed_at) = (0, false, None);
    while resumed_at.is_none_or(|since| n < since + STATEMENTS_AFTER_RESUME) {
        let iteration_start = Instant::now();
        n += 1;
        if !is_halted && received_by(3) == MAX_EXECUTIONS {
            fleet[2].run_line("halt");
            is_halted = true;
        }
        // The stopped front's share was reclaimed and is being used by the others: the front resumes now.
        if resumed_at.is_none() && received_by(1) > 0 && received_by(2) > 0 {
            fleet[2].run_line("goes on");
            resumed_at = Some(n);
        }
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the share of the stopped front was not reclaimed in time"
        );
        for (index, front) in fleet
            .iter_mut()
            .enumerate()
            .filter(|(index, _)| *index == 2 || is_halted)
        {
            let number = 1_000 * (index as u32 + 1) + n;
            sent.insert(id(&number.to_string()), send_statement(front, number));
        }
        std::thread::sleep(STATEMENT_INTERVAL.saturating_sub(iteration_start.elapsed()));
    }
    let counts = [received_by(1), received_by(2), received_by(3)];
    // Each execution was sent between its request and its receipt. Counts those that were certainly sent
    // within one window.
    let received = received.lock().unwrap().clone();
    let intervals: Vec<(Instant, Instant)> = received
        .iter()
        .flat_map(|(id, all)| all.iter().map(|received_at| (sent[id], *received_at)))
        .collect();
    let max_in_window = intervals.iter().map(|(from, _)| {
        intervals
            .iter()
            .filter(|(sent, received)| sent >= from && *received < *from + WINDOW)
            .count()
    });
    let max_in_window = max_in_window.max().unwrap_or(0);
    println!(
        "{} executions, {counts:?} by front, {max_in_window} at most in a window",
        intervals.len()
    );
    assert!(
        max_in_window <= MAX_EXECUTIONS,
        "{max_in_window} executions in one window"
    );
}
