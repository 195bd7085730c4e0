//! Order keys: the small index of each for the decision module, and who uses it. A key that nobody uses any more
//! pauses for the agreed time before its index may go to another key.

use std::collections::{BTreeSet, HashMap};

use hallmux::interface::{KeyId, Micros};

/// The order keys that are in use or pause.
pub struct OrderKeys {
    /// Microseconds for which a key pauses after its last use.
    pause: Micros,
    keys: HashMap<String, OrderKey>,
    free_ids: Vec<KeyId>,
    pauses: BTreeSet<Pause>,
}

struct OrderKey {
    id: KeyId,
    /// Statements and open transactions that use it.
    users: usize,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Pause {
    ends: Micros,
    key: String,
}

impl OrderKeys {
    /// No keys yet; each pauses for so many microseconds after its last use.
    pub fn new(pause: Micros) -> OrderKeys {
        OrderKeys {
            pause,
            keys: HashMap::new(),
            free_ids: Vec::new(),
            pauses: BTreeSet::new(),
        }
    }

    /// Another statement uses a key. Returns the key's index.
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

    /// The transaction of a statement that uses a key uses it too.
    pub fn share(&mut self, name: &str) {
        if let Some(key) = self.keys.get_mut(name) {
            key.users += 1;
        }
    }

    /// The index of a key that is in use or pauses.
    pub fn id(&self, name: &str) -> Option<KeyId> {
        self.keys.get(name).map(|key| key.id)
    }

    /// A statement or transaction no longer uses a key; after its last use the key pauses.
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

    /// Forgets the keys whose pause is over. To be called after the decision module has heard of their last use.
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

    /// How many keys, free indices and pauses are kept.
    #[cfg(test)]
    pub fn retained_counts(&self) -> [usize; 3] {
        [self.keys.len(), self.free_ids.len(), self.pauses.len()]
    }
}
