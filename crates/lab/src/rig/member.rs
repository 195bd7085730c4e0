//! A front of the fleet over its restarts, and the settings that all fronts of a run share.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::datagrams::DatagramRelay;
use super::front::Log;
use super::scenario::FleetShape;
use super::{Coordinator, Front};
use crate::engine::Records;
use crate::record::offered::Offered;

/// Microseconds for which clients still connect to a front that was asked to shut down: half of the
/// time for which its listener stays open.
const CLIENT_GRACE_US: i64 = 300_000;
const SHUTDOWN_TIMEOUT_US: i64 = 30_000_000; // limit on the wait for a shutdown
const SEED_COUNT: usize = 3; // random seed peers per front: the same few for all would be overloaded
pub(crate) const SOCKETS: usize = 256; // file descriptors that each front may hold

/// A front of the fleet: its process while it runs, and its coordinator.
pub(crate) struct Member {
    pub(crate) front: Mutex<Option<Front>>,
    pub(crate) coordinator: Coordinator,
    pub(crate) number: usize,
    /// Milliseconds by which the front's clock is ahead of the machine's.
    pub(crate) clock_ahead_ms: i64,
    /// Whether the front accepts no statements: it is stalled, killed or shutting down.
    pub(crate) unavailable: AtomicBool,
    /// Time in microseconds until which clients connect even if the front is unavailable.
    pub(crate) accepts_until: AtomicI64,
    /// The executable of the next incarnation; `None`: the one beside the lab.
    pub(crate) program: Mutex<Option<PathBuf>>,
    /// The shutdowns that were requested.
    pub(crate) shutdowns: Mutex<Vec<Shutdown>>,
    /// Spans, in microseconds since the rig started, in which the front was stalled, killed or
    /// shutting down: a statement in flight then may be late or lost because of the fault.
    pub(crate) disruptions: Mutex<Vec<(i64, i64)>>,
    /// The logs of all incarnations.
    pub(crate) logs: Mutex<Vec<Log>>,
}

/// A requested shutdown of a front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shutdown {
    pub front: usize,
    /// Times of the request and of the exit of the process, in microseconds.
    pub asked: i64,
    pub exited: i64,
    /// Whether the process exited by itself and without an error.
    pub succeeded: bool,
}

impl Member {
    /// A front that has yet to start; `program` is the executable of its first incarnation, `None`
    /// for the one beside the lab.
    pub(crate) fn new(
        number: usize,
        coordinator: Coordinator,
        ahead_ms: i64,
        program: Option<PathBuf>,
    ) -> Member {
        Member {
            front: Mutex::default(),
            coordinator,
            number,
            clock_ahead_ms: ahead_ms,
            unavailable: AtomicBool::new(false),
            accepts_until: AtomicI64::new(0),
            program: Mutex::new(program),
            shutdowns: Mutex::default(),
            disruptions: Mutex::default(),
            logs: Mutex::default(),
        }
    }

    /// Whether clients may connect now.
    pub(crate) fn accepts_statements(&self, now: i64) -> bool {
        !self.unavailable.load(SeqCst) || now < self.accepts_until.load(SeqCst)
    }

    /// Sets the executable of the next incarnation; `None`: the one beside the lab.
    pub(crate) fn set_next_program(&self, next: Option<PathBuf>) {
        if let Ok(mut program) = self.program.lock() {
            *program = next;
        }
    }

    /// Records that a shutdown was requested.
    pub(crate) fn record_shutdown_request(&self, now: i64) {
        self.accepts_until.store(now + CLIENT_GRACE_US, SeqCst);
        if let Ok(mut shutdowns) = self.shutdowns.lock() {
            shutdowns.push(Shutdown {
                front: self.number,
                asked: now,
                exited: i64::MAX,
                succeeded: false,
            });
        }
    }

    /// The time in microseconds by which the last requested shutdown must have completed; 0 if
    /// there was none.
    pub(crate) fn shutdown_deadline(&self) -> i64 {
        let asked = self
            .shutdowns
            .lock()
            .ok()
            .and_then(|shutdowns| shutdowns.last().map(|end| end.asked));
        asked.map_or(0, |asked| asked + SHUTDOWN_TIMEOUT_US)
    }

    /// Records the exit of the process in any open shutdown.
    pub(crate) fn record_exit(&self, now: i64, well: bool) {
        if let Ok(mut shutdowns) = self.shutdowns.lock() {
            let open = shutdowns.iter_mut().filter(|end| end.exited == i64::MAX);
            open.for_each(|end| (end.exited, end.succeeded) = (now, well));
        }
    }

    /// Starts or restarts the front and returns its process id; with gossip, the seed peers are
    /// drawn at random.
    pub(crate) fn start(&self, config: &FleetConfig) -> Result<u32, String> {
        let options = config
            .member_options
            .get(self.number)
            .cloned()
            .unwrap_or_default();
        let ahead = format!(
            "clock_ahead_ms: {}{}",
            self.clock_ahead_ms, options.operator
        );
        let operator = match &config.gossip {
            None => format!("{{ {ahead} }}"),
            Some((keys, relay)) => {
                let mut rng = Pcg64Mcg::seed_from_u64(self.number as u64);
                let seed = |_| {
                    format!(
                        "'{}'",
                        relay.addresses[rng.random_range(0..relay.addresses.len())]
                    )
                };
                let seeds: Vec<String> = (0..SEED_COUNT).map(seed).collect();
                let file = keys.folder.join(format!("secret{}", self.number));
                let voters = |count: usize| {
                    (0..count)
                        .map(|n| format!("f{n}: '{}'", relay.addresses[n]))
                        .collect::<Vec<_>>()
                };
                let ownership = keys.voters.map(|(count, lease_ms)| {
                    let directory = keys.folder.join(format!("votes{}", self.number));
                    format!(
                        ", ownership: {{ fleet: 'lab', directory: '{}', lease_ms: {lease_ms}, voters: {{ {} }} }}",
                        directory.display(),
                        voters(count).join(", ")
                    )
                });
                let ownership = ownership.unwrap_or_default()
                    + &keys.ledger_settings(self.number, &relay.addresses, &options.ledger)
                    + &keys.overload;
                let quorum = keys
                    .zone_quorum
                    .map(|q| format!("zone_quorum: {q}, "))
                    .unwrap_or_default();
                format!(
                    "{{ {ahead}, gossip: {{ listen: '127.0.0.1:0', advertise: '{}', secret_file: '{}', {quorum}peers: {{ {} }}, \
                     seeds: [{}]{ownership} }} }}",
                    relay.addresses[self.number],
                    file.display(),
                    keys.peers,
                    seeds.join(", ")
                )
            }
        };
        let name = format!("f{}", self.number);
        let seed = Pcg64Mcg::seed_from_u64(config.seed ^ (self.number as u64) << 32).random();
        let environment = (operator.as_str(), options.environment.as_slice());
        let program = self.program.lock().ok().and_then(|program| program.clone());
        let started = Front::start_named(
            (&name, seed),
            &config.settings,
            environment,
            &self.coordinator,
            (SOCKETS, program),
        )?;
        if let Ok(mut logs) = self.logs.lock() {
            logs.push(started.log());
        }
        let at = started.find_log_line("talks with other fronts");
        let at = at.and_then(|line| line.rsplit(' ').next().and_then(|word| word.parse().ok()));
        if let Some(((_, relay), at)) = config.gossip.as_ref().zip(at) {
            relay.register_front(self.number, at);
        }
        let pid = started.pid();
        if let Ok(mut front) = self.front.lock() {
            *front = Some(started);
        }
        Ok(pid)
    }

    /// Marks the front unavailable from `at`; statements in flight may be lost from then on.
    pub(crate) fn mark_unavailable(&self, at: i64) {
        self.unavailable.store(true, SeqCst);
        if let Ok(mut troubled) = self.disruptions.lock() {
            troubled.push((at, i64::MAX));
        }
    }

    /// Marks the front available again.
    pub(crate) fn mark_available(&self, at: i64) {
        if let Ok(mut troubled) = self.disruptions.lock() {
            troubled
                .iter_mut()
                .filter(|(_, to)| *to == i64::MAX)
                .for_each(|(_, to)| *to = at);
        }
        self.unavailable.store(false, SeqCst);
    }

    /// Log lines of all incarnations that contain the text, each with the time when it was read.
    pub(crate) fn log_lines(&self, text: &str) -> Vec<(Instant, String)> {
        let logs = self
            .logs
            .lock()
            .map(|logs| logs.clone())
            .unwrap_or_default();
        let holds = |log: Log| {
            let log = log.lock().map(|log| log.clone()).unwrap_or_default();
            log.into_iter()
                .filter(|(_, line)| line.contains(text))
                .collect::<Vec<_>>()
        };
        logs.into_iter().flat_map(holds).collect()
    }

    /// Sends a signal to the front's process, if one runs.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Ok(front) = self.front.lock() {
            front.iter().for_each(|f| f.signal(signal));
        }
    }
}

/// Options of one front beyond the common settings: rules, sites, disk faults.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberOptions {
    /// Further keys of the operator's file and of its ledger section, each preceded by a comma.
    pub(crate) operator: String,
    pub(crate) ledger: String,
    pub(crate) environment: Vec<(String, String)>,
    /// The file that names the active fault of the replica disk, if the operator's file refers to
    /// one.
    pub(crate) disk_fault_file: Option<PathBuf>,
    /// The executable of the first incarnation; `None`: the one beside the lab.
    pub(crate) program: Option<PathBuf>,
}

/// Settings that all fronts of a run share.
pub(crate) struct FleetConfig {
    pub(crate) seed: u64,
    pub(crate) settings: serde_json::Value,
    /// Options by front; fronts without an entry have the defaults.
    pub(crate) member_options: Vec<MemberOptions>,
    /// The fronts' keys and the datagram relay, if the scenario has gossip.
    pub(crate) gossip: Option<(FleetKeys, DatagramRelay)>,
}

/// The gossip section of the operator's files: the fronts' secrets in files of a temporary folder
/// and their public keys, which all fronts know.
pub(crate) struct FleetKeys {
    folder: PathBuf,
    /// `name: 'public key', ...` for the operator's file.
    peers: String,
    zone_quorum: Option<usize>,
    /// The replication factor of ledger entries, and the number of zones.
    copies: Option<(usize, usize)>,
    /// The number of voters on the ownership of the fleet's work, and the lease length in
    /// milliseconds.
    voters: Option<(usize, u64)>,
    /// The overload section of the operator's file.
    overload: String,
}

impl FleetKeys {
    /// Draws the fronts' keys from the seed and writes the secrets to files.
    pub(crate) fn new(shape: &FleetShape, seed: u64) -> std::io::Result<FleetKeys> {
        let folder =
            std::env::temp_dir().join(format!("hallmux-fleet-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let hex = |bytes: &[u8]| {
            bytes
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect::<String>()
        };
        let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x6b65_7973);
        let mut peers = Vec::new();
        for n in 0..shape.fronts {
            let secret: [u8; 32] = chance.random();
            std::fs::write(folder.join(format!("secret{n}")), hex(&secret))?;
            let public = hallmux_gossip::seal::Identity::new(&secret, 0).public_key();
            peers.push(format!("f{n}: '{}'", hex(&public)));
        }
        let copies = shape.copies.map(|copies| (copies, shape.zones));
        let o = shape.overload();
        let overload = format!(
            ", overload: {{ connections_per_second: {}, probes_per_second: {} }}",
            o.connections_per_second, o.probes_per_second
        );
        let overload = Some(overload)
            .filter(|_| shape.sheds_as_one)
            .unwrap_or_default();
        let voters = shape.voters.map(|voters| (voters, shape.lease_ms));
        Ok(FleetKeys {
            folder,
            peers: peers.join(", "),
            zone_quorum: shape.zone_quorum,
            copies,
            voters,
            overload,
        })
    }
}

impl FleetKeys {
    fn ledger_directory(&self, front: usize) -> PathBuf {
        self.folder.join(format!("ledger{front}"))
    }

    /// The ledger section of a front's operator file.
    fn ledger_settings(&self, front: usize, at: &[std::net::SocketAddr], more: &str) -> String {
        let Some((copies, zones)) = self.copies else {
            return String::new();
        };
        let member = |(n, at): (usize, &std::net::SocketAddr)| {
            format!(
                "f{n}: {{ at: '{at}', zone: '{}' }}",
                super::agreed::zone_name(n % zones)
            )
        };
        let members: Vec<String> = at.iter().enumerate().map(member).collect();
        format!(
            ", ledger: {{ fleet: 'lab', directory: '{}', copies: {copies}{more}, members: {{ {} }} }}",
            self.ledger_directory(front).display(),
            members.join(", ")
        )
    }
}

impl FleetConfig {
    /// Removes what a front keeps on disk.
    pub(crate) fn remove_ledger(&self, front: usize) {
        if let Some((keys, _)) = &self.gossip {
            let _ = std::fs::remove_dir_all(keys.ledger_directory(front));
        }
    }

    /// Sets the fault of the front's replica disk; an empty text ends it.
    pub(crate) fn set_disk_fault(&self, front: usize, what: &str) {
        if let Some(drill) = self
            .member_options
            .get(front)
            .and_then(|options| options.disk_fault_file.as_ref())
        {
            let _ = std::fs::write(drill, what);
        }
    }
}

impl Drop for FleetKeys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The clients' record of a run.
pub(crate) struct ClientRecord {
    pub(crate) records: Arc<Records>,
    /// Each statement with the front that it was sent to.
    pub(crate) offered: Mutex<Vec<Offered>>,
}
