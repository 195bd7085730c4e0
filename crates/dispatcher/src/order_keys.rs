//! Order keys: the small index of each for the scheduler, and the number of its users. An unused
//! key pauses for the agreed time before another key may reuse its index.

use std::collections::{BTreeSet, HashMap};

use hallmux::interface::{KeyId, Micros};

/// The order keys that are in use or paused.
pub struct OrderKeys {
    /// Microseconds for which a key pauses after its last use.
    pause: Micros,
    keys: HashMap<String, OrderKey>,
    free_ids: Vec<KeyId>,
    pauses: BTreeSet<Pause>,
}

struct OrderKey {
    id: KeyId,
    /// The number of statements and open transactions that use the key.
    users: usize,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Pause {
    ends: Micros,
    key: String,
}

impl OrderKeys {
    /// Creates an empty set. Each key will pause for `pause` microseconds after its last use.
    pub fn new(pause: Micros) -> OrderKeys {
        OrderKeys {
            pause,
            keys: HashMap::new(),
            free_ids: Vec::new(),
            pauses: BTreeSet::new(),
        }
    }

    /// Adds a statement as a user of a key. Returns the key's index.
    pub fn acquire(&mut self, name: &str) -> KeyId {
        let next_id = self.keys.len() as KeyId;
        let free_ids = &mut self.free_ids;
        let key = self.keys.entry(name.to_string());
        let key = key.or_insert_with(|| OrderKey {
            id: free_ids.pop().unwrap_or(next_id),
            users: 0,
        });
        key.users += 1;
        key.id
    }

    /// Adds the transaction of a statement that uses a key as a further user.
    pub fn share(&mut self, name: &str) {
        if let Some(key) = self.keys.get_mut(name) {
            key.users += 1;
        }
    }

    /// The index of a key that is in use or paused; None for any other key.
    pub fn id(&self, name: &str) -> Option<KeyId> {
        self.keys.get(name).map(|key| key.id)
    }

    /// Removes a user of a key. Without users the key pauses.
    pub fn release(&mut self, now: Micros, name: &str) {
        let Some(key) = self.keys.get_mut(name) else {
            return;
        };
        key.users -= 1;
        if key.users == 0 {
            self.pauses.insert(Pause {
                ends: now + self.pause,
                key: name.to_string(),
            });
        }
    }

    /// Removes the keys whose pause is over. Must be called after the scheduler was notified of
    /// their last use.
    pub fn free_unused(&mut self, now: Micros) {
        while let Some(pause) = self.pauses.pop_first() {
            if pause.ends >= now {
                self.pauses.insert(pause);
                return;
            }
            let unused = self.keys.get(&pause.key).is_some_and(|key| key.users == 0);
            if unused {
                let freed = self.keys.remove(&pause.key);
                self.free_ids.extend(freed.map(|key| key.id));
            }
        }
    }

    /// The numbers of retained keys, free indices and pauses.
    #[cfg(test)]
    pub fn retained_counts(&self) -> [usize; 3] {
        [self.keys.len(), self.free_ids.len(), self.pauses.len()]
    }
}
