//! What a voter must not forget: its promise, what it accepted, what is decided. Kept in memory and written out
//! whole: it is a few kilobytes, as the log is folded into a snapshot every few entries.

use hallmux_replica::{Held, Store};
use serde::{Deserialize, Serialize};

use crate::leases::Change;

const MAGIC: [u8; 8] = *b"hmlease1"; // the form's name; another form is another name
const SUM: usize = 4; // bytes of the checksum behind the name

/// The state, as it is saved.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct State {
    /// The fleet that it was saved in.
    fleet: u64,
    held: Held<Change>,
}

/// Why what was saved can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    #[error("what was saved is cut short, altered or of another form; bring the directory back from before, or name another front as voter")]
    Form,
    #[error("what was saved is of another fleet or of other voters; give the front the directory of its own fleet")]
    Fleet,
    #[error(
        "this front is not among the voters, or there are too few of them; name it, and three or five in all"
    )]
    Voters,
}

/// What a voter holds, by the fleet that it is of.
#[derive(Clone, Debug)]
pub struct Disk {
    fleet: u64,
    /// The log's library has this handle as well.
    pub store: Store<Change>,
}

impl Disk {
    pub fn new(fleet: u64) -> Disk {
        Disk { fleet, store: Store::new(Held::default()) }
    }

    /// What was saved in an earlier life.
    pub fn read(fleet: u64, saved: &[u8]) -> Result<Disk, Spoilt> {
        let (head, body) = saved.split_at_checked(MAGIC.len() + SUM).ok_or(Spoilt::Form)?;
        let sum = head[MAGIC.len()..].try_into().map(u32::from_be_bytes).map_err(|_| Spoilt::Form)?;
        if head[..MAGIC.len()] != MAGIC || crc32fast::hash(body) != sum {
            return Err(Spoilt::Form);
        }
        let state: State = postcard::from_bytes(body).map_err(|_| Spoilt::Form)?;
        match state.fleet == fleet {
            true => Ok(Disk { fleet, store: Store::new(state.held) }),
            false => Err(Spoilt::Fleet),
        }
    }

    /// What has to be saved before anything that follows from it is told, if there is anything.
    pub fn unsaved(&self) -> Option<Vec<u8>> {
        self.store.changes()?;
        let state = State { fleet: self.fleet, held: self.store.look(Held::clone) };
        let body = postcard::to_stdvec(&state).unwrap_or_default();
        let sum = crc32fast::hash(&body).to_be_bytes();
        Some([&MAGIC[..], &sum, &body].concat())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Task;
    use omnipaxos::storage::Storage;

    #[test]
    fn what_is_spoilt_says_what_to_do() {
        for spoilt in [Spoilt::Form, Spoilt::Fleet, Spoilt::Voters] {
            let text = spoilt.to_string();
            assert!(text.split_once("; ").is_some_and(|(wrong, remedy)| wrong.len() > 8 && remedy.len() > 8));
        }
    }

    #[test]
    fn what_is_saved_is_read_again_and_nothing_spoilt_is() {
        let disk = Disk::new(7);
        let mut store = disk.store.clone();
        assert_eq!(disk.unsaved(), None);
        store.append_entry(Change::Grant { task: Task::Zones, after: 0, owner: 3, number: 1 }).unwrap();
        store.set_decided_idx(1).unwrap();
        let saved = disk.unsaved().unwrap();
        assert_eq!(disk.unsaved(), None);
        let again = Disk::read(7, &saved).unwrap();
        assert_eq!((again.store.get_decided_idx().unwrap(), again.store.get_log_len().unwrap()), (1, 1));
        assert_eq!(Disk::read(8, &saved).unwrap_err(), Spoilt::Fleet);
        for cut in 0..saved.len() {
            assert_eq!(Disk::read(7, &saved[..cut]).unwrap_err(), Spoilt::Form, "{cut}");
        }
        for at in 0..saved.len() {
            let mut spoilt = saved.clone();
            spoilt[at] ^= 0x40;
            assert_eq!(Disk::read(7, &spoilt).unwrap_err(), Spoilt::Form, "{at}");
        }
    }
}
