//! The front under review: one process, started by the command in the deploy file.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

use crate::record::Record;

/// The fronts that this process has started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn running() -> std::sync::MutexGuard<'static, Vec<u32>> {
    RUNNING.lock().unwrap_or_else(|e| e.into_inner())
}

/// Ends all fronts at once: for a case that ends out of turn.
pub fn end_all() {
    for pid in running().drain(..) {
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -KILL {pid}"))
            .status();
    }
}

pub struct Front {
    child: Child,
    record: Record,
    pub folder: PathBuf,
}

/// The value of `run` in the deploy file.
fn run_command(root: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))
        .map_err(|e| format!("deploy/balancer.toml: {e}"))?;
    let line = text
        .lines()
        .find_map(|line| {
            line.trim()
                .strip_prefix("run")?
                .trim_start()
                .strip_prefix('=')
        })
        .ok_or("deploy/balancer.toml has no `run`")?;
    let mut parts = line.split('"');
    parts.next();
    parts
        .next()
        .map(str::to_string)
        .ok_or_else(|| "`run` is no text in quotes".to_string())
}

impl Front {
    /// Starts a front with this configuration, and this operator's file if there is one.
    pub fn start(
        record: &Record,
        name: &str,
        config: &str,
        operator: Option<&str>,
    ) -> Result<Front, String> {
        let root = std::env::current_dir().map_err(|e| e.to_string())?;
        let run = run_command(&root)?;
        let folder = std::env::temp_dir().join(format!(
            "review-{}-{name}-{}",
            std::process::id(),
            record.now() as u64
        ));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let write = |file: &str, text: &str| {
            let path = folder.join(file);
            std::fs::write(&path, text).map_err(|e| e.to_string())?;
            Ok::<PathBuf, String>(path)
        };
        let config = write("config.json", config)?;
        let log = File::create(folder.join("front.log")).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(&run)
            .current_dir(&root)
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", &folder)
            .env(
                "HALLMUX_LOG",
                std::env::var("HALLMUX_LOG").unwrap_or_else(|_| "info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(text) = operator {
            command.env("HALLMUX_OPERATOR", write("operator.json5", text)?);
        }
        let child = command.spawn().map_err(|e| format!("{run}: {e}"))?;
        running().push(child.id());
        record.line(&format!("front {name}: process {} started", child.id()));
        Ok(Front {
            child,
            record: record.clone(),
            folder,
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        self.record.line(&format!("front: SIG{name}"));
        let _ = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status();
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// Appends the front's log to the record.
    pub fn log_to_record(&self) {
        let log = std::fs::read_to_string(self.folder.join("front.log")).unwrap_or_default();
        for line in log.lines().take(400) {
            self.record.line(&format!("front's log: {line}"));
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        running().retain(|other| *other != pid);
        self.log_to_record();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
