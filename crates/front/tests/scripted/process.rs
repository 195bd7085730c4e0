//! The front's process: its configuration, its start, its log and the signals sent to it.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::clock::Clock;
use crate::{Scenario, FILES, WAIT_TIMEOUT};

const EXIT_POLL_STEP_MS: i64 = 10; // milliseconds of the front's time between checks whether it has exited
const POLL_INTERVAL: Duration = Duration::from_millis(2);

impl Scenario {
    pub fn server(&self, name: &str, state: &str, address: SocketAddr, has_started: bool) -> Value {
        let started_ms = if has_started { 1_700_000_000_000u64 } else { 0 };
        json!({"id": name, "addr": address.to_string(), "zone": name.split_once('@').map_or("here", |(_, zone)| zone), "kind": "std", "cell": 0,
               "state": state, "weight": 1, "started_ms": started_ms})
    }

    /// The path of a new temporary file, which is removed with the scenario.
    pub fn file(&mut self, kind: &str) -> PathBuf {
        let number = FILES.fetch_add(1, Ordering::SeqCst);
        let name = format!("hallmux-play-{}-{number}.{kind}", std::process::id());
        self.files.push(std::env::temp_dir().join(name));
        self.files[self.files.len() - 1].clone()
    }

    pub fn spawn(&mut self) -> Child {
        let servers: Vec<Value> = self
            .engines
            .iter()
            .map(|(name, engine)| self.server(name, "up", engine.address, false))
            .collect();
        let known =
            json!({"index": 1, "endpoints": {"version": 1, "full": true, "servers": servers}});
        self.coordinator_state.0.lock().unwrap().updates.push(known);
        self.start_coordinator();
        self.config = self.file("json");
        self.write_configuration();
        if self.clock.is_none() {
            self.clock_path = self.file("clock");
            self.clock = Some(Clock::new(&self.clock_path));
        }
        let mut command = self.command();
        command
            .env("NODE_CONFIG", &self.config)
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_NAME");
        command
            .env_remove("HALLMUX_OPERATOR")
            .env_remove("HALLMUX_CLOCK");
        if !self.resources.real_time {
            command.env("HALLMUX_CLOCK", &self.clock_path);
        }
        if let Some(faults) = &self.machine_faults {
            command.envs(faults.environment());
        }
        if let Some(operator) = &self.operator {
            command.env("HALLMUX_OPERATOR", operator);
        }
        command.stderr(Stdio::piped()).spawn().unwrap()
    }

    /// The command that starts the front; with a descriptor limit of its own, through a shell that the front
    /// replaces.
    fn command(&self) -> Command {
        const FRONT: &str = env!("CARGO_BIN_EXE_hallmux-front");
        let Some(limit) = self.resources.granted_descriptors else {
            return Command::new(FRONT);
        };
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("ulimit -n {limit} && exec \"$0\""), FRONT]);
        shell
    }

    /// Writes the configuration to the latest file.
    pub fn write_configuration(&self) {
        let updates = &self.coordinator_state.0.lock().unwrap().updates;
        let known = &updates[..self.known_updates.max(1)];
        let mut config = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": self.coordinator.map(|address| address.to_string()),
            "known": {"index": known.len(), "updates": known}, "settings": self.settings});
        for (key, value) in &self.configuration_overrides {
            config[key] = value.clone();
        }
        std::fs::write(&self.config, config.to_string()).unwrap();
    }

    pub fn signal(&self, which: &str) {
        let pid = self.front.as_ref().unwrap().id().to_string();
        assert!(Command::new("kill")
            .args([which, &pid])
            .status()
            .unwrap()
            .success());
    }

    /// Waits until the front has exited successfully. Time advances meanwhile, as the front keeps connections
    /// that it has shut down until the clients close theirs.
    pub fn wait_for_exit(&mut self) {
        let mut front = self.front.take().unwrap();
        let started = Instant::now();
        let status = loop {
            if let Some(status) = front.try_wait().unwrap() {
                break status;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the front did not exit in time"
            );
            self.clock.as_mut().unwrap().jump(EXIT_POLL_STEP_MS);
            std::thread::sleep(POLL_INTERVAL);
        };
        assert!(status.success());
    }

    pub fn memory_kb(&self) -> usize {
        let pid = self.front.as_ref().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    pub fn start(&mut self) {
        let mut front = self.spawn();
        let ((sender, ready), (log_sender, log_lines)) = (channel(), channel());
        let mut log = BufReader::new(front.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        std::thread::spawn(move || {
            let found = log
                .by_ref()
                .find_map(|l| Some(l.split_once("takes statements at ")?.1.to_string()));
            let _ = sender.send(found);
            log.for_each(|line| {
                println!("{line}");
                let _ = log_sender.send(line);
            });
        });
        (self.front, self.log) = (Some(front), Some(log_lines));
        self.front_address = ready
            .recv_timeout(WAIT_TIMEOUT)
            .unwrap()
            .expect("the front exited before it accepted statements");
    }
}
