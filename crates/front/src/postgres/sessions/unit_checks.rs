//! Checks on the labels of units. A unit has one workload, customer and order key; it is admitted
//! when its first part arrives, so what comes behind a Flush has to keep to what it was admitted as.

use std::rc::Rc;

use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::session::UnitPart;
use hallmux_postgres::sql::{Contradictions, Label};

use super::{Event, OpenSession, RunningUnit};

impl OpenSession {
    /// The part as it may run: one whose texts have different workloads, customers or order keys
    /// fails before any of it runs.
    pub(super) fn checked_part(&self, part: Rc<UnitPart>) -> Rc<UnitPart> {
        match part.contradictory_label(self.user.customer.is_some()) {
            Some(field) => Rc::new(part.failed(ClientError::contradictory_label(field))),
            None => part,
        }
    }

    /// Adds a further part to the unit in flight, and returns the event that sends it. None if no
    /// unit is in flight. A part that contradicts what the unit was admitted as, or that comes when
    /// the front takes no more units, fails with its unit, and none of it runs.
    pub(super) fn add_further_part(&mut self, part: &Rc<UnitPart>, is_late: bool) -> Option<Event> {
        let running = self.running.as_ref()?;
        let shutting_down = is_late.then_some(ClientError::ShuttingDown);
        let part = match shutting_down.or_else(|| self.contradiction(running, part)) {
            Some(why) => Rc::new(part.failed(why)),
            None => part.clone(),
        };
        let running = self.running.as_mut()?;
        let ticket = running.ticket;
        log::debug!(
            "statement {ticket}: a further part of its unit, {} bytes",
            part.raw.len()
        );
        running.parts.push(part.clone());
        Some(Event::UnitPart { ticket, part })
    }

    /// The error of a further part that executes something labelled otherwise than its unit was
    /// admitted. The unit waited for no other order key, may be at an engine that another workload
    /// must not use, and may be repeated although another workload must not.
    fn contradiction(&self, running: &RunningUnit, part: &UnitPart) -> Option<ClientError> {
        if !part.executes {
            return None;
        }
        let mut label = self.further_label(running, part);
        label.order_key = label
            .order_key
            .filter(|key| !self.held_order_keys.contains(key));
        let contradictions = Contradictions::between(&running.terms.label, &label);
        if let Some(field) = contradictions.first(self.user.customer.is_some()) {
            return Some(ClientError::contradictory_label(field));
        }
        let timeout = self.session.statement_timeout(&label);
        timeout
            .is_some_and(|timeout| timeout < running.terms.timeout)
            .then_some(ClientError::InvalidSetting {
                field: "hallmux.statement_timeout",
                why: "is shorter than that of the unit's first part",
            })
    }

    /// The labels of a further part. A label holds for all that its unit executes; one that was only
    /// prepared does not, so without a label of its own the first text that is executed has those of
    /// the session.
    fn further_label(&self, running: &RunningUnit, part: &UnitPart) -> Label {
        let executes_first = !running.parts.iter().any(|part| part.executes);
        if executes_first {
            return self.unit_label(part);
        }
        part.label.clone()
    }
}
