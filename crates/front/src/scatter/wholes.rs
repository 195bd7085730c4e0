//! Statements that are asked of several sites, from their reading to their final answer.

mod told;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use hallmux_agreement::{Contract, Scatter};
use hallmux_codec::statement::Call;
use hallmux_dispatcher::{Ask, Dispatcher, Micros, Speech, Ticket, Unfit};
use hallmux_gossip::PeerId;
use hallmux_scatter::marks::{numbers, Marks};
use hallmux_scatter::plan::{plan, Basis, Plan, Why, Word};
use hallmux_scatter::sql::Query;
use hallmux_scatter::whole::{Act, Answer, Failed, Rules, Whole};

use super::doubts::{Doubts, RuledOut};
use super::loads::Loads;
use super::summaries::Summaries;

const PATIENCE: Micros = 250_000; // microseconds that an answer waits for an audit alone: most engines answer within it
const SAID: Micros = 60_000_000; // microseconds between lines of the log that say the same

/// A whole statement's final word.
#[derive(Debug, PartialEq)]
pub enum Said {
    Answer(Answer),
    /// The dispatcher can't take its parts.
    Unfit(Unfit),
}

/// A statement and its parts.
struct One {
    call: Rc<Call>,
    query: Query,
    ends: Micros,
    /// Sites that may be asked; None: all.
    allowed: Option<Vec<String>>,
    /// Of a join: the marks of its groups that are there.
    words: BTreeMap<u32, Option<Marks>>,
    /// None while the marks of its group are awaited.
    whole: Option<Whole>,
    /// Parts that are out: place and ticket.
    tickets: BTreeMap<usize, Ticket>,
    /// Sites that are asked though their summaries rule them out.
    ruled_out: Vec<RuledOut>,
}

pub struct Scatters {
    settings: Scatter,
    sites: Vec<String>,
    pub summaries: Summaries,
    /// Marks of loads, where the operator has them marked.
    pub loads: Option<Loads>,
    /// Audits of sites' words, where they are switched on, and wholes that wait for nothing else, until when.
    doubts: Option<Doubts>,
    hurries: VecDeque<(Micros, Ticket)>,
    open: HashMap<Ticket, One>,
    /// Whose parts they are, and in which places.
    parts: HashMap<Ticket, (Ticket, usize)>,
    said: Vec<(Ticket, Said)>,
    /// Sites asked, left out, and of how many in all.
    counts: (u64, u64),
    /// Of those asked, how many had no row, by why they were asked.
    needless: BTreeMap<Why, u64>,
    told: Micros,
}

impl Scatters {
    pub fn new(
        settings: &Scatter,
        now: Micros,
        turn: usize,
        contract: &Contract,
    ) -> std::io::Result<Scatters> {
        let locations = contract.names.locations.clone();
        let loads = settings.marked.then(|| Loads::new(settings.writes.clone(), locations));
        log::info!("statements of {:?} are asked of sites {:?}", settings.workloads, settings.sites.keys());
        Ok(Scatters {
            sites: settings.sites.keys().cloned().collect(),
            summaries: Summaries::new(settings, now, turn)?,
            loads,
            settings: settings.clone(),
            doubts: settings.audits.map(Doubts::new),
            hurries: VecDeque::new(),
            open: HashMap::new(),
            parts: HashMap::new(),
            said: Vec::new(),
            counts: (0, 0),
            needless: BTreeMap::new(),
            told: 0,
        })
    }

    /// The operator's file was read again. One whose keys can't be used changes nothing.
    pub fn reload(&mut self, settings: &Scatter, now: Micros) {
        self.tell();
        match self.summaries.reload(settings, now) {
            Ok(()) => {
                self.sites = settings.sites.keys().cloned().collect();
                self.settings = settings.clone();
                match (settings.audits, &mut self.doubts) {
                    (Some(audits), Some(doubts)) => doubts.turn_to(audits),
                    (audits, doubts) => *doubts = audits.map(Doubts::new),
                }
            }
            Err(why) => log::error!("{why}; sites are left as they were"),
        }
    }

    pub fn takes(&self, workload: &str) -> bool {
        self.settings.workloads.iter().any(|w| w == workload)
    }

    /// A client's statement passes for a load that a front has numbered: its site would take its word for it.
    pub fn passes_for_numbered(&self, call: &Call) -> bool {
        self.loads.is_some() && !numbers(&call.statement).is_empty()
    }

    pub fn whole_site(&self) -> Option<&str> {
        self.settings.whole_site.as_deref()
    }

    /// A statement begins: its sites are asked at once, or once the marks of its group are known.
    pub fn begin(
        &mut self,
        now: Micros,
        ticket: Ticket,
        (call, query, ends): (Rc<Call>, Query, Micros),
        allowed: Option<Vec<String>>,
        dispatcher: &mut Dispatcher,
    ) {
        let mut groups = BTreeSet::from([query.group]);
        groups.extend(query.join.as_ref().map(|join| join.group));
        let (words, tickets, ruled_out) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        let one = One { call, query, ends, allowed, words, whole: None, tickets, ruled_out };
        self.open.insert(ticket, one);
        match &mut self.loads {
            Some(loads) => groups.into_iter().for_each(|group| loads.scatter(ticket, group)),
            None => self.go(now, ticket, &Word::NoLoads, dispatcher),
        }
    }

    /// The ledger's word on a group's marks, or that it has none to give.
    pub fn marks(
        &mut self,
        now: Micros,
        (group, waiting): (u32, &[Ticket]),
        marks: Option<&Marks>,
        dispatcher: &mut Dispatcher,
    ) {
        let word = marks.map_or(Word::Nothing, Word::Marks);
        for ticket in waiting {
            if self.open.get(ticket).is_some_and(|one| one.query.join.is_some()) {
                self.marks_of_join(now, *ticket, (group, marks), dispatcher);
                continue;
            }
            let (wall_ms, book) = ((now / 1000) as u64, &self.summaries.book);
            if !self.doubts.as_mut().is_some_and(|doubts| doubts.word(wall_ms, *ticket, &word, book)) {
                self.go(now, *ticket, &word, dispatcher);
            }
        }
    }

    fn go(&mut self, now: Micros, ticket: Ticket, word: &Word, dispatcher: &mut Dispatcher) {
        if self.told + SAID <= now {
            self.told = now;
            if matches!(word, Word::Nothing) {
                log::info!("the ledger gives no word on loads, so all sites are asked");
            }
            self.tell();
        }
        let Some(one) = self.open.get(&ticket).filter(|one| one.whole.is_none()) else { return };
        let distinct = one.query.distinct.is_some();
        if let Some(answer) = distinct.then(|| self.by_sketch(now, one, word)).flatten() {
            self.open.remove(&ticket);
            return self.said.push((ticket, Said::Answer(answer)));
        }
        let Some(one) = self.open.get_mut(&ticket) else { return };
        let allowed: Option<Vec<&str>> =
            one.allowed.as_ref().map(|names| names.iter().map(String::as_str).collect());
        let wall_ms = (now / 1000) as u64;
        let book = &self.summaries.book;
        let doubts = self.doubts.as_ref();
        let doubted = |site: &str| doubts.is_some_and(|doubts| doubts.doubts(site));
        let (sites, allowed) = (&self.sites, allowed.as_deref());
        let mut plan = match self.settings.whole_site.as_ref().filter(|_| distinct) {
            Some(site) => Plan::whole(site, allowed),
            None => plan(
                &one.query,
                &Basis { sites, allowed, summaries: book, wall_ms, loads: word, suspected: &doubted },
            ),
        };
        if distinct {
            // The one site has all rows.
        } else if one.query.combine.is_some() {
            plan.ask_one(sites, allowed);
        } else if let Some(doubts) = self.doubts.as_mut().filter(|_| one.query.join.is_none()) {
            // A join may be ruled out by either side, which no audit tells apart.
            doubts.audit(now, ticket, &mut plan, sites, allowed);
        }
        let version = |site: &str| book.look(wall_ms, site, one.query.group).map_or(0, |s| s.version);
        let asked = plan.parts.iter().filter(|part| part.ruled_out && one.query.join.is_none());
        one.ruled_out = asked
            .map(|p| RuledOut { site: p.site.clone(), group: one.query.group, version: version(&p.site) })
            .collect();
        let book = &mut self.summaries.book;
        let left_out = plan.left_out.iter().filter(|_| one.query.join.is_none());
        left_out.for_each(|site| book.learn(wall_ms, &one.query, site, false));
        self.counts.0 += plan.parts.len() as u64;
        self.counts.1 += plan.left_out.len() as u64;
        let rules = Rules {
            limit: one.query.limit,
            partial: self.settings.partial.contains(&one.call.customer),
            at_once: self.settings.at_once,
            most_bytes: self.settings.answer_bytes,
            combine: one.query.combine.clone(),
        };
        let (whole, acts) = Whole::new(plan.parts, plan.barred, rules);
        one.whole = Some(whole);
        self.act(now, ticket, acts, dispatcher);
        self.awaits(now, ticket);
    }

    /// Notes a whole that waits for audits alone.
    fn awaits(&mut self, now: Micros, ticket: Ticket) {
        let whole = self.open.get(&ticket).and_then(|one| one.whole.as_ref());
        if whole.is_some_and(Whole::waits_for_audits) {
            self.hurries.push_back((now + PATIENCE, ticket));
        }
    }

    /// Answers those that have waited long enough for audits alone.
    pub fn hurry(&mut self, now: Micros, dispatcher: &mut Dispatcher) {
        while let Some((_, ticket)) = self.hurries.pop_front_if(|(until, _)| *until <= now) {
            let whole = self.open.get_mut(&ticket).and_then(|one| one.whole.as_mut());
            let acts = whole.map_or(Vec::new(), Whole::hurry);
            self.act(now, ticket, acts, dispatcher);
        }
    }

    fn act(&mut self, now: Micros, ticket: Ticket, acts: Vec<Act>, dispatcher: &mut Dispatcher) {
        let mut acts = std::collections::VecDeque::from(acts);
        while let Some(act) = acts.pop_front() {
            let Some(one) = self.open.get_mut(&ticket) else { return };
            match act {
                Act::Start(place) => {
                    let site = one.whole.as_ref().and_then(|whole| whole.site(place)).unwrap_or_default();
                    let ask = Ask {
                        workload: &one.call.workload,
                        customer: &one.call.customer,
                        key: None,
                        dedup_key: None,
                        time_left: one.ends - now,
                        work: one.call.work_ms * 1000.0,
                        memory_mb: one.call.memory_mb,
                        data_set: Some(one.query.group),
                        speech: Speech::Lines,
                        pinned: None,
                        allowed: Some(&[site]),
                    };
                    match dispatcher.pick(now, &ask) {
                        Ok(part) => {
                            one.tickets.insert(place, part);
                            self.parts.insert(part, (ticket, place));
                        }
                        Err(Unfit::Barred) => {
                            let more = one.whole.as_mut().map(|whole| whole.failed(place, Failed::Barred));
                            acts.extend(more.unwrap_or_default());
                        }
                        Err(unfit) => {
                            self.left(now, ticket, dispatcher);
                            return self.said.push((ticket, Said::Unfit(unfit)));
                        }
                    }
                }
                Act::End(place) => {
                    if let Some(part) = one.tickets.remove(&place) {
                        self.parts.remove(&part);
                        dispatcher.left(now, part);
                    }
                }
                Act::Answer(answer) => {
                    self.open.remove(&ticket);
                    return self.said.push((ticket, Said::Answer(answer)));
                }
            }
        }
    }

    /// Final words since the last call.
    pub fn said(&mut self) -> Vec<(Ticket, Said)> {
        std::mem::take(&mut self.said)
    }

    /// A statement is a part of one of these.
    pub fn owns(&self, part: Ticket) -> bool {
        self.parts.contains_key(&part)
    }

    /// The whole that a statement is a part of.
    pub fn whole_of(&self, part: Ticket) -> Option<Ticket> {
        self.parts.get(&part).map(|(whole, _)| *whole)
    }

    pub fn call(&self, part: Ticket) -> Option<Rc<Call>> {
        let (ticket, _) = self.parts.get(&part)?;
        self.open.get(ticket).map(|one| one.call.clone())
    }

    /// A part has its answer, or has failed for good.
    pub fn ended(
        &mut self,
        now: Micros,
        part: Ticket,
        ended: Result<Vec<u8>, Failed>,
        dispatcher: &mut Dispatcher,
    ) {
        let Some((ticket, place)) = self.parts.remove(&part) else { return };
        let Some(one) = self.open.get_mut(&ticket) else { return };
        one.tickets.remove(&place);
        let Some(whole) = &mut one.whole else { return };
        let acts = match ended {
            Ok(rows) => {
                let site = whole.site(place).unwrap_or_default();
                if rows.is_empty() {
                    if let Some(part) = whole.part(place) {
                        *self.needless.entry(part.why).or_default() += 1;
                    }
                    self.summaries.book.learn((now / 1000) as u64, &one.query, site, true);
                }
                let of = one.ruled_out.iter().find(|of| of.site == site).cloned();
                if let Some((doubts, of)) = self.doubts.as_mut().zip(of) {
                    let (check, lines) = (dispatcher.number(), rows.iter().filter(|c| **c == b'\n').count());
                    if doubts.answered(check, of, &one.query, lines as u64) {
                        match &mut self.loads {
                            Some(loads) => loads.scatter(check, one.query.group),
                            None => {
                                let (wall_ms, book) = ((now / 1000) as u64, &self.summaries.book);
                                doubts.word(wall_ms, check, &Word::NoLoads, book);
                            }
                        }
                    }
                }
                whole.answered(place, rows)
            }
            Err(failed) => whole.failed(place, failed),
        };
        self.act(now, ticket, acts, dispatcher);
        self.awaits(now, ticket);
    }

    /// Nobody waits for a whole statement any more. False if it is none of these.
    pub fn left(&mut self, now: Micros, ticket: Ticket, dispatcher: &mut Dispatcher) -> bool {
        let Some(one) = self.open.remove(&ticket) else { return false };
        for part in one.tickets.into_values() {
            self.parts.remove(&part);
            dispatcher.left(now, part);
        }
        true
    }

    /// When `tick` is next due; without other fronts there is nothing to spread.
    pub fn due(&self, has_peers: bool) -> Micros {
        let loads = self.loads.as_ref().map_or(Micros::MAX, Loads::due);
        let hurry = self.hurries.front().map_or(Micros::MAX, |(until, _)| *until);
        let chosen = self.summaries.choice().min(hurry);
        match (self.said.is_empty(), has_peers) {
            (true, true) => self.summaries.due().min(loads).min(hurry),
            (true, false) => chosen,
            _ => 0,
        }
    }

    pub fn tick(&mut self, now: Micros, others: &[PeerId]) -> Vec<(PeerId, Vec<u8>)> {
        let heard = std::mem::take(&mut self.summaries.found);
        if let Some(doubts) = &mut self.doubts {
            doubts.fronts = others.len() + 1;
            heard.iter().for_each(|word| doubts.told(word));
            doubts.found.drain(..).for_each(|word| self.summaries.finds(now, &word));
        }
        self.summaries.tick(now, others)
    }
}
