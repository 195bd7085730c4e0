//! What a unit may write, for the marks on loads. Rows that a transaction writes are seen from its end on, which may come with
//! any of its units: each is marked for all that the transaction may have touched so far, before it leaves.

use hallmux_dispatcher::Ticket;
use hallmux_native_codec::tables;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::session::{Transaction, UnitPart};
use hallmux_scatter::marks::numbers;

use super::Gateway;
use crate::postgres::sessions::OpenSession;
use crate::scatter::Load;

/// Groups of a text that are looked for; more than that can't be marked.
const MOST_GROUPS: usize = 1_024;

/// The answer to a unit that goes on, after a Flush, with tables that are not marked.
pub const UNMARKED_GROUPS: ClientError = ClientError::InvalidSetting {
    field: "hallmux.workload",
    why: "writes, and names a group of tables after a Flush that it has not named before",
};

/// The answer to text that passes for a load that a front has numbered.
pub const NUMBERED: ClientError = ClientError::InvalidSetting {
    field: "hallmux.workload",
    why: "writes, and its text begins as fronts number loads: leave that comment out",
};

impl Gateway {
    /// What an execution of a unit may write. None: nothing that needs a mark.
    pub fn load(&mut self, ticket: Ticket) -> Option<Load> {
        let (_, open_session) = self.sessions.by_ticket(ticket)?;
        let held = open_session.session.transaction != Transaction::None;
        if !held {
            open_session.touched.clear();
        }
        let parts = open_session.running.as_ref()?.parts.clone();
        if parts
            .first()
            .is_some_and(|part| writes(&self.writes, open_session, part))
        {
            let named = parts.iter().flat_map(|part| part.texts()).flat_map(groups);
            open_session.touched.extend(named);
        }
        let [part, ..] = &parts[..] else { return None };
        let alone = !held && !part.begins_transaction && parts.len() == 1;
        let simple = part
            .simple_query_text()
            .filter(|_| alone)
            .map(<[u8]>::to_vec);
        let groups: Vec<u32> = open_session.touched.iter().copied().collect();
        (!groups.is_empty()).then_some(Load::Unit { groups, simple })
    }

    /// Whether more of a unit that is out names groups that nothing of it has named before.
    pub(super) fn names_unmarked_groups(&mut self, ticket: Ticket, part: &UnitPart) -> bool {
        if self.writes.is_empty() {
            return false;
        }
        let Some((_, open_session)) = self.sessions.by_ticket(ticket) else {
            return false;
        };
        let Some(running) = &open_session.running else {
            return false;
        };
        let Some(first) = running.parts.first() else {
            return false;
        };
        if !writes(&self.writes, open_session, first) && !writes(&self.writes, open_session, part) {
            return false;
        }
        // The last part is this one.
        let before = running
            .parts
            .split_last()
            .map_or(&[][..], |(_, before)| before);
        let named: Vec<u32> = before
            .iter()
            .flat_map(|part| part.texts())
            .flat_map(groups)
            .collect();
        let known = |group: &u32| named.contains(group) || open_session.touched.contains(group);
        part.texts().flat_map(groups).any(|group| !known(&group))
    }
}

/// Whether a unit's text passes for a numbered load, where loads are marked.
pub(super) fn passes_for_numbered(writes: &[String], part: &UnitPart) -> bool {
    !writes.is_empty() && part.texts().any(|text| !numbers(text).is_empty())
}

fn writes(workloads: &[String], open_session: &OpenSession, part: &UnitPart) -> bool {
    let label = open_session.session.label(part);
    let workload = label
        .workload
        .as_ref()
        .or(open_session.user.workload.as_ref());
    workload.is_some_and(|workload| workloads.contains(workload))
}

fn groups(text: &[u8]) -> Vec<u32> {
    tables::groups(text, MOST_GROUPS)
}
