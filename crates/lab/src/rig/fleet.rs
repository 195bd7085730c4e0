//! `hallmux-lab fleet`: many real fronts and stand-in engines in zones, a fault relay between every front and
//! every engine, a schedule of faults from a scenario file, one record of all that happened, the rules checked
//! on it, and a table by the second.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::agreed::{settings, zone_name};
use super::datagrams::DatagramRelay;
use super::member::{FleetConfig, Keys, Member, MemberOptions, Record};
use super::relay::{Link, Relayed};
use super::scenario::{Fault, FleetShape, Scenario, Step};
use super::stage::Stage;
use super::starvation_watch::StarvationWatch;
use super::Coordinator;
use crate::engine::lines::{Engine, RowStore};
use crate::engine::Records;
use crate::load::offer::offer;
use crate::record::account::{Account, Run};
use crate::record::judge::judge;
use crate::record::starved::Starved;
use crate::rig::agreed::warmth;

const LATELY_US: i64 = 2_000_000; // microseconds of words between fronts that count as of now
const SLACK_US: i64 = 400_000; // microseconds for a final answer on a busy machine

/// Front processes that take statements, their engines, and the ways between all of them.
pub struct Fleet {
    pub records: Arc<Records>,
    record: Arc<Record>,
    relayed: Arc<Mutex<Vec<Relayed>>>,
    engines: Vec<Arc<Engine>>,
    links: Vec<Vec<Arc<Link>>>,
    pub members: Vec<Arc<Member>>,
    config: FleetConfig,
    /// The ids of every front process that was started.
    pids: Vec<u32>,
}

impl Fleet {
    /// Starts all of them; they end with the value that is given back.
    pub fn start(scenario: &Scenario, seed: u64) -> Result<Fleet, String> {
        Fleet::start_with(scenario, seed, Vec::new(), None)
    }

    /// Starts all of them, each with what it has beside the others; they end with the value that is given back.
    pub(crate) fn start_with(
        scenario: &Scenario,
        seed: u64,
        beside: Vec<MemberOptions>,
        holds: Option<Arc<dyn RowStore>>,
    ) -> Result<Fleet, String> {
        let why = |e: std::io::Error| e.to_string();
        let records = Records::new();
        let record = Arc::new(Record {
            records: records.clone(),
            asked: Mutex::default(),
        });
        let relayed: Arc<Mutex<Vec<Relayed>>> = Arc::default();
        let shape = &scenario.fleet;
        let engines: Vec<Arc<Engine>> = (0..shape.zones * shape.engines_per_zone)
            .map(|n| Engine::with_rows(n, records.clone(), warmth(scenario), holds.clone()))
            .collect::<Result<_, _>>()
            .map_err(why)?;
        let gossip = start_gossip(shape, seed, &records).map_err(why)?;
        let config = FleetConfig {
            seed,
            settings: settings(scenario),
            beside,
            gossip,
        };
        let (mut links, mut members, mut pids) = (Vec::new(), Vec::new(), Vec::new());
        let mut clocks = Pcg64Mcg::seed_from_u64(seed ^ 0x636c_6f63);
        let apart = shape.clocks_apart_ms as i64;
        for front in 0..shape.fronts {
            let own: Vec<Arc<Link>> = engines
                .iter()
                .map(|e| {
                    let zone = e.number / shape.engines_per_zone;
                    Link::start(
                        (front, e.number, zone),
                        e.at,
                        records.clone(),
                        relayed.clone(),
                    )
                })
                .collect::<Result<_, _>>()
                .map_err(why)?;
            let coordinator = start_coordinator(&own).map_err(why)?;
            links.push(own);
            let ahead_ms = clocks.random_range(-apart..=apart);
            let program = config
                .beside
                .get(front)
                .and_then(|beside| beside.program.clone());
            let member = Arc::new(Member::new(front, coordinator, ahead_ms, program));
            pids.push(member.start(&config)?);
            members.push(member);
        }
        Ok(Fleet {
            records,
            record,
            relayed,
            engines,
            links,
            members,
            config,
            pids,
        })
    }

    /// The front that sent most bytes to others lately, of those that run and are not `but`: it owns shards of the
    /// ledger.
    pub(crate) fn busiest(&self, but: &[usize]) -> Option<usize> {
        let since = self.records.now() - LATELY_US;
        let (_, relay) = self.config.gossip.as_ref()?;
        let mut bytes = vec![0; self.members.len()];
        relay
            .datagrams()
            .iter()
            .filter(|p| p.at >= since)
            .for_each(|p| bytes[p.from] += p.bytes);
        let here =
            (0..bytes.len()).filter(|n| !but.contains(n) && !self.members[*n].away.load(SeqCst));
        here.max_by_key(|n| bytes[*n])
    }

    /// All fronts run and take statements.
    pub(crate) fn is_whole(&self) -> bool {
        self.members.iter().all(|member| !member.away.load(SeqCst))
    }

    fn stage(&self) -> Stage<'_> {
        let Fleet {
            records,
            links,
            members,
            engines,
            config,
            ..
        } = self;
        Stage {
            records,
            links,
            members,
            engines,
            config,
        }
    }

    /// Ends all fronts, and gives what was seen of them.
    fn account(&self, began: i64, played: Vec<(Fault, i64, i64)>, starved: Starved) -> Account {
        let (mut config_reloads, mut warned) = (0, Vec::new());
        let mut asked = self
            .record
            .asked
            .lock()
            .map(|a| a.clone())
            .unwrap_or_default();
        for offered in &mut asked {
            let troubled = self.members[offered.front]
                .troubled
                .lock()
                .map(|t| t.clone());
            offered.excuse(&troubled.unwrap_or_default(), &starved);
        }
        for member in &self.members {
            let when =
                |at: Instant| at.saturating_duration_since(self.records.since).as_micros() as i64;
            let said = member.said(" warn: ").into_iter();
            warned.extend(said.map(|(at, line)| (member.number, when(at), line)));
            if let Ok(mut front) = member.front.lock() {
                config_reloads += front
                    .iter()
                    .filter(|f| f.logged("was read again").is_some())
                    .count() as i64;
                front.take(); // ends the process and waits for it
            }
        }
        Account {
            began,
            asked,
            sent_by: self
                .records
                .sent_by
                .lock()
                .map(|s| s.clone())
                .unwrap_or_default(),
            arrivals: self
                .records
                .arrivals
                .lock()
                .map(|c| c.clone())
                .unwrap_or_default(),
            wire_events: self
                .records
                .wire_events
                .lock()
                .map(|w| w.clone())
                .unwrap_or_default(),
            warned,
            steps: self
                .records
                .steps
                .lock()
                .map(|s| s.clone())
                .unwrap_or_default(),
            engine_events: self
                .records
                .engine_events
                .lock()
                .map(|d| d.clone())
                .unwrap_or_default(),
            relayed: self.relayed.lock().map(|r| r.clone()).unwrap_or_default(),
            datagrams: self
                .config
                .gossip
                .as_ref()
                .map(|(_, relay)| relay.datagrams())
                .unwrap_or_default(),
            played,
            shutdowns: self
                .members
                .iter()
                .flat_map(|m| m.shutdowns.lock().map(|e| e.clone()).unwrap_or_default())
                .collect(),
            rejected: self
                .engines
                .iter()
                .map(|e| e.rejected.load(SeqCst) as i64)
                .sum(),
            peak: self.engines.iter().map(|e| e.peak()).fold(0.0, f64::max),
            peaks_since_start: self.engines.iter().map(|e| e.peak_since_start()).collect(),
            config_reloads,
            dispatched_statements: Some(self.records.dispatched_statements()),
            slack: SLACK_US,
            starved,
        }
    }
}

/// The keys of the fronts and the relay of their datagrams, where they talk with each other.
fn start_gossip(
    shape: &FleetShape,
    seed: u64,
    records: &Arc<Records>,
) -> std::io::Result<Option<(Keys, DatagramRelay)>> {
    if !shape.gossip {
        return Ok(None);
    }
    let (clock, steps) = (records.clone(), records.clone());
    let left = move |front| steps.step_reached(Step::Copying, front);
    let relay = DatagramRelay::start(shape.fronts, move || clock.now(), left)?;
    Ok(Some((Keys::new(shape, seed)?, relay)))
}

/// The coordinator of a front: engines stand in its list with the addresses of the front's own links to them.
fn start_coordinator(links: &[Arc<Link>]) -> std::io::Result<Coordinator> {
    let coordinator = Coordinator::start()?;
    let zones: Vec<String> = links.iter().map(|l| zone_name(l.zone)).collect();
    let list: Vec<_> = links
        .iter()
        .zip(&zones)
        .map(|(l, zone)| (format!("e{}", l.engine), l.at, "lines", "up", zone.as_str()))
        .collect();
    coordinator.tell_zoned(true, &list);
    Ok(coordinator)
}

/// Plays the scenario and checks what happened.
pub fn run(scenario: &Scenario, seed: u64) -> Result<Run, String> {
    let fleet = Fleet::start(scenario, seed)?;
    let (account, pids) = play(fleet, scenario, seed, &mut NoHooks)?;
    Ok(judge(scenario, &account, pids))
}

/// What is played on a fleet beside the faults of its scenario.
pub(crate) trait FleetHooks {
    /// The fronts have started; the load begins when this returns.
    fn ready(&mut self, _fleet: &Fleet) -> Result<(), String> {
        Ok(())
    }

    /// Called some hundred times a second with the microseconds since the load began; faults that begin now.
    fn turn(&mut self, _fleet: &Fleet, _since: i64) -> Vec<Fault> {
        Vec::new()
    }

    /// Whether all has been played, so that the run may end before its time.
    fn is_done(&self, _since: i64) -> bool {
        false
    }

    /// The load has ended, the fronts still run.
    fn over(&mut self, _fleet: &Fleet) {}
}

struct NoHooks;

impl FleetHooks for NoHooks {}

/// Plays the scenario with what comes beside it; gives what was seen, and the ids of all processes.
pub(crate) fn play(
    fleet: Fleet,
    scenario: &Scenario,
    seed: u64,
    beside: &mut dyn FleetHooks,
) -> Result<(Account, Vec<u32>), String> {
    beside.ready(&fleet)?;
    let began = fleet.records.now();
    let stop = Arc::new(AtomicBool::new(false));
    let load = {
        let (members, record, stop) = (fleet.members.clone(), fleet.record.clone(), stop.clone());
        let scenario = scenario.clone();
        std::thread::spawn(move || offer(&scenario, seed, &members, &record, &stop))
    };
    let watch = StarvationWatch::start(&fleet.members, &fleet.records);
    let stage = fleet.stage();
    let mut faults = scenario.faults.clone();
    faults.sort_by_key(|f| f.at_ms);
    let mut started = Vec::new();
    let (mut played, mut playing, mut next) = (Vec::new(), Vec::<(i64, i64, Fault)>::new(), 0);
    let over = began + scenario.seconds as i64 * 1_000_000;
    loop {
        let now = fleet.records.now() - began;
        if (began + now >= over || beside.is_done(now)) && playing.is_empty() {
            break;
        }
        while let Some(fault) = faults.get(next).filter(|f| f.at_ms as i64 * 1000 <= now) {
            let probed = fleet
                .relayed
                .lock()
                .ok()
                .and_then(|r| r.iter().rev().find(|r| r.probes > 0).map(|r| r.front));
            let fault = fault.on(probed);
            stage.begin(&fault);
            // From when it was in force: a busy machine may have begun it later than it was to be.
            playing.push((now + fault.for_ms as i64 * 1000, fleet.records.now(), fault));
            next += 1;
        }
        let over = |(at, _, fault): &(i64, i64, Fault)| *at <= now && !stage.still_ends(fault);
        let (due, later): (Vec<_>, Vec<_>) = playing.drain(..).partition(over);
        playing = later;
        for (_, from, fault) in due {
            started.extend(stage.end(&fault)?);
            played.push((fault, from, fleet.records.now()));
        }
        for fault in beside.turn(&fleet, now) {
            let fault = Fault {
                at_ms: now as u64 / 1000,
                ..fault
            };
            stage.begin(&fault);
            playing.push((now + fault.for_ms as i64 * 1000, fleet.records.now(), fault));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, SeqCst);
    let _ = load.join();
    beside.over(&fleet);
    let account = fleet.account(began, played, watch.end());
    let pids = fleet.pids.iter().copied().chain(started).collect();
    Ok((account, pids))
}

/// A seed drawn where none is given.
pub fn seed(scenario: &Scenario, given: Option<u64>) -> u64 {
    given
        .or(scenario.seed)
        .unwrap_or_else(|| u64::from(rand::random::<u32>()))
}
