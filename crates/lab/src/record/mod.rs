//! The record of a run, and what it came to.

pub mod account;
