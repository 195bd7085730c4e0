//! Plays randomized faults and counts the events of a run.

use rand::Rng;

use super::{new_access, Sim, FRONTS, LOCATIONS};
use crate::faults::{self, Fault};

#[derive(Clone, Copy)]
pub struct Faults {
    pub on: bool,
    /// How far the first front's clock drifts beyond its random drift.
    pub excess_drift: f64,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            on: true,
            excess_drift: 0.0,
        }
    }
}

impl Faults {
    pub fn none() -> Faults {
        Faults {
            on: false,
            excess_drift: 0.0,
        }
    }
}

#[derive(Default, Debug)]
pub struct Tallies {
    pub cuts: u64,
    pub stalls: u64,
    pub restarts: u64,
    pub in_force: u64,
    pub other_rejections: u64,
    pub versions_too_low: u64,
    pub rules_unknown: u64,
    pub revoked: u64,
    pub denied: u64,
    pub roll_backs: u64,
    pub limited: u64,
    pub sent: u64,
    pub unrestricted: u64,
    pub unrestricted_rejections: u64,
}

impl Tallies {
    pub fn add(&mut self, other: &Tallies) {
        for (to, from) in [
            (&mut self.cuts, other.cuts),
            (&mut self.stalls, other.stalls),
            (&mut self.restarts, other.restarts),
            (&mut self.in_force, other.in_force),
            (&mut self.other_rejections, other.other_rejections),
            (&mut self.versions_too_low, other.versions_too_low),
            (&mut self.rules_unknown, other.rules_unknown),
            (&mut self.revoked, other.revoked),
            (&mut self.denied, other.denied),
            (&mut self.roll_backs, other.roll_backs),
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
                self.fronts[front].stalled_until = self.now + time;
                self.tallies.stalls += 1;
            }
            Fault::Restart => self.restart(front),
            Fault::None(9..13) => {
                let version = self.next_version;
                self.next_version += 1;
                let text = match version > 2 && self.rng.random_bool(0.25) {
                    true => {
                        self.tallies.roll_backs += 1;
                        let to = self
                            .rng
                            .random_range(version.saturating_sub(6).max(1)..version);
                        format!("{{ version: {version}, roll_back_to: {to} }}")
                    }
                    false => self.random_rules(version),
                };
                self.propose_file(front, version, &text);
                if self.rng.random_bool(0.4) {
                    // Another file for the same version, proposed at another front at the same
                    // time.
                    let other = (front + 1) % FRONTS;
                    let text = self.random_rules(version);
                    self.propose_file(other, version, &text);
                }
            }
            Fault::None(13..15) => {
                // SIGHUP at a front whose file has not changed.
                if let Some(file) = self.fronts[front].file.clone() {
                    self.propose(front, &file);
                }
            }
            Fault::None(_) => {}
        }
    }

    pub fn cut(&mut self, front: usize, time: i64) {
        self.fronts[front].cut_until = self.now + time;
    }

    pub fn restart(&mut self, front: usize) {
        let incarnation = self.fronts[front].incarnation + 1;
        let f = &mut self.fronts[front];
        (f.access, f.incarnation) = (new_access(front, incarnation), incarnation);
        f.waiting.clear();
        f.queued.clear();
        f.running.clear();
        let file = f.file.clone();
        file.into_iter().for_each(|file| self.propose(front, &file));
        self.tallies.restarts += 1;
    }

    fn random_rules(&mut self, version: u64) -> String {
        let mut rules = Vec::new();
        for customer in ["acme", "brisk"] {
            for workload in ["", ", workload: 'report'"] {
                let regions: Vec<String> = LOCATIONS
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
