//! The setup of a session case: a front among engines, and how it is asked.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::engine::{Engine, EngineEventKind, Records};
use crate::lines;
use crate::rig::{Coordinator, Front};
use crate::scripted::session::{code, tags, Session};

pub(super) const WAIT_LIMIT: Duration = Duration::from_secs(10); // for one thing to come about; a busy machine takes some
pub(super) const LIMITS: &str = "transaction_idle_ms: 3000, buffer_bytes: 32768";

impl Stage {
    pub(super) fn open(&self) -> Session {
        Session::open(self.front.sessions, "portal", false).unwrap()
    }

    pub(super) fn set_engine_state(&self, engine: usize, state: &str) {
        let e = &self.engines[engine];
        self.coordinator
            .tell(false, &[(format!("e{engine}"), e.at, "pg", state)]);
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

    /// Where a statement began, in order.
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

    /// The engine that has the only transaction that is open.
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

/// A front among so many engines, and one that speaks lines.
pub(super) fn stage(count: usize, limits: &str) -> Stage {
    stage_with_sockets(count, limits, 1024)
}

pub(super) fn stage_with_sockets(count: usize, limits: &str, sockets: usize) -> Stage {
    stage_with_config(count, limits, sockets, "")
}

/// The same with a further part of the operator's file.
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
    coordinator.tell(true, &list);
    let class = |name: &str, repeat: &str| json!({"name": name, "aimMs": 2000, "deadlineMs": 8000, "repeat": repeat});
    let mut load = class("load", "by_key");
    (load["group"], load["dedupWindowMs"], load["inTurn"]) =
        (json!("all"), json!(9000), json!(true));
    let settings = json!({"instances": 1, "areas": ["here"], "kinds": ["pg", "lines"],
        "rules": {"turnGapMs": 50}, "customers": [{"name": "acme"}],
        "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true},
        "extra": {"sizeCores": [8, 8], "memoryByKindMb": [16384, 16384]},
        "requestClasses": [class("lookup", "repeatable"), load, class("pay", "once")]});
    // For the password 'example'.
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

/// The tags of one simple query's answer, the code of its error, and the status behind it.
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

/// Whether its process is stopped, as the system has it.
pub(super) fn is_stopped(front: &Front) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", front.pid())).unwrap_or_default();
    stat.rsplit(") ")
        .next()
        .is_some_and(|rest| rest.starts_with('T'))
}
