//! A front's node of the ledger: its requests, the replicas that it holds, and the messages between
//! them.

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

/// Microseconds between ticks of the logs' clocks.
pub(crate) const TICK: Micros = 50_000;

/// The progress of a shutting-down front in handing over its shards.
pub(crate) struct Shutdown {
    pub retry_at: Micros,
    pub attempts: usize,
}

/// Answers that are withheld until a save is durable.
pub(crate) struct UnsavedAnswers {
    /// The number of the save.
    pub number: u64,
    pub answers: Vec<LedgerAnswer>,
}

/// A front's node of the ledger: its requests, and the replicas that it holds.
pub struct Ledger {
    pub(crate) setup: Setup,
    pub(crate) own: ReplicaId,
    pub(crate) shards: Vec<ShardView>,
    pub(crate) peers: BTreeMap<FrontId, Peer>,
    pub(crate) away: Away,
    pub(crate) shutdown: Option<Shutdown>,
    /// Other fronts that have announced a shutdown, with the incarnation that announced it.
    pub(crate) shutting_down: BTreeMap<FrontId, u64>,
    /// When this front may next yield a shard to its preferred leader.
    pub(crate) yield_at: Micros,
    pub(crate) pending: PendingRequests,
    pub(crate) transport: Transport,
    /// Records, in addition to the logs, that must be durable before anything more is sent.
    pub(crate) records: Vec<Record>,
    pub(crate) next_save: u64,
    /// Answers that wait for a save, ordered by the number of the save.
    pub(crate) unsaved: VecDeque<UnsavedAnswers>,
    pub(crate) done: Vec<LedgerAnswer>,
    pub(crate) out: Output,
    pub(crate) tick_at: Micros,
    pub(crate) maintain_at: Micros,
    /// Shards that may have changed since they were last processed.
    pub(crate) touched: BTreeSet<u16>,
    pub(crate) counters: Counters,
    /// The latest format of any saved record.
    pub(crate) latest_saved_format: u8,
    /// The format in which batches are proposed.
    pub(crate) format: u8,
}

impl Ledger {
    /// Creates the node. `saved` is what an earlier incarnation on the same disk saved; None only
    /// if it saved nothing. Fails if the setup or the saved records can't be used.
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

    /// Restores a shard from its saved records.
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

    /// Runs everything that is due: timeouts and retries of requests, the clocks of the logs,
    /// maintenance and leader transfer.
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
            // After a stall, missed ticks are not made up for: the logs' clocks count only ticks
            // that ran.
            self.tick_at = at.steady + TICK;
            self.tick_logs(at);
            self.maintain(at);
        }
        self.transfer_leadership(at);
        self.settle(at);
    }

    /// Advances the clock of each log by one tick, and asks members that may have missed messages
    /// to resync.
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

    /// When `tick` is next due, on the monotonic clock; [`Micros::MAX`] if never.
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

    /// Removes and returns the messages, saves and answers since the last call.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    pub(crate) fn reject(&mut self, why: Rejection) {
        *self.counters.rejected.entry(why.label()).or_default() += 1;
    }
}
