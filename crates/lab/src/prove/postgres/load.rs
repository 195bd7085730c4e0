//! The threads of a `prove postgres` run beside the front: clients, scripted sessions, faults,
//! drains, and the sampling of processor waits.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::runtime::Runtime;

use super::clients::run_client;
use super::faults::{play_drains, play_faults};
use super::keys::both_protocols;
use super::notes::Notes;
use super::sampling::sample_waits;
use super::setup::Setup;
use crate::check::{Drain, ProcessorWaits};
use crate::scripted;

const CLIENTS: usize = 48;
const SCRIPT_THREADS: u64 = 6; // threads that run scripted sessions
const CLIENT_THREADS: usize = 3; // threads on which all clients of the library run
const CLIENT_STOP_TIMEOUT: Duration = Duration::from_secs(6); // time limit for a client to stop
const RUNTIME_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The running threads of a run.
pub(super) struct Load {
    notes: Arc<Notes>,
    drains: JoinHandle<Vec<Drain>>,
    faults: JoinHandle<BTreeMap<&'static str, usize>>,
    keys: JoinHandle<()>,
    scripts: Vec<JoinHandle<()>>,
    runtime: Runtime,
    clients: Vec<tokio::task::JoinHandle<()>>,
    sampler: JoinHandle<ProcessorWaits>,
}

/// Results of the threads of a run.
pub(super) struct LoadOutcome {
    /// How often each fault was injected.
    pub(super) faults: BTreeMap<&'static str, usize>,
    pub(super) drains: Vec<Drain>,
    /// How long the harness and the front waited for a processor.
    pub(super) waited: ProcessorWaits,
}

impl Load {
    /// Starts all threads, each with its own random generator derived from the seed.
    pub(super) fn start(seed: u64, setup: &Setup) -> Result<Load, String> {
        let notes = &setup.notes;
        let (sessions, lines, front) = (
            setup.front.session_address,
            setup.front.statement_address,
            setup.front.pid(),
        );
        let drains = {
            let (engines, coordinator) = (setup.engines.clone(), setup.coordinator.clone());
            let notes = notes.clone();
            std::thread::spawn(move || play_drains(seed, &engines, &coordinator, &notes))
        };
        let faults = {
            let (engines, notes) = (setup.engines.clone(), notes.clone());
            std::thread::spawn(move || play_faults(seed, &engines, &notes))
        };
        let keys = {
            let notes = notes.clone();
            std::thread::spawn(move || both_protocols(seed, lines, sessions, &notes))
        };
        let script = |n: u64| {
            let notes = notes.clone();
            std::thread::spawn(move || scripted::play(seed ^ (n << 32), sessions, &notes))
        };
        let scripts = (0..SCRIPT_THREADS).map(script).collect();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(CLIENT_THREADS)
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        let port = sessions.port();
        let clients = (0..CLIENTS)
            .map(|n| {
                runtime.spawn(run_client(
                    seed.wrapping_add(n as u64 * 7919),
                    port,
                    notes.clone(),
                ))
            })
            .collect();
        let sampler = {
            let notes = notes.clone();
            std::thread::spawn(move || sample_waits(front, &notes))
        };
        Ok(Load {
            notes: notes.clone(),
            drains,
            faults,
            keys,
            scripts,
            runtime,
            clients,
            sampler,
        })
    }

    /// Waits until clients and scripted sessions have ended, which they do once `Notes::stop` is
    /// set.
    pub(super) fn join_clients(&mut self) {
        let clients = std::mem::take(&mut self.clients);
        self.runtime.block_on(async {
            for client in clients {
                let _ = tokio::time::timeout(CLIENT_STOP_TIMEOUT, client).await;
            }
        });
        for script in self.scripts.drain(..) {
            let _ = script.join();
        }
    }

    /// Waits for the remaining threads and returns their results.
    pub(super) fn join(self) -> Result<LoadOutcome, String> {
        let drains = self.drains.join().map_err(|_| "drains")?;
        let faults = self.faults.join().map_err(|_| "faults")?;
        let _ = self.keys.join();
        self.notes.done.store(true, SeqCst);
        let waited = self.sampler.join().map_err(|_| "sampling of waits")?;
        self.runtime.shutdown_timeout(RUNTIME_STOP_TIMEOUT);
        Ok(LoadOutcome {
            faults,
            drains,
            waited,
        })
    }
}
