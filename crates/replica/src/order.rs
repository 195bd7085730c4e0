//! Message order between members of a replicated log. The log library relies on messages that come in the
//! order in which they left, and may lose accepted entries, or panic, where an older one comes late: a
//! message that was overtaken counts as lost.

use std::collections::BTreeMap;

use omnipaxos::messages::Message;
use omnipaxos::storage::Entry;

/// A sender's incarnation and the number of its latest message; ordered by both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct LatestMessage {
    incarnation: u64,
    number: u64,
}

/// Numbers the messages of one member to the others, and checks the numbers of those that it receives.
#[derive(Debug, Default)]
pub struct MessageOrder {
    sent: u64,
    /// Of each sender, its latest message.
    received: BTreeMap<u64, LatestMessage>,
}

impl MessageOrder {
    /// The number that goes with a message to be sent; 0: it need not come in order.
    pub fn next_number<T: Entry>(&mut self, message: &Message<T>) -> u64 {
        match message {
            Message::SequencePaxos(_) => {
                self.sent += 1;
                self.sent
            }
            Message::BLE(_) => 0,
        }
    }

    /// Whether a received message was not overtaken. `incarnation` grows with each start of the sender, which
    /// numbers its messages anew.
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
