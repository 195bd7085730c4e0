//! A front that is stopped at work: it has looked at its connections, and has yet to decide on what it found. What
//! comes then lies unread until its next look, whatever the time is by then.

use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

use crate::{OrderNotReached, Scenario, WAIT_TIMEOUT};

const BUSY_CONNECTIONS: usize = 40; // connections that keep it at work
const REQUESTS_PER_CONNECTION: usize = 2_000; // on each; all of them fit in its socket

const PARTIAL_REQUEST_BYTES: usize = 10; // bytes of one that has only started, so that no connection rests
const FILLER_NAME: &str = "busy";

impl Scenario {
    fn health_request(&self) -> Vec<u8> {
        self.message(1, "isWell", "900", &[2, 0, 1, 0])
    }

    /// Connections that the front knows by the time they keep it at work.
    pub fn fill_with_work(&mut self) {
        let request = self.health_request();
        let mut connections = Vec::new();
        for _ in 0..BUSY_CONNECTIONS {
            let stream = TcpStream::connect(&self.front_address).unwrap();
            (&stream)
                .write_all(&[&request[..], &request[..PARTIAL_REQUEST_BYTES]].concat())
                .unwrap();
            connections.push(stream);
        }
        self.settle();
        self.fillers.insert(FILLER_NAME.to_string(), connections);
    }

    /// Lets a halted front find what a line brings, if one is named, together with much else, and halts it while it
    /// still reads that.
    pub fn halt_at_work(&mut self, by: &str) {
        if !self.fillers.contains_key(FILLER_NAME) {
            self.run_line("goes on");
            self.fill_with_work();
            self.run_line("halt");
        }
        let (connections, request) = (
            self.fillers.remove(FILLER_NAME).unwrap(),
            self.health_request(),
        );
        if !by.is_empty() {
            self.run_line(by);
        }
        let requests = [
            &request[PARTIAL_REQUEST_BYTES..],
            &request.repeat(REQUESTS_PER_CONNECTION),
            &request[..PARTIAL_REQUEST_BYTES],
        ]
        .concat();
        for stream in &connections {
            (&*stream).write_all(&requests).unwrap();
        }
        let (unread_before, started) = (self.unread_bytes(&connections), Instant::now());
        assert!(unread_before > 0);
        self.run_line("goes on");
        while self.unread_bytes(&connections) == unread_before {
            assert!(started.elapsed() < WAIT_TIMEOUT, "a front that reads");
        }
        self.run_line("halt");
        // On a busy machine the signal can come after the front has read all of it.
        if self.unread_bytes(&connections) == 0 {
            std::panic::panic_any(OrderNotReached);
        }
        self.fillers.insert(FILLER_NAME.to_string(), connections);
    }

    /// Bytes that the front has not read yet of what came over some connections.
    fn unread_bytes(&self, streams: &[TcpStream]) -> u64 {
        let port = |address: &str| u16::from_str_radix(address.rsplit_once(':')?.1, 16).ok();
        let front: u16 = self
            .front_address
            .rsplit_once(':')
            .unwrap()
            .1
            .parse()
            .unwrap();
        let peers: Vec<u16> = streams
            .iter()
            .map(|stream| stream.local_addr().unwrap().port())
            .collect();
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let unread = |line: &str| {
            let words: Vec<&str> = line.split_whitespace().collect();
            let is_to_front =
                port(words.get(1)?) == Some(front) && peers.contains(&port(words.get(2)?)?);
            is_to_front.then(|| u64::from_str_radix(words[4].split_once(':')?.1, 16).ok())?
        };
        table.lines().filter_map(unread).sum()
    }
}
