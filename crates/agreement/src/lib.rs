//! The one place where configuration is read, checked and given defaults: the settings object, for the
//! simulator's adapter and the front alike, and what a front finds in its variables and `NODE_CONFIG`.

mod error;
mod node;
mod operator;
mod settings;
mod text;

pub use error::{Error, KeyProblem, Position};
pub use node::{NodeConfig, NodeLimits};
pub use operator::{
    hexadecimal, line_of, Audits, Gossip, Keep, Ledger, LedgerMember, LoadSignal, OnDiskFailure, Operator,
    Overload, Ownership, Postgres, Rules, Scatter, SessionLimits, SpeakingEngines, User,
};
pub use settings::{micros, Names, NetworkSettings, Settings};
