//! Simulates fronts with their ledgers over a network and disks; everything random is drawn from a
//! seed. Shared by the tests of this crate.
#![allow(dead_code)]

pub mod check;
mod queries;
use std::collections::{BTreeMap, VecDeque};

use check::{History, RequestRecord};
use hallmux_ledger::{
    ClockReading, FrontId, Key, Kind, Ledger, LedgerRequest, Member, Micros, Operation,
    OutgoingPacket, Output, Save, Saved, Setup,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const SECOND: Micros = 1_000_000;
/// Microseconds of simulated time per step.
pub const STEP: Micros = 5_000;
const WALL: u64 = 1_800_000_000_000;

pub struct Front {
    pub ledger: Option<Ledger>,
    /// The durable records, saved under the identity `disk_id`.
    pub disk: BTreeMap<Vec<u8>, Vec<u8>>,
    pub disk_id: u64,
    saves: VecDeque<(Micros, Save)>,
    pub is_stalled: bool,
    /// Milliseconds by which its Unix clock is ahead.
    pub clock_ahead_ms: i64,
    pub incarnation: u64,
    next_number: u64,
    /// The maximum time of a save in microseconds.
    pub max_save_time: Micros,
    /// Whether every save fails.
    pub saves_fail: bool,
    /// The message format of its build.
    pub format: u8,
}

pub struct Fleet {
    pub fronts: Vec<Front>,
    pub setup: Setup,
    pub now: Micros,
    pub rng: Pcg64Mcg,
    in_transit: BTreeMap<(Micros, u64), (usize, usize, Vec<u8>)>,
    packets_sent: u64,
    pub loss_rate: f64,
    pub duplication_rate: f64,
    pub delay_rate: f64,
    /// Links whose packets from the first to the second front are lost.
    pub cut_links: Vec<(usize, usize)>,
    pub history: History,
    pub bytes: u64,
    next_disk: u64,
    /// Switches a safety rule off: packets and answers are sent before the state that they depend
    /// on is durable.
    pub answers_before_saves: bool,
    /// Switches a safety rule off: a disk that lost its data keeps its identity.
    pub reuse_disk_identity: bool,
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
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_transit: BTreeMap::new(),
            packets_sent: 0,
            loss_rate: 0.0,
            duplication_rate: 0.0,
            delay_rate: 0.02,
            cut_links: Vec::new(),
            history: History::default(),
            bytes: 0,
            next_disk: 1,
            answers_before_saves: false,
            reuse_disk_identity: false,
        };
        for n in 0..fronts {
            let clock_ahead_ms = fleet.rng.random_range(-100..=100);
            fleet.fronts.push(Front {
                ledger: None,
                disk: BTreeMap::new(),
                disk_id: n as u64 + 1_000,
                saves: VecDeque::new(),
                is_stalled: false,
                clock_ahead_ms,
                incarnation: 0,
                next_number: 1,
                max_save_time: 4_000,
                saves_fail: false,
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

    /// Applies a member list of the operator: running fronts read it now, others when they start.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.setup.members.clone_from(&members);
        for n in 0..self.fronts.len() {
            let clock = self.clock(n);
            let ledger = self.fronts[n].ledger.as_mut();
            ledger
                .into_iter()
                .for_each(|ledger| ledger.set_members(clock, members.clone()).unwrap());
        }
    }

    /// Reports the health of fronts to each front, as gossip does.
    pub fn set_health(&mut self, up: &[usize], away: &[usize]) {
        let ids = |fronts: &[usize]| -> Vec<FrontId> { fronts.iter().map(|n| id(*n)).collect() };
        for n in 0..self.fronts.len() {
            let clock = self.clock(n);
            let ledger = self.fronts[n].ledger.as_mut();
            ledger
                .into_iter()
                .for_each(|ledger| ledger.set_health(clock, &ids(up), &ids(away)));
        }
    }

    /// The number of replicas in the course of a move.
    pub fn moving_replicas(&self) -> usize {
        let ledgers = self.fronts.iter().filter_map(|front| front.ledger.as_ref());
        ledgers
            .map(|ledger| ledger.counters().moving_replicas)
            .sum()
    }

    pub fn clock(&self, n: usize) -> ClockReading {
        let wall = WALL as i64 + self.now / 1_000 + self.fronts[n].clock_ahead_ms;
        ClockReading {
            steady: self.now + n as Micros * 1_000 * SECOND,
            wall_ms: wall as u64,
        }
    }

    /// Starts or restarts a front with the records on its disk.
    pub fn start(&mut self, n: usize) {
        let clock = self.clock(n);
        let mut setup = self.setup.clone();
        let front = &mut self.fronts[n];
        front.incarnation = clock.wall_ms;
        (setup.local_front, setup.incarnation, setup.disk) = (id(n), clock.wall_ms, front.disk_id);
        setup.format = front.format;
        let saved = Saved(front.disk.clone().into_iter().collect());
        let saved = (!saved.0.is_empty()).then_some(saved);
        front.ledger = Some(Ledger::new(clock, setup, saved).expect("what was saved is whole"));
        (front.is_stalled, front.saves_fail) = (false, false);
        self.collect_output(n);
    }

    /// Restarts the first `many` fronts with the current setup, on empty disks and in a later
    /// incarnation.
    pub fn restart_with_empty_disks(&mut self, many: usize) {
        (0..self.fronts.len()).for_each(|n| self.lose_disk(n));
        self.in_transit.clear();
        self.now += SECOND;
        (0..many).for_each(|n| self.start(n));
    }

    /// Starts the shutdown of a front: it hands over the shards that it leads.
    pub fn begin_shutdown(&mut self, n: usize) {
        let clock = self.clock(n);
        self.fronts[n]
            .ledger
            .iter_mut()
            .for_each(|ledger| ledger.begin_shutdown(clock));
        self.collect_output(n);
    }

    /// Kills the front, which loses everything that is not durable.
    pub fn kill(&mut self, n: usize) {
        self.fronts[n].ledger = None;
        self.fronts[n].saves.clear();
        self.history
            .record_end(n, self.fronts[n].incarnation, self.now);
    }

    /// Kills the front and erases its disk.
    pub fn lose_disk(&mut self, n: usize) {
        self.kill(n);
        self.fronts[n].disk.clear();
        if !self.reuse_disk_identity {
            self.next_disk += 1;
            self.fronts[n].disk_id = self.next_disk;
        }
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.fronts[n].ledger.is_some() && !self.fronts[n].is_stalled
    }

    /// Cuts the fronts of one side off from all others.
    pub fn cut_off(&mut self, side: &[usize]) {
        for a in 0..self.fronts.len() {
            for b in 0..self.fronts.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.cut_links.push((a, b));
                }
            }
        }
    }

    /// Submits a request; returns its number, under which it can be repeated.
    pub fn submit(&mut self, n: usize, key: &str, operation: Operation) -> u64 {
        let number = self.fronts[n].next_number;
        self.fronts[n].next_number += 1;
        let key = Key {
            kind: Kind::Order,
            name: key.to_string(),
        };
        let (front, incarnation, clock_ahead_ms) =
            (n, self.fronts[n].incarnation, self.fronts[n].clock_ahead_ms);
        let submitted_at = self.now;
        self.history.requests.push(RequestRecord {
            front,
            incarnation,
            number,
            key: key.clone(),
            operation: operation.clone(),
            submitted_at,
            clock_ahead_ms,
            answer: None,
        });
        self.resubmit(
            n,
            LedgerRequest {
                number,
                key,
                operation,
            },
        );
        number
    }

    pub fn resubmit(&mut self, n: usize, request: LedgerRequest) {
        let clock = self.clock(n);
        if let Some(ledger) = &mut self.fronts[n].ledger {
            ledger.submit(clock, request);
        }
        self.collect_output(n);
    }

    fn collect_output(&mut self, n: usize) {
        let Some(ledger) = &mut self.fronts[n].ledger else {
            return;
        };
        let Output {
            packets,
            saves,
            answers,
        } = ledger.take_output();
        for done in answers {
            self.history
                .record_answer(n, self.fronts[n].incarnation, done, self.now);
        }
        self.transmit(n, packets);
        for mut save in saves {
            if self.answers_before_saves {
                let packets = std::mem::take(&mut save.packets);
                self.transmit(n, packets);
                let clock = self.clock(n);
                let number = save.number;
                let ledger = self.fronts[n].ledger.as_mut();
                ledger
                    .into_iter()
                    .for_each(|ledger| ledger.saved(clock, number, true));
            }
            let max_save_time = self.fronts[n].max_save_time.max(1);
            let takes = self.rng.random_range(0..max_save_time);
            let after = self.fronts[n]
                .saves
                .back()
                .map_or(self.now, |(done_at, _)| *done_at);
            // Saves complete in order: each no earlier than the previous one.
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
                self.history
                    .record_answer(n, self.fronts[n].incarnation, done, self.now);
            });
            self.transmit(n, more.packets);
            for save in more.saves {
                self.transmit(n, save.packets.clone());
                let after = self.fronts[n]
                    .saves
                    .back()
                    .map_or(self.now, |(done_at, _)| *done_at);
                let max_save_time = self.fronts[n].max_save_time;
                self.fronts[n].saves.push_back((
                    after.max(self.now + max_save_time),
                    Save {
                        packets: Vec::new(),
                        ..save
                    },
                ));
            }
        }
    }

    fn transmit(&mut self, from: usize, packets: Vec<OutgoingPacket>) {
        for OutgoingPacket { to, bytes } in packets {
            let to = (to - 100) as usize;
            assert!(bytes.len() <= 1_040);
            self.bytes += bytes.len() as u64;
            for _ in 0..1 + usize::from(self.rng.random_bool(self.duplication_rate)) {
                if self.cut_links.contains(&(from, to)) || self.rng.random_bool(self.loss_rate) {
                    continue;
                }
                // Delayed packets arrive out of order.
                let max_delay = if self.rng.random_bool(self.delay_rate) {
                    200_000
                } else {
                    8_000
                };
                self.packets_sent += 1;
                let arrival = self.now + self.rng.random_range(500..max_delay);
                self.in_transit
                    .insert((arrival, self.packets_sent), (from, to, bytes.clone()));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(((arrival, _), _)) = self.in_transit.first_key_value() {
            if *arrival > self.now {
                break;
            }
            let Some((_, (from, to, bytes))) = self.in_transit.pop_first() else {
                break;
            };
            let reading = self.clock(to);
            if self.is_up(to) {
                if let Some(ledger) = &mut self.fronts[to].ledger {
                    ledger.receive(reading, id(from), &bytes);
                }
                self.collect_output(to);
            }
        }
        for n in 0..self.fronts.len() {
            if !self.is_up(n) {
                continue;
            }
            while self.fronts[n]
                .saves
                .front()
                .is_some_and(|(done_at, _)| *done_at <= self.now)
            {
                let Some((_, save)) = self.fronts[n].saves.pop_front() else {
                    break;
                };
                self.complete_save(n, save);
            }
            let clock = self.clock(n);
            if let Some(ledger) = self.fronts[n]
                .ledger
                .as_mut()
                .filter(|ledger| ledger.due() <= clock.steady)
            {
                ledger.tick(clock);
            }
            self.collect_output(n);
        }
    }

    fn complete_save(&mut self, n: usize, save: Save) {
        let ok = !self.fronts[n].saves_fail;
        if ok {
            for history in save.records {
                match history.bytes {
                    Some(bytes) => self.fronts[n].disk.insert(history.name, bytes),
                    None => self.fronts[n].disk.remove(&history.name),
                };
            }
            self.transmit(n, save.packets);
        }
        let clock = self.clock(n);
        if let Some(ledger) = self.fronts[n]
            .ledger
            .as_mut()
            .filter(|_| !self.answers_before_saves)
        {
            ledger.saved(clock, save.number, ok);
        }
        self.collect_output(n);
    }

    pub fn run(&mut self, until: Micros) {
        while self.now < until {
            self.step();
        }
    }

    /// Runs until the condition holds, at most for `max_duration`; returns whether it holds.
    pub fn run_until(&mut self, max_duration: Micros, condition: impl Fn(&Fleet) -> bool) -> bool {
        let until = self.now + max_duration;
        while !condition(self) && self.now < until {
            self.step();
        }
        condition(self)
    }
}
