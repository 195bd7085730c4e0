//! Runs every file of `tests/scenarios` against the scheduler. A line holds one or more of these
//! parts, separated by semicolons:
//!
//! - `site NAME VALUE ...` and `workload NAME ...` set the agreement; `engine e1 kind=0 cores=8`
//!   adds an entry to the next engine list.
//! - `at MS` advances the clock. The events on the lines up to the next `at` happen together at
//!   that time.
//! - `> ...` is the next expected action, in order; any other action fails the file. Wakes are run
//!   at their time and not listed. A rejection or an abort names its reason.
//! - `stall MS` advances the clock without wakes, as for a stalled front.
//! - `penalty C DELTA = VALUE` checks the penalty at a conformance.

mod notation;

use std::fs;
use std::path::Path;

use hallmux::interface::{Action, Agreement, EngineEntry, Event, Micros, RejectReason};
use hallmux::{penalty, Scheduler};

use notation::{micros, number, workload, Options, ScenarioNames, Site, MS};

/// The seed of scenarios that set none. Scenarios with several equal engines depend on its draws.
const SEED: u64 = 22;

/// The state of a running scenario.
struct ScenarioRun {
    site: Site,
    names: ScenarioNames,
    /// Entries of the next engine list.
    listed: Vec<EngineEntry>,
    scheduler: Option<Scheduler>,
    now: Micros,
    wake: Option<Micros>,
    /// Events at the current time that have not been passed to the scheduler.
    events: Vec<Event>,
    /// Returned actions that no line has matched yet.
    actions: Vec<String>,
}

impl ScenarioRun {
    fn new() -> Self {
        let agreement = Agreement {
            fronts: 1.0,
            max_attempts: 3,
            cores: vec![8.0],
            max_grant_share: 1.0,
            beyond_share_weight: 0.1,
            ..Agreement::default()
        };
        ScenarioRun {
            site: Site {
                agreement,
                seed: SEED,
            },
            names: ScenarioNames::default(),
            listed: Vec::new(),
            scheduler: None,
            now: 0,
            wake: None,
            events: Vec::new(),
            actions: Vec::new(),
        }
    }

    fn decide(&mut self) {
        let start = || Scheduler::new(self.site.agreement.clone(), self.site.seed);
        let scheduler = self.scheduler.get_or_insert_with(start);
        for action in scheduler.decide(self.now, self.events.drain(..)) {
            if let Action::Wake { at } = action {
                self.wake = Some(at);
            }
            if let Some(text) = self.names.action(&action) {
                self.actions.push(format!("{text} at {}", self.now / MS));
            }
        }
    }

    /// Passes the collected events to the scheduler and runs its wakes up to a time.
    fn run_to(&mut self, time: Micros) {
        if !self.events.is_empty() {
            self.decide();
        }
        while let Some(at) = self.wake.filter(|at| *at < time) {
            (self.now, self.wake) = (at, None);
            self.events.push(Event::Woken);
            self.decide();
        }
        self.now = time;
    }

    /// Runs one part of a line. Returns a description of the first mismatch.
    fn run_line(&mut self, text: &str) -> Result<(), String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        match words[..] {
            ["site", ref rest @ ..] => self.site.set(&Options::of(rest)),
            ["workload", name, ref rest @ ..] => {
                self.names.workloads.index_of(name);
                let workload = workload(&Options::of(rest));
                self.site.agreement.workloads.push(workload);
            }
            ["engine", name, ref rest @ ..] => {
                let entry = self.names.engine(name, &Options::of(rest));
                self.listed.push(entry);
            }
            ["start"] | ["whole"] | ["change"] => {
                let entries = std::mem::take(&mut self.listed);
                let complete = words[0] != "change";
                self.events.push(Event::EngineList { complete, entries });
            }
            ["restart"] => (self.scheduler, self.wake) = (None, None),
            ["at", time] => self.run_to(micros(time)),
            ["stall", time] => {
                self.run_to(self.now);
                self.now = micros(time);
            }
            ["penalty", conformance, delta, "=", value] => {
                let got = penalty(number(conformance), number(delta));
                if (got - number(value)).abs() > 1e-9 {
                    return Err(format!("the penalty is {got}"));
                }
            }
            [">", ..] => return self.expect(&text[2..]),
            _ => {
                if let Some(extra) = self.actions.first() {
                    return Err(format!("unexpected action before this line: '{extra}'"));
                }
                let event = self.names.event(&words).ok_or("is not a valid event")?;
                self.events.push(event);
            }
        }
        Ok(())
    }

    /// Checks that the next action is the expected one, with or without its time.
    fn expect(&mut self, expected_text: &str) -> Result<(), String> {
        self.run_to(self.now);
        let got = if self.actions.is_empty() {
            "nothing".to_string()
        } else {
            self.actions.remove(0)
        };
        if got != expected_text && got.split(" at ").next() != Some(expected_text) {
            return Err(format!("got '{got}'"));
        }
        Ok(())
    }
}

/// The first mismatch of a scenario; `None` if it passes.
fn scenario_error(file: &Path) -> Option<String> {
    let name = file.file_name().unwrap().to_string_lossy();
    let text = fs::read_to_string(file).unwrap();
    let mut run = ScenarioRun::new();
    for (number, line) in text.lines().enumerate() {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        for part in line.split("; ") {
            if let Err(why) = run.run_line(part) {
                return Some(format!("{name}:{}: {part}: {why}", number + 1));
            }
        }
    }
    run.run_to(run.now);
    let rest = &run.actions;
    (!rest.is_empty()).then(|| format!("{name}: unexpected at the end: {rest:?}"))
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path())
        .collect();
    files.sort();
    assert!(!files.is_empty());
    let errors: Vec<String> = files
        .iter()
        .filter_map(|file| scenario_error(file))
        .collect();
    assert!(errors.is_empty(), "\n{}", errors.join("\n"));
}

/// Every reject reason has a unique name equal to its variant's name, an entry in the page for
/// on-call engineers, and a scenario that reaches it.
#[test]
fn reject_reasons() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/");
    let page = fs::read_to_string(format!("{root}docs/on-call.md")).unwrap();
    let scenarios: Vec<String> = fs::read_dir(format!("{root}tests/scenarios"))
        .unwrap()
        .map(|file| fs::read_to_string(file.unwrap().path()).unwrap())
        .collect();
    let mut words = Vec::new();
    for reason in RejectReason::ALL {
        let word = reason.name();
        assert_eq!(
            (word, word),
            (&*format!("{reason:?}"), &*reason.to_string())
        );
        assert!(!words.contains(&word), "{word} twice");
        words.push(word);
        let row = page
            .lines()
            .find(|line| line.starts_with(&format!("| `{word}` |")))
            .unwrap_or_else(|| panic!("{word} is not in docs/on-call.md"));
        let module = row.split('`').nth(3).unwrap();
        assert!(Path::new(root).join(module).is_file(), "{word}: {module}");
        let reached = |text: &String| {
            let expected =
                |line: &str| line.starts_with("> ") && line.contains(&format!(": {word}"));
            text.lines().flat_map(|line| line.split("; ")).any(expected)
        };
        assert!(scenarios.iter().any(reached), "no scenario reaches {word}");
    }
}
