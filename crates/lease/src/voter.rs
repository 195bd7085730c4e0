//! A voter: keeps the log of leases with the others through OmniPaxos, and grants leases where it leads. The
//! log alone says who owns what; time only keeps a leader from proposing a new owner before the one before
//! has surely stopped.

use std::collections::BTreeMap;

use hallmux_replica::{Order, Store};
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};

use crate::disk::{Disk, Spoilt};
use crate::leases::{Change, Leases};
use crate::{Answer, Ask, FrontId, Letter, Micros, Task, Terms, Word};

const TICK: Micros = 50_000; // microseconds between ticks of the log's clock
/// 300 ms without word of a leader: some round trips and a stall of a busy machine.
const ELECTION_TICKS: u64 = 6;
const RESEND_TICKS: u64 = 4; // 200 ms until a message counts as lost
/// Decided entries until the log is folded: a follower far behind gets it whole.
const FOLDED_AFTER: usize = 16;
const MOST_PROGRESS: usize = 256; // bytes of progress that go with a lease
const MOST_WAITING: usize = 64; // questions that wait for the log at once

/// A question that waits until the log has decided on it.
struct Waiting {
    asker: FrontId,
    ask: Ask,
    ends: Micros,
}

/// What is to be done for it, in order: what to save, and what to send once that is safe.
#[derive(Default)]
pub struct Out {
    /// Must be lasting before any of the letters leaves; the letters of an earlier call too.
    pub save: Option<Vec<u8>>,
    pub letters: Vec<(FrontId, Letter)>,
}

pub struct Voter {
    fleet: u64,
    own: FrontId,
    /// All voters in order: the place of each, counted from 1, is its number in the log.
    voters: Vec<FrontId>,
    terms: Terms,
    log: OmniPaxos<Change, Store<Change>>,
    disk: Disk,
    /// What comes out of order counts as lost.
    order: Order,
    leases: Leases,
    applied: usize,
    /// When each lease was last confirmed, on this clock.
    confirmed: BTreeMap<Task, Micros>,
    /// Since when this voter leads.
    leads: Option<Micros>,
    started: Micros,
    tick_at: Micros,
    waiting: Vec<Waiting>,
    letters: Vec<(FrontId, Letter)>,
}

impl Voter {
    /// `saved` is what an earlier life gave out to be saved last; None only where there was none.
    pub fn new(
        now: Micros,
        fleet: u64,
        own: FrontId,
        voters: &[FrontId],
        terms: Terms,
        saved: Option<&[u8]>,
    ) -> Result<Voter, Spoilt> {
        let mut voters = voters.to_vec();
        voters.sort_unstable();
        voters.dedup();
        let mut disk = match saved {
            Some(saved) => Disk::read(fleet, saved)?,
            None => Disk::new(fleet),
        };
        disk.begins();
        let number = |front: FrontId| voters.iter().position(|v| *v == front).map(|n| n as u64 + 1);
        let cluster_config = ClusterConfig {
            configuration_id: 1,
            nodes: (1..=voters.len() as u64).collect(),
            ..ClusterConfig::default()
        };
        let server_config = ServerConfig {
            pid: number(own).ok_or(Spoilt::Voters)?,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            ..ServerConfig::default()
        };
        let log = OmniPaxosConfig { cluster_config, server_config }
            .build(disk.store.clone())
            .map_err(|_| Spoilt::Voters)?;
        let mut voter = Voter {
            fleet,
            own,
            voters,
            terms,
            log,
            disk,
            order: Order::default(),
            leases: Leases::default(),
            applied: 0,
            confirmed: BTreeMap::new(),
            leads: None,
            started: now,
            tick_at: now,
            waiting: Vec::new(),
            letters: Vec::new(),
        };
        voter.apply(now);
        Ok(voter)
    }

    /// What the log says of the leases, as far as it is decided here.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Whether it leads now.
    pub fn leads(&self) -> bool {
        self.leads.is_some()
    }

    /// How many entries of the log are decided, as far as this voter knows.
    pub fn decided(&self) -> usize {
        self.applied
    }

    /// When `tick` is next due.
    pub fn due(&self) -> Micros {
        self.tick_at
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) -> Out {
        if self.tick_at <= now {
            // A voter that stood still does not catch up: the log's clock counts turns it had.
            self.tick_at = now + TICK;
            self.log.tick();
        }
        self.settle(now)
    }

    /// A letter has come from a front whose signature holds; what is not for this fleet or no voter's says
    /// nothing.
    pub fn heard(&mut self, now: Micros, from: FrontId, letter: Letter) -> Out {
        if letter.fleet != self.fleet {
            return Out::default();
        }
        match letter.word {
            Word::Log { life, number, message } if self.is_from(&message, from) => {
                if self.order.takes(from, life, number) {
                    self.log.handle_incoming(*message);
                }
            }
            Word::Ask(ask) => self.asked(now, from, ask),
            Word::Log { .. } | Word::Unnumbered(_) | Word::Answer(_) => {}
        }
        self.settle(now)
    }

    /// Whether a message of the log is its sender's own, and for this voter: its numbers are used as places.
    fn is_from(&self, message: &Message<Change>, from: FrontId) -> bool {
        let voter = |number: u64| number.checked_sub(1).and_then(|n| self.voters.get(n as usize)).copied();
        voter(message.get_sender()) == Some(from) && voter(message.get_receiver()) == Some(self.own)
    }

    fn asked(&mut self, now: Micros, asker: FrontId, ask: Ask) {
        let number = ask.number;
        let Some(leader) = self.leader() else { return };
        if leader != self.own {
            return self.answers(asker, Answer::Elsewhere { number, leader });
        }
        if self.leads.is_none() || ask.progress.len() > MOST_PROGRESS || self.waiting.len() >= MOST_WAITING {
            return; // asked again, it may be ready
        }
        let lease = self.leases.of(ask.task);
        let change = match (ask.token, lease) {
            (Some(token), Some(lease)) if lease.token == token && lease.owner == asker => {
                Change::Keep { task: ask.task, token, number, progress: ask.progress.clone() }
            }
            (Some(_), _) => return self.answers(asker, Answer::NotYours { number }),
            (None, lease) if self.is_free(now, ask.task) => {
                let after = lease.map_or(0, |lease| lease.token);
                Change::Grant { task: ask.task, after, owner: asker, number }
            }
            (None, _) => return self.answers(asker, Answer::NotYours { number }),
        };
        if self.log.append(change).is_ok() {
            self.waiting.push(Waiting { asker, ask, ends: now + self.terms.length });
        }
    }

    /// Whether whoever had the lease last has surely stopped, whichever voter confirmed it and whenever: a
    /// leader counts from when it began to lead, and from when it learned of each confirmation.
    fn is_free(&self, now: Micros, task: Task) -> bool {
        let rested = |since: Micros| now >= since + self.terms.rests_for();
        let since_leading = self.leads.is_some_and(rested);
        since_leading && self.confirmed.get(&task).is_none_or(|at| rested(*at)) && rested(self.started)
    }

    fn leader(&self) -> Option<FrontId> {
        let (number, _) = self.log.get_current_leader()?;
        number.checked_sub(1).and_then(|n| self.voters.get(n as usize)).copied()
    }

    fn answers(&mut self, to: FrontId, answer: Answer) {
        self.letters.push((to, Letter { fleet: self.fleet, word: Word::Answer(answer) }));
    }

    /// Takes in what the log has decided, answers what waited for it, and gathers what is to go out.
    fn settle(&mut self, now: Micros) -> Out {
        self.apply(now);
        let leads =
            self.log.get_current_leader().is_some_and(|(_, ready)| ready) && self.leader() == Some(self.own);
        self.leads = if leads { self.leads.or(Some(now)) } else { None };
        let waiting = std::mem::take(&mut self.waiting);
        for w in waiting {
            let lease = self.leases.of(w.ask.task);
            let granted = lease.filter(|l| l.owner == w.asker && l.number == w.ask.number);
            match granted.map(|l| (l.token, l.progress.clone())) {
                Some((token, progress)) => {
                    self.answers(w.asker, Answer::Yours { number: w.ask.number, token, progress });
                }
                None if now < w.ends => self.waiting.push(w),
                None => {} // the log has not decided in time: nothing is promised
            }
        }
        let mut messages = Vec::new();
        self.log.take_outgoing_messages(&mut messages);
        for message in messages {
            let place = message.get_receiver().checked_sub(1).and_then(|n| self.voters.get(n as usize));
            if let Some(to) = place.copied().filter(|to| *to != self.own) {
                let (life, number) = (self.disk.life, self.order.number(&message));
                let word = Word::Log { life, number, message: Box::new(message) };
                self.letters.push((to, Letter { fleet: self.fleet, word }));
            }
        }
        Out { save: self.disk.unsaved(), letters: std::mem::take(&mut self.letters) }
    }

    fn apply(&mut self, now: Micros) {
        let decided = self.log.get_decided_idx();
        if decided <= self.applied {
            return;
        }
        for entry in self.log.read_decided_suffix(self.applied).unwrap_or_default() {
            match entry {
                LogEntry::Decided(change) => {
                    self.leases.apply(&change);
                    let (Change::Grant { task, .. } | Change::Keep { task, .. }) = change;
                    self.confirmed.insert(task, now);
                }
                LogEntry::Snapshotted(snapshotted) => {
                    self.leases = snapshotted.snapshot.leases();
                    let tasks: Vec<Task> = self.leases.all().map(|(task, _)| task).collect();
                    tasks.into_iter().for_each(|task| _ = self.confirmed.insert(task, now));
                }
                LogEntry::Undecided(_) | LogEntry::Trimmed(_) | LogEntry::StopSign(..) => {}
            }
        }
        self.applied = decided;
        if decided.saturating_sub(self.log.get_compacted_idx()) >= FOLDED_AFTER {
            // What can't be folded now is folded next time.
            let _ = self.log.snapshot(Some(decided), true);
        }
    }
}
