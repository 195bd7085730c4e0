//! What a client says becomes steps, and steps a unit.

use std::collections::HashMap;
use std::rc::Rc;

use super::{Bounds, Operation, Session, SessionEvent, UnitPart};
use crate::client_error::ClientError;
use crate::prepared::{Catalogue, Prepared};
use crate::sql::{self, LocalCommand, Scan};
use crate::wire::{self, ClientMessage, Header, Message};
use crate::ProtocolError;

impl Session {
    /// Takes the next unit, or part of one, from the start of `input`; says how much of it is used up. An
    /// error ends the session.
    pub fn read(
        &mut self,
        input: &[u8],
        catalogue: &mut Catalogue,
        bounds: &Bounds,
    ) -> Result<(usize, SessionEvent), ClientError> {
        let against = |why: ProtocolError| ClientError::Protocol { why };
        let mut at = std::mem::take(&mut self.scanned);
        let end = loop {
            match wire::header(&input[at..]).map_err(against)? {
                Some(Header { len, .. }) if len > bounds.bytes || at + len > bounds.bytes => {
                    return Err(ClientError::LimitExceeded { why: "the bytes of a unit" });
                }
                Some(Header { tag, len }) if at + len <= input.len() => {
                    at += len;
                    if matches!(tag, b'S' | b'Q' | b'H' | b'F' | b'X') {
                        break at;
                    }
                }
                _ => {
                    self.scanned = at;
                    return Ok((0, SessionEvent::Incomplete));
                }
            }
        };
        let mut part = UnitPart { raw: input[..end].to_vec(), local: true, ..UnitPart::default() };
        let mut at = 0;
        let mut bound: HashMap<Vec<u8>, Rc<Prepared>> = HashMap::new();
        while at < end {
            let Some(Message { tag, body, len }) =
                wire::message(&input[at..end], bounds.bytes).map_err(against)?
            else {
                break;
            };
            let whole = at..at + len;
            // Where something that lies within the body stands in the part's bytes.
            let place = |inner: &[u8]| {
                let from = inner.as_ptr() as usize - input.as_ptr() as usize;
                from..from + inner.len()
            };
            match wire::client_message(tag, body).map_err(against)? {
                ClientMessage::Terminate => return Ok((end, SessionEvent::Terminated)),
                ClientMessage::Query(_) | ClientMessage::FunctionCall if self.in_unit || at > 0 => {
                    // What an engine would do with it depends on whether the unit has failed by then.
                    return Err(ClientError::Protocol { why: ProtocolError::Mixed });
                }
                ClientMessage::FunctionCall => {
                    part.ops.push(Operation::Fail(ClientError::Unsupported { why: "a function call" }));
                    part.ops.push(Operation::Sync);
                    part.ends = true;
                }
                ClientMessage::Query(text) => {
                    let scan = sql::scan(text);
                    match scan.unsupported {
                        Some(why) => part
                            .ops
                            .extend([Operation::Fail(ClientError::Unsupported { why }), Operation::Sync]),
                        None => part.ops.push(Operation::Query(whole.clone())),
                    }
                    part.local = scan.unsupported.is_some() || scan.local_command.is_some();
                    part.query = Some(place(text));
                    part.runs(&scan);
                    part.ends = true;
                }
                ClientMessage::Parse { name, body, .. } => {
                    let prepared = catalogue.prepare(body);
                    part.local &= prepared.scan.local_command.is_some();
                    let fault = self.prepare(name, &prepared, bounds);
                    let unsupported = prepared.scan.unsupported.map(|why| ClientError::Unsupported { why });
                    let known_here = fault.is_none();
                    match fault.or(unsupported) {
                        Some(why) => {
                            part.ops.push(Operation::Fail(why));
                            // A name that was taken before stays with what it names.
                            if known_here {
                                self.forget(name);
                            }
                        }
                        None => {
                            let named = !name.is_empty();
                            part.ops.push(Operation::Parse { prepared: prepared.clone(), named });
                            part.named.push(name.to_vec());
                        }
                    }
                    part.first.get_or_insert(prepared);
                }
                ClientMessage::Bind { portal, .. } if !self.opens(portal, bounds) => {
                    part.ops.push(Operation::Fail(ClientError::LimitExceeded { why: "portals" }));
                }
                ClientMessage::Bind { portal, statement, rest } => match self.known(statement) {
                    Some(prepared) => {
                        part.local &= prepared.scan.local_command.is_some();
                        part.runs(&prepared.scan);
                        part.first = Some(prepared.clone());
                        bound.insert(portal.to_vec(), prepared.clone());
                        let (portal, rest) = (place(portal), place(rest));
                        part.ops.push(Operation::Bind {
                            prepared,
                            named: !statement.is_empty(),
                            portal,
                            rest,
                        });
                    }
                    None => part.ops.push(no_such(statement)),
                },
                ClientMessage::Describe { statement: true, name } => match self.known(name) {
                    Some(prepared) => {
                        part.local &= prepared.scan.local_command.is_some();
                        part.ops.push(Operation::Describe { prepared, named: !name.is_empty() });
                    }
                    None => part.ops.push(no_such(name)),
                },
                ClientMessage::Describe { statement: false, name } => {
                    part.local &= bound.contains_key(name);
                    part.ops.push(Operation::DescribePortal(whole.clone()));
                }
                ClientMessage::Execute { portal, .. } => {
                    part.local &= bound.contains_key(portal);
                    part.ops.push(Operation::Execute(whole.clone()));
                }
                ClientMessage::Close { statement: true, name } => {
                    self.forget(name);
                    part.ops.push(Operation::CloseStatement);
                }
                ClientMessage::Close { statement: false, name } => {
                    self.portals.remove(name);
                    part.ops.push(Operation::ClosePortal(whole.clone()));
                }
                ClientMessage::Flush => part.ops.push(Operation::Flush),
                ClientMessage::Sync => {
                    part.ops.push(Operation::Sync);
                    part.ends = true;
                }
                // Outside a copy it is passed over, as engines do.
                ClientMessage::Copy => {}
            }
            at += len;
        }
        // What shared connections can't carry can't hide among other steps either.
        let mixed = !part.local
            && part.local_commands.iter().any(|command| !matches!(command, LocalCommand::Label(..)));
        if mixed {
            let why = "DISCARD or DEALLOCATE among other statements";
            let last = part.ops.pop();
            part.ops.push(Operation::Fail(ClientError::Unsupported { why }));
            part.ops.extend(last);
        }
        part.local &= !self.in_unit;
        self.in_unit = !part.ends;
        Ok((end, SessionEvent::Part(Rc::new(part))))
    }

    fn known(&self, name: &[u8]) -> Option<Rc<Prepared>> {
        let found = if name.is_empty() { self.unnamed.as_ref() } else { self.statements.get(name) };
        found.cloned()
    }

    /// Whether a portal may be opened under this name.
    fn opens(&mut self, name: &[u8], bounds: &Bounds) -> bool {
        if name.is_empty() || self.portals.contains(name) {
            return true;
        }
        let room = self.portals.len() < bounds.portals;
        if room {
            self.portals.insert(name.to_vec());
        }
        room
    }

    /// Takes a statement in under its name, or says why not.
    fn prepare(&mut self, name: &[u8], prepared: &Rc<Prepared>, bounds: &Bounds) -> Option<ClientError> {
        if name.is_empty() {
            self.unnamed = Some(prepared.clone());
        } else if self.statements.contains_key(name) {
            return Some(ClientError::DuplicateStatement { name: String::from_utf8_lossy(name).into() });
        } else if self.statements.len() >= bounds.statements
            || self.held_bytes + name.len() + prepared.body.len() > bounds.bytes
        {
            return Some(ClientError::LimitExceeded { why: "prepared statements" });
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

    /// The unit that was begun is over, though its end has yet to come: what belongs to it is passed over.
    /// Says how much of the input that is, and whether the Sync was there.
    pub fn skip(&mut self, input: &[u8]) -> Result<(usize, bool), ClientError> {
        let mut at = 0;
        while let Some(Header { tag, len }) =
            wire::header(&input[at..]).map_err(|why| ClientError::Protocol { why })?
        {
            if at + len > input.len() {
                break;
            }
            at += len;
            if tag == b'S' {
                self.in_unit = false;
                return Ok((at, true));
            }
        }
        Ok((at, false))
    }
}

fn no_such(name: &[u8]) -> Operation {
    Operation::Fail(ClientError::NoSuchStatement { name: String::from_utf8_lossy(name).into() })
}

/// It does nothing but end a transaction.
pub(super) fn ends(scan: &Scan) -> bool {
    scan.statements == 1 && (scan.commits || scan.rolls_back)
}
