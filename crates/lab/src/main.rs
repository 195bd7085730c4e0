//! The laboratory: runs real fronts among stand-in engines and clients, injects faults, checks the
//! records, and measures.

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

/// Checks and measures hallmux on loopback.
#[derive(Parser)]
struct Lab {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a load with faults drawn from a seed and checks the rules on the records of clients and
    /// engines.
    Prove {
        subject: Subject,
        /// Seed of the run; drawn at random and printed if absent.
        #[arg(long)]
        seed: Option<u64>,
        /// Of postgres: minimum number of units that must be accepted.
        #[arg(long, default_value_t = 20_000)]
        units: usize,
        /// Of postgres: minimum number of times that each fault is injected.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Of promises: a short run with some kinds of faults (three by default) instead of all.
        #[arg(long)]
        small: bool,
        /// Of promises: in simulated time, without processes.
        #[arg(long)]
        simulated: bool,
        /// Of promises: number of fronts, instead of 5 to 7.
        #[arg(long)]
        fronts: Option<usize>,
        /// Of promises: replicas of each ledger entry; 0 disables replication, and the run is
        /// expected to fail.
        #[arg(long, default_value_t = 3)]
        copies: usize,
        /// Of promises: run one part only, with its own faults.
        #[arg(long)]
        only: Option<LedgerPart>,
        /// Of promises: a long run in simulated time with concurrent faults of all kinds; a failing
        /// run is reduced to a smaller one.
        #[arg(long)]
        long: bool,
        /// Of a long run: its length, in simulated minutes.
        #[arg(long, default_value_t = 20)]
        minutes: u64,
        /// Path of the front program of another build. In a rolling restart half of the fleet
        /// starts with it, then none, all, and half again use it; in a soak run all fronts use it.
        #[arg(long)]
        other: Option<std::path::PathBuf>,
        /// Of promises, in simulated time: removes a rule; the run is expected to fail.
        #[arg(long)]
        without: Option<OmittedRule>,
    },
    /// Runs a fleet scenario: many fronts, engines in zones, faults between them; checks the
    /// record.
    Fleet {
        /// Path of the scenario file, in TOML.
        scenario: std::path::PathBuf,
        /// Seed of the run; drawn at random and printed if neither this option nor the file gives
        /// one.
        #[arg(long)]
        seed: Option<u64>,
        /// Also runs the same seed with this `zone_quorum` (0: the fleet never evacuates a zone),
        /// and prints both results.
        #[arg(long)]
        beside_quorum: Option<usize>,
        /// Runs in simulated time, without processes: up to 1,000 fronts.
        #[arg(long)]
        simulated: bool,
        /// Number of fronts, instead of the file's.
        #[arg(long)]
        fronts: Option<usize>,
    },
    /// Measures against a baseline, and prints a table.
    Measure { subject: Measurement },
}

#[derive(Clone, Copy, ValueEnum)]
enum Subject {
    Postgres,
    /// The replicated ledger of the fronts, with faults between them.
    Promises,
    /// Independent fronts with drawn settings, on machines whose clocks and system calls fail.
    Soak,
}

/// A rule that the replicated ledger depends on, and that a run can leave out.
#[derive(Clone, Copy, ValueEnum)]
enum OmittedRule {
    /// Executions are sent before their ledger entries are replicated.
    Act,
    /// A front whose disk was emptied returns under its previous identity.
    Identity,
    /// Messages are sent before the state that they depend on is durable.
    Save,
}

impl OmittedRule {
    fn mutation(self) -> Mutation {
        let no_mutation = Mutation::default();
        match self {
            OmittedRule::Act => Mutation {
                skips_barrier: true,
                ..no_mutation
            },
            OmittedRule::Identity => Mutation {
                reuses_disk_identity: true,
                ..no_mutation
            },
            OmittedRule::Save => Mutation {
                sends_before_sync: true,
                ..no_mutation
            },
        }
    }
}

#[derive(Clone, Copy, ValueEnum)]
enum LedgerPart {
    /// Replicas on disk: machines lost at each step of a ledger entry, a full disk and a slow one.
    Disks,
    /// Statements over several sites with concurrent loads, and summaries that fronts must reject.
    Sites,
    /// Access rules that change while fronts are partitioned, stalled and killed.
    Rules,
    /// A rolling restart of the whole fleet by SIGTERM, a tenth at a time.
    Roll,
    /// In simulated time: fronts that die while disks are slow, and a second one right after a
    /// front returns.
    Deaths,
}

#[derive(Clone, Copy, ValueEnum)]
enum Measurement {
    Postgres,
    /// Spread of a gossip report; in simulated time only.
    Gossip,
    /// Fleets of several sizes in simulated time, with the fleet-wide evacuation of a zone off and
    /// on.
    Fleet,
    /// The costs of a ledger entry and of an access decision.
    Promises,
    /// The part of `promises` about statements over several sites: sites asked, with loads at
    /// several rates.
    Sites,
    /// The part of `promises` in simulated time: fleets of 5 to 300 fronts.
    Grown,
    /// Fleets of the same sizes under overload, offered from half to three times the capacity of
    /// the engines.
    Overload,
}

fn main() -> ExitCode {
    let (seed, units, rounds) = match Lab::parse().command {
        Command::Prove {
            subject: Subject::Soak,
            seed,
            other,
            ..
        } => {
            let seed = seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
            return print_proof_result("soak", seed, prove::soak::run(seed, other.as_deref()));
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
            let mutation = without.map(OmittedRule::mutation).unwrap_or_default();
            let options = prove::promises::RunOptions {
                small,
                simulated,
                fronts,
                copies,
                mutation,
            };
            if let Some(only) = only {
                let played = match only {
                    LedgerPart::Disks => prove::disks::run(seed, small),
                    LedgerPart::Sites => prove::sites::run(seed, small),
                    LedgerPart::Rules => prove::rules::run(seed, small),
                    LedgerPart::Roll => prove::roll::run(seed, small, other.as_deref()),
                    LedgerPart::Deaths => prove::deaths::run(seed, options),
                };
                return print_proof_result("promises", seed, played);
            }
            if long {
                return print_proof_result(
                    "promises long",
                    seed,
                    prove::long::run(seed, minutes, options),
                );
            }
            return print_proof_result("promises", seed, prove::promises::run(seed, options));
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
            return run_fleet(&scenario, options);
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
                Err(error) => {
                    eprintln!("measure: {error}");
                    ExitCode::FAILURE
                }
            };
        }
    };
    let seed = seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    print_proof_result(
        "postgres",
        seed,
        prove::postgres::run(prove::postgres::RunSize {
            seed,
            units,
            rounds,
        }),
    )
}

/// Prints the result line of a `prove` run and returns its exit code.
fn print_proof_result(name: &str, seed: u64, run: Result<(bool, String), String>) -> ExitCode {
    let (passed, tallies) = match run {
        Ok(found) => found,
        Err(error) => (false, error),
    };
    println!("prove {name} seed {seed}: {} {tallies}", verdict(passed));
    exit_code(passed)
}

/// Options of a fleet run.
struct FleetOptions {
    seed: Option<u64>,
    beside_quorum: Option<usize>,
    simulated: bool,
    fronts: Option<usize>,
}

fn run_fleet(path: &std::path::Path, options: FleetOptions) -> ExitCode {
    let FleetOptions {
        seed,
        beside_quorum,
        simulated,
        fronts,
    } = options;
    let read = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    let scenario = match read.and_then(|text| scenario::Scenario::parse(&text, simulated, fronts)) {
        Ok(scenario) => scenario,
        Err(error) => {
            eprintln!("fleet: {}: {error}", path.display());
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
        Some(quorum) => {
            run_fleet_comparison(&scenario, &format!("{name} seed {seed}"), quorum, &|s| {
                play(s, seed)
            })
        }
        None => print_fleet_result(&format!("{name} seed {seed}"), play(&scenario, seed)),
    };
    exit_code(passed)
}

/// Runs the scenario with the other quorum first, then with the file's, on the same seed; prints
/// one result line for each.
fn run_fleet_comparison(
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
            Err(error) => {
                all_passed = false;
                println!("fleet {name} ({label}): FAIL {error}");
            }
        }
    }
    all_passed
}

/// Prints the table, violations and result line of a fleet run; returns whether it passed.
fn print_fleet_result(name: &str, played: Result<Run, String>) -> bool {
    let run = match played {
        Ok(run) => run,
        Err(error) => {
            println!("fleet {name}: FAIL {error}");
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
