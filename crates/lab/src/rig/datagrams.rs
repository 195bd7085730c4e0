//! The relay of datagrams between fronts. Every front is advertised to its peers at a port of the
//! rig, so that datagrams between any two fronts can be lost, cut one way, delayed or duplicated,
//! and are recorded.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MAX_DATAGRAM_BYTES: usize = 2_048; // larger datagrams than fronts send are truncated, which corrupts them

/// The faults that are active on datagrams between fronts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    pub split: Option<Split>,
    /// Percentage of datagrams that is lost.
    pub lost_percent: u64,
    /// Extra delay of each datagram in milliseconds.
    pub delay_ms: u64,
    /// Delay in milliseconds after which each datagram is delivered a second time.
    pub duplicate_after_ms: Option<u64>,
    /// Upper bound in milliseconds of a random extra delay per datagram, which reorders them.
    pub max_jitter_ms: u64,
}

/// A partition between fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Fronts numbered below `below` are cut off from the rest; if `second` is set, fronts from
    /// that number on form a third group.
    pub below: usize,
    pub second: Option<usize>,
    /// Datagrams towards lower numbers still pass: the higher group receives nothing from the lower
    /// one, which still receives from the higher.
    pub one_way: bool,
}

impl Split {
    /// The group of a front in the partition, counted from 0.
    pub fn group(&self, front: usize) -> usize {
        usize::from(front >= self.below)
            + usize::from(self.second.is_some_and(|second| front >= second))
    }
}

impl DatagramFaults {
    /// Whether a datagram passes; `drawn` is a random number below 100.
    pub fn passes(&self, from: usize, to: usize, drawn: u64) -> bool {
        let cut = self.split.is_some_and(|split| {
            let (from, to) = (split.group(from), split.group(to));
            from < to || (!split.one_way && from > to)
        });
        !cut && drawn >= self.lost_percent
    }
}

/// A recorded datagram: its time in microseconds since the rig started, its size in bytes, whether
/// it passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedDatagram {
    pub at: i64,
    pub from: usize,
    pub to: usize,
    pub bytes: usize,
    pub passed: bool,
}

#[derive(Default)]
struct Shared {
    state: Mutex<DatagramFaults>,
    /// The number of each front by the address that it sends from, and the address where each
    /// listens.
    fronts: Mutex<HashMap<SocketAddr, usize>>,
    listens: Mutex<HashMap<usize, SocketAddr>>,
    datagrams: Mutex<Vec<RelayedDatagram>>,
}

/// The datagram relay of all fronts.
pub struct DatagramRelay {
    shared: Arc<Shared>,
    /// The relay's address for each front, by the front's number.
    pub addresses: Vec<SocketAddr>,
}

impl DatagramRelay {
    /// Opens a port for each front; `now` returns microseconds since the rig started. `on_sent` is
    /// called with the sender of each datagram and returns whether the sender dies at it.
    pub fn start(
        fronts: usize,
        now: impl Fn() -> i64 + Send + Sync + 'static,
        on_sent: impl Fn(usize) -> bool + Send + Sync + 'static,
    ) -> std::io::Result<DatagramRelay> {
        let (shared, now, on_sent) = (
            Arc::new(Shared::default()),
            Arc::new(now),
            Arc::new(on_sent),
        );
        let mut at = Vec::new();
        for to in 0..fronts {
            let socket = Arc::new(UdpSocket::bind("127.0.0.1:0")?);
            at.push(socket.local_addr()?);
            let (shared, now, on_sent) = (shared.clone(), now.clone(), on_sent.clone());
            std::thread::spawn(move || relay(to, &socket, &shared, (&*now, &*on_sent)));
        }
        Ok(DatagramRelay {
            shared,
            addresses: at,
        })
    }

    /// Registers the address that a started front sends from and listens on.
    pub fn register_front(&self, number: usize, at: SocketAddr) {
        if let (Ok(mut fronts), Ok(mut listens)) =
            (self.shared.fronts.lock(), self.shared.listens.lock())
        {
            fronts.retain(|_, n| *n != number);
            fronts.insert(at, number);
            listens.insert(number, at);
        }
    }

    /// Changes the active faults.
    pub fn set(&self, change: impl FnOnce(&mut DatagramFaults)) {
        if let Ok(mut state) = self.shared.state.lock() {
            change(&mut state);
        }
    }

    /// All datagrams recorded so far.
    pub fn datagrams(&self) -> Vec<RelayedDatagram> {
        self.shared
            .datagrams
            .lock()
            .map(|p| p.clone())
            .unwrap_or_default()
    }
}

/// Forwards datagrams addressed to front `to`.
fn relay(
    to: usize,
    socket: &Arc<UdpSocket>,
    shared: &Shared,
    (now, on_sent): (&dyn Fn() -> i64, &dyn Fn(usize) -> bool),
) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, source)) = socket.recv_from(&mut bytes) else {
            continue;
        };
        let from = shared
            .fronts
            .lock()
            .ok()
            .and_then(|f| f.get(&source).copied());
        let target = shared.listens.lock().ok().and_then(|l| l.get(&to).copied());
        let (Some(from), Some(target), Ok(state)) = (from, target, shared.state.lock()) else {
            continue;
        };
        let state = state.clone();
        let passed = state.passes(from, to, rand::random_range(0..100));
        if on_sent(from) {
            continue; // the sender died at this datagram
        }
        if let Ok(mut datagrams) = shared.datagrams.lock() {
            datagrams.push(RelayedDatagram {
                at: now(),
                from,
                to,
                bytes: len,
                passed,
            });
        }
        if !passed {
            continue;
        }
        let delay_ms = state.delay_ms + rand::random_range(0..=state.max_jitter_ms);
        let duplicate_ms = state.duplicate_after_ms.map(|ms| ms + delay_ms);
        for delay in std::iter::once(delay_ms).chain(duplicate_ms) {
            let (socket, content) = (socket.clone(), bytes[..len].to_vec());
            let send = move || _ = socket.send_to(&content, target);
            match delay {
                0 => send(),
                ms => {
                    _ = std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_millis(ms));
                        send();
                    })
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "datagrams_tests.rs"]
mod tests;
