//! The setup of a session test: a front with its engines, and helpers to query it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::engine::{Engine, EngineEventKind, Records};
use crate::lines;
use crate::rig::{Coordinator, Front};
use crate::scripted::session::{code, tags, Session};

/// Time limit for one condition; a busy machine needs part of it.
pub(super) const WAIT_LIMIT: Duration = Duration::from_secs(10);
pub(super) const LIMITS: &str = "transaction_idle_ms: 3000, buffer_bytes: 32768";

impl Stage {
    pub(super) fn open(&self) -> Session {
        Session::open(self.front.session_address, "portal", false).unwrap()
    }

    pub(super) fn set_engine_state(&self, engine: usize, state: &str) {
        let e = &self.engines[engine];
        self.coordinator
            .announce(false, &[(format!("e{engine}"), e.at, "pg", state)]);
    }

    pub(super) fn engine_events(&self) -> Vec<(usize, u32, EngineEventKind)> {
        self.records
            .engine_events
            .lock()
            .unwrap()
            .iter()
            .map(|d| (d.engine, d.link, d.kind.clone()))
            .collect()
    }

    /// Returns the engine and link number of each start of a statement, in order.
    pub(super) fn began(&self, wanted: &str) -> Vec<(usize, u32)> {
        let own = |(engine, link, kind): (usize, u32, EngineEventKind)| match kind {
            EngineEventKind::Began { id, .. } if id == wanted => Some((engine, link)),
            _ => None,
        };
        self.engine_events().into_iter().filter_map(own).collect()
    }

    pub(super) fn kept(&self, wanted: &str) -> bool {
        self.engine_events()
            .iter()
            .any(|(_, _, kind)| *kind == EngineEventKind::Kept { id: wanted.into() })
    }

    /// Returns the engine that first started the statement.
    pub(super) fn holder(&self, id: &str) -> usize {
        self.began(id)[0].0
    }
}

pub(super) struct Stage {
    pub(super) records: Arc<Records>,
    pub(super) engines: Vec<Arc<Engine>>,
    pub(super) coordinator: Coordinator,
    pub(super) front: Front,
}

/// Starts a front with `count` PostgreSQL engines and one that speaks the line protocol.
pub(super) fn stage(count: usize, limits: &str) -> Stage {
    stage_with_sockets(count, limits, 1024)
}

pub(super) fn stage_with_sockets(count: usize, limits: &str, sockets: usize) -> Stage {
    stage_with_config(count, limits, sockets, "")
}

/// Like `stage_with_sockets`, with a further part of the operator's file.
pub(super) fn stage_with_config(count: usize, limits: &str, sockets: usize, part: &str) -> Stage {
    let records = Records::new();
    let engines: Vec<_> = (0..count)
        .map(|n| Engine::start(n, records.clone(), true).unwrap())
        .collect();
    let lines_at = lines::engine(count, records.clone()).unwrap();
    let coordinator = Coordinator::start().unwrap();
    let mut list: Vec<_> = engines
        .iter()
        .map(|e| (format!("e{}", e.number), e.at, "pg", "up"))
        .collect();
    list.push(("lines".to_string(), lines_at, "lines", "up"));
    coordinator.announce(true, &list);
    let class = |name: &str, repeat: &str| json!({"name": name, "aimMs": 2000, "deadlineMs": 8000, "repeat": repeat});
    let mut load = class("load", "by_key");
    (load["group"], load["dedupWindowMs"], load["inTurn"]) =
        (json!("all"), json!(9000), json!(true));
    let settings = json!({"instances": 1, "areas": ["here"], "kinds": ["pg", "lines"],
        "rules": {"turnGapMs": 50}, "customers": [{"name": "acme"}],
        "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true},
        "extra": {"sizeCores": [8, 8], "memoryByKindMb": [16384, 16384]},
        "requestClasses": [class("lookup", "repeatable"), load, class("pay", "once")]});
    // Verifier for the password 'example'.
    let verifier = postgres_protocol::password::scram_sha_256(b"example");
    let operator = format!(
        "{{ {part} postgres: {{ listen: '127.0.0.1:0', engines: [{{ kinds: ['pg'] }}],
        users: {{ portal: {{ trust: true, member: 'acme', workload: 'lookup' }},
            locked: {{ verifier: '{verifier}', member: 'acme', workload: 'lookup', engine_user: 'front' }} }},
        limits: {{ {limits} }} }} }}"
    );
    let front = Front::start(&settings, &operator, &coordinator, sockets).unwrap();
    Stage {
        records,
        engines,
        coordinator,
        front,
    }
}

pub(super) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < WAIT_LIMIT, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Sends a simple query and returns the tags of its answer, its error code, and the transaction
/// status after it.
pub(super) fn ask(s: &mut Session, text: &str) -> (String, String, char) {
    s.query(text);
    s.send().unwrap();
    read_answer(s)
}

pub(super) fn read_answer(s: &mut Session) -> (String, String, char) {
    let unit = s.unit().unwrap();
    let error = unit
        .iter()
        .find(|m| m.0 == b'E')
        .map(code)
        .unwrap_or_default();
    (
        tags(&unit),
        error,
        unit.last().map_or(' ', |m| m.1[0] as char),
    )
}

pub(super) fn run(id: &str, more: &str) -> String {
    format!("select run('id={id},rows=1{more}')")
}

/// Returns whether the front's process is stopped, according to the system.
pub(super) fn is_stopped(front: &Front) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", front.pid())).unwrap_or_default();
    stat.rsplit(") ")
        .next()
        .is_some_and(|rest| rest.starts_with('T'))
}
