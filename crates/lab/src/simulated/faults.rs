//! Faults in simulated time: how each begins and ends.

use hallmux_dispatcher::{Ending, ListScope, Listing};
use rand::Rng;

use super::fronts::listing;
use super::simulation::{Event, Simulation};
use crate::rig::agreed::zone_name;
use crate::rig::relay::LinkState;
use crate::rig::scenario::{Fault, FaultKind};

impl Simulation<'_> {
    /// Changes the links into the fault's zone, of all fronts or of the fault's front only.
    pub(super) fn change_links(
        &mut self,
        fault: &Fault,
        all: bool,
        change: impl Fn(&mut LinkState),
    ) {
        let own: Vec<usize> = (0..self.engines.len())
            .filter(|e| self.engines[*e].zone == fault.zone)
            .collect();
        let members = self.members.iter_mut().enumerate();
        for (_, member) in members.filter(|(n, _)| all || *n == fault.front) {
            own.iter()
                .for_each(|e| change(member.links.entry(*e).or_default()));
        }
    }

    /// Resets every connection into the fault's zone, of all fronts or of the fault's front only,
    /// with the executions in flight on it.
    pub(super) fn reset(&mut self, fault: &Fault, all: bool) {
        for e in 0..self.engines.len() {
            if self.engines[e].zone != fault.zone {
                continue;
            }
            let out = std::mem::take(self.in_flight.entry(e).or_default());
            let (ended, kept) = out
                .into_iter()
                .partition::<Vec<_>, _>(|(n, ..)| all || *n == fault.front);
            self.in_flight.insert(e, kept);
            if all {
                self.engines[e].reset_count += 1;
            }
            let fronts = self
                .members
                .iter_mut()
                .enumerate()
                .filter(|(n, _)| all || *n == fault.front);
            fronts
                .filter_map(|(_, m)| m.running.as_mut())
                .for_each(|running| running.connections.drop_connections(e));
            for (front, incarnation, sent) in ended {
                self.schedule_event(
                    self.now,
                    Event::Answers(front, incarnation, sent, Ending::Reset, None),
                );
            }
        }
    }

    /// Starts a fault; `place` is its index in the scenario.
    pub(super) fn start_fault(&mut self, place: usize, fault: &Fault) {
        let now = self.now;
        match fault.what {
            FaultKind::ZoneLost => {
                self.change_links(fault, true, |s| (s.out_lost, s.back_lost) = (true, true))
            }
            FaultKind::LinkCut => {
                self.change_links(fault, false, |s| (s.out_lost, s.back_lost) = (true, true))
            }
            FaultKind::LinkCutBack => self.change_links(fault, false, |s| s.back_lost = true),
            FaultKind::ZoneSlow => self.change_links(fault, true, |s| s.delay_ms = fault.delay_ms),
            FaultKind::ZoneReset => self.reset(fault, true),
            FaultKind::FrontsSplit => self.datagram_faults.split = Some(fault.split()),
            FaultKind::FrontsSplitOut => self.datagram_faults.split = Some(fault.split()),
            FaultKind::PostLossy => self.datagram_faults.lost_percent = fault.percent,
            FaultKind::PostDoubled => {
                self.datagram_faults.duplicate_after_ms = Some(fault.delay_ms)
            }
            FaultKind::PostSlow => self.datagram_faults.delay_ms = fault.delay_ms,
            FaultKind::PostShuffled => self.datagram_faults.max_jitter_ms = fault.delay_ms,
            FaultKind::StallOwner | FaultKind::KillOwner => {} // resolved to Stall or Kill before the fault starts
            FaultKind::DiskFull => {}                          // not simulated
            FaultKind::DiskSlow => {
                self.members[fault.front].disk.extra_sync_us = fault.delay_ms as i64 * 1000
            }
            FaultKind::Hup => self.account.config_reloads += 1, // no configuration that is read again matters in the simulation
            FaultKind::Stall => {
                let member = &mut self.members[fault.front];
                if member.running.is_some() {
                    member.disruptions.push((now, i64::MAX));
                    member.is_stalled = true;
                }
            }
            FaultKind::Term => self.request_shutdown(fault.front),
            FaultKind::Release => {
                (0..fault.released_count(self.members.len())).for_each(|n| self.kill_front(n))
            }
            FaultKind::Kill | FaultKind::LoseDisk => {
                self.schedule_death(place, fault.front, fault.step, fault.at_ms)
            }
        }
    }

    /// Ends a fault and restarts the fronts that it killed.
    pub(super) fn end_fault(&mut self, fault: &Fault) {
        let now = self.now;
        match fault.what {
            FaultKind::ZoneLost => {
                for engine in self.engines.iter_mut().filter(|e| e.zone == fault.zone) {
                    (engine.started_at, engine.peak_since_start, engine.running) = (now, 0.0, 0);
                }
                self.change_links(fault, true, |s| (s.out_lost, s.back_lost) = (false, false));
                self.reset(fault, true);
                if fault.told {
                    self.announce_restarts(fault.zone);
                }
            }
            FaultKind::LinkCut | FaultKind::LinkCutBack => {
                self.change_links(fault, false, |s| (s.out_lost, s.back_lost) = (false, false));
                self.reset(fault, false);
            }
            FaultKind::ZoneSlow => self.change_links(fault, true, |s| s.delay_ms = 0),
            FaultKind::ZoneReset
            | FaultKind::Hup
            | FaultKind::StallOwner
            | FaultKind::KillOwner => {}
            FaultKind::DiskFull => {}
            FaultKind::DiskSlow => self.members[fault.front].disk.extra_sync_us = 0,
            FaultKind::FrontsSplit | FaultKind::FrontsSplitOut => self.datagram_faults.split = None,
            FaultKind::PostLossy => self.datagram_faults.lost_percent = 0,
            FaultKind::PostDoubled => self.datagram_faults.duplicate_after_ms = None,
            FaultKind::PostSlow => self.datagram_faults.delay_ms = 0,
            FaultKind::PostShuffled => self.datagram_faults.max_jitter_ms = 0,
            FaultKind::Release => {
                for n in 0..fault.released_count(self.members.len()) {
                    let troubled = self.members[n].disruptions.iter_mut();
                    troubled
                        .filter(|(_, to)| *to == i64::MAX)
                        .for_each(|(_, to)| *to = now);
                    if self.members[n].running.is_none() {
                        self.start(n);
                    }
                }
            }
            FaultKind::Stall | FaultKind::Kill | FaultKind::Term | FaultKind::LoseDisk => {
                let member = &mut self.members[fault.front];
                member
                    .disruptions
                    .iter_mut()
                    .filter(|(_, to)| *to == i64::MAX)
                    .for_each(|(_, to)| *to = now);
                if fault.what == FaultKind::Stall {
                    member.is_stalled = false;
                    let waits = std::mem::take(&mut member.pending_events);
                    waits.into_iter().for_each(|event| self.handle(event));
                    self.run_front(fault.front);
                } else if member.running.is_none() {
                    if fault.what == FaultKind::LoseDisk {
                        let identity = match self.mutation.reuses_disk_identity {
                            true => self.members[fault.front].disk.identity,
                            false => self.rng.random_range(1..u64::MAX),
                        };
                        self.members[fault.front].voter_state = None;
                        self.members[fault.front].disk.replace(identity);
                    }
                    self.start(fault.front);
                }
            }
        }
    }

    /// Announces to every front that the zone's engines have restarted now.
    pub(super) fn announce_restarts(&mut self, zone: usize) {
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
            if let Some(running) = &mut self.members[n].running {
                running.dispatcher.update_engines(ListScope::Changes, &list);
            }
            self.run_front(n);
        }
    }
}
