//! A front of the fleet while it runs and anew, and what all fronts of a run share.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::post::Post;
use super::scenario::Shape;
use super::{Coordinator, Front};
use crate::engine::Records;
use crate::record::account::Offered;

const MOST_SEEDS: usize = 3; // fronts that each asks first, drawn: a few for all would be slow to answer them
pub(crate) const SOCKETS: usize = 256; // descriptors each front may hold

/// A front of the fleet: its process while it runs, its own links and list.
pub(crate) struct Member {
    pub(crate) front: Mutex<Option<Front>>,
    pub(crate) coordinator: Coordinator,
    pub(crate) number: usize,
    /// Milliseconds by which its clock is ahead of the machine's.
    pub(crate) ahead_ms: i64,
    /// It takes no statements from clients: stopped, killed or ending.
    pub(crate) away: AtomicBool,
    /// Spans, in microseconds since the rig began, in which it was stopped, killed or ending: a statement out at
    /// it then may be late or lost by a fault of its own.
    pub(crate) troubled: Mutex<Vec<(i64, i64)>>,
}

impl Member {
    /// Starts its front, anew where it ran before; with gossip, the others it knows of are its seeds.
    pub(crate) fn start(&self, ground: &Ground) -> Result<u32, String> {
        let ahead = format!("clock_ahead_ms: {}", self.ahead_ms);
        let operator = match &ground.gossip {
            None => format!("{{ {ahead} }}"),
            Some((keys, post)) => {
                let mut chance = Pcg64Mcg::seed_from_u64(self.number as u64);
                let seed = |_| format!("'{}'", post.at[chance.random_range(0..post.at.len())]);
                let seeds: Vec<String> = (0..MOST_SEEDS).map(seed).collect();
                let file = keys.folder.join(format!("secret{}", self.number));
                let voters =
                    |count: usize| (0..count).map(|n| format!("f{n}: '{}'", post.at[n])).collect::<Vec<_>>();
                let ownership = keys.voters.map(|(count, lease_ms)| {
                    let directory = keys.folder.join(format!("votes{}", self.number));
                    format!(
                        ", ownership: {{ fleet: 'lab', directory: '{}', lease_ms: {lease_ms}, voters: {{ {} }} }}",
                        directory.display(),
                        voters(count).join(", ")
                    )
                });
                let ownership =
                    ownership.unwrap_or_default() + &keys.ledger(self.number, &post.at) + keys.overload;
                let quorum = keys.zone_quorum.map(|q| format!("zone_quorum: {q}, ")).unwrap_or_default();
                format!(
                    "{{ {ahead}, gossip: {{ listen: '127.0.0.1:0', advertise: '{}', secret_file: '{}', {quorum}peers: {{ {} }}, \
                     seeds: [{}]{ownership} }} }}",
                    post.at[self.number],
                    file.display(),
                    keys.peers,
                    seeds.join(", ")
                )
            }
        };
        let name = format!("f{}", self.number);
        let seed = Pcg64Mcg::seed_from_u64(ground.seed ^ (self.number as u64) << 32).random();
        let started = Front::named((&name, seed), &ground.settings, &operator, &self.coordinator, SOCKETS)?;
        let at = started.logged("talks with other fronts");
        let at = at.and_then(|line| line.rsplit(' ').next().and_then(|word| word.parse().ok()));
        if let Some(((_, post), at)) = ground.gossip.as_ref().zip(at) {
            post.front(self.number, at);
        }
        let pid = started.pid();
        if let Ok(mut front) = self.front.lock() {
            *front = Some(started);
        }
        Ok(pid)
    }
}

/// What all fronts of a run share.
pub(crate) struct Ground {
    pub(crate) seed: u64,
    pub(crate) settings: serde_json::Value,
    /// With gossip, the fronts' keys and the way between them.
    pub(crate) gossip: Option<(Keys, Post)>,
}

/// The fronts' keys for gossip: secrets in files of a folder of the run's, public halves known to all.
pub(crate) struct Keys {
    folder: std::path::PathBuf,
    /// `name: 'public key', ...` for the operator's file.
    peers: String,
    zone_quorum: Option<usize>,
    /// Promises stand on so many fronts; zones and fronts of the fleet.
    copies: Option<(usize, usize)>,
    /// How many vote on who owns the fleet's work, and how long a lease lasts.
    voters: Option<(usize, u64)>,
    /// That part of the operator's file.
    overload: &'static str,
}

impl Keys {
    pub(crate) fn new(shape: &Shape, seed: u64) -> std::io::Result<Keys> {
        let folder = std::env::temp_dir().join(format!("hallmux-fleet-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
        let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x6b65_7973);
        let mut peers = Vec::new();
        for n in 0..shape.fronts {
            let secret: [u8; 32] = chance.random();
            std::fs::write(folder.join(format!("secret{n}")), hex(&secret))?;
            let public = hallmux_gossip::seal::Own::new(&secret, 0).public();
            peers.push(format!("f{n}: '{}'", hex(&public)));
        }
        let copies = shape.copies.map(|copies| (copies, shape.zones));
        let overload = if shape.sheds_as_one { ", overload: {}" } else { "" };
        let voters = shape.voters.map(|voters| (voters, shape.lease_ms));
        Ok(Keys { folder, peers: peers.join(", "), zone_quorum: shape.zone_quorum, copies, voters, overload })
    }
}

impl Keys {
    fn disk(&self, front: usize) -> std::path::PathBuf {
        self.folder.join(format!("ledger{front}"))
    }

    /// The ledger's part of the operator's file of a front.
    fn ledger(&self, front: usize, at: &[std::net::SocketAddr]) -> String {
        let Some((copies, zones)) = self.copies else { return String::new() };
        let member = |(n, at): (usize, &std::net::SocketAddr)| {
            format!("f{n}: {{ at: '{at}', zone: '{}' }}", super::agreed::zone_name(n % zones))
        };
        let members: Vec<String> = at.iter().enumerate().map(member).collect();
        format!(
            ", ledger: {{ fleet: 'lab', directory: '{}', copies: {copies}, members: {{ {} }} }}",
            self.disk(front).display(),
            members.join(", ")
        )
    }
}

impl Ground {
    /// What a front kept on disk is gone.
    pub(crate) fn lose_disk(&self, front: usize) {
        if let Some((keys, _)) = &self.gossip {
            let _ = std::fs::remove_dir_all(keys.disk(front));
        }
    }
}

impl Drop for Keys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What clients saw, gathered while they run.
pub(crate) struct Record {
    pub(crate) records: Arc<Records>,
    /// Each statement with the front it was sent to.
    pub(crate) asked: Mutex<Vec<Offered>>,
}
