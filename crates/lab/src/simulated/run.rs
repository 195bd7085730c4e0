//! A run in simulated time, from its start to its account.

use std::collections::{BTreeMap, BinaryHeap, HashMap};

use hallmux_config::Settings;
use hallmux_gossip::seal::{Identity, Keys};
use hallmux_ledger::DiskId;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::disk::Disk;
use super::growth::Growth;
use super::simulation::{
    secret, Engine, Event, Member, Mutation, Simulation, ANSWER_SLACK_US, RUN_OUT_US,
    SETTLE_TIME_US, START_WALL_US,
};
use crate::record::account::{Account, Offered, Run};
use crate::record::judge::judge;
use crate::rig::agreed;
use crate::rig::agreed::warmth;
use crate::rig::datagrams::DatagramFaults;
use crate::rig::scenario::Scenario;

const DISRUPTED_ANSWER_SLACK_US: i64 = 70_000_000; // extra time for an answer of a disrupted front
const ENGINE_AGE_US: i64 = 3_600_000_000; // age of the engines at the start
/// Runs the scenario in simulated time and checks its record.
pub fn run(scenario: &Scenario, seed: u64) -> Result<Run, String> {
    run_with(scenario, seed, Mutation::default())
}

/// Runs the scenario with rules removed as the mutation says.
pub fn run_with(scenario: &Scenario, seed: u64, mutation: Mutation) -> Result<Run, String> {
    let mut simulation = Simulation::new(scenario, seed, mutation)?;
    simulation.start_members();
    simulation.schedule_scenario();
    let load_ends = simulation.load_began + scenario.seconds as i64 * 1_000_000;
    simulation.run_until(load_ends + scenario.load.timeout_ms as i64 * 1000 + RUN_OUT_US);
    let (account, growth) = simulation.account();
    let mut run = judge(scenario, &account, Vec::new());
    if scenario.fleet.copies.is_some() {
        growth.add_tallies(&mut run.tallies);
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
    /// A warm engine.
    fn new(zone: usize) -> Engine {
        Engine {
            zone,
            started_at: START_WALL_US - ENGINE_AGE_US,
            running: 0,
            reset_count: 0,
            rejected: 0,
            peak: 0.0,
            peak_since_start: 0.0,
        }
    }
}

impl Member {
    /// A front that has yet to start, with its clock ahead by so many microseconds.
    fn new(ahead: i64, identity: DiskId) -> Member {
        Member {
            running: None,
            incarnation: 0,
            is_stalled: false,
            shutdown_asked_at: None,
            pending_events: Vec::new(),
            next_due: i64::MAX,
            clock_ahead: ahead,
            links: BTreeMap::new(),
            voter_state: None,
            disk: Disk {
                identity,
                ..Disk::default()
            },
            disruptions: Vec::new(),
        }
    }
}

impl Simulation<'_> {
    fn new(scenario: &Scenario, seed: u64, mutation: Mutation) -> Result<Simulation<'_>, String> {
        let (fronts, zones) = (scenario.fleet.fronts, scenario.fleet.zones);
        let per_zone = scenario.fleet.engines_per_zone;
        let keys: Vec<[u8; 32]> = (0..fronts)
            .map(|n| Identity::new(&secret(n), 0).public_key())
            .collect();
        Ok(Simulation {
            scenario,
            settings: settings_of(scenario)?,
            warmth: warmth(scenario),
            now: START_WALL_US,
            load_began: START_WALL_US + SETTLE_TIME_US,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: Vec::new(),
            engines: (0..zones * per_zone)
                .map(|n| Engine::new(n / per_zone))
                .collect(),
            keys: Keys::new(&keys),
            datagram_faults: DatagramFaults::default(),
            account: Account {
                began: START_WALL_US + SETTLE_TIME_US,
                slack: ANSWER_SLACK_US,
                ..Account::default()
            },
            in_flight: BTreeMap::new(),
            statement_count: 0,
            statement_numbers: HashMap::new(),
            clients: Vec::new(),
            link_count: 0,
            first_executions: HashMap::new(),
            ledger_members: super::ledger::members(fronts, zones),
            armed: None,
            mutation,
            growth: Growth::default(),
            shards: hallmux_ledger::Setup::new("lab", 0, 0, 1, Vec::new()).shards,
            active_faults: BTreeMap::new(),
        })
    }

    /// Starts all fronts with random clock offsets and disk identities.
    fn start_members(&mut self) {
        let apart = self.scenario.fleet.clocks_apart_ms as i64 * 1000;
        for n in 0..self.scenario.fleet.fronts {
            let ahead = self.rng.random_range(-apart..=apart);
            let identity = self.rng.random_range(1..u64::MAX);
            self.members.push(Member::new(ahead, identity));
            self.start(n);
        }
    }

    /// Schedules the load and the faults of the scenario.
    fn schedule_scenario(&mut self) {
        let (scenario, began) = (self.scenario, self.load_began);
        self.schedule_event(began, Event::StatementDue);
        if scenario.fleet.copies.is_some() {
            self.schedule_event(began, Event::SampleSizes);
        }
        for (n, fault) in scenario.faults.iter().enumerate() {
            self.schedule_event(began + fault.at_ms as i64 * 1000, Event::FaultBegins(n));
            self.schedule_event(
                began + (fault.at_ms + fault.for_ms) as i64 * 1000,
                Event::FaultEnds(n),
            );
        }
    }

    /// The account of the run; statements at fronts that were disrupted meanwhile are excused.
    fn account(self) -> (Account, Growth) {
        let Simulation {
            engines,
            mut account,
            members,
            growth,
            ..
        } = self;
        account.rejected = engines.iter().map(|e| e.rejected).sum();
        account.peak = engines.iter().map(|e| e.peak).fold(0.0, f64::max);
        account.peaks_since_start = engines.iter().map(|e| e.peak_since_start).collect();
        for Offered { front, asked, .. } in &mut account.asked {
            let troubled = &members[*front].disruptions;
            let excused = troubled
                .iter()
                .any(|(from, to)| asked.sent <= *to && asked.answered >= *from);
            if excused {
                (asked.may_be_lost, asked.timeout) =
                    (true, asked.timeout + DISRUPTED_ANSWER_SLACK_US);
            }
        }
        (account, growth)
    }
}
