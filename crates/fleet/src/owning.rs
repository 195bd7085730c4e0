//! One owner at a time for the fleet's work, as one front takes part in it: its claim, its vote where it is a voter,
//! and what it lets pass of owners' acts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux_dispatcher::{Dispatcher, Micros};
use hallmux_gossip::message::{Act, Back, Work};
use hallmux_gossip::node::Node;
use hallmux_gossip::post::Channel;
use hallmux_gossip::{Chance, PeerId};
use hallmux_lease::disk::Spoilt;
use hallmux_lease::fence::{self, Fence, Refused};
use hallmux_lease::holder::Holder;
use hallmux_lease::voter::{self, Voter};
use hallmux_lease::{fingerprint, Letter, Task, Terms, Token, Word};

use crate::{named, Moment, Out};

const TASK: Task = Task::Zones;
const MOST_BACK: usize = 12; // engines that an act names: they fit a report
const ASKS: f64 = 4.0; // questions a second for a lease that nobody has, of all fronts together
const LOOK: Micros = 250_000; // microseconds between looks at whether there is an owner
const OWNER_SEEN: Micros = 2_000_000; // microseconds for which an owner's act shows that there is one

/// What the operator says of it.
#[derive(Clone, Debug)]
pub struct Ownership {
    pub fleet: String,
    /// The voters, and where each is heard.
    pub voters: Vec<(PeerId, SocketAddr)>,
    pub terms: Terms,
    /// What a voter's earlier life has saved; None only where there was none.
    pub saved: Option<Vec<u8>>,
}

/// A lease that this front has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owns {
    pub token: Token,
}

/// What a voter must not forget, and the datagrams that wait for it to be lasting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Saved {
    pub bytes: Option<Vec<u8>>,
    pub datagrams: Vec<hallmux_gossip::node::Datagram>,
}

pub(crate) struct Owning {
    own: PeerId,
    fleet: u64,
    voters: BTreeMap<PeerId, SocketAddr>,
    holder: Holder,
    voter: Option<Voter>,
    fence: Fence,
    /// Where those are heard that have written.
    met: BTreeMap<PeerId, SocketAddr>,
    /// What the voter has to save and send, and what else is to be sent.
    voted: Vec<voter::Out>,
    asks: Vec<(PeerId, Letter)>,
    look: Micros,
    wants: bool,
    owner_seen: Micros,
    /// Engines told to the dispatcher as answering again, by the token of whoever said so.
    told: BTreeMap<u64, Token>,
    pub refused: BTreeMap<&'static str, u64>,
}

impl Owning {
    pub fn new(at: Moment, own: PeerId, ownership: Ownership) -> Result<Owning, Spoilt> {
        let Ownership { fleet, voters, terms, saved } = ownership;
        let ids: Vec<PeerId> = voters.iter().map(|(id, _)| *id).collect();
        let fleet = fingerprint(&fleet, &ids);
        let voter = match ids.contains(&own) {
            true => Some(Voter::new(at.steady, fleet, own, &ids, terms, saved.as_deref())?),
            false => None,
        };
        Ok(Owning {
            own,
            fleet,
            voters: voters.into_iter().collect(),
            // The wall clock names this life: answers to an earlier one are not for it.
            holder: Holder::new(TASK, terms, ids, at.wall_ms << 16),
            voter,
            fence: Fence::default(),
            met: BTreeMap::new(),
            voted: Vec::new(),
            asks: Vec::new(),
            look: 0,
            wants: false,
            owner_seen: Micros::MIN / 2,
            told: BTreeMap::new(),
            refused: BTreeMap::new(),
        })
    }

    /// The lease that this front has now, unless a later owner was seen.
    pub fn owns(&self, steady: Micros) -> Option<Owns> {
        let token = self.holder.token(steady)?;
        let later = self.fence.highest(TASK).is_some_and(|(highest, _)| highest > token);
        (!later).then_some(Owns { token })
    }

    /// When `tick` is next due: a voter's clock is a tick of 50 ms.
    pub fn due(&self) -> Micros {
        self.look
    }

    pub fn heard(&mut self, at: Moment, from: PeerId, heard_at: SocketAddr, bytes: &[u8]) {
        let Some(letter) = hallmux_lease::read(bytes) else { return self.refuse("form") };
        if letter.fleet != self.fleet {
            return self.refuse("fleet");
        }
        self.met.insert(from, heard_at);
        match (letter.word, &mut self.voter) {
            (Word::Answer(answer), _) if self.voters.contains_key(&from) => self.holder.answered(&answer),
            (Word::Answer(_), _) => self.refuse("no voter"),
            (word, Some(voter)) => {
                let out = voter.heard(at.steady, from, Letter { fleet: self.fleet, word });
                self.voted.push(out);
            }
            (_, None) => self.refuse("no voter here"),
        }
    }

    pub fn tick(&mut self, at: Moment, up: usize, dispatcher: &mut Dispatcher, chance: &mut impl Chance) {
        self.look = at.now + if self.voter.is_some() { LOOK / 5 } else { LOOK };
        if let Some(voter) = &mut self.voter {
            let out = voter.tick(at.steady);
            self.voted.push(out);
        }
        // Whoever asks first may have it, as long as nobody is seen to own it: of all fronts a few a second ask.
        let draw = chance.below(1_000_000) as f64 / 1e6;
        let share = ASKS * (self.look - at.now) as f64 / 1e6 / up.max(1) as f64;
        self.wants = at.steady - self.owner_seen > OWNER_SEEN && (self.wants || draw < share);
        let progress = self.progress(at, dispatcher);
        if let Some((voter, ask)) = self.holder.ask(at.steady, self.wants, &progress) {
            self.asks.push((voter, Letter { fleet: self.fleet, word: Word::Ask(ask) }));
        }
        if let Some(progress) = self.holder.inherited() {
            let back: Vec<Back> = postcard::from_bytes(&progress).unwrap_or_default();
            let token = self.holder.token(at.steady).unwrap_or_default();
            self.answer_again(at, token, &back, 0, dispatcher);
        }
    }

    /// Engines that answer again, and for how long.
    fn back(&self, at: Moment, dispatcher: &Dispatcher) -> Vec<Back> {
        let since_ms = |since: Micros| ((at.now - since).max(0) / 1000).min(Micros::from(u32::MAX)) as u32;
        let back = dispatcher.recovered(at.now).into_iter();
        back.map(|(id, since)| Back { engine: named(id), since_ms: since_ms(since) })
            .take(MOST_BACK)
            .collect()
    }

    fn progress(&self, at: Moment, dispatcher: &Dispatcher) -> Vec<u8> {
        postcard::to_stdvec(&self.back(at, dispatcher)).unwrap_or_default()
    }

    /// What this front says of the fleet's work.
    pub fn says(&self, at: Moment, dispatcher: &Dispatcher) -> Work {
        let lease = self.voter.as_ref().and_then(|voter| voter.leases().of(TASK));
        let act = self.owns(at.steady).map(|owns| Act { token: owns.token, back: self.back(at, dispatcher) });
        Work { lease: lease.map(|lease| (lease.token, lease.owner)), act }
    }

    /// Takes in what others say of it: which owner the voters name, and what that owner has done.
    pub fn admits(&mut self, at: Moment, node: &Node, dispatcher: &mut Dispatcher) {
        let voters = node.work(at.now).filter(|(maker, ..)| self.voters.contains_key(maker));
        let said: BTreeMap<PeerId, (Token, PeerId)> =
            voters.filter_map(|(maker, work, _)| Some((maker, work.lease?))).collect();
        if let Some((token, owner)) = fence::majority(&said, self.voters.len()) {
            self.fence.saw(TASK, token, owner);
        }
        let acts: Vec<(PeerId, Act, Micros)> = node
            .work(at.now)
            .filter_map(|(maker, work, age)| Some((maker, work.act.clone()?, age)))
            .collect();
        for (maker, act, age) in acts {
            match self.fence.admit(TASK, act.token, maker) {
                Ok(()) => {
                    self.owner_seen = self.owner_seen.max(at.steady - age);
                    if maker != self.own {
                        self.answer_again(at, act.token, &act.back, age, dispatcher);
                    }
                }
                Err(Refused::Stale) => self.refuse("stale"),
                Err(Refused::Unknown) => self.refuse("unknown"),
            }
        }
    }

    /// An owner says that engines answer again: the dispatcher is told of each once.
    fn answer_again(
        &mut self,
        at: Moment,
        token: Token,
        back: &[Back],
        age: Micros,
        dispatcher: &mut Dispatcher,
    ) {
        let here: Vec<u64> = dispatcher.recovered(at.now).into_iter().map(|(id, _)| named(id)).collect();
        for Back { engine, since_ms } in back.iter().take(MOST_BACK) {
            if !here.contains(engine) && self.told.insert(*engine, token) != Some(token) {
                let since = at.now - age - Micros::from(*since_ms) * 1000;
                dispatcher.set_recovered_since(|id| named(id) == *engine, since);
            }
        }
        self.told.retain(|engine, _| here.contains(engine) || back.iter().any(|b| b.engine == *engine));
    }

    /// Puts what there is to send into datagrams: a voter's behind what it has to save.
    pub fn send(&mut self, at: Moment, node: &mut Node, out: &mut Out) {
        let post = |node: &mut Node, to, letter: &Letter| {
            node.post(at.now, at.wall_ms, to, Channel::Lease, &hallmux_lease::bytes(letter))
        };
        let mut asks = std::mem::take(&mut self.asks);
        // What this front asks itself as a voter stays here.
        let own: Vec<Letter> =
            asks.extract_if(.., |(to, _)| *to == self.own).map(|(_, letter)| letter).collect();
        for letter in own {
            let voted = self.voter.as_mut().map(|voter| voter.heard(at.steady, self.own, letter));
            self.voted.extend(voted);
        }
        for (to, letter) in asks {
            let to = self.voters.get(&to).copied();
            out.datagrams.extend(to.and_then(|to| post(node, to, &letter)));
        }
        for voted in std::mem::take(&mut self.voted) {
            let mut datagrams = Vec::new();
            for (to, letter) in voted.letters {
                match letter.word {
                    Word::Answer(answer) if to == self.own => self.holder.answered(&answer),
                    _ => {
                        let to = self.voters.get(&to).or(self.met.get(&to)).copied();
                        datagrams.extend(to.and_then(|to| post(node, to, &letter)));
                    }
                }
            }
            if voted.save.is_some() || !datagrams.is_empty() {
                out.saved.push(Saved { bytes: voted.save, datagrams });
            }
        }
    }

    fn refuse(&mut self, why: &'static str) {
        *self.refused.entry(why).or_default() += 1;
    }
}
