//! The parts of a `prove postgres` run: engines, the coordinator that lists them, and a front.

use std::sync::Arc;

use serde_json::json;

use super::notes::{Notes, TIMEOUT};
use crate::engine::{Engine, Records};
use crate::lines;
use crate::rig::{Coordinator, Front};

pub(super) const ENGINES: usize = 5;
const BIG_ENGINES: usize = 2; // the last engines: of the only kind that may run bound statements
const FRONT_DESCRIPTORS: usize = 2048; // descriptors that the front may use

const OPERATOR: &str = "{ postgres: { listen: '127.0.0.1:0', engines: [{ kinds: ['std', 'big'] }],
    users: {
        portal: { trust: true, member: 'acme', workload: 'lookup' },
        nobody: { trust: true, member: 'acme' },
    },
    limits: { transaction_idle_ms: 5000, buffer_bytes: 32768, prepared: 8, engine_connections: 24 } } }";

/// A front with its engines and coordinator, and the records of the run.
pub(super) struct Setup {
    pub(super) engines: Vec<Arc<Engine>>,
    pub(super) coordinator: Arc<Coordinator>,
    pub(super) front: Front,
    pub(super) notes: Arc<Notes>,
}

impl Setup {
    /// Starts the engines, the coordinator and the front.
    pub(super) fn start() -> Result<Setup, String> {
        let error_text = |e: std::io::Error| e.to_string();
        let records = Records::new();
        let engines = (0..ENGINES).map(|n| Engine::start(n, records.clone(), true));
        let engines: Vec<Arc<Engine>> = engines.collect::<Result<_, _>>().map_err(error_text)?;
        let lines_at = lines::engine(ENGINES, records.clone()).map_err(error_text)?;
        let coordinator = Arc::new(Coordinator::start().map_err(error_text)?);
        let mut list: Vec<_> = engines
            .iter()
            .map(|e| (name(e.number), e.at, kind(e.number), "up"))
            .collect();
        list.push((name(ENGINES), lines_at, "lines", "up"));
        coordinator.announce(true, &list);
        let front = Front::start(&settings(), OPERATOR, &coordinator, FRONT_DESCRIPTORS)?;
        Ok(Setup {
            engines,
            coordinator,
            front,
            notes: Arc::new(Notes::new(records)),
        })
    }
}

/// Returns the engine's name in the coordinator's list.
pub(super) fn name(engine: usize) -> String {
    format!("e{engine}")
}

/// Returns the engine's kind in the coordinator's list.
pub(super) fn kind(engine: usize) -> &'static str {
    if is_big(engine) {
        "big"
    } else {
        "std"
    }
}

/// Whether bound statements may run on the engine.
pub(super) fn is_big(engine: usize) -> bool {
    (ENGINES - BIG_ENGINES..ENGINES).contains(&engine)
}

fn settings() -> serde_json::Value {
    let class = |name: &str, repeat: &str| json!({"name": name, "aimMs": 1000, "deadlineMs": TIMEOUT / 1000, "repeat": repeat, "lateShare": 0.5});
    let mut report = class("report", "repeatable");
    report["kindsAllowed"] = json!([1]);
    let mut load = class("log-load", "by_key");
    load["group"] = json!("all");
    load["dedupWindowMs"] = json!(9000);
    load["inTurn"] = json!(true);
    let classes = json!([
        class("lookup", "repeatable"),
        report,
        load,
        class("pay", "once")
    ]);
    json!({"instances": 1, "areas": ["here"], "kinds": ["std", "big", "lines"],
        "rules": {"turnGapMs": 100, "furtherRatio": 0.2, "spareAttempts": 10, "budgetSpanMs": 10000,
            "answerSlackMs": 20},
        "customers": [{"name": "acme"}],
        "bounds": {"cancelling": true, "mostTries": 3, "retryAfter": true, "maxRetryAfterMs": 200},
        "extra": {"sizeCores": [8, 8, 8], "memoryByKindMb": [16384, 16384, 16384]},
        "requestClasses": classes})
}
