//! Rumours that are to be passed on, each a bounded number of times.

use crate::message::Rumour;
use crate::PeerId;

const RETRANSMIT_FACTOR: f64 = 4.0; // times the logarithm of the view's size that a rumour is passed on
const MAX_RUMOURS: usize = 256; // held to be passed on; beyond them the one passed on most is dropped

/// The latest rumour of each member, and how often it was passed on.
#[derive(Default)]
pub(super) struct RumourQueue {
    queue: Vec<Queued>,
}

struct Queued {
    rumour: Rumour,
    sent: u32,
}

impl RumourQueue {
    /// Queues a rumour in place of what was queued of its member.
    pub(super) fn spread(&mut self, rumour: Rumour) {
        self.forget(rumour.member);
        if self.queue.len() >= MAX_RUMOURS {
            if let Some(most) = (0..self.queue.len()).max_by_key(|n| self.queue[*n].sent) {
                self.queue.swap_remove(most);
            }
        }
        self.queue.push(Queued { rumour, sent: 0 });
    }

    /// Drops what is queued of a member.
    pub(super) fn forget(&mut self, member: PeerId) {
        self.queue.retain(|queued| queued.rumour.member != member);
    }

    /// Adds rumours until `picked` holds `most`, those passed on least first; `members` is the size of the
    /// view.
    pub(super) fn pick(&mut self, members: usize, most: usize, picked: &mut Vec<Rumour>) {
        let limit = (RETRANSMIT_FACTOR * ((members + 2) as f64).log2()).ceil() as u32;
        self.queue.retain(|queued| queued.sent < limit);
        self.queue.sort_by_key(|queued| queued.sent);
        for queued in &mut self.queue {
            if picked.len() >= most {
                break;
            }
            if !picked.iter().any(|r| r.member == queued.rumour.member) {
                queued.sent += 1;
                picked.push(queued.rumour);
            }
        }
    }
}
