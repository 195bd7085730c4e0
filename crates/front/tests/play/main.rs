//! Plays the scenarios beside this file against the front's binary: scripted peers on loopback, on ports
//! that the system gives. Each line waits for what it names and for nothing else; too long a wait fails.
//!
//!     agreed KEY JSON          a value of the settings object, in place of the usual one
//!     told KEY JSON            a value of the configuration itself, for the next start
//!     operator TEXT            the operator's own file, for the starts from now on (`\n` a line's end)
//!     rules TEXT               the file of rules, written anew; `RULES` in the operator's file is its path
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

mod client;
mod clock;
mod coordinator;
mod engine;
mod limits;
mod line;
mod process;
mod together;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Child;
use std::sync::atomic::AtomicUsize;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde_json::{json, Value};

use clock::Clock;
use coordinator::Told;
use engine::Engine;

const PATIENCE: Duration = Duration::from_secs(20); // for any one wait; a busy machine takes some of it

const BIG: usize = 100_000; // bytes that `BIG` in a statement stands for

#[derive(Default)]
struct Play {
    settings: Value,
    told_otherwise: Vec<(String, Value)>,
    files: Vec<PathBuf>,
    engines: HashMap<String, Engine>,
    clients: HashMap<String, TcpStream>,
    statements: HashMap<String, String>,
    told: Arc<(Mutex<Told>, Condvar)>,
    questions: Option<Receiver<usize>>,
    coordinator: Option<SocketAddr>,
    front: Option<Child>,
    log: Option<Receiver<String>>,
    listens: String,
    config: PathBuf,
    time: PathBuf,
    clock: Option<Clock>,
    operator: Option<PathBuf>,
    rules: Option<PathBuf>,
}

fn id(number: &str) -> String {
    format!("{:0>16}", number)
}

fn unescaped(text: &str) -> String {
    text.replace("\\t", "\t").replace("\\r", "\r").replace("\\n", "\n")
}

/// A word alone stands for a row that begins with it.
fn rows(text: &str) -> String {
    let word = !text.is_empty() && !text.contains('\\');
    unescaped(&if word { format!("{text}\\t-\\t-\\n") } else { text.to_string() })
}

static FILES: AtomicUsize = AtomicUsize::new(0);

impl Drop for Play {
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

fn usual_settings() -> Value {
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
    let mut paths: Vec<_> = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    if let Ok(only) = std::env::var("PLAY") {
        paths.retain(|path| path.file_stem().is_some_and(|name| name == &*only));
    }
    assert!(!paths.is_empty());
    for path in paths {
        println!("{}", path.display());
        let mut play = Play::default();
        play.settings = usual_settings();
        for (number, line) in std::fs::read_to_string(&path).unwrap().lines().enumerate() {
            if !line.is_empty() && !line.starts_with('#') {
                println!("{}: {line}", number + 1);
                play.line(line);
            }
        }
        play.nothing_else_came();
    }
}
