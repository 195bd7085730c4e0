//! A front process on loopback, started with a folder of its own. Dropping `Front` kills the
//! process and removes the folder, also when a test panics.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};

use super::coordinator::Coordinator;

const PROCESS_TIMEOUT: Duration = Duration::from_secs(60); // for a start or an exit; generous for a busy machine

/// The addresses that a front reported in its log, each with whether it is the statement port.
type ReportedAddresses = Arc<(Mutex<Vec<(bool, SocketAddr)>>, Condvar)>;

/// A running front process.
pub struct Front {
    child: Child,
    /// The addresses for statements over Thrift and for PostgreSQL sessions.
    pub statement_address: SocketAddr,
    pub session_address: SocketAddr,
    folder: PathBuf,
    config: Value,
    log: Log,
}

/// The lines of a front's log, each with the time when it was read.
pub type Log = Arc<Mutex<Vec<(Instant, String)>>>;

static NEXT_FOLDER: AtomicUsize = AtomicUsize::new(0);

/// The front's executable in the folder of this program or the one above.
fn default_program() -> Result<PathBuf, String> {
    let executable = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut candidates = executable
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("hallmux-front"));
    let found = candidates.find(|path| path.exists());
    found.ok_or_else(|| {
        "hallmux-front is not built beside this program: cargo build --release".to_string()
    })
}

impl Front {
    /// Starts a front and waits until it accepts statements.
    pub fn start(
        settings: &Value,
        operator: &str,
        coordinator: &Coordinator,
        sockets: usize,
    ) -> Result<Front, String> {
        Front::start_named(
            ("f1", 0x8c1f_30d2_7a5b_e964),
            settings,
            (operator, &[]),
            coordinator,
            (sockets, None),
        )
    }

    /// Starts a front under a name and a seed of its own, since fronts with one seed would draw the
    /// same numbers, with further environment variables and optionally another executable.
    pub fn start_named(
        (name, seed): (&str, u64),
        settings: &Value,
        (operator, environment): (&str, &[(String, String)]),
        coordinator: &Coordinator,
        (sockets, other): (usize, Option<PathBuf>),
    ) -> Result<Front, String> {
        let number = NEXT_FOLDER.fetch_add(1, SeqCst);
        let folder =
            std::env::temp_dir().join(format!("hallmux-lab-{}-{number}", std::process::id()));
        let to_text = |e: std::io::Error| e.to_string();
        std::fs::create_dir_all(&folder).map_err(to_text)?;
        let config = json!({"name": name, "listen": "127.0.0.1:0", "seed": format!("{seed:016x}"),
            "limits": {"memory_mb": 512, "sockets": sockets}, "coordinator": coordinator.address.to_string(),
            "known": coordinator.snapshot(), "settings": settings});
        let (config_path, operator_path) =
            (folder.join("config.json"), folder.join("operator.json5"));
        std::fs::write(&config_path, config.to_string()).map_err(to_text)?;
        std::fs::write(&operator_path, operator).map_err(to_text)?;
        let program = other.map_or_else(default_program, Ok)?;
        let mut child = Command::new(program)
            .env("NODE_CONFIG", &config_path)
            .env("HALLMUX_OPERATOR", &operator_path)
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stderr(Stdio::piped())
            .spawn()
            .map_err(to_text)?;
        let log = BufReader::new(
            child
                .stderr
                .take()
                .ok_or("the stderr of the front is not captured")?,
        );
        let found: ReportedAddresses = Arc::default();
        let addresses = found.clone();
        let log_lines = Log::default();
        let log_writer = log_lines.clone();
        let echoes_log = std::env::var("HALLMUX_LAB_LOG").is_ok();
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                if echoes_log {
                    eprintln!("{line}");
                }
                if let Ok(mut lines) = log_writer.lock() {
                    lines.push((Instant::now(), line.clone()));
                }
                let address = line.rsplit(' ').next().and_then(|word| word.parse().ok());
                if let (true, Some(address), Ok(mut all)) =
                    (line.contains(" takes "), address, addresses.0.lock())
                {
                    all.push((line.contains(" takes statements at "), address));
                    addresses.1.notify_all();
                }
            }
        });
        let all = found.0.lock().map_err(|e| e.to_string())?;
        // The statement port is logged last; the session port, if there is one, before it.
        let wait_result = found.1.wait_timeout_while(all, PROCESS_TIMEOUT, |all| {
            !all.iter().any(|(lines, _)| *lines)
        });
        let (all, _) = wait_result.map_err(|e| e.to_string())?;
        let lines = all.iter().find(|(lines, _)| *lines).map(|(_, at)| *at);
        let sessions = all
            .iter()
            .find(|(lines, _)| !*lines)
            .map(|(_, at)| *at)
            .or(lines);
        match (sessions, lines) {
            (Some(sessions), Some(lines)) => Ok(Front {
                child,
                statement_address: lines,
                session_address: sessions,
                folder,
                config,
                log: log_lines,
            }),
            _ => {
                let _ = child.kill();
                Err("the front logged no statement address in time; set HALLMUX_LAB_LOG to see its log".to_string())
            }
        }
    }

    /// Rewrites the configuration file with a new socket limit and sends SIGHUP.
    pub fn reload_config(&self, sockets: usize) {
        let mut config = self.config.clone();
        config["limits"]["sockets"] = json!(sockets);
        if std::fs::write(self.folder.join("config.json"), config.to_string()).is_ok() {
            self.signal(Signal::SIGHUP);
        }
    }

    /// The last line of the front's log.
    pub fn last_log_line(&self) -> Option<String> {
        self.log.lock().ok()?.last().map(|(_, line)| line.clone())
    }

    /// The first line of the front's log that contains the text.
    pub fn find_log_line(&self, text: &str) -> Option<String> {
        let log = self.log.lock().ok()?;
        log.iter()
            .find(|(_, line)| line.contains(text))
            .map(|(_, line)| line.clone())
    }

    /// The front's log, which grows while the front runs and remains after it has exited.
    pub fn log(&self) -> Log {
        self.log.clone()
    }

    /// Resident memory of the process in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        self.status("VmRSS:")
    }

    fn status(&self, name: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = text
            .lines()
            .find(|line| line.starts_with(name))
            .unwrap_or_default();
        line.split_whitespace()
            .nth(1)
            .and_then(|n| n.parse().ok())
            .unwrap_or(0)
    }

    /// CPU time used by the process in microseconds.
    pub fn cpu_micros(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let rest = text.rsplit(") ").next().unwrap_or_default();
        let ticks: u64 = rest
            .split(' ')
            .skip(11)
            .take(2)
            .filter_map(|n| n.parse::<u64>().ok())
            .sum();
        ticks * 10_000 // a tick is a hundredth of a second on Linux
    }

    /// Whether the process is still running.
    pub fn is_up(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Requests a shutdown by SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the process to exit; returns whether it succeeded and how long the wait took,
    /// `None` on a timeout.
    pub fn wait_for_exit(&mut self) -> Option<(bool, Duration)> {
        let since = Instant::now();
        while since.elapsed() < PROCESS_TIMEOUT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some((status.success(), since.elapsed()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
