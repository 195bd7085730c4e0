//! A session as the front knows it: what is prepared, set and labelled, where its transaction stands, and how
//! its messages fall into units. A unit is what stands between two Syncs, or a simple query.

use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::rc::Rc;

use crate::answer::Final;
use crate::engine::Done;
use crate::entry::Welcome;
use crate::prepared::{Catalogue, Prepared, Settings};
use crate::sql::{self, Change, Label, Own, Scan};
use crate::wire::{self, Said};

/// What a session may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub statements: usize,
    pub portals: usize,
    pub settings: usize,
    /// Bytes of a message, of a unit's part, and of all that is prepared.
    pub bytes: usize,
}

/// Where the session's transaction stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Transaction {
    #[default]
    None,
    Open,
    /// An engine has it, and takes only its end.
    Failed,
    /// No engine has it any more, and its client has yet to end it.
    Lost,
}

impl Transaction {
    /// As the protocol tells it.
    pub fn status(self) -> u8 {
        match self {
            Transaction::None => b'I',
            Transaction::Open => b'T',
            Transaction::Failed | Transaction::Lost => b'E',
        }
    }

    /// An engine holds it.
    pub fn is_held(self) -> bool {
        matches!(self, Transaction::Open | Transaction::Failed)
    }
}

/// One step of a unit; places are those in the part's bytes.
#[derive(Debug)]
pub enum Op {
    Parse {
        prepared: Rc<Prepared>,
        named: bool,
    },
    Bind {
        prepared: Rc<Prepared>,
        named: bool,
        portal: Range<usize>,
        rest: Range<usize>,
    },
    Describe {
        prepared: Rc<Prepared>,
        named: bool,
    },
    /// A whole message that goes on as it is.
    DescribePortal(Range<usize>),
    Execute(Range<usize>),
    ClosePortal(Range<usize>),
    /// Engines keep statements of their own accord: it is only answered.
    CloseStatement,
    /// Answered with this error, and the engine's transaction fails with it.
    Fail(Final),
    Query(Range<usize>),
    Flush,
    Sync,
}

/// A unit, or as much of one as came before a Flush.
#[derive(Debug, Default)]
pub struct Part {
    pub ops: Vec<Op>,
    pub raw: Vec<u8>,
    /// Whether the unit ends with it.
    pub ends: bool,
    pub label: Label,
    pub begins: bool,
    pub commits: bool,
    pub rolls_back: bool,
    pub changes: Vec<Change>,
    /// The first text that runs: a place in the bytes, or what was prepared.
    query: Option<Range<usize>>,
    first: Option<Rc<Prepared>>,
    /// Names of what it parses, in order, and whether it can be answered here.
    named: Vec<Vec<u8>>,
    local: bool,
    own: Vec<Own>,
}

impl Part {
    /// The first text that it runs.
    pub fn text(&self) -> &[u8] {
        let query = self.query.clone().and_then(|at| self.raw.get(at));
        query.or(self.first.as_ref().map(|p| p.text())).unwrap_or_default()
    }

    fn runs(&mut self, scan: &Scan) {
        self.label = self.label.over(&scan.label);
        self.begins |= scan.begins;
        self.commits |= scan.commits;
        self.rolls_back |= scan.rolls_back;
        self.changes.extend(scan.changes.iter().cloned());
        self.own.extend(scan.own.clone());
    }
}

/// What has come from a client.
pub enum Read {
    /// More has to come.
    More,
    Part(Rc<Part>),
    Goes,
}

#[derive(Default)]
pub struct Session {
    pub user: String,
    pub database: String,
    pub transaction: Transaction,
    pub settings: Rc<Settings>,
    label: Label,
    statements: HashMap<Vec<u8>, Rc<Prepared>>,
    unnamed: Option<Rc<Prepared>>,
    /// Names of the portals that its unit or transaction has opened.
    portals: HashSet<Vec<u8>>,
    held: usize,
    /// Why the open transaction is lost, as long as its client has not been told.
    untold: Option<&'static str>,
    /// Changes of the open transaction: they go with it where it is rolled back.
    pending: Vec<Change>,
    /// A unit has begun and not ended.
    within: bool,
    /// Bytes of the input that were looked at before.
    looked: usize,
}

impl Session {
    pub fn new(welcome: &Welcome, catalogue: &mut Catalogue) -> Session {
        let mut label = Label::default();
        let mut settings = Settings::default();
        for (name, value) in &welcome.parameters {
            match name.strip_prefix("hallmux.") {
                Some(name) => _ = label.set(name, value),
                None => {
                    let again = format!("SET {} TO '{}'", quoted(name), value.replace('\'', "''"));
                    settings.0.insert(name.clone(), again);
                }
            }
        }
        Session {
            user: welcome.user.clone(),
            database: welcome.database.clone(),
            settings: catalogue.settings(settings),
            label,
            ..Session::default()
        }
    }

    /// The labels that hold for a unit.
    pub fn label(&self, part: &Part) -> Label {
        self.label.over(&part.label)
    }

    /// The time a statement may take, in microseconds, as the session has set it; 0 is no limit.
    pub fn statement_timeout(&self, label: &Label) -> Option<i64> {
        let set = self.settings.0.get("statement_timeout");
        let set = set.and_then(|again| again.rsplit(['=', ' ']).next()).and_then(sql::time);
        let told = label.statement_timeout.as_deref().and_then(sql::time);
        set.into_iter().chain(told).filter(|time| *time > 0).min()
    }

    /// Takes the next unit, or part of one, from the start of `input`; says how much of it is used up. An
    /// error ends the session.
    pub fn read(
        &mut self,
        input: &[u8],
        catalogue: &mut Catalogue,
        bounds: &Bounds,
    ) -> Result<(usize, Read), Final> {
        let against = |why: crate::Unreadable| Final::Protocol { why: why.0 };
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
                    let why = "a simple query before the Sync that ends an extended one".to_string();
                    return Err(Final::Protocol { why });
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

    fn forget(&mut self, name: &[u8]) {
        if name.is_empty() {
            self.unnamed = None;
        } else if let Some(prepared) = self.statements.remove(name) {
            self.held -= name.len() + prepared.body.len();
        }
    }

    /// Answers a unit that needs no engine. False if it does.
    pub fn answers(&mut self, part: &Part, catalogue: &mut Catalogue, out: &mut Vec<u8>) -> bool {
        let lost = self.transaction == Transaction::Lost;
        let held = self.transaction.is_held();
        // Guards against a transaction whose engine would not learn that it has failed.
        let fails = part.ops.iter().any(|op| matches!(op, Op::Fail(_)));
        let discards = part.own.contains(&Own::Discard);
        if !part.ends || !lost && (!part.local || held && (fails || discards)) {
            return false;
        }
        let mut bound = None;
        let mut failed = false;
        let mut query = false;
        for op in &part.ops {
            let step: &[u8] = match op {
                Op::Sync | Op::Flush => continue,
                _ if failed => continue,
                Op::Fail(why) => {
                    why.write(out, false);
                    failed = true;
                    continue;
                }
                Op::Query(_) => {
                    query = true;
                    let scan = sql::scan(part.text());
                    failed = !self.runs(&scan, catalogue, out);
                    continue;
                }
                Op::Parse { prepared, .. } | Op::Bind { prepared, .. } | Op::Describe { prepared, .. }
                    if lost && !ends(&prepared.scan) =>
                {
                    self.aborted().write(out, false);
                    failed = true;
                    continue;
                }
                Op::Parse { .. } => wire::PARSE_COMPLETE,
                Op::Bind { prepared, .. } => {
                    bound = Some(prepared.clone());
                    wire::BIND_COMPLETE
                }
                Op::Describe { .. } => {
                    out.extend_from_slice(wire::NO_PARAMETERS);
                    wire::NO_DATA
                }
                Op::DescribePortal(_) => wire::NO_DATA,
                Op::Execute(_) => {
                    match &bound {
                        Some(prepared) => failed = !self.runs(&prepared.clone().scan, catalogue, out),
                        None => {
                            self.aborted().write(out, false);
                            failed = true;
                        }
                    }
                    continue;
                }
                Op::ClosePortal(_) | Op::CloseStatement => wire::CLOSE_COMPLETE,
            };
            out.extend_from_slice(step);
        }
        if failed && !query {
            self.keep_parsed(std::slice::from_ref(part), part.done_before_fault());
        }
        wire::write_ready(out, self.transaction.status());
        true
    }

    /// Why nothing runs in a transaction that is lost; the first time with the reason.
    fn aborted(&mut self) -> Final {
        match self.untold.take() {
            Some(why) => Final::RolledBack { why },
            None => Final::InFailedTransaction,
        }
    }

    /// Runs what the front answers of itself; false if it is an error.
    fn runs(&mut self, scan: &Scan, catalogue: &mut Catalogue, out: &mut Vec<u8>) -> bool {
        if self.transaction == Transaction::Lost {
            // Guards against a commit that seems to have come to pass, of a client that knows of no failure.
            let untold = self.untold.take().filter(|_| !scan.rolls_back);
            if ends(scan) {
                self.transaction = Transaction::None;
            }
            match untold {
                Some(why) => Final::RolledBack { why }.write(out, false),
                None if ends(scan) => wire::write_complete(out, "ROLLBACK"),
                None => Final::InFailedTransaction.write(out, false),
            }
            return untold.is_none() && ends(scan);
        }
        let Some(own) = &scan.own else { return true };
        match own {
            Own::Label(name, value) => {
                if !self.label.set(name, value) {
                    let why = "no such setting; see the page on PostgreSQL sessions";
                    Final::Unfit { field: "hallmux", why }.write(out, false);
                    return false;
                }
            }
            Own::Deallocate | Own::Discard => {
                self.statements.clear();
                (self.unnamed, self.held) = (None, 0);
                if *own == Own::Discard {
                    self.settings = catalogue.settings(Settings::default());
                }
            }
        }
        wire::write_complete(out, own.tag());
        true
    }

    /// Takes in how a unit ended at an engine.
    pub fn done(&mut self, parts: &[Rc<Part>], done: &Done, catalogue: &mut Catalogue, bounds: &Bounds) {
        let failed = done.error.is_some();
        if failed {
            let named: Vec<&Vec<u8>> = parts.iter().flat_map(|p| &p.named).collect();
            for name in named.into_iter().skip(done.parsed) {
                self.forget(name);
            }
        } else {
            for part in parts {
                for own in &part.own {
                    if let Own::Label(name, value) = own {
                        self.label.set(name, value);
                    }
                }
                self.pending.extend(part.changes.iter().cloned());
            }
        }
        self.transaction = match done.status {
            b'T' => Transaction::Open,
            b'E' => Transaction::Failed,
            _ => Transaction::None,
        };
        if self.transaction == Transaction::None {
            self.portals.clear();
            let pending = std::mem::take(&mut self.pending);
            if !failed && !done.rolled_back && !pending.is_empty() {
                let mut settings = (*self.settings).clone();
                pending.iter().for_each(|change| settings.change(change));
                // Guards against a session that grows without end: it keeps as many as it may.
                while settings.0.len() > bounds.settings {
                    settings.0.pop_last();
                }
                self.settings = catalogue.settings(settings);
            }
        }
    }

    /// A unit ends here, with the front's own answer; with a transaction that is lost by that, if one was open.
    pub fn fails(&mut self, parts: &[Rc<Part>], why: &Final, out: &mut Vec<u8>) {
        for part in parts {
            part.named.iter().for_each(|name| self.forget(name));
        }
        self.lose();
        self.untold = None;
        if parts.iter().any(|part| part.commits || part.rolls_back) {
            // It was the transaction's end, and its client asks for no other.
            self.transaction = Transaction::None;
        }
        why.write(out, false);
        if !self.within {
            self.ready(out);
        }
    }

    /// Says that the next unit may come.
    pub fn ready(&self, out: &mut Vec<u8>) {
        wire::write_ready(out, self.transaction.status());
    }

    /// A unit has begun, and its Sync has yet to come.
    pub fn is_within(&self) -> bool {
        self.within
    }

    /// The engine that held the open transaction has it no more; its client hears so with its next unit.
    pub fn lose(&mut self) {
        if self.transaction.is_held() {
            if self.transaction == Transaction::Open {
                self.untold = Some("its engine drains or was lost");
            }
            self.transaction = Transaction::Lost;
        }
        self.portals.clear();
        self.pending.clear();
    }

    /// The unit that was begun is over, though its end has yet to come: what belongs to it is passed over.
    /// Says how much of the input that is, and whether the Sync was there.
    pub fn skip(&mut self, input: &[u8]) -> Result<(usize, bool), Final> {
        let mut at = 0;
        while let Some((tag, len)) = wire::head(&input[at..]).map_err(|why| Final::Protocol { why: why.0 })? {
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

    fn keep_parsed(&mut self, parts: &[Part], parsed: usize) {
        let named: Vec<Vec<u8>> = parts.iter().flat_map(|p| p.named.iter().cloned()).skip(parsed).collect();
        named.iter().for_each(|name| self.forget(name));
    }
}

impl Part {
    /// Statements parsed before the first step that fails.
    fn done_before_fault(&self) -> usize {
        let before = self.ops.iter().take_while(|op| !matches!(op, Op::Fail(_)));
        before.filter(|op| matches!(op, Op::Parse { .. })).count()
    }
}

fn no_such(name: &[u8]) -> Op {
    Op::Fail(Final::NoSuchStatement { name: String::from_utf8_lossy(name).into() })
}

/// It does nothing but end a transaction.
fn ends(scan: &Scan) -> bool {
    scan.statements == 1 && (scan.commits || scan.rolls_back)
}

fn quoted(name: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    match name.chars().all(plain) {
        true => name.to_string(),
        false => format!("\"{}\"", name.replace('"', "\"\"")),
    }
}
