//! The log's library counts on messages that come in the order in which they left, and may forget what it has
//! accepted, or panic, where an older one comes late: one that was overtaken counts as lost.

use std::collections::BTreeMap;

use omnipaxos::messages::Message;
use omnipaxos::storage::Entry;

/// Counts the messages of one member to the others, and those that it hears of them.
#[derive(Debug, Default)]
pub struct Order {
    sent: u64,
    /// Of each sender: its life and the number of its last.
    heard: BTreeMap<u64, (u64, u64)>,
}

impl Order {
    /// The number that goes with a message; 0: it need not come in order.
    pub fn number<T: Entry>(&mut self, message: &Message<T>) -> u64 {
        match message {
            Message::SequencePaxos(_) => {
                self.sent += 1;
                self.sent
            }
            Message::BLE(_) => 0,
        }
    }

    /// Whether a message has not been overtaken. Later lives of a sender have higher numbers, and count anew.
    pub fn takes(&mut self, from: u64, life: u64, number: u64) -> bool {
        let last = self.heard.entry(from).or_default();
        if number > 0 && (life, number) <= *last {
            return false;
        }
        if number > 0 {
            *last = (life, number);
        }
        true
    }
}

#[cfg(test)]
#[path = "order_tests.rs"]
mod tests;
