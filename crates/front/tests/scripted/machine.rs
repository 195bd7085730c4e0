//! Faults of the machine under a front that runs in real time.

use hallmux_machine_faults::{Call, Library, MachineFaults};

use crate::{usual_settings, Scenario};

const SEED: u64 = 0x6d61_6368; // of the calls that fail
const MOSTLY: u16 = 700; // of a thousand calls

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
    scenario.machine_faults().fail(Call::Socket, MOSTLY).unwrap();
    scenario.line("engine a");
    scenario.line("start");
    assert!(scenario.machine_faults().played(Call::Socket).unwrap() > 0);
}
