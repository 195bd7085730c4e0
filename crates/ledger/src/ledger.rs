//! A front's part in the ledger: its own requests, the replicas that it holds, and the messages
//! between them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::away::Away;
use crate::bootstrap::Bootstrap;
use crate::formats::OLDEST_FORMAT;
use crate::long_message::Pace;
use crate::members::{Configuration, ReplicaId};
use crate::messages::{fingerprint, LedgerMessage};
use crate::peer::Peer;
use crate::pending_requests::PendingRequests;
use crate::placement::ranked;
use crate::records::{self, Meta, SavedShard, SavedShards};
use crate::rejection::Rejection;
use crate::replica::Replica;
use crate::shard_view::ShardView;
use crate::transport::Transport;
use crate::{
    ClockReading, Counters, Error, FrontId, LedgerAnswer, Micros, Outcome, Output, Record, Saved,
    Setup,
};

pub(crate) const TICK: Micros = 50_000; // microseconds between turns of the logs' clocks

/// What a front that is shutting down has done to transfer its shards.
pub(crate) struct Shutdown {
    pub retry_at: Micros,
    pub attempts: usize,
}

/// Answers that are given once a save is durable.
pub(crate) struct UnsavedAnswers {
    /// Of the save.
    pub number: u64,
    pub answers: Vec<LedgerAnswer>,
}

/// A front's part in the ledger: its own requests, and the replicas that it holds.
pub struct Ledger {
    pub(crate) setup: Setup,
    pub(crate) own: ReplicaId,
    pub(crate) shards: Vec<ShardView>,
    pub(crate) peers: BTreeMap<FrontId, Peer>,
    pub(crate) away: Away,
    pub(crate) shutdown: Option<Shutdown>,
    /// Others that are to end, with their incarnations.
    pub(crate) shutting_down: BTreeMap<FrontId, u64>,
    /// When this front may next leave a shard to the one that is to own it.
    pub(crate) yield_at: Micros,
    pub(crate) pending: PendingRequests,
    pub(crate) transport: Transport,
    /// What must be durable before anything more is sent, beside the logs.
    pub(crate) records: Vec<Record>,
    pub(crate) next_save: u64,
    /// Answers that wait for a save, in order of its number.
    pub(crate) unsaved: VecDeque<UnsavedAnswers>,
    pub(crate) done: Vec<LedgerAnswer>,
    pub(crate) out: Output,
    pub(crate) tick_at: Micros,
    pub(crate) maintain_at: Micros,
    /// Shards in which something may have happened.
    pub(crate) touched: BTreeSet<u16>,
    pub(crate) counters: Counters,
    /// The latest format of any saved record.
    pub(crate) latest_saved_format: u8,
    /// The format in which batches are proposed.
    pub(crate) format: u8,
}

impl Ledger {
    /// `saved` is what an earlier incarnation on the same disk gave out to be saved; None only
    /// where there was none.
    pub fn new(at: ClockReading, setup: Setup, saved: Option<Saved>) -> Result<Ledger, Error> {
        setup.check()?;
        let fleet = fingerprint(&setup.fleet, setup.shards);
        let own = ReplicaId {
            front: setup.local_front,
            disk: setup.disk,
        };
        let saved = match &saved {
            Some(saved) => records::read(&setup, fleet, saved)?,
            None => SavedShards::none(),
        };
        let new_view = |shard| ShardView {
            ranked: ranked(&setup.members, shard),
            ..ShardView::default()
        };
        let mut ledger = Ledger {
            own,
            shards: (0..setup.shards).map(new_view).collect(),
            peers: BTreeMap::new(),
            away: Away::default(),
            shutdown: None,
            shutting_down: BTreeMap::new(),
            yield_at: at.steady,
            pending: PendingRequests::default(),
            transport: Transport::new(&setup, fleet),
            records: Vec::new(),
            next_save: 1,
            unsaved: VecDeque::new(),
            done: Vec::new(),
            out: Output::default(),
            tick_at: at.steady,
            maintain_at: at.steady,
            touched: BTreeSet::new(),
            counters: Counters::default(),
            latest_saved_format: saved.format,
            format: OLDEST_FORMAT,
            setup,
        };
        if saved.shards.is_empty() {
            ledger
                .records
                .push(records::header(OLDEST_FORMAT, fleet, own.disk));
        }
        ledger.place_initially(at.steady);
        for (shard, saved) in saved.shards {
            ledger.reopen(shard, saved)?;
        }
        ledger.start_bootstraps();
        ledger.settle(at);
        Ok(ledger)
    }

    /// Goes on with a shard from what was saved of it.
    fn reopen(&mut self, shard: u16, saved: SavedShard) -> Result<(), Error> {
        let own = self.own;
        let view = self
            .shards
            .get_mut(usize::from(shard))
            .ok_or(Error::Fleet)?;
        view.bootstrap = (!saved.bootstrap.is_empty()).then(|| Bootstrap::new(saved.bootstrap));
        let Some(Meta {
            config,
            members,
            is_member,
            ..
        }) = saved.meta
        else {
            return Ok(());
        };
        view.bootstrap = None;
        view.barred = config;
        let configuration = Configuration { config, members };
        if is_member {
            let preferred = view.preferred_among(&configuration.members) == Some(own.front);
            let replica = Replica::open(shard, &configuration, own, preferred, saved.log_state);
            let damaged = || Error::Damaged {
                record: format!("members of shard {shard}"),
            };
            view.replica = Some(replica.ok_or_else(damaged)?);
        }
        view.known = Some(configuration);
        Ok(())
    }

    /// Does what is due.
    pub fn tick(&mut self, at: ClockReading) {
        let due = self.pending.due_now(at);
        let unreachable = due.expired.into_iter().map(|number| LedgerAnswer {
            number,
            outcome: Outcome::Unreachable,
        });
        self.out.answers.extend(unreachable);
        for number in due.retry {
            self.send_request(at, number);
        }
        if self.tick_at <= at.steady {
            // One that stood still does not catch up: the logs' clocks count turns they had.
            self.tick_at = at.steady + TICK;
            self.tick_logs(at);
            self.maintain(at);
        }
        self.transfer_leadership(at);
        self.settle(at);
    }

    /// One tick of the clock of each log; asks members to resync that may have missed messages.
    fn tick_logs(&mut self, at: ClockReading) {
        for (shard, view) in (0..).zip(&mut self.shards) {
            let Some(replica) = &mut view.replica else {
                continue;
            };
            let config = replica.config;
            let message = LedgerMessage::Resync { shard, config };
            let own = self.own.front;
            for to in replica.tick().into_iter().filter(|to| *to != own) {
                self.transport.send(at, to, &message, Pace::Fast);
            }
            self.touched.insert(shard);
        }
    }

    /// When `tick` is next due, on the steady clock.
    pub fn due(&self) -> Micros {
        let keeps = self
            .shards
            .iter()
            .any(|view| view.replica.is_some() || view.bootstrap.is_some());
        let tick = if keeps { self.tick_at } else { Micros::MAX };
        tick.min(self.pending.due())
            .min(self.transport.due())
            .min(self.transfer_due())
    }

    /// Takes what is to be sent, saved and answered since the last call.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    pub(crate) fn reject(&mut self, why: Rejection) {
        *self.counters.rejected.entry(why.label()).or_default() += 1;
    }
}
