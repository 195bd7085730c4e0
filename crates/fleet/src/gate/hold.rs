//! What this front has of one key of the ledger, and what it asks for it next. One ask of a key is out at a time.

use std::collections::{BTreeMap, BTreeSet};

use hallmux_dispatcher::{Micros, StatementOver, Ticket};
use hallmux_ledger::{Act, Entry, Kind, Outcome};

use super::needs::{Group, Out};

/// Microseconds until what another has is asked for again; twice as long each time. The ledger says when it is free:
/// this is for where that word is lost, or is of an earlier build.
const AGAIN: Micros = 40_000;
const AGAIN_MOST: Micros = 320_000; // microseconds; a key that is free stays unused so long at most
const FIRST_AGAIN: Micros = 100_000; // microseconds until a shard that never spoke is asked again
const ASK: Micros = 600_000; // microseconds that an ask may take until it is known to have found no majority
const FREE_AGAIN: Micros = 1_000_000; // microseconds until what could not be freed is tried again
const KEPT_MS: u64 = 20_000; // milliseconds that a transaction's key stands without word; renewed at half of them

/// What an ask that is out was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Aim {
    /// Until then, for executions in that group.
    Hold(u64, Group),
    /// It is nobody else's for a while, though nothing of it is out here.
    Rest,
    Free,
    /// Whether an entry that may be there is this front's own of now.
    Look,
}

/// What an answer means for the executions that wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// To be looked at again: some may leave, or the next ask is due.
    Look,
    /// These can't have it now.
    TurnAway(Vec<Ticket>, &'static str),
    /// These have been begun before, here or elsewhere.
    Begun(Vec<Ticket>),
}

/// An execution that waits for the key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    /// Unix milliseconds until which it must stand, and from which the execution can't be running any more.
    pub until_ms: u64,
    pub runs_ms: u64,
    pub group: Group,
    /// Until when it may wait for the first word of its shard.
    pub patient_until: Micros,
}

pub(super) struct Hold {
    kind: Kind,
    after: Micros,
    pub wanting: BTreeMap<Ticket, Wanted>,
    /// Statements with an execution that has left under it.
    using: BTreeSet<Ticket>,
    /// Transactions that keep it.
    kept: usize,
    stands_ms: u64,
    group: Group,
    version: u64,
    /// Until when it may stand though nothing said so.
    may_stand_ms: u64,
    /// By which its entry is told from others, also of this front; and nothing said that it stands.
    mark: (u64, u64),
    unsure: bool,
    asked: Option<Aim>,
    /// Of the latest ask for it.
    number: u64,
    again: Micros,
    free_again: Micros,
    tries: u32,
    /// Another has it.
    pub blocked: bool,
    /// Until when it is nobody else's after what has ended here, and whether that may be running on.
    rests_until: Micros,
    runs_on: bool,
    /// Unix milliseconds from which nothing that has left can be running any more.
    runs_ms: u64,
}

impl Hold {
    pub fn new(kind: Kind, after: Micros) -> Hold {
        Hold {
            kind,
            after,
            wanting: BTreeMap::new(),
            using: BTreeSet::new(),
            kept: 0,
            stands_ms: 0,
            group: Group::All,
            version: 0,
            may_stand_ms: 0,
            mark: (0, 0),
            unsure: false,
            asked: None,
            number: 0,
            again: 0,
            free_again: 0,
            tries: 0,
            blocked: false,
            rests_until: 0,
            runs_on: false,
            runs_ms: 0,
        }
    }

    /// Nothing needs it here, and nothing has to be said of it any more.
    pub fn is_over(&self, now: Micros) -> bool {
        self.is_unused() && self.asked.is_none() && self.may_stand_ms <= ms(now)
    }

    fn is_unused(&self) -> bool {
        self.wanting.is_empty() && self.using.is_empty() && self.kept == 0
    }

    /// Whether an execution may leave under it.
    pub fn stands(&self, now: Micros, ticket: Ticket, wanted: Wanted) -> bool {
        // Of a non-idempotent statement the promise is its own alone.
        let own = self.kind != Kind::Begun || self.using.iter().all(|other| *other == ticket);
        let moves = matches!(self.asked, Some(Aim::Hold(_, group)) if group != wanted.group);
        let group = self.kind != Kind::Dedup || self.group == wanted.group && !moves;
        self.wanting.contains_key(&ticket)
            && own
            && group
            && self.stands_ms >= wanted.until_ms
            && self.stands_ms > ms(now)
    }

    /// It is wanted by an execution. What can't be is said at once.
    pub fn want(&mut self, now: Micros, ticket: Ticket, wanted: Wanted) -> Verdict {
        let leaves =
            |(other, wanted): (&Ticket, &Wanted)| *other != ticket && self.stands(now, *other, *wanted);
        let others = self.using.iter().any(|other| *other != ticket)
            || self.rests_until > now
            || self.wanting.iter().any(leaves);
        match self.kind {
            Kind::Begun if others => return Verdict::Begun(vec![ticket]),
            Kind::Dedup if others && self.group != wanted.group => {
                return Verdict::TurnAway(vec![ticket], "group")
            }
            _ => {}
        }
        self.wanting.insert(ticket, wanted);
        Verdict::Look
    }

    pub fn leaves(&mut self, ticket: Ticket) {
        if let Some(wanted) = self.wanting.remove(&ticket) {
            self.runs_ms = self.runs_ms.max(wanted.runs_ms);
            self.using.insert(ticket);
        }
    }

    /// A statement is over.
    pub fn gone(&mut self, now: Micros, gone: StatementOver) {
        self.wanting.remove(&gone.ticket);
        let rests = if self.kind == Kind::Order { gone.rests } else { gone.ran };
        if self.using.remove(&gone.ticket) && rests {
            self.rests_until = self.rests_until.max(now + self.after);
            self.runs_on |= gone.rests;
        }
    }

    pub fn keep(&mut self) {
        self.kept += 1;
    }

    pub fn freed(&mut self, now: Micros, rests: bool) {
        self.kept = self.kept.saturating_sub(1);
        if rests {
            self.rests_until = self.rests_until.max(now + self.after);
        }
    }

    /// When it has something to ask, if nothing happens.
    pub fn due(&self) -> Micros {
        if self.asked.is_some() {
            return Micros::MAX;
        }
        if !self.wanting.is_empty() {
            // Those that have it wait for another key: it is due for them when it ends.
            let lacks = self.wanting.iter().any(|(ticket, wanted)| !self.stands(0, *ticket, *wanted));
            return if lacks { self.again } else { self.stands_ms as Micros * 1000 };
        }
        match (self.kept, self.is_unused()) {
            (0, false) => Micros::MAX,
            (0, true) => self.free_again,
            _ => ((self.stands_ms as Micros - KEPT_MS as Micros / 2) * 1000).max(self.again),
        }
    }

    /// It is free, and this front is next: true where it was asked for by that number last, and is wanted still.
    pub fn turn(&mut self, now: Micros, number: u64) -> bool {
        let next = self.blocked && self.number == number && self.asked.is_none();
        if next {
            (self.again, self.tries) = (now, 0);
        }
        next
    }

    /// What is to be asked now, if anything; under that mark.
    pub fn ask(&mut self, now: Micros, mark: (u64, u64)) -> Option<Act> {
        if self.asked.is_some() {
            return None;
        }
        let wanted = self.wanting.iter().find(|(ticket, wanted)| !self.stands(now, **ticket, **wanted));
        if let Some((_, wanted)) = wanted.filter(|_| self.again <= now) {
            let until_ms = wanted.until_ms.max(self.stands_ms).max(ms(self.rests_until));
            if !self.unsure && self.version == 0 {
                self.mark = mark;
            }
            (self.asked, self.number) = (Some(Aim::Hold(until_ms, wanted.group)), mark.1);
            self.may_stand_ms = self.may_stand_ms.max(until_ms);
            return Some(self.act(until_ms, wanted.group, wanted.runs_ms.max(self.runs_ms)));
        }
        if !self.wanting.is_empty() || !self.using.is_empty() {
            return None;
        }
        if self.kept > 0 {
            let renews = self.stands_ms < ms(now) + KEPT_MS / 2 && self.again <= now;
            let until_ms = ms(now) + KEPT_MS;
            return renews.then(|| {
                self.asked = Some(Aim::Hold(until_ms, self.group));
                self.may_stand_ms = self.may_stand_ms.max(until_ms);
                Act::Claim { ends_ms: until_ms, value: Vec::new() }
            });
        }
        if self.may_stand_ms <= ms(now) || self.free_again > now {
            return None;
        }
        if self.kind == Kind::Begun && self.rests_until > now {
            // It stands for so long as it is: nothing is to be said of it.
            self.may_stand_ms = 0;
            return None;
        }
        if self.unsure {
            // Freed blindly, what an earlier statement left there for others would go.
            self.asked = Some(Aim::Look);
            return Some(Act::Read);
        }
        self.stands_ms = 0; // nothing may leave under it any more, also before the ledger has heard
        if self.rests_until > now {
            let until_ms = ms(self.rests_until);
            self.asked = Some(Aim::Rest);
            let runs_ms = if self.runs_on { self.runs_ms } else { ms(now) };
            return Some(self.act(until_ms, self.group, runs_ms));
        }
        self.asked = Some(Aim::Free);
        Some(Act::Free)
    }

    fn act(&self, ends_ms: u64, group: Group, runs_until_ms: u64) -> Act {
        match self.kind {
            Kind::Order => Act::Claim { ends_ms, value: Vec::new() },
            // Not what is there already, though it be this front's: a repeat is one whoever sends it.
            _ => {
                let value = Out { mark: self.mark, group, runs_until_ms }.bytes();
                Act::Put { expects: Some(self.version), ends_ms, value }
            }
        }
    }

    /// The ledger has answered. `first`: its shard has said nothing yet in this front's first seconds.
    pub fn answered(&mut self, now: Micros, outcome: Outcome, first: bool) -> Verdict {
        let Some(aim) = self.asked.take() else { return Verdict::Look };
        match (aim, outcome) {
            (Aim::Hold(_, group), Outcome::Stands(entry)) => {
                (self.stands_ms, self.group, self.version) = (entry.ends_ms, group, entry.version);
                self.unsure = false;
                self.may_stand_ms = self.may_stand_ms.max(entry.ends_ms);
                (self.tries, self.blocked, self.again) = (0, false, 0);
                self.only(Some(group))
            }
            (Aim::Hold(..), Outcome::Held(entry)) => self.held(now, &entry),
            (Aim::Hold(..), Outcome::Absent) => {
                // What was to be taken over has ended meanwhile.
                (self.version, self.again) = (0, now);
                Verdict::Look
            }
            (Aim::Hold(..), why @ (Outcome::Unreachable | Outcome::Full)) => {
                let waits = first && why == Outcome::Unreachable;
                (self.again, self.free_again) = (now, now + FREE_AGAIN);
                // What was to be taken over stands as it did, or as this front's: either is heeded.
                self.may_stand_ms = if self.version == 0 { self.may_stand_ms } else { self.stands_ms };
                self.unsure |= self.kind != Kind::Order && self.version == 0;
                let why = if why == Outcome::Full { "full" } else { "unreachable" };
                if !waits {
                    return Verdict::TurnAway(self.take_wanting(), why);
                }
                self.again = now + FIRST_AGAIN;
                let late = |_: &Ticket, wanted: &mut Wanted| wanted.patient_until < self.again + ASK;
                let late = self.wanting.extract_if(.., late).map(|(ticket, _)| ticket).collect();
                Verdict::TurnAway(late, why)
            }
            (Aim::Look, Outcome::Stands(entry)) if self.is_own(&entry) => {
                self.adopt(&entry);
                Verdict::Look
            }
            (_, Outcome::Unreachable | Outcome::Full) => {
                self.free_again = now + FREE_AGAIN;
                Verdict::Look
            }
            (Aim::Rest | Aim::Free | Aim::Look, _) => {
                (self.stands_ms, self.may_stand_ms, self.version) = (0, 0, 0);
                (self.runs_ms, self.runs_on, self.unsure) = (0, false, false);
                Verdict::Look
            }
        }
    }

    fn is_own(&self, entry: &Entry) -> bool {
        self.unsure && Out::read(&entry.value).is_some_and(|out| out.mark == self.mark)
    }

    /// It stands after all.
    fn adopt(&mut self, entry: &Entry) {
        (self.stands_ms, self.version, self.unsure) = (entry.ends_ms, entry.version, false);
        self.group = Out::read(&entry.value).map_or(self.group, |out| out.group);
    }

    fn held(&mut self, now: Micros, entry: &Entry) -> Verdict {
        if self.is_own(entry) {
            self.adopt(entry);
            return self.only(Some(self.group));
        }
        self.unsure = false;
        if self.using.is_empty() && self.kept == 0 {
            (self.stands_ms, self.may_stand_ms) = (0, 0);
        }
        let ends = entry.ends_ms as Micros * 1000 + 1_000;
        let out = Out::read(&entry.value);
        let over = out.is_some_and(|out| out.runs_until_ms <= ms(now));
        match self.kind {
            Kind::Begun => return Verdict::Begun(self.take_wanting()),
            // Nothing of it is running any more: its group drops the repeat, and no other may have it.
            Kind::Dedup if over => {
                (self.version, self.again) = (entry.version, now);
                self.blocked = false;
                self.group = out.map_or(self.group, |out| out.group);
                // What ran before is to be heeded after this front's, whatever becomes of that.
                self.rests_until = self.rests_until.max(ends);
                return self.only(out.map(|out| out.group));
            }
            _ => {}
        }
        self.tries += 1;
        let wait = AGAIN_MOST.min(AGAIN << self.tries.min(5).saturating_sub(1));
        (self.version, self.blocked) = (0, true);
        self.again = (now + wait).min(ends.max(now + AGAIN));
        Verdict::Look
    }

    /// Of a dedup key only executions in one group may leave.
    fn only(&mut self, group: Option<Group>) -> Verdict {
        let others = |(_, wanted): (&Ticket, &mut Wanted)| Some(wanted.group) != group;
        let dedup = self.kind == Kind::Dedup;
        let away: Vec<Ticket> =
            self.wanting.extract_if(.., |t, w| dedup && others((t, w))).map(|(ticket, _)| ticket).collect();
        if away.is_empty() {
            Verdict::Look
        } else {
            Verdict::TurnAway(away, "group")
        }
    }

    fn take_wanting(&mut self) -> Vec<Ticket> {
        (self.tries, self.blocked) = (0, false);
        std::mem::take(&mut self.wanting).into_keys().collect()
    }
}

fn ms(time: Micros) -> u64 {
    (time.max(0) / 1000) as u64
}
