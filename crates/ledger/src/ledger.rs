//! A front's part in the ledger: its own asks, the copies that it keeps, and what goes between them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::asks::{self, Asks};
use crate::bootstrap::Bootstrap;
use crate::forms::OLDEST;
use crate::handover::Leaving;
use crate::messages::{fingerprint, LedgerMessage};
use crate::moves::Away;
use crate::placement::ranked;
use crate::records::{self, Meta};
use crate::repair::{Peer, Repair};
use crate::replica::{size, Replica};
use crate::scrub::Scrub;
use crate::state::{Command, ReplicaId, State};
use crate::transport::{Pace, Transport};
use crate::{
    shard_of, Act, Ask, Done, Error, FrontId, Micros, Moment, Out, Outcome, Owner, Record, Save, Saved,
};
use crate::{Setup, Tallies};

pub(crate) const TICK: Micros = 50_000; // microseconds between turns of the logs' clocks
const LONGEST_NAME: usize = 1_024; // bytes of a key's name
const LONGEST_VALUE: usize = 32 * 1_024; // bytes of a value

/// What a front knows of one shard.
#[derive(Default)]
pub(crate) struct ShardView {
    /// All that could keep it, in the order in which they are wanted.
    pub ranked: Vec<FrontId>,
    /// Who is to keep it, in the order in which they are wanted; empty where shards do not move.
    pub wanted: Vec<FrontId>,
    /// Which of them is to lead it.
    pub preferred_leader: Option<FrontId>,
    pub replica: Option<Replica>,
    /// Who keeps it, by the latest that was heard.
    pub known: Option<(u32, Vec<ReplicaId>)>,
    /// With these members or earlier ones this disk never begins (again).
    pub barred: u32,
    pub bootstrap: Option<Bootstrap>,
    /// A copy that was given to this front before it became a member: of which log, up to which entry.
    pub learned: Option<(u32, u64, State)>,
    pub repair: Option<Repair>,
    pub scrub: Scrub,
    /// Since when this front leads it.
    pub leader_since: Option<Micros>,
    /// The front that leads it, as was heard last.
    pub leader_hint: Option<FrontId>,
    /// When members that are behind were last told so, and when others were last told that this front is here.
    pub told: BTreeMap<FrontId, Micros>,
}

impl ShardView {
    pub fn members(&self) -> &[ReplicaId] {
        self.known.as_ref().map_or(&[], |(_, members)| members)
    }

    /// Which of these members is to lead it.
    pub fn preferred_among(&self, members: &[ReplicaId]) -> Option<FrontId> {
        let mut order = self.preferred_leader.iter().chain(&self.wanted).chain(&self.ranked);
        order.find(|front| members.iter().any(|member| member.front == **front)).copied()
    }

    pub fn config(&self) -> u32 {
        self.known.as_ref().map_or(0, |(config, _)| *config)
    }
}

/// A front's part in the ledger: its own asks, and the replicas that it holds.
pub struct Ledger {
    pub(crate) setup: Setup,
    pub(crate) own: ReplicaId,
    pub(crate) shards: Vec<ShardView>,
    pub(crate) peers: BTreeMap<FrontId, Peer>,
    pub(crate) away: Away,
    pub(crate) leaving: Option<Leaving>,
    /// Others that are to end, in which of their lives.
    pub(crate) leavers: BTreeMap<FrontId, u64>,
    /// When this front may next leave a shard to the one that is to own it.
    pub(crate) yields_at: Micros,
    pub(crate) asks: Asks,
    pub(crate) transport: Transport,
    /// What must be lasting before anything more is told, beside the logs.
    pub(crate) records: Vec<Record>,
    next_save: u64,
    unsaved: VecDeque<(u64, Vec<Done>)>,
    pub(crate) done: Vec<Done>,
    out: Out,
    pub(crate) tick_at: Micros,
    pub(crate) look_at: Micros,
    /// Shards in which something may have happened.
    pub(crate) touched: BTreeSet<u16>,
    pub(crate) tallies: Tallies,
    /// The latest form of what is kept, and the form in which more is proposed.
    kept_form: u8,
    pub(crate) form: u8,
}

pub(crate) fn check(setup: &Setup) -> Result<(), Error> {
    let mut seen = BTreeSet::new();
    if setup.members.is_empty() {
        return Err(Error::NoMembers);
    }
    if let Some(twice) = setup.members.iter().find(|member| !seen.insert(member.front)) {
        return Err(Error::Twice(twice.front));
    }
    if setup.copies == 0 || setup.copies > setup.members.len() {
        return Err(Error::Copies { copies: setup.copies, members: setup.members.len() });
    }
    match setup.shards {
        1..=1_024 => Ok(()),
        shards => Err(Error::Shards(shards)),
    }
}

impl Ledger {
    /// `saved` is what an earlier life on the same disk gave out to be kept; None only where there was none.
    pub fn new(at: Moment, setup: Setup, saved: Option<Saved>) -> Result<Ledger, Error> {
        check(&setup)?;
        let fleet = fingerprint(&setup.fleet, setup.shards);
        let own = ReplicaId { front: setup.own, disk: setup.disk };
        let none = Ok((OLDEST, BTreeMap::new()));
        let (kept_form, kept) = saved.as_ref().map_or(none, |saved| records::read(&setup, fleet, saved))?;
        let new_view = |shard| ShardView { ranked: ranked(&setup.members, shard), ..ShardView::default() };
        let mut ledger = Ledger {
            own,
            shards: (0..setup.shards).map(new_view).collect(),
            peers: BTreeMap::new(),
            away: Away::default(),
            leaving: None,
            leavers: BTreeMap::new(),
            yields_at: at.steady,
            asks: Asks::default(),
            transport: Transport::new(&setup, fleet),
            records: Vec::new(),
            next_save: 1,
            unsaved: VecDeque::new(),
            done: Vec::new(),
            out: Out::default(),
            tick_at: at.steady,
            look_at: at.steady,
            touched: BTreeSet::new(),
            tallies: Tallies::default(),
            kept_form,
            form: OLDEST,
            setup,
        };
        if kept.is_empty() {
            ledger.records.push(records::mark(OLDEST, fleet, own.disk));
        }
        ledger.place_initially(at.steady);
        for (shard, kept) in kept {
            ledger.reopen(shard, kept)?;
        }
        ledger.start_bootstraps();
        ledger.settle(at);
        Ok(ledger)
    }

    /// Goes on with a shard from what was kept of it.
    fn reopen(&mut self, shard: u16, kept: records::Kept) -> Result<(), Error> {
        let own = self.own;
        let view = self.shards.get_mut(usize::from(shard)).ok_or(Error::Fleet)?;
        view.bootstrap = (!kept.bootstrap.is_empty()).then(|| Bootstrap::new(kept.bootstrap));
        let Some(Meta { config, members, is_member, .. }) = kept.meta else { return Ok(()) };
        view.bootstrap = None;
        view.barred = config;
        if is_member {
            let preferred = view.preferred_among(&members) == Some(own.front);
            let replica = Replica::open(shard, config, &members, own, preferred, kept.held);
            let damaged = || Error::Damaged { record: format!("members of shard {shard}") };
            view.replica = Some(replica.ok_or_else(damaged)?);
        }
        view.known = Some((config, members));
        Ok(())
    }

    /// Asks for an act; one answer follows.
    pub fn ask(&mut self, at: Moment, ask: Ask) {
        let Ask { number, key, act } = ask;
        let long = match &act {
            Act::Claim { value, .. } | Act::Put { value, .. } => value.len() > LONGEST_VALUE,
            Act::Free | Act::Read => false,
        };
        if self.asks.is_waiting(number) {
            return;
        }
        if self.tallies.failed {
            // Only what needs no promise goes on here, until it starts over.
            return self.out.done.push(Done { number, outcome: Outcome::Unreachable });
        }
        if long || key.name.len() > LONGEST_NAME {
            self.refuse("too long");
            return self.out.done.push(Done { number, outcome: Outcome::Full });
        }
        let shard = shard_of(&key, self.setup.shards);
        let owner = Owner { front: self.own.front, incarnation: self.setup.incarnation };
        let asked_ms = self.asks.first(number, at.wall_ms);
        let command = Command { owner, number, asked_ms, key, act };
        if !self.asks.wait(command, shard, at.steady + self.setup.patience) {
            return self.out.done.push(Done { number, outcome: Outcome::Unreachable });
        }
        self.route(at, number);
        self.settle(at);
    }

    /// Passes a request on to the shard's leader, as far as that is known.
    fn route(&mut self, at: Moment, number: u64) {
        let Some((waiting, tries)) = self.asks.tries(at.steady, number) else { return };
        let Some(view) = self.shards.get_mut(usize::from(waiting.shard)) else { return };
        let shard = waiting.shard;
        if let Some(replica) = view.replica.as_mut().filter(|replica| replica.is_leader()) {
            replica.ask(waiting.command.clone(), at.steady, waiting.ends);
            self.touched.insert(shard);
            return;
        }
        let leader = view.replica.as_ref().and_then(Replica::leader).or(view.leader_hint);
        let members: Vec<FrontId> = view.members().iter().map(|member| member.front).collect();
        let rest = view.ranked.iter().filter(|front| !members.contains(front)).copied();
        let others: Vec<FrontId> = members.iter().copied().chain(rest).collect();
        if let Some(to) = asks::whom(leader, &others, self.own.front, tries) {
            let message = LedgerMessage::Request { shard, command: waiting.command.clone() };
            self.transport.send(at, to, &message, Pace::Fast);
        }
    }

    /// Another says who leads the shard of an ask.
    pub(crate) fn elsewhere(&mut self, at: Moment, from: FrontId, number: u64, leader: Option<FrontId>) {
        let Some(shard) = self.asks.shard(number) else { return };
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let leader = leader.filter(|leader| *leader != from);
        let new = leader.is_some() && leader != view.leader_hint;
        view.leader_hint = leader.or(view.leader_hint.filter(|hint| *hint != from));
        if new {
            self.route(at, number);
        }
    }

    /// The answer to an ask of this front, to be told once what it rests on is lasting here.
    pub(crate) fn answered(&mut self, leader: Option<FrontId>, number: u64, outcome: Outcome) {
        let Some(shard) = self.asks.answered(number) else { return };
        if let Some(view) = self.shards.get_mut(usize::from(shard)) {
            view.leader_hint = leader.or(view.leader_hint);
        }
        self.tallies.answered += 1;
        self.done.push(Done { number, outcome });
    }

    /// An ask of another front has come.
    pub(crate) fn asked(&mut self, at: Moment, from: FrontId, shard: u16, command: Command) {
        let fits = command.owner.front == from && shard_of(&command.key, self.setup.shards) == shard;
        if !fits || size(&command) > LONGEST_NAME + LONGEST_VALUE {
            return self.refuse("another's ask");
        }
        let (incarnation, number) = (command.owner.incarnation, command.number);
        let ends = at.steady + self.setup.patience;
        let Some(view) = self.shards.get_mut(usize::from(shard)) else { return };
        let leader = match &mut view.replica {
            Some(replica) if replica.is_leader() => {
                if !replica.ask(command, at.steady, ends) {
                    self.refuse("too many asks");
                }
                return;
            }
            Some(replica) => replica.leader(),
            None => view.leader_hint,
        };
        let (config, members) = (view.config(), view.members().to_vec());
        let message = LedgerMessage::NotLeader { shard, incarnation, number, leader };
        self.transport.send(at, from, &message, Pace::Fast);
        if view.replica.is_none() && config > 0 {
            let message = LedgerMessage::Membership { shard, config, members };
            self.transport.send(at, from, &message, Pace::Fast);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, at: Moment) {
        let (again, ended) = self.asks.due_now(at);
        self.out.done.extend(ended.into_iter().map(|(number, outcome)| Done { number, outcome }));
        again.into_iter().for_each(|number| self.route(at, number));
        if self.tick_at <= at.steady {
            // One that stood still does not catch up: the logs' clocks count turns they had.
            self.tick_at = at.steady + TICK;
            for (shard, view) in (0..).zip(&mut self.shards) {
                if let Some(replica) = &mut view.replica {
                    let config = replica.config;
                    for to in replica.tick().into_iter().filter(|to| *to != self.own.front) {
                        self.transport.send(at, to, &LedgerMessage::Resync { shard, config }, Pace::Fast);
                    }
                    self.touched.insert(shard);
                }
            }
            self.look(at);
        }
        self.hand_on(at);
        self.settle(at);
    }

    /// When `tick` is next due, on the steady clock.
    pub fn due(&self) -> Micros {
        let keeps = self.shards.iter().any(|view| view.replica.is_some() || view.bootstrap.is_some());
        let tick = if keeps { self.tick_at } else { Micros::MAX };
        tick.min(self.asks.due()).min(self.transport.due()).min(self.hands_on_at())
    }

    /// What is to be done for it since it was last asked. What `packets` holds may leave at once.
    pub fn take(&mut self) -> Out {
        std::mem::take(&mut self.out)
    }

    /// A save is lasting, with those before it, or has failed.
    pub fn saved(&mut self, at: Moment, number: u64, ok: bool) {
        if !ok {
            self.fail();
        }
        while self.unsaved.front().is_some_and(|(first, _)| *first <= number) {
            let done = self.unsaved.pop_front().map(|(_, done)| done).unwrap_or_default();
            self.out.done.extend(done);
        }
        self.settle(at);
    }

    /// Nothing can be kept any more: this front is a member of nothing in this life, and says so.
    pub(crate) fn fail(&mut self) {
        self.tallies.failed = true;
        self.transport.disk = 0;
        self.own.disk = 0;
        for view in &mut self.shards {
            (view.replica, view.bootstrap, view.learned) = (None, None, None);
            (view.barred, view.leader_since, view.repair) = (u32::MAX, None, None);
        }
        self.records.clear();
        // What rests on a save that failed may stand or not.
        for (_, done) in &mut self.unsaved {
            done.iter_mut().for_each(|done| done.outcome = Outcome::Unreachable);
        }
        let unsaved = std::mem::take(&mut self.unsaved);
        self.out.done.extend(unsaved.into_iter().flat_map(|(_, done)| done));
    }

    /// Begins anew with another disk, or with none but memory: as a front that remembers nothing.
    pub fn start_over(&mut self, at: Moment, disk: u64) {
        self.fail();
        self.tallies.failed = false;
        self.setup.disk = disk;
        self.own.disk = disk;
        self.transport.disk = disk;
        self.transport.incarnation = at.wall_ms.max(self.transport.incarnation + 1);
        self.kept_form = OLDEST;
        self.records.push(records::mark(OLDEST, self.transport.fleet, disk));
        self.shards.iter_mut().for_each(|view| view.barred = 0);
        self.start_bootstraps();
        self.settle(at);
    }

    /// Takes in what has happened, and gathers what is to go out.
    pub(crate) fn settle(&mut self, at: Moment) {
        while let Some(shard) = self.touched.pop_first() {
            self.settle_shard(at, shard);
        }
        let packets = self.transport.packets(at);
        let mut must = !self.records.is_empty();
        for view in &mut self.shards {
            must |= view.replica.as_mut().is_some_and(Replica::must_save);
        }
        let done = std::mem::take(&mut self.done);
        if must {
            let (mut records, mut form) = (std::mem::take(&mut self.records), self.kept_form);
            for replica in self.shards.iter_mut().filter_map(|view| view.replica.as_mut()) {
                form = form.max(replica.records(&mut records));
            }
            if form > self.kept_form {
                // With the first of them, so that a build that can't read them finds that said.
                self.kept_form = form;
                records.push(records::mark(form, self.transport.fleet, self.own.disk));
            }
            return self.save(records, packets, done);
        }
        if self.unsaved.is_empty() {
            self.out.packets.extend(packets);
            self.out.done.extend(done);
        } else if !packets.is_empty() || !done.is_empty() {
            self.save(Vec::new(), packets, done);
        }
    }

    fn save(&mut self, records: Vec<Record>, packets: Vec<(FrontId, Vec<u8>)>, done: Vec<Done>) {
        let number = self.next_save;
        self.next_save += 1;
        self.unsaved.push_back((number, done));
        self.out.saves.push(Save { number, records, packets });
    }

    pub(crate) fn refuse(&mut self, why: &'static str) {
        *self.tallies.refused.entry(why).or_default() += 1;
    }
}
