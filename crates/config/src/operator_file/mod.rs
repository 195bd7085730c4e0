//! The operator's own file: JSON5, named by the variable `HALLMUX_OPERATOR`. It switches on what the
//! platform's configuration knows nothing of; without it everything here is off, and unknown keys end the
//! start. Each section of the file has a module here that reads and checks it; `sections` joins
//! them.

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
