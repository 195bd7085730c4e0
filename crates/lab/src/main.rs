//! The laboratory: real fronts among stand-ins, faults on demand, checkers and measurements.

mod check;
mod engine;
mod load;
mod measure;
mod prove;
mod record;
mod rig;
mod scripted;
#[cfg(test)]
mod session_cases;
mod simulated;

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

use engine::lines;
use record::account::Run;
use rig::{fleet, scenario};
use simulated::Mutation;

/// Proves and measures hallmux on loopback.
#[derive(Parser)]
struct Lab {
    #[command(subcommand)]
    what: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a run drawn from a seed and checks the rules on what clients and engines wrote down.
    Prove {
        subject: Subject,
        /// Drawn and printed where it is not given.
        #[arg(long)]
        seed: Option<u64>,
        /// How many units are to be accepted at least.
        #[arg(long, default_value_t = 20_000)]
        units: usize,
        /// How often each fault is to be played at least.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Of promises: three faults instead of all.
        #[arg(long)]
        small: bool,
        /// Of promises: in simulated time, without processes.
        #[arg(long)]
        simulated: bool,
        /// Of promises: so many fronts instead of 5 to 7.
        #[arg(long)]
        fronts: Option<usize>,
        /// Of promises: fronts that each stands on; with 0 none keeps any for another, and the run is to fail.
        #[arg(long, default_value_t = 3)]
        copies: usize,
        /// Of promises: one part of them, with faults of its own.
        #[arg(long)]
        only: Option<PromisePart>,
        /// Of promises: a long day in simulated time, all kinds of faults, several at once; a failing one is cut down.
        #[arg(long)]
        long: bool,
        /// Of a long day: how long, in simulated minutes.
        #[arg(long, default_value_t = 20)]
        minutes: u64,
        /// The front's program of another build. Of a roll: half of the fleet is of it, then none, all, and half again; of
        /// a soak: all are.
        #[arg(long)]
        other: Option<std::path::PathBuf>,
        /// Of promises, in simulated time: a rule is taken out, and the run is to fail.
        #[arg(long)]
        without: Option<OmittedRule>,
    },
    /// Plays a fleet scenario: many fronts, engines in zones, faults between them; checks the record.
    Fleet {
        /// The scenario, in TOML.
        scenario: std::path::PathBuf,
        /// Drawn and printed where neither this nor the file gives one.
        #[arg(long)]
        seed: Option<u64>,
        /// Plays the same seed a second time with this `zone_quorum` (0: the fleet never leaves a zone), side by side.
        #[arg(long)]
        beside_quorum: Option<usize>,
        /// In simulated time, without processes: up to 1,000 fronts.
        #[arg(long)]
        simulated: bool,
        /// So many fronts instead of the file's.
        #[arg(long)]
        fronts: Option<usize>,
    },
    /// Measures beside a plain way, and prints a table.
    Measure { subject: Measurement },
}

#[derive(Clone, Copy, ValueEnum)]
enum Subject {
    Postgres,
    /// What fronts keep for each other, among faults between them.
    Promises,
    /// Fronts that share nothing, of drawn settings, on machines whose clocks and system calls fail.
    Soak,
}

/// A rule that promises rest on.
#[derive(Clone, Copy, ValueEnum)]
enum OmittedRule {
    /// Executions leave before their promise stands.
    Act,
    /// An emptied disk comes back under the identity that it had.
    Identity,
    /// Words leave before what they rest on is lasting.
    Save,
}

impl OmittedRule {
    fn spoils(self) -> Mutation {
        let whole = Mutation::default();
        match self {
            OmittedRule::Act => Mutation {
                skips_barrier: true,
                ..whole
            },
            OmittedRule::Identity => Mutation {
                reuses_disk_identity: true,
                ..whole
            },
            OmittedRule::Save => Mutation {
                sends_before_sync: true,
                ..whole
            },
        }
    }
}

#[derive(Clone, Copy, ValueEnum)]
enum PromisePart {
    /// Copies on disk: machines lost at each step of a promise, a full disk and a slow one.
    Disks,
    /// Statements over several sites among loads, with summaries that must count for nothing.
    Sites,
    /// Access rules that change while fronts are cut off, stopped and killed.
    Rules,
    /// The whole fleet ended by SIGTERM and started anew, a tenth at a time.
    Roll,
    /// In simulated time: fronts that die while disks are slow, and a second one right after a return.
    Deaths,
}

#[derive(Clone, Copy, ValueEnum)]
enum Measurement {
    Postgres,
    /// In simulated time alone, for now.
    Gossip,
    /// Fleets of several sizes in simulated time, the fleet's word on a zone off and on.
    Fleet,
    /// What a promise costs, and a decision of the access rules.
    Promises,
    /// Of promises, the part about statements over several sites: sites asked with loads at several rates.
    Sites,
    /// Of promises, the part in simulated time: fleets of 5 to 300 fronts.
    Grown,
    /// The same under overload, from half of what the engines bear to three times.
    Overload,
}

fn main() -> ExitCode {
    let (seed, units, rounds) = match Lab::parse().what {
        Command::Prove {
            subject: Subject::Soak,
            seed,
            other,
            ..
        } => {
            let seed = seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
            return proof_result("soak", seed, prove::soak::run(seed, other.as_deref()));
        }
        Command::Prove {
            subject: Subject::Postgres,
            seed,
            units,
            rounds,
            ..
        } => (seed, units, rounds),
        Command::Prove {
            seed,
            small,
            simulated,
            fronts,
            copies,
            only,
            long,
            minutes,
            other,
            without,
            ..
        } => {
            let seed = seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
            let spoil = without.map(OmittedRule::spoils).unwrap_or_default();
            let way = prove::promises::RunOptions {
                small,
                simulated,
                fronts,
                copies,
                spoil,
            };
            if let Some(only) = only {
                let played = match only {
                    PromisePart::Disks => prove::disks::run(seed, small),
                    PromisePart::Sites => prove::sites::run(seed, small),
                    PromisePart::Rules => prove::rules::run(seed, small),
                    PromisePart::Roll => prove::roll::run(seed, small, other.as_deref()),
                    PromisePart::Deaths => prove::deaths::run(seed, way),
                };
                return proof_result("promises", seed, played);
            }
            if long {
                return proof_result("promises long", seed, prove::long::run(seed, minutes, way));
            }
            return proof_result("promises", seed, prove::promises::run(seed, way));
        }
        Command::Fleet {
            scenario,
            seed,
            beside_quorum,
            simulated,
            fronts,
        } => {
            let options = FleetOptions {
                seed,
                beside_quorum,
                simulated,
                fronts,
            };
            return fleet_run(&scenario, options);
        }
        Command::Measure { subject } => {
            let measured = match subject {
                Measurement::Postgres => measure::portal::postgres(),
                Measurement::Promises => measure::promises::measure(),
                Measurement::Sites => measure::sites::measure(),
                Measurement::Grown => measure::grown::measure(),
                Measurement::Overload => measure::overload::measure(),
                Measurement::Fleet => measure::fleet::measure(),
                Measurement::Gossip => measure::gossip::spread(&[20, 100, 1_000]),
            };
            return match measured {
                Ok(()) => ExitCode::SUCCESS,
                Err(why) => {
                    eprintln!("measure: {why}");
                    ExitCode::FAILURE
                }
            };
        }
    };
    let seed = seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    proof_result(
        "postgres",
        seed,
        prove::postgres::run(prove::postgres::Size {
            seed,
            units,
            rounds,
        }),
    )
}

/// Prints the last line of a proof.
fn proof_result(name: &str, seed: u64, run: Result<(bool, String), String>) -> ExitCode {
    let (passed, tallies) = match run {
        Ok(found) => found,
        Err(why) => (false, why),
    };
    println!("prove {name} seed {seed}: {} {tallies}", verdict(passed));
    exit_code(passed)
}

/// How a fleet scenario is played.
struct FleetOptions {
    seed: Option<u64>,
    beside_quorum: Option<usize>,
    simulated: bool,
    fronts: Option<usize>,
}

fn fleet_run(path: &std::path::Path, options: FleetOptions) -> ExitCode {
    let FleetOptions {
        seed,
        beside_quorum,
        simulated,
        fronts,
    } = options;
    let read = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    let scenario = match read.and_then(|text| scenario::Scenario::parse(&text, simulated, fronts)) {
        Ok(scenario) => scenario,
        Err(why) => {
            eprintln!("fleet: {}: {why}", path.display());
            return ExitCode::from(2);
        }
    };
    let seed = fleet::choose_seed(&scenario, seed);
    let name = path
        .file_stem()
        .map(|s| s.to_string_lossy().to_string())
        .unwrap_or_default();
    let name = if simulated {
        format!("{name} (simulated, {} fronts)", scenario.fleet.fronts)
    } else {
        name
    };
    let play = if simulated {
        simulated::run
    } else {
        fleet::run
    };
    let passed = match beside_quorum {
        Some(quorum) => fleet_beside(&scenario, &format!("{name} seed {seed}"), quorum, &|s| {
            play(s, seed)
        }),
        None => fleet_result(&format!("{name} seed {seed}"), play(&scenario, seed)),
    };
    exit_code(passed)
}

/// Plays the other quorum first, then the file's, on the same seed; each line as it would stand alone.
fn fleet_beside(
    scenario: &scenario::Scenario,
    name: &str,
    quorum: usize,
    play: &dyn Fn(&scenario::Scenario) -> Result<Run, String>,
) -> bool {
    let mut other = scenario.clone();
    other.fleet.zone_quorum = Some(quorum);
    let mut all_passed = true;
    for (label, played) in [
        (format!("zone_quorum {quorum}"), &other),
        ("as the file says".to_string(), scenario),
    ] {
        match play(played) {
            Ok(run) => {
                all_passed &= run.passed();
                println!(
                    "fleet {name} ({label}): {} {}",
                    verdict(run.passed()),
                    run.line()
                )
            }
            Err(why) => {
                all_passed = false;
                println!("fleet {name} ({label}): FAIL {why}");
            }
        }
    }
    all_passed
}

/// Prints what a fleet's run came to, and its last line; whether it passed.
fn fleet_result(name: &str, played: Result<Run, String>) -> bool {
    let run = match played {
        Ok(run) => run,
        Err(why) => {
            println!("fleet {name}: FAIL {why}");
            return false;
        }
    };
    print!("{}", run.table);
    for (rule, seen) in &run.violations {
        println!(
            "violation {rule}: {}",
            seen.iter().take(5).cloned().collect::<Vec<_>>().join("; ")
        );
    }
    let pids: Vec<String> = run.pids.iter().map(u32::to_string).collect();
    println!("pids {}", pids.join(","));
    println!("fleet {name}: {} {}", verdict(run.passed()), run.line());
    run.passed()
}

fn exit_code(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn verdict(passed: bool) -> &'static str {
    if passed {
        "pass"
    } else {
        "FAIL"
    }
}
