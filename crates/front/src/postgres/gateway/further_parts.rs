//! The parts of a unit behind a Flush, once the session has accepted them.

use std::rc::Rc;

use hallmux_dispatcher::Ticket;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::session::UnitPart;

use super::{loads, Gateway};
use crate::fleet::rules::table_groups;

/// The answer to a unit that continues after a Flush and reads tables that the access rules were not
/// asked about.
const UNCHECKED_GROUPS: ClientError = ClientError::Unsupported {
    why: "a group of tables that is under access rules and named only after a Flush",
};

impl Gateway {
    /// Sends a further part of a unit, if an execution of the unit is in flight. A part that reads or
    /// writes other tables than the unit was admitted for fails with its unit, and none of it runs.
    pub(super) fn append_part(&mut self, ticket: Ticket, part: Rc<UnitPart>) {
        let refusal = if self.names_unmarked_groups(ticket, &part) {
            Some(loads::UNMARKED_GROUPS)
        } else if self.names_unchecked_groups(ticket, &part) {
            Some(UNCHECKED_GROUPS)
        } else {
            None
        };
        let Some((_, open_session)) = self.sessions.by_ticket(ticket) else {
            return;
        };
        let Some(running) = &mut open_session.running else {
            return;
        };
        let part = match refusal {
            Some(why) => running.fail_last_part(why),
            None => part,
        };
        if let Some(execution_id) = running.execution_id {
            self.servers.append_part(execution_id, part);
        }
    }

    /// Whether a further part of a unit in flight reads tables that the access rules were not asked
    /// about when the unit was admitted.
    fn names_unchecked_groups(&mut self, ticket: Ticket, part: &UnitPart) -> bool {
        if self.rules.is_none() || part.texts().next().is_none() {
            return false;
        }
        let Some((_, open_session)) = self.sessions.by_ticket(ticket) else {
            return false;
        };
        let Some(running) = &open_session.running else {
            return false;
        };
        let earlier = running.earlier_parts().iter().flat_map(|part| part.texts());
        // A unit whose tables cannot be told was admitted as one that reads all of them.
        let Some(checked) = table_groups(earlier) else {
            return false;
        };
        table_groups(part.texts())
            .is_none_or(|groups| groups.iter().any(|group| !checked.contains(group)))
    }
}
