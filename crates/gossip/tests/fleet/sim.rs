//! A fleet of fronts over a simulated network. All random decisions derive from a seed, and time is
//! a number. Shared by the tests of this crate and the lab's `measure gossip`.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use hallmux_gossip::message::{EngineStatus, Health};
use hallmux_gossip::node::{Datagram, Node, NodeConfig};
use hallmux_gossip::seal::{Identity, Keys};
use hallmux_gossip::{Micros, PeerId};

pub const SECOND: Micros = 1_000_000;
pub const WALL: u64 = 1_800_000_000_000; // Unix milliseconds at time 0

pub struct Fleet {
    pub nodes: Vec<Option<Node>>,
    /// The offset of each front's clock from true time, in milliseconds.
    pub clock_offsets_ms: Vec<i64>,
    pub now: Micros,
    pub seed: u64,
    pub loss_rate: f64,
    /// Pairs of fronts that can't reach each other, the lower index first.
    pub cut_links: HashSet<(usize, usize)>,
    pub in_flight: BinaryHeap<Reverse<(Micros, u64, usize, usize)>>,
    pub bytes: Vec<Vec<u8>>,
    pub sequence: u64,
    /// All datagrams sent while `is_capturing` is set, with their senders.
    pub captured: Vec<(usize, Datagram)>,
    pub is_capturing: bool,
    keys: Rc<Keys>,
    /// Number of randomly picked seeds of each front; 0 makes the first two fronts the seeds.
    seeds: usize,
}

pub fn secret(n: usize) -> [u8; 32] {
    let mut secret = [0; 32];
    secret[..8].copy_from_slice(&(n as u64 + 1).to_be_bytes());
    secret
}

pub fn address(n: usize) -> SocketAddr {
    ([127, 0, (n / 200) as u8, (n % 200) as u8 + 1], 7000).into()
}

pub fn front_index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!()
    };
    let [_, _, high, low] = address.ip().octets();
    high as usize * 200 + low as usize - 1
}

pub fn keys(count: usize) -> Rc<Keys> {
    Keys::new(
        &(0..count)
            .map(|n| Identity::new(&secret(n), 0).public_key())
            .collect::<Vec<_>>(),
    )
}

pub fn next_random(seed: &mut u64) -> u64 {
    *seed = seed
        .wrapping_mul(6364136223846793005)
        .wrapping_add(1442695040888963407);
    (*seed >> 11) ^ (*seed >> 43)
}

impl Fleet {
    pub fn new(count: usize, seed: u64) -> Fleet {
        Fleet::with_seeds(count, seed, 0)
    }

    pub fn with_seeds(count: usize, seed: u64, seeds: usize) -> Fleet {
        let mut fleet = Fleet {
            nodes: Vec::new(),
            clock_offsets_ms: vec![0; count],
            now: 0,
            seed,
            loss_rate: 0.0,
            cut_links: HashSet::new(),
            in_flight: BinaryHeap::new(),
            bytes: Vec::new(),
            sequence: 0,
            captured: Vec::new(),
            is_capturing: false,
            keys: keys(count),
            seeds,
        };
        for n in 0..count {
            fleet.nodes.push(None);
            fleet.start(n, count, 0);
        }
        fleet
    }

    pub fn wall_ms(&self, n: usize) -> u64 {
        (WALL as i64 + self.now / 1000 + self.clock_offsets_ms[n]) as u64
    }

    /// Starts a front whose clock is `behind_ms` milliseconds behind at its start.
    pub fn start(&mut self, n: usize, count: usize, behind_ms: u64) {
        let random_seeds: Vec<SocketAddr> = (0..self.seeds)
            .map(|_| address((next_random(&mut self.seed) % count as u64) as usize))
            .collect();
        let seeds = if random_seeds.is_empty() {
            vec![address(0), address(1)]
        } else {
            random_seeds
        };
        let config = NodeConfig {
            secret: secret(n),
            keys: self.keys.clone(),
            address: address(n),
            seeds,
        };
        self.nodes[n] = Some(Node::new(config, self.wall_ms(n) - behind_ms));
    }

    pub fn send(&mut self, from: usize, datagrams: Vec<Datagram>) {
        for datagram in datagrams {
            let to = front_index(datagram.to);
            let is_lost = (next_random(&mut self.seed) % 1000) as f64 / 1000.0 < self.loss_rate;
            if self.is_capturing {
                self.captured.push((from, datagram.clone()));
            }
            if is_lost
                || self.cut_links.contains(&(from.min(to), from.max(to)))
                || to >= self.nodes.len()
            {
                continue;
            }
            let delay = 500 + (next_random(&mut self.seed) % 4500) as Micros;
            self.deliver(from, to, delay, datagram.bytes);
        }
    }

    pub fn deliver(&mut self, from: usize, to: usize, delay: Micros, bytes: Vec<u8>) {
        self.sequence += 1;
        self.bytes.push(bytes);
        self.in_flight
            .push(Reverse((self.now + delay, self.sequence - 1, from, to)));
    }

    pub fn run(&mut self, until: Micros) {
        while self.now < until {
            let next_due = self
                .nodes
                .iter()
                .flatten()
                .map(Node::due)
                .min()
                .unwrap_or(until);
            let in_flight = self.in_flight.peek().map_or(until, |Reverse((at, ..))| *at);
            self.now = next_due.min(in_flight).max(self.now).min(until);
            while let Some(Reverse((when, number, from, to))) = self.in_flight.peek().copied() {
                if when > self.now {
                    break;
                }
                self.in_flight.pop();
                let bytes = std::mem::take(&mut self.bytes[number as usize]);
                let (now, wall_ms) = (self.now, self.wall_ms(to));
                if let Some(node) = &mut self.nodes[to] {
                    let replies = node.receive(now, wall_ms, address(from), &bytes);
                    self.send(to, replies);
                }
            }
            for n in 0..self.nodes.len() {
                let (now, wall_ms) = (self.now, self.wall_ms(n));
                let Some(node) = self.nodes[n].as_mut().filter(|node| node.due() <= now) else {
                    continue;
                };
                let mut seed = self.seed;
                let datagrams = node.tick(now, wall_ms, &mut || next_random(&mut seed));
                self.seed = seed;
                self.send(n, datagrams);
            }
        }
    }

    pub fn peer_id(&self, n: usize) -> PeerId {
        Identity::new(&secret(n), 0).id
    }

    pub fn report_engine_statuses(&mut self, n: usize, statuses: Vec<EngineStatus>) {
        let (now, wall_ms) = (self.now, self.wall_ms(n));
        self.nodes[n]
            .as_mut()
            .unwrap()
            .report_engine_statuses(now, wall_ms, statuses);
    }

    /// The fronts that hold reports of others on this engine, and the reporters.
    pub fn fronts_with_report_on(&self, engine: u64) -> Vec<(usize, BTreeSet<PeerId>)> {
        let reporters = |node: &Node| -> BTreeSet<PeerId> {
            let reports = node.peer_reports(self.now);
            reports
                .into_iter()
                .filter(|n| n.status.engine == engine)
                .map(|n| n.reporter)
                .collect()
        };
        let all = self
            .nodes
            .iter()
            .enumerate()
            .filter_map(|(n, node)| Some((n, reporters(node.as_ref()?))));
        all.filter(|(_, reporters)| !reporters.is_empty()).collect()
    }

    /// The number of running fronts that see the front `of` with this health.
    pub fn count_with_health(&self, of: usize, health: Health) -> usize {
        let id = self.peer_id(of);
        self.nodes
            .iter()
            .flatten()
            .filter(|node| node.members().health(id) == Some(health))
            .count()
    }

    pub fn bytes_sent(&self) -> Vec<u64> {
        self.nodes
            .iter()
            .flatten()
            .map(|node| node.bytes_sent)
            .collect()
    }
}
