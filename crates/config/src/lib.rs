//! Reads and checks the configuration of hallmux and applies its defaults: the settings object,
//! which the simulator adapter and the front share; a front's environment variables and the file
//! that `NODE_CONFIG` names; and the operator's file.
//!
//! Times are microseconds ([`hallmux::interface::Micros`]) unless a name ends in another unit; keys
//! of files use the unit that their name ends in. Every [`Error`] is one line that states the
//! position, the problem and the remedy.

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
