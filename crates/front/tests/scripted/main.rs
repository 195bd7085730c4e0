//! Runs the scenarios of the folder `scenarios` against the front's binary: scripted peers on loopback, on ports
//! that the system gives. Each line waits for what it names and for nothing else; too long a wait fails.
//!
//!     agreed KEY JSON          a value of the settings object, in place of the usual one
//!     told KEY JSON            a value of the configuration itself, for the next start
//!     operator TEXT            the operator's own file, for the starts from now on (`\n` a line's end)
//!     rules TEXT               the file of rules, written anew; `RULES` in the operator's file is its path,
//!                              `SESSIONS` a free address
//!     engine NAME[@ZONE] [gone|deaf]  of the list at start; `gone` listens no more, `deaf` reads nothing yet
//!     start                    starts the front and waits until it takes statements
//!     fails TEXT               starts it and waits until it ends with a complaint that holds TEXT
//!     CLIENT connects | closes | is well | is unwell | is closed
//!     CLIENT asks N FIELD=.. STATEMENT    sends statement N; `-FIELD` leaves a field out
//!     CLIENT asks at once N,M STATEMENT   sends several in one write, `!N` for a `forget` of N
//!     CLIENT floods            asks and takes no answers until it is no longer read; memory stays bounded
//!     CLIENT sends HEX         sends bytes as they are
//!     CLIENT hears N completed TEXT | rejected [later] | aborted | exception TEXT
//!     ENGINE hears COMMAND N [WORDS]      the next command but `hurry`; `want` checks the statement
//!     ENGINE hears COMMAND N,M            the next ones, in any order, as they come by several connections
//!     ENGINE says N WORD FIELDS TEXT      answers where statement N came
//!     ENGINE utters TEXT | closes         on its latest connection, as it is
//!     ENGINE is reached anew              its latest command came by another connection
//!     ENGINE is reached by N              statements came by so many connections
//!     ENGINE listens                      a deaf one reads from now on
//!     list NAME STATE          tells of a change; a new NAME listens at a port of its own
//!     list NAME STATE at OTHER the same, at the address of another engine
//!     coordinator answers TEXT the next answer, as it is
//!     coordinator asked [N]    waits for the next question, from number N on
//!     coordinator moves        the next configuration names another; the one till now says nothing more
//!     reloads                  writes the configuration anew and sends SIGHUP
//!     logs TEXT                waits for a line of the log that holds TEXT
//!     stop | ends              sends SIGTERM; waits until the front has ended well
//!     halt | goes on           stops the front, and lets it go on
//!     passes MS                lets time pass, as a client's patience does
//!     many N CLIENT ENGINE     N statements one by one, each completed; memory must not grow
//!
//! Lines that choose an order of events, where something ends (`engine_list.rs`, `ordering.rs`):
//!
//!     list only NAME STATE, NAME STATE    tells the whole list; what it does not name is gone
//!     list NAME STATE [at OTHER] unheard  the same as without, but the front is not waited for
//!     known NAME STATE         a change that the next configuration holds, in place of the coordinator
//!     coordinator is silent | speaks      says nothing from now on; speaks again, over new connections only
//!     coordinator has told     waits until the latest change has left for the front, read or not
//!     coordinator goes         its connections end and new ones are refused
//!     CLIENT connects narrowly | connects N times   little that it leaves unread fits; CLIENT1 to CLIENTn
//!     CLIENT begins N STATEMENT | finishes    writes half a statement, the rest: a byte at a time, each one read
//!     CLIENT finishes at once  the same in one write
//!     CLIENT floods N and leaves          writes so many statements, or as many as fit in its socket, and closes
//!     CLIENT is closed well    its connection ends in order, and is not reset
//!     CLIENT is served N by ENGINE [or ends]   N has one final answer, completed by ENGINE if that hears it; or the
//!                              connection ends in order, and no engine heard of N
//!     CLIENT is answered 1-9 completed TEXT    the answers come in any order; `BIG` is the longest result
//!     CLIENT is well past N    is well; before that it may be told of N, once
//!     ENGINE answers 1-9 TEXT  hears these statements in any order and answers each at once
//!     ENGINE repeats N WORD FIELDS TEXT   answers where statement N came the time before
//!     ENGINE accepts nothing | again      a dial to it stays pending; goes through, a second later
//!     ENGINE is being dialled | is dialled no more    waits until such a dial is there; until none is
//!     ENGINE stops listening | resets     reads no more till it `listens`; resets its latest connection
//!     ENGINE is reached as before         its latest command came by the same connection
//!     halts at work [by LINE]  lets a halted front find what LINE and much else bring, and halts it before it decides
//!     gets busy                connects those that bring it, where none can connect later
//!     settles                  waits until the front has done all it can at this time
//!     passes MS in at most N turns        lets time pass, in which the front has that little to do
//!     kills | starts anew      ends the front by SIGKILL; starts it again, where it was
//!
//! Lines about what a front takes of the machine, and garbage (`resources.rs`, `garbage.rs`):
//!
//!     machine grants N descriptors         the process can have no more, from the next start on
//!     runs in real time        the next start takes the machine's time: no line can let time pass then
//!     rests                    takes next to no CPU time for two seconds of the machine's time
//!     notes its descriptors | has its descriptors back     waits until it holds as many as were noted
//!     starts anew N times      kills it and starts it again, where it was: it is ready in time each time
//!     garbage from N [sessions] | garbage is gone    so many connections bring garbage; those that stay are closed
//!     ENGINE spoils N answers to CLIENT    each aborted, with one between that is answered well
//!
//! Of the WORDS that an engine hears `wait<N` is a figure below N, `in-time` a deadline that is no later than the
//! client's. `engine NAME [deaf] narrow`: little that it leaves unread fits.

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

const WAIT_TIMEOUT: Duration = Duration::from_secs(20); // for any one wait; a busy machine takes some of it

const MAX_RUNS: usize = 5; // of a scenario whose order of events does not come about
const BIG_TEXT_BYTES: usize = 100_000; // bytes that `BIG` in a statement stands for

/// What a step panics with where the machine was too busy for the order of events that the scenario is about.
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
    /// Faults of the machine that the front alone has.
    machine_faults: Option<MachineFaults>,
    operator: Option<PathBuf>,
    rules: Option<PathBuf>,
    /// Updates that the configuration holds; the first one where none is named.
    known_updates: usize,
    /// The Unix millisecond at which the client of a statement waits no longer.
    deadlines_ms: HashMap<String, i64>,
    /// What a client has still to write of a statement that it has begun.
    unsent: HashMap<String, Vec<u8>>,
    /// Connections that keep an engine from taking others.
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

/// A word alone stands for a row that begins with it.
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
    // Each is run whatever becomes of the others, so that one run names all that fail.
    let failed: Vec<PathBuf> = paths.into_iter().filter(scenario_fails).collect();
    assert!(failed.is_empty(), "failed: {failed:#?}");
}

/// Whether a scenario fails. One whose order of events did not come about says nothing of the front and is run again,
/// a few times: then it fails, too.
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
