//! What goes to an engine: the steps of units, and what the front adds of its own accord.

use std::rc::Rc;

use super::{name, EngineConnection, Expected, Stage};
use crate::prepared::{Prepared, SessionSettings};
use crate::unit::{Operation, UnitPart};
use crate::wire;

impl EngineConnection {
    /// Writes a part of a unit. `in_transaction` says that the session's transaction is open here, with its
    /// settings. What the front answers in the engine's place before any word of it goes to `back`.
    pub fn send(
        &mut self,
        part: &Rc<UnitPart>,
        settings: &Rc<SessionSettings>,
        in_transaction: bool,
        out: &mut Vec<u8>,
        back: &mut Vec<u8>,
    ) {
        if self.stage == Stage::Setting {
            return self.waits.push((part.clone(), settings.clone()));
        }
        if !in_transaction && !self.suits(settings) {
            // Guards against a unit that runs with another's settings: it waits until they are confirmed.
            wire::write_query(out, settings.restoring_sql().as_bytes());
            self.stage = Stage::Setting;
            self.settings = None;
            return self.waits.push((part.clone(), settings.clone()));
        }
        for op in &part.ops {
            self.step(op, &part.raw, out);
        }
        // What a session sets is not the pool's: the next unit brings its own over.
        if !part.changes.is_empty() {
            self.settings = None;
        }
        self.make(back);
    }

    /// Asks for an answer, whatever it is, on a connection that rests.
    pub fn ping(&mut self, out: &mut Vec<u8>) {
        if self.stage == Stage::Ready && self.expects.is_empty() {
            out.extend_from_slice(wire::SYNC);
            self.expects.push_back(Expected::Ping);
        }
    }

    fn step(&mut self, op: &Operation, raw: &[u8], out: &mut Vec<u8>) {
        if self.skipping && !matches!(op, Operation::Sync) {
            return;
        }
        let message = |at: &std::ops::Range<usize>| raw.get(at.clone()).unwrap_or_default();
        match op {
            Operation::Parse {
                prepared,
                named: true,
            } if self.has(prepared.number) => {
                self.expects.push_back(Expected::Make(wire::PARSE_COMPLETE));
            }
            Operation::Parse { prepared, named } => self.parse(prepared, *named, false, out),
            Operation::Bind {
                prepared,
                named,
                portal,
                rest,
            } => {
                self.ensure(prepared, *named, out);
                wire::write(out, b'B', |out| {
                    wire::write_string(out, message(portal));
                    wire::write_string(
                        out,
                        if *named {
                            name(prepared.number)
                        } else {
                            String::new()
                        }
                        .as_bytes(),
                    );
                    out.extend_from_slice(message(rest));
                });
                self.expects.push_back(Expected::Bound);
            }
            Operation::Describe { prepared, named } => {
                self.ensure(prepared, *named, out);
                wire::write(out, b'D', |out| {
                    out.push(b'S');
                    wire::write_string(
                        out,
                        if *named {
                            name(prepared.number)
                        } else {
                            String::new()
                        }
                        .as_bytes(),
                    );
                });
                self.expects.push_back(Expected::Described);
            }
            Operation::DescribePortal(at) => {
                out.extend_from_slice(message(at));
                self.expects.push_back(Expected::Described);
            }
            Operation::Execute(at) => {
                out.extend_from_slice(message(at));
                self.expects.push_back(Expected::Executed);
            }
            Operation::ClosePortal(at) => {
                out.extend_from_slice(message(at));
                self.expects.push_back(Expected::Closed { hidden: None });
            }
            Operation::CloseStatement => {
                self.expects.push_back(Expected::Make(wire::CLOSE_COMPLETE))
            }
            Operation::Fail(why) => {
                // A statement of this name there never is: the engine fails what went before in the unit.
                wire::write(out, b'B', |out| {
                    wire::write_string(out, b"");
                    wire::write_string(out, b"hm:none");
                    out.extend_from_slice(&[0; 6]);
                });
                self.expects.push_back(Expected::Fail(why.clone()));
            }
            Operation::Query(at) => {
                out.extend_from_slice(message(at));
                self.expects.push_back(Expected::Query);
            }
            Operation::Flush => out.extend_from_slice(wire::FLUSH),
            Operation::Sync => {
                out.extend_from_slice(wire::SYNC);
                self.expects.push_back(Expected::Sync);
                self.skipping = false;
            }
        }
    }

    fn has(&mut self, number: u64) -> bool {
        self.prepared.get(&number).is_some() || self.coming.contains(&number)
    }

    /// Prepares a statement again, unseen, where this connection does not have it.
    fn ensure(&mut self, prepared: &Rc<Prepared>, named: bool, out: &mut Vec<u8>) {
        let there = if named {
            self.has(prepared.number)
        } else {
            self.unnamed == Some(prepared.number)
        };
        if !there {
            self.parse(prepared, named, true, out);
        }
    }

    fn parse(&mut self, prepared: &Rc<Prepared>, named: bool, hidden: bool, out: &mut Vec<u8>) {
        if named && self.prepared.len() + self.coming.len() >= self.most_prepared {
            if let Some((oldest, ())) = self.prepared.pop_lru() {
                wire::write(out, b'C', |out| {
                    out.push(b'S');
                    wire::write_string(out, name(oldest).as_bytes());
                });
                self.expects.push_back(Expected::Closed {
                    hidden: Some(oldest),
                });
            }
        }
        wire::write(out, b'P', |out| {
            wire::write_string(
                out,
                if named {
                    name(prepared.number)
                } else {
                    String::new()
                }
                .as_bytes(),
            );
            out.extend_from_slice(&prepared.body);
        });
        if named {
            self.coming.insert(prepared.number);
        } else {
            self.unnamed = Some(prepared.number);
        }
        let number = named.then_some(prepared.number);
        self.expects.push_back(Expected::Parsed { number, hidden });
    }

    /// Says what is due in the engine's place.
    pub(super) fn make(&mut self, back: &mut Vec<u8>) {
        while let Some(Expected::Make(bytes)) = self.expects.front() {
            back.extend_from_slice(bytes);
            self.done.parsed += usize::from(*bytes == wire::PARSE_COMPLETE);
            self.expects.pop_front();
        }
    }
}
