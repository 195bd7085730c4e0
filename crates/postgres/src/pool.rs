//! Which connection to an engine a unit gets: one that rests, a new one, or none for now. Connections belong to
//! an engine and an account there; an engine takes so many in all, whoever's they are.

use std::collections::{BTreeMap, VecDeque};

/// An engine, as the dispatcher numbers it.
pub type Place = usize;
/// A connection, as its owner numbers it.
pub type Link = u64;
/// An account at the engines, as the owner numbers it.
pub type Account = usize;

#[derive(Clone, Copy, PartialEq)]
enum State {
    /// It comes up, or is logging in.
    Coming,
    Resting {
        since: i64,
    },
    /// A unit is out on it, or a transaction is open.
    Taken,
}

struct Member {
    place: Place,
    account: Account,
    state: State,
    born: i64,
    /// It is not taken again.
    old: bool,
}

/// What is to be done for a unit that was submitted, or for those that wait.
#[derive(Debug, PartialEq, Eq)]
pub enum Step<U> {
    /// The unit goes out on this connection.
    Use { unit: U, link: Link },
    /// A connection for this account is to be made; first the other one closed, where one is named.
    Dial { account: Account, instead_of: Option<Link> },
}

/// What becomes of a connection that is free.
#[derive(Debug, PartialEq, Eq)]
pub enum Freed<U> {
    /// It rests.
    Rests,
    /// Something is to be done for those that wait.
    Step(Step<U>),
    /// It is too old to be taken again.
    Close,
}

/// Bounds on connections; counts and microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub each_engine: usize,
    pub idle: i64,
    pub age: i64,
}

pub struct Pools<U> {
    bounds: Bounds,
    members: BTreeMap<Link, Member>,
    waiting: BTreeMap<Place, VecDeque<(U, Account)>>,
}

impl<U: Copy + PartialEq> Pools<U> {
    pub fn new(bounds: Bounds) -> Self {
        Pools { bounds, members: BTreeMap::new(), waiting: BTreeMap::new() }
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn of(&self, place: Place) -> impl Iterator<Item = (&Link, &Member)> {
        self.members.iter().filter(move |(_, m)| m.place == place)
    }

    /// A unit wants a connection to an engine; `suits` ranks those that rest, the highest first.
    pub fn submit(
        &mut self,
        place: Place,
        account: Account,
        unit: U,
        suits: impl Fn(Link) -> u32,
    ) -> Option<Step<U>> {
        let waits = self.waiting.get(&place).is_some_and(|line| !line.is_empty());
        // The one used last first, so that the others may end as idle.
        let rests = |(link, m): (&Link, &Member)| match m.state {
            State::Resting { since } if m.account == account && !m.old => Some((suits(*link), since, *link)),
            _ => None,
        };
        let best = self.of(place).filter_map(rests).max();
        if let Some((_, _, link)) = best.filter(|_| !waits) {
            self.members.entry(link).and_modify(|m| m.state = State::Taken);
            return Some(Step::Use { unit, link });
        }
        self.waiting.entry(place).or_default().push_back((unit, account));
        self.dial(place)
    }

    /// The account of the first that waits at an engine with no connection on its way for it: each one that
    /// comes up serves the first of its account.
    fn uncovered(&self, place: Place) -> Option<Account> {
        let mut coming: BTreeMap<Account, usize> = BTreeMap::new();
        for (_, m) in self.of(place).filter(|(_, m)| m.state == State::Coming && !m.old) {
            *coming.entry(m.account).or_default() += 1;
        }
        let mut served = |account: &Account| match coming.get_mut(account) {
            Some(left) if *left > 0 => {
                *left -= 1;
                true
            }
            _ => false,
        };
        let mut line = self.waiting.get(&place)?.iter().map(|(_, account)| account);
        line.find(|account| !served(account)).copied()
    }

    /// Whether another connection is to be made for those that wait at an engine.
    fn dial(&self, place: Place) -> Option<Step<U>> {
        let account = self.uncovered(place)?;
        if self.of(place).count() < self.bounds.each_engine {
            return Some(Step::Dial { account, instead_of: None });
        }
        // Guards against one account that holds all connections while it rests.
        let rests = |(link, m): (&Link, &Member)| match m.state {
            State::Resting { since } if m.account != account => Some((since, *link)),
            _ => None,
        };
        let (_, link) = self.of(place).filter_map(rests).min()?;
        Some(Step::Dial { account, instead_of: Some(link) })
    }

    /// A connection is being made.
    pub fn dialled(&mut self, now: i64, place: Place, account: Account, link: Link) {
        let member = Member { place, account, state: State::Coming, born: now, old: false };
        self.members.insert(link, member);
    }

    /// A connection has come up, or its unit and transaction are over.
    pub fn rests(&mut self, now: i64, link: Link) -> Freed<U> {
        let age = self.bounds.age;
        let Some(member) = self.members.get_mut(&link) else { return Freed::Close };
        if member.old || now - member.born >= age {
            return Freed::Close;
        }
        member.state = State::Resting { since: now };
        let (place, account) = (member.place, member.account);
        // In order: another account's unit that is first, and can have no other connection, gets this one's room.
        let first = self.uncovered(place);
        let full = self.of(place).count() >= self.bounds.each_engine;
        if !full || first.is_none_or(|first| first == account) {
            let line = self.waiting.entry(place).or_default();
            let own = line.iter().position(|(_, a)| *a == account).and_then(|at| line.remove(at));
            if let Some((unit, _)) = own {
                self.members.entry(link).and_modify(|m| m.state = State::Taken);
                return Freed::Step(Step::Use { unit, link });
            }
        }
        self.dial(place).map_or(Freed::Rests, Freed::Step)
    }

    /// What else is to be done for those that wait at an engine, after one of its connections has gone.
    pub fn next(&self, place: Place) -> Option<Step<U>> {
        self.dial(place)
    }

    /// A connection is gone. Those that waited for it alone, as no other of their account is there.
    pub fn gone(&mut self, link: Link) -> Vec<U> {
        let Some(member) = self.members.remove(&link) else { return Vec::new() };
        if member.state != State::Coming {
            return Vec::new();
        }
        let Some(line) = self.waiting.get_mut(&member.place) else { return Vec::new() };
        let (place, account) = (member.place, member.account);
        let others = self.members.values().any(|m| m.place == place && m.account == account && !m.old);
        let mut lost = Vec::new();
        // With none left all end, else one: the others are still served.
        line.retain(|(unit, a)| {
            let goes = *a == account && (!others || lost.is_empty());
            if goes {
                lost.push(*unit);
            }
            !goes
        });
        lost
    }

    /// A unit no longer waits. True if it did.
    pub fn withdraw(&mut self, place: Place, unit: U) -> bool {
        let Some(line) = self.waiting.get_mut(&place) else { return false };
        let before = line.len();
        line.retain(|(other, _)| *other != unit);
        line.len() < before
    }

    /// An engine takes nothing new any more: those that waited, and the connections that rest.
    pub fn retire(&mut self, place: Place) -> (Vec<U>, Vec<Link>) {
        let mut resting = Vec::new();
        for (link, member) in self.members.iter_mut().filter(|(_, m)| m.place == place) {
            member.old = true;
            if matches!(member.state, State::Resting { .. }) {
                resting.push(*link);
            }
        }
        let waited = self.waiting.remove(&place).unwrap_or_default();
        (waited.into_iter().map(|(unit, _)| unit).collect(), resting)
    }

    /// A connection is not taken again once it is free.
    pub fn ages(&mut self, link: Link) {
        self.members.entry(link).and_modify(|m| m.old = true);
    }

    /// Connections that have rested for so long that they are to be closed.
    pub fn idle(&self, now: i64) -> Vec<Link> {
        let over = |m: &Member| match m.state {
            State::Resting { since } => {
                m.old || now - since >= self.bounds.idle || now - m.born >= self.bounds.age
            }
            _ => false,
        };
        self.members.iter().filter(|(_, m)| over(m)).map(|(link, _)| *link).collect()
    }

    /// A connection to an engine that rests, if there is one.
    pub fn resting(&self, place: Place) -> Option<Link> {
        self.of(place).find(|(_, m)| matches!(m.state, State::Resting { .. })).map(|(link, _)| *link)
    }

    /// Whether an engine takes another connection, and none is on its way.
    pub fn may_dial(&self, place: Place) -> bool {
        let coming = self.of(place).any(|(_, m)| m.state == State::Coming);
        !coming && self.takes_more(place)
    }

    /// Whether an engine takes another connection.
    pub fn takes_more(&self, place: Place) -> bool {
        self.of(place).count() < self.bounds.each_engine
    }

    /// Connections to an engine that rest or are on their way, beyond those that units wait for.
    pub fn free(&self, place: Place) -> usize {
        let free = self.of(place).filter(|(_, m)| m.state != State::Taken && !m.old).count();
        free.saturating_sub(self.waiting.get(&place).map_or(0, VecDeque::len))
    }

    /// A connection that rests, longest of all, to make room for others.
    pub fn spare(&self) -> Option<Link> {
        let rests = |(link, m): (&Link, &Member)| match m.state {
            State::Resting { since } => Some((since, *link)),
            _ => None,
        };
        self.members.iter().filter_map(rests).min().map(|(_, link)| link)
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
