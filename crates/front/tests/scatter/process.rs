//! A front's process: its configuration, its start, its log and statements sent to it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Instant;

use serde_json::json;

use super::site::Site;
use super::WAIT_TIMEOUT;

/// A front's process, killed when dropped.
pub struct Front {
    pub process: Child,
    pub address: SocketAddr,
    pub sessions: SocketAddr,
    pub log: Receiver<String>,
    pub statements_sent: u32,
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn temp_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("hallmux-scatter-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The operator's file: the sites, further keys of `scatter`, and the keys for gossip, if any.
pub fn operator_file(sites: &[Site], directory: &Path, more: &str, gossip: &str) -> String {
    let keys: Vec<String> = sites
        .iter()
        .map(|s| format!("{}: '{}'", s.name, to_hex(s.public_key().as_bytes())))
        .collect();
    format!(
        "{{ scatter: {{ workloads: ['lookup'], sites: {{ {} }}, directory: '{}', {more} }}, {gossip} }}",
        keys.join(", "),
        directory.display()
    )
}

impl Front {
    pub fn start(name: &str, folder: &Path, sites: &[Site], operator_file: &str) -> Front {
        Front::start_with_portal(name, folder, sites, operator_file, None)
    }

    /// Like `start`, with an engine at the last site that speaks PostgreSQL, if an address is given.
    pub fn start_with_portal(
        name: &str,
        folder: &Path,
        sites: &[Site],
        operator_file: &str,
        portal: Option<SocketAddr>,
    ) -> Front {
        let server = |id: &str, at: SocketAddr, zone: &str, kind: &str| {
            json!({"id": id, "addr": at.to_string(), "zone": zone, "kind": kind, "cell": 0, "state": "up",
                   "weight": 1, "started_ms": 0})
        };
        let mut servers: Vec<_> = sites
            .iter()
            .map(|s| server(s.name, s.address, s.name, "std"))
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
        let (config_path, operator_path) = (
            folder.join(format!("{name}.json")),
            folder.join(format!("{name}.json5")),
        );
        std::fs::write(&config_path, config.to_string()).unwrap();
        std::fs::write(&operator_path, operator_file).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallmux-front"));
        command
            .env("NODE_CONFIG", config_path)
            .env("HALLMUX_OPERATOR", operator_path)
            .env("HALLMUX_LOG", "debug");
        let mut process = command.stderr(Stdio::piped()).spawn().unwrap();
        let (sender, log) = channel();
        let lines = BufReader::new(process.stderr.take().unwrap())
            .lines()
            .map_while(Result::ok);
        std::thread::spawn(move || {
            lines.for_each(|line| {
                println!("{line}");
                let _ = sender.send(line);
            })
        });
        let unknown: SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut front = Front {
            process,
            address: unknown,
            sessions: unknown,
            log,
            statements_sent: 0,
        };
        if portal.is_some() {
            let line = front.wait_for_log("takes PostgreSQL sessions at ");
            front.sessions = line.rsplit(' ').next().unwrap().parse().unwrap();
        }
        let line = front.wait_for_log("takes statements at ");
        front.address = line.rsplit(' ').next().unwrap().parse().unwrap();
        front
    }

    /// Waits for the next log line that contains a text and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        let until = Instant::now() + WAIT_TIMEOUT;
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

    /// Sends a statement of the workload `lookup`; returns the fields of the reply, without the Thrift
    /// message header.
    pub fn query(&mut self, customer: &str, statement: &str) -> Vec<u8> {
        self.query_within("10000", customer, statement)
    }

    /// Like `query`, with a time limit in milliseconds.
    pub fn query_within(&mut self, limit: &str, customer: &str, statement: &str) -> Vec<u8> {
        self.send_statement("lookup", limit, customer, statement)
    }

    /// Sends a statement that writes.
    pub fn load(&mut self, statement: &str) -> Vec<u8> {
        self.send_statement("pay", "5000", "acme", statement)
    }

    pub fn send_statement(
        &mut self,
        workload: &str,
        limit: &str,
        customer: &str,
        statement: &str,
    ) -> Vec<u8> {
        self.statements_sent += 1;
        let txn = format!("{:016x}", self.statements_sent + self.process.id() * 1000);
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
            .for_each(|value| text(&mut message, value));
        message.extend([11, 0, 2]);
        text(&mut message, statement);
        message.push(0);
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
            .write_all(&[&(message.len() as u32).to_be_bytes()[..], &message].concat())
            .unwrap();
        let mut prefix = [0; 4];
        stream.read_exact(&mut prefix).unwrap();
        let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
        stream.read_exact(&mut frame).unwrap();
        frame.split_off(8 + 5 + 4)
    }

    /// The first column of each row of a statement's answer.
    pub fn rows(&mut self, customer: &str, statement: &str) -> Vec<i64> {
        let reply = self.query(customer, statement);
        assert!(
            reply.starts_with(&[12, 0, 0]),
            "{statement}: {:?}",
            String::from_utf8_lossy(&reply)
        );
        let len = u32::from_be_bytes(reply[6..10].try_into().unwrap()) as usize;
        let text = String::from_utf8(reply[10..10 + len].to_vec()).unwrap();
        text.lines()
            .map(|row| row.split('\t').next().unwrap().parse().unwrap())
            .collect()
    }
}
