//! Runs the scenarios in the folder `scenarios` against the front's binary, with scripted peers on loopback at ports
//! that the system assigns. Each line waits for what it names and for nothing else; a wait that is too long fails.
//!
//!     agreed KEY JSON          a value of the settings object, in place of the default
//!     told KEY JSON            a value of the configuration itself, for the next start
//!     operator TEXT            the operator's file, for all later starts (`\n` is a line's end)
//!     rules TEXT               rewrites the file of rules; `RULES` in the operator's file is its path,
//!                              `SESSIONS` a free address
//!     engine NAME[@ZONE] [gone|deaf]  an engine of the initial list; `gone` does not listen, `deaf` reads nothing yet
//!     start                    starts the front and waits until it accepts statements
//!     fails TEXT               starts it and waits until it exits with an error that contains TEXT
//!     CLIENT connects | closes | is well | is unwell | is closed
//!     CLIENT asks N FIELD=.. STATEMENT    sends statement N; `-FIELD` omits a field
//!     CLIENT asks at once N,M STATEMENT   sends several in one write, `!N` for a `forget` of N
//!     CLIENT floods            sends requests and reads no answers until it is no longer read; memory stays bounded
//!     CLIENT sends HEX         sends raw bytes
//!     CLIENT hears N completed TEXT | rejected [later] | aborted | exception TEXT
//!     ENGINE hears COMMAND N [WORDS]      the next command except `hurry`; `want` checks the statement
//!     ENGINE hears COMMAND N,M            the next ones in any order, as they arrive over several connections
//!     ENGINE says N WORD FIELDS TEXT      replies over the connection that brought statement N
//!     ENGINE utters TEXT | closes         sends raw text over, or closes, its latest connection
//!     ENGINE is reached anew              its latest command arrived over another connection than the one before
//!     ENGINE is reached by N              statements arrived over this many connections
//!     ENGINE listens                      a deaf one reads from now on
//!     list NAME STATE          publishes a change; a new NAME listens at a port of its own
//!     list NAME STATE at OTHER the same, at the address of another engine
//!     coordinator answers TEXT the next answer, as raw text
//!     coordinator asked [N]    waits for the next poll, or for the one from number N
//!     coordinator moves        the next configuration names another coordinator; the former sends nothing more
//!     reloads                  rewrites the configuration and sends SIGHUP
//!     logs TEXT                waits for a log line that contains TEXT
//!     stop | ends              sends SIGTERM; waits until the front has exited successfully
//!     halt | goes on           stops the front with SIGSTOP; continues it
//!     passes MS                advances the clock step by step
//!     many N CLIENT ENGINE     N statements one by one, each completed; memory must not grow
//!
//! Lines that control the order of events around an end (`engine_list.rs`, `ordering.rs`):
//!
//!     list only NAME STATE, NAME STATE    publishes a complete list; engines that it does not name are removed
//!     list NAME STATE [at OTHER] unheard  the same as without `unheard`, but does not wait for the front
//!     known NAME STATE         a change that the next configuration contains; does not wait for the front to poll it
//!     coordinator is silent | speaks      stops answering; answers again, over new connections only
//!     coordinator has told     waits until the latest change was sent to the front, read or not
//!     coordinator goes         closes its connections and refuses new ones
//!     CLIENT connects narrowly | connects N times   with a small receive buffer; as CLIENT1 to CLIENTn
//!     CLIENT begins N STATEMENT | finishes    writes half a statement, then the other half: byte by byte, each one read
//!     CLIENT finishes at once  writes the other half in one write
//!     CLIENT floods N and leaves          writes N statements, or as many as fit in its socket, and closes
//!     CLIENT is closed well    its connection ends in order, without a reset
//!     CLIENT is served N by ENGINE [or ends]   N has one final answer, completed by ENGINE if that receives it; or the
//!                              connection ends in order, and no engine received N
//!     CLIENT is answered 1-9 completed TEXT    the answers arrive in any order; `BIG` is the longest result
//!     CLIENT is well past N    is well; before that, at most one answer to N may arrive
//!     ENGINE answers 1-9 TEXT  receives these statements in any order and answers each at once
//!     ENGINE repeats N WORD FIELDS TEXT   replies over the connection that brought N the time before
//!     ENGINE accepts nothing | again      a dial to it stays pending; succeeds a second later
//!     ENGINE is being dialled | is dialled no more    waits until a dial to it is pending; until none is
//!     ENGINE stops listening | resets     reads nothing until it `listens`; resets its latest connection
//!     ENGINE is reached as before         its latest command arrived over the same connection as the one before
//!     halts at work [by LINE]  lets a halted front receive what LINE and many requests send, and halts it before it
//!                              decides on that
//!     gets busy                opens the connections for those requests, if none can be opened later
//!     settles                  waits until the front has done everything it can at this time
//!     passes MS in at most N turns        advances the clock, in at most N steps
//!     kills | starts anew      ends the front by SIGKILL; starts it again at the same address
//!
//! Lines about the front's use of resources, and garbage (`resources.rs`, `garbage.rs`):
//!
//!     machine grants N descriptors         the descriptor limit of the process, from the next start on
//!     runs in real time        the next start uses the system clock; no line can advance the time then
//!     rests                    uses almost no CPU time for two seconds of real time
//!     notes its descriptors | has its descriptors back     records their number; waits until it holds as many again
//!     starts anew N times      kills it and starts it again at the same address: it is ready in time each time
//!     garbage from N [sessions] | garbage is gone    N connections send garbage; waits until the open ones are closed
//!     ENGINE spoils N answers to CLIENT    each aborted, with a statement in between that is answered correctly
//!
//! Of the WORDS of an engine's command, `wait<N` is a figure below N, and `in-time` a deadline that is no later than
//! the client's. `engine NAME [deaf] narrow`: its receive buffer is small.

mod busy;
mod client;
mod clock;
mod coordinator;
mod dials;
mod engine;
mod engine_list;
mod fronts;
mod garbage;
mod limits;
mod line;
mod machine;
mod ordering;
mod outcomes;
mod process;
mod resources;
mod wall_clock;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Child;
use std::sync::atomic::AtomicUsize;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use hallmux_machine_faults::MachineFaults;
use serde_json::{json, Value};

use clock::Clock;
use coordinator::CoordinatorState;
use engine::Engine;
use resources::Resources;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20); // for one wait, on a busy machine

const MAX_RUNS: usize = 5; // of a scenario whose order of events is not reached
const BIG_TEXT_BYTES: usize = 100_000; // bytes that `BIG` in a statement stands for

/// Panic payload of a step for which the machine was too busy to reach the order of events under test.
struct OrderNotReached;

#[derive(Default)]
struct Scenario {
    settings: Value,
    configuration_overrides: Vec<(String, Value)>,
    files: Vec<PathBuf>,
    engines: HashMap<String, Engine>,
    clients: HashMap<String, TcpStream>,
    statements: HashMap<String, String>,
    coordinator_state: Arc<(Mutex<CoordinatorState>, Condvar)>,
    polls: Option<Receiver<usize>>,
    coordinator: Option<SocketAddr>,
    front: Option<Child>,
    log: Option<Receiver<String>>,
    front_address: String,
    config: PathBuf,
    clock_path: PathBuf,
    clock: Option<Clock>,
    /// Faults of system calls that are injected into the front only.
    machine_faults: Option<MachineFaults>,
    operator: Option<PathBuf>,
    rules: Option<PathBuf>,
    /// The number of updates that the configuration contains; at least the first one is written.
    known_updates: usize,
    /// The Unix time in milliseconds at which the client of a statement stops waiting.
    deadlines_ms: HashMap<String, i64>,
    /// The remaining bytes of a statement that a client has partly written.
    unsent: HashMap<String, Vec<u8>>,
    /// Connections that keep an engine from accepting others.
    fillers: HashMap<String, Vec<TcpStream>>,
    resources: Resources,
}

fn id(number: &str) -> String {
    format!("{:0>16}", number)
}

fn unescape(text: &str) -> String {
    text.replace("\\t", "\t")
        .replace("\\r", "\r")
        .replace("\\n", "\n")
}

/// The rows that a text stands for; a single word is a row that begins with it.
fn rows(text: &str) -> String {
    let word = !text.is_empty() && !text.contains('\\');
    unescape(&if word {
        format!("{text}\\t-\\t-\\n")
    } else {
        text.to_string()
    })
}

static FILES: AtomicUsize = AtomicUsize::new(0);

impl Drop for Scenario {
    fn drop(&mut self) {
        if let Some(mut front) = self.front.take() {
            let _ = front.kill();
            let _ = front.wait();
        }
        for path in &self.files {
            let _ = std::fs::remove_file(path);
        }
    }
}

fn default_settings() -> Value {
    json!({"instances": 1, "areas": ["here"], "kinds": ["std"], "discovery": "automatic",
        "customers": [{"name": "acme", "allowancePerS": 10000.0}],
        "bounds": {"cancelling": true, "dialTimeoutMs": 250.0, "keepaliveMs": 15000.0, "mostHeld": 100,
                   "mostTries": 3, "probes": true, "retryAfter": true, "streamsPerConn": 32},
        "extra": {"sizeCores": [8], "memoryByKindMb": [16384.0], "parallelism": [1, 1, 1],
                  "takesPriority": true, "grantsCount": true, "tellsEveryMs": 1000.0},
        "report": {"names": ["active", "cpu"], "source": "inline"},
        "requestClasses": [
            {"name": "lookup", "aimMs": 10000.0, "deadlineMs": 15000.0, "repeat": "repeatable", "worth": 1.0},
            {"name": "load", "aimMs": 10000.0, "deadlineMs": 20000.0, "repeat": "by_key", "group": "all",
             "dedupWindowMs": 12000.0, "inTurn": true, "worth": 12.0},
            {"name": "pay", "aimMs": 10000.0, "deadlineMs": 20000.0, "repeat": "once", "worth": 5.0}],
        "rules": {"coldFrom": 0.3, "drainGraceMs": 2000.0, "fallMs": 2000.0, "overloadFactor": 3.0,
                  "warmWithinMs": 14000.0}})
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut paths: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    if let Ok(only) = std::env::var("SCENARIO") {
        paths.retain(|path| path.file_stem().is_some_and(|name| name == &*only));
    }
    assert!(!paths.is_empty());
    // Each scenario is run even if others fail, so that one run names all failures.
    let failed: Vec<PathBuf> = paths.into_iter().filter(scenario_fails).collect();
    assert!(failed.is_empty(), "failed: {failed:#?}");
}

/// Whether a scenario fails. One whose order of events was not reached proves nothing about the front and is
/// run again, up to `MAX_RUNS` times; after that it fails.
fn scenario_fails(path: &PathBuf) -> bool {
    for _ in 0..MAX_RUNS {
        match std::panic::catch_unwind(|| run_scenario(path)) {
            Ok(()) => return false,
            Err(why) if why.is::<OrderNotReached>() => {
                println!("the order of events did not come about")
            }
            Err(_) => return true,
        }
    }
    true
}

fn run_scenario(path: &PathBuf) {
    println!("{}", path.display());
    let mut scenario = Scenario::default();
    scenario.settings = default_settings();
    for (number, line) in std::fs::read_to_string(path).unwrap().lines().enumerate() {
        if !line.is_empty() && !line.starts_with('#') {
            println!("{}: {line}", number + 1);
            scenario.run_line(line);
        }
    }
    scenario.assert_nothing_else_received();
}
