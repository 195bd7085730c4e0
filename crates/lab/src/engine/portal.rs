//! A stand-in for an engine that speaks PostgreSQL, written after the published protocol: one
//! thread per connection, a record of everything it did, and faults on demand. Its statements
//! describe their work in a string, `run('id=7,rows=3,bytes=20,ms=5')`, in the text or as the only
//! parameter.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};

use hallmux_postgres::wire::{self, CancelKey, InitialMessage};

use super::conversation::Conversation;
use super::record::{EngineEventKind, Records};

/// Faults of an engine that can be set while it runs.
#[derive(Default)]
pub struct Faults {
    /// The engine is down: it accepts no connections, and existing ones are reset.
    pub down: AtomicBool,
    /// Nothing is answered until this time, in microseconds since the rig began.
    pub stalled_until: AtomicU64,
    /// Microseconds added to the duration of every statement.
    pub extra_latency_us: AtomicU64,
    /// How many of the next commits are lost with their connection. Those that find an odd number
    /// left are lost after they took effect.
    pub lost_commits: AtomicU32,
    /// How many of the next statements are lost with their connection.
    pub lost_statements: AtomicU32,
    /// How many of the next results are lost with their connection after `MIN_ROWS_BEFORE_LOSS`
    /// rows.
    pub lost_results: AtomicU32,
    /// How many of the next requests to prepare a statement are rejected.
    pub refused_parses: AtomicU32,
    /// How many of the counted faults above have been injected.
    pub played: AtomicU32,
}

impl Faults {
    /// Uses up one fault of a kind and returns how many were left before; `None` if none was left.
    pub(super) fn take_one(&self, left: &AtomicU32) -> Option<u32> {
        left.fetch_update(SeqCst, SeqCst, |n| n.checked_sub(1)).ok()
    }

    /// Returns whether a fault of this kind was left; it is used up and counts as injected.
    pub(super) fn inject(&self, left: &AtomicU32) -> bool {
        let injected = self.take_one(left).is_some();
        self.played.fetch_add(u32::from(injected), SeqCst);
        injected
    }
}

/// An open connection of a client to the engine.
pub(super) struct Link {
    pub(super) stream: TcpStream,
    /// The running statement, whether its cancellation was requested, and whether the connection
    /// was reset.
    pub(super) running: Mutex<(Option<String>, bool, bool)>,
    pub(super) changed: Condvar,
    secret: u32,
}

/// A stand-in engine that speaks PostgreSQL, with its faults and its open connections.
pub struct Engine {
    pub number: usize,
    pub at: SocketAddr,
    pub faults: Faults,
    pub records: Arc<Records>,
    /// Whether statements are recorded; measurements turn this off.
    pub records_statements: bool,
    links: Mutex<HashMap<u32, Arc<Link>>>,
    next: AtomicU32,
}

impl Engine {
    /// Starts an engine that listens on a port assigned by the system.
    pub fn start(
        number: usize,
        records: Arc<Records>,
        records_statements: bool,
    ) -> std::io::Result<Arc<Engine>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let engine = Arc::new(Engine {
            number,
            at: listener.local_addr()?,
            faults: Faults::default(),
            records,
            records_statements,
            links: Mutex::default(),
            next: AtomicU32::new(1),
        });
        let acceptor = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if acceptor.faults.down.load(SeqCst) {
                    continue;
                }
                let engine = acceptor.clone();
                std::thread::spawn(move || _ = engine.serve(stream));
            }
        });
        Ok(engine)
    }

    /// Resets all connections, as the death of a process does.
    pub fn crash(&self) {
        self.faults.down.store(true, SeqCst);
        self.reset(usize::MAX);
    }

    /// Resets up to `count` connections.
    pub fn reset(&self, count: usize) {
        let Ok(links) = self.links.lock() else { return };
        for (number, link) in links.iter().take(count) {
            if let Ok(mut running) = link.running.lock() {
                running.2 = true;
                self.record_end(*number, &mut running.0);
            }
            let _ = link.stream.shutdown(Shutdown::Both);
            link.changed.notify_all();
        }
    }

    /// Records that the statement running on a connection has ended. This happens before anyone
    /// else can learn of it: the connection's thread may get no CPU for a while, and a front that
    /// has learned of the end may already run the statement elsewhere.
    pub(super) fn record_end(&self, link: u32, running: &mut Option<String>) {
        if let Some(id) = running.take().filter(|_| self.records_statements) {
            self.records
                .note(self.number, link, EngineEventKind::Ended { id });
        }
    }

    /// Returns the number of open connections.
    #[cfg(test)]
    pub fn connections(&self) -> usize {
        self.links.lock().map_or(0, |links| links.len())
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut conversation = Conversation::new(self.clone(), stream.try_clone()?, 0);
        loop {
            conversation.read_input()?;
            let Ok(initial_message) = wire::initial_message(&conversation.input) else {
                return Ok(());
            };
            let Some((len, initial_message)) = initial_message else {
                continue;
            };
            let is_startup = match initial_message {
                InitialMessage::EncryptionRequest => {
                    conversation.out.push(b'N');
                    conversation.flush()?;
                    false
                }
                InitialMessage::Cancel(CancelKey { process, secret }) => {
                    self.cancel(process, secret);
                    return Ok(());
                }
                InitialMessage::UnsupportedVersion { .. } => return Ok(()),
                InitialMessage::StartUp { .. } => true,
            };
            conversation.input.drain(..len);
            if is_startup {
                break;
            }
        }
        let number = self.next.fetch_add(1, SeqCst);
        let secret = number.wrapping_mul(0x9e37_79b9) ^ 0x5bd1_e995;
        let running = Mutex::new((None, false, false));
        let link = Arc::new(Link {
            stream,
            running,
            changed: Condvar::new(),
            secret,
        });
        if let Ok(mut links) = self.links.lock() {
            links.insert(number, link.clone());
        }
        conversation.number = number;
        conversation.link = Some(link);
        let out = &mut conversation.out;
        wire::write(out, b'R', |out| out.extend_from_slice(&[0; 4]));
        wire::write_parameter(out, "server_version", "15.4");
        wire::write_parameter(out, "client_encoding", "UTF8");
        wire::write_backend_key(
            out,
            CancelKey {
                process: number,
                secret,
            },
        );
        wire::write_ready(out, b'I');
        let ended = conversation
            .flush()
            .and_then(|()| conversation.serve_messages());
        if let Ok(mut links) = self.links.lock() {
            links.remove(&number);
        }
        ended
    }

    fn cancel(&self, process: u32, secret: u32) {
        let link = self
            .links
            .lock()
            .ok()
            .and_then(|links| links.get(&process).cloned());
        let Some(link) = link.filter(|link| link.secret == secret) else {
            return;
        };
        let Ok(mut running) = link.running.lock() else {
            return;
        };
        running.1 = running.0.is_some();
        self.records.note(
            self.number,
            process,
            EngineEventKind::Cancelled {
                id: running.0.clone(),
            },
        );
        self.record_end(process, &mut running.0);
        link.changed.notify_all();
    }
}

#[cfg(test)]
#[path = "portal_tests.rs"]
mod tests;
