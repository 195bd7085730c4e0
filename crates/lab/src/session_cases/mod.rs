//! Tests of PostgreSQL sessions: each test causes the one situation in its name.

mod engines;
mod keys;
mod sessions;
mod stage;
