//! Which groups of tables a unit may write to, for the load markers. Rows that a transaction writes
//! become visible when it commits, which may happen with any of its units. So each unit is marked,
//! before it is sent, with all groups that the transaction may have written to so far.

use hallmux_dispatcher::Ticket;
use hallmux_native_codec::tables;
use hallmux_postgres::client_error::ClientError;
use hallmux_postgres::session::{Transaction, UnitPart};
use hallmux_scatter::load_markers::load_numbers;

use super::Gateway;
use crate::postgres::sessions::OpenSession;
use crate::scatter::Load;

/// Upper limit of the groups searched for in a text; a text with more groups can't be marked.
const MAX_GROUPS: usize = 1_024;

/// The answer to a unit that continues after a Flush and names tables without a load marker.
pub const UNMARKED_GROUPS: ClientError = ClientError::InvalidSetting {
    field: "hallmux.workload",
    why: "writes, and names a group of tables after a Flush that it has not named before",
};

/// The answer to a unit whose text begins like a load that a front has numbered.
pub const RESERVED_PREFIX: ClientError = ClientError::InvalidSetting {
    field: "hallmux.workload",
    why: "writes, and its text begins as fronts number loads: leave that comment out",
};

impl Gateway {
    /// What an execution of a unit may write. `None` if it needs no load marker.
    pub fn unit_load(&mut self, ticket: Ticket) -> Option<Load> {
        let (_, open_session) = self.sessions.by_ticket(ticket)?;
        let held = open_session.session.transaction != Transaction::None;
        if !held {
            open_session.touched_groups.clear();
        }
        let parts = open_session.running.as_ref()?.parts.clone();
        if parts
            .first()
            .is_some_and(|part| may_write(&self.writing_workloads, open_session, part))
        {
            let named = parts.iter().flat_map(|part| part.texts()).flat_map(groups);
            open_session.touched_groups.extend(named);
        }
        let [part, ..] = &parts[..] else { return None };
        let alone = !held && !part.begins_transaction && parts.len() == 1;
        let simple = part
            .simple_query_text()
            .filter(|_| alone)
            .map(<[u8]>::to_vec);
        let groups: Vec<u32> = open_session.touched_groups.iter().copied().collect();
        (!groups.is_empty()).then_some(Load::Unit { groups, simple })
    }

    /// Whether a further part of a unit in flight names groups of tables that no earlier part has
    /// named.
    pub(super) fn names_unmarked_groups(&mut self, ticket: Ticket, part: &UnitPart) -> bool {
        if self.writing_workloads.is_empty() {
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
        if !may_write(&self.writing_workloads, open_session, first)
            && !may_write(&self.writing_workloads, open_session, part)
        {
            return false;
        }
        let named: Vec<u32> = running
            .earlier_parts()
            .iter()
            .flat_map(|part| part.texts())
            .flat_map(groups)
            .collect();
        let known =
            |group: &u32| named.contains(group) || open_session.touched_groups.contains(group);
        part.texts().flat_map(groups).any(|group| !known(&group))
    }
}

/// Whether a unit's text begins like a load that a front has numbered. Always false if loads are
/// not marked.
pub(super) fn has_reserved_prefix(writes: &[String], part: &UnitPart) -> bool {
    !writes.is_empty() && part.texts().any(|text| !load_numbers(text).is_empty())
}

fn may_write(workloads: &[String], open_session: &OpenSession, part: &UnitPart) -> bool {
    let workload = open_session.unit_label(part).workload;
    workload.is_some_and(|workload| workloads.contains(&workload))
}

fn groups(text: &[u8]) -> Vec<u32> {
    tables::groups(text, MAX_GROUPS)
}
