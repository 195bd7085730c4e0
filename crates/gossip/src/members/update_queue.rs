//! Updates that are to be passed on, each a bounded number of times.

use crate::message::MemberUpdate;
use crate::PeerId;

/// An update is passed on so many times the logarithm of the view's size.
const RETRANSMIT_FACTOR: f64 = 4.0;
/// Updates held to be passed on; beyond them the one passed on most is dropped.
const MAX_UPDATES: usize = 256;

/// The latest update of each member, and how often it was passed on.
#[derive(Default)]
pub(super) struct UpdateQueue {
    queue: Vec<Queued>,
}

struct Queued {
    update: MemberUpdate,
    times_sent: u32,
}

impl UpdateQueue {
    /// Queues an update in place of what was queued of its member.
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

    /// Drops what is queued of a member.
    pub(super) fn remove(&mut self, member: PeerId) {
        self.queue.retain(|queued| queued.update.member != member);
    }

    /// Adds updates until `picked` holds `most`, those passed on least first; `members` is the size of the
    /// view.
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
