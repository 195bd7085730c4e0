//! A run in simulated time from its start to its account.

use std::collections::{BTreeMap, BinaryHeap, HashMap};

use hallmux_config::Settings;
use hallmux_gossip::seal::{Identity, Keys};
use hallmux_ledger::DiskId;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::disk::Disk;
use super::growth::Growth;
use super::simulation::{
    secret, Engine, Event, Member, Mutation, Simulation, AFTER, SETTLES, SLACK, WALL,
};
use crate::record::account::{Account, Offered, Run};
use crate::record::judge::judge;
use crate::rig::agreed;
use crate::rig::agreed::warmth;
use crate::rig::datagrams::DatagramFaults;
use crate::rig::scenario::Scenario;

const EXCUSED: i64 = 70_000_000; // microseconds that an answer of a front in trouble may take longer
const WARM_SINCE: i64 = 3_600_000_000; // microseconds for which engines have run at time 0
/// Plays the scenario in simulated time and checks what happened.
pub fn run(scenario: &Scenario, seed: u64) -> Result<Run, String> {
    run_with(scenario, seed, Mutation::default())
}

/// The same, with a rule taken out.
pub fn run_with(scenario: &Scenario, seed: u64, spoil: Mutation) -> Result<Run, String> {
    let mut simulation = Simulation::new(scenario, seed, spoil)?;
    simulation.start_members();
    simulation.schedule();
    let load_ends = simulation.began + scenario.seconds as i64 * 1_000_000;
    simulation.run_until(load_ends + scenario.load.timeout_ms as i64 * 1000 + AFTER);
    let (account, growth) = simulation.account();
    let mut run = judge(scenario, &account, Vec::new());
    if scenario.fleet.copies.is_some() {
        growth.tell(&mut run.tallies);
    }
    Ok(run)
}

/// The settings that the fronts of a scenario decide by.
fn settings_of(scenario: &Scenario) -> Result<Settings, String> {
    let mut settings = Settings::parse(&agreed::settings(scenario).to_string())?;
    if let Some(quorum) = scenario.fleet.zone_quorum {
        settings.agreement.zone_quorum = quorum;
    }
    if scenario.fleet.sheds_as_one {
        scenario.fleet.overload().apply(&mut settings.agreement);
    }
    Ok(settings)
}

impl Engine {
    /// One that is warm.
    fn new(zone: usize) -> Engine {
        Engine {
            zone,
            started: WALL - WARM_SINCE,
            running: 0,
            resets: 0,
            turned_away: 0,
            peak: 0.0,
            peak_since_start: 0.0,
        }
    }
}

impl Member {
    /// One that has yet to start, with its clock ahead by so many microseconds.
    fn new(ahead: i64, identity: DiskId) -> Member {
        Member {
            life: None,
            lives: 0,
            stopped: false,
            ending: None,
            waits: Vec::new(),
            due: i64::MAX,
            ahead,
            links: BTreeMap::new(),
            saved: None,
            disk: Disk {
                identity,
                ..Disk::default()
            },
            troubled: Vec::new(),
        }
    }
}

impl Simulation<'_> {
    fn new(scenario: &Scenario, seed: u64, spoil: Mutation) -> Result<Simulation<'_>, String> {
        let (fronts, zones) = (scenario.fleet.fronts, scenario.fleet.zones);
        let per_zone = scenario.fleet.engines_per_zone;
        let keys: Vec<[u8; 32]> = (0..fronts)
            .map(|n| Identity::new(&secret(n), 0).public_key())
            .collect();
        Ok(Simulation {
            scenario,
            settings: settings_of(scenario)?,
            warmth: warmth(scenario),
            now: WALL,
            began: WALL + SETTLES,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            number: 0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            members: Vec::new(),
            engines: (0..zones * per_zone)
                .map(|n| Engine::new(n / per_zone))
                .collect(),
            keys: Keys::new(&keys),
            datagram_faults: DatagramFaults::default(),
            account: Account {
                began: WALL + SETTLES,
                slack: SLACK,
                ..Account::default()
            },
            out: BTreeMap::new(),
            statements: 0,
            named: HashMap::new(),
            clients: Vec::new(),
            links: 0,
            firsts: HashMap::new(),
            ledger_members: super::ledger::members(fronts, zones),
            armed: None,
            spoil,
            growth: Growth::default(),
            shards: hallmux_ledger::Setup::new("lab", 0, 0, 1, Vec::new()).shards,
            playing: BTreeMap::new(),
        })
    }

    /// Starts all fronts, with clocks and disks drawn.
    fn start_members(&mut self) {
        let apart = self.scenario.fleet.clocks_apart_ms as i64 * 1000;
        for n in 0..self.scenario.fleet.fronts {
            let ahead = self.chance.random_range(-apart..=apart);
            let identity = self.chance.random_range(1..u64::MAX);
            self.members.push(Member::new(ahead, identity));
            self.start(n);
        }
    }

    /// Puts the load and the faults of the scenario into the queue of events.
    fn schedule(&mut self) {
        let (scenario, began) = (self.scenario, self.began);
        self.at(began, Event::Offered);
        if scenario.fleet.copies.is_some() {
            self.at(began, Event::SampleSizes);
        }
        for (n, fault) in scenario.faults.iter().enumerate() {
            self.at(began + fault.at_ms as i64 * 1000, Event::Begins(n));
            self.at(
                began + (fault.at_ms + fault.for_ms) as i64 * 1000,
                Event::Ends(n),
            );
        }
    }

    /// What was seen of the run; statements at fronts that were in trouble meanwhile are excused.
    fn account(self) -> (Account, Growth) {
        let Simulation {
            engines,
            mut account,
            members,
            growth,
            ..
        } = self;
        account.rejected = engines.iter().map(|e| e.turned_away).sum();
        account.peak = engines.iter().map(|e| e.peak).fold(0.0, f64::max);
        account.peaks_since_start = engines.iter().map(|e| e.peak_since_start).collect();
        for Offered { front, asked, .. } in &mut account.asked {
            let troubled = &members[*front].troubled;
            let excused = troubled
                .iter()
                .any(|(from, to)| asked.sent <= *to && asked.answered >= *from);
            if excused {
                (asked.may_be_lost, asked.timeout) = (true, asked.timeout + EXCUSED);
            }
        }
        (account, growth)
    }
}
