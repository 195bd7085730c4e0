//! Unit tests of the `portal` module.

use super::*;
use crate::scripted::session::Session;
use std::time::{Duration, Instant};

/// Time limit for one condition; a busy machine needs part of it.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

#[test]
fn the_end_of_a_reset_or_cancelled_statement_is_recorded_before_it_is_visible() {
    let engine = Engine::start(0, Records::new(), true).unwrap();
    let is_recorded = |kind: EngineEventKind| {
        engine
            .records
            .engine_events
            .lock()
            .unwrap()
            .iter()
            .any(|d| d.kind == kind)
    };
    for (n, resets) in [true, false].into_iter().cycle().take(20).enumerate() {
        let id = format!("a{n}");
        let mut s = Session::open(engine.at, "portal", false).unwrap();
        s.query(&format!("select run('id={id},rows=1,ms=20000')"));
        s.send().unwrap();
        let (began, since) = (
            EngineEventKind::Began {
                id: id.clone(),
                key: String::new(),
            },
            Instant::now(),
        );
        while !is_recorded(began.clone()) && since.elapsed() < WAIT_LIMIT {
            std::thread::yield_now();
        }
        if resets {
            engine.reset(usize::MAX);
        } else {
            s.cancel(engine.at).unwrap();
        }
        assert!(is_recorded(EngineEventKind::Ended { id }), "{n}");
        while engine.connections() > 0 && resets && since.elapsed() < WAIT_LIMIT {
            std::thread::yield_now();
        }
    }
}
