//! Fronts that want one lease and their voters over a simulated network: everything is drawn from a seed,
//! true time is a number, and each front's clock runs a little fast or slow. Shared by the tests of this
//! crate.

use std::collections::BTreeMap;

use hallmux_lease::holder::Holder;
use hallmux_lease::voter::{Out, Voter};
use hallmux_lease::{fingerprint, Answer, FrontId, Letter, Micros, Task, Terms, Token, Word};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const SECOND: Micros = 1_000_000;
pub const TERMS: Terms = Terms { length: 2 * SECOND, drift_ppm: 50_000 };
const STEP: Micros = 5_000; // microseconds of true time between looks

pub struct Front {
    pub voter: Option<Voter>,
    pub holder: Holder,
    /// What it has saved, and whether it runs.
    saved: Option<Vec<u8>>,
    pub up: bool,
    pub stopped: bool,
    /// Its clock: so much at true time 0, and so fast.
    offset: Micros,
    rate: f64,
    progress: u8,
}

pub struct Fleet {
    pub fronts: Vec<Front>,
    voters: Vec<FrontId>,
    pub now: Micros,
    pub chance: Pcg64Mcg,
    /// When each letter arrives: to whom, from whom.
    mail: BTreeMap<(Micros, u64), (usize, usize, Letter)>,
    posted: u64,
    pub lost: f64,
    pub doubled: f64,
    /// The longest that a letter may be under way: what is longer than the time between letters reorders
    /// them.
    pub way: Micros,
    /// Fronts of different sides hear nothing of each other.
    pub side: Vec<u8>,
    /// Acts as they happened: true time, who, under which token.
    pub acts: Vec<(Micros, usize, Token)>,
    /// The most fronts that could act at once, and for how many steps nobody could.
    pub most_at_once: usize,
    pub without: usize,
    pub letters: BTreeMap<&'static str, u64>,
    pub inherited: Vec<(Token, Vec<u8>)>,
    next_number: u64,
}

fn id(n: usize) -> FrontId {
    100 + n as FrontId
}

impl Fleet {
    /// So many fronts, of which the first ones vote.
    pub fn new(fronts: usize, voters: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            fronts: Vec::new(),
            voters: (0..voters).map(id).collect(),
            now: 0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            mail: BTreeMap::new(),
            posted: 0,
            lost: 0.0,
            doubled: 0.0,
            way: 20_000,
            side: vec![0; fronts],
            acts: Vec::new(),
            most_at_once: 0,
            without: 0,
            letters: BTreeMap::new(),
            inherited: Vec::new(),
            next_number: 0,
        };
        for n in 0..fronts {
            let rate = 1.0 + f64::from(TERMS.drift_ppm) / 1e6 * fleet.chance.random_range(-1.0..=1.0);
            let offset = fleet.chance.random_range(0..1_000 * SECOND);
            let holder = Holder::new(Task::Zones, TERMS, fleet.voters.clone(), 0);
            let front = Front {
                voter: None,
                holder,
                saved: None,
                up: false,
                stopped: false,
                offset,
                rate,
                progress: 0,
            };
            fleet.fronts.push(front);
            fleet.start(n);
        }
        fleet
    }

    pub fn clock(&self, n: usize) -> Micros {
        let front = &self.fronts[n];
        front.offset + (self.now as f64 * front.rate) as Micros
    }

    /// Starts a front, anew where it ran before, with what it had saved.
    pub fn start(&mut self, n: usize) {
        let (now, voters) = (self.clock(n), self.voters.clone());
        let fleet = fingerprint("tests", &voters);
        self.next_number += 1_000_000;
        let front = &mut self.fronts[n];
        front.holder = Holder::new(Task::Zones, TERMS, voters.clone(), self.next_number);
        (front.up, front.stopped) = (true, false);
        front.voter = voters.contains(&id(n)).then(|| {
            Voter::new(now, fleet, id(n), &voters, TERMS, front.saved.as_deref())
                .expect("what was saved is whole")
        });
    }

    pub fn kill(&mut self, n: usize) {
        (self.fronts[n].up, self.fronts[n].voter) = (false, None);
    }

    fn post(&mut self, from: usize, to: FrontId, letter: Letter) {
        let to = (to - 100) as usize;
        let kind = match letter.word {
            Word::Log { .. } | Word::Unnumbered(_) => "log",
            Word::Ask(_) => "ask",
            Word::Answer(_) => "answer",
        };
        *self.letters.entry(kind).or_default() += 1;
        let copies = 1 + usize::from(self.chance.random_bool(self.doubled));
        for _ in 0..copies {
            let way = self.chance.random_range(500..self.way);
            if self.side[from] == self.side[to] && !self.chance.random_bool(self.lost) {
                self.posted += 1;
                self.mail.insert((self.now + way, self.posted), (to, from, letter.clone()));
            }
        }
    }

    fn does(&mut self, n: usize, out: Out) {
        // Saved before anything leaves: the tests' disk is instant.
        if let Some(save) = out.save {
            self.fronts[n].saved = Some(save);
        }
        for (to, letter) in out.letters {
            // What a voter answers itself stays on its machine.
            match (letter.word, to == id(n)) {
                (Word::Answer(answer), true) => self.fronts[n].holder.answered(&answer),
                (word, _) => self.post(n, to, Letter { word, ..letter }),
            }
        }
    }

    fn arrives(&mut self, to: usize, from: usize, letter: Letter) {
        let now = self.clock(to);
        let front = &mut self.fronts[to];
        if let Word::Answer(answer) = &letter.word {
            front.holder.answered(answer);
        }
        let out = front.voter.as_mut().map(|voter| voter.heard(now, id(from), letter));
        self.does(to, out.unwrap_or_default());
    }

    /// Plays until a true time; those named want the lease.
    pub fn run(&mut self, until: Micros, wants: &[usize]) {
        while self.now < until {
            self.now += STEP;
            while let Some(((at, number), (to, from, letter))) = self.mail.pop_first() {
                if at > self.now {
                    self.mail.insert((at, number), (to, from, letter));
                    break;
                }
                let front = &self.fronts[to];
                if front.up && front.stopped {
                    // It waits in the socket until the front goes on.
                    self.posted += 1;
                    self.mail.insert((self.now + STEP, self.posted), (to, from, letter));
                    if self.mail.keys().all(|(at, _)| *at > self.now) {
                        break;
                    }
                } else if front.up {
                    self.arrives(to, from, letter);
                }
            }
            for n in 0..self.fronts.len() {
                if self.fronts[n].up && !self.fronts[n].stopped {
                    self.turn(n, wants.contains(&n));
                }
            }
            let able: Vec<usize> = (0..self.fronts.len())
                .filter(|n| self.fronts[*n].up && self.fronts[*n].holder.token(self.clock(*n)).is_some())
                .collect();
            self.most_at_once = self.most_at_once.max(able.len());
            self.without += usize::from(able.is_empty());
        }
    }

    fn turn(&mut self, n: usize, wants: bool) {
        let now = self.clock(n);
        let out = self.fronts[n].voter.as_mut().filter(|v| v.due() <= now).map(|v| v.tick(now));
        self.does(n, out.unwrap_or_default());
        let front = &mut self.fronts[n];
        if let Some(progress) = front.holder.inherited() {
            let token = front.holder.token(now).unwrap_or_default();
            front.progress = progress.first().copied().unwrap_or(0);
            self.inherited.push((token, progress));
        }
        let front = &mut self.fronts[n];
        if let Some(token) = front.holder.token(now) {
            self.acts.push((self.now, n, token));
            front.progress = front.progress.saturating_add(u8::from(self.now % (SECOND / 4) == 0));
        }
        let progress = [front.progress];
        let Some((voter, ask)) = front.holder.ask(now, wants, &progress) else { return };
        let letter = Letter { fleet: fingerprint("tests", &self.voters), word: Word::Ask(ask) };
        if voter == id(n) {
            let out = self.fronts[n].voter.as_mut().map(|voter| voter.heard(now, id(n), letter));
            self.does(n, out.unwrap_or_default());
        } else {
            self.post(n, voter, letter);
        }
    }

    /// Who owned the lease, in the order of their acts.
    pub fn owners(&self) -> Vec<(usize, Token)> {
        let mut owners: Vec<(usize, Token)> = self.acts.iter().map(|(_, n, token)| (*n, *token)).collect();
        owners.dedup();
        owners
    }

    pub fn leaders(&self) -> usize {
        self.fronts.iter().filter(|f| f.up && f.voter.as_ref().is_some_and(Voter::leads)).count()
    }
}

/// An answer as some voter might make it up.
#[allow(dead_code)] // one of the tests uses it
pub fn forged(number: u64) -> Answer {
    Answer::Yours { number, token: 1_000_000, progress: Vec::new() }
}
