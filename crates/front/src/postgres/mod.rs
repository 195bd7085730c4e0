//! PostgreSQL in the front: clients' sessions at the one end, connections to engines that speak it at the other, and
//! the portal between them and the dispatcher. Switched on by the operator's file; off, none of it is there.

pub mod admission_state;
mod error;
pub mod gateway;
mod ids;
mod servers;
mod sessions;
