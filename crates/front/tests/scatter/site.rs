//! A site: one engine that holds rows, answers statements over them by its own plain reading, and signs a summary of them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use ed25519_dalek::{SigningKey, VerifyingKey};
use hallmux_scatter::build::{build_layered_summary, build_summary, SummaryHeader, TableBuilder};
use hallmux_scatter::load_markers::load_numbers;
use hallmux_scatter::summary::{LoadNumbers, MAX_SUMMARY_BYTES};
use hallmux_scatter::value::{Kind, Value};

#[derive(Default)]
pub struct Held {
    rows: Vec<i64>,
    loads: LoadNumbers,
    asked: usize,
    fails: bool,
}

pub struct Site {
    pub name: &'static str,
    pub at: SocketAddr,
    key: u8,
    held: Arc<Mutex<Held>>,
}

impl Site {
    pub fn new(name: &'static str, rows: &[i64]) -> Site {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let held = Arc::new(Mutex::new(Held {
            rows: rows.to_vec(),
            ..Held::default()
        }));
        let shared = held.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let held = shared.clone();
                std::thread::spawn(move || serve(stream, &held));
            }
        });
        Site {
            name,
            at,
            key: name.as_bytes()[0],
            held,
        }
    }

    /// Under another key than its own.
    pub fn signs_as(self, key: u8) -> Site {
        Site { key, ..self }
    }

    pub fn public(&self) -> VerifyingKey {
        SigningKey::from_bytes(&[self.key; 32]).verifying_key()
    }

    /// Statements it was asked since the last look.
    pub fn asked(&self) -> usize {
        std::mem::take(&mut self.held.lock().unwrap().asked)
    }

    /// Whether it holds a row.
    pub fn has(&self, id: i64) -> bool {
        self.held.lock().unwrap().rows.contains(&id)
    }

    pub fn fails(&self) {
        self.held.lock().unwrap().fails = true;
    }

    /// Where it takes PostgreSQL sessions.
    pub fn portal(&self) -> SocketAddr {
        super::portal::serves(self.held.clone())
    }

    /// Writes a summary of what it holds into a directory.
    pub fn writes(&self, directory: &Path, version: u64) {
        let (about, table) = self.summed(version);
        let bytes = build_summary(about, vec![table], MAX_SUMMARY_BYTES)
            .sign(&SigningKey::from_bytes(&[self.key; 32]));
        std::fs::write(directory.join(self.name), bytes).unwrap();
    }

    /// The same in sheets, of which fronts may hold a part.
    pub fn writes_in_sheets(&self, directory: &Path, version: u64) {
        let (about, table) = self.summed(version);
        let bytes = build_layered_summary(
            about,
            vec![table],
            MAX_SUMMARY_BYTES,
            &SigningKey::from_bytes(&[self.key; 32]),
        );
        std::fs::write(directory.join(self.name), bytes).unwrap();
    }

    fn summed(&self, version: u64) -> (SummaryHeader, TableBuilder) {
        let held = self.held.lock().unwrap();
        let mut table = TableBuilder::new("orders", &[("id", Kind::Number { scale: 0 })])
            .with_sketches(&["id"]);
        held.rows
            .iter()
            .for_each(|id| table.add_row(&[Some(Value::Number(i128::from(*id)))]));
        let made_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let (site, loads) = (self.name.to_string(), held.loads.clone());
        (
            SummaryHeader {
                site,
                group: 17,
                schema: 1,
                version,
                made_ms,
                loads,
            },
            table,
        )
    }
}

fn serve(stream: TcpStream, held: &Mutex<Held>) -> Option<()> {
    let mut input = BufReader::new(stream.try_clone().ok()?);
    let mut output = stream;
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["want", id, .., len] => {
                let mut body = vec![0; len.parse::<usize>().ok()? + 2];
                input.read_exact(&mut body).ok()?;
                let text = String::from_utf8(body[..body.len() - 2].to_vec()).ok()?;
                let answer = held.lock().unwrap().answers(&text);
                match answer {
                    Some(rows) => {
                        write!(output, "{id} ACK batches=1 {}\r\n{rows}\r\n", rows.len()).ok()?
                    }
                    None => write!(output, "{id} EIO -\r\n").ok()?,
                }
            }
            ["busy", tag] => write!(output, "{tag} READY\r\n").ok()?,
            _ => {}
        }
    }
}

impl Held {
    /// Rows come, by a text that may carry its numbers.
    pub fn load(&mut self, text: &str, rows: Vec<i64>) {
        self.rows.extend(rows);
        load_numbers(text.as_bytes())
            .iter()
            .for_each(|(_, n)| self.loads.insert(*n));
    }

    fn answers(&mut self, text: &str) -> Option<String> {
        if self.fails {
            return None;
        }
        if let Some((_, values)) = text.split_once("values (") {
            let row = values.split([',', ')']).next()?.trim().parse().ok()?;
            self.load(text, vec![row]);
            return Some(String::new());
        }
        self.asked += 1;
        let (text, limit) = text.split_once(" limit ").unwrap_or((text, "1000"));
        let condition = text
            .split_once(" where ")
            .map_or("", |(_, condition)| condition);
        let rows = self
            .rows
            .iter()
            .filter(|id| condition.split(" and id ").all(|part| holds(part, **id)));
        if text.contains("count(*)") {
            let rows: Vec<i64> = rows.copied().collect();
            let say = |value: Option<i64>| value.map_or(String::new(), |value| value.to_string());
            let sum = (!rows.is_empty()).then(|| rows.iter().sum());
            let greatest = rows.iter().max().copied();
            return Some(format!("{}\t{}\t{}\n", rows.len(), say(sum), say(greatest)));
        }
        let rows: Vec<String> = rows
            .take(limit.parse().ok()?)
            .map(|id| format!("{id}\ta\tb\n"))
            .collect();
        Some(rows.concat())
    }
}

/// One comparison of `id`, in the few forms that these tests use.
fn holds(part: &str, id: i64) -> bool {
    let numbers: Vec<i64> = part
        .split(|c: char| !c.is_ascii_digit())
        .filter_map(|n| n.parse().ok())
        .collect();
    match (part, &numbers[..]) {
        ("", _) => true,
        (p, [low, high]) if p.contains("between") => (*low..=*high).contains(&id),
        (p, all) if p.contains(" in ") => all.contains(&id),
        (p, [n]) if p.contains('>') => id > *n,
        (p, [.., n]) if p.contains('=') => id == *n,
        other => panic!("{other:?}"),
    }
}
