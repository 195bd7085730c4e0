//! What a client says becomes steps, and steps a unit.

use std::collections::HashMap;
use std::rc::Rc;

use super::{Bounds, Op, Part, Read, Session};
use crate::answer::Final;
use crate::prepared::{Catalogue, Prepared};
use crate::sql::{self, Own, Scan};
use crate::wire::{self, Said};
use crate::ProtocolError;

impl Session {
    /// Takes the next unit, or part of one, from the start of `input`; says how much of it is used up. An
    /// error ends the session.
    pub fn read(
        &mut self,
        input: &[u8],
        catalogue: &mut Catalogue,
        bounds: &Bounds,
    ) -> Result<(usize, Read), Final> {
        let against = |why: ProtocolError| Final::Protocol { why };
        let mut at = std::mem::take(&mut self.looked);
        let end = loop {
            match wire::head(&input[at..]).map_err(against)? {
                Some((_, len)) if len > bounds.bytes || at + len > bounds.bytes => {
                    return Err(Final::TooMuch { why: "the bytes of a unit" });
                }
                Some((tag, len)) if at + len <= input.len() => {
                    at += len;
                    if matches!(tag, b'S' | b'Q' | b'H' | b'F' | b'X') {
                        break at;
                    }
                }
                _ => {
                    self.looked = at;
                    return Ok((0, Read::More));
                }
            }
        };
        let mut part = Part { raw: input[..end].to_vec(), local: true, ..Part::default() };
        let mut at = 0;
        let mut bound: HashMap<Vec<u8>, Rc<Prepared>> = HashMap::new();
        while at < end {
            let Some((tag, body, len)) = wire::message(&input[at..end], bounds.bytes).map_err(against)?
            else {
                break;
            };
            let whole = at..at + len;
            // Where something that lies within the body stands in the part's bytes.
            let place = |inner: &[u8]| {
                let from = inner.as_ptr() as usize - input.as_ptr() as usize;
                from..from + inner.len()
            };
            match wire::said(tag, body).map_err(against)? {
                Said::Terminate => return Ok((end, Read::Goes)),
                Said::Query(_) | Said::FunctionCall if self.within || at > 0 => {
                    // What an engine would do with it depends on whether the unit has failed by then.
                    return Err(Final::Protocol { why: ProtocolError::Mixed });
                }
                Said::FunctionCall => {
                    part.ops.push(Op::Fail(Final::NotHere { why: "a function call" }));
                    part.ops.push(Op::Sync);
                    part.ends = true;
                }
                Said::Query(text) => {
                    let scan = sql::scan(text);
                    match scan.not_here {
                        Some(why) => part.ops.extend([Op::Fail(Final::NotHere { why }), Op::Sync]),
                        None => part.ops.push(Op::Query(whole.clone())),
                    }
                    part.local = scan.not_here.is_some() || scan.own.is_some();
                    part.query = Some(place(text));
                    part.runs(&scan);
                    part.ends = true;
                }
                Said::Parse { name, body, .. } => {
                    let prepared = catalogue.prepare(body);
                    part.local &= prepared.scan.own.is_some();
                    let fault = self.prepare(name, &prepared, bounds);
                    let not_here = prepared.scan.not_here.map(|why| Final::NotHere { why });
                    let known_here = fault.is_none();
                    match fault.or(not_here) {
                        Some(why) => {
                            part.ops.push(Op::Fail(why));
                            // A name that was taken before stays with what it names.
                            if known_here {
                                self.forget(name);
                            }
                        }
                        None => {
                            let named = !name.is_empty();
                            part.ops.push(Op::Parse { prepared: prepared.clone(), named });
                            part.named.push(name.to_vec());
                        }
                    }
                    part.first.get_or_insert(prepared);
                }
                Said::Bind { portal, .. } if !self.opens(portal, bounds) => {
                    part.ops.push(Op::Fail(Final::TooMuch { why: "portals" }));
                }
                Said::Bind { portal, statement, rest } => match self.known(statement) {
                    Some(prepared) => {
                        part.local &= prepared.scan.own.is_some();
                        part.runs(&prepared.scan);
                        part.first = Some(prepared.clone());
                        bound.insert(portal.to_vec(), prepared.clone());
                        let (portal, rest) = (place(portal), place(rest));
                        part.ops.push(Op::Bind { prepared, named: !statement.is_empty(), portal, rest });
                    }
                    None => part.ops.push(no_such(statement)),
                },
                Said::Describe { statement: true, name } => match self.known(name) {
                    Some(prepared) => {
                        part.local &= prepared.scan.own.is_some();
                        part.ops.push(Op::Describe { prepared, named: !name.is_empty() });
                    }
                    None => part.ops.push(no_such(name)),
                },
                Said::Describe { statement: false, name } => {
                    part.local &= bound.contains_key(name);
                    part.ops.push(Op::DescribePortal(whole.clone()));
                }
                Said::Execute { portal, .. } => {
                    part.local &= bound.contains_key(portal);
                    part.ops.push(Op::Execute(whole.clone()));
                }
                Said::Close { statement: true, name } => {
                    self.forget(name);
                    part.ops.push(Op::CloseStatement);
                }
                Said::Close { statement: false, name } => {
                    self.portals.remove(name);
                    part.ops.push(Op::ClosePortal(whole.clone()));
                }
                Said::Flush => part.ops.push(Op::Flush),
                Said::Sync => {
                    part.ops.push(Op::Sync);
                    part.ends = true;
                }
                // Outside a copy it is passed over, as engines do.
                Said::Copy => {}
            }
            at += len;
        }
        // What shared connections can't carry can't hide among other steps either.
        let mixed = !part.local && part.own.iter().any(|own| !matches!(own, Own::Label(..)));
        if mixed {
            let why = "DISCARD or DEALLOCATE among other statements";
            let last = part.ops.pop();
            part.ops.push(Op::Fail(Final::NotHere { why }));
            part.ops.extend(last);
        }
        part.local &= !self.within;
        self.within = !part.ends;
        Ok((end, Read::Part(Rc::new(part))))
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
    fn prepare(&mut self, name: &[u8], prepared: &Rc<Prepared>, bounds: &Bounds) -> Option<Final> {
        if name.is_empty() {
            self.unnamed = Some(prepared.clone());
        } else if self.statements.contains_key(name) {
            return Some(Final::DuplicateStatement { name: String::from_utf8_lossy(name).into() });
        } else if self.statements.len() >= bounds.statements
            || self.held + name.len() + prepared.body.len() > bounds.bytes
        {
            return Some(Final::TooMuch { why: "prepared statements" });
        } else {
            self.held += name.len() + prepared.body.len();
            self.statements.insert(name.to_vec(), prepared.clone());
        }
        None
    }

    pub(super) fn forget(&mut self, name: &[u8]) {
        if name.is_empty() {
            self.unnamed = None;
        } else if let Some(prepared) = self.statements.remove(name) {
            self.held -= name.len() + prepared.body.len();
        }
    }

    /// The unit that was begun is over, though its end has yet to come: what belongs to it is passed over.
    /// Says how much of the input that is, and whether the Sync was there.
    pub fn skip(&mut self, input: &[u8]) -> Result<(usize, bool), Final> {
        let mut at = 0;
        while let Some((tag, len)) = wire::head(&input[at..]).map_err(|why| Final::Protocol { why })? {
            if at + len > input.len() {
                break;
            }
            at += len;
            if tag == b'S' {
                self.within = false;
                return Ok((at, true));
            }
        }
        Ok((at, false))
    }
}

fn no_such(name: &[u8]) -> Op {
    Op::Fail(Final::NoSuchStatement { name: String::from_utf8_lossy(name).into() })
}

/// It does nothing but end a transaction.
pub(super) fn ends(scan: &Scan) -> bool {
    scan.statements == 1 && (scan.commits || scan.rolls_back)
}
