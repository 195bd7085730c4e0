//! Steps of the wall clock under a front that runs in real time.
//!
//! These tests guard against a front that takes its time from the wall clock and only keeps it from running
//! backwards. After a step back by an hour (3,600 s) such a front's time stopped until the wall clock had
//! caught up, and a step forward ended everything in flight and was logged as a stall of 3600016 ms. Fronts
//! then made 20 to 22 further executions within 10 s where their budget allowed 20, one repeated a
//! deduplicated statement after 8.4 s, when engines no longer deduplicated it, and statements were not
//! answered at their deadlines.

use std::time::{Duration, Instant};

use crate::Scenario;

const HOUR_MS: i64 = 3_600_000;
const ANSWER_SLACK: Duration = Duration::from_secs(5); // beyond a client's deadline, on a busy machine
const SHORT_WINDOW: Duration = Duration::from_secs(1); // as in the settings below

impl Scenario {
    /// One front and one engine in real time; the given lines set the retry budget or a window.
    fn with_stepped_clock(budget: &[&str]) -> Scenario {
        let mut scenario = Scenario::under_machine_faults();
        budget.iter().for_each(|line| scenario.run_line(line));
        ["engine a", "start"]
            .iter()
            .for_each(|line| scenario.run_line(line));
        scenario
    }

    /// Sets the front's wall clock ahead of the system's by `ms`, and waits until the front has noticed the
    /// step.
    fn step_wall_clock(&mut self, ms: i64) {
        self.machine_faults()
            .set_wall_clock_offset(ms * 1000)
            .unwrap();
        self.run_line("logs the wall clock was stepped by");
    }

    fn run_lines(&mut self, lines: &[&str]) {
        lines.iter().for_each(|line| self.run_line(line));
    }

    /// Has statements 1 to 8 answered at once, so that the engine has earned the credit that retries use.
    fn earn_credit(&mut self) {
        self.run_line("c connects");
        for number in 1..=8 {
            self.run_lines(&[
                &format!("c asks {number} select {number}"),
                &format!("a hears want {number}"),
                &format!("a says {number} ACK batches=1 x"),
                &format!("c hears {number} completed x"),
            ]);
        }
    }

    /// Has the engine reject a statement, so that a retry follows if the budget allows one.
    fn reject_at_engine(&mut self, number: usize) {
        self.run_lines(&[
            &format!("c asks {number} select {number}"),
            &format!("a hears want {number}"),
            &format!("a says {number} AGAIN - "),
        ]);
    }
}

#[test]
fn a_step_forward_neither_renews_the_retry_budget_nor_ends_executions_in_flight() {
    let mut scenario = Scenario::with_stepped_clock(&[
        "agreed rules.budgetSpanMs 60000",
        "agreed rules.furtherRatio 0.001",
        "agreed rules.spareAttempts 1",
    ]);
    scenario.run_line("c connects");
    scenario.reject_at_engine(1);
    scenario.run_lines(&["a hears want 1", "c asks 2 select 2", "a hears want 2"]);
    scenario.step_wall_clock(HOUR_MS);
    // Both executions are still in flight, and their client still waits.
    scenario.run_lines(&["a says 1 ACK batches=1 x", "c hears 1 completed x"]);
    scenario.run_lines(&["a says 2 ACK batches=1 x", "c hears 2 completed x"]);
    // The one retry that the budget allows within this minute is used up.
    scenario.reject_at_engine(3);
    scenario.run_line("c hears 3 rejected");
    scenario.assert_nothing_else_received();
}

#[test]
fn the_window_of_the_retry_budget_keeps_moving_after_a_step_back() {
    let mut scenario = Scenario::with_stepped_clock(&[
        "agreed rules.budgetSpanMs 1000",
        "agreed rules.furtherRatio 0.5",
        "agreed rules.spareAttempts 0",
    ]);
    scenario.step_wall_clock(HOUR_MS);
    scenario.step_wall_clock(0);
    scenario.earn_credit();
    std::thread::sleep(SHORT_WINDOW);
    // None of those statements is in the window any more; statement 9 alone earns no retry.
    scenario.run_lines(&[
        "c asks 9 select 9",
        "a hears want 9",
        "a says 9 EIO - ",
        "c hears 9 rejected",
    ]);
    scenario.assert_nothing_else_received();
}

#[test]
fn after_a_step_back_a_statement_ends_at_its_deadline_and_is_not_repeated_past_its_window() {
    let mut scenario =
        Scenario::with_stepped_clock(&["agreed requestClasses.1.dedupWindowMs 1000"]);
    scenario.step_wall_clock(-HOUR_MS);
    scenario.earn_credit();
    scenario.run_lines(&["c asks 9 verb=load unique=u9 insert 9", "a hears want 9"]);
    std::thread::sleep(SHORT_WINDOW);
    scenario.run_lines(&["a says 9 EIO - ", "c hears 9 rejected"]);
    let asked = Instant::now();
    scenario.run_lines(&[
        "c asks 10 limit=1500 select 10",
        "a hears want 10 wait<1501",
        "c hears 10 rejected",
    ]);
    assert!(
        asked.elapsed() < Duration::from_millis(1500) + ANSWER_SLACK,
        "{:?}",
        asked.elapsed()
    );
    scenario.run_line("a hears never_mind 10");
    scenario.assert_nothing_else_received();
}
