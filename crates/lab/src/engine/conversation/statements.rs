//! Execution of the statements of one connection: their work, their rows and their transactions.

use std::io::ErrorKind;
use std::net::Shutdown;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use hallmux_postgres::wire;

use super::{Conversation, Interruption, Portal, CHUNK_BYTES};
use crate::engine::record::EngineEventKind;
use crate::engine::task::Task;

/// Rows sent before an injected fault may lose the remainder of a result.
const MIN_ROWS_BEFORE_LOSS: usize = 200;

impl Conversation {
    /// Starts a statement or continues a suspended one; returns true if rows remain when the limit
    /// is reached.
    pub(super) fn execute(
        &mut self,
        portal: &mut Portal,
        limit: usize,
    ) -> Result<bool, Interruption> {
        let first = portal
            .text
            .trim_start()
            .split(|c: char| !c.is_ascii_alphabetic())
            .next();
        let first = first.unwrap_or_default().to_ascii_uppercase();
        if self.status == b'E' && !matches!(first.as_str(), "ROLLBACK" | "COMMIT" | "ABORT" | "END")
        {
            return Err(Interruption::Error("25P02".into()));
        }
        let Some(task) = portal.task.clone() else {
            self.run_control_statement(&first, &portal.text)?;
            return Ok(false);
        };
        if !std::mem::replace(&mut portal.started, true) {
            self.run_task(&task)?;
        }
        self.send_rows(portal, &task, limit)?;
        if portal.sent < task.rows {
            wire::write(&mut self.out, b's', |_| {});
            return Ok(true);
        }
        wire::write_complete(&mut self.out, &format!("SELECT {}", task.rows));
        if self.engine.records_statements {
            self.pending.push(task.id);
        }
        Ok(false)
    }

    /// Runs a statement that controls a transaction or a setting; `verb` is its first keyword.
    fn run_control_statement(&mut self, verb: &str, text: &str) -> Result<(), Interruption> {
        let tag = match verb {
            "BEGIN" | "START" => {
                self.status = b'T';
                "BEGIN"
            }
            "COMMIT" | "END" => self.commit()?,
            "ROLLBACK" | "ABORT" => {
                self.status = b'I';
                self.pending.clear();
                "ROLLBACK"
            }
            "RESET" => "RESET",
            _ => "SET",
        };
        wire::write_complete(&mut self.out, tag);
        self.record(EngineEventKind::Control {
            text: text.trim().to_string(),
        });
        Ok(())
    }

    /// Ends the transaction. Its effects become lasting unless it has failed. An injected fault may
    /// lose the answer.
    fn commit(&mut self) -> Result<&'static str, Interruption> {
        let failed = self.status == b'E';
        let faults = &self.engine.faults;
        let left = faults.take_one(&faults.lost_commits);
        if let Some(left) = left.filter(|_| !failed) {
            faults.played.fetch_add(1, SeqCst);
            if left % 2 == 1 {
                self.record_lasting_effects();
            }
            return Err(self.lose_connection());
        }
        self.status = b'I';
        match failed {
            true => self.pending.clear(),
            false => self.record_lasting_effects(),
        }
        Ok(if failed { "ROLLBACK" } else { "COMMIT" })
    }

    /// Sends at most `limit` further rows of a portal; an injected fault may lose the remainder
    /// with the connection.
    fn send_rows(
        &mut self,
        portal: &mut Portal,
        task: &Task,
        limit: usize,
    ) -> Result<(), Interruption> {
        let until = task.rows.min(portal.sent.saturating_add(limit));
        let row = vec![b'x'; task.bytes.max(1)];
        while portal.sent < until {
            wire::write(&mut self.out, b'D', |out| {
                out.extend_from_slice(&1u16.to_be_bytes());
                let prefix = format!("{}:{}:", task.id, portal.sent);
                out.extend_from_slice(&((prefix.len() + row.len()) as u32).to_be_bytes());
                out.extend_from_slice(prefix.as_bytes());
                out.extend_from_slice(&row);
            });
            portal.sent += 1;
            if self.out.len() > CHUNK_BYTES {
                self.flush()?;
                let faults = &self.engine.faults;
                if portal.sent > MIN_ROWS_BEFORE_LOSS && faults.inject(&faults.lost_results) {
                    return Err(self.lose_connection());
                }
            }
        }
        Ok(())
    }

    /// Resets the connection, as an injected fault requires.
    fn lose_connection(&self) -> Interruption {
        let _ = self.stream.shutdown(Shutdown::Both);
        Interruption::Connection(ErrorKind::ConnectionReset.into())
    }

    /// Simulates the work of a statement by waiting for its duration, until it is cancelled or its
    /// connection is reset.
    fn run_task(&mut self, task: &Task) -> Result<(), Interruption> {
        let faults = &self.engine.faults;
        let duration = Duration::from_micros(task.ms * 1000 + faults.extra_latency_us.load(SeqCst));
        let reset = || Interruption::Connection(ErrorKind::ConnectionReset.into());
        let Some(link) = self.link.clone() else {
            return Ok(());
        };
        let Ok(mut running) = link.running.lock() else {
            return Ok(());
        };
        // A connection that was reset starts no statement.
        if running.2 {
            return Err(reset());
        }
        self.record(EngineEventKind::Began {
            id: task.id.clone(),
            key: task.key.clone(),
        });
        (running.0, running.1) = (Some(task.id.clone()), false);
        let waits = link
            .changed
            .wait_timeout_while(running, duration, |r| !r.1 && !r.2);
        let Ok((mut running, _)) = waits else {
            return Ok(());
        };
        let mut interruption = match (running.1, running.2) {
            (_, true) => Some(reset()),
            (true, _) => Some(Interruption::Error("57014".into())),
            _ => None,
        };
        running.1 = false;
        self.engine.record_end(self.number, &mut running.0);
        if faults.inject(&faults.lost_statements) {
            interruption = Some(self.lose_connection());
        }
        drop(running);
        match interruption {
            Some(interruption) => Err(interruption),
            None if !task.fail.is_empty() => Err(Interruption::Error(task.fail.clone())),
            None => Ok(()),
        }
    }

    pub(super) fn record_lasting_effects(&mut self) {
        for id in std::mem::take(&mut self.pending) {
            self.record(EngineEventKind::Kept { id });
        }
    }
}
