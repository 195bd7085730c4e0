//! What a voter must not forget: its promise, what it accepted, what is decided. Kept in memory and written
//! out whole: it is a few kilobytes, as the log is folded into a snapshot every few entries.

use hallmux_replica::{Held, Store};
use serde::{Deserialize, Serialize};

use crate::leases::Change;

const MAGIC: [u8; 8] = *b"hmlease2"; // the form's name; another form is another name
const BEFORE: [u8; 8] = *b"hmlease1"; // the form of builds that did not count lives
const SUM: usize = 4; // bytes of the checksum behind the name

/// The state, as it is saved.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct State {
    /// The fleet that it was saved in.
    fleet: u64,
    held: Held<Change>,
    /// How often a voter has begun with it.
    life: u64,
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
    /// The number of this life of the voter.
    pub life: u64,
    /// This life's number is not saved yet.
    begun: bool,
    /// The log's library has this handle as well.
    pub store: Store<Change>,
}

impl Disk {
    pub fn new(fleet: u64) -> Disk {
        Disk { fleet, life: 0, begun: false, store: Store::new(Held::default()) }
    }

    /// What was saved in an earlier life.
    pub fn read(fleet: u64, saved: &[u8]) -> Result<Disk, Spoilt> {
        let (head, body) = saved.split_at_checked(MAGIC.len() + SUM).ok_or(Spoilt::Form)?;
        let sum = head[MAGIC.len()..].try_into().map(u32::from_be_bytes).map_err(|_| Spoilt::Form)?;
        if crc32fast::hash(body) != sum {
            return Err(Spoilt::Form);
        }
        let state: State = match &head[..MAGIC.len()] {
            form if *form == MAGIC => postcard::from_bytes(body),
            // No life was counted then: a 0 behind it says so.
            form if *form == BEFORE => postcard::from_bytes(&[body, &[0]].concat()),
            _ => return Err(Spoilt::Form),
        }
        .map_err(|_| Spoilt::Form)?;
        match state.fleet == fleet {
            true => Ok(Disk { fleet, life: state.life, begun: false, store: Store::new(state.held) }),
            false => Err(Spoilt::Fleet),
        }
    }

    /// A voter begins with it: another life, whose number is saved before anything is told in it.
    pub fn begins(&mut self) {
        (self.life, self.begun) = (self.life + 1, true);
    }

    /// What has to be saved before anything that follows from it is told, if there is anything.
    pub fn unsaved(&mut self) -> Option<Vec<u8>> {
        let changed = self.store.changes().is_some();
        if !std::mem::take(&mut self.begun) && !changed {
            return None;
        }
        let state = State { fleet: self.fleet, held: self.store.look(Held::clone), life: self.life };
        let body = postcard::to_stdvec(&state).unwrap_or_default();
        let sum = crc32fast::hash(&body).to_be_bytes();
        Some([&MAGIC[..], &sum, &body].concat())
    }
}

#[cfg(test)]
#[path = "disk_tests.rs"]
mod tests;
