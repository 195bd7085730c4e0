//! The PostgreSQL protocol in the front: sessions of clients, connections to engines that speak it,
//! and the gateway between both and the dispatcher. Nothing of it exists unless the operator's file
//! switches it on.

pub mod admission_state;
mod error;
pub mod gateway;
mod ids;
mod servers;
pub mod sessions;
