//! Steps of the wall clock under a front that runs in real time.
//!
//! What happened: on machines whose wall clock was stepped, a front made 20 to 22 further executions within 10 s where
//! its budget allowed some 20 with all slack, and another sent a deduplicated statement again 8.4 s after a first
//! execution that engines had forgotten by then; statements there were not answered when their time was up.
//! The sequence: the wall clock was set an hour forward and later back again, or an hour back at once; from then on the
//! front counted all that it did as done at one moment. The cause: the front took its time from the wall clock, and
//! only kept it from going back, so a step back stopped its time until the wall clock had caught up, and a step forward
//! ended all that was under way. What settled it: log stamps that lost 3,600 s between two lines 4 s apart (no line
//! said so), `event loop stalled for 3600016 ms` from a front that had served all along, and faults on those fronts alone.

use std::time::{Duration, Instant};

use crate::Scenario;

const HOUR_MS: i64 = 3_600_000;
const ANSWER_SLACK: Duration = Duration::from_secs(5); // beyond a client's time, for a busy machine
const BUDGET_WINDOW: Duration = Duration::from_secs(1); // of the settings below

impl Scenario {
    /// One front and one engine in real time; statements may be tried again by a budget of this window.
    fn with_stepped_clock(budget: &[&str]) -> Scenario {
        let mut scenario = Scenario::under_machine_faults();
        budget.iter().for_each(|line| scenario.run_line(line));
        ["engine a", "start"]
            .iter()
            .for_each(|line| scenario.run_line(line));
        scenario
    }

    /// Steps the front's wall clock to so far from the machine's, and waits until the front has had a turn by it.
    fn step_wall_clock(&mut self, ms: i64) {
        self.machine_faults()
            .set_wall_clock_ahead(ms * 1000)
            .unwrap();
        self.run_line("logs the wall clock was stepped by");
    }

    fn run_lines(&mut self, lines: &[&str]) {
        lines.iter().for_each(|line| self.run_line(line));
    }

    /// Statements 1 to 8 are answered at once, so that the engine has the credit that further executions take.
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

    /// A statement that its engine turns away, so that it takes a further execution, if the budget has one.
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
    // Both are still out, and their client still waits.
    scenario.run_lines(&["a says 1 ACK batches=1 x", "c hears 1 completed x"]);
    scenario.run_lines(&["a says 2 ACK batches=1 x", "c hears 2 completed x"]);
    // The one further execution of this minute is spent.
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
    std::thread::sleep(BUDGET_WINDOW);
    // Of those statements none is in the window any more: one statement alone earns no further execution.
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
    std::thread::sleep(BUDGET_WINDOW);
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
