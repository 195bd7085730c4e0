//! Faults of the machine under a front that runs in real time.

use hallmux_machine_faults::{Library, MachineFaults};

use crate::{usual_settings, Scenario};

const SEED: u64 = 0x6d61_6368; // of the calls that fail

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
