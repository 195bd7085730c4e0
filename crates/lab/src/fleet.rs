//! `hallmux-lab fleet`: many real fronts and stand-in engines in zones, a fault relay between every front and
//! every engine, a schedule of faults from a scenario file, one record of all that happened, the rules checked
//! on it, and a table by the second.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::account::{judge, warmth, Account, Offered, Run};
use crate::check::{Asked, Repeat};
use crate::engine::Records;
use crate::lines::{self, Engine};
use crate::post::Post;
use crate::relay::{Link, Relayed};
use crate::rig::{Coordinator, Front};
use crate::scenario::{Class, Fault, Scenario, What};

const SLACK_US: i64 = 400_000; // microseconds for a final answer on a busy machine
const SOCKETS: usize = 256; // descriptors each front may hold
const MOST_SEEDS: usize = 3; // fronts that each asks first, drawn: a few for all would be slow to answer them
const CLIENT_WAIT: Duration = Duration::from_secs(70); // the longest a client waits for any answer

/// A front of the fleet: its process while it runs, its own links and list.
struct Member {
    front: Mutex<Option<Front>>,
    coordinator: Coordinator,
    number: usize,
    /// Milliseconds by which its clock is ahead of the machine's.
    ahead_ms: i64,
    /// It takes no statements from clients: stopped, killed or ending.
    away: AtomicBool,
    /// Spans, in microseconds since the rig began, in which it was stopped, killed or ending: a statement out at
    /// it then may be late or lost by a fault of its own.
    troubled: Mutex<Vec<(i64, i64)>>,
}

impl Member {
    /// Starts its front, anew where it ran before; with gossip, the others it knows of are its seeds.
    fn start(&self, ground: &Ground) -> Result<u32, String> {
        let ahead = format!("clock_ahead_ms: {}", self.ahead_ms);
        let operator = match &ground.gossip {
            None => format!("{{ {ahead} }}"),
            Some((keys, post)) => {
                let mut chance = Pcg64Mcg::seed_from_u64(self.number as u64);
                let seed = |_| format!("'{}'", post.at[chance.random_range(0..post.at.len())]);
                let seeds: Vec<String> = (0..MOST_SEEDS).map(seed).collect();
                let file = keys.folder.join(format!("secret{}", self.number));
                let voters =
                    |count: usize| (0..count).map(|n| format!("f{n}: '{}'", post.at[n])).collect::<Vec<_>>();
                let ownership = keys.voters.map(|(count, lease_ms)| {
                    let directory = keys.folder.join(format!("votes{}", self.number));
                    format!(
                        ", ownership: {{ fleet: 'lab', directory: '{}', lease_ms: {lease_ms}, voters: {{ {} }} }}",
                        directory.display(),
                        voters(count).join(", ")
                    )
                });
                let ownership = ownership.unwrap_or_default();
                let quorum = keys.zone_quorum.map(|q| format!("zone_quorum: {q}, ")).unwrap_or_default();
                format!(
                    "{{ {ahead}, gossip: {{ listen: '127.0.0.1:0', advertise: '{}', secret_file: '{}', {quorum}peers: {{ {} }}, \
                     seeds: [{}]{ownership} }} }}",
                    post.at[self.number],
                    file.display(),
                    keys.peers,
                    seeds.join(", ")
                )
            }
        };
        let name = format!("f{}", self.number);
        let seed = Pcg64Mcg::seed_from_u64(ground.seed ^ (self.number as u64) << 32).random();
        let started = Front::named((&name, seed), &ground.settings, &operator, &self.coordinator, SOCKETS)?;
        let at = started.logged("talks with other fronts");
        let at = at.and_then(|line| line.rsplit(' ').next().and_then(|word| word.parse().ok()));
        if let Some(((_, post), at)) = ground.gossip.as_ref().zip(at) {
            post.front(self.number, at);
        }
        let pid = started.pid();
        if let Ok(mut front) = self.front.lock() {
            *front = Some(started);
        }
        Ok(pid)
    }
}

/// What all fronts of a run share.
struct Ground {
    seed: u64,
    settings: serde_json::Value,
    /// With gossip, the fronts' keys and the way between them.
    gossip: Option<(Keys, Post)>,
}

/// The fronts' keys for gossip: secrets in files of a folder of the run's, public halves known to all.
struct Keys {
    folder: std::path::PathBuf,
    /// `name: 'public key', ...` for the operator's file.
    peers: String,
    zone_quorum: Option<usize>,
    /// How many vote on who owns the fleet's work, and how long a lease lasts.
    voters: Option<(usize, u64)>,
}

impl Keys {
    fn new(shape: &crate::scenario::Shape, seed: u64) -> std::io::Result<Keys> {
        let folder = std::env::temp_dir().join(format!("hallmux-fleet-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
        let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x6b65_7973);
        let mut peers = Vec::new();
        for n in 0..shape.fronts {
            let secret: [u8; 32] = chance.random();
            std::fs::write(folder.join(format!("secret{n}")), hex(&secret))?;
            let public = hallmux_gossip::seal::Own::new(&secret, 0).public();
            peers.push(format!("f{n}: '{}'", hex(&public)));
        }
        let voters = shape.voters.map(|voters| (voters, shape.lease_ms));
        Ok(Keys { folder, peers: peers.join(", "), zone_quorum: shape.zone_quorum, voters })
    }
}

impl Drop for Keys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What clients saw, gathered while they run.
struct Record {
    records: Arc<Records>,
    /// Each statement with the front it was sent to.
    asked: Mutex<Vec<Offered>>,
}

/// What was agreed with the fronts of a scenario.
pub fn settings(scenario: &Scenario) -> serde_json::Value {
    let zones: Vec<String> = (0..scenario.fleet.zones).map(zone_name).collect();
    let class = |c: &Class| {
        json!({"name": c.name, "aimMs": c.slo_ms, "deadlineMs": scenario.load.timeout_ms, "worth": c.importance,
            "repeat": "repeatable", "lateShare": 0.5})
    };
    let classes: Vec<serde_json::Value> = scenario.classes.iter().map(class).collect();
    json!({"instances": scenario.fleet.fronts, "areas": zones, "kinds": ["lines"],
        "rules": {"turnGapMs": 100, "furtherRatio": 0.2, "spareAttempts": 10, "budgetSpanMs": 10000, "answerSlackMs": 20,
            "coldFrom": scenario.engine.cold_slots as f64 / scenario.engine.slots as f64,
            "warmWithinMs": scenario.engine.warm_ms, "overloadFactor": scenario.engine.overload,
            "fallMs": scenario.engine.fall_ms},
        "customers": [{"name": "acme"}], "report": {"names": ["active"], "source": "inline"},
        "bounds": {"cancelling": true, "probes": true, "mostTries": 3, "retryAfter": true, "maxRetryAfterMs": 200},
        "extra": {"sizeCores": [scenario.engine.slots], "memoryByKindMb": [scenario.engine.memory_mb]},
        "requestClasses": classes})
}

/// The name of a zone in settings and lists.
pub fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

/// Plays the scenario and checks what happened.
pub fn run(scenario: &Scenario, seed: u64) -> Result<Run, String> {
    let why = |e: std::io::Error| e.to_string();
    let records = Records::new();
    let record = Arc::new(Record { records: records.clone(), asked: Mutex::default() });
    let relayed: Arc<Mutex<Vec<Relayed>>> = Arc::default();
    let shape = &scenario.fleet;
    let engines: Vec<Arc<Engine>> = (0..shape.zones * shape.engines_per_zone)
        .map(|n| Engine::start(n, records.clone(), warmth(scenario)))
        .collect::<Result<_, _>>()
        .map_err(why)?;
    let zone_of = |engine: usize| engine / shape.engines_per_zone;
    let gossip = match shape.gossip {
        true => {
            let clock = records.clone();
            let post = Post::start(shape.fronts, move || clock.now()).map_err(why)?;
            Some((Keys::new(shape, seed).map_err(why)?, post))
        }
        false => None,
    };
    let ground = Ground { seed, settings: settings(scenario), gossip };
    let (mut links, mut members, mut pids) = (Vec::new(), Vec::new(), Vec::new());
    let mut clocks = Pcg64Mcg::seed_from_u64(seed ^ 0x636c_6f63);
    for front in 0..shape.fronts {
        let own: Vec<Arc<Link>> = engines
            .iter()
            .map(|e| {
                Link::start((front, e.number, zone_of(e.number)), e.at, records.clone(), relayed.clone())
            })
            .collect::<Result<_, _>>()
            .map_err(why)?;
        let coordinator = Coordinator::start().map_err(why)?;
        let zones: Vec<String> = own.iter().map(|l| zone_name(l.zone)).collect();
        let list: Vec<_> = own
            .iter()
            .zip(&zones)
            .map(|(l, zone)| (format!("e{}", l.engine), l.at, "lines", "up", zone.as_str()))
            .collect();
        coordinator.tell_zoned(true, &list);
        links.push(own);
        let apart = shape.clocks_apart_ms as i64;
        let member = Arc::new(Member {
            front: Mutex::default(),
            coordinator,
            number: front,
            ahead_ms: clocks.random_range(-apart..=apart),
            away: AtomicBool::new(false),
            troubled: Mutex::default(),
        });
        pids.push(member.start(&ground)?);
        members.push(member);
    }
    let began = records.now();
    let stop = Arc::new(AtomicBool::new(false));
    let load = {
        let (members, record, stop) = (members.clone(), record.clone(), stop.clone());
        let scenario = scenario.clone();
        std::thread::spawn(move || offer(&scenario, seed, &members, &record, &stop))
    };
    let stage =
        Stage { records: &records, links: &links, members: &members, engines: &engines, ground: &ground };
    let mut faults = scenario.faults.clone();
    faults.sort_by_key(|f| f.at_ms);
    let (mut played, mut ends, mut next) = (Vec::new(), Vec::<(i64, Fault)>::new(), 0);
    let over = began + scenario.seconds as i64 * 1_000_000;
    while records.now() < over || !ends.is_empty() {
        let now = records.now() - began;
        while let Some(fault) = faults.get(next).filter(|f| f.at_ms as i64 * 1000 <= now) {
            let probed =
                relayed.lock().ok().and_then(|r| r.iter().rev().find(|r| r.probes > 0).map(|r| r.front));
            let fault = fault.on(probed);
            stage.begin(&fault);
            ends.push((now + fault.for_ms as i64 * 1000, fault));
            next += 1;
        }
        let (due, later): (Vec<_>, Vec<_>) = ends.drain(..).partition(|(at, _)| *at <= now);
        ends = later;
        for (_, fault) in due {
            let from = began + fault.at_ms as i64 * 1000;
            pids.extend(stage.end(&fault)?);
            played.push((fault, from, records.now()));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, SeqCst);
    let _ = load.join();
    let mut read_again = 0;
    for member in &members {
        if let Ok(mut front) = member.front.lock() {
            read_again += front.iter().filter(|f| f.logged("was read again").is_some()).count() as i64;
            front.take(); // ends the process and waits for it
        }
    }
    let account = Account {
        began,
        asked: record.asked.lock().map(|a| a.clone()).unwrap_or_default(),
        deeds: records.deeds.lock().map(|d| d.clone()).unwrap_or_default(),
        relayed: relayed.lock().map(|r| r.clone()).unwrap_or_default(),
        posted: ground.gossip.as_ref().map(|(_, post)| post.posted()).unwrap_or_default(),
        played,
        turned_away: engines.iter().map(|e| e.turned_away.load(SeqCst) as i64).sum(),
        peak: engines.iter().map(|e| e.peak()).fold(0.0, f64::max),
        peaks_since_start: engines.iter().map(|e| e.peak_since_start()).collect(),
        read_again,
        first_tries: None,
        slack: SLACK_US,
    };
    Ok(judge(scenario, &account, pids))
}

/// All that faults are played on.
struct Stage<'a> {
    records: &'a Records,
    links: &'a [Vec<Arc<Link>>],
    members: &'a [Arc<Member>],
    engines: &'a [Arc<Engine>],
    ground: &'a Ground,
}

impl Stage<'_> {
    fn zone_links(&self, zone: usize) -> impl Iterator<Item = &Arc<Link>> {
        self.links.iter().flatten().filter(move |l| l.zone == zone)
    }

    /// The links of one front into the zone.
    fn own(&self, fault: &Fault) -> impl Iterator<Item = &Arc<Link>> {
        let zone = fault.zone;
        self.links[fault.front].iter().filter(move |l| l.zone == zone)
    }

    fn post(&self, change: impl FnOnce(&mut crate::post::State)) {
        if let Some((_, post)) = &self.ground.gossip {
            post.set(change);
        }
    }

    /// Starts a fault.
    fn begin(&self, fault: &Fault) {
        let member = &self.members[fault.front];
        match fault.what {
            What::ZoneLost => self.zone_links(fault.zone).for_each(|l| {
                l.set(|s| (s.out_lost, s.back_lost) = (true, true));
            }),
            What::LinkCut => {
                self.own(fault).for_each(|l| l.set(|s| (s.out_lost, s.back_lost) = (true, true)))
            }
            What::LinkCutBack => self.own(fault).for_each(|l| l.set(|s| s.back_lost = true)),
            What::ZoneSlow => {
                self.zone_links(fault.zone).for_each(|l| l.set(|s| s.delay_ms = fault.delay_ms))
            }
            What::ZoneReset => self.zone_links(fault.zone).for_each(|l| l.reset()),
            What::FrontsSplit => self.post(|s| s.split = Some((fault.front, false))),
            What::FrontsSplitOut => self.post(|s| s.split = Some((fault.front, true))),
            What::PostLossy => self.post(|s| s.lost_percent = fault.percent),
            What::PostDoubled => self.post(|s| s.doubled_ms = Some(fault.delay_ms)),
            What::PostSlow => self.post(|s| s.delay_ms = fault.delay_ms),
            What::Hup => {
                if let Ok(front) = member.front.lock() {
                    front.iter().for_each(|f| f.read_again(2 * SOCKETS));
                }
            }
            What::StallOwner | What::KillOwner => {} // played as what it is on the owner
            What::Stall | What::Kill | What::Term => {
                member.away.store(true, SeqCst);
                if let Ok(mut troubled) = member.troubled.lock() {
                    troubled.push((self.records.now(), i64::MAX));
                }
                let signal = match fault.what {
                    What::Stall => Signal::SIGSTOP,
                    What::Kill => Signal::SIGKILL,
                    _ => Signal::SIGTERM,
                };
                if let Ok(front) = member.front.lock() {
                    front.iter().for_each(|f| f.signal(signal));
                }
            }
        }
    }

    /// Ends a fault; a front started anew gives its process id.
    fn end(&self, fault: &Fault) -> Result<Option<u32>, String> {
        let member = &self.members[fault.front];
        let mended = || {
            if let Ok(mut troubled) = member.troubled.lock() {
                let now = self.records.now();
                troubled.iter_mut().filter(|(_, to)| *to == i64::MAX).for_each(|(_, to)| *to = now);
            }
            member.away.store(false, SeqCst);
        };
        match fault.what {
            What::ZoneLost => {
                // The zone comes back cold; discovery tells each front of the engines' new start, or does not.
                let back = self.engines.iter().filter(|e| self.links[0][e.number].zone == fault.zone);
                back.for_each(|e| e.restart());
                if fault.told {
                    self.tell_started(fault.zone);
                }
                self.zone_links(fault.zone).for_each(|l| l.reset());
                self.zone_links(fault.zone)
                    .for_each(|l| l.set(|s| (s.out_lost, s.back_lost) = (false, false)));
            }
            What::LinkCut | What::LinkCutBack => {
                self.own(fault).for_each(|l| l.reset());
                self.own(fault).for_each(|l| l.set(|s| (s.out_lost, s.back_lost) = (false, false)));
            }
            What::ZoneSlow => self.zone_links(fault.zone).for_each(|l| l.set(|s| s.delay_ms = 0)),
            What::ZoneReset | What::Hup | What::StallOwner | What::KillOwner => {}
            What::FrontsSplit | What::FrontsSplitOut => self.post(|s| s.split = None),
            What::PostLossy => self.post(|s| s.lost_percent = 0),
            What::PostDoubled => self.post(|s| s.doubled_ms = None),
            What::PostSlow => self.post(|s| s.delay_ms = 0),
            What::Stall => {
                if let Ok(front) = member.front.lock() {
                    front.iter().for_each(|f| f.signal(Signal::SIGCONT));
                }
                mended();
            }
            What::Kill | What::Term => {
                let front = member.front.lock().map(|mut f| f.take());
                if let Ok(Some(mut old)) = front {
                    let _ = old.ended();
                }
                let pid = member.start(self.ground)?;
                mended();
                return Ok(Some(pid));
            }
        }
        Ok(None)
    }

    /// Tells every front that the zone's engines have started now.
    fn tell_started(&self, zone: usize) {
        let wall_ms =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let name = zone_name(zone);
        for (own, member) in self.links.iter().zip(self.members) {
            let back = own.iter().filter(|l| l.zone == zone);
            let list: Vec<_> =
                back.map(|l| (format!("e{}", l.engine), l.at, "lines", "up", name.as_str())).collect();
            member.coordinator.tell_started(&list, wall_ms as f64);
        }
    }
}

/// Offers the load: statements at the agreed rate, each to a front drawn among those that take statements.
fn offer(scenario: &Scenario, seed: u64, members: &[Arc<Member>], record: &Arc<Record>, stop: &AtomicBool) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let began = Instant::now();
    let (load, seconds) = (&scenario.load, scenario.seconds);
    let gap = Duration::from_micros(1_000_000 / load.per_second);
    let mut waits = Vec::new();
    let mut number = 0u64;
    while !stop.load(SeqCst) && began.elapsed() < Duration::from_secs(seconds) {
        number += 1;
        let here: Vec<usize> = (0..members.len()).filter(|m| !members[*m].away.load(SeqCst)).collect();
        if let Some(&front) = here.get(chance.random_range(0..here.len().max(1))) {
            let address = members[front].front.lock().ok().and_then(|f| f.as_ref().map(|f| f.lines));
            if let Some(address) = address {
                let (record, member) = (record.clone(), members[front].clone());
                let load = load.clone();
                let class = scenario.draw_class(chance.random());
                let name = scenario.classes[class].name.clone();
                let to = (front, address, class, name);
                waits.push(std::thread::spawn(move || ask(number, to, &load, &member, &record)));
            }
        }
        let due = gap * number as u32;
        if let Some(rest) = due.checked_sub(began.elapsed()) {
            std::thread::sleep(rest);
        }
    }
    waits.into_iter().for_each(|w| _ = w.join());
}

fn ask(
    number: u64,
    (front, address, class, name): (usize, std::net::SocketAddr, usize, String),
    load: &crate::scenario::Load,
    member: &Member,
    record: &Record,
) {
    let id = format!("s{number}");
    let crate::scenario::Load { timeout_ms, work_ms, memory_mb, .. } = *load;
    let now = || record.records.now();
    let mut asked = Asked::new(id.clone(), now(), timeout_ms as i64 * 1000, Repeat::Idempotent);
    asked.rows = 1;
    let limit = timeout_ms.to_string();
    let (work, memory) = (work_ms.to_string(), memory_mb.to_string());
    let fields = [
        ("verb", name.as_str()),
        ("team", "acme"),
        ("limit", limit.as_str()),
        ("cpu", work.as_str()),
        ("heap_mb", memory.as_str()),
    ];
    let statement = format!("id={id},key=,ms={work_ms}");
    let outcome = lines::ask(address, number, &fields, &statement);
    asked.answered = now();
    // A front that was stopped or killed while the statement was out answers late or never, by its own fault.
    let troubled = member.troubled.lock().map(|t| t.clone()).unwrap_or_default();
    let excused = troubled.iter().any(|(from, to)| asked.sent <= *to && asked.answered >= *from);
    asked.may_be_lost = excused;
    if excused {
        asked.timeout += CLIENT_WAIT.as_micros() as i64;
    }
    asked.outcome = outcome;
    if let Ok(mut all) = record.asked.lock() {
        all.push(Offered { front, class, asked });
    }
}

/// A seed drawn where none is given.
pub fn seed(scenario: &Scenario, given: Option<u64>) -> u64 {
    given.or(scenario.seed).unwrap_or_else(|| u64::from(rand::random::<u32>()))
}
