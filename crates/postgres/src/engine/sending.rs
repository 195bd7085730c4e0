//! What goes to an engine: the steps of units, and what the front adds of its own accord.

use std::rc::Rc;

use super::{engine_name, statement_name, EngineConnection, Expected, Stage, WaitingPart};
use crate::prepared::{Prepared, SessionSettings};
use crate::unit::{Operation, UnitPart};
use crate::wire;

/// The name of a statement that no engine has: a Bind to it fails there.
const MISSING_STATEMENT: &str = "hm:none";
/// The end of a Bind message with no parameters, and no formats of parameters or columns.
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
    /// Writes a part of a unit. `in_transaction` says that the session's transaction is open here, with its
    /// settings. What the front answers in the engine's place before any word of it goes to `back`.
    pub fn send(
        &mut self,
        part: &Rc<UnitPart>,
        settings: &Rc<SessionSettings>,
        in_transaction: bool,
        out: &mut Vec<u8>,
        to_client: &mut Vec<u8>,
    ) {
        if self.stage == Stage::ApplyingSettings {
            return self.wait_for_settings(part, settings);
        }
        if !in_transaction && !self.has_settings(settings) {
            // Guards against a unit that runs with another's settings: it waits until they are confirmed.
            wire::write_query(out, settings.restoring_sql().as_bytes());
            self.stage = Stage::ApplyingSettings;
            self.settings = None;
            return self.wait_for_settings(part, settings);
        }
        for op in &part.ops {
            self.send_operation(op, &part.raw, out);
        }
        // What a session sets is not the pool's: the next unit brings its own over.
        if !part.changes.is_empty() {
            self.settings = None;
        }
        self.write_local_answers(to_client);
    }

    fn wait_for_settings(&mut self, part: &Rc<UnitPart>, settings: &Rc<SessionSettings>) {
        self.waiting_for_settings.push(WaitingPart {
            part: part.clone(),
            settings: settings.clone(),
        });
    }

    /// Sends a health check on an idle connection: any answer will do.
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
                // A statement of this name there never is: the engine fails what went before in the unit.
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

    /// Prepares a statement again, unseen, where this connection does not have it.
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

    /// Writes the answers that are due next and that the front gives in the engine's place.
    pub(super) fn write_local_answers(&mut self, to_client: &mut Vec<u8>) {
        while let Some(Expected::LocalAnswer(bytes)) = self.expected.front() {
            to_client.extend_from_slice(bytes);
            self.outcome.parsed_count += usize::from(*bytes == wire::PARSE_COMPLETE);
            self.expected.pop_front();
        }
    }
}
