//! Look-ups between scattered statements and their parts.

use std::rc::Rc;

use hallmux_dispatcher::Ticket;
use hallmux_native_codec::statement::Call;

use super::ScatteredStatements;

impl ScatteredStatements {
    /// Whether a ticket is that of a part of a scattered statement.
    pub fn is_part(&self, part: Ticket) -> bool {
        self.parts.contains_key(&part)
    }

    /// Returns the parent statement of a part; None if the ticket is not that of a part.
    pub fn parent_of(&self, part: Ticket) -> Option<Ticket> {
        self.parts.get(&part).map(|part| part.parent)
    }

    /// Returns the client's call of a part's parent statement; None if the ticket is not that of a
    /// part.
    pub fn call_of_part(&self, part: Ticket) -> Option<Rc<Call>> {
        let parent = self.parent_of(part)?;
        let statement = self.statements.get(&parent)?;
        Some(statement.call.clone())
    }

    /// Returns the parts of a scattered statement that are at the dispatcher; empty if the
    /// statement is not scattered.
    pub fn parts_of(&self, parent: Ticket) -> Vec<Ticket> {
        self.statements
            .get(&parent)
            .map_or(Vec::new(), |statement| {
                statement.tickets.values().copied().collect()
            })
    }
}
