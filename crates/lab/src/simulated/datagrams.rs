//! Datagrams between simulated fronts.

use hallmux_fleet::Output;
use hallmux_gossip::node::Datagram;
use rand::Rng;

use super::simulation::{front_at, Event, Simulation};
use crate::rig::datagrams::RelayedDatagram;
use crate::rig::scenario::Step;

impl Simulation<'_> {
    /// Sends the output of an exchange. A voter's saves are durable at once; the ledger's saves
    /// wait for the disk.
    pub(super) fn send_output(&mut self, n: usize, out: Output) {
        self.send_datagrams(n, out.datagrams);
        for saved in out.voter_saves {
            if saved.bytes.is_some() {
                self.members[n].voter_state = saved.bytes;
            }
            self.send_datagrams(n, saved.datagrams);
        }
        self.save(n, out.ledger_saves);
    }

    /// Sends datagrams through the active faults and records them; the sender may die at one.
    pub(super) fn send_datagrams(&mut self, from: usize, datagrams: Vec<Datagram>) {
        for Datagram { to, bytes } in datagrams {
            let Some(to) = front_at(to).filter(|to| *to < self.members.len()) else {
                continue;
            };
            let drawn = self.rng.random_range(0..100);
            let passed = self.datagram_faults.passes(from, to, drawn);
            if self.record_step(Step::Copying, from) {
                return; // the front died at this datagram
            }
            self.account.datagrams.push(RelayedDatagram {
                at: self.now,
                from,
                to,
                bytes: bytes.len(),
                passed,
            });
            if !passed {
                continue;
            }
            let shuffled = match self.datagram_faults.max_jitter_ms {
                0 => 0,
                ms => self.rng.random_range(0..=ms as i64 * 1000),
            };
            let at = self.now
                + self.draw_network_delay()
                + self.datagram_faults.delay_ms as i64 * 1000
                + shuffled;
            if let Some(ms) = self.datagram_faults.duplicate_after_ms {
                self.schedule_event(
                    at + ms as i64 * 1000,
                    Event::Datagram(from, to, bytes.clone()),
                );
            }
            self.schedule_event(at, Event::Datagram(from, to, bytes));
        }
    }
}
