//! A front's part in the ledger: its own asks, the copies that it keeps, and what goes between them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::asks::PendingAsks;
use crate::away::Away;
use crate::bootstrap::Bootstrap;
use crate::formats::OLDEST_FORMAT;
use crate::long_message::Pace;
use crate::members::{Configuration, ReplicaId};
use crate::messages::{fingerprint, LedgerMessage};
use crate::peer::Peer;
use crate::placement::ranked;
use crate::records::{self, Meta};
use crate::rejection::Rejection;
use crate::replica::Replica;
use crate::shard_view::ShardView;
use crate::transport::Transport;
use crate::{Counters, Done, Error, FrontId, Micros, Moment, Output, Record, Saved, Setup};

pub(crate) const TICK: Micros = 50_000; // microseconds between turns of the logs' clocks

/// What a front that is shutting down has done to transfer its shards.
pub(crate) struct Shutdown {
    pub retry_at: Micros,
    pub attempts: usize,
}

/// A front's part in the ledger: its own asks, and the replicas that it holds.
pub struct Ledger {
    pub(crate) setup: Setup,
    pub(crate) own: ReplicaId,
    pub(crate) shards: Vec<ShardView>,
    pub(crate) peers: BTreeMap<FrontId, Peer>,
    pub(crate) away: Away,
    pub(crate) shutdown: Option<Shutdown>,
    /// Others that are to end, in which of their lives.
    pub(crate) shutting_down: BTreeMap<FrontId, u64>,
    /// When this front may next leave a shard to the one that is to own it.
    pub(crate) yield_at: Micros,
    pub(crate) asks: PendingAsks,
    pub(crate) transport: Transport,
    /// What must be lasting before anything more is told, beside the logs.
    pub(crate) records: Vec<Record>,
    pub(crate) next_save: u64,
    pub(crate) unsaved: VecDeque<(u64, Vec<Done>)>,
    pub(crate) done: Vec<Done>,
    pub(crate) out: Output,
    pub(crate) tick_at: Micros,
    pub(crate) maintain_at: Micros,
    /// Shards in which something may have happened.
    pub(crate) touched: BTreeSet<u16>,
    pub(crate) counters: Counters,
    /// The latest format of what is kept, and the format in which more is proposed.
    pub(crate) latest_saved_format: u8,
    pub(crate) format: u8,
}

impl Ledger {
    /// `saved` is what an earlier life on the same disk gave out to be kept; None only where there was none.
    pub fn new(at: Moment, setup: Setup, saved: Option<Saved>) -> Result<Ledger, Error> {
        setup.check()?;
        let fleet = fingerprint(&setup.fleet, setup.shards);
        let own = ReplicaId {
            front: setup.own,
            disk: setup.disk,
        };
        let none = Ok((OLDEST_FORMAT, BTreeMap::new()));
        let (latest_saved_format, kept) = saved
            .as_ref()
            .map_or(none, |saved| records::read(&setup, fleet, saved))?;
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
            asks: PendingAsks::default(),
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
            latest_saved_format,
            format: OLDEST_FORMAT,
            setup,
        };
        if kept.is_empty() {
            ledger
                .records
                .push(records::header(OLDEST_FORMAT, fleet, own.disk));
        }
        ledger.place_initially(at.steady);
        for (shard, kept) in kept {
            ledger.reopen(shard, kept)?;
        }
        ledger.start_bootstraps();
        ledger.settle(at);
        Ok(ledger)
    }

    /// Goes on with a shard from what was kept of it.
    fn reopen(&mut self, shard: u16, kept: records::SavedShard) -> Result<(), Error> {
        let own = self.own;
        let view = self
            .shards
            .get_mut(usize::from(shard))
            .ok_or(Error::Fleet)?;
        view.bootstrap = (!kept.bootstrap.is_empty()).then(|| Bootstrap::new(kept.bootstrap));
        let Some(Meta {
            config,
            members,
            is_member,
            ..
        }) = kept.meta
        else {
            return Ok(());
        };
        view.bootstrap = None;
        view.barred = config;
        let configuration = Configuration { config, members };
        if is_member {
            let preferred = view.preferred_among(&configuration.members) == Some(own.front);
            let replica = Replica::open(shard, &configuration, own, preferred, kept.log_state);
            let damaged = || Error::Damaged {
                record: format!("members of shard {shard}"),
            };
            view.replica = Some(replica.ok_or_else(damaged)?);
        }
        view.known = Some(configuration);
        Ok(())
    }

    /// Does what is due.
    pub fn tick(&mut self, at: Moment) {
        let (again, ended) = self.asks.due_now(at);
        self.out.done.extend(
            ended
                .into_iter()
                .map(|(number, outcome)| Done { number, outcome }),
        );
        again
            .into_iter()
            .for_each(|number| self.send_ask(at, number));
        if self.tick_at <= at.steady {
            // One that stood still does not catch up: the logs' clocks count turns they had.
            self.tick_at = at.steady + TICK;
            for (shard, view) in (0..).zip(&mut self.shards) {
                if let Some(replica) = &mut view.replica {
                    let config = replica.config;
                    for to in replica
                        .tick()
                        .into_iter()
                        .filter(|to| *to != self.own.front)
                    {
                        self.transport.send(
                            at,
                            to,
                            &LedgerMessage::Resync { shard, config },
                            Pace::Fast,
                        );
                    }
                    self.touched.insert(shard);
                }
            }
            self.maintain(at);
        }
        self.transfer_leadership(at);
        self.settle(at);
    }

    /// When `tick` is next due, on the steady clock.
    pub fn due(&self) -> Micros {
        let keeps = self
            .shards
            .iter()
            .any(|view| view.replica.is_some() || view.bootstrap.is_some());
        let tick = if keeps { self.tick_at } else { Micros::MAX };
        tick.min(self.asks.due())
            .min(self.transport.due())
            .min(self.transfer_due())
    }

    /// What is to be done for it since it was last asked. What `packets` holds may leave at once.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    pub(crate) fn reject(&mut self, why: Rejection) {
        *self.counters.refused.entry(why.label()).or_default() += 1;
    }
}
