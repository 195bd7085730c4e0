//! Faults of the machine under a front that runs in real time.

use std::time::{Duration, Instant};

use hallmux_machine_faults::{Call, Library, MachineFaults};

use crate::{usual_settings, Scenario, MAX_RUNS};

const SEED: u64 = 0x6d61_6368; // of the calls that fail
const MOSTLY: u16 = 700; // of a thousand calls
const ALWAYS: u16 = 1000;
const CLIENTS: usize = 20;
const UNACCEPTED: Duration = Duration::from_millis(500);
const PAST_CLOSE: Duration = Duration::from_millis(800); // after SIGTERM, when the front would have closed its listener
const IN_TIME: Duration = Duration::from_millis(1_200); // after SIGTERM; from 1.65 s on the listener is closed in any case

impl Scenario {
    /// A scenario whose front, once it starts, has the faults that a test plays.
    pub fn under_machine_faults() -> Scenario {
        let mut scenario = Scenario::default();
        scenario.settings = usual_settings();
        scenario.line("runs in real time");
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
fn a_front_starts_though_its_first_sockets_are_refused_for_want_of_descriptors_or_buffers() {
    let mut scenario = Scenario::under_machine_faults();
    scenario
        .machine_faults()
        .set_failure_rate(Call::Socket, MOSTLY)
        .unwrap();
    scenario.line("engine a");
    scenario.line("start");
    assert!(
        scenario
            .machine_faults()
            .failure_count(Call::Socket)
            .unwrap()
            > 0
    );
}

#[test]
fn clients_are_served_while_accepting_them_mostly_fails() {
    let mut scenario = Scenario::under_machine_faults();
    ["engine a", "start"]
        .iter()
        .for_each(|line| scenario.line(line));
    scenario
        .machine_faults()
        .set_failure_rate(Call::Accept, MOSTLY)
        .unwrap();
    for client in 0..CLIENTS {
        scenario.line(&format!("c{client} connects"));
        scenario.line(&format!("c{client} is well"));
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
fn a_statement_that_lay_unaccepted_has_so_much_less_time_at_its_engine() {
    let mut scenario = Scenario::under_machine_faults();
    ["engine a", "start"]
        .iter()
        .for_each(|line| scenario.line(line));
    scenario
        .machine_faults()
        .set_failure_rate(Call::Accept, ALWAYS)
        .unwrap();
    scenario.line("b connects");
    // The front knows by now that it can't accept: what comes from here on waits.
    scenario.line("logs no connection can be accepted");
    ["c connects", "c asks 1 limit=3000 select 1"]
        .iter()
        .for_each(|line| scenario.line(line));
    std::thread::sleep(UNACCEPTED);
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
    .for_each(|line| scenario.line(line));
}

/// A connection that the system gives late, as the front ends, is served; whether this was played in time.
fn is_served_at_the_end() -> bool {
    let mut scenario = Scenario::under_machine_faults();
    ["engine a", "start"]
        .iter()
        .for_each(|line| scenario.line(line));
    scenario
        .machine_faults()
        .set_failure_rate(Call::Accept, ALWAYS)
        .unwrap();
    ["c connects", "c asks 1 select 1", "stop"]
        .iter()
        .for_each(|line| scenario.line(line));
    let asked = Instant::now();
    std::thread::sleep(PAST_CLOSE);
    scenario
        .machine_faults()
        .set_failure_rate(Call::Accept, 0)
        .unwrap();
    if asked.elapsed() > IN_TIME {
        return false;
    }
    scenario.line("c hears 1 rejected");
    scenario.nothing_else_came();
    true
}

#[test]
fn who_waits_to_be_accepted_as_the_front_ends_is_answered_once_the_system_gives_connections_again()
{
    assert!(
        (0..MAX_RUNS).any(|_| is_served_at_the_end()),
        "the machine was too busy in each run"
    );
}
