//! What a session answers of its own, and what the end of a unit makes of it.

use std::rc::Rc;

use super::{Bounds, Session, Transaction};
use crate::client_error::ClientError;
use crate::prepared::{Catalogue, SessionSettings};
use crate::sql::{self, LocalCommand, Scan};
use crate::unit::{Operation, UnitOutcome, UnitPart};
use crate::wire;

impl Session {
    /// Answers a unit that needs no engine, to `out`. False if it needs one; nothing is written then.
    pub fn answers(
        &mut self,
        part: &UnitPart,
        catalogue: &mut Catalogue,
        out: &mut Vec<u8>,
    ) -> bool {
        let lost = self.transaction == Transaction::Lost;
        let held = self.transaction.is_held();
        // Guards against a transaction whose engine would not learn that it has failed.
        let fails = part.ops.iter().any(|op| matches!(op, Operation::Fail(_)));
        let discards = part.local_commands.contains(&LocalCommand::Discard);
        if !part.ends || !lost && (!part.local || held && (fails || discards)) {
            return false;
        }
        let mut bound = None;
        let mut failed = false;
        let mut query = false;
        for op in &part.ops {
            let step: &[u8] = match op {
                Operation::Sync | Operation::Flush => continue,
                _ if failed => continue,
                Operation::Fail(why) => {
                    why.write(out, false);
                    failed = true;
                    continue;
                }
                Operation::Query(_) => {
                    query = true;
                    let scan = sql::scan(part.text());
                    failed = !self.runs(&scan, catalogue, out);
                    continue;
                }
                Operation::Parse { prepared, .. }
                | Operation::Bind { prepared, .. }
                | Operation::Describe { prepared, .. }
                    if lost && !prepared.scan.only_ends_transaction() =>
                {
                    self.aborted().write(out, false);
                    failed = true;
                    continue;
                }
                Operation::Parse { .. } => wire::PARSE_COMPLETE,
                Operation::Bind { prepared, .. } => {
                    bound = Some(prepared.clone());
                    wire::BIND_COMPLETE
                }
                Operation::Describe { .. } => {
                    out.extend_from_slice(wire::NO_PARAMETERS);
                    wire::NO_DATA
                }
                Operation::DescribePortal(_) => wire::NO_DATA,
                Operation::Execute(_) => {
                    match &bound {
                        Some(prepared) => {
                            failed = !self.runs(&prepared.clone().scan, catalogue, out)
                        }
                        None => {
                            self.aborted().write(out, false);
                            failed = true;
                        }
                    }
                    continue;
                }
                Operation::ClosePortal(_) | Operation::CloseStatement => wire::CLOSE_COMPLETE,
            };
            out.extend_from_slice(step);
        }
        if failed && !query {
            self.forget_unparsed(std::slice::from_ref(part), part.parsed_before_failure());
        }
        wire::write_ready(out, self.transaction.status());
        true
    }

    /// Why nothing runs in a transaction that is lost; the first time with the reason.
    fn aborted(&mut self) -> ClientError {
        match self.unreported_loss.take() {
            Some(why) => ClientError::RolledBack { why },
            None => ClientError::InFailedTransaction,
        }
    }

    /// Runs what the front answers of itself; false if it is an error.
    fn runs(&mut self, scan: &Scan, catalogue: &mut Catalogue, out: &mut Vec<u8>) -> bool {
        if self.transaction == Transaction::Lost {
            // Guards against a commit that seems to have come to pass, of a client that knows of no failure.
            let unreported_loss = self.unreported_loss.take().filter(|_| !scan.rolls_back);
            if scan.only_ends_transaction() {
                self.transaction = Transaction::None;
            }
            match unreported_loss {
                Some(why) => ClientError::RolledBack { why }.write(out, false),
                None if scan.only_ends_transaction() => wire::write_complete(out, "ROLLBACK"),
                None => ClientError::InFailedTransaction.write(out, false),
            }
            return unreported_loss.is_none() && scan.only_ends_transaction();
        }
        let Some(command) = &scan.local_command else {
            return true;
        };
        match command {
            LocalCommand::Label(name, value) => {
                if !self.label.set(name, value) {
                    let why = "no such setting; see the page on PostgreSQL sessions";
                    ClientError::InvalidSetting {
                        field: "hallmux",
                        why,
                    }
                    .write(out, false);
                    return false;
                }
            }
            LocalCommand::Deallocate | LocalCommand::Discard => {
                self.statements.clear();
                (self.unnamed, self.held_bytes) = (None, 0);
                if *command == LocalCommand::Discard {
                    self.settings = catalogue.settings(SessionSettings::default());
                }
            }
        }
        wire::write_complete(out, command.tag());
        true
    }

    /// Takes in how a unit ended at an engine.
    pub fn done(
        &mut self,
        parts: &[Rc<UnitPart>],
        done: &UnitOutcome,
        catalogue: &mut Catalogue,
        bounds: &Bounds,
    ) {
        let failed = done.error.is_some();
        if failed {
            let named: Vec<&Vec<u8>> = parts.iter().flat_map(|p| &p.named).collect();
            for name in named.into_iter().skip(done.parsed) {
                self.forget(name);
            }
        } else {
            for part in parts {
                for command in &part.local_commands {
                    if let LocalCommand::Label(name, value) = command {
                        self.label.set(name, value);
                    }
                }
                self.pending_changes.extend(part.changes.iter().cloned());
            }
        }
        self.transaction = match done.status {
            b'T' => Transaction::Open,
            b'E' => Transaction::Failed,
            _ => Transaction::None,
        };
        if self.transaction == Transaction::None {
            self.portals.clear();
            let pending_changes = std::mem::take(&mut self.pending_changes);
            if !failed && !done.rolled_back && !pending_changes.is_empty() {
                let mut settings = (*self.settings).clone();
                pending_changes
                    .iter()
                    .for_each(|change| settings.change(change));
                // Guards against a session that grows without end: it keeps as many as it may.
                while settings.0.len() > bounds.settings {
                    settings.0.pop_last();
                }
                self.settings = catalogue.settings(settings);
            }
        }
    }

    /// A unit ends here, with the front's own answer; with a transaction that is lost by that, if one was
    /// open.
    pub fn fails(&mut self, parts: &[Rc<UnitPart>], why: &ClientError, out: &mut Vec<u8>) {
        for part in parts {
            part.named.iter().for_each(|name| self.forget(name));
        }
        self.lose();
        self.unreported_loss = None;
        if parts.iter().any(|part| part.commits || part.rolls_back) {
            // It was the transaction's end, and its client asks for no other.
            self.transaction = Transaction::None;
        }
        why.write(out, false);
        if !self.in_unit {
            self.ready(out);
        }
    }

    /// Tells the client that the next unit may come.
    pub fn ready(&self, out: &mut Vec<u8>) {
        wire::write_ready(out, self.transaction.status());
    }

    /// The engine that held the open transaction has it no more; its client hears so with its next unit.
    pub fn lose(&mut self) {
        if self.transaction.is_held() {
            if self.transaction == Transaction::Open {
                self.unreported_loss = Some("its engine drains or was lost");
            }
            self.transaction = Transaction::Lost;
        }
        self.portals.clear();
        self.pending_changes.clear();
    }

    fn forget_unparsed(&mut self, parts: &[UnitPart], parsed: usize) {
        let named: Vec<Vec<u8>> = parts
            .iter()
            .flat_map(|p| p.named.iter().cloned())
            .skip(parsed)
            .collect();
        named.iter().for_each(|name| self.forget(name));
    }
}
