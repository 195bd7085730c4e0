//! Connections to query engines: executions out, answers put together from their pages.

mod heard;
mod left;
mod room;
mod sent;
mod waited;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::LoopHandle;
use hallmux_agreement::{Allowance, Names};
use hallmux_codec::engine::{self, Command, Line, Said, Want};
use hallmux_codec::statement::Call;
use hallmux_dispatcher::{ConnectionPacer, Cost, Ending, Micros, Note, Place, Terms, Ticket};

use crate::doors::{Changes, Door};
use crate::front::Pacer;
use crate::link::{Broken, Link};
use crate::reuse::Reuse;

const MOST_PAGES: usize = 64; // of a result; those agreed have eight
const LONGEST_RESULT: usize = 48_000; // bytes, as the protocol has it
const HALF_WRITTEN: Micros = 100_000; // microseconds for a statement that has begun to leave: its deadline goes with it
const STUCK: Micros = 500_000; // microseconds for a line that has begun, or a page asked for; both take a few ms
const SILENT: Micros = 1_500_000; // microseconds without a word on an execution given up: longer than notes take
const TOGETHER: usize = 4; // executions on a connection before another is dialled: what a spoilt answer costs
const LAG: Micros = 10_000; // microseconds until an engine has surely read what it was told: some round trips
const OTHERS: usize = 32; // descriptors that are neither clients' nor engines'; the rest is for engines
const MOST_UNSENT: usize = 1 << 20; // bytes that an engine may leave untaken: a thousand small statements
const IDLE_MARGIN: Micros = 1_000_000; // microseconds by which a connection is closed before its engine would
const MOST_GIVEN_UP: usize = 128; // ids that a connection remembers; then it takes no more executions

type LinkId = u64;
/// An execution: its statement and its number.
pub type Sent = (Ticket, usize);

/// What engines have said, and how executions have ended.
pub enum Told {
    Ended { sent: Sent, ending: Ending, report: Option<Vec<f64>>, cost: Option<Cost>, result: Vec<u8> },
    Noted { sent: Sent, note: Note },
    Probed { place: Place, alive: bool, report: Option<Vec<f64>> },
}

struct Engine {
    id: String,
    at: SocketAddr,
    started: f64,
    /// Executions may go there.
    listed: bool,
    links: Vec<LinkId>,
    /// Its last connection did not come up.
    failing: bool,
}

#[derive(Default)]
struct Pages {
    bytes: Vec<Option<Vec<u8>>>,
    missing: usize,
    held: usize,
    heard: Micros,
    report: Option<Vec<f64>>,
    cost: Option<Cost>,
}

#[derive(PartialEq)]
enum Stage {
    /// Not a byte of it has left.
    Queued,
    /// It is the one being written.
    Leaving,
    Out,
}

struct Execution {
    link: LinkId,
    call: Rc<Call>,
    terms: Terms,
    stage: Stage,
    sent: Micros,
    heard: Micros,
    pages: Option<Pages>,
}

struct EngineLink {
    link: Link,
    place: Place,
    up: bool,
    /// It takes no more executions: its engine is another by now, or it was silent too long.
    old: bool,
    dial_by: Micros,
    heard: Micros,
    /// Since when the rest of a line is awaited.
    half_since: Option<Micros>,
    idle_since: Micros,
    /// How long it had rested when it was last taken up, and when that was.
    rested: Micros,
    taken_up: Micros,
    queue: VecDeque<Sent>,
    /// The one being written, and where in the output it ends; commands may follow it.
    leaving: Option<(Sent, usize)>,
    open: HashMap<String, Sent>,
    /// Ids that are over here; what is still said of them means nothing. Where cancelling is not allowed, these may
    /// run on.
    given_up: HashSet<String>,
    /// Ids that their engine has ended, where it can't be told to give up the others: an engine that says so twice
    /// must not end a further execution of the statement, so none of it comes over this connection.
    ended: HashSet<String>,
    probes: HashMap<String, Micros>,
}

pub struct Engines {
    handle: LoopHandle<'static, Changes>,
    allowed: Allowance,
    report: Vec<String>,
    engines: BTreeMap<Place, Engine>,
    links: BTreeMap<LinkId, EngineLink>,
    executions: BTreeMap<Sent, Execution>,
    next: u64,
    most_links: usize,
    /// When connections may be made; any time where nothing else is set.
    pub dials: Pacer,
    reuse: Reuse,
    /// Given up, but engines may not know yet; in the order in which they were. Until when, once the word has left.
    lagging: VecDeque<(Option<Micros>, Sent, Ending)>,
    pub told: Vec<Told>,
}

impl Engines {
    pub fn new(handle: LoopHandle<'static, Changes>, allowed: Allowance, names: &Names) -> Self {
        Engines {
            handle,
            reuse: Reuse::new((allowed.keepalive - IDLE_MARGIN).max(IDLE_MARGIN)),
            allowed,
            report: names.report.clone(),
            engines: BTreeMap::new(),
            links: BTreeMap::new(),
            executions: BTreeMap::new(),
            next: 0,
            most_links: 0,
            dials: Pacer::new(ConnectionPacer::new(false, 0, 0).into()),
            lagging: VecDeque::new(),
            told: Vec::new(),
        }
    }

    /// Descriptors that clients leave to the rest of the front.
    pub fn limit(&mut self, sockets: usize) {
        self.most_links = sockets.saturating_sub(OTHERS).max(1);
    }

    /// It ends; what was ended from here, not before its engine has read of it. Guards against two executions
    /// of a statement, or of an order key, at once: one connection may bring the next sooner than another the
    /// word of the first. Where the time is up the client is answered at once.
    fn ends(&mut self, sent: Sent, ending: Ending) {
        if matches!(ending, Ending::GivenUp | Ending::Unreadable | Ending::ClosedHere) {
            self.executions.remove(&sent);
            self.lagging.push_back((None, sent, ending));
        } else {
            self.ended(sent, ending);
        }
    }

    fn ended(&mut self, sent: Sent, ending: Ending) {
        self.executions.remove(&sent);
        self.told.push(Told::Ended { sent, ending, report: None, cost: None, result: Vec::new() });
    }

    /// An engine of the list: where it is, and whether anything may still be sent to it.
    pub fn list(&mut self, place: Place, id: &str, at: SocketAddr, started: f64, up: bool) {
        let known = self.engines.get(&place);
        let same = known.is_some_and(|e| e.id == id && e.at == at && e.started == started);
        let failing = same && known.is_some_and(|e| e.failing);
        if !same || !up {
            self.retire(place);
        }
        let links = self.engines.remove(&place).map(|e| e.links).unwrap_or_default();
        let id = id.to_string();
        self.engines.insert(place, Engine { id, at, started, listed: up, links, failing });
    }

    /// A whole list has come: engines that it does not name are gone.
    pub fn retire_but(&mut self, listed: &[Place]) {
        let places: Vec<Place> = self.engines.keys().copied().filter(|p| !listed.contains(p)).collect();
        places.into_iter().for_each(|place| self.retire(place));
    }

    /// What has not left for an engine stays here; what is out may still be answered.
    pub fn retire(&mut self, place: Place) {
        let Some(engine) = self.engines.get_mut(&place) else { return };
        engine.listed = false;
        for id in engine.links.clone() {
            let Some(link) = self.links.get_mut(&id) else { continue };
            link.old = true;
            for sent in std::mem::take(&mut link.queue) {
                self.withdraw(id, sent);
            }
        }
    }

    fn withdraw(&mut self, link: LinkId, sent: Sent) {
        if let (Some(link), Some(x)) = (self.links.get_mut(&link), self.executions.get(&sent)) {
            link.open.remove(&x.call.id);
        }
        self.ended(sent, Ending::Withdrawn);
    }

    /// Nobody waits for a statement any more: what has not left for an engine never will.
    pub fn leave(&mut self, ticket: Ticket) {
        let of_ticket = self.executions.range((ticket, 0)..=(ticket, usize::MAX));
        let queued = of_ticket.filter(|(_, x)| x.stage == Stage::Queued);
        let queued: Vec<(Sent, LinkId)> = queued.map(|(sent, x)| (*sent, x.link)).collect();
        for (sent, id) in queued {
            if let Some(link) = self.links.get_mut(&id) {
                link.queue.retain(|other| *other != sent);
            }
            self.withdraw(id, sent);
        }
    }

    fn name(&self, link: LinkId) -> &str {
        let engine = self.links.get(&link).and_then(|l| self.engines.get(&l.place));
        engine.map_or("?", |e| &e.id)
    }
}

#[cfg(test)]
#[path = "engines_tests.rs"]
mod tests;
