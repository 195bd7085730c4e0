//! The memory that the input of all clients may take together, and which client gives way when it takes more.
//!
//! Guards against many clients that each send part of a statement: what each may send is bounded, and their sum is
//! bounded here. A client that holds no more than its share never gives way.

use hallmux_dispatcher::Micros;

use crate::events::SocketId;

/// Input that a connection holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldInput {
    /// The connection.
    pub socket: SocketId,
    /// Bytes of memory that the input takes.
    pub bytes: usize,
    /// Since when it is held.
    pub since: Micros,
}

/// The connections that give up their input, so that the rest takes `limit` bytes at most. Of those that hold more than an
/// equal share of the limit the ones that have held their input longest go first, as they send slowest.
pub fn connections_to_shed(mut held: Vec<HeldInput>, limit: usize) -> Vec<SocketId> {
    let mut total: usize = held.iter().map(|input| input.bytes).sum();
    if total <= limit {
        return Vec::new();
    }
    let share = limit / held.len().max(1);
    held.retain(|input| input.bytes > share);
    held.sort_unstable_by_key(|input| (input.since, input.socket.number));
    let is_over = |input: &HeldInput| {
        let over = total > limit;
        total -= if over { input.bytes } else { 0 };
        over
    };
    held.into_iter()
        .take_while(is_over)
        .map(|input| input.socket)
        .collect()
}

#[cfg(test)]
#[path = "input_memory_tests.rs"]
mod tests;
