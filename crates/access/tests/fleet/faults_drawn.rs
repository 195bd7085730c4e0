//! Which faults are played, and what came of a run.

use rand::Rng;

use super::{access, Sim, FRONTS, PLACES};
use crate::faults::{self, Fault};

#[derive(Clone, Copy)]
pub struct Faults {
    pub on: bool,
    /// How far one clock runs off, beyond what it draws.
    pub clock: f64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            on: true,
            clock: 0.0,
        }
    }
}

impl Faults {
    pub fn none() -> Faults {
        Faults {
            on: false,
            clock: 0.0,
        }
    }
}

#[derive(Default, Debug)]
pub struct Tallies {
    pub cuts: u64,
    pub stalls: u64,
    pub restarts: u64,
    pub in_force: u64,
    pub lost: u64,
    pub old: u64,
    pub closed: u64,
    pub ended: u64,
    pub denied: u64,
    pub rolls: u64,
    pub limited: u64,
    pub sent: u64,
    pub free: u64,
    pub free_refused: u64,
}

impl Tallies {
    pub fn add(&mut self, other: &Tallies) {
        for (to, from) in [
            (&mut self.cuts, other.cuts),
            (&mut self.stalls, other.stalls),
            (&mut self.restarts, other.restarts),
            (&mut self.in_force, other.in_force),
            (&mut self.lost, other.lost),
            (&mut self.old, other.old),
            (&mut self.closed, other.closed),
            (&mut self.ended, other.ended),
            (&mut self.denied, other.denied),
            (&mut self.rolls, other.rolls),
            (&mut self.limited, other.limited),
            (&mut self.sent, other.sent),
        ] {
            *to += from;
        }
    }
}

impl Sim {
    pub fn draw_faults(&mut self) {
        let (front, fault) = faults::draw(&mut self.rng, FRONTS);
        match fault {
            Fault::Cut(time) => {
                self.cut(front, time);
                self.tallies.cuts += 1;
            }
            Fault::Stall(time) => {
                self.fronts[front].stalled = self.now + time;
                self.tallies.stalls += 1;
            }
            Fault::Restart => self.restart(front),
            Fault::None(9..13) => {
                let version = self.next_version;
                self.next_version += 1;
                let text = match version > 2 && self.rng.random_bool(0.25) {
                    true => {
                        self.tallies.rolls += 1;
                        let to = self
                            .rng
                            .random_range(version.saturating_sub(6).max(1)..version);
                        format!("{{ version: {version}, roll_back_to: {to} }}")
                    }
                    false => self.draw_rules(version),
                };
                self.offer_text(front, version, &text);
                if self.rng.random_bool(0.4) {
                    // Another file under the same version, at another front in the same moment.
                    let other = (front + 1) % FRONTS;
                    let text = self.draw_rules(version);
                    self.offer_text(other, version, &text);
                }
            }
            Fault::None(13..15) => {
                // SIGHUP at a front whose file is as it was.
                if let Some(file) = self.fronts[front].file.clone() {
                    self.offer(front, &file);
                }
            }
            Fault::None(_) => {}
        }
    }

    pub fn cut(&mut self, front: usize, time: i64) {
        self.fronts[front].cut = self.now + time;
    }

    pub fn restart(&mut self, front: usize) {
        let life = self.fronts[front].life + 1;
        let f = &mut self.fronts[front];
        (f.access, f.life) = (access(front, life), life);
        f.waiting.clear();
        f.queued.clear();
        f.running.clear();
        let file = f.file.clone();
        file.into_iter().for_each(|file| self.offer(front, &file));
        self.tallies.restarts += 1;
    }

    fn draw_rules(&mut self, version: u64) -> String {
        let mut rules = Vec::new();
        for customer in ["acme", "brisk"] {
            for workload in ["", ", workload: 'report'"] {
                let regions: Vec<String> = PLACES
                    .iter()
                    .filter(|_| self.rng.random_bool(0.5))
                    .map(|p| format!("'{p}'"))
                    .collect();
                let then = match regions.is_empty() {
                    true => "then: 'deny', reason: 'drawn'".to_string(),
                    false => format!("regions: [{}]", regions.join(", ")),
                };
                let limit = match then.starts_with("regions") && self.rng.random_bool(0.3) {
                    true => ", at_most: 20, in_ms: 2000",
                    false => "",
                };
                if self.rng.random_bool(0.7) {
                    rules.push(format!(
                        "{{ name: '{customer}-{}', customer: '{customer}'{workload}, {then}{limit} }}",
                        rules.len()
                    ));
                }
            }
        }
        rules.push("{ name: 'seen', workload: 'report', then: 'count' }".to_string());
        format!(
            "{{ version: {version}, default: 'allow', rules: [{}] }}",
            rules.join(", ")
        )
    }
}
