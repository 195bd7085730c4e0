//! Turns a client's messages into operations, and operations into units.

use std::collections::HashSet;
use std::ops::Range;
use std::rc::Rc;

use super::labels::{PartLabels, UnitLabels};
use super::{Bounds, IncompleteUnit, Session, SessionEvent};
use crate::client_error::ClientError;
use crate::prepared::{Catalogue, Prepared};
use crate::sql::{self, LocalCommand};
use crate::unit::{Operation, UnitPart};
use crate::wire::{self, ClientMessage, Header, Message};
use crate::ProtocolError;

/// A message, or the part of a unit that it belongs to, is longer than the limit of the session.
pub const UNIT_TOO_LONG: ClientError = ClientError::LimitExceeded {
    why: "the bytes of a unit",
};

/// The state of reading one part of a unit.
struct PartReader<'a> {
    input: &'a [u8],
    catalogue: &'a mut Catalogue,
    bounds: &'a Bounds,
    part: UnitPart,
    labels: PartLabels,
    /// Names of the portals that the part has opened.
    bound: HashSet<Vec<u8>>,
}

impl PartReader<'_> {
    /// Returns the range, within the part's bytes, of a slice of the input.
    fn range(&self, inner: &[u8]) -> Range<usize> {
        let start = inner.as_ptr() as usize - self.input.as_ptr() as usize;
        start..start + inner.len()
    }

    fn query(&mut self, text: &[u8], message_range: Range<usize>) {
        let scan = sql::scan(text);
        match scan.unsupported {
            Some(why) => {
                self.part
                    .ops
                    .push(Operation::Fail(ClientError::Unsupported { why }));
                self.part.ops.push(Operation::Sync);
            }
            None => self.part.ops.push(Operation::Query(message_range)),
        }
        self.part.is_local = scan.unsupported.is_some() || scan.local_command.is_some();
        self.part.query = Some(self.range(text));
        self.labels.add_executed(&scan);
        self.part.add_executed(&scan, scan.statements);
        self.part.local_commands.extend(scan.local_command.clone());
        self.part.ends_unit = true;
    }

    fn bind(&mut self, prepared: Rc<Prepared>, portal: &[u8], statement: &[u8], rest: &[u8]) {
        self.part.is_local &= prepared.scan.local_command.is_some();
        self.labels.add_executed(&prepared.scan);
        let local_command = prepared.scan.local_command.clone();
        self.part.local_commands.extend(local_command);
        self.part.first_prepared = Some(prepared.clone());
        self.bound.insert(portal.to_vec());
        let (portal, rest) = (self.range(portal), self.range(rest));
        self.part.ops.push(Operation::Bind {
            prepared,
            named: !statement.is_empty(),
            portal,
            rest,
        });
    }

    /// Fails the part if DISCARD or DEALLOCATE is mixed with other operations: an engine would
    /// apply it to a shared connection.
    fn reject_mixed_commands(&mut self) {
        let part = &mut self.part;
        let mixed = !part.is_local
            && part
                .local_commands
                .iter()
                .any(|command| !matches!(command, LocalCommand::Label(..)));
        if mixed {
            let why = "DISCARD or DEALLOCATE among other statements";
            let last = part.ops.pop();
            part.ops
                .push(Operation::Fail(ClientError::Unsupported { why }));
            part.ops.extend(last);
        }
    }
}

fn protocol_violation(why: ProtocolError) -> ClientError {
    ClientError::Protocol { why }
}

impl Session {
    /// Reads the next unit, or part of one, from the start of `input`. Returns the number of bytes
    /// consumed, and the event. An error ends the session.
    pub fn read(
        &mut self,
        input: &[u8],
        catalogue: &mut Catalogue,
        bounds: &Bounds,
    ) -> Result<(usize, SessionEvent), ClientError> {
        let Some(end) = self.end_of_part(input, bounds)? else {
            return Ok((0, SessionEvent::Incomplete));
        };
        let part = UnitPart {
            raw: input[..end].to_vec(),
            is_local: true,
            ..UnitPart::default()
        };
        let mut reader = PartReader {
            input,
            catalogue,
            bounds,
            part,
            labels: PartLabels::after(std::mem::take(&mut self.unit_labels)),
            bound: HashSet::new(),
        };
        let mut at = 0;
        while at < end {
            let message =
                wire::message(&input[at..end], bounds.bytes).map_err(protocol_violation)?;
            let Some(Message { tag, body, len }) = message else {
                break;
            };
            match wire::client_message(tag, body).map_err(protocol_violation)? {
                ClientMessage::Terminate => return Ok((end, SessionEvent::Terminated)),
                ClientMessage::Query(_) | ClientMessage::FunctionCall if self.in_unit || at > 0 => {
                    // The effect at an engine would depend on whether the unit has failed by then.
                    return Err(protocol_violation(ProtocolError::SimpleQueryWithinExtended));
                }
                message => self.read_message(&mut reader, message, at..at + len),
            }
            at += len;
        }
        reader.reject_mixed_commands();
        let mut part = reader.part;
        part.executes = reader.labels.executes();
        part.label = reader.labels.label(part.ends_unit);
        part.contradictions = reader.labels.contradictions();
        if !part.ends_unit {
            self.unit_labels = reader.labels.into_unit();
        }
        part.is_local &= !self.in_unit;
        self.in_unit = !part.ends_unit;
        Ok((end, SessionEvent::Part(Rc::new(part))))
    }

    /// Returns the offset at which the unit ends, or the part of it that a Flush ends; None if it
    /// is incomplete.
    fn end_of_part(&mut self, input: &[u8], bounds: &Bounds) -> Result<Option<usize>, ClientError> {
        let mut at = std::mem::take(&mut self.scanned);
        loop {
            match wire::header(&input[at..]).map_err(protocol_violation)? {
                Some(Header { len, .. }) if len > bounds.bytes || at + len > bounds.bytes => {
                    return Err(UNIT_TOO_LONG);
                }
                Some(Header { tag, len }) if at + len <= input.len() => {
                    at += len;
                    if matches!(tag, b'S' | b'Q' | b'H' | b'F' | b'X') {
                        return Ok(Some(at));
                    }
                }
                _ => {
                    self.scanned = at;
                    return Ok(None);
                }
            }
        }
    }

    /// Adds one message to the part; `message_range` is its range in the part's bytes.
    fn read_message(
        &mut self,
        reader: &mut PartReader,
        message: ClientMessage,
        message_range: Range<usize>,
    ) {
        match message {
            ClientMessage::FunctionCall => {
                let why = ClientError::Unsupported {
                    why: "a function call",
                };
                reader
                    .part
                    .ops
                    .extend([Operation::Fail(why), Operation::Sync]);
                reader.part.ends_unit = true;
            }
            ClientMessage::Query(text) => reader.query(text, message_range),
            ClientMessage::Parse { name, body, .. } => self.read_parse(reader, name, body),
            ClientMessage::Bind {
                portal,
                statement,
                rest,
            } => match self.find_prepared(statement) {
                Some(prepared) if self.open_portal(portal, &prepared, reader.bounds) => {
                    reader.bind(prepared, portal, statement, rest)
                }
                Some(_) => {
                    let why = ClientError::LimitExceeded { why: "portals" };
                    reader.part.ops.push(Operation::Fail(why));
                }
                None => reader.part.ops.push(no_such_statement(statement)),
            },
            ClientMessage::Describe {
                statement: true,
                name,
            } => match self.find_prepared(name) {
                Some(prepared) => {
                    reader.part.is_local &= prepared.scan.local_command.is_some();
                    reader.labels.add_prepared(&prepared.scan);
                    reader.part.ops.push(Operation::Describe {
                        prepared,
                        named: !name.is_empty(),
                    });
                }
                None => reader.part.ops.push(no_such_statement(name)),
            },
            ClientMessage::Describe {
                statement: false,
                name,
            } => {
                reader.part.is_local &= reader.bound.contains(name);
                reader
                    .part
                    .ops
                    .push(Operation::DescribePortal(message_range));
            }
            ClientMessage::Execute { portal, .. } => {
                reader.part.is_local &= reader.bound.contains(portal);
                reader.part.ops.push(Operation::Execute(message_range));
                // The portal may have been bound by an earlier unit of the transaction. One that
                // the front does not know is a cursor: it only returns rows.
                match self.portals.get(portal) {
                    Some(prepared) => reader.part.add_executed(&prepared.scan, 1),
                    None => reader.part.statements += 1,
                }
            }
            ClientMessage::Close {
                statement: true,
                name,
            } => {
                self.forget(name);
                reader.part.ops.push(Operation::CloseStatement);
            }
            ClientMessage::Close {
                statement: false,
                name,
            } => {
                self.portals.remove(name);
                reader.part.ops.push(Operation::ClosePortal(message_range));
            }
            ClientMessage::Flush => reader.part.ops.push(Operation::Flush),
            ClientMessage::Sync => {
                reader.part.ops.push(Operation::Sync);
                reader.part.ends_unit = true;
            }
            // COPY data outside a COPY is ignored, as engines do; Terminate is handled by the
            // caller.
            ClientMessage::Copy | ClientMessage::Terminate => {}
        }
    }

    fn read_parse(&mut self, reader: &mut PartReader, name: &[u8], body: &[u8]) {
        let prepared = reader.catalogue.prepare(body);
        reader.labels.add_prepared(&prepared.scan);
        let part = &mut reader.part;
        part.is_local &= prepared.scan.local_command.is_some();
        let error = self.register(name, &prepared, reader.bounds);
        let unsupported = prepared
            .scan
            .unsupported
            .map(|why| ClientError::Unsupported { why });
        let is_registered = error.is_none();
        match error.or(unsupported) {
            Some(why) => {
                part.ops.push(Operation::Fail(why));
                // A name that was in use before keeps its statement.
                if is_registered {
                    self.forget(name);
                }
            }
            None => {
                let named = !name.is_empty();
                part.ops.push(Operation::Parse {
                    prepared: prepared.clone(),
                    named,
                });
                part.parsed_names.push(name.to_vec());
            }
        }
        part.first_prepared.get_or_insert(prepared);
    }

    fn find_prepared(&self, name: &[u8]) -> Option<Rc<Prepared>> {
        let found = if name.is_empty() {
            self.unnamed.as_ref()
        } else {
            self.statements.get(name)
        };
        found.cloned()
    }

    /// Opens a portal on a statement under this name. False if the limit of portals is reached.
    fn open_portal(&mut self, name: &[u8], prepared: &Rc<Prepared>, bounds: &Bounds) -> bool {
        let unnamed = usize::from(self.portals.contains_key(&b""[..]));
        let has_capacity = name.is_empty()
            || self.portals.contains_key(name)
            || self.portals.len() - unnamed < bounds.portals;
        if has_capacity {
            self.portals.insert(name.to_vec(), prepared.clone());
        }
        has_capacity
    }

    /// Registers a prepared statement under its name; returns the error if that is not possible.
    fn register(
        &mut self,
        name: &[u8],
        prepared: &Rc<Prepared>,
        bounds: &Bounds,
    ) -> Option<ClientError> {
        if name.is_empty() {
            self.unnamed = Some(prepared.clone());
        } else if self.statements.contains_key(name) {
            return Some(ClientError::DuplicateStatement {
                name: String::from_utf8_lossy(name).into(),
            });
        } else if self.statements.len() >= bounds.statements
            || self.held_bytes + name.len() + prepared.body.len() > bounds.bytes
        {
            return Some(ClientError::LimitExceeded {
                why: "prepared statements",
            });
        } else {
            self.held_bytes += name.len() + prepared.body.len();
            self.statements.insert(name.to_vec(), prepared.clone());
        }
        None
    }

    pub(super) fn forget(&mut self, name: &[u8]) {
        if name.is_empty() {
            self.unnamed = None;
        } else if let Some(prepared) = self.statements.remove(name) {
            self.held_bytes -= name.len() + prepared.body.len();
        }
    }

    /// Gives up the incomplete unit whose bytes so far are `input`, which are dropped. With `is_skipping` it was answered
    /// with an error before. An error ends the session.
    pub fn give_up_unit(
        &mut self,
        input: &[u8],
        is_skipping: bool,
    ) -> Result<IncompleteUnit, ClientError> {
        self.scanned = 0;
        let mut end = 0;
        while let Some(Header { tag, len }) =
            wire::header(input.get(end..).unwrap_or_default()).map_err(protocol_violation)?
        {
            // A simple query is a unit by itself; other messages are followed by a Sync.
            self.in_unit |= !is_skipping && tag != b'Q';
            end += len;
        }
        let has_partial_header = end < input.len();
        if has_partial_header {
            return Err(ClientError::OutOfMemory);
        }
        Ok(IncompleteUnit {
            missing_bytes: end - input.len(),
        })
    }

    /// Skips the messages of a unit that was already answered with an error. Returns the number of
    /// bytes consumed, and whether the Sync was among them. An error ends the session.
    pub fn skip_to_sync(
        &mut self,
        input: &[u8],
        bounds: &Bounds,
    ) -> Result<(usize, bool), ClientError> {
        // The scanned bytes are among those that are skipped, so the next unit starts at 0 again.
        self.scanned = 0;
        let mut at = 0;
        while let Some(Header { tag, len }) =
            wire::header(&input[at..]).map_err(protocol_violation)?
        {
            if len > bounds.bytes {
                return Err(UNIT_TOO_LONG);
            }
            if at + len > input.len() {
                break;
            }
            at += len;
            if tag == b'S' {
                self.in_unit = false;
                self.unit_labels = UnitLabels::default();
                return Ok((at, true));
            }
        }
        Ok((at, false))
    }
}

fn no_such_statement(name: &[u8]) -> Operation {
    Operation::Fail(ClientError::NoSuchStatement {
        name: String::from_utf8_lossy(name).into(),
    })
}
