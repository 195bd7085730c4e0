//! The front's line protocol and Thrift, as far as the rig needs them: a stand-in engine that
//! speaks the line protocol and records what it runs, and, in `client`, a Thrift client.

mod client;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicI64, AtomicU32, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub use self::client::{ask, ask_body, ask_with_retry_hint, Client};
use crate::engine::{EngineEvent, EngineEventKind, Records};
use crate::rig::scenario::Step;

const MAX_STATEMENT_BYTES: usize = 1 << 20; // a longer statement is cut off

/// Starts an engine that speaks the line protocol and is always warm; statements are
/// `id=..,key=..,ms=..`.
pub fn engine(number: usize, records: Arc<Records>) -> std::io::Result<SocketAddr> {
    let warmth = Warmth {
        cold: usize::MAX,
        warm: usize::MAX,
        warm_us: 0,
        memory: usize::MAX,
    };
    Ok(Engine::start(number, records, warmth)?.at)
}

/// How many statements an engine can run at once: `cold` right after its start, growing linearly to
/// `warm` over `warm_us` microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmth {
    pub cold: usize,
    pub warm: usize,
    pub warm_us: i64,
    /// How many statements fit into its memory at once, whether warm or cold.
    pub memory: usize,
}

impl Warmth {
    /// Returns how many statements can run at once `since` microseconds after a start.
    pub fn capacity_at(self, since: i64) -> usize {
        let Warmth {
            cold,
            warm,
            warm_us,
            memory,
        } = self;
        if since >= warm_us || warm <= cold {
            return warm.min(memory);
        }
        let grown = (warm - cold) as f64 * since.max(0) as f64 / warm_us.max(1) as f64;
        memory.min(cold + grown as usize)
    }
}

/// The statements running for a connection, by execution id: each statement's own id, and its link
/// number in the record.
type Runs = Arc<Mutex<HashMap<String, (String, u32)>>>;

/// An engine that speaks the line protocol; it rejects statements beyond its current capacity with
/// `AGAIN`.
pub struct Engine {
    pub number: usize,
    pub at: SocketAddr,
    warmth: Warmth,
    records: Arc<Records>,
    /// When the engine last started, in microseconds since the rig began; and how many statements
    /// are running.
    started: AtomicI64,
    running: AtomicUsize,
    /// The next link number: each execution has a link number of its own in the record.
    next_link: AtomicU32,
    /// The number of rejected statements, and the highest ratio of statements requested at once to
    /// the capacity at that time.
    pub rejected: AtomicUsize,
    peak: Mutex<f64>,
    /// The same ratio since the last start.
    peak_since_start: Mutex<f64>,
    row_store: Option<Arc<dyn RowStore>>,
}

/// The rows that a group of engines serves.
pub trait RowStore: Send + Sync {
    /// Returns the rows that the statement yields on the engine, at the end of its work.
    fn answer(&self, engine: usize, statement: &str) -> String;
}

impl Engine {
    pub fn start(
        number: usize,
        records: Arc<Records>,
        warmth: Warmth,
    ) -> std::io::Result<Arc<Engine>> {
        Engine::with_rows(number, records, warmth, None)
    }

    /// Starts an engine that answers with rows from `row_store`; its statements carry their fields
    /// in a comment that begins with `/* id=`.
    pub fn with_rows(
        number: usize,
        records: Arc<Records>,
        warmth: Warmth,
        row_store: Option<Arc<dyn RowStore>>,
    ) -> std::io::Result<Arc<Engine>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        // The engine is warm at first; only a restart makes it cold.
        let started = AtomicI64::new(records.now() - warmth.warm_us);
        let (running, rejected, peak) = (AtomicUsize::new(0), AtomicUsize::new(0), Mutex::new(0.0));
        let peak_since_start = Mutex::new(0.0);
        let engine = Arc::new(Engine {
            number,
            at,
            warmth,
            records,
            started,
            running,
            next_link: AtomicU32::new(1),
            rejected,
            peak,
            peak_since_start,
            row_store,
        });
        let acceptor = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = acceptor.clone();
                std::thread::spawn(move || _ = engine.serve(stream));
            }
        });
        Ok(engine)
    }

    /// Simulates a restart: the engine is cold again.
    pub fn restart(&self) {
        self.started.store(self.records.now(), SeqCst);
        if let Ok(mut peak) = self.peak_since_start.lock() {
            *peak = 0.0;
        }
    }

    /// Returns how many statements the engine can run at once now.
    pub fn capacity(&self) -> usize {
        self.warmth
            .capacity_at(self.records.now() - self.started.load(SeqCst))
    }

    /// Returns the highest ratio of statements requested at once to the capacity at that time.
    pub fn peak(&self) -> f64 {
        self.peak.lock().map(|p| *p).unwrap_or(0.0)
    }

    /// Returns the same ratio since the last start.
    pub fn peak_since_start(&self) -> f64 {
        self.peak_since_start.lock().map(|p| *p).unwrap_or(0.0)
    }

    fn record(&self, link: u32, kind: EngineEventKind) {
        if let Ok(mut engine_events) = self.records.engine_events.lock() {
            engine_events.push(EngineEvent {
                at: self.records.now(),
                engine: self.number,
                link,
                kind,
            });
        }
    }

    /// Serves a connection. Statements still running when it ends are stopped, as engines stop
    /// those that can no longer be answered. The connection is closed only after their ends are
    /// recorded, so that no front learns of the close before.
    fn serve(self: &Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        let runs: Runs = Arc::default();
        let socket = stream.try_clone()?;
        let served = self.read_messages(stream, &runs);
        if let Ok(mut runs) = runs.lock() {
            for (_, (statement_id, link)) in runs.drain() {
                self.running.fetch_sub(1, SeqCst);
                self.record(link, EngineEventKind::Ended { id: statement_id });
            }
        }
        let _ = socket.shutdown(Shutdown::Both);
        served
    }

    /// Reads requests until the connection ends. `runs` holds the statements running for the
    /// connection, by execution id.
    fn read_messages(self: &Arc<Self>, stream: TcpStream, runs: &Runs) -> std::io::Result<()> {
        let peer = stream.peer_addr()?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let stream = Arc::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            if let ["busy" | "there", tag] = words[..] {
                write!(
                    &*stream,
                    "{tag} READY stats=inflight:{} 0\r\n\r\n",
                    self.running.load(SeqCst)
                )?;
            }
            let ["want", id, _, len] = words[..] else {
                continue;
            };
            let mut body = vec![0; len.parse::<usize>().unwrap_or(0).min(MAX_STATEMENT_BYTES) + 2];
            reader.read_exact(&mut body)?;
            let statement = String::from_utf8_lossy(&body).trim().to_string();
            if self.admits() {
                self.start_execution(Statement::read(statement), id, (peer, &stream), runs);
            } else {
                write!(
                    &*stream,
                    "{id} AGAIN stats=inflight:{} 0\r\n\r\n",
                    self.running.load(SeqCst)
                )?;
            }
        }
    }

    /// Returns whether the engine has capacity for one more statement, which then counts as
    /// running; records the ratio of requested statements to capacity.
    fn admits(&self) -> bool {
        let requested = self.running.fetch_add(1, SeqCst) + 1;
        let capacity = self.capacity();
        for peak in [&self.peak, &self.peak_since_start] {
            if let Ok(mut peak) = peak.lock() {
                *peak = peak.max(requested as f64 / capacity.max(1) as f64);
            }
        }
        if requested > capacity {
            self.running.fetch_sub(1, SeqCst);
            self.rejected.fetch_add(1, SeqCst);
        }
        requested <= capacity
    }

    /// Starts the execution with this id. Its start is recorded when this function returns; a
    /// separate thread ends it.
    fn start_execution(
        self: &Arc<Self>,
        statement: Statement,
        id: &str,
        (peer, stream): (SocketAddr, &Arc<TcpStream>),
        runs: &Runs,
    ) {
        let link = self.next_link.fetch_add(1, SeqCst);
        let front = self.records.front_of(peer, self.at);
        if let (Some(front), Ok(mut sent_by)) = (front, self.records.sent_by.lock()) {
            sent_by.insert((self.number, link), front);
        }
        self.records.note_arrival(self.number, link, (peer, id));
        self.record(
            link,
            EngineEventKind::Began {
                id: statement.id.clone(),
                key: statement.key.clone(),
            },
        );
        let step_front = front.filter(|_| statement.needs_ledger_entry);
        if let Some(front) = step_front {
            self.records.step_reached(Step::Began, front);
        }
        if let Ok(mut runs) = runs
            .lock()
            .map(|runs| (!statement.survives_disconnect).then_some(runs))
        {
            runs.iter_mut()
                .for_each(|runs| _ = runs.insert(id.to_string(), (statement.id.clone(), link)));
        }
        let execution = Execution {
            id: id.to_string(),
            link,
            step_front,
            statement,
        };
        let (engine, stream, runs) = (self.clone(), stream.clone(), runs.clone());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(execution.statement.ms));
            engine.finish(execution, &stream, &runs);
        });
    }

    /// Ends an execution whose work is done and answers it, unless it was stopped with its
    /// connection.
    fn finish(&self, execution: Execution, stream: &TcpStream, runs: &Runs) {
        let Execution {
            id,
            link,
            step_front,
            statement,
        } = execution;
        // Recorded under the lock: once `serve` holds it, every end that the close could reveal is
        // recorded.
        if let Ok(mut runs) = runs.lock() {
            if runs.remove(&id).is_none() && !statement.survives_disconnect {
                return; // was stopped with its connection
            }
            self.record(
                link,
                EngineEventKind::Ended {
                    id: statement.id.clone(),
                },
            );
        }
        self.record(
            link,
            EngineEventKind::Kept {
                id: statement.id.clone(),
            },
        );
        if let Some(front) = step_front {
            self.records.step_reached(Step::Kept, front);
        }
        self.running.fetch_sub(1, SeqCst);
        let row = match &self.row_store {
            Some(row_store) => row_store.answer(self.number, &statement.text),
            None => format!("{}\t-\t-\n", statement.id),
        };
        let active = self.running.load(SeqCst);
        let len = row.len();
        let _ = write!(
            &*stream,
            "{id} ACK batches=1,stats=inflight:{active} {len}\r\n{row}\r\n"
        );
    }
}

/// A statement and the fields in its text: `id=..,key=..,ms=..`.
struct Statement {
    text: String,
    id: String,
    key: String,
    /// Duration of its work in milliseconds.
    ms: u64,
    /// The statement takes effect even if its connection ends first.
    survives_disconnect: bool,
    /// The statement needs a ledger entry.
    needs_ledger_entry: bool,
}

impl Statement {
    fn read(text: String) -> Statement {
        let fields = text.find("id=").map_or("", |at| &text[at..]);
        let fields = fields.split(' ').next().unwrap_or_default();
        let field = |name: &str| {
            let found = fields
                .split(',')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            found.unwrap_or_default().to_string()
        };
        let (id, key, ms) = (field("id"), field("key"), field("ms").parse().unwrap_or(0));
        let (survives_disconnect, needs_ledger_entry) =
            (field("on") == "1", field("promised") == "1");
        Statement {
            text,
            id,
            key,
            ms,
            survives_disconnect,
            needs_ledger_entry,
        }
    }
}

/// A running statement.
struct Execution {
    /// The id that the front uses.
    id: String,
    /// The link number in the record.
    link: u32,
    /// The front that sent the statement, if the statement needs a ledger entry.
    step_front: Option<usize>,
    statement: Statement,
}

#[cfg(test)]
#[path = "lines_tests.rs"]
mod tests;
