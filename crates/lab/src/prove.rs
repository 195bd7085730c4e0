//! `prove postgres`: a real front among engines that crash, drain, reset, stall, answer late and lose commits,
//! with clients of a library and scripted sessions. All is drawn from the seed.

pub mod promises;

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio_postgres::{Client, NoTls};

use crate::check::{check, Agreed, Asked, Drain, Outcome, Repeat, Transaction};
use crate::engine::{Engine, Records};
use crate::rig::{Coordinator, Front};
use crate::{lines, scripted};

const ENGINES: usize = 5; // the last two are of the kind that bound statements need
const CLIENTS: usize = 48;
const LONGEST: Duration = Duration::from_secs(45); // until no more is asked, however little was accepted
const SETTLED: Duration = Duration::from_secs(4); // until memory is looked at first
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
}

pub fn outcome<T>(answer: Result<T, tokio_postgres::Error>, rows: impl FnOnce(T) -> Outcome) -> Outcome {
    match answer {
        Ok(answer) => rows(answer),
        Err(e) => match e.code() {
            Some(code) => Outcome::Error(code.code().to_string()),
            None => Outcome::Lost,
        },
    }
}

/// Whether the rows are those of the statement, in order and whole.
fn own_rows(asked: &Asked, rows: &[tokio_postgres::Row]) -> Outcome {
    let mark = |n: usize, row: &tokio_postgres::Row| {
        row.try_get::<_, &str>(0).is_ok_and(|text| text.starts_with(&format!("{}:{n}:x", asked.id)))
    };
    match rows.iter().enumerate().all(|(n, row)| mark(n, row)) {
        true => Outcome::Completed { rows: rows.len() },
        false => Outcome::Spoilt,
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
    let (mut early_kb, mut late_kb) = (0, 0);
    let enough = || {
        let played = notes.rounds.load(SeqCst).min(notes.drains.load(SeqCst));
        notes.count.load(SeqCst) >= size.units && played >= size.rounds
    };
    while began.elapsed() < LONGEST && !enough() && front.is_up() {
        std::thread::sleep(Duration::from_millis(20));
        // Once buffers and tables have grown to what the load needs.
        if early_kb == 0 && began.elapsed() > SETTLED {
            early_kb = front.memory_kb();
        }
        late_kb = front.memory_kb();
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
        bound_to: HashSet::from([ENGINES - 2, ENGINES - 1]),
        further: Some((10.0, 0.2, 10_000_000)),
        drains: drained,
    };
    for (rule, found) in check(&asked, &transactions, &deeds, &agreed) {
        wrong.entry(rule).or_default().extend(found);
    }
    if early_kb > 0 && late_kb > early_kb * 12 / 10 + 2_048 {
        wrong.entry("memory").or_default().push(format!("{early_kb} kB, then {late_kb} kB"));
    }
    let accepted = notes.count.load(SeqCst);
    let mut tallies = BTreeMap::from([
        ("accepted", accepted),
        ("asked", asked.len()),
        ("transactions", transactions.len()),
        ("drains", agreed.drains.len()),
        ("told_at_end", told),
        ("memory_kb", late_kb as usize),
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

const FAULTS: [&str; 8] = [
    "crashes",
    "resets",
    "stalls",
    "slowed",
    "lost_commits",
    "lost_statements",
    "lost_results",
    "refused_parses",
];

type Played = BTreeMap<&'static str, usize>;

/// Lets one engine after the other drain until the run ends; says which and when.
fn play_drains(seed: u64, engines: &[Arc<Engine>], coordinator: &Coordinator, notes: &Notes) -> Vec<Drain> {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0xd4a1);
    let mut drains = Vec::new();
    let tell = |e: &Engine, state| coordinator.tell(false, &[(name(e.number), e.at, kind(e.number), state)]);
    std::thread::sleep(Duration::from_millis(chance.random_range(200..600)));
    while !notes.over() {
        let e = &engines[chance.random_range(0..engines.len())];
        tell(e, "draining");
        let from = notes.records.now();
        // Longer than the grace, so that what comes late shows.
        std::thread::sleep(Duration::from_millis(chance.random_range(2_100..2_600)));
        drains.push(Drain { engine: e.number, from, to: notes.records.now() });
        notes.drains.store(drains.len(), SeqCst);
        tell(e, "up");
        std::thread::sleep(Duration::from_millis(chance.random_range(100..400)));
    }
    drains
}

/// Plays faults until the run ends, while engines drain; says how often each was played.
fn play_faults(seed: u64, engines: &[Arc<Engine>], notes: &Notes) -> Played {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0xfa17);
    let mut played = Played::new();
    let mut turn = chance.random_range(0..FAULTS.len());
    let sleep = |ms: u64| std::thread::sleep(Duration::from_millis(ms));
    sleep(300);
    while !notes.over() {
        // In turn, so that each is played however short the run; the rest is drawn.
        let fault = FAULTS[turn % FAULTS.len()];
        turn += 1;
        let e = &engines[chance.random_range(0..engines.len())];
        *played.entry(fault).or_default() += 1;
        match fault {
            "crashes" => {
                e.crash();
                sleep(chance.random_range(100..500));
                e.faults.down.store(false, SeqCst);
            }
            "resets" => e.reset(chance.random_range(1..6)),
            "stalls" => {
                let until = notes.records.now() + chance.random_range(100_000..900_000);
                e.faults.stalled_until.store(until as u64, SeqCst);
                sleep(200);
            }
            "slowed" => {
                e.faults.slower.store(chance.random_range(20_000..120_000), SeqCst);
                sleep(chance.random_range(100..600));
                e.faults.slower.store(0, SeqCst);
            }
            "lost_commits" => e.faults.lost_commits.store(chance.random_range(1..5), SeqCst),
            "lost_results" => e.faults.lost_results.store(chance.random_range(2..6), SeqCst),
            "lost_statements" => e.faults.lost_statements.store(chance.random_range(1..4), SeqCst),
            _ => e.faults.refused_parses.store(chance.random_range(1..3), SeqCst),
        }
        let least = FAULTS.iter().map(|fault| played.get(fault).copied().unwrap_or(0)).min();
        notes.rounds.store(least.unwrap_or(0), SeqCst);
        sleep(chance.random_range(50..250));
    }
    played
}

/// One client after the other with a connection of its own, until the run ends.
async fn client(seed: u64, port: u16, notes: Arc<Notes>) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let user = "portal";
    while !notes.over() {
        let at = format!("host=127.0.0.1 port={port} user={user} dbname=x application_name=a{}", seed % 3);
        let Ok((mut client, connection)) = tokio_postgres::connect(&at, NoTls).await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let connection = tokio::spawn(connection);
        let texts = ["select run($1)", "select  run($1)", "select run($1) as b", "/* c */ select run($1)"];
        let mut statements = Vec::new();
        for _ in 0..chance.random_range(20..200) {
            if notes.over() || client.is_closed() {
                break;
            }
            // Prepared only now and then, so that units land where theirs is not known.
            if statements.len() < texts.len() && chance.random_bool(0.2) {
                if let Ok(statement) = client.prepare(texts[statements.len()]).await {
                    statements.push(statement);
                }
            }
            unit(&mut client, &statements, &mut chance, &notes).await;
        }
        drop(client);
        let _ = tokio::time::timeout(Duration::from_secs(1), connection).await;
    }
}

async fn unit(
    client: &mut Client,
    statements: &[tokio_postgres::Statement],
    chance: &mut Pcg64Mcg,
    notes: &Arc<Notes>,
) {
    let pick = chance.random_range(0..100);
    match pick {
        0..40 if !statements.is_empty() => {
            let statement = &statements[chance.random_range(0..statements.len())];
            let rows = chance.random_range(0..5);
            let asked = Asked { rows, ..notes.fresh(Repeat::Idempotent) };
            let task = format!("id={},rows={rows},bytes=20,ms={}", asked.id, chance.random_range(0..4));
            let answer = client.query(statement, &[&task]).await;
            let outcome = outcome(answer, |rows| own_rows(&asked, &rows));
            notes.note(Asked { outcome, answered: notes.records.now(), ..refused_parse(asked) });
        }
        0..55 => one(client, "", notes.fresh(Repeat::Idempotent), chance.random_range(0..4), notes).await,
        55..60 => {
            let asked = Asked { bound: true, ..notes.fresh(Repeat::Idempotent) };
            one(client, "/*hallmux.workload='report'*/ ", asked, chance.random_range(0..8), notes).await;
        }
        60..66 => {
            let key = format!("k{}", chance.random_range(0..40));
            let asked = Asked { key: key.clone(), ..notes.fresh(Repeat::Deduplicated) };
            let label = format!(
                "/*hallmux.workload='log-load',hallmux.key='{key}',hallmux.dedup_key='d{}'*/ ",
                asked.id
            );
            one(client, &label, asked, chance.random_range(0..6), notes).await;
        }
        66..72 => {
            let asked = notes.fresh(Repeat::NonIdempotent);
            one(client, "/*hallmux.workload='pay'*/ ", asked, chance.random_range(0..4), notes).await;
        }
        72..76 => {
            let asked = Asked { fails: Some("23505"), ..notes.fresh(Repeat::Idempotent) };
            one(client, "", asked, 0, notes).await;
        }
        76..80 => {
            // A pipeline: five units on their way at once.
            let units: Vec<Asked> = (0..5).map(|_| notes.fresh(Repeat::Idempotent)).collect();
            let texts: Vec<String> = units.iter().map(|a| text("", a, 1)).collect();
            let answers = texts.iter().map(|text| client.simple_query(text));
            let answers = futures_util::future::join_all(answers).await;
            for (asked, answer) in units.into_iter().zip(answers) {
                let outcome = outcome(answer, |_| Outcome::Completed { rows: asked.rows });
                notes.note(Asked { outcome, answered: notes.records.now(), ..asked });
            }
        }
        80..83 => {
            // More than the front holds back: rows go on while the engine still sends.
            let rows = 400;
            let asked = Asked { rows, may_be_lost: true, ..notes.fresh(Repeat::Idempotent) };
            let text = format!("select run('id={},rows={rows},bytes=300')", asked.id);
            let answer = client.query(&text, &[]).await;
            let outcome = outcome(answer, |rows| own_rows(&asked, &rows));
            notes.note(Asked { outcome, answered: notes.records.now(), ..refused_parse(asked) });
        }
        _ => transaction(client, chance, notes).await,
    }
}

/// An engine may refuse to prepare what it is asked to, here by a code of its own.
fn refused_parse(asked: Asked) -> Asked {
    Asked { may_fail: Some("42P01"), ..asked }
}

fn text(label: &str, asked: &Asked, ms: u64) -> String {
    let fails = asked.fails.unwrap_or_default();
    format!("{label}select run('id={},key={},rows={},ms={ms},fail={fails}')", asked.id, asked.key, asked.rows)
}

/// One statement in a simple query.
async fn one(client: &Client, label: &str, asked: Asked, ms: u64, notes: &Notes) {
    let answer = client.simple_query(&text(label, &asked, ms)).await;
    let outcome = outcome(answer, |_| Outcome::Completed { rows: asked.rows });
    notes.note(Asked { outcome, answered: notes.records.now(), ..asked });
}

/// A transaction of some statements, with a portal in one of three, ended one way or the other.
async fn transaction(client: &mut Client, chance: &mut Pcg64Mcg, notes: &Arc<Notes>) {
    let number = match notes.transactions.lock() {
        Ok(mut all) => {
            all.push(Transaction::default());
            all.len() - 1
        }
        Err(_) => return,
    };
    let control = |outcome: Outcome, asked: Asked| {
        notes.note(Asked { outcome, answered: notes.records.now(), control: true, ..asked });
    };
    let begins = notes.fresh(Repeat::Idempotent);
    let Ok(transaction) = client.transaction().await else {
        return;
    };
    control(Outcome::Completed { rows: 0 }, Asked { id: format!("begin {}", begins.id), ..begins });
    let mut done = Vec::new();
    let mut failed = false;
    for _ in 0..chance.random_range(1..4) {
        let asked = Asked { transaction: Some(number), rows: 7, ..notes.fresh(Repeat::Idempotent) };
        let task = format!("id={},rows=7,bytes=10,ms={}", asked.id, chance.random_range(0..4));
        let id = asked.id.clone();
        let result;
        if chance.random_bool(0.3) {
            let text = format!("select run('{task}')");
            match transaction.bind(&text, &[]).await {
                Err(e) => result = outcome(Err::<(), _>(e), |()| Outcome::Lost),
                Ok(portal) => {
                    let mut all = Vec::new();
                    loop {
                        match transaction.query_portal(&portal, 3).await {
                            Ok(rows) if rows.is_empty() => {
                                result = own_rows(&asked, &all);
                                break;
                            }
                            Ok(rows) => all.extend(rows),
                            Err(e) => {
                                result = outcome(Err::<(), _>(e), |()| Outcome::Lost);
                                break;
                            }
                        }
                        if all.len() == 7 {
                            result = own_rows(&asked, &all);
                            break;
                        }
                    }
                }
            }
        } else {
            let answer = transaction.query("select run($1)", &[&task]).await;
            result = outcome(answer, |rows| own_rows(&asked, &rows));
        }
        failed |= !matches!(result, Outcome::Completed { .. });
        let timeout = 4 * TIMEOUT; // several units, each with its own
        notes.note(Asked { outcome: result, answered: notes.records.now(), timeout, ..refused_parse(asked) });
        if failed {
            break;
        }
        done.push(id);
        if chance.random_bool(0.1) {
            tokio::time::sleep(Duration::from_millis(chance.random_range(0..300))).await;
        }
    }
    let commits = !failed && chance.random_bool(0.8);
    let asked = notes.fresh(Repeat::Idempotent);
    let asked = Asked { id: format!("end {}", asked.id), ..asked };
    let answer = if commits { transaction.commit().await } else { transaction.rollback().await };
    let result = outcome(answer, |()| Outcome::Completed { rows: 0 });
    control(result.clone(), asked);
    if let Ok(mut all) = notes.transactions.lock() {
        // What a library does not tell is whether COMMIT was answered with ROLLBACK: then nothing was kept.
        all[number] = Transaction { statements: done, commit: commits.then_some(result) };
    }
}

/// The same order keys from both protocols, each statement sent once the front is known to have taken the last.
fn both_protocols(
    seed: u64,
    lines: std::net::SocketAddr,
    sessions: std::net::SocketAddr,
    notes: &Arc<Notes>,
) {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0xb07);
    let mut number = 1;
    while !notes.over() {
        let key = format!("both{}", chance.random_range(0..3));
        let mut waits = Vec::new();
        for _ in 0..4 {
            let asked = Asked { key: key.clone(), rows: 1, ..notes.fresh(Repeat::Deduplicated) };
            let answer = match chance.random_bool(0.5) {
                true => ask_in_lines(lines, number, &asked),
                false => ask_in_session(sessions, &asked),
            };
            number += 1;
            let records = notes.records.clone();
            let wait = std::thread::spawn(move || {
                let outcome = answer.map_or(Outcome::Lost, |answer| answer());
                // What a Thrift client calls aborted may or may not have run.
                Asked { outcome, answered: records.now(), ..asked }
            });
            waits.push((wait, scripted::round_trip(sessions).ok().map(|()| notes.records.now())));
        }
        for (wait, taken) in waits {
            wait.join().into_iter().for_each(|asked| notes.note(Asked { taken, ..asked }));
        }
    }
}

/// What waits for the answer to a statement that has left.
type Waits = Box<dyn FnOnce() -> Outcome + Send>;

fn ask_in_lines(at: std::net::SocketAddr, number: u64, asked: &Asked) -> std::io::Result<Waits> {
    let statement = format!("id={},key={},ms=15", asked.id, asked.key);
    let dedup = format!("d{}", asked.id);
    let fields = [
        ("verb", "log-load"),
        ("team", "acme"),
        ("limit", "3000"),
        ("item", asked.key.as_str()),
        ("unique", dedup.as_str()),
    ];
    let mut client = lines::Client::open(at)?;
    client.send(number, &fields, &statement)?;
    Ok(Box::new(move || client.answer()))
}

fn ask_in_session(at: std::net::SocketAddr, asked: &Asked) -> std::io::Result<Waits> {
    let label = format!(
        "/*hallmux.workload='log-load',hallmux.key='{}',hallmux.dedup_key='d{}'*/ ",
        asked.key, asked.id
    );
    let mut session = scripted::sent(at, &text(&label, asked, 15))?;
    let asked = asked.clone();
    Ok(Box::new(move || scripted::answer(&mut session, &asked)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sessions_keep_the_rules_among_faults() {
        for seed in [1, 2] {
            let (passed, tallies) = postgres(Size { seed, units: 3_000, rounds: 1 }).unwrap();
            assert!(passed, "seed {seed}: {tallies}");
        }
    }
}
