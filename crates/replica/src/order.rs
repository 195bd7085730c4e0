//! Enforces message order between members of a replicated log. The log library relies on messages arriving in
//! the order in which they were sent; a late, older message can make it lose accepted entries or panic.
//! Messages that arrive out of order are therefore treated as lost.

use std::collections::BTreeMap;

use omnipaxos::messages::Message;
use omnipaxos::storage::Entry;

/// The latest message received from a sender, ordered by the sender's incarnation, then by message number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct LatestMessage {
    incarnation: u64,
    number: u64,
}

/// Numbers the messages that a member sends, and checks the numbers of the messages that it receives.
#[derive(Debug, Default)]
pub struct MessageOrder {
    sent: u64,
    /// The latest message by sender.
    received: BTreeMap<u64, LatestMessage>,
}

impl MessageOrder {
    /// Returns the number to send with a message; 0 for leader election messages, which may arrive in any
    /// order.
    pub fn next_number<T: Entry>(&mut self, message: &Message<T>) -> u64 {
        match message {
            Message::SequencePaxos(_) => {
                self.sent += 1;
                self.sent
            }
            Message::BLE(_) => 0,
        }
    }

    /// Returns whether to process a received message: false if a later message of the same sender has arrived
    /// before, or the message is a duplicate. `incarnation` grows with each start of the sender, whose message
    /// numbers then start again.
    pub fn accepts(&mut self, from: u64, incarnation: u64, number: u64) -> bool {
        let latest = self.received.entry(from).or_default();
        let message = LatestMessage {
            incarnation,
            number,
        };
        if number > 0 && message <= *latest {
            return false;
        }
        if number > 0 {
            *latest = message;
        }
        true
    }
}

#[cfg(test)]
#[path = "order_tests.rs"]
mod tests;
