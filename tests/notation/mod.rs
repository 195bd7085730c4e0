//! The scenario notation: parses words into settings, engines and events, and formats actions as
//! text.

use std::collections::BTreeMap;

use hallmux::interface::{
    Action, Agreement, Arrival, DedupGroup, Demand, Effect, EngineBudgets, EngineEntry, Event,
    ExecutionEnded, FleetDemand, KeyId, Micros, Mode, Outcome, PeerReport, ProgressReport,
    RetryAllowance, StatementId, Workload,
};

/// One millisecond.
pub const MS: Micros = 1000;

/// Window of the retry budget.
const RETRY_WINDOW: Micros = 10_000 * MS;

/// Parses a number; panics on anything else.
pub fn number(text: &str) -> f64 {
    text.parse()
        .unwrap_or_else(|_| panic!("'{text}' is not a number"))
}

/// Parses a time in milliseconds.
pub fn micros(text: &str) -> Micros {
    (number(text) * MS as f64) as Micros
}

fn numbers(text: &str) -> Vec<f64> {
    text.split(',').map(number).collect()
}

/// Names, indexed in the order of first use.
#[derive(Default)]
pub struct Names(Vec<String>);

impl Names {
    /// The index of a name, which is added if it is new.
    pub fn index_of(&mut self, name: &str) -> usize {
        let index = self.0.iter().position(|n| n == name);
        index.unwrap_or_else(|| {
            self.0.push(name.to_string());
            self.0.len() - 1
        })
    }

    /// The index of a known name; `None` if the name is new.
    fn find(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|n| n == name)
    }

    /// The name at an index.
    fn name_at(&self, index: usize) -> &str {
        &self.0[index]
    }
}

/// The `name=value` options of a line; a bare word has the value "yes".
pub struct Options<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Options<'a> {
    /// Parses the options from words.
    pub fn of(words: &[&'a str]) -> Self {
        let parts = words.iter();
        Options(
            parts
                .map(|word| word.split_once('=').unwrap_or((word, "yes")))
                .collect(),
        )
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.get(name).copied()
    }

    fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    fn number(&self, name: &str) -> f64 {
        self.get(name).map_or(0.0, number)
    }

    fn number_or(&self, name: &str, absent: f64) -> f64 {
        self.get(name).map_or(absent, number)
    }

    fn micros_or(&self, name: &str, absent_ms: Micros) -> Micros {
        self.get(name).map_or(absent_ms * MS, micros)
    }

    fn index(&self, name: &str) -> usize {
        self.number(name) as usize
    }
}

/// The settings of `site` lines.
pub struct Site {
    /// The agreement.
    pub agreement: Agreement,
    /// The seed of the random draws.
    pub seed: u64,
}

impl Site {
    /// Applies the options of a `site` line.
    pub fn set(&mut self, options: &Options) {
        for (name, value) in &options.0 {
            self.set_one(name, value);
        }
    }

    fn set_one(&mut self, name: &str, value: &str) {
        let agreement = &mut self.agreement;
        match name {
            "fronts" => agreement.fronts = number(value),
            "cores" => agreement.cores = numbers(value),
            "memory" => agreement.memory_mb = numbers(value),
            "executions" => agreement.max_attempts = number(value) as usize,
            "retry-after" => agreement.max_retry_after = Some(micros(value)),
            "notes" => agreement.progress_interval = micros(value),
            "cancel" => agreement.cancel = true,
            "probes" => agreement.probes = true,
            "priorities" => agreement.priorities = true,
            "grants" => agreement.grants = true,
            "active" => agreement.report.active = Some(0),
            "busy" => agreement.report.busy = Some(0),
            "turn-gap" => agreement.order_gap = micros(value),
            "seed" => self.seed = number(value) as u64,
            "cold-from" => agreement.initial_capacity_share = number(value),
            "warm-within" => agreement.warm_up_time = micros(value),
            "overload" => agreement.overload_factor = number(value),
            "fall" => agreement.overload_window = micros(value),
            "zone-quorum" => agreement.zone_quorum = number(value) as usize,
            "on-probe" => agreement.report_on_probe = true,
            "budgets" => agreement.budgets = Some(engine_budgets(value)),
            "customers" => agreement.customers = numbers(value),
            "spare" => {
                agreement.retry_allowance = Some(RetryAllowance {
                    spare: number(value),
                    ratio: 0.1,
                    window: RETRY_WINDOW,
                });
            }
            other => panic!("unknown setting '{other}'"),
        }
    }
}

fn engine_budgets(text: &str) -> EngineBudgets {
    let each = numbers(text);
    EngineBudgets {
        connections: each[0],
        probes: each[1],
    }
}

/// The workload described by the options of a `workload` line.
pub fn workload(options: &Options) -> Workload {
    Workload {
        importance: options.number_or("importance", 1.0),
        late_value_share: options.number("late"),
        slo_time: options.micros_or("slo", 1000),
        slo_stretch: options.number("stretch"),
        statement_timeout: options.micros_or("timeout", 5000),
        effect: match options.get("effect") {
            Some("deduplicated") => Effect::Deduplicated,
            Some("non-idempotent") => Effect::NonIdempotent,
            _ => Effect::Idempotent,
        },
        dedup_group: match options.get("group") {
            Some("location") => DedupGroup::Location,
            Some("cell") => DedupGroup::Cell,
            _ => DedupGroup::All,
        },
        dedup_window: options.micros_or("window", 1000),
        in_order: options.has("in-order"),
        threads: options.number_or("threads", 1.0),
        holds_data: options.has("holds"),
        waits_for_data: options.has("waits"),
        locations: options.get("location").map(|l| vec![number(l) as usize]),
        kinds: options.get("kind").map(|k| vec![number(k) as usize]),
    }
}

/// The names used in a scenario.
#[derive(Default)]
pub struct ScenarioNames {
    /// Names of workloads, in the order of the settings.
    pub workloads: Names,
    /// Names of engines.
    pub engines: Names,
    /// Names of statements.
    pub statements: Names,
    /// Names of order keys.
    pub keys: Names,
}

impl ScenarioNames {
    /// The list entry described by an `engine` line.
    pub fn engine(&mut self, name: &str, options: &Options) -> EngineEntry {
        EngineEntry {
            engine: self.engines.index_of(name),
            location: options.index("location"),
            kind: options.index("kind"),
            cell: options.index("cell"),
            mode: match options.get("mode") {
                Some("draining") => Mode::Draining,
                Some("gone") => Mode::Gone,
                _ => Mode::Ready,
            },
            started: options.get("started").map(micros),
            protocols: options.number_or("speaks", 1.0) as u8,
            sends_progress: !options.has("quiet"),
        }
    }

    /// The event described by a line; `None` if the line is not valid.
    pub fn event(&mut self, words: &[&str]) -> Option<Event> {
        match words[0] {
            "take" => self.arrival(words),
            "end" => self.end(words),
            "note" => self.note(words),
            "leave" => {
                let statement = self.statement(words[1]);
                Some(Event::StatementWithdrawn(statement))
            }
            "hear" => self.peer_report(words),
            "asked" => Some(self.fleet_demand(&Options::of(&words[1..]))),
            "room" => Some(Event::SendCapacity {
                engine: self.engines.find(words[1])?,
                executions: number(words[2]) as usize,
            }),
            "fleet" => {
                let options = Options::of(&words[1..]);
                Some(Event::Fleet {
                    known: options.number("known"),
                    up: options.number("up"),
                })
            }
            "probed" => Some(Event::Probed {
                engine: self.engines.find(words[1])?,
                alive: Options::of(&words[2..]).has("alive"),
                report: None,
            }),
            "free" => Some(Event::OrderKeyReleased {
                key: self.keys.find(words[1])? as KeyId,
                pauses: Options::of(&words[2..]).has("rests"),
            }),
            _ => None,
        }
    }

    fn statement(&mut self, name: &str) -> StatementId {
        self.statements.index_of(name) as StatementId
    }

    fn arrival(&mut self, words: &[&str]) -> Option<Event> {
        let options = Options::of(&words[2..]);
        let locations = |list: &str| {
            let named = list.split(',').filter(|location| !location.is_empty());
            named.map(|location| number(location) as usize).collect()
        };
        let key = options.get("key").map(|key| self.keys.index_of(key));
        let sticky_engine = options.get("pinned");
        Some(Event::Arrived(Arrival {
            statement: self.statement(words[1]),
            workload: self.workloads.find(words[2])?,
            customer: options.index("customer"),
            order_key: key.map(|key| key as KeyId),
            time_left: options.micros_or("left", 5000),
            work: options.number("work") * MS as f64,
            memory_mb: options.number("memory"),
            data_set: options.get("data").map(|d| number(d) as u32),
            protocols: options.number_or("speech", 1.0) as u8,
            sticky_engine: sticky_engine.and_then(|name| self.engines.find(name)),
            allowed_locations: options.get("allowed").map(locations),
        }))
    }

    fn end(&mut self, words: &[&str]) -> Option<Event> {
        let options = Options::of(&words[2..]);
        let outcome = outcome(words[3])?;
        let report = options.get("active").or(options.get("busy"));
        Some(Event::ExecutionEnded(ExecutionEnded {
            statement: self.statement(words[1]),
            execution: options.index("execution"),
            engine: self.engines.find(words[2])?,
            outcome,
            took: options.micros_or("took", 100),
            settled: outcome == Outcome::Completed || options.has("settled"),
            keeps_order_key: options.has("holds"),
            report: report.map(|load| vec![number(load)]),
        }))
    }

    fn note(&mut self, words: &[&str]) -> Option<Event> {
        let options = Options::of(&words[2..]);
        let progress = match options.get("spills") {
            Some(lacks) => ProgressReport::SpillsMb(number(lacks)),
            None if options.has("waits") => ProgressReport::WaitsForData,
            None => ProgressReport::ShareDone(options.number("done")),
        };
        Some(Event::Progress {
            statement: self.statement(words[1]),
            execution: options.index("execution"),
            engine: self.engines.find(words[2])?,
            progress,
        })
    }

    fn peer_report(&self, words: &[&str]) -> Option<Event> {
        let options = Options::of(&words[2..]);
        Some(Event::PeerReport(PeerReport {
            reporter: number(words[1]) as usize,
            engine: self.engines.find(words[2])?,
            failed: options.number("failed"),
            answered: options.number("answered"),
            silent: options.micros_or("silent", 0),
            age: options.micros_or("age", 0),
        }))
    }

    /// The fleet demand with each workload as `NAME=ARRIVED/ENDED/TIMELY`. Each statement has one
    /// second of work on one thread.
    fn fleet_demand(&self, options: &Options) -> Event {
        let demand = |name: &String| {
            let counts = options.get(name).unwrap_or_default();
            let counts: Vec<f64> = counts
                .split('/')
                .filter(|count| !count.is_empty())
                .map(number)
                .collect();
            let count = |index: usize| counts.get(index).copied().unwrap_or(0.0);
            Demand {
                arrived: count(0),
                ended: count(1),
                timely: count(2),
                work: 1e6,
            }
        };
        Event::FleetDemand(FleetDemand {
            late_share: options.number("missed"),
            relative: options.number("part"),
            workloads: self.workloads.0.iter().map(demand).collect(),
            customers_per_s: options.get("customers").map_or(vec![], numbers),
        })
    }

    /// The text of an action in the notation; `None` for a wake.
    pub fn action(&self, action: &Action) -> Option<String> {
        let statement = |id: &StatementId| self.statements.name_at(*id as usize);
        let engine = |index: &usize| self.engines.name_at(*index);
        Some(match action {
            Action::Wake { .. } => return None,
            Action::Execute {
                statement: id,
                engine: index,
            } => format!("execute {} {}", statement(id), engine(index)),
            Action::SetResources {
                statement: id,
                grant_mb,
                priority,
            } => format!(
                "terms {} grant={grant_mb:.0} priority={priority}",
                statement(id)
            ),
            Action::Cancel {
                statement: id,
                execution,
            } => format!("cancel {} {execution}", statement(id)),
            Action::Reject {
                statement: id,
                retry_after,
                reason,
            } => {
                let come_back = retry_after.map_or("", |_| " come-back");
                format!("reject {}{come_back}: {reason}", statement(id))
            }
            Action::Abort {
                statement: id,
                reason,
            } => format!("abort {}: {reason}", statement(id)),
            Action::Probe { engine: index } => format!("probe {}", engine(index)),
            Action::ProbeEvacuated { engine: index } => {
                format!("probe-evacuated {}", engine(index))
            }
            Action::SetConnectionRate { connections } => format!("pace {connections:.2}"),
            Action::Subscribe => "subscribe".to_string(),
        })
    }
}

fn outcome(word: &str) -> Option<Outcome> {
    Some(match word {
        "completed" => Outcome::Completed,
        "error" => Outcome::Error,
        "no-room" => Outcome::NoCapacity,
        "timed-out" => Outcome::TimedOut,
        "no-route" => Outcome::Unreachable,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "not-sent" => Outcome::NotSent,
        _ => return None,
    })
}
