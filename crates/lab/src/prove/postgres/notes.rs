//! What the clients and the harness of `prove postgres` write down while a run goes on, shared by all its threads.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

use crate::check::{Outcome, Repeat, StatementRecord, Transaction};
use crate::engine::Records;

/// The agreed statement timeout of all workloads, in microseconds.
pub(super) const TIMEOUT: i64 = 3_000_000;

/// All that is written down of a run.
pub struct Notes {
    pub records: Arc<Records>,
    pub asked: Mutex<Vec<StatementRecord>>,
    pub transactions: Mutex<Vec<Transaction>>,
    /// Statements that were accepted: completed, or ended by an error of their own.
    pub count: AtomicUsize,
    /// Clients are to end.
    pub stop: AtomicBool,
    /// All clients have ended.
    pub(super) done: AtomicBool,
    /// How often each fault was played by now, and engines drained.
    pub(super) rounds: AtomicUsize,
    pub(super) drains: AtomicUsize,
    next: AtomicU64,
}

impl Notes {
    /// Notes of a run that begins.
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

    /// An id that no other statement of the run has.
    pub fn id(&self) -> String {
        self.next.fetch_add(1, SeqCst).to_string()
    }

    /// Writes down a statement with its outcome.
    pub fn record(&self, asked: StatementRecord) {
        if matches!(asked.outcome, Outcome::Completed { .. } | Outcome::Error(_)) {
            self.count.fetch_add(1, SeqCst);
        }
        if let Ok(mut all) = self.asked.lock() {
            all.push(asked);
        }
    }

    /// A statement that is about to be asked.
    pub fn new_statement(&self, repeat: Repeat) -> StatementRecord {
        StatementRecord::new(self.id(), self.records.now(), TIMEOUT, repeat)
    }

    /// Whether clients are to end.
    pub fn is_stopping(&self) -> bool {
        self.stop.load(SeqCst)
    }

    pub(super) fn done(&self) -> bool {
        self.done.load(SeqCst)
    }
}
