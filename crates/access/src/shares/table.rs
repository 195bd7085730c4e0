//! Who holds how much of a limit, as the ledger keeps it: one table a limit. What is free, what fronts hold and what
//! rests is the limit's number at any time.

use hallmux_ledger::{Key, Kind, Owner};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// Of the stored table; one of a format that a build does not know lets nothing through.
const FORMAT: u8 = 1;

/// At most so many statements that a rule lets through begin in any window of this length.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Limit {
    /// The name of the rule that sets the limit.
    pub rule: String,
    /// How many statements may begin in a window.
    pub max_statements: u32,
    /// The length of the window in microseconds.
    pub window: Micros,
}

/// A front's share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The front and its incarnation.
    pub owner: Owner,
    /// How many statements it may have begun in any window; its tokens.
    pub held: u32,
    /// What it lacks: others give to it.
    pub wanted: u32,
    /// The last round of wants that it has looked at.
    pub seen_round: u64,
}

/// Taken back from a front that may have spent it until just now: free again after a rest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokedTokens {
    /// Distinguishes it from others at rest in the same table.
    pub id: u64,
    /// How many tokens rest.
    pub held: u32,
}

/// All tokens of one limit. What is free, held and at rest adds up to the limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    format: u8,
    max_statements: u32,
    /// Tokens that no front holds.
    pub free: u32,
    /// The fronts that hold or want tokens.
    pub rows: Vec<Row>,
    /// Tokens taken back from fronts that were lost.
    pub revoked: Vec<RevokedTokens>,
    /// Grows whenever a front wants more than is free.
    pub round: u64,
    last_revoked_id: u64,
}

impl Limit {
    /// The ledger's key of the limit's table. A changed limit is another one, with another key.
    pub fn key(&self) -> Key {
        Key {
            kind: Kind::Shares,
            name: format!("{} in {} {}", self.max_statements, self.window, self.rule),
        }
    }
}

impl Table {
    /// A table of which everything is free.
    pub fn new(limit: &Limit) -> Table {
        let max_statements = limit.max_statements;
        Table {
            format: FORMAT,
            max_statements,
            free: max_statements,
            rows: Vec::new(),
            revoked: Vec::new(),
            round: 0,
            last_revoked_id: 0,
        }
    }

    /// The bytes to keep in the ledger.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None where it is of a format that this build does not know, of another limit, or damaged.
    pub fn read(bytes: &[u8], limit: &Limit) -> Option<Table> {
        let table = match postcard::take_from_bytes::<Table>(bytes) {
            Ok((table, [])) => table,
            _ => return None,
        };
        let held = table.rows.iter().map(|row| u64::from(row.held));
        let all: u64 = held
            .chain(table.revoked.iter().map(|r| u64::from(r.held)))
            .sum::<u64>()
            + u64::from(table.free);
        (table.format == FORMAT
            && table.max_statements == limit.max_statements
            && all == u64::from(limit.max_statements))
        .then_some(table)
    }

    /// A front's row, if it has one.
    pub fn row(&self, owner: Owner) -> Option<&Row> {
        self.rows.iter().find(|row| row.owner == owner)
    }

    /// How many tokens a front holds.
    pub fn held(&self, owner: Owner) -> u32 {
        self.row(owner).map_or(0, |row| row.held)
    }

    /// The row of an owner, made where there is none.
    pub fn row_or_insert(&mut self, owner: Owner) -> Option<&mut Row> {
        if self.row(owner).is_none() {
            self.rows.push(Row {
                owner,
                held: 0,
                wanted: 0,
                seen_round: self.round,
            });
        }
        self.rows.iter_mut().find(|row| row.owner == owner)
    }

    /// What others than this one lack.
    pub fn wanted_by_peers(&self, own: Owner) -> u32 {
        let peers = self.rows.iter().filter(|row| row.owner != own);
        peers.fold(0, |all, row| all.saturating_add(row.wanted))
    }

    /// Gives a front's tokens to those that want them, the least served first; what nobody wants is free.
    pub fn transfer(&mut self, from: Owner, mut tokens: u32) {
        for row in self.rows.iter_mut().filter(|row| row.owner == from) {
            row.held -= tokens.min(row.held);
        }
        while tokens > 0 {
            let wanting = self
                .rows
                .iter_mut()
                .filter(|row| row.owner != from && row.wanted > 0);
            let Some(least) = wanting.min_by_key(|row| row.held) else {
                break;
            };
            let amount = least.wanted.min(tokens.div_ceil(2));
            least.held += amount;
            least.wanted -= amount;
            tokens -= amount;
        }
        self.free += tokens;
    }

    /// Takes a front's share back: it rests until nothing that was spent of it counts any more.
    pub fn revoke(&mut self, owner: Owner) {
        let held = self.held(owner);
        self.rows.retain(|row| row.owner != owner);
        if held > 0 {
            self.last_revoked_id += 1;
            self.revoked.push(RevokedTokens {
                id: self.last_revoked_id,
                held,
            });
        }
    }

    /// What has rested is free.
    pub fn release_revoked(&mut self, is_done: impl Fn(u64) -> bool) {
        let (done, kept) = std::mem::take(&mut self.revoked)
            .into_iter()
            .partition(|r| is_done(r.id));
        self.revoked = kept;
        let done: Vec<RevokedTokens> = done;
        self.free += done.iter().map(|r| r.held).sum::<u32>();
    }

    /// Removes rows that neither hold nor want anything.
    pub fn remove_empty_rows(&mut self) {
        self.rows.retain(|row| row.held > 0 || row.wanted > 0);
    }
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
