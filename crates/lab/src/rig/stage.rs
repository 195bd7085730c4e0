//! Starts and ends faults on the processes and links of a fleet.

use std::sync::atomic::Ordering::SeqCst;
use std::sync::Arc;

use nix::sys::signal::Signal;

use super::agreed::zone_name;
use super::death::DeathStep;
use super::member::{FleetConfig, Member, SOCKETS};
use super::relay::Link;
use super::scenario::{Fault, FaultKind};
use crate::engine::lines::Engine;
use crate::engine::{Armed, Records};

const STEP_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5); // how long a front may take to reach a step; generous, for fronts short of CPU

/// The records, links, fronts and engines that faults act on.
pub(super) struct Stage<'a> {
    pub(super) records: &'a Records,
    pub(super) links: &'a [Vec<Arc<Link>>],
    pub(super) members: &'a [Arc<Member>],
    pub(super) engines: &'a [Arc<Engine>],
    pub(super) config: &'a FleetConfig,
}

impl Stage<'_> {
    fn zone_links(&self, zone: usize) -> impl Iterator<Item = &Arc<Link>> {
        self.links.iter().flatten().filter(move |l| l.zone == zone)
    }

    /// The links of the fault's front into its zone.
    fn front_links(&self, fault: &Fault) -> impl Iterator<Item = &Arc<Link>> {
        let zone = fault.zone;
        self.links[fault.front]
            .iter()
            .filter(move |l| l.zone == zone)
    }

    fn set_datagram_faults(&self, change: impl FnOnce(&mut super::datagrams::DatagramFaults)) {
        if let Some((_, relay)) = &self.config.gossip {
            relay.set(change);
        }
    }

    /// If the fault names a step, waits until the front has died there and returns the time of
    /// death in microseconds.
    fn wait_for_death(&self, fault: &Fault, member: &Member) -> Option<i64> {
        let pid = member
            .front
            .lock()
            .ok()
            .and_then(|front| front.as_ref().map(|f| f.pid()));
        let (step, pid) = fault.step.zip(pid)?;
        let since = self.records.now();
        self.records.arm(Some(Armed {
            death: DeathStep::new(step, fault.front, fault.at_ms),
            pid,
        }));
        let until = std::time::Instant::now() + STEP_TIMEOUT;
        while self.records.is_armed() && std::time::Instant::now() < until {
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        self.records.arm(None);
        let steps = self.records.steps.lock().ok()?;
        steps
            .iter()
            .rfind(|(_, front, at)| *front == fault.front && *at >= since)
            .map(|(.., at)| *at)
    }

    /// Starts a fault.
    pub(super) fn begin(&self, fault: &Fault) {
        let member = &self.members[fault.front];
        match fault.what {
            FaultKind::ZoneLost => self.zone_links(fault.zone).for_each(|l| {
                l.set(|s| (s.out_lost, s.back_lost) = (true, true));
            }),
            FaultKind::LinkCut => self
                .front_links(fault)
                .for_each(|l| l.set(|s| (s.out_lost, s.back_lost) = (true, true))),
            FaultKind::LinkCutBack => self
                .front_links(fault)
                .for_each(|l| l.set(|s| s.back_lost = true)),
            FaultKind::ZoneSlow => self
                .zone_links(fault.zone)
                .for_each(|l| l.set(|s| s.delay_ms = fault.delay_ms)),
            FaultKind::ZoneReset => self.zone_links(fault.zone).for_each(|l| l.reset()),
            FaultKind::FrontsSplit => self.set_datagram_faults(|s| s.split = Some(fault.split())),
            FaultKind::FrontsSplitOut => {
                self.set_datagram_faults(|s| s.split = Some(fault.split()))
            }
            FaultKind::PostLossy => self.set_datagram_faults(|s| s.lost_percent = fault.percent),
            FaultKind::PostDoubled => {
                self.set_datagram_faults(|s| s.duplicate_after_ms = Some(fault.delay_ms))
            }
            FaultKind::PostSlow => self.set_datagram_faults(|s| s.delay_ms = fault.delay_ms),
            FaultKind::PostShuffled => {
                self.set_datagram_faults(|s| s.max_jitter_ms = fault.delay_ms)
            }
            FaultKind::Hup => {
                if let Ok(front) = member.front.lock() {
                    front.iter().for_each(|f| f.reload_config(2 * SOCKETS));
                }
            }
            FaultKind::StallOwner | FaultKind::KillOwner => {} // resolved to Stall or Kill before the fault starts
            FaultKind::Release => self.released_members(fault).for_each(|member| {
                member.mark_unavailable(self.records.now());
                member.signal(Signal::SIGKILL);
            }),
            FaultKind::DiskFull => self.config.set_disk_fault(fault.front, "full"),
            FaultKind::DiskSlow => self
                .config
                .set_disk_fault(fault.front, &format!("slow {}", fault.delay_ms)),
            FaultKind::Term => {
                member.record_shutdown_request(self.records.now());
                member.unavailable.store(true, SeqCst);
                member.signal(Signal::SIGTERM);
            }
            FaultKind::Stall | FaultKind::Kill | FaultKind::LoseDisk => {
                let died = self.wait_for_death(fault, member);
                // Statements in flight are lost from the time of death, even if it is noticed
                // later.
                member.mark_unavailable(died.unwrap_or_else(|| self.records.now()));
                member.signal(if fault.what == FaultKind::Stall {
                    Signal::SIGSTOP
                } else {
                    Signal::SIGKILL
                });
            }
        }
    }

    fn released_members(&self, fault: &Fault) -> impl Iterator<Item = &Arc<Member>> {
        self.members
            .iter()
            .take(fault.released_count(self.members.len()))
    }

    /// Restarts all released fronts concurrently, to provoke a thundering herd.
    fn restart_released(&self, fault: &Fault) -> Result<Vec<u32>, String> {
        std::thread::scope(|scope| {
            let start = |member: &'_ Arc<Member>| {
                let member = member.clone();
                scope.spawn(move || {
                    let old = member.front.lock().map(|mut f| f.take());
                    old.ok()
                        .flatten()
                        .into_iter()
                        .for_each(|mut old| _ = old.wait_for_exit());
                    let pid = member.start(self.config)?;
                    member.mark_available(self.records.now());
                    Ok(pid)
                })
            };
            let started: Vec<_> = self.released_members(fault).map(start).collect();
            let failed = |_| Err("restarting a front panicked".to_string());
            started
                .into_iter()
                .map(|start| start.join().unwrap_or_else(failed))
                .collect()
        })
    }

    /// Whether the front of a `Term` fault has yet to exit.
    pub(super) fn is_shutting_down(&self, fault: &Fault) -> bool {
        let member = &self.members[fault.front];
        let is_running = || {
            member
                .front
                .lock()
                .is_ok_and(|mut front| front.as_mut().is_some_and(|f| f.is_up()))
        };
        fault.what == FaultKind::Term
            && self.records.now() < member.shutdown_deadline()
            && is_running()
    }

    /// Ends a fault and returns the process ids of the fronts that it restarted.
    pub(super) fn end(&self, fault: &Fault) -> Result<Vec<u32>, String> {
        let member = &self.members[fault.front];
        let mark_available = || member.mark_available(self.records.now());
        match fault.what {
            FaultKind::ZoneLost => {
                // The zone returns cold; the coordinator announces the restart only if the fault
                // says so.
                let zone_engines = self
                    .engines
                    .iter()
                    .filter(|e| self.links[0][e.number].zone == fault.zone);
                zone_engines.for_each(|e| e.restart());
                if fault.told {
                    self.announce_restarts(fault.zone);
                }
                self.zone_links(fault.zone).for_each(|l| l.reset());
                self.zone_links(fault.zone)
                    .for_each(|l| l.set(|s| (s.out_lost, s.back_lost) = (false, false)));
            }
            FaultKind::LinkCut | FaultKind::LinkCutBack => {
                self.front_links(fault).for_each(|l| l.reset());
                self.front_links(fault)
                    .for_each(|l| l.set(|s| (s.out_lost, s.back_lost) = (false, false)));
            }
            FaultKind::ZoneSlow => self
                .zone_links(fault.zone)
                .for_each(|l| l.set(|s| s.delay_ms = 0)),
            FaultKind::ZoneReset
            | FaultKind::Hup
            | FaultKind::StallOwner
            | FaultKind::KillOwner => {}
            FaultKind::FrontsSplit | FaultKind::FrontsSplitOut => {
                self.set_datagram_faults(|s| s.split = None)
            }
            FaultKind::PostLossy => self.set_datagram_faults(|s| s.lost_percent = 0),
            FaultKind::PostDoubled => self.set_datagram_faults(|s| s.duplicate_after_ms = None),
            FaultKind::PostSlow => self.set_datagram_faults(|s| s.delay_ms = 0),
            FaultKind::PostShuffled => self.set_datagram_faults(|s| s.max_jitter_ms = 0),
            FaultKind::Stall => {
                if let Ok(front) = member.front.lock() {
                    front.iter().for_each(|f| f.signal(Signal::SIGCONT));
                }
                mark_available();
            }
            FaultKind::DiskSlow => self.config.set_disk_fault(fault.front, ""),
            FaultKind::Release => return self.restart_released(fault),
            FaultKind::Kill | FaultKind::Term | FaultKind::LoseDisk | FaultKind::DiskFull => {
                if fault.what == FaultKind::DiskFull {
                    self.config.set_disk_fault(fault.front, "");
                    self.begin(&Fault {
                        what: FaultKind::Kill,
                        step: None,
                        ..fault.clone()
                    });
                }
                let front = member.front.lock().map(|mut f| f.take());
                if let Ok(Some(mut old)) = front {
                    let succeeded = old.wait_for_exit().is_some_and(|(succeeded, _)| succeeded);
                    member.record_exit(self.records.now(), succeeded);
                }
                if fault.what == FaultKind::LoseDisk {
                    self.config.remove_ledger(member.number);
                }
                let pid = member.start(self.config)?;
                mark_available();
                return Ok(vec![pid]);
            }
        }
        Ok(Vec::new())
    }

    /// Announces to every front that the engines of the zone have restarted now.
    fn announce_restarts(&self, zone: usize) {
        let wall_ms = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| d.as_millis());
        let name = zone_name(zone);
        for (front_links, member) in self.links.iter().zip(self.members) {
            let zone_links = front_links.iter().filter(|l| l.zone == zone);
            let list: Vec<_> = zone_links
                .map(|l| {
                    (
                        format!("e{}", l.engine),
                        l.address,
                        "lines",
                        "up",
                        name.as_str(),
                    )
                })
                .collect();
            member.coordinator.announce_restarts(&list, wall_ms as f64);
        }
    }
}
