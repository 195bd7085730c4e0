//! `prove`: runs drawn from a seed, played among faults and checked on what clients and engines wrote down. Each
//! subject is a module of its own; what the proofs of promises share stands in `played` and `shape`.

pub mod deaths;
pub mod disks;
pub mod long;
pub mod played;
pub mod postgres;
pub mod promises;
pub mod roll;
pub mod rules;
mod shape;
pub mod sites;
pub mod soak;
