//! The machines of a soak's fronts: when which one's wall clock is stepped, and which of its system calls fail.

use std::io::Result;
use std::net::TcpStream;
use std::path::{Path, PathBuf};

use hallmux_machine_faults::{Call, Library, MachineFaults};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::rig::fleet::{Fleet, FleetHooks};
use crate::rig::member::{MemberOptions, SOCKETS};
use crate::rig::scenario::Fault;

const SECOND_US: i64 = 1_000_000;
/// How far a wall clock is from the machine's, by its steps: some seconds, an hour.
const AHEAD: [i64; 8] = [
    0,
    -SECOND_US / 2,
    3 * SECOND_US,
    -20 * SECOND_US,
    20 * SECOND_US,
    -400 * SECOND_US,
    3_600 * SECOND_US,
    -3_600 * SECOND_US,
];
const BETWEEN_STEPS: std::ops::RangeInclusive<i64> = 400_000..=2_500_000; // microseconds
const BETWEEN_SHORTAGES: std::ops::RangeInclusive<i64> = 300_000..=1_500_000; // microseconds
const SHORTAGE: std::ops::RangeInclusive<i64> = 50_000..=700_000; // microseconds for which calls fail
const MOST_FAILURES: std::ops::RangeInclusive<i64> = 1..=60; // of a shortage: also a start that tries again ends it
/// How many of a thousand calls fail: at most all, for a moment.
const RATES: [u16; 4] = [20, 150, 500, 1_000];
/// Connections that break are lost to all that is out on them: few.
const BROKEN_RATES: [u16; 2] = [5, 30];
const CROWDED: f64 = 0.25; // share of runs in which idle clients hold all the descriptors that clients may
const CROWD: usize = SOCKETS / 2; // connections to each front: so many are clients' share
const TALLIES: [&str; Call::ALL.len()] = [
    "failed_accepts",
    "failed_sockets",
    "failed_connects",
    "short_reads",
    "short_writes",
    "broken_reads",
];

/// Calls of one front that fail until then.
struct Shortage {
    front: usize,
    call: Call,
    until: i64,
}

/// What befalls the machines of all fronts of a run.
pub(super) struct Machines {
    chance: Pcg64Mcg,
    faults: Vec<MachineFaults>,
    folder: PathBuf,
    next_step: i64,
    next_shortage: i64,
    shortages: Vec<Shortage>,
    steps: i64,
    /// Connections of idle clients.
    crowd: Vec<TcpStream>,
    /// What was played, and when, in microseconds since the load began.
    played: Vec<(i64, String)>,
}

impl Machines {
    pub(super) fn new(seed: u64, fronts: usize) -> Result<Machines> {
        let folder =
            std::env::temp_dir().join(format!("hallmux-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let library = Library::compile(&folder.join("machine_faults.so"))?;
        let faults = (0..fronts).map(|front| {
            MachineFaults::new(
                &library,
                &folder.join(format!("front{front}")),
                seed.wrapping_add(front as u64),
            )
        });
        Ok(Machines {
            chance: Pcg64Mcg::seed_from_u64(seed ^ 0x6d61_6368),
            faults: faults.collect::<Result<_>>()?,
            folder,
            next_step: 0,
            next_shortage: 0,
            shortages: Vec::new(),
            steps: 0,
            crowd: Vec::new(),
            played: Vec::new(),
        })
    }

    /// What each front has so that its machine can misbehave, and its program where it is another build's.
    pub(super) fn options(&self, program: Option<&Path>) -> Vec<MemberOptions> {
        let environment = |faults: &MachineFaults| {
            let variables = faults.environment().into_iter();
            variables
                .map(|(name, path)| (name.to_string(), path.display().to_string()))
                .collect()
        };
        let options = |faults| MemberOptions {
            environment: environment(faults),
            program: program.map(Path::to_path_buf),
            ..MemberOptions::default()
        };
        self.faults.iter().map(options).collect()
    }

    fn step_a_clock(&mut self, since: i64) -> Result<()> {
        let front = self.chance.random_range(0..self.faults.len());
        let ahead = *AHEAD.choose(&mut self.chance).unwrap_or(&0);
        self.faults[front].set_wall_clock_offset(ahead)?;
        self.steps += 1;
        self.played.push((
            since,
            format!("front {front}: its wall clock is {} ms ahead", ahead / 1000),
        ));
        Ok(())
    }

    fn begin_shortage(&mut self, since: i64) -> Result<()> {
        let front = self.chance.random_range(0..self.faults.len());
        let call = *Call::ALL.choose(&mut self.chance).unwrap_or(&Call::Accept);
        let rates: &[u16] = if call == Call::BrokenRead {
            &BROKEN_RATES
        } else {
            &RATES
        };
        let rate = *rates.choose(&mut self.chance).unwrap_or(&0);
        let until = since + self.chance.random_range(SHORTAGE);
        let most = self.chance.random_range(MOST_FAILURES);
        self.faults[front].set_limited_failure_rate(call, rate, most)?;
        self.shortages.push(Shortage { front, call, until });
        let ms = (until - since) / 1000;
        self.played.push((
            since,
            format!("front {front}: {rate} of 1000 {call:?} fail for {ms} ms, {most} at most"),
        ));
        Ok(())
    }

    fn end_shortages(&mut self, since: i64) -> Result<()> {
        let (over, lasting) = std::mem::take(&mut self.shortages)
            .into_iter()
            .partition(|s| s.until <= since);
        self.shortages = lasting;
        let over: Vec<Shortage> = over;
        for Shortage { front, call, .. } in over {
            // Another one of the same call may go on: then it is over with this one.
            self.faults[front].set_failure_rate(call, 0)?;
        }
        Ok(())
    }

    /// Idle clients connect to each front, as many as it may hold.
    fn gather_crowd(&mut self, fleet: &Fleet) -> Result<()> {
        for member in &fleet.members {
            let address = member
                .front
                .lock()
                .ok()
                .and_then(|front| front.as_ref().map(|front| front.lines));
            for address in std::iter::repeat_n(address, CROWD).flatten() {
                self.crowd.push(TcpStream::connect(address)?);
            }
        }
        Ok(())
    }

    fn advance(&mut self, since: i64) -> Result<()> {
        if since >= self.next_step {
            self.step_a_clock(since)?;
            self.next_step = since + self.chance.random_range(BETWEEN_STEPS);
        }
        self.end_shortages(since)?;
        if since >= self.next_shortage {
            self.begin_shortage(since)?;
            self.next_shortage = since + self.chance.random_range(BETWEEN_SHORTAGES);
        }
        Ok(())
    }

    /// How often each was played, over all fronts.
    pub(super) fn played(&self) -> Result<Vec<(&'static str, i64)>> {
        let mut all = vec![
            ("clock_steps", self.steps),
            ("crowd", self.crowd.len() as i64),
        ];
        for (call, name) in Call::ALL.into_iter().zip(TALLIES) {
            let counts = self.faults.iter().map(|faults| faults.failure_count(call));
            all.push((name, counts.sum::<Result<i64>>()?));
        }
        Ok(all)
    }

    /// Prints what was played, in the order of time.
    pub(super) fn print(&self) {
        self.played
            .iter()
            .for_each(|(at, what)| eprintln!("played at {at}: {what}"));
    }
}

impl FleetHooks for Machines {
    fn ready(&mut self, fleet: &Fleet) -> std::result::Result<(), String> {
        match self.chance.random_bool(CROWDED) {
            true => self.gather_crowd(fleet).map_err(|e| e.to_string()),
            false => Ok(()),
        }
    }

    fn turn(&mut self, _fleet: &Fleet, since: i64) -> Vec<Fault> {
        if let Err(why) = self.advance(since) {
            self.played.push((since, format!("not played: {why}")));
        }
        Vec::new()
    }

    fn over(&mut self, _fleet: &Fleet) {
        // Ends that are still to come are the fronts' own.
        let _ = self.end_shortages(i64::MAX);
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
