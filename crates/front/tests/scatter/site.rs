//! A site: one engine that holds rows, evaluates the few forms of statements that the tests use, and signs a
//! summary of its rows.

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
pub struct SiteState {
    rows: Vec<i64>,
    loads: LoadNumbers,
    query_count: usize,
    is_failing: bool,
}

pub struct Site {
    pub name: &'static str,
    pub address: SocketAddr,
    key: u8,
    state: Arc<Mutex<SiteState>>,
}

impl Site {
    pub fn new(name: &'static str, rows: &[i64]) -> Site {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(SiteState {
            rows: rows.to_vec(),
            ..SiteState::default()
        }));
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = shared.clone();
                std::thread::spawn(move || serve(stream, &state));
            }
        });
        Site {
            name,
            address,
            key: name.as_bytes()[0],
            state,
        }
    }

    /// Signs summaries with another key than the site's own.
    pub fn with_signing_key(self, key: u8) -> Site {
        Site { key, ..self }
    }

    pub fn public_key(&self) -> VerifyingKey {
        SigningKey::from_bytes(&[self.key; 32]).verifying_key()
    }

    /// The number of statements that the site was asked since the last call.
    pub fn take_query_count(&self) -> usize {
        std::mem::take(&mut self.state.lock().unwrap().query_count)
    }

    /// Whether the site holds a row.
    pub fn has(&self, id: i64) -> bool {
        self.state.lock().unwrap().rows.contains(&id)
    }

    pub fn set_failing(&self) {
        self.state.lock().unwrap().is_failing = true;
    }

    /// Starts an engine that accepts PostgreSQL sessions for this site; returns its address.
    pub fn portal(&self) -> SocketAddr {
        super::portal::serve(self.state.clone())
    }

    /// Writes a summary of the site's rows into a directory.
    pub fn write_summary(&self, directory: &Path, version: u64) {
        let (header, table) = self.build_summary(version);
        let bytes = build_summary(header, vec![table], MAX_SUMMARY_BYTES)
            .sign(&SigningKey::from_bytes(&[self.key; 32]));
        std::fs::write(directory.join(self.name), bytes).unwrap();
    }

    /// Like `write_summary`, in separately signed sheets of which fronts may hold only some.
    pub fn write_layered_summary(&self, directory: &Path, version: u64) {
        let (header, table) = self.build_summary(version);
        let bytes = build_layered_summary(
            header,
            vec![table],
            MAX_SUMMARY_BYTES,
            &SigningKey::from_bytes(&[self.key; 32]),
        );
        std::fs::write(directory.join(self.name), bytes).unwrap();
    }

    fn build_summary(&self, version: u64) -> (SummaryHeader, TableBuilder) {
        let state = self.state.lock().unwrap();
        let mut table = TableBuilder::new("orders", &[("id", Kind::Number { scale: 0 })])
            .with_sketches(&["id"]);
        state
            .rows
            .iter()
            .for_each(|id| table.add_row(&[Some(Value::Number(i128::from(*id)))]));
        let made_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let (site, loads) = (self.name.to_string(), state.loads.clone());
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

fn serve(stream: TcpStream, state: &Mutex<SiteState>) -> Option<()> {
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
                let answer = state.lock().unwrap().execute(&text);
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

impl SiteState {
    /// Adds rows loaded by a statement, and the load numbers that its text carries, if any.
    pub fn load(&mut self, text: &str, rows: Vec<i64>) {
        self.rows.extend(rows);
        load_numbers(text.as_bytes())
            .iter()
            .for_each(|(_, n)| self.loads.insert(*n));
    }

    fn execute(&mut self, text: &str) -> Option<String> {
        if self.is_failing {
            return None;
        }
        if let Some((_, values)) = text.split_once("values (") {
            let row = values.split([',', ')']).next()?.trim().parse().ok()?;
            self.load(text, vec![row]);
            return Some(String::new());
        }
        self.query_count += 1;
        let (text, limit) = text.split_once(" limit ").unwrap_or((text, "1000"));
        let condition = text
            .split_once(" where ")
            .map_or("", |(_, condition)| condition);
        let rows = self.rows.iter().filter(|id| {
            condition
                .split(" and id ")
                .all(|part| matches_condition(part, **id))
        });
        if text.contains("count(*)") {
            let rows: Vec<i64> = rows.copied().collect();
            let format_value =
                |value: Option<i64>| value.map_or(String::new(), |value| value.to_string());
            let sum = (!rows.is_empty()).then(|| rows.iter().sum());
            let greatest = rows.iter().max().copied();
            return Some(format!(
                "{}\t{}\t{}\n",
                rows.len(),
                format_value(sum),
                format_value(greatest)
            ));
        }
        let rows: Vec<String> = rows
            .take(limit.parse().ok()?)
            .map(|id| format!("{id}\ta\tb\n"))
            .collect();
        Some(rows.concat())
    }
}

/// Whether a row matches one comparison of `id`, in the few forms that these tests use.
fn matches_condition(part: &str, id: i64) -> bool {
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
