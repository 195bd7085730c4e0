//! Cases of PostgreSQL sessions, one by one: each test causes the very thing it is named after.

mod engines;
mod keys;
mod sessions;
mod stage;
