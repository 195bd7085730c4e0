//! A front's process, as these tests start and ask it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Instant;

use serde_json::json;

use super::site::Site;
use super::PATIENCE;

/// A front's process, ended with the test.
pub struct Front {
    pub process: Child,
    pub at: SocketAddr,
    pub sessions: SocketAddr,
    pub log: Receiver<String>,
    pub asked: u32,
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn room(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("hallmux-scatter-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The operator's file: the sites, what is set otherwise, and the part for other fronts, where there are any.
pub fn operator(sites: &[Site], directory: &Path, more: &str, gossip: &str) -> String {
    let keys: Vec<String> = sites
        .iter()
        .map(|s| format!("{}: '{}'", s.name, hexadecimal(s.public().as_bytes())))
        .collect();
    format!(
        "{{ scatter: {{ workloads: ['lookup'], sites: {{ {} }}, directory: '{}', {more} }}, {gossip} }}",
        keys.join(", "),
        directory.display()
    )
}

impl Front {
    pub fn start(name: &str, folder: &Path, sites: &[Site], operator: &str) -> Front {
        Front::start_beside(name, folder, sites, operator, None)
    }

    /// With an engine beside that speaks PostgreSQL, at the last site.
    pub fn start_beside(
        name: &str,
        folder: &Path,
        sites: &[Site],
        operator: &str,
        portal: Option<SocketAddr>,
    ) -> Front {
        let server = |id: &str, at: SocketAddr, zone: &str, kind: &str| {
            json!({"id": id, "addr": at.to_string(), "zone": zone, "kind": kind, "cell": 0, "state": "up",
                   "weight": 1, "started_ms": 0})
        };
        let mut servers: Vec<_> = sites
            .iter()
            .map(|s| server(s.name, s.at, s.name, "std"))
            .collect();
        servers.extend(portal.map(|at| server("pg", at, sites[sites.len() - 1].name, "pg")));
        let areas: Vec<&str> = sites.iter().map(|s| s.name).collect();
        let settings = json!({"instances": sites.len(), "areas": areas, "kinds": ["std", "pg"], "rules": {},
            "customers": [{"name": "acme", "allowancePerS": 10000.0}, {"name": "lax", "allowancePerS": 10000.0}],
            "bounds": {"cancelling": true, "mostHeld": 100, "mostTries": 2, "retryAfter": true},
            "requestClasses": [
                {"name": "lookup", "aimMs": 10000.0, "deadlineMs": 15000.0, "repeat": "repeatable"},
                {"name": "pay", "aimMs": 10000.0, "deadlineMs": 15000.0, "repeat": "once"}]});
        let config = json!({"name": name, "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "settings": settings,
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"version": 1, "full": true, "servers": servers}}]}});
        let (station, file) = (
            folder.join(format!("{name}.json")),
            folder.join(format!("{name}.json5")),
        );
        std::fs::write(&station, config.to_string()).unwrap();
        std::fs::write(&file, operator).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallmux-front"));
        command
            .env("NODE_CONFIG", station)
            .env("HALLMUX_OPERATOR", file)
            .env("HALLMUX_LOG", "debug");
        let mut process = command.stderr(Stdio::piped()).spawn().unwrap();
        let (says, log) = channel();
        let lines = BufReader::new(process.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        std::thread::spawn(move || {
            lines.for_each(|line| {
                println!("{line}");
                let _ = says.send(line);
            })
        });
        let none: SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut front = Front {
            process,
            at: none,
            sessions: none,
            log,
            asked: 0,
        };
        if portal.is_some() {
            let line = front.logs("takes PostgreSQL sessions at ");
            front.sessions = line.rsplit(' ').next().unwrap().parse().unwrap();
        }
        let line = front.logs("takes statements at ");
        front.at = line.rsplit(' ').next().unwrap().parse().unwrap();
        front
    }

    /// The next line of the log that holds a text.
    pub fn logs(&self, text: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            let line = self.log.recv_timeout(until - Instant::now()).expect(text);
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn signal(&self, which: &str) {
        assert!(Command::new("kill")
            .args([which, &self.process.id().to_string()])
            .status()
            .unwrap()
            .success());
    }

    /// Asks a statement; the reply as the client reads it, without what comes before its struct.
    pub fn asks(&mut self, customer: &str, statement: &str) -> Vec<u8> {
        self.asks_within("10000", customer, statement)
    }

    /// The same, with so many milliseconds for it.
    pub fn asks_within(&mut self, limit: &str, customer: &str, statement: &str) -> Vec<u8> {
        self.says("lookup", limit, customer, statement)
    }

    /// A statement that writes.
    pub fn loads(&mut self, statement: &str) -> Vec<u8> {
        self.says("pay", "5000", "acme", statement)
    }

    pub fn says(
        &mut self,
        workload: &str,
        limit: &str,
        customer: &str,
        statement: &str,
    ) -> Vec<u8> {
        self.asked += 1;
        let txn = format!("{:016x}", self.asked + self.process.id() * 1000);
        let fields = [
            ("txn", txn.as_str()),
            ("verb", workload),
            ("limit", limit),
            ("team", customer),
        ];
        let mut message = vec![0x80, 1, 0, 1, 0, 0, 0, 5];
        message.extend(b"serve\0\0\0\x01\x0d\0\x01\x0b\x0b");
        message.extend((fields.len() as u32).to_be_bytes());
        let text = |message: &mut Vec<u8>, text: &str| {
            message.extend((text.len() as u32).to_be_bytes());
            message.extend(text.as_bytes());
        };
        fields
            .iter()
            .flat_map(|(name, value)| [name, value])
            .for_each(|word| text(&mut message, word));
        message.extend([11, 0, 2]);
        text(&mut message, statement);
        message.push(0);
        let mut stream = TcpStream::connect(self.at).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
            .write_all(&[&(message.len() as u32).to_be_bytes()[..], &message].concat())
            .unwrap();
        let mut prefix = [0; 4];
        stream.read_exact(&mut prefix).unwrap();
        let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
        stream.read_exact(&mut frame).unwrap();
        frame.split_off(8 + 5 + 4)
    }

    /// The rows that a statement is answered with, as their first columns.
    pub fn rows(&mut self, customer: &str, statement: &str) -> Vec<i64> {
        let held = self.asks(customer, statement);
        assert!(
            held.starts_with(&[12, 0, 0]),
            "{statement}: {:?}",
            String::from_utf8_lossy(&held)
        );
        let len = u32::from_be_bytes(held[6..10].try_into().unwrap()) as usize;
        let text = String::from_utf8(held[10..10 + len].to_vec()).unwrap();
        text.lines()
            .map(|row| row.split('\t').next().unwrap().parse().unwrap())
            .collect()
    }
}
