//! A session after its login, and the unit that it has in flight.

use std::collections::BTreeSet;
use std::rc::Rc;

use hallmux_config::User;
use hallmux_dispatcher::{Micros, Ticket};
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::pool::AccountId;
use hallmux_postgres::session::{may_outlast_transaction, Session, UnitPart};
use hallmux_postgres::sql::Label;

use crate::execution::ExecutionId;
use crate::postgres::ids::Pin;

/// Bytes of memory that a part of a unit takes besides its messages.
pub const PART_OVERHEAD_BYTES: usize = 512;

/// What a unit was admitted as, by its first part. Its further parts can't change it.
pub struct AdmittedTerms {
    /// The labels that apply to the unit.
    pub label: Label,
    /// Microseconds that the client waits for the unit.
    pub timeout: Micros,
}

/// A unit that was admitted and not yet answered.
pub struct RunningUnit {
    pub ticket: Ticket,
    pub terms: AdmittedTerms,
    pub parts: Vec<Rc<UnitPart>>,
    /// Bytes of memory that the unit takes.
    pub(super) held_bytes: usize,
    /// An execution of the unit may have run.
    pub may_have_run: bool,
    pub time_up: bool,
    pub cancelled: bool,
    /// Part of the answer was forwarded.
    pub answer_started: bool,
    /// The forwarded part of the answer ends within a message.
    pub(super) cut_within_message: bool,
    pub execution_id: Option<ExecutionId>,
    pub order_key: Option<String>,
}

/// Bytes of memory that a part of a unit takes.
pub(super) fn part_memory(part: &UnitPart) -> usize {
    PART_OVERHEAD_BYTES + part.raw.len()
}

impl RunningUnit {
    /// Whether the unit may have an effect that outlasts the transaction it was executed in, as far as
    /// its parts are known.
    pub fn may_outlast_transaction(&self) -> bool {
        may_outlast_transaction(&self.parts)
    }

    /// The parts before the last one.
    pub fn earlier_parts(&self) -> &[Rc<UnitPart>] {
        self.parts.split_last().map_or(&[], |(_, earlier)| earlier)
    }

    /// Replaces the last part, which was not sent yet, by one that fails with an error and has no
    /// effect. Returns the new part.
    pub fn fail_last_part(&mut self, why: ClientError) -> Rc<UnitPart> {
        let last = self.parts.pop().unwrap_or_default();
        let failed = Rc::new(last.failed(why));
        self.parts.push(failed.clone());
        failed
    }
}

/// The state of a session after its login.
pub struct OpenSession {
    pub session: Session,
    pub user: Rc<User>,
    pub account: AccountId,
    pub running: Option<RunningUnit>,
    /// The engine's connection that holds the session's transaction.
    pub pin: Option<Pin>,
    /// Order keys that the session's transaction holds.
    pub held_order_keys: Vec<String>,
    /// Groups of tables that the session's transaction may have written to, if loads are marked.
    pub touched_groups: BTreeSet<u32>,
    /// The current unit has its answer: its input is skipped up to its Sync.
    pub(super) skipping_to_sync: bool,
}

impl OpenSession {
    /// The labels that apply to a unit: its own, else the session's, else the user's defaults. The
    /// operator's assignment of a user to a customer takes precedence over the label.
    pub fn unit_label(&self, part: &UnitPart) -> Label {
        let label = self.session.label(part);
        Label {
            workload: label.workload.or_else(|| self.user.workload.clone()),
            customer: self.user.customer.clone().or(label.customer),
            ..label
        }
    }
}
