//! The operator's file: JSON5, named by the environment variable `HALLMUX_OPERATOR`. It enables the
//! features that the platform's configuration does not cover; without the file all of them are off.
//! An unknown key is an error that prevents the start. Each section of the file has a module that
//! reads and checks it; `sections` combines them.

mod checker;
mod gossip;
mod ledger;
mod overload;
mod ownership;
mod peers;
mod postgres;
mod rules;
mod scatter;
mod sections;

pub use gossip::Gossip;
pub use ledger::{Ledger, LedgerMember, OnDiskFailure};
pub use overload::Overload;
pub use ownership::{Ownership, OwnershipVoter};
pub use peers::{parse_key, GossipPeer};
pub use postgres::{Postgres, PostgresEngines, SessionLimits, User};
pub use rules::Rules;
pub use scatter::{Audits, Scatter, SummaryBudget};
pub use sections::{LoadSignal, OperatorConfig};
