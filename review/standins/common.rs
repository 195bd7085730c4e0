//! What all cases share: the record, the front under test, its files, and signals.

use std::fs::{self, File};
use std::io::Write;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Why a case could not run; the script then exits with 2.
pub type Failure = String;

/// The record of what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Result<Record, Failure> {
        let file = File::create(path).map_err(|e| format!("{path}: {e}"))?;
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Milliseconds since the start.
    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Adds a line, and returns its time.
    pub fn line(&self, text: &str) -> f64 {
        let ms = self.ms();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{ms:10.1} {text}");
        }
        ms
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is to be played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A port that was free a moment ago.
pub fn free_port() -> Result<u16, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("no free port: {e}"))?;
    listener
        .local_addr()
        .map(|address| address.port())
        .map_err(|e| e.to_string())
}

/// A folder for the front's files; removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Folder, Failure> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "hallmux-review-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, Ordering::Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }

    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, Failure> {
        let path = self.0.join(name);
        fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A front, started by the deploy file's command from the repository's root.
pub struct Front {
    child: Child,
    folder: Folder,
}

impl Front {
    /// Starts a front. `config` is the content of NODE_CONFIG, `operator` that of
    /// HALLMUX_OPERATOR, where there is one.
    pub fn start(config: &str, operator: Option<&str>) -> Result<Front, Failure> {
        let command = std::env::var("RUN_COMMAND").map_err(|_| "RUN_COMMAND is not set")?;
        let root = std::env::var("ROOT").map_err(|_| "ROOT is not set")?;
        let folder = Folder::create()?;
        let log = File::create(folder.0.join("log")).map_err(|e| e.to_string())?;
        let mut front = Command::new("/bin/sh");
        front
            .args(["-c", &command])
            .current_dir(Path::new(&root))
            .env("NODE_CONFIG", folder.write("config.json", config)?)
            .env("TMPDIR", &folder.0)
            .env_remove("HALLMUX_OPERATOR")
            .env_remove("HALLMUX_CLOCK")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(operator) = operator {
            front.env(
                "HALLMUX_OPERATOR",
                folder.write("operator.json5", operator)?,
            );
        }
        // The front ends with this process, however that ends.
        unsafe {
            front.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = front.spawn().map_err(|e| format!("the front: {e}"))?;
        Ok(Front { child, folder })
    }

    /// Sends the front a signal.
    pub fn signal(&self, signal: i32) {
        // The child is not reaped before it is dropped, so the id is still its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// What the front has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.0.join("log")).unwrap_or_default()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Copies the front's log to the record.
pub fn record_log(record: &Record, front: &Front) {
    for line in front.log().lines() {
        record.line(&format!("front's log: {line}"));
    }
}

/// An engine of the list.
pub struct Listed {
    pub id: String,
    pub port: u16,
}

/// The events of the coordinator at the start: the whole list.
fn known(engines: &[Listed], zone: &str, kind: &str) -> String {
    let servers: Vec<String> = engines
        .iter()
        .map(|e| {
            format!(
                r#"{{"id":"{}","addr":"127.0.0.1:{}","zone":"{zone}","kind":"{kind}","cell":0,"state":"up","weight":8,"started_ms":0}}"#,
                e.id, e.port
            )
        })
        .collect();
    format!(
        r#"{{"index":1,"updates":[{{"index":1,"endpoints":{{"version":1,"full":true,"servers":[{}]}}}}]}}"#,
        servers.join(",")
    )
}

/// The settings of a small deployment, with the figures of one of the sites.
pub struct Settings {
    zone: &'static str,
    kind: &'static str,
    text: &'static str,
}

/// `taoyuan-main`: executions may be cancelled, and keys rest for 300 ms.
pub const TAOYUAN: Settings = Settings {
    zone: "taoyuan-dc1",
    kind: "std-8core",
    text: r#"{"instances":1,"areas":["taoyuan-dc1"],"kinds":["std-8core"],"family":"queries",
"bounds":{"cancelling":true,"dialTimeoutMs":250,"keepaliveMs":30000,"maxRetryAfterMs":500,"mostHeld":20000,
 "mostTries":5,"peers":false,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":32},
"customers":[{"name":"counter","allowancePerS":1000}],
"discovery":"automatic",
"extra":{"classWaits":[false,false,false],"costInAnswers":false,"grantsCount":true,"largestShare":0.4,
 "memoryByKindMb":[16384],"parallelism":[1,4,2],"reportX0":"share of memory granted","sizeCores":[8],
 "takesPriority":true,"tellsEveryMs":2000,"whenShort":"line_up","writesTables":[false,false,false]},
"report":{"names":["cpu","active","x0"],"source":"on_probe"},
"requestClasses":[
 {"name":"status-check","aimMs":1000,"aimStretch":1.5,"deadlineMs":5000,"lateShare":0.2,"repeat":"repeatable","worth":1},
 {"name":"settle-report","aimMs":2000,"aimStretch":2.5,"deadlineMs":20000,"lateShare":0.4,"repeat":"repeatable","worth":6},
 {"name":"payout-load","aimMs":3000,"aimStretch":2.5,"deadlineMs":20000,"lateShare":0.5,"inTurn":true,"repeat":"once","worth":4}],
"rules":{"answerSlackMs":20,"askWithinMs":10000,"budgetSpanMs":10000,"coldFrom":0.31,"drainGraceMs":1000,"fallMs":2000,
 "furtherRatio":0.1,"overloadFactor":4,"spareAttempts":3,"turnGapMs":300,"warmWithinMs":15000}}"#,
};

/// `bijenweeg-wageningen`: executions can't be cancelled, and keys need no rest.
pub const BIJENWEEG: Settings = Settings {
    zone: "ams-1",
    kind: "node-8c",
    text: r#"{"instances":1,"areas":["ams-1"],"kinds":["node-8c"],"family":"queries",
"bounds":{"cancelling":false,"dialTimeoutMs":250,"keepaliveMs":15000,"mostHeld":20000,
 "mostTries":3,"peers":false,"probes":true,"retryAfter":false,"secondCopies":false,"streamsPerConn":32},
"customers":[{"name":"imkers-gelderland","allowancePerS":1000}],
"discovery":"automatic",
"extra":{"classWaits":[false,false,false],"costInAnswers":false,"grantsCount":false,"largestShare":0.4,
 "memoryByKindMb":[16384],"parallelism":[1,3,2],"sizeCores":[8],
 "takesPriority":true,"tellsEveryMs":1000,"whenShort":"overcommit","writesTables":[false,false,false]},
"report":{"names":["active","waiting"],"source":"on_probe"},
"requestClasses":[
 {"name":"kort","aimMs":1000,"aimStretch":2,"deadlineMs":5000,"lateShare":0.1,"repeat":"repeatable","worth":1},
 {"name":"rapport","aimMs":1500,"aimStretch":2.5,"deadlineMs":15000,"lateShare":0.4,"repeat":"repeatable","worth":8},
 {"name":"inlees","aimMs":4000,"aimStretch":3,"deadlineMs":25000,"dedupWindowMs":15000,"group":"all","inTurn":true,
  "lateShare":0.6,"repeat":"by_key","worth":5}],
"rules":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.34,"drainGraceMs":250,"fallMs":1500,
 "overloadFactor":3,"turnGapMs":0,"warmWithinMs":14000}}"#,
};

/// The configuration of a front.
pub fn config(listen: u16, engines: &[Listed], settings: &Settings) -> String {
    let known = known(engines, settings.zone, settings.kind);
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{}}}"#,
        settings.text
    )
}

/// The operator's file of a front that takes PostgreSQL sessions for engines that speak PostgreSQL.
pub fn operator(listen: u16) -> String {
    format!(
        r#"{{ postgres: {{ listen: '127.0.0.1:{listen}', engines: [{{ kinds: ['std-8core'] }}],
  users: {{
    portal: {{ trust: true, member: 'counter', workload: 'status-check', engine_user: 'front' }},
    loader: {{ trust: true, member: 'counter', workload: 'payout-load', engine_user: 'front' }} }} }} }}"#
    )
}
