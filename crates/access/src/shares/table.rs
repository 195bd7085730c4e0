//! The stored table of a limit: which front holds how many tokens. Free, held and revoked tokens
//! always add up to the limit.

use hallmux_ledger::{Key, Kind, Owner};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// The format of the stored table. A build that does not know the format allows nothing under the
/// limit.
const FORMAT: u8 = 1;

/// A limit: at most this many statements allowed by a rule begin in any window of this length.
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
    /// The tokens held: how many statements the front may begin in any window.
    pub held: u32,
    /// The tokens that the front is short of and requests from other fronts.
    pub wanted: u32,
    /// The last request round that the front has seen.
    pub seen_round: u64,
}

/// Tokens revoked from a front that may have spent them until just now. They become free after a
/// wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokedTokens {
    /// Distinguishes these tokens from other revoked tokens in the table.
    pub id: u64,
    /// The number of tokens.
    pub held: u32,
}

/// All tokens of one limit. Free, held and revoked tokens add up to the limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    format: u8,
    max_statements: u32,
    /// Tokens that no front holds.
    pub free: u32,
    /// The fronts that hold or request tokens.
    pub rows: Vec<Row>,
    /// Tokens revoked from lost fronts.
    pub revoked: Vec<RevokedTokens>,
    /// The latest request round: grows whenever a front requests more than is free.
    pub round: u64,
    last_revoked_id: u64,
}

impl Limit {
    /// Returns the ledger key of the limit's table. A changed limit has another key.
    pub fn key(&self) -> Key {
        Key {
            kind: Kind::Shares,
            name: format!("{} in {} {}", self.max_statements, self.window, self.rule),
        }
    }
}

impl Table {
    /// Creates a table in which all tokens are free.
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

    /// Encodes the table for the ledger.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a table; `None` if its format is unknown to this build, or it belongs to another
    /// limit or is damaged.
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

    /// Returns a front's row, if it has one.
    pub fn row(&self, owner: Owner) -> Option<&Row> {
        self.rows.iter().find(|row| row.owner == owner)
    }

    /// Returns how many tokens a front holds.
    pub fn held(&self, owner: Owner) -> u32 {
        self.row(owner).map_or(0, |row| row.held)
    }

    /// Returns the row of an owner, creating it if necessary.
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

    /// Returns how many tokens all fronts but this one request.
    pub fn wanted_by_peers(&self, own: Owner) -> u32 {
        let peers = self.rows.iter().filter(|row| row.owner != own);
        peers.fold(0, |all, row| all.saturating_add(row.wanted))
    }

    /// Transfers a front's tokens to the fronts that request them, the one that holds least first;
    /// tokens that no front requests become free.
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

    /// Revokes a front's share; its tokens become free once none of them can count within a window
    /// any more.
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

    /// Frees the revoked tokens whose wait is over.
    pub fn release_revoked(&mut self, is_done: impl Fn(u64) -> bool) {
        let (done, kept) = std::mem::take(&mut self.revoked)
            .into_iter()
            .partition(|r| is_done(r.id));
        self.revoked = kept;
        let done: Vec<RevokedTokens> = done;
        self.free += done.iter().map(|r| r.held).sum::<u32>();
    }

    /// Removes rows that neither hold nor request tokens.
    pub fn remove_empty_rows(&mut self) {
        self.rows.retain(|row| row.held > 0 || row.wanted > 0);
    }
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
