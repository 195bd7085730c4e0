//! Faults of system calls under a front that runs in real time.

use std::time::{Duration, Instant};

use hallmux_machine_faults::{Call, Library, MachineFaults};

use crate::{default_settings, Scenario, MAX_RUNS};

const SEED: u64 = 0x6d61_6368; // selects the calls that fail
const MOSTLY_PER_MILLE: u16 = 700; // calls out of a thousand
const ALWAYS_PER_MILLE: u16 = 1000;
const CLIENTS: usize = 20;
const UNACCEPTED_TIME: Duration = Duration::from_millis(500);
const AFTER_LISTENER_CLOSE: Duration = Duration::from_millis(800); // after SIGTERM; by then the front would have closed its listener
const LATEST_RECOVERY: Duration = Duration::from_millis(1_200); // after SIGTERM; from 1.65 s on the listener is closed in any case

impl Scenario {
    /// A scenario whose front starts with fault injection enabled.
    pub fn under_machine_faults() -> Scenario {
        let mut scenario = Scenario::default();
        scenario.settings = default_settings();
        scenario.run_line("runs in real time");
        let (library, control) = (scenario.file("so"), scenario.file("faults"));
        let library = Library::compile(&library).unwrap();
        scenario.machine_faults = Some(MachineFaults::new(&library, &control, SEED).unwrap());
        scenario
    }

    pub fn machine_faults(&self) -> &MachineFaults {
        self.machine_faults.as_ref().unwrap()
    }
}

#[test]
fn a_front_starts_although_its_first_socket_calls_fail() {
    let mut scenario = Scenario::under_machine_faults();
    scenario
        .machine_faults()
        .set_failure_rate(Call::Socket, MOSTLY_PER_MILLE)
        .unwrap();
    scenario.run_line("engine a");
    scenario.run_line("start");
    assert!(
        scenario
            .machine_faults()
            .failure_count(Call::Socket)
            .unwrap()
            > 0
    );
}

#[test]
fn clients_are_served_while_most_accept_calls_fail() {
    let mut scenario = Scenario::under_machine_faults();
    ["engine a", "start"]
        .iter()
        .for_each(|line| scenario.run_line(line));
    scenario
        .machine_faults()
        .set_failure_rate(Call::Accept, MOSTLY_PER_MILLE)
        .unwrap();
    for client in 0..CLIENTS {
        scenario.run_line(&format!("c{client} connects"));
        scenario.run_line(&format!("c{client} is well"));
    }
    assert!(
        scenario
            .machine_faults()
            .failure_count(Call::Accept)
            .unwrap()
            > 0
    );
}

#[test]
fn time_waiting_to_be_accepted_is_deducted_from_a_statements_deadline() {
    let mut scenario = Scenario::under_machine_faults();
    ["engine a", "start"]
        .iter()
        .for_each(|line| scenario.run_line(line));
    scenario
        .machine_faults()
        .set_failure_rate(Call::Accept, ALWAYS_PER_MILLE)
        .unwrap();
    scenario.run_line("b connects");
    // From here on the front has noticed that accept fails, and new connections wait in the queue.
    scenario.run_line("logs no connection can be accepted");
    ["c connects", "c asks 1 limit=3000 select 1"]
        .iter()
        .for_each(|line| scenario.run_line(line));
    std::thread::sleep(UNACCEPTED_TIME);
    scenario
        .machine_faults()
        .set_failure_rate(Call::Accept, 0)
        .unwrap();
    [
        "a hears want 1 wait<2501",
        "a says 1 ACK batches=1 x",
        "c hears 1 completed x",
    ]
    .iter()
    .for_each(|line| scenario.run_line(line));
}

/// Checks that a connection which the system accepts late, during shutdown, is served. False if the machine
/// was too slow to do this in time.
fn serves_late_connection_at_shutdown() -> bool {
    let mut scenario = Scenario::under_machine_faults();
    ["engine a", "start"]
        .iter()
        .for_each(|line| scenario.run_line(line));
    scenario
        .machine_faults()
        .set_failure_rate(Call::Accept, ALWAYS_PER_MILLE)
        .unwrap();
    ["c connects", "c asks 1 select 1", "stop"]
        .iter()
        .for_each(|line| scenario.run_line(line));
    let started = Instant::now();
    std::thread::sleep(AFTER_LISTENER_CLOSE);
    scenario
        .machine_faults()
        .set_failure_rate(Call::Accept, 0)
        .unwrap();
    if started.elapsed() > LATEST_RECOVERY {
        return false;
    }
    scenario.run_line("c hears 1 rejected");
    scenario.assert_nothing_else_received();
    true
}

#[test]
fn a_client_waiting_to_be_accepted_at_shutdown_is_answered_once_accept_works_again() {
    assert!(
        (0..MAX_RUNS).any(|_| serves_late_connection_at_shutdown()),
        "the machine was too busy in each run"
    );
}
