//! The relay of datagrams between fronts: every front is told to the others at a port of the rig's own, so that
//! what passes between any two can be lost, cut one way, slowed or doubled, and is counted.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const MAX_DATAGRAM_BYTES: usize = 2_048; // bytes; longer datagrams than fronts send are cut, which spoils them

/// What happens to datagrams now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    pub split: Option<Split>,
    /// So many in a hundred are lost.
    pub lost_percent: u64,
    /// Milliseconds that each takes longer.
    pub delay_ms: u64,
    /// Each comes a second time, so many milliseconds later.
    pub duplicate_after_ms: Option<u64>,
    /// Each takes a time drawn up to so many milliseconds longer: out of order.
    pub max_jitter_ms: u64,
}

/// A cut between fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Those numbered below and the rest are apart; where the second is set, those from there on are, too.
    pub below: usize,
    pub second: Option<usize>,
    /// Words towards lower numbers still pass: the rest hear nothing of those below, who still hear the rest.
    pub one_way: bool,
}

impl Split {
    pub fn group(&self, front: usize) -> usize {
        usize::from(front >= self.below)
            + usize::from(self.second.is_some_and(|second| front >= second))
    }
}

impl DatagramFaults {
    /// Whether a datagram passes; `drawn` is a number below a hundred.
    pub fn passes(&self, from: usize, to: usize, drawn: u64) -> bool {
        let cut = self.split.is_some_and(|split| {
            let (from, to) = (split.group(from), split.group(to));
            from < to || (!split.one_way && from > to)
        });
        !cut && drawn >= self.lost_percent
    }
}

/// A datagram as the rig saw it: microseconds since the rig began, its bytes, whether it passed.
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
    /// The fronts by the address that each speaks from, and where each listens.
    fronts: Mutex<HashMap<SocketAddr, usize>>,
    listens: Mutex<HashMap<usize, SocketAddr>>,
    datagrams: Mutex<Vec<RelayedDatagram>>,
}

/// The way between all fronts.
pub struct DatagramRelay {
    shared: Arc<Shared>,
    /// Where each front is heard, by its number.
    pub addresses: Vec<SocketAddr>,
}

impl DatagramRelay {
    /// Opens a port for each of so many fronts; `now` tells microseconds since the rig began.
    /// `on_sent` is told of each datagram by its sender, and says whether that ends it.
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

    /// A front has started and speaks and listens at this address.
    pub fn register_front(&self, number: usize, at: SocketAddr) {
        if let (Ok(mut fronts), Ok(mut listens)) =
            (self.shared.fronts.lock(), self.shared.listens.lock())
        {
            fronts.retain(|_, n| *n != number);
            fronts.insert(at, number);
            listens.insert(number, at);
        }
    }

    pub fn set(&self, change: impl FnOnce(&mut DatagramFaults)) {
        if let Ok(mut state) = self.shared.state.lock() {
            change(&mut state);
        }
    }

    pub fn datagrams(&self) -> Vec<RelayedDatagram> {
        self.shared
            .datagrams
            .lock()
            .map(|p| p.clone())
            .unwrap_or_default()
    }
}

/// Passes on what comes for one front.
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
            continue; // it died of this one
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
        let late = state.delay_ms + rand::random_range(0..=state.max_jitter_ms);
        let again = state.duplicate_after_ms.map(|ms| ms + late);
        for delay in std::iter::once(late).chain(again) {
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
