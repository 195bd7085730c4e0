//! Faults in simulated time: how each begins and ends.

use hallmux_dispatcher::{Ending, ListScope, Listing};
use rand::Rng;

use super::fronts::listing;
use super::simulation::{Event, Simulation};
use crate::rig::agreed::zone_name;
use crate::rig::relay::State as LinkState;
use crate::rig::scenario::{Fault, FaultKind};

impl Simulation<'_> {
    /// The links that a fault is played on: of all fronts, or of one, into the zone.
    pub(super) fn links(&mut self, fault: &Fault, all: bool, change: impl Fn(&mut LinkState)) {
        let own: Vec<usize> = (0..self.engines.len())
            .filter(|e| self.engines[*e].zone == fault.zone)
            .collect();
        let members = self.members.iter_mut().enumerate();
        for (_, member) in members.filter(|(n, _)| all || *n == fault.front) {
            own.iter()
                .for_each(|e| change(member.links.entry(*e).or_default()));
        }
    }

    /// Every connection into the zone ends, or those of one front: what is out there is reset.
    pub(super) fn reset(&mut self, fault: &Fault, all: bool) {
        for e in 0..self.engines.len() {
            if self.engines[e].zone != fault.zone {
                continue;
            }
            let out = std::mem::take(self.out.entry(e).or_default());
            let (ended, kept) = out
                .into_iter()
                .partition::<Vec<_>, _>(|(n, ..)| all || *n == fault.front);
            self.out.insert(e, kept);
            if all {
                self.engines[e].resets += 1;
            }
            let lives = self
                .members
                .iter_mut()
                .enumerate()
                .filter(|(n, _)| all || *n == fault.front);
            lives
                .filter_map(|(_, m)| m.life.as_mut())
                .for_each(|life| life.connections.lost(e));
            for (front, life, sent) in ended {
                self.at(
                    self.now,
                    Event::Answers(front, life, sent, Ending::Reset, None),
                );
            }
        }
    }

    pub(super) fn begin(&mut self, place: usize, fault: &Fault) {
        let now = self.now;
        match fault.what {
            FaultKind::ZoneLost => {
                self.links(fault, true, |s| (s.out_lost, s.back_lost) = (true, true))
            }
            FaultKind::LinkCut => {
                self.links(fault, false, |s| (s.out_lost, s.back_lost) = (true, true))
            }
            FaultKind::LinkCutBack => self.links(fault, false, |s| s.back_lost = true),
            FaultKind::ZoneSlow => self.links(fault, true, |s| s.delay_ms = fault.delay_ms),
            FaultKind::ZoneReset => self.reset(fault, true),
            FaultKind::FrontsSplit => self.datagram_faults.split = Some(fault.split()),
            FaultKind::FrontsSplitOut => self.datagram_faults.split = Some(fault.split()),
            FaultKind::PostLossy => self.datagram_faults.lost_percent = fault.percent,
            FaultKind::PostDoubled => self.datagram_faults.doubled_ms = Some(fault.delay_ms),
            FaultKind::PostSlow => self.datagram_faults.delay_ms = fault.delay_ms,
            FaultKind::PostShuffled => self.datagram_faults.shuffled_ms = fault.delay_ms,
            FaultKind::StallOwner | FaultKind::KillOwner => {} // played as what it is on the owner
            FaultKind::DiskFull => {}                          // not played here
            FaultKind::DiskSlow => {
                self.members[fault.front].disk.slow = fault.delay_ms as i64 * 1000
            }
            FaultKind::Hup => self.account.config_reloads += 1, // nothing that is read again plays a part here
            FaultKind::Stall => {
                let member = &mut self.members[fault.front];
                if member.life.is_some() {
                    member.troubled.push((now, i64::MAX));
                    member.stopped = true;
                }
            }
            FaultKind::Term => self.asked_to_end(fault.front),
            FaultKind::Release => {
                (0..fault.released(self.members.len())).for_each(|n| self.dies(n))
            }
            FaultKind::Kill | FaultKind::LoseDisk => {
                self.dooms(place, fault.front, fault.step, fault.at_ms)
            }
        }
    }

    pub(super) fn end(&mut self, fault: &Fault) {
        let now = self.now;
        match fault.what {
            FaultKind::ZoneLost => {
                for engine in self.engines.iter_mut().filter(|e| e.zone == fault.zone) {
                    (engine.started, engine.peak_since_start, engine.running) = (now, 0.0, 0);
                }
                self.links(fault, true, |s| (s.out_lost, s.back_lost) = (false, false));
                self.reset(fault, true);
                if fault.told {
                    self.tell_started(fault.zone);
                }
            }
            FaultKind::LinkCut | FaultKind::LinkCutBack => {
                self.links(fault, false, |s| (s.out_lost, s.back_lost) = (false, false));
                self.reset(fault, false);
            }
            FaultKind::ZoneSlow => self.links(fault, true, |s| s.delay_ms = 0),
            FaultKind::ZoneReset
            | FaultKind::Hup
            | FaultKind::StallOwner
            | FaultKind::KillOwner => {}
            FaultKind::DiskFull => {}
            FaultKind::DiskSlow => self.members[fault.front].disk.slow = 0,
            FaultKind::FrontsSplit | FaultKind::FrontsSplitOut => self.datagram_faults.split = None,
            FaultKind::PostLossy => self.datagram_faults.lost_percent = 0,
            FaultKind::PostDoubled => self.datagram_faults.doubled_ms = None,
            FaultKind::PostSlow => self.datagram_faults.delay_ms = 0,
            FaultKind::PostShuffled => self.datagram_faults.shuffled_ms = 0,
            FaultKind::Release => {
                for n in 0..fault.released(self.members.len()) {
                    let troubled = self.members[n].troubled.iter_mut();
                    troubled
                        .filter(|(_, to)| *to == i64::MAX)
                        .for_each(|(_, to)| *to = now);
                    if self.members[n].life.is_none() {
                        self.start(n);
                    }
                }
            }
            FaultKind::Stall | FaultKind::Kill | FaultKind::Term | FaultKind::LoseDisk => {
                let member = &mut self.members[fault.front];
                member
                    .troubled
                    .iter_mut()
                    .filter(|(_, to)| *to == i64::MAX)
                    .for_each(|(_, to)| *to = now);
                if fault.what == FaultKind::Stall {
                    member.stopped = false;
                    let waits = std::mem::take(&mut member.waits);
                    waits.into_iter().for_each(|event| self.handle(event));
                    self.turn(fault.front);
                } else if member.life.is_none() {
                    if fault.what == FaultKind::LoseDisk {
                        let identity = match self.spoil.keeps_identity {
                            true => self.members[fault.front].disk.identity,
                            false => self.chance.random_range(1..u64::MAX),
                        };
                        self.members[fault.front].saved = None;
                        self.members[fault.front].disk.lose(identity);
                    }
                    self.start(fault.front);
                }
            }
        }
    }

    /// Discovery tells every front that the zone's engines have started now.
    pub(super) fn tell_started(&mut self, zone: usize) {
        let name = zone_name(zone);
        let back: Vec<String> = (0..self.engines.len())
            .filter(|e| self.engines[*e].zone == zone)
            .map(|e| format!("e{e}"))
            .collect();
        let list: Vec<Listing> = back
            .iter()
            .map(|id| listing(id, &name, Some(self.now)))
            .collect();
        for n in 0..self.members.len() {
            if let Some(life) = &mut self.members[n].life {
                life.dispatcher.update_engines(ListScope::Changes, &list);
            }
            self.turn(n);
        }
    }
}
