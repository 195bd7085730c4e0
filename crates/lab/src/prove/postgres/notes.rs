//! Records that the clients and the harness of `prove postgres` write during a run, shared by all
//! its threads.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

use crate::check::{Outcome, Repeat, StatementRecord, Transaction};
use crate::engine::Records;

/// The agreed statement timeout of all workloads, in microseconds.
pub(super) const TIMEOUT: i64 = 3_000_000;

/// The shared records and state of a run.
pub struct Notes {
    pub records: Arc<Records>,
    pub asked: Mutex<Vec<StatementRecord>>,
    pub transactions: Mutex<Vec<Transaction>>,
    /// Accepted statements: completed, or ended by an error.
    pub count: AtomicUsize,
    /// Whether clients shall stop.
    pub stop: AtomicBool,
    /// Whether all clients have ended.
    pub(super) done: AtomicBool,
    /// How often every fault was injected so far (that of the rarest), and how many drains ended.
    pub(super) rounds: AtomicUsize,
    pub(super) drains: AtomicUsize,
    next: AtomicU64,
}

impl Notes {
    /// Creates the records of a run that starts.
    pub(super) fn new(records: Arc<Records>) -> Notes {
        Notes {
            records,
            asked: Mutex::default(),
            transactions: Mutex::default(),
            count: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            done: AtomicBool::new(false),
            rounds: AtomicUsize::new(0),
            drains: AtomicUsize::new(0),
            next: AtomicU64::new(1),
        }
    }

    /// Returns an id that is unique in the run.
    pub fn id(&self) -> String {
        self.next.fetch_add(1, SeqCst).to_string()
    }

    /// Records a statement with its outcome.
    pub fn record(&self, asked: StatementRecord) {
        if matches!(asked.outcome, Outcome::Completed { .. } | Outcome::Error(_)) {
            self.count.fetch_add(1, SeqCst);
        }
        if let Ok(mut all) = self.asked.lock() {
            all.push(asked);
        }
    }

    /// Creates the record of a statement that is about to be sent.
    pub fn new_statement(&self, repeat: Repeat) -> StatementRecord {
        StatementRecord::new(self.id(), self.records.now(), TIMEOUT, repeat)
    }

    /// Whether clients shall stop.
    pub fn is_stopping(&self) -> bool {
        self.stop.load(SeqCst)
    }

    pub(super) fn done(&self) -> bool {
        self.done.load(SeqCst)
    }
}
