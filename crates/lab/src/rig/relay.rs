//! The fault relay: a local port between one front and one engine that passes all bytes. A link can
//! lose traffic both ways or one way, be slowed or be reset while both ends keep running, and every
//! statement sent through it is recorded whether it passed or not.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::engine::{Lines, Records, WireEvent, WireEventKind};

const CHUNK: usize = 16 << 10; // bytes read and forwarded at once

/// The faults that are active on a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Nothing passes from the front towards the engine.
    pub out_lost: bool,
    /// Nothing passes from the engine back to the front.
    pub back_lost: bool,
    /// Milliseconds added before each chunk passes.
    pub delay_ms: u64,
}

/// Traffic from a front towards an engine, with its time in microseconds since the rig started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relayed {
    pub at: i64,
    pub front: usize,
    pub engine: usize,
    pub zone: usize,
    pub statements: usize,
    pub probes: usize,
    /// Connections that were opened.
    pub opened: usize,
    pub passed: bool,
}

/// One connection through the relay: the engine's side of it, and whether the link has been reset.
struct Connection {
    engine_side: TcpStream,
    is_reset: Arc<AtomicBool>,
}

/// The direction of one of a connection's two threads, and the state that both threads share.
struct Direction {
    /// Whether bytes pass from the front to the engine.
    out: bool,
    /// The relay's local port on the engine's side.
    port: u16,
    is_reset: Arc<AtomicBool>,
}

/// The connections of one front to one engine.
pub struct Link {
    pub front: usize,
    pub engine: usize,
    pub zone: usize,
    pub address: SocketAddr,
    state: Mutex<LinkState>,
    open: Mutex<Vec<Connection>>,
    records: Arc<Records>,
    relayed: Arc<Mutex<Vec<Relayed>>>,
}

impl Link {
    /// Listens on a free local port and forwards connections to `to`.
    pub fn start(
        (front, engine, zone): (usize, usize, usize),
        to: SocketAddr,
        records: Arc<Records>,
        relayed: Arc<Mutex<Vec<Relayed>>>,
    ) -> std::io::Result<Arc<Link>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let (state, open) = (Mutex::default(), Mutex::default());
        let link = Arc::new(Link {
            front,
            engine,
            zone,
            address: at,
            state,
            open,
            records,
            relayed,
        });
        let accepting = link.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                accepting.record_traffic((0, 0, 1), !accepting.state().out_lost);
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let port = far.local_addr().map_or(0, |own| own.port());
                if let Ok(own) = far.local_addr() {
                    accepting.records.note_connection(own, to, accepting.front);
                }
                let is_reset = Arc::new(AtomicBool::new(false));
                if let (Ok(engine_side), Ok(mut open)) = (far.try_clone(), accepting.open.lock()) {
                    open.retain(|connection| connection.engine_side.peer_addr().is_ok());
                    open.push(Connection {
                        engine_side,
                        is_reset: is_reset.clone(),
                    });
                }
                let (out, back) = (accepting.clone(), accepting.clone());
                let (near_r, far_r) = match (near.try_clone(), far.try_clone()) {
                    (Ok(n), Ok(f)) => (n, f),
                    _ => continue,
                };
                let ways = [true, false].map(|out| Direction {
                    out,
                    port,
                    is_reset: is_reset.clone(),
                });
                let [way_out, way_back] = ways;
                std::thread::spawn(move || out.pass(near_r, far, &way_out));
                std::thread::spawn(move || back.pass(far_r, near, &way_back));
            }
        });
        Ok(link)
    }

    /// Changes the active faults of the link.
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        if let Ok(mut state) = self.state.lock() {
            change(&mut state);
        }
    }

    /// The active faults of the link.
    pub fn state(&self) -> LinkState {
        self.state.lock().map(|s| *s).unwrap_or_default()
    }

    /// Resets every connection of the link, the engine's side first: the engine cancels what runs
    /// for a closed connection and closes its own side, and only that close reaches the front. An
    /// engine without a CPU may take long to do so. If the front saw the reset after a fixed time,
    /// its retries would run beside executions that the engine has not stopped yet, and the record
    /// would blame the front.
    pub fn reset(&self) {
        if let Ok(mut open) = self.open.lock() {
            for connection in open.drain(..) {
                connection.is_reset.store(true, SeqCst);
                let _ = connection.engine_side.shutdown(Shutdown::Write);
            }
        }
    }

    fn record_traffic(&self, (statements, probes, opened): (usize, usize, usize), passed: bool) {
        let Link {
            front,
            engine,
            zone,
            ..
        } = *self;
        let at = self.records.now();
        let relayed = Relayed {
            at,
            front,
            engine,
            zone,
            statements,
            probes,
            opened,
            passed,
        };
        if let (true, Ok(mut all)) = (statements + probes + opened > 0, self.relayed.lock()) {
            all.push(relayed);
        }
    }

    fn note_wire_event(&self, port: u16, kind: WireEventKind) {
        let Link { front, engine, .. } = *self;
        self.records.note_wire_event(WireEvent {
            at: self.records.now(),
            front,
            engine,
            port,
            kind,
        });
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, way: &Direction) {
        let mut chunk = vec![0; CHUNK];
        let mut lines = Lines::default();
        loop {
            let read = match from.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(read) => read,
            };
            let state = self.state();
            let cut = if way.out {
                state.out_lost
            } else {
                state.back_lost
            };
            let lost = cut || way.is_reset.load(SeqCst);
            if way.out {
                let count = |word: &[u8]| chunk[..read].windows(5).filter(|w| *w == word).count();
                self.record_traffic((count(b"want "), count(b"busy "), 0), !lost);
                self.records.note_dispatch(self.front, &chunk[..read]);
            }
            for (verb, id) in lines.take(&chunk[..read]) {
                self.note_wire_event(
                    way.port,
                    WireEventKind::Line {
                        verb,
                        id,
                        passed: !lost,
                    },
                );
            }
            if lost {
                continue;
            }
            if state.delay_ms > 0 {
                std::thread::sleep(Duration::from_millis(state.delay_ms));
            }
            // A write that races with a reset fails; the front sees the reset only through the
            // engine's close.
            if to.write_all(&chunk[..read]).is_err() && !way.is_reset.load(SeqCst) {
                break;
            }
        }
        self.note_wire_event(
            way.port,
            if way.out {
                WireEventKind::FrontClosed
            } else {
                WireEventKind::EngineClosed
            },
        );
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
