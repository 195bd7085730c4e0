//! `hallmux-lab fleet`: many real fronts and stand-in engines in zones, a fault relay between every front and
//! every engine, a schedule of faults from a scenario file, one record of all that happened, the rules checked
//! on it, and a table by the second.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::check::{self, Agreed, Asked, Outcome, Repeat};
use crate::engine::Records;
use crate::lines::{self, Engine, Warmth};
use crate::relay::{Link, Relayed};
use crate::rig::{Coordinator, Front};
use crate::scenario::{Fault, Scenario, What};

const SLACK_US: i64 = 400_000; // microseconds for a final answer on a busy machine
const SOCKETS: usize = 256; // descriptors each front may hold
const CLIENT_WAIT: Duration = Duration::from_secs(70); // the longest a client waits for any answer

/// What a run came to: tallies, the check's findings and the table by the second.
pub struct Run {
    pub tallies: BTreeMap<&'static str, i64>,
    pub violations: check::Violations,
    pub table: String,
    /// The ids of every front process that was started, to be looked for afterwards.
    pub pids: Vec<u32>,
}

impl Run {
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.tallies.get("faults_played") == self.tallies.get("faults")
    }

    pub fn line(&self) -> String {
        let tallies = self.tallies.iter().map(|(k, v)| format!("{k}={v}"));
        let violations =
            self.violations.iter().map(|(rule, seen)| format!("violations_{rule}={}", seen.len()));
        tallies.chain(violations).collect::<Vec<_>>().join(" ")
    }
}

/// A front of the fleet: its process while it runs, its own links and list.
struct Member {
    front: Mutex<Option<Front>>,
    coordinator: Coordinator,
    /// Where it hears other fronts while it runs.
    heard_at: Mutex<Option<String>>,
    /// It takes no statements from clients: stopped, killed or ending.
    away: AtomicBool,
    /// Spans, in microseconds since the rig began, in which it was stopped, killed or ending: a statement out at
    /// it then may be late or lost by a fault of its own.
    troubled: Mutex<Vec<(i64, i64)>>,
}

impl Member {
    /// Starts its front, anew where it ran before; with gossip, the others it knows of are its seeds.
    fn start(
        &self,
        number: usize,
        settings: &serde_json::Value,
        keys: Option<&Keys>,
        members: &[Arc<Member>],
    ) -> Result<u32, String> {
        let operator = match keys {
            None => "{}".to_string(),
            Some(keys) => {
                let heard = |m: &Arc<Member>| m.heard_at.lock().ok().and_then(|at| at.clone());
                let seeds: Vec<String> =
                    members.iter().filter_map(heard).map(|at| format!("'{at}'")).collect();
                let file = keys.folder.join(format!("secret{number}"));
                let quorum = keys.zone_quorum.map(|q| format!("zone_quorum: {q}, ")).unwrap_or_default();
                format!(
                    "{{ gossip: {{ listen: '127.0.0.1:0', secret_file: '{}', {quorum}peers: {{ {} }}, seeds: [{}] }} }}",
                    file.display(),
                    keys.peers,
                    seeds.join(", ")
                )
            }
        };
        let started = Front::named(&format!("f{number}"), settings, &operator, &self.coordinator, SOCKETS)?;
        let at =
            started.logged("talks with other fronts").and_then(|l| l.rsplit(' ').next().map(str::to_string));
        let pid = started.pid();
        if let (Ok(mut front), Ok(mut heard)) = (self.front.lock(), self.heard_at.lock()) {
            (*front, *heard) = (Some(started), at);
        }
        Ok(pid)
    }
}

/// The fronts' keys for gossip: secrets in files of a folder of the run's, public halves known to all.
struct Keys {
    folder: std::path::PathBuf,
    /// `name: 'public key', ...` for the operator's file.
    peers: String,
    zone_quorum: Option<usize>,
}

impl Keys {
    fn new(fronts: usize, seed: u64, zone_quorum: Option<usize>) -> std::io::Result<Keys> {
        let folder = std::env::temp_dir().join(format!("hallmux-fleet-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
        let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x6b65_7973);
        let mut peers = Vec::new();
        for n in 0..fronts {
            let secret: [u8; 32] = chance.random();
            std::fs::write(folder.join(format!("secret{n}")), hex(&secret))?;
            let public = hallmux_gossip::seal::Own::new(&secret, 0).public();
            peers.push(format!("f{n}: '{}'", hex(&public)));
        }
        Ok(Keys { folder, peers: peers.join(", "), zone_quorum })
    }
}

impl Drop for Keys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What happened, as the rig saw it.
struct Record {
    records: Arc<Records>,
    relayed: Arc<Mutex<Vec<Relayed>>>,
    /// Each statement with the front it was sent to.
    asked: Mutex<Vec<(usize, Asked)>>,
    /// Faults as played: what, from, to.
    played: Mutex<Vec<(Fault, i64, i64)>>,
}

fn settings(scenario: &Scenario) -> serde_json::Value {
    let zones: Vec<String> = (0..scenario.fleet.zones).map(zone_name).collect();
    let class = json!({"name": "lookup", "aimMs": scenario.load.timeout_ms / 2, "deadlineMs": scenario.load.timeout_ms,
        "repeat": "repeatable", "lateShare": 0.5});
    json!({"instances": scenario.fleet.fronts, "areas": zones, "kinds": ["lines"],
        "rules": {"turnGapMs": 100, "furtherRatio": 0.2, "spareAttempts": 10, "budgetSpanMs": 10000, "answerSlackMs": 20,
            "coldFrom": scenario.engine.cold_slots as f64 / scenario.engine.slots as f64,
            "warmWithinMs": scenario.engine.warm_ms},
        "customers": [{"name": "acme"}],
        "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true, "maxRetryAfterMs": 200},
        "extra": {"sizeCores": [scenario.engine.slots], "memoryByKindMb": [16384]},
        "requestClasses": [class]})
}

fn zone_name(zone: usize) -> String {
    format!("z{zone}")
}

/// Plays the scenario and checks what happened.
pub fn run(scenario: &Scenario, seed: u64) -> Result<Run, String> {
    let why = |e: std::io::Error| e.to_string();
    let records = Records::new();
    let record = Arc::new(Record {
        records: records.clone(),
        relayed: Arc::default(),
        asked: Mutex::default(),
        played: Mutex::default(),
    });
    let shape = &scenario.fleet;
    let warmth = Warmth {
        cold: scenario.engine.cold_slots,
        warm: scenario.engine.slots,
        warm_us: scenario.engine.warm_ms as i64 * 1000,
    };
    let engines: Vec<Arc<Engine>> = (0..shape.zones * shape.engines_per_zone)
        .map(|n| Engine::start(n, records.clone(), warmth))
        .collect::<Result<_, _>>()
        .map_err(why)?;
    let zone_of = |engine: usize| engine / shape.engines_per_zone;
    let mut links = Vec::new();
    let mut members = Vec::new();
    let mut pids = Vec::new();
    let settings = settings(scenario);
    let keys = Keys::new(shape.fronts, seed, shape.zone_quorum).map_err(why)?;
    for front in 0..shape.fronts {
        let own: Vec<Arc<Link>> = engines
            .iter()
            .map(|e| {
                Link::start(
                    (front, e.number, zone_of(e.number)),
                    e.at,
                    records.clone(),
                    record.relayed.clone(),
                )
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
        let member = Arc::new(Member {
            front: Mutex::default(),
            coordinator,
            heard_at: Mutex::default(),
            away: AtomicBool::new(false),
            troubled: Mutex::default(),
        });
        pids.push(member.start(front, &settings, shape.gossip.then_some(&keys), &members)?);
        members.push(member);
    }
    let began = records.now();
    let stop = Arc::new(AtomicBool::new(false));
    let load = {
        let (members, record, stop) = (members.clone(), record.clone(), stop.clone());
        let (load, seconds) = (scenario.load.clone(), scenario.seconds);
        std::thread::spawn(move || offer(&load, seconds, seed, &members, &record, &stop))
    };
    let mut faults = scenario.faults.clone();
    faults.sort_by_key(|f| f.at_ms);
    let mut restarted = Vec::new();
    let mut ends: Vec<(i64, Fault)> = Vec::new();
    let mut next = 0;
    let over = began + scenario.seconds as i64 * 1_000_000;
    while records.now() < over || !ends.is_empty() {
        let now = records.now() - began;
        while let Some(fault) = faults.get(next).filter(|f| f.at_ms as i64 * 1000 <= now) {
            begin(fault, &links, &members, &records);
            ends.push((now + fault.for_ms as i64 * 1000, fault.clone()));
            next += 1;
        }
        let (due, later): (Vec<_>, Vec<_>) = ends.drain(..).partition(|(at, _)| *at <= now);
        ends = later;
        for (_, fault) in due {
            let from = began + fault.at_ms as i64 * 1000;
            if let Some(pid) = end(
                records.now(),
                &fault,
                &links,
                &members,
                &engines,
                (&settings, shape.gossip.then_some(&keys)),
            )? {
                restarted.push(pid);
            }
            if let Ok(mut played) = record.played.lock() {
                played.push((fault, from, records.now()));
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, SeqCst);
    let _ = load.join();
    pids.extend(restarted);
    for member in &members {
        if let Ok(mut front) = member.front.lock() {
            front.take(); // ends the process and waits for it
        }
    }
    Ok(judge(scenario, began, &record, &engines, pids))
}

/// Starts a fault.
fn begin(fault: &Fault, links: &[Vec<Arc<Link>>], members: &[Arc<Member>], records: &Records) {
    let into_zone = || links.iter().flatten().filter(|l| l.zone == fault.zone);
    let own = || links[fault.front].iter().filter(|l| l.zone == fault.zone);
    let member = &members[fault.front];
    let excuse = |member: &Member| {
        if let Ok(mut troubled) = member.troubled.lock() {
            troubled.push((records.now(), i64::MAX));
        }
    };
    match fault.what {
        What::ZoneLost => into_zone().for_each(|l| {
            l.set(|s| (s.out_lost, s.back_lost) = (true, true));
        }),
        What::LinkCut => own().for_each(|l| l.set(|s| (s.out_lost, s.back_lost) = (true, true))),
        What::LinkCutBack => own().for_each(|l| l.set(|s| s.back_lost = true)),
        What::ZoneSlow => into_zone().for_each(|l| l.set(|s| s.delay_ms = fault.delay_ms)),
        What::ZoneReset => into_zone().for_each(|l| l.reset()),
        What::Stall | What::Kill | What::Term => {
            member.away.store(true, SeqCst);
            excuse(member);
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
fn end(
    now: i64,
    fault: &Fault,
    links: &[Vec<Arc<Link>>],
    members: &[Arc<Member>],
    engines: &[Arc<Engine>],
    (settings, keys): (&serde_json::Value, Option<&Keys>),
) -> Result<Option<u32>, String> {
    let into_zone = || links.iter().flatten().filter(|l| l.zone == fault.zone);
    let own = || links[fault.front].iter().filter(|l| l.zone == fault.zone);
    let member = &members[fault.front];
    let mended = |member: &Member| {
        if let Ok(mut troubled) = member.troubled.lock() {
            troubled.iter_mut().filter(|(_, to)| *to == i64::MAX).for_each(|(_, to)| *to = now);
        }
    };
    match fault.what {
        What::ZoneLost => {
            // The zone comes back cold, and discovery tells each front of the engines' new start.
            engines.iter().filter(|e| into_zone().any(|l| l.engine == e.number)).for_each(|e| e.restart());
            let wall_ms = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .map_or(0, |d| d.as_millis());
            for (own, member) in links.iter().zip(members) {
                let zone = zone_name(fault.zone);
                let back = own.iter().filter(|l| l.zone == fault.zone);
                let list: Vec<_> =
                    back.map(|l| (format!("e{}", l.engine), l.at, "lines", "up", zone.as_str())).collect();
                member.coordinator.tell_started(&list, wall_ms as f64);
            }
            into_zone().for_each(|l| l.reset());
            into_zone().for_each(|l| l.set(|s| (s.out_lost, s.back_lost) = (false, false)));
        }
        What::LinkCut | What::LinkCutBack => {
            own().for_each(|l| l.reset());
            own().for_each(|l| l.set(|s| (s.out_lost, s.back_lost) = (false, false)));
        }
        What::ZoneSlow => into_zone().for_each(|l| l.set(|s| s.delay_ms = 0)),
        What::ZoneReset => {}
        What::Stall => {
            if let Ok(front) = member.front.lock() {
                front.iter().for_each(|f| f.signal(Signal::SIGCONT));
            }
            mended(member);
            member.away.store(false, SeqCst);
        }
        What::Kill | What::Term => {
            let front = member.front.lock().map(|mut f| f.take());
            if let Ok(Some(mut old)) = front {
                let _ = old.ended();
            }
            let pid = member.start(fault.front, settings, keys, members)?;
            mended(member);
            member.away.store(false, SeqCst);
            return Ok(Some(pid));
        }
    }
    Ok(None)
}

/// Offers the load: statements at the agreed rate, each to a front drawn among those that take statements.
fn offer(
    load: &crate::scenario::Load,
    seconds: u64,
    seed: u64,
    members: &[Arc<Member>],
    record: &Arc<Record>,
    stop: &AtomicBool,
) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let began = Instant::now();
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
                let (timeout, work) = (load.timeout_ms, load.work_ms);
                waits.push(std::thread::spawn(move || {
                    ask(number, front, address, timeout, work, &member, &record)
                }));
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
    front: usize,
    address: std::net::SocketAddr,
    timeout_ms: u64,
    work_ms: u64,
    member: &Member,
    record: &Record,
) {
    let id = format!("s{number}");
    let now = || record.records.now();
    let mut asked = Asked::new(id.clone(), now(), timeout_ms as i64 * 1000, Repeat::Idempotent);
    asked.rows = 1;
    let limit = timeout_ms.to_string();
    let fields = [("verb", "lookup"), ("team", "acme"), ("limit", limit.as_str())];
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
        all.push((front, asked));
    }
}

/// Checks the rules over the record and draws up the tallies and the table.
fn judge(scenario: &Scenario, began: i64, record: &Record, engines: &[Arc<Engine>], pids: Vec<u32>) -> Run {
    let asked: Vec<(usize, Asked)> = record.asked.lock().map(|a| a.clone()).unwrap_or_default();
    let relayed: Vec<Relayed> = record.relayed.lock().map(|r| r.clone()).unwrap_or_default();
    let played: Vec<(Fault, i64, i64)> = record.played.lock().map(|p| p.clone()).unwrap_or_default();
    let deeds = record.records.deeds.lock().map(|d| d.clone()).unwrap_or_default();
    let statements: Vec<Asked> = asked.iter().map(|(_, a)| a.clone()).collect();
    let agreed = Agreed { slack: SLACK_US, ..Agreed::default() };
    let violations = check::check(&statements, &[], &deeds, &agreed);
    let mut tallies = BTreeMap::new();
    let count = |f: &dyn Fn(&Outcome) -> bool| statements.iter().filter(|a| f(&a.outcome)).count() as i64;
    tallies.insert("statements", statements.len() as i64);
    tallies.insert("completed", count(&|o| matches!(o, Outcome::Completed { .. })));
    tallies.insert("refused", count(&|o| matches!(o, Outcome::Error(_))));
    tallies.insert("unanswered", count(&|o| matches!(o, Outcome::Lost | Outcome::Nothing | Outcome::Spoilt)));
    tallies.insert("excused", statements.iter().filter(|a| a.may_be_lost).count() as i64);
    tallies.insert("faults", scenario.faults.len() as i64);
    tallies.insert("faults_played", played.len() as i64);
    tallies.insert("turned_away_by_engines", engines.iter().map(|e| e.turned_away.load(SeqCst) as i64).sum());
    let peak = engines.iter().map(|e| e.peak()).fold(0.0, f64::max);
    tallies.insert("peak_load_over_bound_pct", (peak * 100.0).round() as i64);
    // What was asked of the engines of a zone that came back cold, against what they bore, since they started anew.
    let lost: Vec<usize> =
        played.iter().filter(|(f, _, _)| f.what == What::ZoneLost).map(|(f, _, _)| f.zone).collect();
    if !lost.is_empty() {
        let per_zone = scenario.fleet.engines_per_zone;
        let back = engines.iter().filter(|e| lost.contains(&(e.number / per_zone)));
        let peak = back.map(|e| e.peak_since_start()).fold(0.0, f64::max);
        tallies.insert("return_peak_over_bound_pct", (peak * 100.0).round() as i64);
        let after = |r: &&Relayed| {
            r.passed
                && played.iter().any(|(f, _, to)| f.what == What::ZoneLost && f.zone == r.zone && r.at > *to)
        };
        tallies.insert("returned_sent", relayed.iter().filter(after).map(|r| r.statements as i64).sum());
    }
    // For each lost zone or cut link: how long after the loss a statement was still sent into it.
    for (fault, from, to) in &played {
        let towards = |r: &&Relayed| r.zone == fault.zone && r.at >= *from && r.at <= *to && !r.passed;
        let mine = |r: &&Relayed| fault.what == What::ZoneLost || r.front == fault.front;
        let last = relayed.iter().filter(towards).filter(mine).map(|r| r.at).max();
        let key = match fault.what {
            What::ZoneLost => "zone_lost_last_sent_ms",
            What::LinkCut => "link_cut_last_sent_ms",
            _ => continue,
        };
        let ms = last.map_or(0, |at| (at - from) / 1000);
        let entry = tallies.entry(key).or_insert(0);
        *entry = (*entry).max(ms);
        let sent = relayed.iter().filter(towards).filter(mine).map(|r| r.statements as i64).sum::<i64>();
        if fault.what == What::LinkCut {
            // The others keep the zone: what they sent there while one front alone was cut off from it.
            let others =
                |r: &&Relayed| r.zone == fault.zone && r.at >= *from && r.at <= *to && r.front != fault.front;
            let kept = relayed.iter().filter(others).map(|r| r.statements as i64).sum::<i64>();
            *tallies.entry("link_cut_others_sent").or_insert(0) += kept;
        }
        *tallies
            .entry(if fault.what == What::ZoneLost { "zone_lost_sent" } else { "link_cut_sent" })
            .or_insert(0) += sent;
    }
    let table = table(scenario, began, &asked, &relayed);
    Run { tallies, violations, table, pids }
}

/// A line a second: statements sent, completed, refused and unanswered; statements relayed into each zone, and of
/// them those that were lost on the way.
fn table(scenario: &Scenario, began: i64, asked: &[(usize, Asked)], relayed: &[Relayed]) -> String {
    let zones = scenario.fleet.zones;
    let seconds = scenario.seconds as usize + 1;
    let mut rows = vec![(0, 0, 0, 0, vec![(0, 0); zones]); seconds];
    let second = |at: i64| (((at - began).max(0)) / 1_000_000) as usize;
    for (_, a) in asked {
        let Some(row) = rows.get_mut(second(a.sent)) else { continue };
        row.0 += 1;
        match a.outcome {
            Outcome::Completed { .. } => row.1 += 1,
            Outcome::Error(_) => row.2 += 1,
            _ => row.3 += 1,
        }
    }
    for r in relayed {
        let Some(row) = rows.get_mut(second(r.at)) else { continue };
        row.4[r.zone].0 += r.statements;
        if !r.passed {
            row.4[r.zone].1 += r.statements;
        }
    }
    let zone_heads: String = (0..zones).map(|z| format!("  into z{z} (lost)")).collect();
    let mut out = format!("second  sent  completed  refused  unanswered{zone_heads}\n");
    for (n, (sent, completed, refused, unanswered, into)) in rows.iter().enumerate() {
        let into: String = into.iter().map(|(all, lost)| format!("  {all:>7} ({lost:>4})")).collect();
        out.push_str(&format!("{n:>6}  {sent:>4}  {completed:>9}  {refused:>7}  {unanswered:>10}{into}\n"));
    }
    out
}

/// A seed drawn where none is given.
pub fn seed(scenario: &Scenario, given: Option<u64>) -> u64 {
    given.or(scenario.seed).unwrap_or_else(|| u64::from(rand::random::<u32>()))
}
