//! Plays every file of `tests/scenarios`. A line is one or more of these, set apart by semicolons:
//!
//! - `site NAME VALUE ...` and `workload NAME ...` say what is agreed; `engine e1 kind=0 cores=8` lists one.
//! - `at MS` moves the clock; the lines below it, up to the next, happen together at that time.
//! - `> ...` is an action expected since the previous such line, in order; any other action fails the file.
//!   Wakes are played at their time and not listed. A rejection or an abort names its reason.
//! - `stall MS` moves the clock with no wakes, as for a front that stands still.
//! - `penalty C DELTA = VALUE` asks for the penalty at a conformance.

use std::collections::BTreeMap;
use std::fs;

use hallmux::interface::*;
use hallmux::penalty;
use hallmux::Scheduler;

const MS: Micros = 1000;

/// The seed of a scenario that names none; those with several engines alike count on its choices.
const SEED: u64 = 22;

#[derive(Default)]
struct Play {
    agreed: Agreement,
    workloads: Vec<String>,
    engines: Vec<EngineEntry>,
    engine_names: Vec<String>,
    statements: Vec<String>,
    keys: Vec<String>,
    seed: u64,
    front: Option<Scheduler>,
    now: Micros,
    wake: Option<Micros>,
    happened: Vec<Event>,
    done: Vec<String>,
}

/// The place of a name in the order in which names are first met.
fn index(names: &mut Vec<String>, name: &str) -> usize {
    let found = names.iter().position(|n| n == name);
    found.unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}

fn number(text: &str) -> f64 {
    text.parse()
        .unwrap_or_else(|_| panic!("'{text}' is no number"))
}

fn micros(text: &str) -> Micros {
    (number(text) * MS as f64) as Micros
}

/// The `name=value` parts of a line; a bare word has the value "yes".
fn options<'a>(words: &[&'a str]) -> BTreeMap<&'a str, &'a str> {
    words
        .iter()
        .map(|w| w.split_once('=').unwrap_or((w, "yes")))
        .collect()
}

impl Play {
    fn workload(&mut self, name: &str, options: &BTreeMap<&str, &str>) {
        let get =
            |name: &str, absent: &str| options.get(name).copied().unwrap_or(absent).to_string();
        self.workloads.push(name.to_string());
        self.agreed.workloads.push(Workload {
            importance: number(&get("importance", "1")),
            late_share: number(&get("late", "0")),
            slo_time: micros(&get("slo", "1000")),
            slo_stretch: number(&get("stretch", "0")),
            statement_timeout: micros(&get("timeout", "5000")),
            effect: match get("effect", "idempotent").as_str() {
                "deduplicated" => Effect::Deduplicated,
                "non-idempotent" => Effect::NonIdempotent,
                _ => Effect::Idempotent,
            },
            dedup_group: match get("group", "all").as_str() {
                "location" => DedupGroup::Location,
                "cell" => DedupGroup::Cell,
                _ => DedupGroup::All,
            },
            dedup_window: micros(&get("window", "1000")),
            in_order: options.contains_key("in-order"),
            threads: number(&get("threads", "1")),
            holds_data: options.contains_key("holds"),
            waits_for_data: options.contains_key("waits"),
            locations: options.get("location").map(|l| vec![number(l) as usize]),
            kinds: options.get("kind").map(|k| vec![number(k) as usize]),
        });
    }

    fn site(&mut self, options: &BTreeMap<&str, &str>) {
        for (name, value) in options {
            match *name {
                "fronts" => self.agreed.fronts = number(value),
                "cores" => self.agreed.cores = value.split(',').map(number).collect(),
                "memory" => self.agreed.memory_mb = value.split(',').map(number).collect(),
                "executions" => self.agreed.most_executions = number(value) as usize,
                "retry-after" => self.agreed.longest_retry_after = Some(micros(value)),
                "notes" => self.agreed.progress_every = micros(value),
                "cancel" => self.agreed.cancel = true,
                "probes" => self.agreed.probes = true,
                "priorities" => self.agreed.priorities = true,
                "grants" => self.agreed.grants = true,
                "active" => self.agreed.report.active = Some(0),
                "busy" => self.agreed.report.busy = Some(0),
                "turn-gap" => self.agreed.order_gap = micros(value),
                "seed" => self.seed = number(value) as u64,
                "cold-from" => self.agreed.cold_from = number(value),
                "warm-within" => self.agreed.warm_within = micros(value),
                "overload" => self.agreed.overload_factor = number(value),
                "fall" => self.agreed.fall_window = micros(value),
                "zone-quorum" => self.agreed.zone_quorum = number(value) as usize,
                "on-probe" => self.agreed.report_on_probe = true,
                "budgets" => {
                    let each: Vec<f64> = value.split(',').map(number).collect();
                    self.agreed.budgets = Some(EngineBudgets {
                        connections: each[0],
                        probes: each[1],
                    });
                }
                "customers" => self.agreed.customers = value.split(',').map(number).collect(),
                "spare" => {
                    let window = 10_000 * MS;
                    self.agreed.further = Some(FurtherBudget {
                        spare: number(value),
                        ratio: 0.1,
                        window,
                    });
                }
                other => panic!("unknown setting '{other}'"),
            }
        }
    }

    fn engine(&mut self, name: &str, options: &BTreeMap<&str, &str>) -> EngineEntry {
        let place = |name: &str| options.get(name).map_or(0, |v| number(v) as usize);
        EngineEntry {
            engine: index(&mut self.engine_names, name),
            location: place("location"),
            kind: place("kind"),
            cell: place("cell"),
            mode: match options.get("mode").copied() {
                Some("draining") => Mode::Draining,
                Some("gone") => Mode::Gone,
                _ => Mode::Ready,
            },
            started: options.get("started").map(|v| micros(v)),
            protocols: options.get("speaks").map_or(1, |v| number(v) as u8),
            sends_progress: !options.contains_key("quiet"),
        }
    }

    fn decide(&mut self) {
        let fresh = || Scheduler::new(self.agreed.clone(), self.seed);
        let front = self.front.get_or_insert_with(fresh);
        for action in front.decide(self.now, self.happened.drain(..)) {
            let statement = |s: &StatementId| &self.statements[*s as usize];
            let said = match &action {
                Action::Wake { at } => {
                    self.wake = Some(*at);
                    continue;
                }
                Action::Execute {
                    statement: s,
                    engine,
                } => {
                    format!("execute {} {}", statement(s), self.engine_names[*engine])
                }
                Action::Terms {
                    statement: s,
                    grant_mb,
                    priority,
                } => {
                    format!(
                        "terms {} grant={grant_mb:.0} priority={priority}",
                        statement(s)
                    )
                }
                Action::Cancel {
                    statement: s,
                    execution,
                } => format!("cancel {} {execution}", statement(s)),
                Action::Reject {
                    statement: s,
                    retry_after: None,
                    reason,
                } => format!("reject {}: {reason}", statement(s)),
                Action::Reject {
                    statement: s,
                    reason,
                    ..
                } => format!("reject {} come-back: {reason}", statement(s)),
                Action::Abort {
                    statement: s,
                    reason,
                } => format!("abort {}: {reason}", statement(s)),
                Action::Probe { engine } => format!("probe {}", self.engine_names[*engine]),
                Action::ProbeEvacuated { engine } => {
                    format!("probe-evacuated {}", self.engine_names[*engine])
                }
                Action::Pace { connections } => format!("pace {connections:.2}"),
                Action::Subscribe => "subscribe".to_string(),
            };
            self.done.push(format!("{} at {}", said, self.now / MS));
        }
    }

    /// Plays what has been gathered, and the wakes up to a time.
    fn run_to(&mut self, time: Micros) {
        if !self.happened.is_empty() {
            self.decide();
        }
        while let Some(at) = self.wake.filter(|at| *at < time) {
            (self.now, self.wake) = (at, None);
            self.happened.push(Event::Woken);
            self.decide();
        }
        self.now = time;
    }

    /// What the fleet was asked of each workload, as `NAME=ASKED/ENDED/TIMELY`, each of a second on one thread.
    fn demands(&self, said: &BTreeMap<&str, &str>) -> Vec<Demand> {
        let offer = |name: &String| {
            let counts: Vec<f64> = said
                .get(&name[..])
                .map_or(Vec::new(), |v| v.split('/').map(number).collect());
            let count = |n: usize| counts.get(n).copied().unwrap_or(0.0);
            Demand {
                asked: count(0),
                ended: count(1),
                timely: count(2),
                work: 1e6,
            }
        };
        self.workloads.iter().map(offer).collect()
    }

    fn happens(&mut self, words: &[&str]) -> Option<Event> {
        let said = options(
            &words[if ["fleet", "asked"].contains(&words[0]) {
                1
            } else {
                2
            }..],
        );
        let statement = match words[0] {
            "hear" | "fleet" | "asked" | "probed" | "room" => 0,
            _ => index(&mut self.statements, words[1]) as StatementId,
        };
        let value = |name: &str| said.get(name).map_or(0.0, |v| number(v));
        Some(match words[0] {
            "take" => Event::Arrived(Arrival {
                statement,
                workload: self.workloads.iter().position(|w| w == words[2])?,
                customer: value("customer") as usize,
                key: said.get("key").map(|k| index(&mut self.keys, k) as KeyId),
                time_left: said.get("left").map_or(5000 * MS, |l| micros(l)),
                work: value("work") * MS as f64,
                memory_mb: value("memory"),
                data_set: said.get("data").map(|d| number(d) as u32),
                protocols: said.get("speech").map_or(1, |v| number(v) as u8),
                allowed: said.get("allowed").map(|l| {
                    l.split(',')
                        .filter(|l| !l.is_empty())
                        .map(|l| number(l) as usize)
                        .collect()
                }),
                pinned: said
                    .get("pinned")
                    .and_then(|p| self.engine_names.iter().position(|e| e == p)),
            }),
            "end" => Event::Ended(Ended {
                statement,
                execution: value("execution") as usize,
                engine: self.engine_names.iter().position(|e| e == words[2])?,
                outcome: match words[3] {
                    "completed" => Outcome::Completed,
                    "error" => Outcome::Error,
                    "no-room" => Outcome::NoCapacity,
                    "timed-out" => Outcome::TimedOut,
                    "no-route" => Outcome::Unreachable,
                    "reset" => Outcome::Reset,
                    "cancelled" => Outcome::Cancelled,
                    "not-sent" => Outcome::NotSent,
                    _ => return None,
                },
                took: micros(said.get("took").copied().unwrap_or("100")),
                settled: words[3] == "completed" || said.contains_key("settled"),
                keeps_order_key: said.contains_key("holds"),
                report: said
                    .get("active")
                    .or(said.get("busy"))
                    .map(|a| vec![number(a)]),
            }),
            "note" => Event::Noted {
                statement,
                execution: value("execution") as usize,
                engine: self.engine_names.iter().position(|e| e == words[2])?,
                note: match (said.get("spills"), said.get("waits")) {
                    (Some(missing), _) => Note::SpillsMb(number(missing)),
                    (None, Some(_)) => Note::WaitsForData,
                    (None, None) => Note::ShareDone(value("done")),
                },
            },
            "leave" => Event::ClientLeft(statement),
            "hear" => Event::PeerReport(PeerReport {
                reporter: number(words[1]) as usize,
                engine: self.engine_names.iter().position(|e| e == words[2])?,
                failed: value("failed"),
                answered: value("answered"),
                silent: micros(said.get("silent").copied().unwrap_or("0")),
                age: micros(said.get("age").copied().unwrap_or("0")),
            }),
            "asked" => Event::FleetDemand(FleetDemand {
                late_share: value("missed"),
                relative: value("part"),
                workloads: self.demands(&said),
                customers_per_s: said
                    .get("customers")
                    .map_or(vec![], |v| v.split(',').map(number).collect()),
            }),
            "room" => Event::SendCapacity {
                engine: self.engine_names.iter().position(|e| e == words[1])?,
                executions: number(words[2]) as usize,
            },
            "fleet" => Event::Fleet {
                known: value("known"),
                up: value("up"),
            },
            "probed" => Event::Probed {
                engine: self.engine_names.iter().position(|e| e == words[1])?,
                alive: said.contains_key("alive"),
                report: None,
            },
            "free" => Event::OrderKeyFreed {
                key: self.keys.iter().position(|k| k == words[1])? as KeyId,
                pauses: said.contains_key("rests"),
            },
            _ => return None,
        })
    }

    fn line(&mut self, text: &str) -> Result<(), String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        match words[..] {
            ["site", ref rest @ ..] => self.site(&options(rest)),
            ["workload", name, ref rest @ ..] => self.workload(name, &options(rest)),
            ["engine", name, ref rest @ ..] => {
                let entry = self.engine(name, &options(rest));
                self.engines.push(entry);
            }
            ["start"] | ["whole"] | ["change"] => {
                let entries = std::mem::take(&mut self.engines);
                self.happened.push(Event::Engines {
                    whole: words[0] != "change",
                    entries,
                });
            }
            ["restart"] => (self.front, self.wake) = (None, None),
            ["at", time] => self.run_to(micros(time)),
            ["stall", time] => {
                self.run_to(self.now);
                self.now = micros(time);
            }
            ["penalty", c, delta, "=", value] => {
                let got = penalty(number(c), number(delta));
                if (got - number(value)).abs() > 1e-9 {
                    return Err(format!("the penalty is {got}"));
                }
            }
            [">", ..] => {
                self.run_to(self.now);
                let wanted = &text[2..];
                let got = if self.done.is_empty() {
                    "nothing".to_string()
                } else {
                    self.done.remove(0)
                };
                if got != wanted && got.split(" at ").next() != Some(wanted) {
                    return Err(format!("got '{got}'"));
                }
            }
            _ => {
                if let Some(extra) = self.done.first() {
                    return Err(format!("unexpected before it: '{extra}'"));
                }
                let event = self.happens(&words).ok_or("cannot be read")?;
                self.happened.push(event);
            }
        }
        Ok(())
    }
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
    let mut wrong = Vec::new();
    for file in files {
        let name = file.file_name().unwrap().to_string_lossy().to_string();
        let mut play = Play::default();
        (
            play.agreed.fronts,
            play.agreed.most_executions,
            play.agreed.cores,
        ) = (1.0, 3, vec![8.0]);
        (play.agreed.largest_grant, play.agreed.over_share, play.seed) = (1.0, 0.1, SEED);
        let text = fs::read_to_string(&file).unwrap();
        let lines = text
            .lines()
            .enumerate()
            .filter(|(_, l)| !l.is_empty() && !l.starts_with('#'));
        let mut failed = false;
        for (n, line) in lines.flat_map(|(n, l)| l.split("; ").map(move |part| (n, part))) {
            if let Err(why) = play.line(line) {
                wrong.push(format!("{name}:{}: {line}: {why}", n + 1));
                failed = true;
                break;
            }
        }
        play.run_to(play.now);
        if !play.done.is_empty() && !failed {
            wrong.push(format!("{name}: unexpected at the end: {:?}", play.done));
        }
    }
    assert!(wrong.is_empty(), "\n{}", wrong.join("\n"));
}

/// Every reason why a statement is rejected has a word of its own, the variant's name, which the page for on-call
/// engineers explains, and a scenario that reaches it.
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
        let word = reason.word();
        assert_eq!(
            (word, word),
            (&*format!("{reason:?}"), &*reason.to_string())
        );
        assert!(!words.contains(&word), "{word} twice");
        words.push(word);
        assert!(
            page.contains(&format!("| `{word}` |")),
            "{word} is not in docs/on-call.md"
        );
        let reached = |text: &String| {
            let expected =
                |line: &str| line.starts_with("> ") && line.contains(&format!(": {word}"));
            text.lines().flat_map(|line| line.split("; ")).any(expected)
        };
        assert!(scenarios.iter().any(reached), "no scenario reaches {word}");
    }
}
