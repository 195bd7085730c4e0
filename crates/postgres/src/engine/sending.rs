//! Writes messages to an engine: the operations of units, and the messages that the front adds
//! itself.

use std::rc::Rc;

use super::{engine_name, statement_name, EngineConnection, Expected, Stage, WaitingPart};
use crate::prepared::{Prepared, SessionSettings};
use crate::unit::{Operation, UnitPart};
use crate::wire;

/// The name of a statement that is never prepared: a Bind to it fails at the engine.
const MISSING_STATEMENT: &str = "hm:none";
/// The end of a Bind message without parameters, parameter formats and result formats.
const NO_PARAMETERS_NO_FORMATS: &[u8] = &[0; 6];

fn write_bind(out: &mut Vec<u8>, portal: &[u8], statement: &str, rest: &[u8]) {
    wire::write(out, b'B', |out| {
        wire::write_string(out, portal);
        wire::write_string(out, statement.as_bytes());
        out.extend_from_slice(rest);
    });
}

fn write_describe_statement(out: &mut Vec<u8>, statement: &str) {
    wire::write(out, b'D', |out| {
        out.push(b'S');
        wire::write_string(out, statement.as_bytes());
    });
}

impl EngineConnection {
    /// Writes a part of a unit to `out`. `in_transaction` means that the session's transaction is
    /// open on this connection, with its settings applied. Answers that the front gives itself
    /// before the engine's next answer are appended to `to_client`.
    pub fn send(
        &mut self,
        part: &Rc<UnitPart>,
        settings: &Rc<SessionSettings>,
        in_transaction: bool,
        out: &mut Vec<u8>,
        to_client: &mut Vec<u8>,
    ) {
        if self.is_applying_settings() {
            return self.wait_for_settings(part, settings);
        }
        if !in_transaction && !self.has_settings(settings) {
            // The unit must not run with another session's settings, so it waits until its own are
            // confirmed.
            wire::write_query(out, settings.restoring_sql().as_bytes());
            self.stage = Stage::ApplyingSettings;
            self.settings = None;
            return self.wait_for_settings(part, settings);
        }
        for op in &part.ops {
            self.send_operation(op, &part.raw, out);
        }
        // The unit changes settings of the connection, so the next unit applies its session's own
        // again.
        if part.changes_settings() {
            self.settings = None;
        }
        self.write_local_answers(to_client);
    }

    /// Writes to `out` the parts that waited for their session's settings, which are applied now.
    /// Answers that the front gives itself are appended to `to_client`.
    pub fn send_waiting(&mut self, out: &mut Vec<u8>, to_client: &mut Vec<u8>) {
        for WaitingPart { part, settings } in std::mem::take(&mut self.waiting_for_settings) {
            self.send(&part, &settings, true, out, to_client);
        }
    }

    fn wait_for_settings(&mut self, part: &Rc<UnitPart>, settings: &Rc<SessionSettings>) {
        self.waiting_for_settings.push(WaitingPart {
            part: part.clone(),
            settings: settings.clone(),
        });
    }

    /// Sends a Sync as a health check on an idle connection; any answer counts. Does nothing if the
    /// connection is not idle.
    pub fn ping(&mut self, out: &mut Vec<u8>) {
        if self.stage == Stage::Ready && self.expected.is_empty() {
            out.extend_from_slice(wire::SYNC);
            self.expected.push_back(Expected::Ping);
        }
    }

    fn send_operation(&mut self, op: &Operation, raw: &[u8], out: &mut Vec<u8>) {
        if self.skipping && !matches!(op, Operation::Sync) {
            return;
        }
        let bytes = |at: &std::ops::Range<usize>| raw.get(at.clone()).unwrap_or_default();
        match op {
            Operation::Parse {
                prepared,
                named: true,
            } if self.is_prepared(prepared.number) => {
                self.expected
                    .push_back(Expected::LocalAnswer(wire::PARSE_COMPLETE));
            }
            Operation::Parse { prepared, named } => self.send_parse(prepared, *named, false, out),
            Operation::Bind {
                prepared,
                named,
                portal,
                rest,
            } => {
                self.ensure_prepared(prepared, *named, out);
                write_bind(
                    out,
                    bytes(portal),
                    &engine_name(prepared, *named),
                    bytes(rest),
                );
                self.expected.push_back(Expected::Bound);
            }
            Operation::Describe { prepared, named } => {
                self.ensure_prepared(prepared, *named, out);
                write_describe_statement(out, &engine_name(prepared, *named));
                self.expected.push_back(Expected::Described);
            }
            Operation::DescribePortal(at) => {
                out.extend_from_slice(bytes(at));
                self.expected.push_back(Expected::Described);
            }
            Operation::Execute(at) => {
                out.extend_from_slice(bytes(at));
                self.expected.push_back(Expected::Executed);
            }
            Operation::ClosePortal(at) => {
                out.extend_from_slice(bytes(at));
                self.expected.push_back(Expected::Closed { hidden: None });
            }
            Operation::CloseStatement => self
                .expected
                .push_back(Expected::LocalAnswer(wire::CLOSE_COMPLETE)),
            Operation::Fail(why) => {
                // No statement of this name exists, so the Bind fails at the engine and the error
                // aborts the open transaction there.
                write_bind(out, b"", MISSING_STATEMENT, NO_PARAMETERS_NO_FORMATS);
                self.expected.push_back(Expected::Fail(why.clone()));
            }
            Operation::Query(at) => {
                out.extend_from_slice(bytes(at));
                self.expected.push_back(Expected::Query);
            }
            Operation::Flush => out.extend_from_slice(wire::FLUSH),
            Operation::Sync => {
                out.extend_from_slice(wire::SYNC);
                self.expected.push_back(Expected::Sync);
                self.skipping = false;
            }
        }
    }

    fn is_prepared(&mut self, number: u64) -> bool {
        self.prepared.get(&number).is_some() || self.unconfirmed.contains(&number)
    }

    /// Prepares a statement, hidden from the client, if it is not prepared on this connection.
    fn ensure_prepared(&mut self, prepared: &Rc<Prepared>, named: bool, out: &mut Vec<u8>) {
        let is_present = if named {
            self.is_prepared(prepared.number)
        } else {
            self.unnamed == Some(prepared.number)
        };
        if !is_present {
            self.send_parse(prepared, named, true, out);
        }
    }

    fn send_parse(
        &mut self,
        prepared: &Rc<Prepared>,
        named: bool,
        hidden: bool,
        out: &mut Vec<u8>,
    ) {
        if named && self.prepared.len() + self.unconfirmed.len() >= self.max_prepared {
            if let Some((oldest, ())) = self.prepared.pop_lru() {
                wire::write(out, b'C', |out| {
                    out.push(b'S');
                    wire::write_string(out, statement_name(oldest).as_bytes());
                });
                self.expected.push_back(Expected::Closed {
                    hidden: Some(oldest),
                });
            }
        }
        wire::write(out, b'P', |out| {
            wire::write_string(out, engine_name(prepared, named).as_bytes());
            out.extend_from_slice(&prepared.body);
        });
        if named {
            self.unconfirmed.insert(prepared.number);
        } else {
            self.unnamed = Some(prepared.number);
        }
        let number = named.then_some(prepared.number);
        self.expected.push_back(Expected::Parsed { number, hidden });
    }

    /// Writes the answers that are next in order and that the front gives itself.
    pub(super) fn write_local_answers(&mut self, to_client: &mut Vec<u8>) {
        while let Some(Expected::LocalAnswer(bytes)) = self.expected.front() {
            to_client.extend_from_slice(bytes);
            self.outcome.parsed_count += usize::from(*bytes == wire::PARSE_COMPLETE);
            self.expected.pop_front();
        }
    }
}
