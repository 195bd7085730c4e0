//! The other protocol of the front, as far as the rig needs it: an engine that speaks lines and writes down
//! what it runs, and a client that asks over Thrift.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicI64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::check::Outcome;
use crate::engine::{Deed, Kind, Records};

/// Starts an engine that speaks lines and is always warm; statements are `id=..,key=..,ms=..`.
pub fn engine(number: usize, records: Arc<Records>) -> std::io::Result<SocketAddr> {
    let warmth = Warmth { cold: usize::MAX, warm: usize::MAX, warm_us: 0, memory: usize::MAX };
    Ok(Engine::start(number, records, warmth)?.at)
}

/// How many statements an engine bears at once: `cold` right after its start, growing evenly to `warm`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmth {
    pub cold: usize,
    pub warm: usize,
    pub warm_us: i64,
    /// How many statements its memory holds at once, warm or cold.
    pub memory: usize,
}

impl Warmth {
    /// What is borne at once so many microseconds after a start.
    pub fn bears(self, since: i64) -> usize {
        let Warmth { cold, warm, warm_us, memory } = self;
        if since >= warm_us || warm <= cold {
            return warm.min(memory);
        }
        let grown = (warm - cold) as f64 * since.max(0) as f64 / warm_us.max(1) as f64;
        memory.min(cold + grown as usize)
    }
}

/// An engine that speaks lines; what it bears over its warmth it turns away with `AGAIN`.
pub struct Engine {
    pub number: usize,
    pub at: SocketAddr,
    warmth: Warmth,
    records: Arc<Records>,
    /// Microseconds since the rig began at its last start, and how many statements run.
    started: AtomicI64,
    running: AtomicUsize,
    /// Statements turned away, and the most that were asked of it at once against what it bore then.
    pub turned_away: AtomicUsize,
    peak: Mutex<f64>,
    /// The same since its last start.
    peak_since_start: Mutex<f64>,
}

impl Engine {
    pub fn start(number: usize, records: Arc<Records>, warmth: Warmth) -> std::io::Result<Arc<Engine>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        // Warm from the first: only a start anew is cold.
        let started = AtomicI64::new(records.now() - warmth.warm_us);
        let (running, turned_away, peak) = (AtomicUsize::new(0), AtomicUsize::new(0), Mutex::new(0.0));
        let peak_since_start = Mutex::new(0.0);
        let engine = Arc::new(Engine {
            number,
            at,
            warmth,
            records,
            started,
            running,
            turned_away,
            peak,
            peak_since_start,
        });
        let serves = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serves.clone();
                std::thread::spawn(move || _ = engine.serve(stream));
            }
        });
        Ok(engine)
    }

    /// Starts anew, cold.
    pub fn restart(&self) {
        self.started.store(self.records.now(), SeqCst);
        if let Ok(mut peak) = self.peak_since_start.lock() {
            *peak = 0.0;
        }
    }

    /// What it bears at once now.
    pub fn bears(&self) -> usize {
        self.warmth.bears(self.records.now() - self.started.load(SeqCst))
    }

    /// The most asked of it at once against what it bore then.
    pub fn peak(&self) -> f64 {
        self.peak.lock().map(|p| *p).unwrap_or(0.0)
    }

    /// The same since its last start.
    pub fn peak_since_start(&self) -> f64 {
        self.peak_since_start.lock().map(|p| *p).unwrap_or(0.0)
    }

    fn note(&self, kind: Kind) {
        if let Ok(mut deeds) = self.records.deeds.lock() {
            deeds.push(Deed { at: self.records.now(), engine: self.number, link: 0, kind });
        }
    }

    /// Serves a connection; what still runs when it ends is stopped, as engines do that can't answer any more.
    fn serve(self: &Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        let runs: Arc<Mutex<HashMap<String, String>>> = Arc::default();
        let served = self.converse(stream, &runs);
        if let Ok(mut runs) = runs.lock() {
            for (_, own) in runs.drain() {
                self.running.fetch_sub(1, SeqCst);
                self.note(Kind::Ended { id: own });
            }
        }
        served
    }

    /// `runs` holds the statements that run for the connection, by the ids of their executions.
    fn converse(
        self: &Arc<Self>,
        stream: TcpStream,
        runs: &Arc<Mutex<HashMap<String, String>>>,
    ) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let stream = Arc::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            if let ["busy" | "there", tag] = words[..] {
                write!(&*stream, "{tag} READY stats=inflight:{} 0\r\n\r\n", self.running.load(SeqCst))?;
            }
            let ["want", id, _, len] = words[..] else { continue };
            let mut body = vec![0; len.parse::<usize>().unwrap_or(0).min(1 << 20) + 2];
            reader.read_exact(&mut body)?;
            let statement = String::from_utf8_lossy(&body).trim().to_string();
            let field = |name: &str| {
                let found = statement.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
                found.unwrap_or_default().to_string()
            };
            let (own, key, ms) = (field("id"), field("key"), field("ms").parse().unwrap_or(0));
            let asked = self.running.fetch_add(1, SeqCst) + 1;
            let bears = self.bears();
            for peak in [&self.peak, &self.peak_since_start] {
                if let Ok(mut peak) = peak.lock() {
                    *peak = peak.max(asked as f64 / bears.max(1) as f64);
                }
            }
            if asked > bears {
                self.running.fetch_sub(1, SeqCst);
                self.turned_away.fetch_add(1, SeqCst);
                write!(&*stream, "{id} AGAIN stats=inflight:{} 0\r\n\r\n", self.running.load(SeqCst))?;
                continue;
            }
            let (id, engine, stream, runs) = (id.to_string(), self.clone(), stream.clone(), runs.clone());
            self.note(Kind::Began { id: own.clone(), key });
            if let Ok(mut runs) = runs.lock() {
                runs.insert(id.clone(), own.clone());
            }
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(ms));
                if runs.lock().is_ok_and(|mut runs| runs.remove(&id).is_none()) {
                    return; // stopped with its connection
                }
                engine.note(Kind::Ended { id: own.clone() });
                engine.note(Kind::Kept { id: own.clone() });
                engine.running.fetch_sub(1, SeqCst);
                let row = format!("{own}\t-\t-\n");
                let active = engine.running.load(SeqCst);
                let _ =
                    write!(&*stream, "{id} ACK batches=1,stats=inflight:{active} {}\r\n{row}\r\n", row.len());
            });
        }
    }
}

/// Asks over a connection of its own; gives the outcome and whether its rows are the statement's.
pub fn ask(front: SocketAddr, number: u64, fields: &[(&str, &str)], statement: &str) -> Outcome {
    exchange(front, number, fields, statement).unwrap_or(Outcome::Lost)
}

fn exchange(
    front: SocketAddr,
    number: u64,
    fields: &[(&str, &str)],
    statement: &str,
) -> std::io::Result<Outcome> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let id = format!("{number:016x}");
    let all: Vec<(&str, &str)> = fields.iter().copied().chain([("txn", id.as_str())]).collect();
    let text = |out: &mut Vec<u8>, text: &str| {
        out.extend((text.len() as u32).to_be_bytes());
        out.extend(text.as_bytes());
    };
    let mut message = vec![0x80, 1, 0, 1];
    text(&mut message, "serve");
    message.extend(1u32.to_be_bytes());
    message.extend([13, 0, 1, 11, 11]);
    message.extend((all.len() as u32).to_be_bytes());
    for (name, value) in all {
        text(&mut message, name);
        text(&mut message, value);
    }
    message.extend([11, 0, 2]);
    text(&mut message, statement);
    message.push(0);
    let mut frame = (message.len() as u32).to_be_bytes().to_vec();
    frame.extend(message);
    stream.write_all(&frame)?;
    let mut len = [0; 4];
    stream.read_exact(&mut len)?;
    let mut reply = vec![0; u32::from_be_bytes(len) as usize];
    stream.read_exact(&mut reply)?;
    // Behind the head, the name and the number stands the field that tells which kind of answer it is.
    let own = statement.split(',').next().and_then(|pair| pair.strip_prefix("id=")).unwrap_or_default();
    let holds = reply.windows(own.len().max(1)).any(|part| part == own.as_bytes());
    Ok(match reply.get(4 + 4 + 5 + 4..) {
        Some([_, 0, 0, ..]) if holds => Outcome::Completed { rows: 1 },
        Some([_, 0, 0, ..]) => Outcome::Spoilt,
        Some([_, 0, 1, ..]) => Outcome::Error("53000".into()),
        Some([_, 0, 2, ..]) => Outcome::Error("08007".into()),
        _ => Outcome::Spoilt,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_cold_engine_turns_away_what_it_does_not_bear_yet() {
        let warmth = Warmth { cold: 1, warm: 8, warm_us: 600_000_000, memory: usize::MAX };
        let engine = Engine::start(0, Records::new(), warmth).unwrap();
        assert_eq!(engine.bears(), 8);
        engine.restart();
        assert_eq!(engine.bears(), 1);
        // Memory runs out before its slots do.
        assert_eq!((Warmth { memory: 5, ..warmth }).bears(600_000_000), 5);
        let mut s = TcpStream::connect(engine.at).unwrap();
        s.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        s.write_all(b"want 1 - 15\r\nid=a,key=,ms=300\r\nwant 2 - 15\r\nid=b,key=,ms=300\r\n").unwrap();
        let mut reader = BufReader::new(s);
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        assert_eq!(line, "2 AGAIN stats=inflight:1 0\r\n");
        assert_eq!((engine.turned_away.load(SeqCst), engine.peak()), (1, 2.0));
        line.clear();
        reader.read_line(&mut line).unwrap();
        assert_eq!(line, "\r\n"); // the end of no bytes
        line.clear();
        reader.read_line(&mut line).unwrap();
        assert!(line.starts_with("1 ACK"), "{line}");
    }
}
