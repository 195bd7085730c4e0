//! Which statements are parts, and of which whole.

use std::rc::Rc;

use hallmux_dispatcher::Ticket;
use hallmux_native_codec::statement::Call;

use super::ScatteredStatements;

impl ScatteredStatements {
    /// A statement is a part of one of these.
    pub fn is_part(&self, part: Ticket) -> bool {
        self.parts.contains_key(&part)
    }

    /// The whole that a statement is a part of.
    pub fn parent_of(&self, part: Ticket) -> Option<Ticket> {
        self.parts.get(&part).map(|part| part.parent)
    }

    /// What a part's client has asked for.
    pub fn call_of_part(&self, part: Ticket) -> Option<Rc<Call>> {
        let parent = self.parent_of(part)?;
        let statement = self.statements.get(&parent)?;
        Some(statement.call.clone())
    }

    /// The parts of a whole statement that are out.
    pub fn parts_of(&self, parent: Ticket) -> Vec<Ticket> {
        self.statements
            .get(&parent)
            .map_or(Vec::new(), |statement| {
                statement.tickets.values().copied().collect()
            })
    }
}
