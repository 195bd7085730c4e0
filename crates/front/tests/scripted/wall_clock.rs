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
const SLACK: Duration = Duration::from_secs(5); // beyond a client's time, for a busy machine
const SHORT_WINDOW: Duration = Duration::from_secs(1); // of the settings below

impl Scenario {
    /// One front and one engine in real time; statements may be tried again by a budget of this window.
    fn with_stepped_clock(budget: &[&str]) -> Scenario {
        let mut scenario = Scenario::under_machine_faults();
        budget.iter().for_each(|line| scenario.line(line));
        ["engine a", "start"]
            .iter()
            .for_each(|line| scenario.line(line));
        scenario
    }

    /// Steps the front's wall clock to so far from the machine's, and waits until the front has had a turn by it.
    fn steps_wall_clock(&mut self, ms: i64) {
        self.machine_faults()
            .set_wall_clock_offset(ms * 1000)
            .unwrap();
        self.line("logs the wall clock was stepped by");
    }

    fn lines(&mut self, lines: &[&str]) {
        lines.iter().for_each(|line| self.line(line));
    }

    /// Statements 1 to 8 are answered at once, so that the engine has the credit that further executions take.
    fn earns_credit(&mut self) {
        self.line("c connects");
        for number in 1..=8 {
            self.lines(&[
                &format!("c asks {number} select {number}"),
                &format!("a hears want {number}"),
                &format!("a says {number} ACK batches=1 x"),
                &format!("c hears {number} completed x"),
            ]);
        }
    }

    /// A statement that its engine turns away, so that it takes a further execution, if the budget has one.
    fn is_turned_away(&mut self, number: usize) {
        self.lines(&[
            &format!("c asks {number} select {number}"),
            &format!("a hears want {number}"),
            &format!("a says {number} AGAIN - "),
        ]);
    }
}

#[test]
fn a_step_forward_does_not_renew_the_retry_budget_nor_end_what_is_out() {
    let mut scenario = Scenario::with_stepped_clock(&[
        "agreed rules.budgetSpanMs 60000",
        "agreed rules.furtherRatio 0.001",
        "agreed rules.spareAttempts 1",
    ]);
    scenario.line("c connects");
    scenario.is_turned_away(1);
    scenario.lines(&["a hears want 1", "c asks 2 select 2", "a hears want 2"]);
    scenario.steps_wall_clock(HOUR_MS);
    // Both are still out, and their client still waits.
    scenario.lines(&["a says 1 ACK batches=1 x", "c hears 1 completed x"]);
    scenario.lines(&["a says 2 ACK batches=1 x", "c hears 2 completed x"]);
    // The one further execution of this minute is spent.
    scenario.is_turned_away(3);
    scenario.line("c hears 3 rejected");
    scenario.nothing_else_came();
}

#[test]
fn the_window_of_the_retry_budget_goes_on_after_a_step_back() {
    let mut scenario = Scenario::with_stepped_clock(&[
        "agreed rules.budgetSpanMs 1000",
        "agreed rules.furtherRatio 0.5",
        "agreed rules.spareAttempts 0",
    ]);
    scenario.steps_wall_clock(HOUR_MS);
    scenario.steps_wall_clock(0);
    scenario.earns_credit();
    std::thread::sleep(SHORT_WINDOW);
    // Of those statements none is in the window any more: one statement alone earns no further execution.
    scenario.lines(&[
        "c asks 9 select 9",
        "a hears want 9",
        "a says 9 EIO - ",
        "c hears 9 rejected",
    ]);
    scenario.nothing_else_came();
}

#[test]
fn a_statement_ends_with_its_time_and_is_not_repeated_beyond_its_window_after_a_step_back() {
    let mut scenario =
        Scenario::with_stepped_clock(&["agreed requestClasses.1.dedupWindowMs 1000"]);
    scenario.steps_wall_clock(-HOUR_MS);
    scenario.earns_credit();
    scenario.lines(&["c asks 9 verb=load unique=u9 insert 9", "a hears want 9"]);
    std::thread::sleep(SHORT_WINDOW);
    scenario.lines(&["a says 9 EIO - ", "c hears 9 rejected"]);
    let asked = Instant::now();
    scenario.lines(&[
        "c asks 10 limit=1500 select 10",
        "a hears want 10 wait<1501",
        "c hears 10 rejected",
    ]);
    assert!(
        asked.elapsed() < Duration::from_millis(1500) + SLACK,
        "{:?}",
        asked.elapsed()
    );
    scenario.line("a hears never_mind 10");
    scenario.nothing_else_came();
}
