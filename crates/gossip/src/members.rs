//! Which fronts there are, after SWIM (Das, Gupta, Motivala) with Lifeguard's refinements (Dadgar, Phillips,
//! Currey): probes in turn, probes through others, suspicion that others' word shortens, and a front that
//! doubts itself before it doubts the rest. A bounded view of the fleet, drawn by chance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::message::{Health, Probe, Rumour};
use crate::{Chance, Micros, PeerId};

const PERIOD: Micros = 500_000; // microseconds between probes, while this front has no cause to doubt itself
const ACK: Micros = 150_000; // microseconds until others are asked to probe: some round trips on a campus
const THROUGH: usize = 3; // others that are asked; SWIM's usual number
const LEAST_SUSPICION: Micros = 2_000_000; // microseconds: four periods, for a refutation to come through
const MOST_SUSPICION: f64 = 6.0; // times that, while nobody else suspects
const CONFIRMATIONS: usize = 3; // others whose suspicion brings it down to the least
const MOST_DOUBT: u32 = 8; // times a front in doubt of itself stretches its waits; Lifeguard's value
/// Microseconds that the dead are remembered, so that old rumours don't wake them.
const GONE: Micros = 30_000_000;
const MOST_MEMBERS: usize = 128; // of the view; twenty or so would do for rumours, more makes probes rarer
const SWAPS: usize = 8; // one in so many new members displaces one of a full view, so that views stay mixed
const SENT_EACH: f64 = 4.0; // times the logarithm of the view that a rumour is passed on
const MOST_RUMOURS: usize = 256; // kept to be passed on
const LARGEST_LEAP: u64 = 1 << 40; // of an incarnation, in milliseconds some thirty years: more is a lie

struct Member {
    at: SocketAddr,
    incarnation: u64,
    health: Health,
    since: Micros,
    /// Others that suspect it too.
    confirmed: BTreeSet<PeerId>,
}

struct Probing {
    member: PeerId,
    at: SocketAddr,
    number: u32,
    acked: bool,
    /// Asked others by then, and how many have yet to say that they heard nothing either.
    asks_at: Option<Micros>,
    nacks: usize,
}

/// A probe in another's place.
struct Relay {
    asker: SocketAddr,
    number: u32,
    nack_at: Option<Micros>,
    ends: Micros,
}

/// Something to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Send {
    pub to: SocketAddr,
    pub probe: Probe,
}

pub struct Members {
    own: PeerId,
    at: SocketAddr,
    incarnation: u64,
    left: bool,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<PeerId, Member>,
    /// Members in the order in which they are probed next.
    line: Vec<PeerId>,
    doubt: u32,
    probing: Option<Probing>,
    period_ends: Micros,
    next_number: u32,
    relays: BTreeMap<u32, Relay>,
    /// To be passed on, and how often each was.
    rumours: Vec<(Rumour, u32)>,
    /// The member told of last where there was no rumour left to tell.
    told: PeerId,
}

impl Members {
    /// `incarnation` is larger with each life where the wall clock is: milliseconds at start.
    pub fn new(own: PeerId, at: SocketAddr, incarnation: u64, seeds: Vec<SocketAddr>) -> Members {
        Members {
            own,
            at,
            incarnation,
            left: false,
            seeds,
            members: BTreeMap::new(),
            line: Vec::new(),
            doubt: 0,
            probing: None,
            period_ends: 0,
            next_number: 0,
            relays: BTreeMap::new(),
            rumours: Vec::new(),
            told: 0,
        }
    }

    /// What this front says of itself, with every datagram.
    pub fn own(&self) -> Rumour {
        let health = if self.left { Health::Left } else { Health::Alive };
        Rumour { member: self.own, at: self.at, incarnation: self.incarnation, health }
    }

    /// Members that are alive or only suspected.
    pub fn up(&self) -> impl Iterator<Item = (PeerId, SocketAddr)> + '_ {
        let up = |m: &Member| matches!(m.health, Health::Alive | Health::Suspect);
        self.members.iter().filter(move |(_, m)| up(m)).map(|(id, m)| (*id, m.at))
    }

    pub fn health(&self, id: PeerId) -> Option<Health> {
        self.members.get(&id).map(|m| m.health)
    }

    /// How many members have not said good-bye, and of them how many are up.
    pub fn counts(&self) -> (usize, usize) {
        (self.members.values().filter(|m| m.health != Health::Left).count(), self.up().count())
    }

    /// The view is as large as it grows: there may be more members than it holds.
    pub fn is_full(&self) -> bool {
        self.members.len() >= MOST_MEMBERS
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// This front goes: others need not find out.
    pub fn leave(&mut self) {
        self.left = true;
    }

    /// When `tick` is next due.
    pub fn due(&self) -> Micros {
        let asks = self.probing.as_ref().and_then(|p| p.asks_at).unwrap_or(Micros::MAX);
        let relays = self.relays.values().map(|r| r.nack_at.unwrap_or(r.ends)).min().unwrap_or(Micros::MAX);
        self.period_ends.min(asks).min(relays)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, chance: &mut impl Chance, out: &mut Vec<Send>) {
        let stretch = Micros::from(self.doubt + 1);
        if let Some(probing) = self.probing.as_mut().filter(|p| p.asks_at.is_some_and(|at| at <= now)) {
            probing.asks_at = None;
            if !probing.acked {
                let (member, at, number) = (probing.member, probing.at, probing.number);
                let mut others: Vec<SocketAddr> = self
                    .members
                    .iter()
                    .filter(|(id, m)| **id != member && m.health == Health::Alive)
                    .map(|(_, m)| m.at)
                    .collect();
                for _ in 0..THROUGH.min(others.len()) {
                    let to = others.swap_remove(chance.below(others.len()));
                    out.push(Send { to, probe: Probe::PingFor { number, member, at } });
                    probing.nacks += 1;
                }
            }
        }
        if self.period_ends <= now {
            self.period_ends = now + PERIOD * stretch;
            self.judge(now);
            self.expire(now);
            self.probe(now, chance, out);
        }
        let mut nacks = Vec::new();
        for relay in self.relays.values_mut().filter(|r| r.nack_at.is_some_and(|at| at <= now)) {
            relay.nack_at = None;
            nacks.push(Send { to: relay.asker, probe: Probe::Nack { number: relay.number } });
        }
        self.relays.retain(|_, r| r.ends > now);
        out.extend(nacks);
    }

    /// The period of a probe is over: what it came to.
    fn judge(&mut self, now: Micros) {
        let Some(probing) = self.probing.take() else { return };
        if probing.acked {
            self.doubt = self.doubt.saturating_sub(1);
            return;
        }
        // Those that were asked and did not even say that they heard nothing: the fault may be here.
        self.doubt = (self.doubt + if probing.nacks > 0 { probing.nacks as u32 } else { 1 }).min(MOST_DOUBT);
        if let Some(member) = self.members.get(&probing.member).filter(|m| m.health == Health::Alive) {
            let (at, incarnation) = (member.at, member.incarnation);
            let rumour = Rumour { member: probing.member, at, incarnation, health: Health::Suspect };
            self.hear(now, self.own, rumour);
        }
    }

    /// How long a member is suspected before it is given up: the shorter, the more others suspect it.
    fn suspicion(&self, confirmed: usize) -> Micros {
        let size = ((self.members.len() + 1) as f64).log10().max(1.0);
        let least = LEAST_SUSPICION as f64 * size;
        let share = ((confirmed + 1) as f64).ln() / ((CONFIRMATIONS + 1) as f64).ln();
        (least * (MOST_SUSPICION - (MOST_SUSPICION - 1.0) * share.min(1.0))) as Micros
    }

    fn expire(&mut self, now: Micros) {
        let over =
            |m: &Member| m.health == Health::Suspect && now - m.since >= self.suspicion(m.confirmed.len());
        let over: Vec<Rumour> = (self.members.iter())
            .filter(|(_, m)| over(m))
            .map(|(id, m)| Rumour { member: *id, at: m.at, incarnation: m.incarnation, health: Health::Dead })
            .collect();
        over.into_iter().for_each(|rumour| self.hear(now, self.own, rumour));
        let gone = |m: &Member| matches!(m.health, Health::Dead | Health::Left) && now - m.since >= GONE;
        self.members.retain(|_, m| !gone(m));
    }

    fn probe(&mut self, now: Micros, chance: &mut impl Chance, out: &mut Vec<Send>) {
        if self.left {
            return;
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        // Each in turn, in an order that is drawn anew when all had theirs.
        while self.members.values().any(|m| matches!(m.health, Health::Alive | Health::Suspect)) {
            let Some(id) = self.line.pop() else {
                self.line = self.up().map(|(id, _)| id).collect();
                for n in (1..self.line.len()).rev() {
                    self.line.swap(n, chance.below(n + 1));
                }
                continue;
            };
            let Some(member) = self.members.get(&id) else { continue };
            if !matches!(member.health, Health::Alive | Health::Suspect) {
                continue;
            }
            let asks_at = Some(now + ACK * Micros::from(self.doubt + 1));
            let at = member.at;
            self.probing = Some(Probing { member: id, at, number, acked: false, asks_at, nacks: 0 });
            out.push(Send { to: at, probe: Probe::Ping { number } });
            break;
        }
        // Alone, all seeds; else one now and then, so that two parts of a fleet that lost each other meet
        // again.
        if self.members.is_empty() {
            let others = self.seeds.iter().filter(|to| **to != self.at).collect::<BTreeSet<_>>();
            out.extend(others.into_iter().map(|to| Send { to: *to, probe: Probe::Ping { number } }));
        } else if !self.seeds.is_empty() && (self.probing.is_none() || number.is_multiple_of(8)) {
            let to = self.seeds[chance.below(self.seeds.len())];
            if to != self.at {
                out.push(Send { to, probe: Probe::Ping { number } });
            }
        }
    }

    /// A probe, or an answer to one, has come from a peer.
    pub fn heard(&mut self, now: Micros, from: PeerId, at: SocketAddr, probe: Probe, out: &mut Vec<Send>) {
        match probe {
            Probe::None => {}
            Probe::Ping { number } => out.push(Send { to: at, probe: Probe::Ack { number } }),
            Probe::PingFor { number, member, at: target } => {
                // Guards against being used to flood others: only members are probed, and few at a time.
                if self.members.get(&member).is_none_or(|m| m.at != target) || self.relays.len() >= 64 {
                    return;
                }
                self.next_number = self.next_number.wrapping_add(1);
                let own = self.next_number;
                let relay = Relay { asker: at, number, nack_at: Some(now + ACK), ends: now + 2 * PERIOD };
                self.relays.insert(own, relay);
                out.push(Send { to: target, probe: Probe::Ping { number: own } });
            }
            Probe::Ack { number } => {
                if let Some(relay) = self.relays.remove(&number) {
                    out.push(Send { to: relay.asker, probe: Probe::Ack { number: relay.number } });
                } else if let Some(p) = self.probing.as_mut().filter(|p| p.number == number) {
                    p.acked = true;
                }
            }
            Probe::Nack { number } => {
                if let Some(p) = self.probing.as_mut().filter(|p| p.number == number && p.member != from) {
                    p.nacks = p.nacks.saturating_sub(1);
                }
            }
        }
    }

    /// Something is said of a member, by a peer or by this front itself.
    pub fn hear(&mut self, now: Micros, by: PeerId, rumour: Rumour) {
        let Rumour { member: id, at, incarnation, health } = rumour;
        if id == self.own {
            // Whatever else is said of this front, it says itself, with an incarnation above all others.
            let wrong = health != Health::Alive || at != self.at;
            let leap = incarnation.saturating_sub(self.incarnation);
            if !self.left
                && leap < LARGEST_LEAP
                && (incarnation > self.incarnation || incarnation == self.incarnation && wrong)
            {
                self.incarnation = incarnation + 1;
                let own = self.own();
                self.tell(own);
                if health == Health::Suspect {
                    self.doubt = (self.doubt + 1).min(MOST_DOUBT);
                }
            }
            return;
        }
        let confirmed = BTreeSet::new();
        match self.members.get_mut(&id) {
            None if health == Health::Alive => {
                if self.members.len() >= MOST_MEMBERS && !self.displaces(id) {
                    return;
                }
                self.members.insert(id, Member { at, incarnation, health, since: now, confirmed });
                let place = (id % (self.line.len() as u64 + 1)) as usize;
                self.line.insert(place, id);
            }
            None => return,
            Some(m) => {
                if incarnation.saturating_sub(m.incarnation) >= LARGEST_LEAP {
                    return;
                }
                // A life after a death known here begins with what is said of it by the dead's own successor.
                let news = incarnation > m.incarnation || incarnation == m.incarnation && health > m.health;
                if !news {
                    if incarnation == m.incarnation
                        && health == Health::Suspect
                        && m.health == health
                        && by != self.own
                    {
                        m.confirmed.insert(by);
                        if m.confirmed.len() <= CONFIRMATIONS {
                            self.tell(rumour);
                        }
                    }
                    return;
                }
                if health == Health::Alive {
                    m.at = at;
                }
                (m.incarnation, m.health, m.since, m.confirmed) = (incarnation, health, now, confirmed);
            }
        }
        self.tell(rumour);
    }

    /// Whether a newcomer takes the place of one of a full view; drawn by its own id, so that views differ.
    fn displaces(&mut self, id: PeerId) -> bool {
        let mixed = (id ^ self.own).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        if !(mixed as usize).is_multiple_of(SWAPS) {
            return false;
        }
        let oldest =
            self.members.iter().max_by_key(|(other, _)| (**other ^ id).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let Some(oldest) = oldest.map(|(id, _)| *id) else { return false };
        self.members.remove(&oldest);
        self.line.retain(|other| *other != oldest);
        self.rumours.retain(|(r, _)| r.member != oldest);
        true
    }

    fn tell(&mut self, rumour: Rumour) {
        self.rumours.retain(|(r, _)| r.member != rumour.member);
        if self.rumours.len() >= MOST_RUMOURS {
            if let Some(most) = (0..self.rumours.len()).max_by_key(|n| self.rumours[*n].1) {
                self.rumours.swap_remove(most);
            }
        }
        self.rumours.push((rumour, 0));
    }

    /// Rumours for a datagram, those passed on least first; what its receiver is said to be before all, so
    /// that it can object.
    pub fn pass_on(&mut self, to: SocketAddr, most: usize) -> Vec<Rumour> {
        let limit = (SENT_EACH * ((self.members.len() + 2) as f64).log2()).ceil() as u32;
        self.rumours.retain(|(_, sent)| *sent < limit);
        self.rumours.sort_by_key(|(_, sent)| *sent);
        let mut picked: Vec<Rumour> = (self.members.iter())
            .filter(|(_, m)| m.at == to && m.health != Health::Alive)
            .map(|(id, m)| Rumour { member: *id, at: m.at, incarnation: m.incarnation, health: m.health })
            .collect();
        for (rumour, sent) in self.rumours.iter_mut() {
            if picked.len() >= most {
                break;
            }
            if !picked.iter().any(|r| r.member == rumour.member) {
                *sent += 1;
                picked.push(*rumour);
            }
        }
        // What room is left goes to members in turn: so what rumours missed is made good.
        for _ in picked.len()..most.min(self.members.len()) {
            let after = self.members.range(self.told.wrapping_add(1)..).next();
            let Some((id, m)) = after.or_else(|| self.members.iter().next()) else { break };
            self.told = *id;
            if !picked.iter().any(|r| r.member == *id) {
                picked.push(Rumour { member: *id, at: m.at, incarnation: m.incarnation, health: m.health });
            }
        }
        picked
    }
}
