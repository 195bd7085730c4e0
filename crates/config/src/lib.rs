//! Reads, checks and defaults all configuration of hallmux: the settings object, for the simulator's adapter
//! and the front alike; a front's environment variables and the file that `NODE_CONFIG` names; and the
//! operator's own file.
//!
//! Times are microseconds ([`hallmux::interface::Micros`]) unless a name ends in another unit; keys of files
//! are in the unit that their name ends in. Every [`Error`] says in one line where it is, what is wrong and
//! what an operator can do.

#![warn(missing_docs)]

mod error;
mod key_lines;
mod node_config;
mod one_line;
mod operator_file;
mod scanner;
mod settings;
mod text;

pub use error::{Error, KeyProblem, TextPosition};
pub use key_lines::line_of;
pub use node_config::{NodeConfig, NodeLimits};
pub use one_line::OneLine;
pub use operator_file::{
    parse_key, Audits, Gossip, GossipPeer, Ledger, LedgerMember, LoadSignal, OnDiskFailure,
    OperatorConfig, Overload, Ownership, OwnershipVoter, Postgres, PostgresEngines, Rules, Scatter,
    SessionLimits, SummaryBudget, User,
};
pub use settings::{micros, Names, NetworkSettings, Settings};
