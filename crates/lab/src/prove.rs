//! `prove`: runs drawn from a seed, with faults, checked on the records of clients and engines.
//! Each subject has its own module; `common` and `shape` hold what the runs of the replicated
//! ledger share.

pub mod common;
pub mod deaths;
pub mod disks;
pub mod long;
pub mod postgres;
pub mod promises;
pub mod roll;
pub mod rules;
mod shape;
pub mod sites;
pub mod soak;
