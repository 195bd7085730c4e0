//! Faults of the machines under the fronts of a soak run: when a wall clock is stepped, and which
//! system calls fail.

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
/// Offsets of a front's wall clock from the machine's, in microseconds: from half a second to an
/// hour.
const CLOCK_OFFSETS_US: [i64; 8] = [
    0,
    -SECOND_US / 2,
    3 * SECOND_US,
    -20 * SECOND_US,
    20 * SECOND_US,
    -400 * SECOND_US,
    3_600 * SECOND_US,
    -3_600 * SECOND_US,
];
const CLOCK_STEP_INTERVAL_US: std::ops::RangeInclusive<i64> = 400_000..=2_500_000;
const SHORTAGE_INTERVAL_US: std::ops::RangeInclusive<i64> = 300_000..=1_500_000;
const SHORTAGE_DURATION_US: std::ops::RangeInclusive<i64> = 50_000..=700_000;
/// Failing calls of one shortage; the limit also ends it for a front that retries its start.
const MAX_FAILURES: std::ops::RangeInclusive<i64> = 1..=60;
/// Failing calls of a thousand; 1,000 fails every call for the length of the shortage.
const FAILURE_RATES_PERMILLE: [u16; 4] = [20, 150, 500, 1_000];
/// The same for broken reads: low, as a broken connection loses every statement in flight on it.
const BROKEN_READ_RATES_PERMILLE: [u16; 2] = [5, 30];
/// Share of runs in which idle clients hold all descriptors that are left to clients.
const CROWD_PROBABILITY: f64 = 0.25;
/// Connections to each front: the clients' share of its descriptors.
const CROWD_CONNECTIONS_PER_FRONT: usize = SOCKETS / 2;
const TALLIES: [&str; Call::ALL.len()] = [
    "failed_accepts",
    "failed_sockets",
    "failed_connects",
    "short_reads",
    "short_writes",
    "broken_reads",
];

/// System calls of one kind that fail at one front until a time in microseconds of the load.
struct Shortage {
    front: usize,
    call: Call,
    until: i64,
}

/// Draws and injects the machine faults of all fronts of a run.
pub(super) struct Machines {
    rng: Pcg64Mcg,
    faults: Vec<MachineFaults>,
    folder: PathBuf,
    next_step: i64,
    next_shortage: i64,
    shortages: Vec<Shortage>,
    steps: i64,
    /// Connections of idle clients.
    crowd: Vec<TcpStream>,
    /// Injected faults, each with its time in microseconds since the load began.
    events: Vec<(i64, String)>,
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
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6d61_6368),
            faults: faults.collect::<Result<_>>()?,
            folder,
            next_step: 0,
            next_shortage: 0,
            shortages: Vec::new(),
            steps: 0,
            crowd: Vec::new(),
            events: Vec::new(),
        })
    }

    /// Options of each front: the environment of its machine faults, and the program of another
    /// build if given.
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

    fn step_clock(&mut self, since: i64) -> Result<()> {
        let front = self.rng.random_range(0..self.faults.len());
        let ahead = *CLOCK_OFFSETS_US.choose(&mut self.rng).unwrap_or(&0);
        self.faults[front].set_wall_clock_offset(ahead)?;
        self.steps += 1;
        self.events.push((
            since,
            format!("front {front}: its wall clock is {} ms ahead", ahead / 1000),
        ));
        Ok(())
    }

    fn start_shortage(&mut self, since: i64) -> Result<()> {
        let front = self.rng.random_range(0..self.faults.len());
        let call = *Call::ALL.choose(&mut self.rng).unwrap_or(&Call::Accept);
        let rates: &[u16] = if call == Call::BrokenRead {
            &BROKEN_READ_RATES_PERMILLE
        } else {
            &FAILURE_RATES_PERMILLE
        };
        let rate = *rates.choose(&mut self.rng).unwrap_or(&0);
        let until = since + self.rng.random_range(SHORTAGE_DURATION_US);
        let max_failures = self.rng.random_range(MAX_FAILURES);
        self.faults[front].set_limited_failure_rate(call, rate, max_failures)?;
        self.shortages.push(Shortage { front, call, until });
        let ms = (until - since) / 1000;
        self.events.push((
            since,
            format!(
                "front {front}: {rate} of 1000 {call:?} fail for {ms} ms, {max_failures} at most"
            ),
        ));
        Ok(())
    }

    fn end_shortages(&mut self, since: i64) -> Result<()> {
        let (ended, remaining) = std::mem::take(&mut self.shortages)
            .into_iter()
            .partition(|s| s.until <= since);
        self.shortages = remaining;
        let ended: Vec<Shortage> = ended;
        for Shortage { front, call, .. } in ended {
            // This also ends another shortage of the same call that has not run out yet.
            self.faults[front].set_failure_rate(call, 0)?;
        }
        Ok(())
    }

    /// Opens connections of idle clients to each front, as many as a front allows clients.
    fn connect_crowd(&mut self, fleet: &Fleet) -> Result<()> {
        for member in &fleet.members {
            let address = member
                .front
                .lock()
                .ok()
                .and_then(|front| front.as_ref().map(|front| front.statement_address));
            for address in std::iter::repeat_n(address, CROWD_CONNECTIONS_PER_FRONT).flatten() {
                self.crowd.push(TcpStream::connect(address)?);
            }
        }
        Ok(())
    }

    fn advance(&mut self, since: i64) -> Result<()> {
        if since >= self.next_step {
            self.step_clock(since)?;
            self.next_step = since + self.rng.random_range(CLOCK_STEP_INTERVAL_US);
        }
        self.end_shortages(since)?;
        if since >= self.next_shortage {
            self.start_shortage(since)?;
            self.next_shortage = since + self.rng.random_range(SHORTAGE_INTERVAL_US);
        }
        Ok(())
    }

    /// Tallies of the machine faults over all fronts.
    pub(super) fn tallies(&self) -> Result<Vec<(&'static str, i64)>> {
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

    /// Prints the injected faults in the order of time.
    pub(super) fn print(&self) {
        self.events
            .iter()
            .for_each(|(at, what)| eprintln!("played at {at}: {what}"));
    }
}

impl FleetHooks for Machines {
    fn on_ready(&mut self, fleet: &Fleet) -> std::result::Result<(), String> {
        match self.rng.random_bool(CROWD_PROBABILITY) {
            true => self.connect_crowd(fleet).map_err(|e| e.to_string()),
            false => Ok(()),
        }
    }

    fn poll(&mut self, _fleet: &Fleet, since: i64) -> Vec<Fault> {
        if let Err(error) = self.advance(since) {
            self.events.push((since, format!("not injected: {error}")));
        }
        Vec::new()
    }

    fn on_load_ended(&mut self, _fleet: &Fleet) {
        // Only the shortages are ended here; fronts shut down by themselves.
        let _ = self.end_shortages(i64::MAX);
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
