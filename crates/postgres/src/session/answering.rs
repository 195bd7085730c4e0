//! Answers that the front gives itself, and the effects of a unit's outcome on the session.

use std::rc::Rc;

use super::transaction_state::TransactionState;
use super::{Bounds, Session, Transaction};
use crate::client_error::ClientError;
use crate::prepared::{Catalogue, Prepared};
use crate::sql::{self, LocalCommand, Scan};
use crate::unit::{Operation, UnitOutcome, UnitPart};
use crate::wire;

/// A unit that the front answers itself.
struct LocalUnit<'a> {
    part: &'a UnitPart,
    /// Whether the session's transaction was lost when the unit started.
    transaction_was_lost: bool,
    /// The statement of the unit's last Bind.
    bound: Option<Rc<Prepared>>,
}

/// An error was written to the client; the rest of the unit is skipped.
struct UnitFailed;

impl Session {
    /// Writes the answer of a unit that needs no engine to `out`. False if the unit needs one; then
    /// nothing is written.
    pub fn answer_locally(
        &mut self,
        part: &UnitPart,
        catalogue: &mut Catalogue,
        out: &mut Vec<u8>,
    ) -> bool {
        if !self.needs_no_engine(part) {
            return false;
        }
        let mut unit = LocalUnit {
            part,
            transaction_was_lost: self.transaction == Transaction::Lost,
            bound: None,
        };
        let mut is_query = false;
        let mut failed = false;
        for operation in &part.ops {
            is_query |= matches!(operation, Operation::Query(_));
            let answered = self.answer_operation(operation, &mut unit, catalogue, out);
            if answered.is_err() {
                // Like an engine, the front skips everything up to the Sync.
                failed = true;
                break;
            }
        }
        if failed && !is_query {
            self.forget_unparsed(std::slice::from_ref(part), part.parsed_before_failure());
        }
        wire::write_ready(out, self.transaction.status());
        true
    }

    fn needs_no_engine(&self, part: &UnitPart) -> bool {
        if !part.ends_unit {
            return false;
        }
        if self.transaction == Transaction::Lost {
            return true;
        }
        let fails = part.ops.iter().any(|op| matches!(op, Operation::Fail(_)));
        let discards = part.local_commands.contains(&LocalCommand::Discard);
        // An engine that holds the transaction must learn that it has failed.
        let concerns_transaction = self.transaction.is_held() && (fails || discards);
        part.is_local && !concerns_transaction
    }

    /// Writes the answer to one operation.
    fn answer_operation(
        &mut self,
        operation: &Operation,
        unit: &mut LocalUnit,
        catalogue: &mut Catalogue,
        out: &mut Vec<u8>,
    ) -> Result<(), UnitFailed> {
        match operation {
            Operation::Sync | Operation::Flush => {}
            Operation::Fail(why) => {
                why.write(out, false);
                return Err(UnitFailed);
            }
            Operation::Query(_) => {
                let scan = sql::scan(unit.part.text());
                return self.run_locally(&scan, catalogue, out);
            }
            Operation::Parse { prepared, .. }
            | Operation::Bind { prepared, .. }
            | Operation::Describe { prepared, .. }
                if unit.transaction_was_lost && !prepared.scan.only_ends_transaction() =>
            {
                self.lost_transaction_error().write(out, false);
                return Err(UnitFailed);
            }
            Operation::Parse { .. } => out.extend_from_slice(wire::PARSE_COMPLETE),
            Operation::Bind { prepared, .. } => {
                unit.bound = Some(prepared.clone());
                out.extend_from_slice(wire::BIND_COMPLETE);
            }
            Operation::Describe { .. } => {
                out.extend_from_slice(wire::NO_PARAMETERS);
                out.extend_from_slice(wire::NO_DATA);
            }
            Operation::DescribePortal(_) => out.extend_from_slice(wire::NO_DATA),
            Operation::Execute(_) => match &unit.bound {
                Some(prepared) => return self.run_locally(&prepared.scan, catalogue, out),
                None => {
                    self.lost_transaction_error().write(out, false);
                    return Err(UnitFailed);
                }
            },
            Operation::ClosePortal(_) | Operation::CloseStatement => {
                out.extend_from_slice(wire::CLOSE_COMPLETE);
            }
        }
        Ok(())
    }

    /// Returns the error for statements in a lost transaction: the first time it names the cause.
    fn lost_transaction_error(&mut self) -> ClientError {
        match self.unreported_loss.take() {
            Some(why) => ClientError::RolledBack { why },
            None => ClientError::InFailedTransaction,
        }
    }

    /// Executes a statement that the front answers itself.
    fn run_locally(
        &mut self,
        scan: &Scan,
        catalogue: &mut Catalogue,
        out: &mut Vec<u8>,
    ) -> Result<(), UnitFailed> {
        if self.transaction == Transaction::Lost {
            return self.run_in_lost_transaction(scan, out);
        }
        let Some(command) = &scan.local_command else {
            return Ok(());
        };
        match command {
            LocalCommand::Label(name, value) => {
                let open = self.transaction_state.as_mut();
                let label = open.map_or(&mut self.label, TransactionState::label_mut);
                if !label.set(name, value) {
                    let why = "no such setting; see the page on PostgreSQL sessions";
                    let field = "hallmux";
                    ClientError::InvalidSetting { field, why }.write(out, false);
                    return Err(UnitFailed);
                }
            }
            LocalCommand::Deallocate => self.forget_all_prepared(),
            LocalCommand::Discard => {
                self.forget_all_prepared();
                self.settings = catalogue.intern_settings(Rc::default());
            }
        }
        wire::write_complete(out, command.tag());
        Ok(())
    }

    /// Executes only the end of the lost transaction; the client is sent the cause of the loss
    /// once.
    fn run_in_lost_transaction(
        &mut self,
        scan: &Scan,
        out: &mut Vec<u8>,
    ) -> Result<(), UnitFailed> {
        // A commit must not appear to succeed for a client that was not yet notified of the loss.
        let unreported_loss = self
            .unreported_loss
            .take()
            .filter(|_| !scan.rolls_back_transaction);
        let ends = scan.only_ends_transaction();
        if ends {
            self.transaction = Transaction::None;
        }
        match unreported_loss {
            Some(why) => ClientError::RolledBack { why }.write(out, false),
            None if ends => {
                wire::write_complete(out, "ROLLBACK");
                return Ok(());
            }
            None => ClientError::InFailedTransaction.write(out, false),
        }
        Err(UnitFailed)
    }

    fn forget_all_prepared(&mut self) {
        self.statements.clear();
        self.unnamed = None;
        self.held_bytes = 0;
    }

    /// Applies a unit's outcome at an engine to the session.
    pub fn apply_outcome(
        &mut self,
        parts: &[Rc<UnitPart>],
        outcome: &UnitOutcome,
        catalogue: &mut Catalogue,
        bounds: &Bounds,
    ) {
        let failed = outcome.error.is_some();
        if failed {
            let named: Vec<&Vec<u8>> = parts.iter().flat_map(|p| &p.parsed_names).collect();
            for name in named.into_iter().skip(outcome.parsed_count) {
                self.forget(name);
            }
        }
        self.transaction = match outcome.status {
            b'T' => Transaction::Open,
            b'E' => Transaction::Failed,
            _ => Transaction::None,
        };
        if self.transaction == Transaction::None {
            self.portals.clear();
        }
        let has_effects = parts.iter().any(|part| !part.effects.is_empty());
        if has_effects || self.transaction_state.is_some() || self.transaction.is_held() {
            self.apply_effects(parts, outcome, catalogue, bounds);
        }
    }

    /// Applies what a unit has done to the settings and labels of its session.
    fn apply_effects(
        &mut self,
        parts: &[Rc<UnitPart>],
        outcome: &UnitOutcome,
        catalogue: &mut Catalogue,
        bounds: &Bounds,
    ) {
        let mut state = self
            .transaction_state
            .take()
            .unwrap_or_else(|| TransactionState::new(self.settings.clone(), self.label.clone()));
        state.apply_unit(parts, outcome, bounds);
        if self.transaction == Transaction::None && outcome.error.is_none() {
            state.commit();
        }
        let settings = state.committed_settings();
        if !Rc::ptr_eq(&settings, &self.settings) {
            self.settings = catalogue.intern_settings(settings);
        }
        self.label = state.committed_label();
        self.transaction_state = self.transaction.is_held().then_some(state);
    }

    /// Ends a unit with an error of the front. A transaction that is open is lost by it.
    pub fn fail_unit(&mut self, parts: &[Rc<UnitPart>], why: &ClientError, out: &mut Vec<u8>) {
        for part in parts {
            part.parsed_names.iter().for_each(|name| self.forget(name));
        }
        self.lose_transaction();
        self.unreported_loss = None;
        if parts
            .iter()
            .any(|part| part.commits_transaction || part.rolls_back_transaction)
        {
            // The unit was the end of the transaction, and the client sends no other.
            self.transaction = Transaction::None;
        }
        why.write(out, false);
        if !self.in_unit {
            self.write_ready(out);
        }
    }

    /// Writes ReadyForQuery: the client may send the next unit.
    pub fn write_ready(&self, out: &mut Vec<u8>) {
        wire::write_ready(out, self.transaction.status());
    }

    /// Marks the open transaction as lost, as its engine no longer holds it. The client is notified
    /// with its next unit.
    pub fn lose_transaction(&mut self) {
        if self.transaction.is_held() {
            if self.transaction == Transaction::Open {
                self.unreported_loss = Some("its engine drains or was lost");
            }
            self.transaction = Transaction::Lost;
        }
        self.portals.clear();
        self.transaction_state = None;
    }

    fn forget_unparsed(&mut self, parts: &[UnitPart], parsed: usize) {
        let named: Vec<Vec<u8>> = parts
            .iter()
            .flat_map(|p| p.parsed_names.iter().cloned())
            .skip(parsed)
            .collect();
        named.iter().for_each(|name| self.forget(name));
    }
}
