//! The settings and labels of a session while a unit or transaction changes them: what a commit
//! keeps, and what a rollback, also one to a savepoint, takes back.

use std::rc::Rc;

use super::Bounds;
use crate::prepared::SessionSettings;
use crate::sql::{Change, Label, SessionEffect};
use crate::unit::{UnitOutcome, UnitPart};

/// The settings and labels of a session at one time.
#[derive(Clone)]
struct SessionState {
    settings: Rc<SessionSettings>,
    label: Label,
}

struct Savepoint {
    name: String,
    state: SessionState,
}

/// The settings and labels of a session with an open transaction.
pub(super) struct TransactionState {
    /// As of the last commit.
    committed: SessionState,
    /// As the transaction's next statement finds them.
    current: SessionState,
    /// The open savepoints, in order.
    savepoints: Vec<Savepoint>,
}

impl TransactionState {
    /// The state of a transaction that begins with these settings and labels.
    pub(super) fn new(settings: Rc<SessionSettings>, label: Label) -> TransactionState {
        let committed = SessionState { settings, label };
        TransactionState {
            current: committed.clone(),
            committed,
            savepoints: Vec::new(),
        }
    }

    /// The labels that apply to the transaction's next statement.
    pub(super) fn label(&self) -> &Label {
        &self.current.label
    }

    /// The labels that apply to the transaction's next statement, to be changed.
    pub(super) fn label_mut(&mut self) -> &mut Label {
        &mut self.current.label
    }

    /// The settings as of the last commit.
    pub(super) fn committed_settings(&self) -> Rc<SessionSettings> {
        self.committed.settings.clone()
    }

    /// The labels as of the last commit.
    pub(super) fn committed_label(&self) -> Label {
        self.committed.label.clone()
    }

    /// Applies the statements that a unit has completed at its engine, in order.
    pub(super) fn apply_unit(
        &mut self,
        parts: &[Rc<UnitPart>],
        outcome: &UnitOutcome,
        bounds: &Bounds,
    ) {
        let has_failed = outcome.error.is_some();
        let mut earlier_statements = 0;
        for part in parts {
            for effect in &part.effects {
                let statement = earlier_statements + effect.statement;
                if has_failed && statement > outcome.completed {
                    return;
                }
                let is_rolled_back = outcome.rolled_back.binary_search(&statement).is_ok();
                self.apply(&effect.effect, is_rolled_back, bounds);
            }
            earlier_statements += part.statements;
        }
    }

    /// Applies an effect. `is_rolled_back`: its statement was answered with ROLLBACK.
    fn apply(&mut self, effect: &SessionEffect, is_rolled_back: bool, bounds: &Bounds) {
        match effect {
            SessionEffect::Setting(change) => self.change_setting(change, bounds),
            SessionEffect::Label(change) => {
                _ = self.current.label.set(&change.name, &change.value);
            }
            SessionEffect::Commit if !is_rolled_back => self.commit(),
            SessionEffect::Commit | SessionEffect::Rollback => self.roll_back(),
            SessionEffect::Savepoint(name) => self.savepoints.push(Savepoint {
                name: name.clone(),
                state: self.current.clone(),
            }),
            SessionEffect::RollbackToSavepoint(name) => self.roll_back_to(name),
            SessionEffect::ReleaseSavepoint(name) => {
                if let Some(at) = self.last_savepoint(name) {
                    self.savepoints.truncate(at);
                }
            }
        }
    }

    fn change_setting(&mut self, change: &Change, bounds: &Bounds) {
        let settings = Rc::make_mut(&mut self.current.settings);
        settings.apply(change);
        // The number of settings kept is bounded, so that a session can't grow without limit.
        while settings.0.len() > bounds.settings {
            settings.0.pop_last();
        }
    }

    /// Keeps the changes so far, as the transaction commits.
    pub(super) fn commit(&mut self) {
        self.committed = self.current.clone();
        self.savepoints.clear();
    }

    fn roll_back(&mut self) {
        self.current = self.committed.clone();
        self.savepoints.clear();
    }

    /// Takes back the changes since the last savepoint of this name, which stays open.
    fn roll_back_to(&mut self, name: &str) {
        let Some(at) = self.last_savepoint(name) else {
            return;
        };
        self.current = self.savepoints[at].state.clone();
        self.savepoints.truncate(at + 1);
    }

    fn last_savepoint(&self, name: &str) -> Option<usize> {
        self.savepoints
            .iter()
            .rposition(|savepoint| savepoint.name == name)
    }
}
