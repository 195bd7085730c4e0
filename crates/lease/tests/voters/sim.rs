//! A simulation of fronts that request one lease, and their voters, over a simulated network. All
//! random decisions derive from a seed, true time is a number, and each front's clock runs a little
//! fast or slow.

use std::collections::BTreeMap;

use hallmux_lease::holder::{Holder, Intent};
use hallmux_lease::voter::{Output, Voter, VoterConfig};
use hallmux_lease::{
    fingerprint, AddressedEnvelope, AddressedRequest, Envelope, FrontId, LeaseMessage, LeaseTerms,
    Micros, Reply, Task, Token,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const SECOND: Micros = 1_000_000;
pub const TERMS: LeaseTerms = LeaseTerms {
    length: 2 * SECOND,
    drift_ppm: 50_000,
};
const STEP_MICROS: Micros = 5_000; // microseconds of true time per simulation step

pub struct Front {
    pub voter: Option<Voter>,
    pub holder: Holder,
    /// The voter's saved state, which survives a kill.
    saved: Option<Vec<u8>>,
    pub running: bool,
    pub paused: bool,
    /// The clock's reading at true time 0.
    clock_offset: Micros,
    /// Microseconds that the clock advances per microsecond of true time.
    clock_rate: f64,
    progress: u8,
}

pub struct Fleet {
    pub fronts: Vec<Front>,
    voters: Vec<FrontId>,
    pub now: Micros,
    pub rng: Pcg64Mcg,
    /// Receiver, sender and content of each envelope, by arrival time and sequence number.
    in_flight: BTreeMap<(Micros, u64), (usize, usize, Envelope)>,
    sequence: u64,
    pub loss_rate: f64,
    pub duplication_rate: f64,
    /// The maximum delay of an envelope. A delay longer than the time between messages reorders
    /// them.
    pub max_delay: Micros,
    /// The partition of each front; fronts of different partitions can't reach each other.
    pub partition: Vec<u8>,
    /// Acts in order: true time, front and token.
    pub acts: Vec<(Micros, usize, Token)>,
    /// The highest number of fronts that could act at once.
    pub max_simultaneous_owners: usize,
    /// The number of steps in which no front could act.
    pub steps_without_owner: usize,
    pub message_counts: BTreeMap<&'static str, u64>,
    pub inherited_progress: Vec<(Token, Vec<u8>)>,
    next_number: u64,
}

fn id(n: usize) -> FrontId {
    100 + n as FrontId
}

impl Fleet {
    /// Starts `fronts` fronts, of which the first `voters` are voters.
    pub fn new(fronts: usize, voters: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            fronts: Vec::new(),
            voters: (0..voters).map(id).collect(),
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sequence: 0,
            loss_rate: 0.0,
            duplication_rate: 0.0,
            max_delay: 20_000,
            partition: vec![0; fronts],
            acts: Vec::new(),
            max_simultaneous_owners: 0,
            steps_without_owner: 0,
            message_counts: BTreeMap::new(),
            inherited_progress: Vec::new(),
            next_number: 0,
        };
        for n in 0..fronts {
            let clock_rate =
                1.0 + f64::from(TERMS.drift_ppm) / 1e6 * fleet.rng.random_range(-1.0..=1.0);
            let clock_offset = fleet.rng.random_range(0..1_000 * SECOND);
            let holder = Holder::new(Task::Zones, TERMS, fleet.voters.clone(), 0);
            let front = Front {
                voter: None,
                holder,
                saved: None,
                running: false,
                paused: false,
                clock_offset,
                clock_rate,
                progress: 0,
            };
            fleet.fronts.push(front);
            fleet.start(n);
        }
        fleet
    }

    pub fn clock(&self, n: usize) -> Micros {
        let front = &self.fronts[n];
        front.clock_offset + (self.now as f64 * front.clock_rate) as Micros
    }

    /// Starts or restarts a front from its saved state.
    pub fn start(&mut self, n: usize) {
        let (now, voters) = (self.clock(n), self.voters.clone());
        let fleet = fingerprint("tests", &voters);
        self.next_number += 1_000_000;
        let front = &mut self.fronts[n];
        front.holder = Holder::new(Task::Zones, TERMS, voters.clone(), self.next_number);
        (front.running, front.paused) = (true, false);
        front.voter = voters.contains(&id(n)).then(|| {
            let config = VoterConfig {
                fleet,
                local_id: id(n),
                voters,
                terms: TERMS,
            };
            Voter::new(now, config, front.saved.as_deref()).expect("the saved state is intact")
        });
    }

    pub fn kill(&mut self, n: usize) {
        (self.fronts[n].running, self.fronts[n].voter) = (false, None);
    }

    fn send(&mut self, from: usize, to: FrontId, envelope: Envelope) {
        let to = (to - 100) as usize;
        let kind = match envelope.message {
            LeaseMessage::Log { .. } | LeaseMessage::Unnumbered(_) => "log",
            LeaseMessage::Request(_) => "request",
            LeaseMessage::Reply(_) => "reply",
        };
        *self.message_counts.entry(kind).or_default() += 1;
        let copies = 1 + usize::from(self.rng.random_bool(self.duplication_rate));
        for _ in 0..copies {
            let delay = self.rng.random_range(500..self.max_delay);
            if self.partition[from] == self.partition[to] && !self.rng.random_bool(self.loss_rate) {
                self.sequence += 1;
                self.in_flight.insert(
                    (self.now + delay, self.sequence),
                    (to, from, envelope.clone()),
                );
            }
        }
    }

    fn process_output(&mut self, n: usize, output: Output) {
        // The state is saved before any message is sent; saving takes no time in the simulation.
        if let Some(save) = output.save {
            self.fronts[n].saved = Some(save);
        }
        for AddressedEnvelope { to, envelope } in output.messages {
            // A voter's reply to its own front does not use the network.
            match (envelope.message, to == id(n)) {
                (LeaseMessage::Reply(reply), true) => self.fronts[n].holder.receive(&reply),
                (message, _) => self.send(
                    n,
                    to,
                    Envelope {
                        message,
                        ..envelope
                    },
                ),
            }
        }
    }

    fn deliver(&mut self, to: usize, from: usize, envelope: Envelope) {
        let now = self.clock(to);
        let front = &mut self.fronts[to];
        if let LeaseMessage::Reply(reply) = &envelope.message {
            front.holder.receive(reply);
        }
        let output = front
            .voter
            .as_mut()
            .map(|voter| voter.receive(now, id(from), envelope));
        self.process_output(to, output.unwrap_or_default());
    }

    /// Runs the simulation until the true time `until`; the fronts in `requesters` request the
    /// lease.
    pub fn run(&mut self, until: Micros, requesters: &[usize]) {
        while self.now < until {
            self.now += STEP_MICROS;
            while let Some(((at, number), (to, from, envelope))) = self.in_flight.pop_first() {
                if at > self.now {
                    self.in_flight.insert((at, number), (to, from, envelope));
                    break;
                }
                let front = &self.fronts[to];
                if front.running && front.paused {
                    // The envelope waits in the socket until the front is resumed.
                    self.sequence += 1;
                    self.in_flight.insert(
                        (self.now + STEP_MICROS, self.sequence),
                        (to, from, envelope),
                    );
                    if self.in_flight.keys().all(|(at, _)| *at > self.now) {
                        break;
                    }
                } else if front.running {
                    self.deliver(to, from, envelope);
                }
            }
            for n in 0..self.fronts.len() {
                if self.fronts[n].running && !self.fronts[n].paused {
                    self.step_front(n, requesters.contains(&n));
                }
            }
            let valid_holders: Vec<usize> = (0..self.fronts.len())
                .filter(|n| {
                    self.fronts[*n].running
                        && self.fronts[*n].holder.token(self.clock(*n)).is_some()
                })
                .collect();
            self.max_simultaneous_owners = self.max_simultaneous_owners.max(valid_holders.len());
            self.steps_without_owner += usize::from(valid_holders.is_empty());
        }
    }

    fn step_front(&mut self, n: usize, wants_lease: bool) {
        let now = self.clock(n);
        let output = self.fronts[n]
            .voter
            .as_mut()
            .filter(|voter| voter.due() <= now)
            .map(|voter| voter.tick(now));
        self.process_output(n, output.unwrap_or_default());
        let front = &mut self.fronts[n];
        if let Some(progress) = front.holder.take_inherited_progress() {
            let token = front.holder.token(now).unwrap_or_default();
            front.progress = progress.first().copied().unwrap_or(0);
            self.inherited_progress.push((token, progress));
        }
        let front = &mut self.fronts[n];
        if let Some(token) = front.holder.token(now) {
            self.acts.push((self.now, n, token));
            front.progress = front
                .progress
                .saturating_add(u8::from(self.now % (SECOND / 4) == 0));
        }
        let progress = [front.progress];
        let intent = if wants_lease {
            Intent::Acquire
        } else {
            Intent::RenewOnly
        };
        let Some(AddressedRequest { to: voter, request }) =
            front.holder.next_request(now, intent, &progress)
        else {
            return;
        };
        let envelope = Envelope {
            fleet: fingerprint("tests", &self.voters),
            message: LeaseMessage::Request(request),
        };
        if voter == id(n) {
            let output = self.fronts[n]
                .voter
                .as_mut()
                .map(|voter| voter.receive(now, id(n), envelope));
            self.process_output(n, output.unwrap_or_default());
        } else {
            self.send(n, voter, envelope);
        }
    }

    /// The fronts that acted and their tokens, in the order of their acts, without consecutive
    /// duplicates.
    pub fn owners(&self) -> Vec<(usize, Token)> {
        let mut owners: Vec<(usize, Token)> =
            self.acts.iter().map(|(_, n, token)| (*n, *token)).collect();
        owners.dedup();
        owners
    }

    pub fn leaders(&self) -> usize {
        self.fronts
            .iter()
            .filter(|front| front.running && front.voter.as_ref().is_some_and(Voter::is_leader))
            .count()
    }
}

/// A grant that a faulty voter might forge.
#[allow(dead_code)] // unused at present
pub fn forged(number: u64) -> Reply {
    Reply::Granted {
        number,
        token: 1_000_000,
        progress: Vec::new(),
    }
}
