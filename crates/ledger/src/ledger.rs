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
    pub(crate) local: ReplicaId,
    pub(crate) shards: Vec<ShardView>,
    pub(crate) peers: BTreeMap<FrontId, Peer>,
    pub(crate) away: Away,
    pub(crate) shutdown: Option<Shutdown>,
    /// Other fronts that have announced a shutdown, with the incarnation that announced it.
    pub(crate) shutting_down: BTreeMap<FrontId, u64>,
    /// When this front may next yield a shard to its preferred leader.
    pub(crate) next_yield: Micros,
    pub(crate) pending: PendingRequests,
    pub(crate) transport: Transport,
    /// Records, in addition to the logs, that must be durable before anything more is sent.
    pub(crate) records: Vec<Record>,
    pub(crate) next_save: u64,
    /// Answers that wait for a save, ordered by the number of the save.
    pub(crate) unsaved_answers: VecDeque<UnsavedAnswers>,
    pub(crate) pending_answers: Vec<LedgerAnswer>,
    pub(crate) output: Output,
    pub(crate) next_tick: Micros,
    pub(crate) next_maintenance: Micros,
    /// Shards that may have changed since they were last processed.
    pub(crate) changed_shards: BTreeSet<u16>,
    pub(crate) counters: Counters,
    /// The latest format of any saved record.
    pub(crate) latest_saved_format: u8,
    /// The format in which batches are proposed.
    pub(crate) proposal_format: u8,
}

impl Ledger {
    /// Creates the node. `saved` is what an earlier incarnation on the same disk saved; None only
    /// if it saved nothing. Fails if the setup or the saved records can't be used.
    pub fn new(at: ClockReading, setup: Setup, saved: Option<Saved>) -> Result<Ledger, Error> {
        setup.check()?;
        let fleet = fingerprint(&setup.fleet, setup.shards);
        let local = ReplicaId {
            front: setup.local_front,
            disk: setup.disk,
        };
        let saved = match &saved {
            Some(saved) => records::read(&setup, fleet, saved)?,
            None => SavedShards::empty(),
        };
        let new_view = |shard| ShardView {
            ranked: ranked(&setup.members, shard),
            ..ShardView::default()
        };
        let mut ledger = Ledger {
            local,
            shards: (0..setup.shards).map(new_view).collect(),
            peers: BTreeMap::new(),
            away: Away::default(),
            shutdown: None,
            shutting_down: BTreeMap::new(),
            next_yield: at.steady,
            pending: PendingRequests::default(),
            transport: Transport::new(&setup, fleet),
            records: Vec::new(),
            next_save: 1,
            unsaved_answers: VecDeque::new(),
            pending_answers: Vec::new(),
            output: Output::default(),
            next_tick: at.steady,
            next_maintenance: at.steady,
            changed_shards: BTreeSet::new(),
            counters: Counters::default(),
            latest_saved_format: saved.format,
            proposal_format: OLDEST_FORMAT,
            setup,
        };
        if saved.shards.is_empty() {
            ledger
                .records
                .push(records::header(OLDEST_FORMAT, fleet, local.disk));
        }
        ledger.place_initially(at.steady);
        for (shard, saved) in saved.shards {
            ledger.reopen(shard, saved)?;
        }
        ledger.start_bootstraps();
        ledger.process_changes(at);
        Ok(ledger)
    }

    /// Restores a shard from its saved records.
    fn reopen(&mut self, shard: u16, saved: SavedShard) -> Result<(), Error> {
        let local = self.local;
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
        view.barred_config = config;
        let configuration = Configuration { config, members };
        if is_member {
            let preferred = view.preferred_among(&configuration.members) == Some(local.front);
            let replica = Replica::open(shard, &configuration, local, preferred, saved.log_state);
            let damaged = || Error::Damaged {
                record: format!("members of shard {shard}"),
            };
            view.replica = Some(replica.ok_or_else(damaged)?);
        }
        view.latest_configuration = Some(configuration);
        Ok(())
    }

    /// Runs everything that is due: timeouts and retries of requests, the clocks of the logs,
    /// maintenance and leader transfer.
    pub fn tick(&mut self, at: ClockReading) {
        let due = self.pending.take_due(at);
        let unreachable = due.expired.into_iter().map(|number| LedgerAnswer {
            number,
            outcome: Outcome::Unreachable,
        });
        self.output.answers.extend(unreachable);
        for number in due.retry {
            self.send_request(at, number);
        }
        if self.next_tick <= at.steady {
            // After a stall, missed ticks are not made up for: the logs' clocks count only ticks
            // that ran.
            self.next_tick = at.steady + TICK;
            self.tick_logs(at);
            self.maintain(at);
        }
        self.transfer_leadership(at);
        self.process_changes(at);
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
            let local = self.local.front;
            for to in replica.tick().into_iter().filter(|to| *to != local) {
                self.transport.send(at, to, &message, Pace::Fast);
            }
            self.changed_shards.insert(shard);
        }
    }

    /// When `tick` is next due, on the monotonic clock; [`Micros::MAX`] if never.
    pub fn due(&self) -> Micros {
        let has_shards = self
            .shards
            .iter()
            .any(|view| view.replica.is_some() || view.bootstrap.is_some());
        let tick = if has_shards {
            self.next_tick
        } else {
            Micros::MAX
        };
        tick.min(self.pending.due())
            .min(self.transport.due())
            .min(self.transfer_due())
    }

    /// Removes and returns the messages, saves and answers since the last call.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    pub(crate) fn reject(&mut self, reason: Rejection) {
        *self.counters.rejected.entry(reason.label()).or_default() += 1;
    }
}
