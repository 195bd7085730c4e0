//! The load: the statements of clients, and their record of the outcomes.

pub mod offer;
