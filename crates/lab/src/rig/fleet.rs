//! `hallmux-lab fleet`: runs real fronts and stand-in engines in zones with a fault relay between
//! every front and every engine, plays the faults of a scenario file, records all events, checks
//! them and prints a table with one row per second.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::agreed::{settings, zone_name};
use super::datagrams::DatagramRelay;
use super::member::{ClientRecord, FleetConfig, FleetKeys, Member, MemberOptions};
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

const RECENT_WINDOW_US: i64 = 2_000_000; // datagrams of this last span count as recent
const ANSWER_SLACK_US: i64 = 400_000; // extra time for a final answer on a busy machine

/// Front processes, their engines and the relays between them.
pub struct Fleet {
    pub records: Arc<Records>,
    record: Arc<ClientRecord>,
    relayed: Arc<Mutex<Vec<Relayed>>>,
    engines: Vec<Arc<Engine>>,
    links: Vec<Vec<Arc<Link>>>,
    pub members: Vec<Arc<Member>>,
    config: FleetConfig,
    /// Process ids of all fronts that were started.
    pids: Vec<u32>,
}

impl Fleet {
    /// Starts fronts, engines and relays; dropping the fleet ends them.
    pub fn start(scenario: &Scenario, seed: u64) -> Result<Fleet, String> {
        Fleet::start_with(scenario, seed, Vec::new(), None)
    }

    /// Starts a fleet with options for each front and a row store for the engines.
    pub(crate) fn start_with(
        scenario: &Scenario,
        seed: u64,
        member_options: Vec<MemberOptions>,
        row_store: Option<Arc<dyn RowStore>>,
    ) -> Result<Fleet, String> {
        let to_text = |e: std::io::Error| e.to_string();
        let records = Records::new();
        let record = Arc::new(ClientRecord {
            records: records.clone(),
            offered: Mutex::default(),
        });
        let relayed: Arc<Mutex<Vec<Relayed>>> = Arc::default();
        let shape = &scenario.fleet;
        let engines: Vec<Arc<Engine>> = (0..shape.zones * shape.engines_per_zone)
            .map(|n| Engine::with_rows(n, records.clone(), warmth(scenario), row_store.clone()))
            .collect::<Result<_, _>>()
            .map_err(to_text)?;
        let gossip = start_gossip(shape, seed, &records).map_err(to_text)?;
        let config = FleetConfig {
            seed,
            settings: settings(scenario),
            member_options,
            gossip,
        };
        let (mut links, mut members, mut pids) = (Vec::new(), Vec::new(), Vec::new());
        let mut clock_rng = Pcg64Mcg::seed_from_u64(seed ^ 0x636c_6f63);
        let max_offset_ms = shape.clocks_apart_ms as i64;
        for front in 0..shape.fronts {
            let front_links: Vec<Arc<Link>> = engines
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
                .map_err(to_text)?;
            let coordinator = start_coordinator(&front_links).map_err(to_text)?;
            links.push(front_links);
            let ahead_ms = clock_rng.random_range(-max_offset_ms..=max_offset_ms);
            let program = config
                .member_options
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

    /// The running front outside `excluded` that recently sent most bytes to its peers; it leads
    /// shards of the ledger.
    pub(crate) fn busiest_sender(&self, excluded: &[usize]) -> Option<usize> {
        let since = self.records.now() - RECENT_WINDOW_US;
        let (_, relay) = self.config.gossip.as_ref()?;
        let mut bytes = vec![0; self.members.len()];
        relay
            .datagrams()
            .iter()
            .filter(|p| p.at >= since)
            .for_each(|p| bytes[p.from] += p.bytes);
        let candidates = (0..bytes.len())
            .filter(|n| !excluded.contains(n) && !self.members[*n].unavailable.load(SeqCst));
        candidates.max_by_key(|n| bytes[*n])
    }

    /// Whether all fronts run and accept statements.
    pub(crate) fn all_accept_statements(&self) -> bool {
        self.members
            .iter()
            .all(|member| !member.unavailable.load(SeqCst))
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

    /// Ends all fronts and returns the account of the run.
    fn account(&self, began: i64, played: Vec<(Fault, i64, i64)>, starved: Starved) -> Account {
        let (mut config_reloads, mut warned) = (0, Vec::new());
        let mut asked = self
            .record
            .offered
            .lock()
            .map(|a| a.clone())
            .unwrap_or_default();
        for offered in &mut asked {
            let troubled = self.members[offered.front]
                .disruptions
                .lock()
                .map(|t| t.clone());
            offered.excuse(&troubled.unwrap_or_default(), &starved);
        }
        for member in &self.members {
            let when =
                |at: Instant| at.saturating_duration_since(self.records.since).as_micros() as i64;
            let warnings = member.log_lines(" warn: ").into_iter();
            warned.extend(warnings.map(|(at, line)| (member.number, when(at), line)));
            if let Ok(mut front) = member.front.lock() {
                config_reloads += front
                    .iter()
                    .filter(|f| f.find_log_line("was read again").is_some())
                    .count() as i64;
                front.take(); // kills the process and waits for it
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
            slack: ANSWER_SLACK_US,
            starved,
        }
    }
}

/// The fronts' keys and the datagram relay, if the scenario has gossip.
fn start_gossip(
    shape: &FleetShape,
    seed: u64,
    records: &Arc<Records>,
) -> std::io::Result<Option<(FleetKeys, DatagramRelay)>> {
    if !shape.gossip {
        return Ok(None);
    }
    let (clock, steps) = (records.clone(), records.clone());
    let left = move |front| steps.step_reached(Step::Copying, front);
    let relay = DatagramRelay::start(shape.fronts, move || clock.now(), left)?;
    Ok(Some((FleetKeys::new(shape, seed)?, relay)))
}

/// Starts the coordinator of a front, which lists engines under the addresses of the front's own
/// links.
fn start_coordinator(links: &[Arc<Link>]) -> std::io::Result<Coordinator> {
    let coordinator = Coordinator::start()?;
    let zones: Vec<String> = links.iter().map(|l| zone_name(l.zone)).collect();
    let list: Vec<_> = links
        .iter()
        .zip(&zones)
        .map(|(l, zone)| {
            (
                format!("e{}", l.engine),
                l.address,
                "lines",
                "up",
                zone.as_str(),
            )
        })
        .collect();
    coordinator.announce_with_zones(true, &list);
    Ok(coordinator)
}

/// Runs the scenario and checks its record.
pub fn run(scenario: &Scenario, seed: u64) -> Result<Run, String> {
    let fleet = Fleet::start(scenario, seed)?;
    let (account, pids) = play(fleet, scenario, seed, &mut NoHooks)?;
    Ok(judge(scenario, &account, pids))
}

/// Hooks for what a run does in addition to the faults of its scenario.
pub(crate) trait FleetHooks {
    /// Called when the fronts have started; the load starts when this returns.
    fn on_ready(&mut self, _fleet: &Fleet) -> Result<(), String> {
        Ok(())
    }

    /// Called about every 5 ms with the microseconds since the load started; returns faults that
    /// start now.
    fn poll(&mut self, _fleet: &Fleet, _since: i64) -> Vec<Fault> {
        Vec::new()
    }

    /// Whether the run may end before its scheduled time.
    fn is_done(&self, _since: i64) -> bool {
        false
    }

    /// Called when the load has ended and the fronts still run.
    fn on_load_ended(&mut self, _fleet: &Fleet) {}
}

struct NoHooks;

impl FleetHooks for NoHooks {}

/// Runs the scenario with hooks; returns the account and the process ids of all fronts.
pub(crate) fn play(
    fleet: Fleet,
    scenario: &Scenario,
    seed: u64,
    hooks: &mut dyn FleetHooks,
) -> Result<(Account, Vec<u32>), String> {
    hooks.on_ready(&fleet)?;
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
    let (mut played, mut active, mut next) = (Vec::new(), Vec::<(i64, i64, Fault)>::new(), 0);
    let over = began + scenario.seconds as i64 * 1_000_000;
    loop {
        let now = fleet.records.now() - began;
        if (began + now >= over || hooks.is_done(now)) && active.is_empty() {
            break;
        }
        while let Some(fault) = faults.get(next).filter(|f| f.at_ms as i64 * 1000 <= now) {
            let last_prober = fleet
                .relayed
                .lock()
                .ok()
                .and_then(|r| r.iter().rev().find(|r| r.probes > 0).map(|r| r.front));
            let fault = fault.resolve_owner(last_prober);
            stage.begin(&fault);
            // The span starts now: a busy machine may have started the fault later than scheduled.
            active.push((now + fault.for_ms as i64 * 1000, fleet.records.now(), fault));
            next += 1;
        }
        let over =
            |(at, _, fault): &(i64, i64, Fault)| *at <= now && !stage.is_shutting_down(fault);
        let (due, later): (Vec<_>, Vec<_>) = active.drain(..).partition(over);
        active = later;
        for (_, from, fault) in due {
            started.extend(stage.end(&fault)?);
            played.push((fault, from, fleet.records.now()));
        }
        for fault in hooks.poll(&fleet, now) {
            let fault = Fault {
                at_ms: now as u64 / 1000,
                ..fault
            };
            stage.begin(&fault);
            active.push((now + fault.for_ms as i64 * 1000, fleet.records.now(), fault));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, SeqCst);
    let _ = load.join();
    hooks.on_load_ended(&fleet);
    let account = fleet.account(began, played, watch.end());
    let pids = fleet.pids.iter().copied().chain(started).collect();
    Ok((account, pids))
}

/// The given seed, else the scenario's, else a random one.
pub fn choose_seed(scenario: &Scenario, given: Option<u64>) -> u64 {
    given
        .or(scenario.seed)
        .unwrap_or_else(|| u64::from(rand::random::<u32>()))
}
