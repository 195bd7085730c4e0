//! A stand-in for an engine that speaks PostgreSQL, after the published protocol: one thread a connection, a
//! record of all that it did, and faults on demand. Its statements carry what they are to do in a string:
//! `run('id=7,rows=3,bytes=20,ms=5')`, in the text or as the one parameter.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};

use hallmux_postgres::wire::{self, CancelKey, InitialMessage};

use super::conversation::Conversation;
use super::record::{EngineEventKind, Records};

/// Faults of an engine, to be set while it runs.
#[derive(Default)]
pub struct Faults {
    /// It is gone: no connection is taken, those that were are reset.
    pub down: AtomicBool,
    /// Nothing is answered until then, in microseconds since the rig began.
    pub stalled_until: AtomicU64,
    /// Every statement takes so many microseconds longer.
    pub extra_latency_us: AtomicU64,
    /// So many of the next commits are lost with their connection; odd ones after they took effect.
    pub lost_commits: AtomicU32,
    /// So many of the next statements are lost with their connection.
    pub lost_statements: AtomicU32,
    /// So many of the next results are lost with their connection once a good part of them has gone.
    pub lost_results: AtomicU32,
    /// So many of the next statements to be prepared are refused.
    pub refused_parses: AtomicU32,
    /// How often each of the last was played.
    pub played: AtomicU32,
}

impl Faults {
    /// Takes one of the faults that are left of a kind; how many were left before.
    pub(super) fn take_one(&self, left: &AtomicU32) -> Option<u32> {
        left.fetch_update(SeqCst, SeqCst, |n| n.checked_sub(1)).ok()
    }

    /// Whether a fault of the kind is left: it is taken, and counts as played.
    pub(super) fn inject(&self, left: &AtomicU32) -> bool {
        let injected = self.take_one(left).is_some();
        self.played.fetch_add(u32::from(injected), SeqCst);
        injected
    }
}

pub(super) struct Link {
    pub(super) stream: TcpStream,
    /// The statement that runs, whether its end was asked for, and whether the connection was reset.
    pub(super) running: Mutex<(Option<String>, bool, bool)>,
    pub(super) changed: Condvar,
    secret: u32,
}

pub struct Engine {
    pub number: usize,
    pub at: SocketAddr,
    pub faults: Faults,
    pub records: Arc<Records>,
    /// Whether statements are written down; a measurement leaves that.
    pub records_statements: bool,
    links: Mutex<HashMap<u32, Arc<Link>>>,
    next: AtomicU32,
}

impl Engine {
    /// Starts to listen on a port of the system's.
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

    /// Resets all connections, as a process that dies does.
    pub fn crash(&self) {
        self.faults.down.store(true, SeqCst);
        self.reset(usize::MAX);
    }

    /// Resets so many connections.
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

    /// What runs on a connection is over. Written down before anyone else can know it: its thread may have no CPU
    /// for a while, and to a front that has heard of it the statement may run elsewhere by then.
    pub(super) fn record_end(&self, link: u32, running: &mut Option<String>) {
        if let Some(id) = running.take().filter(|_| self.records_statements) {
            self.records
                .note(self.number, link, EngineEventKind::Ended { id });
        }
    }

    /// Connections that are up.
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
        wire::write_key(
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
