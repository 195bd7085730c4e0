//! The queue of membership updates to send, each a bounded number of times.

use crate::message::MemberUpdate;
use crate::PeerId;

/// An update is sent up to this factor times the binary logarithm of the view's size.
const RETRANSMIT_FACTOR: f64 = 4.0;
/// Maximum number of queued updates; beyond it the one sent most often is dropped.
const MAX_UPDATES: usize = 256;

/// The latest update on each member, and how often it was sent.
#[derive(Default)]
pub(super) struct UpdateQueue {
    queue: Vec<Queued>,
}

struct Queued {
    update: MemberUpdate,
    times_sent: u32,
}

impl UpdateQueue {
    /// Queues an update, replacing any queued update on the same member.
    pub(super) fn enqueue(&mut self, update: MemberUpdate) {
        self.remove(update.member);
        if self.queue.len() >= MAX_UPDATES {
            if let Some(most_sent) = (0..self.queue.len()).max_by_key(|n| self.queue[*n].times_sent)
            {
                self.queue.swap_remove(most_sent);
            }
        }
        self.queue.push(Queued {
            update,
            times_sent: 0,
        });
    }

    /// Drops the queued update on a member, if any.
    pub(super) fn remove(&mut self, member: PeerId) {
        self.queue.retain(|queued| queued.update.member != member);
    }

    /// Adds updates until `selected` holds `max_updates`, those sent least often first. `members`
    /// is the size of the view.
    pub(super) fn pick(
        &mut self,
        members: usize,
        max_updates: usize,
        selected: &mut Vec<MemberUpdate>,
    ) {
        let limit = (RETRANSMIT_FACTOR * ((members + 2) as f64).log2()).ceil() as u32;
        self.queue.retain(|queued| queued.times_sent < limit);
        self.queue.sort_by_key(|queued| queued.times_sent);
        for queued in &mut self.queue {
            if selected.len() >= max_updates {
                break;
            }
            if !selected
                .iter()
                .any(|selected_update| selected_update.member == queued.update.member)
            {
                queued.times_sent += 1;
                selected.push(queued.update);
            }
        }
    }
}
