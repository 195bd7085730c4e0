//! Connections to query engines: executions out, answers put together from their pages.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::LoopHandle;
use hallmux_agreement::{Allowance, Names};
use hallmux_codec::engine::{self, Command, Line, Said, Want};
use hallmux_codec::statement::Call;
use hallmux_dispatcher::{Cost, Ending, Micros, Note, Place, Terms, Ticket};

use crate::doors::{Changes, Door};
use crate::link::{Broken, Link};
use crate::reuse::Reuse;

const MOST_PAGES: usize = 64; // of a result; those agreed have eight
const LONGEST_RESULT: usize = 48_000; // bytes, as the protocol has it
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
    /// Ids that are over here; what is still said of them means nothing.
    given_up: HashSet<String>,
    probes: HashMap<String, Micros>,
}

pub struct Engines {
    handle: LoopHandle<'static, Changes>,
    allowed: Allowance,
    report: Vec<String>,
    engines: BTreeMap<Place, Engine>,
    links: BTreeMap<LinkId, EngineLink>,
    executions: HashMap<Sent, Execution>,
    next: u64,
    most_links: usize,
    reuse: Reuse,
    /// Given up, but engines may not know yet; in the order in which they were.
    lagging: VecDeque<(Micros, Sent, Ending)>,
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
            executions: HashMap::new(),
            next: 0,
            most_links: 0,
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
    fn ends(&mut self, now: Micros, sent: Sent, ending: Ending) {
        if matches!(ending, Ending::GivenUp | Ending::Unreadable | Ending::ClosedHere) {
            self.executions.remove(&sent);
            self.lagging.push_back((now + LAG, sent, ending));
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

    /// Sends an execution over a connection that has room for it, a new one if need be.
    pub fn send(&mut self, now: Micros, sent: Sent, place: Place, call: Rc<Call>, terms: Terms) {
        let id = match self.link_for(now, place, &call.id) {
            Ok(id) => id,
            Err(ending) => return self.ended(sent, ending),
        };
        let Some(link) = self.links.get_mut(&id) else { return };
        link.open.insert(call.id.clone(), sent);
        link.queue.push_back(sent);
        let stage = Stage::Queued;
        let x = Execution { link: id, call, terms, stage, sent: now, heard: now, pages: None };
        self.executions.insert(sent, x);
    }

    fn link_for(&mut self, now: Micros, place: Place, id: &str) -> Result<LinkId, Ending> {
        let most = self.allowed.executions_per_connection;
        let engine = self.engines.get(&place).ok_or(Ending::Withdrawn)?;
        let fits = |link: &&LinkId| {
            self.links.get(link).is_some_and(|l| {
                let known = l.open.contains_key(id) || l.given_up.contains(id);
                // Where cancelling is not allowed, what was given up runs on there.
                let runs_on = if self.allowed.cancel { 0 } else { l.given_up.len() };
                let room = l.open.len() + l.probes.len() + runs_on < most;
                !l.old && !known && room && l.given_up.len() < MOST_GIVEN_UP
            })
        };
        // Guards against losing many executions with one connection: few share one as far as descriptors go,
        // and those that have some come first, so that the others may end as idle.
        let rank = |link: &&LinkId| {
            let l = &self.links[link];
            (l.up && l.link.unsent() == 0, l.open.len() + l.probes.len(), l.idle_since)
        };
        let few = |link: &&LinkId| rank(link).1 < TOGETHER;
        if let Some(link) = engine.links.iter().filter(fits).filter(few).max_by_key(rank) {
            return Ok(*link);
        }
        let least = engine.links.iter().filter(fits).min_by_key(|link| rank(link).1).copied();
        let listed = self.engines.values().filter(|e| e.listed).count().max(1);
        let more = engine.links.len() < self.most_links / listed && self.links.len() < self.most_links;
        match least {
            Some(link) if !more => Ok(link),
            _ => self.dial(now, place).or_else(|ending| least.ok_or(ending)),
        }
    }

    fn dial(&mut self, now: Micros, place: Place) -> Result<LinkId, Ending> {
        let engine = self.engines.get_mut(&place).ok_or(Ending::Withdrawn)?;
        self.next += 1;
        let id = self.next;
        let link = match Link::dial(engine.at, &self.handle, Door::Engine.party(id)) {
            Ok(link) => link,
            Err(e) => {
                log::warn!("engine {}: no connection can be made: {e}", engine.id);
                return Err(match e.kind() {
                    ErrorKind::ConnectionRefused => Ending::Refused,
                    ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => Ending::NeverUp,
                    _ => Ending::NoMeans,
                });
            }
        };
        engine.links.push(id);
        let link = EngineLink {
            link,
            place,
            up: false,
            old: false,
            dial_by: now + self.allowed.dial_timeout,
            heard: now,
            half_since: None,
            idle_since: now,
            rested: 0,
            taken_up: now,
            queue: VecDeque::new(),
            leaving: None,
            open: HashMap::new(),
            given_up: HashSet::new(),
            probes: HashMap::new(),
        };
        self.links.insert(id, link);
        Ok(id)
    }

    pub fn hurry(&mut self, sent: Sent, priority: u8) {
        let Some(x) = self.executions.get_mut(&sent) else { return };
        x.terms.priority = priority;
        if x.stage != Stage::Queued && x.pages.is_none() {
            if let Some(link) = self.links.get_mut(&x.link) {
                engine::write(link.link.output(), &Command::Hurry(&x.call.id, priority));
            }
        }
    }

    /// Gives an execution up. It ends as told, or as withdrawn where nothing of it has left.
    pub fn stop(&mut self, now: Micros, sent: Sent, ending: Ending) {
        let Some(x) = self.executions.get(&sent) else { return };
        let (id, name) = (x.link, x.call.id.clone());
        let Some(link) = self.links.get_mut(&id) else { return };
        // A connection silent since then, longer than one takes to come up, may be to a machine that is gone.
        link.old |= link.up && link.heard < x.sent && now - x.sent > self.allowed.dial_timeout;
        // Nor is one of use on which the answer never came.
        link.old |= x.stage == Stage::Out && now - x.heard > SILENT;
        match x.stage {
            Stage::Queued => {
                link.queue.retain(|other| *other != sent);
                self.withdraw(id, sent);
            }
            // It would reach its engine whole after its end: rather the connection goes.
            Stage::Leaving => self.end(now, id, Ending::ClosedHere),
            Stage::Out => {
                match x.pages {
                    Some(_) => engine::write(link.link.output(), &Command::NoMorePages(&name)),
                    None if self.allowed.cancel => {
                        engine::write(link.link.output(), &Command::NeverMind(&name))
                    }
                    None => {}
                }
                link.idle_since = now;
                link.open.remove(&name);
                link.given_up.insert(name);
                self.ends(now, sent, ending);
            }
        }
    }

    pub fn probe(&mut self, now: Micros, place: Place) {
        self.next += 1;
        let tag = format!("p{}", self.next);
        let Some(link) = self.link_for(now, place, &tag).ok().and_then(|id| self.links.get_mut(&id)) else {
            return self.told.push(Told::Probed { place, alive: false, report: None });
        };
        if link.up {
            engine::write(link.link.output(), &Command::Probe(&tag));
        }
        link.probes.insert(tag, now + self.allowed.dial_timeout);
    }

    /// A connection has changed; true if there is more for another turn.
    pub fn read(&mut self, now: Micros, id: LinkId) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        if !link.up {
            match link.link.is_up() {
                Ok(false) => return false,
                Ok(true) => {
                    link.up = true;
                    if let Some(engine) = self.engines.get_mut(&link.place).filter(|e| e.failing) {
                        engine.failing = false;
                        log::info!("engine {}: reached again", engine.id);
                    }
                    for tag in link.probes.keys() {
                        engine::write(link.link.output(), &Command::Probe(tag));
                    }
                }
                Err(e) => {
                    let ending = match e.kind() {
                        ErrorKind::ConnectionRefused => Ending::Refused,
                        // Whoever resets a connection is there.
                        ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Ending::BrokenNew,
                        _ => Ending::NeverUp,
                    };
                    self.end(now, id, ending);
                    return false;
                }
            }
        }
        let (more, broken) = link.link.read();
        let input = std::mem::take(&mut link.link.input);
        let mut at = 0;
        let unreadable = loop {
            match engine::read(&input[at..], &self.report) {
                Ok(None) => break None,
                Err(what) => break Some(what),
                Ok(Some((len, line))) => {
                    at += len;
                    self.said(now, id, line);
                    if !self.links.contains_key(&id) {
                        return false;
                    }
                }
            }
        };
        if let Some(what) = unreadable {
            log::warn!("engine {}: {what}; its connection is closed", self.name(id));
            self.end(now, id, Ending::Unreadable);
        } else if let Some(link) = self.links.get_mut(&id) {
            link.link.input = input;
            link.link.taken(at);
            let half = !link.link.input.is_empty();
            link.half_since = half.then(|| link.half_since.filter(|_| at == 0).unwrap_or(now));
        }
        match broken {
            Some(Broken::Closed) => self.end(now, id, Ending::Closed),
            Some(Broken::Reset) => self.end(now, id, Ending::Reset),
            None => {}
        }
        more
    }

    fn name(&self, link: LinkId) -> &str {
        let engine = self.links.get(&link).and_then(|l| self.engines.get(&l.place));
        engine.map_or("?", |e| &e.id)
    }

    fn said(&mut self, now: Micros, id: LinkId, line: Line) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.heard = now;
        if let Said::Probed { alive } = line.said {
            if link.probes.remove(line.id).is_some() {
                self.told.push(Told::Probed { place: link.place, alive, report: line.report });
            }
            return;
        }
        // What is said of an execution that was given up or is unknown means nothing any more.
        let Some(&sent) = link.open.get(line.id) else {
            let over =
                matches!(line.said, Said::First { .. } | Said::TurnedAway | Said::Failed | Said::Stale);
            if over && !self.allowed.cancel && link.given_up.remove(line.id) {
                link.idle_since = now;
                engine::write(link.link.output(), &Command::NoMorePages(line.id));
            }
            return;
        };
        let Some(x) = self.executions.get_mut(&sent).filter(|x| x.stage == Stage::Out) else { return };
        x.heard = now;
        let cost = line.cost.filter(|_| self.allowed.cost_in_answers);
        let cost = cost.map(|(ms, memory_mb)| Cost { work: ms * 1000.0, memory_mb });
        let ending = match line.said {
            Said::First { pages } if x.pages.is_none() && pages <= MOST_PAGES => {
                let report = line.report.clone();
                let mut first = Pages { missing: pages, report, cost, heard: now, ..Pages::default() };
                first.bytes.resize(pages, None);
                x.pages = Some(first);
                for page in 1..pages {
                    engine::write(link.link.output(), &Command::Page(line.id, page));
                }
                x.page(now, 0, line.bytes)
            }
            Said::First { pages } if x.pages.as_ref().is_some_and(|p| p.bytes.len() == pages) => {
                x.page(now, 0, line.bytes)
            }
            Said::First { .. } => Some(Ending::Unreadable),
            Said::Page { number } => x.page(now, number, line.bytes),
            Said::TurnedAway if x.pages.is_none() => Some(Ending::TurnedAway),
            Said::Stale if x.pages.is_none() => Some(Ending::Stale),
            Said::Failed if x.pages.is_none() => Some(Ending::EngineFailed),
            Said::TurnedAway | Said::Stale | Said::Failed => Some(Ending::PageLost),
            Said::ShareDone(share) => return self.note(sent, Note::ShareDone(share)),
            Said::SpillsMb(mb) => return self.note(sent, Note::SpillsMb(mb)),
            Said::WaitsForMemory => return self.note(sent, Note::WaitsForMemory),
            Said::WaitsForData => return self.note(sent, Note::WaitsForData),
            Said::Nothing | Said::Probed { .. } => None,
        };
        let Some(ending) = ending else { return };
        if ending == Ending::Unreadable {
            log::warn!("engine {}: a spoilt result; its connection is closed", self.name(id));
            return self.end(now, id, ending);
        }
        link.open.remove(line.id);
        link.idle_since = now;
        let pages = self.executions.remove(&sent).and_then(|x| x.pages).unwrap_or_default();
        if ending == Ending::PageLost {
            engine::write(link.link.output(), &Command::NoMorePages(line.id));
        }
        if ending != Ending::Answered && self.allowed.cancel {
            link.given_up.insert(line.id.to_string());
        }
        if ending == Ending::Answered {
            self.reuse.answered();
        }
        let (report, cost) = (line.report.or(pages.report), cost.or(pages.cost));
        let result = match ending {
            Ending::Answered => pages.bytes.into_iter().flatten().flatten().collect(),
            _ => Vec::new(),
        };
        self.told.push(Told::Ended { sent, ending, report, cost, result });
    }

    fn note(&mut self, sent: Sent, note: Note) {
        self.told.push(Told::Noted { sent, note });
    }

    /// A connection is over: each execution on it ends by how much of it has left.
    fn end(&mut self, now: Micros, id: LinkId, ending: Ending) {
        let Some(link) = self.links.remove(&id) else { return };
        let lost = matches!(ending, Ending::Reset | Ending::Closed) && link.up && !link.open.is_empty();
        if lost && link.heard < link.taken_up {
            self.reuse.lost(link.rested, now - link.taken_up);
        }
        if let Some(engine) = self.engines.get_mut(&link.place) {
            engine.links.retain(|other| *other != id);
            if !link.up && (link.old || ending == Ending::BrokenNew) {
                log::debug!("engine {}: connection lost while it came up", engine.id);
            } else if !link.up && !std::mem::replace(&mut engine.failing, true) {
                log::warn!("engine {}: can't be reached: {ending:?}", engine.id);
            } else if link.up && !link.open.is_empty() {
                let count = link.open.len();
                log::warn!("engine {}: connection lost with {count} executions: {ending:?}", engine.id);
            }
        }
        let mut open: Vec<Sent> = link.open.into_values().collect();
        open.sort_unstable();
        for sent in open {
            let ending = match self.executions.get(&sent).map(|x| &x.stage) {
                Some(Stage::Queued) if link.up => Ending::Withdrawn,
                Some(Stage::Leaving) => Ending::HalfWritten,
                Some(_) => ending,
                None => continue,
            };
            self.ends(now, sent, ending);
        }
        for _ in link.probes {
            self.told.push(Told::Probed { place: link.place, alive: false, report: None });
        }
    }

    /// Sends what is to leave. Of what is queued only as much is begun as the network takes.
    pub fn flush(&mut self, now: Micros) {
        let ids: Vec<LinkId> = self.links.keys().copied().collect();
        for id in ids {
            if self.pump(now, id).is_err() {
                self.end(now, id, Ending::Reset);
            }
        }
    }

    fn pump(&mut self, now: Micros, id: LinkId) -> Result<(), Broken> {
        let Some(link) = self.links.get_mut(&id).filter(|l| l.up) else { return Ok(()) };
        loop {
            let flushed = link.link.flush();
            // It may have run once its last byte has left, whatever becomes of the commands behind it.
            if let Some((sent, _)) = link.leaving.take_if(|(_, end)| link.link.has_left(*end)) {
                self.executions.entry(sent).and_modify(|x| x.stage = Stage::Out);
            }
            flushed?;
            if link.link.unsent() > MOST_UNSENT {
                return Err(Broken::Reset);
            } else if link.link.unsent() > 0 {
                return Ok(());
            }
            let Some(sent) = link.queue.pop_front() else { return Ok(()) };
            let Some(x) = self.executions.get_mut(&sent) else { continue };
            let want = Want {
                id: &x.call.id,
                workload: &x.call.workload,
                dedup_key: x.call.dedup_key.as_deref(),
                wait_ms: ((x.terms.ends - now) / 1000).max(1),
                grant_mb: x.terms.grant_mb,
                priority: x.terms.priority,
                statement: &x.call.statement,
            };
            if link.open.len() == 1 {
                let dialled = link.dial_by - self.allowed.dial_timeout;
                let rested = if link.idle_since > dialled { now - link.idle_since } else { 0 };
                (link.rested, link.taken_up) = (rested, now);
            }
            engine::write(link.link.output(), &Command::Want(want));
            (x.stage, x.sent) = (Stage::Leaving, now);
            link.leaving = Some((sent, link.link.output().len()));
        }
    }

    /// When `expire` is next due.
    pub fn due(&self) -> Micros {
        let due = |link: &EngineLink| {
            let dial = if link.up { Micros::MAX } else { link.dial_by };
            let probe = link.probes.values().copied().min().unwrap_or(Micros::MAX);
            let half = link.half_since.map_or(Micros::MAX, |since| since + STUCK);
            dial.min(probe).min(half).min(self.idle_until(link).unwrap_or(Micros::MAX))
        };
        let lag = self.lagging.front().map_or(Micros::MAX, |(due, ..)| *due);
        self.links.values().map(due).min().unwrap_or(Micros::MAX).min(lag)
    }

    fn idle_until(&self, link: &EngineLink) -> Option<Micros> {
        let (rests, unsent) = (link.open.is_empty() && link.probes.is_empty(), link.link.unsent() > 0);
        // Closing it would give up what runs on there.
        let runs_on = !self.allowed.cancel && !link.given_up.is_empty();
        if link.old && rests && !runs_on {
            // What is still to leave has as long as a connection has to come up.
            return Some(link.idle_since + if unsent { self.allowed.dial_timeout } else { 0 });
        }
        (link.up && rests && !unsent).then_some(link.idle_since + self.reuse.most())
    }

    /// Ends what has waited too long: connections not up, probes not answered, idle connections.
    pub fn expire(&mut self, now: Micros) {
        while let Some((_, sent, ending)) = self.lagging.pop_front_if(|(due, ..)| *due <= now) {
            self.ended(sent, ending);
        }
        let ids: Vec<LinkId> = self.links.keys().copied().collect();
        for id in ids {
            let Some(link) = self.links.get_mut(&id) else { continue };
            if !link.up && link.dial_by <= now {
                self.end(now, id, Ending::NeverUp);
                continue;
            }
            // Guards against an answer that stops short: nothing comes over such a connection any more.
            let page = |sent: &Sent| {
                let pages = self.executions.get(sent).and_then(|x| x.pages.as_ref());
                pages.is_some_and(|pages| pages.heard + STUCK <= now)
            };
            let half = link.half_since.is_some_and(|since| since + STUCK <= now);
            if half || link.open.values().any(page) {
                let what = if half { "a line" } else { "a page" };
                log::warn!("engine {}: {what} that never came; its connection is closed", self.name(id));
                self.end(now, id, Ending::Unreadable);
                continue;
            }
            let place = link.place;
            let before = link.probes.len();
            link.probes.retain(|_, due| *due > now);
            link.old |= link.probes.len() < before && link.heard < now - self.allowed.dial_timeout;
            for _ in link.probes.len()..before {
                self.told.push(Told::Probed { place, alive: false, report: None });
            }
            if self.idle_until(&self.links[&id]).is_some_and(|until| until <= now) {
                self.end(now, id, Ending::Withdrawn);
            }
        }
    }
}

impl Execution {
    /// Takes a page; the last one missing answers the execution. A second copy is passed over. What is not
    /// agreed, or other than the first copy, spoils the whole: never a part or a wrong one for the whole.
    fn page(&mut self, now: Micros, number: usize, bytes: &[u8]) -> Option<Ending> {
        let pages = self.pages.as_mut()?; // else nobody asked for it
        match pages.bytes.get_mut(number) {
            Some(Some(known)) if known == bytes => return None,
            Some(page @ None) if engine::are_rows(bytes) && pages.held + bytes.len() <= LONGEST_RESULT => {
                *page = Some(bytes.to_vec());
            }
            _ => return Some(Ending::Unreadable),
        }
        pages.held += bytes.len();
        pages.heard = now;
        pages.missing -= 1;
        (pages.missing == 0).then_some(Ending::Answered)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{BufRead, BufReader};

    #[test]
    fn what_is_given_up_ends_once_its_engine_has_read_so() {
        let events: calloop::EventLoop<'static, Changes> = calloop::EventLoop::try_new().unwrap();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let allowed = Allowance { cancel: true, executions_per_connection: 32, ..Allowance::default() };
        let mut engines = Engines::new(events.handle(), allowed, &Names::default());
        engines.list(0, "a", listener.local_addr().unwrap(), 0.0, true);
        let call = Rc::new(Call { id: "1".into(), workload: "lookup".into(), ..Call::default() });
        engines.send(0, (1, 0), 0, call, Terms { ends: 1_000_000, grant_mb: 0.0, priority: 1 });
        let mut peer = BufReader::new(listener.accept().unwrap().0);
        while engines.executions[&(1, 0)].stage != Stage::Out {
            engines.read(0, 1);
            engines.flush(0);
        }
        engines.stop(0, (1, 0), Ending::GivenUp);
        engines.flush(0);
        let mut heard = String::new();
        (0..3).for_each(|_| _ = peer.read_line(&mut heard).unwrap());
        assert!(heard.ends_with("never_mind 1\r\n"), "{heard}");
        engines.expire(LAG - 1);
        assert!(engines.told.is_empty() && engines.due() == LAG);
        // A time that is up is: its client is owed the answer now.
        let call = Rc::new(Call { id: "2".into(), workload: "lookup".into(), ..Call::default() });
        engines.send(0, (2, 0), 0, call, Terms { ends: 1_000_000, grant_mb: 0.0, priority: 1 });
        engines.flush(0);
        engines.stop(0, (2, 0), Ending::TimeUp);
        let ended = |told: &Told| matches!(told, Told::Ended { sent: (2, 0), ending: Ending::TimeUp, .. });
        assert!(engines.told.pop().is_some_and(|told| ended(&told)));
        engines.expire(LAG);
        let over = |told: &Told| matches!(told, Told::Ended { sent: (1, 0), ending: Ending::GivenUp, .. });
        assert!(engines.told.len() == 1 && over(&engines.told[0]));
    }
}
