//! The cases, further plays that the report names, and what several of them share.

mod order_stall;
mod pg_crash;
mod pg_flush;
mod pg_mark;
mod pg_memory;
mod pg_reset;
mod pg_rollback;
mod pg_tenant;
mod pg_window;
mod slow_list;

use crate::coordinator::{self, Coordinator};
use crate::front::Front;
use crate::record::sleep_ms;
use crate::settings::Settings;
use crate::thrift::Client;
use crate::{Case, Outcome};

pub fn play(name: &str, case: &Case) -> Outcome {
    match name {
        "order-stall" => order_stall::play(case),
        "pg-crash" => pg_crash::play(case),
        "pg-flush" => pg_flush::play(case),
        "pg-mark" => pg_mark::play(case),
        "pg-memory" => pg_memory::play(case),
        "pg-reset" => pg_reset::play(case),
        "pg-rollback" => pg_rollback::play(case),
        "pg-tenant" => pg_tenant::play(case),
        "pg-window" => pg_window::play(case),
        "slow-list" => slow_list::play(case),
        _ => Err("no such case".into()),
    }
}

/// A front among a coordinator and engines: id, address and kind of each.
pub struct Stage {
    pub front: Front,
    pub coordinator: Coordinator,
    pub listen: String,
    /// Where PostgreSQL sessions come in.
    pub sessions: String,
}

pub fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// Starts a coordinator and a front, and waits until the front says that it is well. `postgres`:
/// the operator's file for sessions; `LISTEN` in it stands for their address.
pub fn stage(
    case: &Case,
    settings: &Settings,
    engines: &[(&str, &str, &str)],
    slow_ms: f64,
    postgres: Option<&str>,
) -> Result<Stage, String> {
    let entries: Vec<String> = engines
        .iter()
        .map(|(id, address, kind)| coordinator::entry(id, address, kind, "up"))
        .collect();
    let first = coordinator::list(1, true, &entries);
    let coordinator = Coordinator::start(&case.record, slow_ms, &first).map_err(text)?;
    let listen = crate::net::free_address().map_err(text)?;
    let sessions = crate::net::free_address().map_err(text)?;
    let config = settings.config(&listen, Some(&coordinator.address), &coordinator.known());
    let operator = postgres.map(|file| file.replace("LISTEN", &sessions));
    let mut front = Front::start(&case.record, "n1", &config, operator.as_deref())?;
    for _ in 0..100 {
        if let Some(how) = front.ended() {
            return Err(format!("the front ended at its start: {how}"));
        }
        let well = Client::connect(&case.record, "health", &listen)
            .is_ok_and(|mut client| client.is_well());
        if well {
            case.record.line("the front is well");
            return Ok(Stage {
                front,
                coordinator,
                listen,
                sessions,
            });
        }
        sleep_ms(100.0);
    }
    Err("the front was not ready within 10 s".into())
}

/// An id of a statement: 16 hex digits, new with each.
pub fn statement_id(group: u32, number: usize) -> String {
    format!("{group:08x}{number:08x}")
}
