//! Fronts with their ledgers over a simulated network and simulated disks: everything is drawn from a seed. Shared by
//! the tests of this crate.
#![allow(dead_code)]

pub mod check;
mod queries;
use std::collections::{BTreeMap, VecDeque};

use check::{Op, Record};
use hallmux_ledger::{
    ClockReading, FrontId, Key, Kind, Ledger, LedgerRequest, Member, Micros, Operation,
    OutgoingPacket, Output, Save, Saved, Setup,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const SECOND: Micros = 1_000_000;
pub const STEP: Micros = 5_000; // microseconds between looks
const WALL: u64 = 1_800_000_000_000;

pub struct Front {
    pub ledger: Option<Ledger>,
    /// What is lasting, under which identity.
    pub disk: BTreeMap<Vec<u8>, Vec<u8>>,
    pub disk_id: u64,
    saves: VecDeque<(Micros, Save)>,
    pub stopped: bool,
    /// Milliseconds that its Unix clock is ahead.
    pub ahead: i64,
    pub incarnation: u64,
    next: u64,
    /// Saves take up to so long; one of so many fails.
    pub slow: Micros,
    pub fails: bool,
    /// The format of packets of its build.
    pub format: u8,
}

pub struct Fleet {
    pub fronts: Vec<Front>,
    pub setup: Setup,
    pub now: Micros,
    pub chance: Pcg64Mcg,
    mail: BTreeMap<(Micros, u64), (usize, usize, Vec<u8>)>,
    posted: u64,
    pub lost: f64,
    pub doubled: f64,
    pub late: f64,
    /// Letters from the first to the second do not come.
    pub cut: Vec<(usize, usize)>,
    pub record: Record,
    pub bytes: u64,
    next_disk: u64,
    /// Takes a safety rule out: packets and answers leave before what they rest on is lasting.
    pub answers_before_saves: bool,
    /// Takes a safety rule out: an emptied disk keeps its identity.
    pub same_disk: bool,
}

pub fn id(n: usize) -> FrontId {
    100 + n as FrontId
}

impl Fleet {
    pub fn new(fronts: usize, replication_factor: usize, shards: u16, seed: u64) -> Fleet {
        let mut setup = Setup::new("tests", 0, 0, 0, Fleet::members(fronts));
        (setup.replication_factor, setup.shards, setup.repair_after) =
            (replication_factor, shards, 5 * SECOND);
        let mut fleet = Fleet {
            fronts: Vec::new(),
            setup,
            now: 0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            mail: BTreeMap::new(),
            posted: 0,
            lost: 0.0,
            doubled: 0.0,
            late: 0.02,
            cut: Vec::new(),
            record: Record::default(),
            bytes: 0,
            next_disk: 1,
            answers_before_saves: false,
            same_disk: false,
        };
        for n in 0..fronts {
            let ahead = fleet.chance.random_range(-100..=100);
            fleet.fronts.push(Front {
                ledger: None,
                disk: BTreeMap::new(),
                disk_id: n as u64 + 1_000,
                saves: VecDeque::new(),
                stopped: false,
                ahead,
                incarnation: 0,
                next: 1,
                slow: 4_000,
                fails: false,
                format: hallmux_ledger::FORMAT,
            });
            fleet.start(n);
        }
        fleet
    }

    pub fn members(fronts: usize) -> Vec<Member> {
        (0..fronts)
            .map(|n| Member {
                front: id(n),
                zone: format!("z{}", n % 3),
            })
            .collect()
    }

    /// The operator's list, as all that run hear it now and others as they start.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.setup.members.clone_from(&members);
        for n in 0..self.fronts.len() {
            let at = self.at(n);
            let ledger = self.fronts[n].ledger.as_mut();
            ledger
                .into_iter()
                .for_each(|ledger| ledger.set_members(at, members.clone()).unwrap());
        }
    }

    /// What gossip says to each.
    pub fn set_health(&mut self, up: &[usize], away: &[usize]) {
        let ids = |of: &[usize]| -> Vec<FrontId> { of.iter().map(|n| id(*n)).collect() };
        for n in 0..self.fronts.len() {
            let at = self.at(n);
            let ledger = self.fronts[n].ledger.as_mut();
            ledger
                .into_iter()
                .for_each(|ledger| ledger.set_health(at, &ids(up), &ids(away)));
        }
    }

    /// Shards that move now.
    pub fn moving(&self) -> usize {
        let ledgers = self.fronts.iter().filter_map(|front| front.ledger.as_ref());
        ledgers
            .map(|ledger| ledger.counters().moving_replicas)
            .sum()
    }

    pub fn at(&self, n: usize) -> ClockReading {
        let wall = WALL as i64 + self.now / 1_000 + self.fronts[n].ahead;
        ClockReading {
            steady: self.now + n as Micros * 1_000 * SECOND,
            wall_ms: wall as u64,
        }
    }

    /// Starts a front, anew where it ran before, with what is lasting on its disk.
    pub fn start(&mut self, n: usize) {
        let at = self.at(n);
        let mut setup = self.setup.clone();
        let front = &mut self.fronts[n];
        front.incarnation = at.wall_ms;
        (setup.local_front, setup.incarnation, setup.disk) = (id(n), at.wall_ms, front.disk_id);
        setup.format = front.format;
        let saved = Saved(front.disk.clone().into_iter().collect());
        let saved = (!saved.0.is_empty()).then_some(saved);
        front.ledger = Some(Ledger::new(at, setup, saved).expect("what was saved is whole"));
        (front.stopped, front.fails) = (false, false);
        self.drain(n);
    }

    /// The first of all fronts start with what is set up now, on empty disks, in a later life.
    pub fn start_anew(&mut self, many: usize) {
        (0..self.fronts.len()).for_each(|n| self.lose(n));
        self.mail.clear();
        self.now += SECOND;
        (0..many).for_each(|n| self.start(n));
    }

    /// The front is told to end: it hands over what it owns.
    pub fn begin_shutdown(&mut self, n: usize) {
        let at = self.at(n);
        self.fronts[n]
            .ledger
            .iter_mut()
            .for_each(|ledger| ledger.begin_shutdown(at));
        self.drain(n);
    }

    /// The front is gone with what is not lasting yet.
    pub fn kill(&mut self, n: usize) {
        self.fronts[n].ledger = None;
        self.fronts[n].saves.clear();
        self.record.died(n, self.fronts[n].incarnation, self.now);
    }

    /// It is gone with its disk.
    pub fn lose(&mut self, n: usize) {
        self.kill(n);
        self.fronts[n].disk.clear();
        if !self.same_disk {
            self.next_disk += 1;
            self.fronts[n].disk_id = self.next_disk;
        }
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.fronts[n].ledger.is_some() && !self.fronts[n].stopped
    }

    /// Cuts the fronts of one side off from all others.
    pub fn cut_off(&mut self, side: &[usize]) {
        for a in 0..self.fronts.len() {
            for b in 0..self.fronts.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.cut.push((a, b));
                }
            }
        }
    }

    /// Asks; the number, to be asked again.
    pub fn ask(&mut self, n: usize, key: &str, operation: Operation) -> u64 {
        let number = self.fronts[n].next;
        self.fronts[n].next += 1;
        let key = Key {
            kind: Kind::Order,
            name: key.to_string(),
        };
        let (front, incarnation, ahead) = (n, self.fronts[n].incarnation, self.fronts[n].ahead);
        let asked = self.now;
        self.record.ops.push(Op {
            front,
            incarnation,
            number,
            key: key.clone(),
            operation: operation.clone(),
            asked,
            ahead,
            done: None,
        });
        self.repeat(
            n,
            LedgerRequest {
                number,
                key,
                operation,
            },
        );
        number
    }

    pub fn repeat(&mut self, n: usize, ask: LedgerRequest) {
        let at = self.at(n);
        if let Some(ledger) = &mut self.fronts[n].ledger {
            ledger.submit(at, ask);
        }
        self.drain(n);
    }

    fn drain(&mut self, n: usize) {
        let Some(ledger) = &mut self.fronts[n].ledger else {
            return;
        };
        let Output {
            packets,
            saves,
            answers,
        } = ledger.take_output();
        for done in answers {
            self.record
                .answered(n, self.fronts[n].incarnation, done, self.now);
        }
        self.deliver(n, packets);
        for mut save in saves {
            if self.answers_before_saves {
                let packets = std::mem::take(&mut save.packets);
                self.deliver(n, packets);
                let at = self.at(n);
                let number = save.number;
                let ledger = self.fronts[n].ledger.as_mut();
                ledger
                    .into_iter()
                    .for_each(|ledger| ledger.saved(at, number, true));
            }
            let slow = self.fronts[n].slow.max(1);
            let takes = self.chance.random_range(0..slow);
            let after = self.fronts[n].saves.back().map_or(self.now, |(at, _)| *at);
            // Saves that wait are made lasting together.
            self.fronts[n]
                .saves
                .push_back((after.max(self.now + takes), save));
        }
        if self.answers_before_saves {
            let more = self.fronts[n]
                .ledger
                .as_mut()
                .map(Ledger::take_output)
                .unwrap_or_default();
            more.answers.into_iter().for_each(|done| {
                self.record
                    .answered(n, self.fronts[n].incarnation, done, self.now);
            });
            self.deliver(n, more.packets);
            for save in more.saves {
                self.deliver(n, save.packets.clone());
                let after = self.fronts[n].saves.back().map_or(self.now, |(at, _)| *at);
                let slow = self.fronts[n].slow;
                self.fronts[n].saves.push_back((
                    after.max(self.now + slow),
                    Save {
                        packets: Vec::new(),
                        ..save
                    },
                ));
            }
        }
    }

    fn deliver(&mut self, from: usize, packets: Vec<OutgoingPacket>) {
        for OutgoingPacket { to, bytes } in packets {
            let to = (to - 100) as usize;
            assert!(bytes.len() <= 1_040);
            self.bytes += bytes.len() as u64;
            for _ in 0..1 + usize::from(self.chance.random_bool(self.doubled)) {
                if self.cut.contains(&(from, to)) || self.chance.random_bool(self.lost) {
                    continue;
                }
                let late = if self.chance.random_bool(self.late) {
                    200_000
                } else {
                    8_000
                }; // out of order
                self.posted += 1;
                let at = self.now + self.chance.random_range(500..late);
                self.mail
                    .insert((at, self.posted), (from, to, bytes.clone()));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(((at, _), _)) = self.mail.first_key_value() {
            if *at > self.now {
                break;
            }
            let Some((_, (from, to, bytes))) = self.mail.pop_first() else {
                break;
            };
            let moment = self.at(to);
            if self.is_up(to) {
                if let Some(ledger) = &mut self.fronts[to].ledger {
                    ledger.receive(moment, id(from), &bytes);
                }
                self.drain(to);
            }
        }
        for n in 0..self.fronts.len() {
            if !self.is_up(n) {
                continue;
            }
            while self.fronts[n]
                .saves
                .front()
                .is_some_and(|(at, _)| *at <= self.now)
            {
                let Some((_, save)) = self.fronts[n].saves.pop_front() else {
                    break;
                };
                self.complete_save(n, save);
            }
            let at = self.at(n);
            if let Some(ledger) = self.fronts[n]
                .ledger
                .as_mut()
                .filter(|ledger| ledger.due() <= at.steady)
            {
                ledger.tick(at);
            }
            self.drain(n);
        }
    }

    fn complete_save(&mut self, n: usize, save: Save) {
        let ok = !self.fronts[n].fails;
        if ok {
            for record in save.records {
                match record.bytes {
                    Some(bytes) => self.fronts[n].disk.insert(record.name, bytes),
                    None => self.fronts[n].disk.remove(&record.name),
                };
            }
            self.deliver(n, save.packets);
        }
        let at = self.at(n);
        if let Some(ledger) = self.fronts[n]
            .ledger
            .as_mut()
            .filter(|_| !self.answers_before_saves)
        {
            ledger.saved(at, save.number, ok);
        }
        self.drain(n);
    }

    pub fn run(&mut self, until: Micros) {
        while self.now < until {
            self.step();
        }
    }

    /// Until it holds, or so long.
    pub fn run_until(&mut self, most: Micros, holds: impl Fn(&Fleet) -> bool) -> bool {
        let until = self.now + most;
        while !holds(self) && self.now < until {
            self.step();
        }
        holds(self)
    }
}
