//! `prove postgres`: a real front among engines that crash, drain, reset, stall, answer late and lose commits,
//! with clients of a library and scripted sessions. All is drawn from the seed.

mod clients;
pub mod deaths;
pub mod disks;
mod faults;
mod keys;
pub mod long;
mod looks;
mod played;
pub mod promises;
pub mod roll;
pub mod rules;
mod shape;
pub mod sites;

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use self::clients::client;
use self::faults::{play_drains, play_faults, FAULTS};
use self::keys::both_protocols;
use self::looks::{stood, Memory};
use crate::check::{check, Agreed, Asked, Outcome, Repeat, Transaction};
use crate::engine::{Engine, Records};
use crate::rig::{Coordinator, Front};
use crate::{lines, scripted};

const ENGINES: usize = 5; // the last two are of the kind that bound statements need
const CLIENTS: usize = 48;
const LONGEST: Duration = Duration::from_secs(45); // until no more is asked, however little was accepted
const TIMEOUT: i64 = 3_000_000; // microseconds: the agreed statement timeout of all workloads
const SLACK: i64 = 400_000; // microseconds for a final answer on a busy machine
const GRACE: i64 = 2_000_000; // microseconds after which nothing new goes to an engine that drains

/// What a run is to be.
#[derive(Clone, Copy)]
pub struct Size {
    pub seed: u64,
    pub units: usize,
    /// How often each fault is played at least.
    pub rounds: usize,
}

/// All that is written down of a run.
pub struct Notes {
    pub records: Arc<Records>,
    pub asked: Mutex<Vec<Asked>>,
    pub transactions: Mutex<Vec<Transaction>>,
    pub count: AtomicUsize,
    pub ends: AtomicBool,
    /// All clients have ended.
    done: AtomicBool,
    /// How often each fault was played by now, and engines drained.
    rounds: AtomicUsize,
    drains: AtomicUsize,
    next: AtomicU64,
}

impl Notes {
    pub fn id(&self) -> String {
        self.next.fetch_add(1, SeqCst).to_string()
    }

    pub fn note(&self, asked: Asked) {
        if matches!(asked.outcome, Outcome::Completed { .. } | Outcome::Error(_)) {
            self.count.fetch_add(1, SeqCst);
        }
        if let Ok(mut all) = self.asked.lock() {
            all.push(asked);
        }
    }

    /// A statement that is about to be asked.
    pub fn fresh(&self, repeat: Repeat) -> Asked {
        Asked::new(self.id(), self.records.now(), TIMEOUT, repeat)
    }

    pub fn over(&self) -> bool {
        self.ends.load(SeqCst)
    }

    fn done(&self) -> bool {
        self.done.load(SeqCst)
    }
}

/// The line of a run's result: its tallies, and whether it passed.
pub fn postgres(size: Size) -> Result<(bool, String), String> {
    let began = Instant::now();
    let why = |e: std::io::Error| e.to_string();
    let records = Records::new();
    let engines = (0..ENGINES).map(|n| Engine::start(n, records.clone(), true));
    let engines: Vec<Arc<Engine>> = engines.collect::<Result<_, _>>().map_err(why)?;
    let lines_at = lines::engine(ENGINES, records.clone()).map_err(why)?;
    let coordinator = Arc::new(Coordinator::start().map_err(why)?);
    let mut list: Vec<_> = engines.iter().map(|e| (name(e.number), e.at, kind(e.number), "up")).collect();
    list.push((name(ENGINES), lines_at, "lines", "up"));
    coordinator.tell(true, &list);
    let mut front = Front::start(&settings(), OPERATOR, &coordinator, 2048)?;
    let notes = Arc::new(Notes {
        records: records.clone(),
        asked: Mutex::default(),
        transactions: Mutex::default(),
        count: AtomicUsize::new(0),
        ends: AtomicBool::new(false),
        done: AtomicBool::new(false),
        rounds: AtomicUsize::new(0),
        drains: AtomicUsize::new(0),
        next: AtomicU64::new(1),
    });
    let faults = {
        let (engines, coordinator, notes) = (engines.clone(), coordinator.clone(), notes.clone());
        let seed = size.seed;
        std::thread::spawn(move || play_drains(seed, &engines, &coordinator, &notes))
    };
    let others = {
        let (engines, notes, seed) = (engines.clone(), notes.clone(), size.seed);
        std::thread::spawn(move || play_faults(seed, &engines, &notes))
    };
    let keys = {
        let (notes, lines) = (notes.clone(), front.lines);
        let seed = size.seed;
        let sessions = front.sessions;
        std::thread::spawn(move || both_protocols(seed, lines, sessions, &notes))
    };
    let scripts: Vec<_> = (0..6)
        .map(|n| {
            let (notes, at, seed) = (notes.clone(), front.sessions, size.seed);
            std::thread::spawn(move || scripted::play(seed ^ (n << 32), at, &notes))
        })
        .collect();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    let runtime = runtime.map_err(why)?;
    let port = front.sessions.port();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| runtime.spawn(client(size.seed.wrapping_add(n as u64 * 7919), port, notes.clone())))
        .collect();
    let waits = {
        let (notes, front) = (notes.clone(), front.pid());
        std::thread::spawn(move || stood(front, &notes))
    };
    let mut memory = Memory::default();
    let enough = || {
        let played = notes.rounds.load(SeqCst).min(notes.drains.load(SeqCst));
        notes.count.load(SeqCst) >= size.units && played >= size.rounds
    };
    while began.elapsed() < LONGEST && !enough() && front.is_up() {
        std::thread::sleep(Duration::from_millis(20));
        memory.look(notes.count.load(SeqCst), front.memory_kb());
    }
    let mut wrong: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    if !front.is_up() {
        wrong.entry("front").or_default().push(format!("it ended: {:?}", front.last()));
    }
    // The planned end comes while clients ask and transactions are open.
    let open = scripted::open_transactions(front.sessions, &notes, 3);
    let ended_at = records.now();
    front.terminate();
    notes.ends.store(true, SeqCst);
    let ended = front.ended();
    if ended.is_none_or(|(well, _)| !well) {
        wrong.entry("front").or_default().push(format!("after SIGTERM: {ended:?}"));
    }
    runtime.block_on(async {
        for client in clients {
            let _ = tokio::time::timeout(Duration::from_secs(6), client).await;
        }
    });
    for script in scripts {
        let _ = script.join();
    }
    let told = open.into_iter().map(scripted::Open::was_told).filter(|told| *told).count();
    let drained = faults.join().map_err(|_| "drains")?;
    let played = others.join().map_err(|_| "faults")?;
    let _ = keys.join();
    notes.done.store(true, SeqCst);
    let stood = waits.join().map_err(|_| "looks")?;
    runtime.shutdown_timeout(Duration::from_secs(2));
    let asked = notes.asked.lock().map_err(|e| e.to_string())?.clone();
    // Where the front has ended, what came late was no longer its to answer.
    let asked: Vec<Asked> = asked
        .into_iter()
        .map(|a| Asked { may_be_lost: a.may_be_lost || a.answered > ended_at - 1, ..a })
        .filter(|a| !(a.sent > ended_at && matches!(a.outcome, Outcome::Lost | Outcome::Nothing)))
        .collect();
    let transactions = notes.transactions.lock().map_err(|e| e.to_string())?.clone();
    let deeds = records.deeds.lock().map_err(|e| e.to_string())?.clone();
    let agreed = Agreed {
        grace: GRACE,
        slack: SLACK,
        stood,
        bound_to: HashSet::from([ENGINES - 2, ENGINES - 1]),
        further: Some((10.0, 0.2, 10_000_000)),
        drains: drained,
    };
    for (rule, found) in check(&asked, &transactions, &deeds, &agreed) {
        wrong.entry(rule).or_default().extend(found);
    }
    wrong.entry("memory").or_default().extend(memory.wrong());
    let accepted = notes.count.load(SeqCst);
    let mut tallies = BTreeMap::from([
        ("accepted", accepted),
        ("asked", asked.len()),
        ("transactions", transactions.len()),
        ("drains", agreed.drains.len()),
        ("told_at_end", told),
        ("memory_kb", memory.late_kb as usize),
        ("settled_kb", memory.early_kb as usize),
        ("stood_ms", (agreed.stood.looks.last().map_or(0, |(_, stood)| *stood) / 1000) as usize),
        ("seconds", began.elapsed().as_secs() as usize),
    ]);
    for a in &asked {
        let what = match &a.outcome {
            Outcome::Completed { .. } => "completed".to_string(),
            Outcome::Error(_) if a.fails.is_some() => "own_errors".to_string(),
            Outcome::Error(code) => format!("e{code}"),
            other => format!("{other:?}").to_lowercase(),
        };
        *tallies.entry(Box::leak(what.into_boxed_str())).or_default() += 1;
    }
    for (fault, count) in played {
        *tallies.entry(fault).or_default() += count;
    }
    // A run in which too little happened proves nothing.
    if accepted < size.units {
        wrong.entry("run").or_default().push(format!("{accepted} of {} units", size.units));
    }
    // Faults are short: what runs into its time limit without having been asked to stands still somewhere.
    let stood = |a: &&Asked| !a.cancels && a.outcome == Outcome::Error("57014".into());
    let stood = asked.iter().filter(stood).count();
    if stood * 50 > accepted {
        wrong.entry("run").or_default().push(format!("{stood} ran into their time limit"));
    }
    // Nor are engines so short that much is turned away.
    let turned_away = asked.iter().filter(|a| a.outcome == Outcome::Error("53000".into())).count();
    if turned_away * 20 > accepted {
        wrong.entry("run").or_default().push(format!("{turned_away} turned away"));
    }
    for fault in FAULTS.into_iter().chain(["drains"]) {
        if tallies.get(fault).copied().unwrap_or(0) < size.rounds {
            wrong.entry("run").or_default().push(format!("{fault} were not played {} times", size.rounds));
        }
    }
    let count: usize = wrong.values().map(Vec::len).sum();
    for (rule, found) in &wrong {
        for what in found.iter().take(12) {
            eprintln!("{rule}: {what}");
        }
    }
    tallies.insert("violations", count);
    let line: Vec<String> = tallies.iter().map(|(key, value)| format!("{key}={value}")).collect();
    Ok((count == 0, line.join(" ")))
}

fn name(engine: usize) -> String {
    format!("e{engine}")
}

fn kind(engine: usize) -> &'static str {
    if engine >= ENGINES - 2 {
        "big"
    } else {
        "std"
    }
}

const OPERATOR: &str = "{ postgres: { listen: '127.0.0.1:0', engines: [{ kinds: ['std', 'big'] }],
    users: {
        portal: { trust: true, member: 'acme', workload: 'lookup' },
        nobody: { trust: true, member: 'acme' },
    },
    limits: { transaction_idle_ms: 5000, buffer_bytes: 32768, prepared: 8, engine_connections: 24 } } }";

fn settings() -> serde_json::Value {
    let class = |name: &str, repeat: &str| json!({"name": name, "aimMs": 1000, "deadlineMs": TIMEOUT / 1000, "repeat": repeat, "lateShare": 0.5});
    let mut report = class("report", "repeatable");
    report["kindsAllowed"] = json!([1]);
    let mut load = class("log-load", "by_key");
    load["group"] = json!("all");
    load["dedupWindowMs"] = json!(9000);
    load["inTurn"] = json!(true);
    let classes = json!([class("lookup", "repeatable"), report, load, class("pay", "once")]);
    json!({"instances": 1, "areas": ["here"], "kinds": ["std", "big", "lines"],
        "rules": {"turnGapMs": 100, "furtherRatio": 0.2, "spareAttempts": 10, "budgetSpanMs": 10000,
            "answerSlackMs": 20},
        "customers": [{"name": "acme"}],
        "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true, "maxRetryAfterMs": 200},
        "extra": {"sizeCores": [8, 8, 8], "memoryByKindMb": [16384, 16384, 16384]},
        "requestClasses": classes})
}

#[cfg(test)]
#[path = "prove_tests.rs"]
mod tests;
