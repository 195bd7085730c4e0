//! Stops a front in the middle of an event loop iteration: after it has read its connections and before it
//! decides on what it read. Input that arrives meanwhile stays unread until the next iteration, whatever the
//! time is by then.

use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

use crate::{OrderNotReached, Scenario, WAIT_TIMEOUT};

const BUSY_CONNECTIONS: usize = 40; // connections that keep the front busy
const REQUESTS_PER_CONNECTION: usize = 2_000; // all of them fit in the connection's socket buffer

const PARTIAL_REQUEST_BYTES: usize = 10; // the start of one more request, so that no connection is idle
const FILLER_NAME: &str = "busy";

impl Scenario {
    fn health_request(&self) -> Vec<u8> {
        self.message(1, "isWell", "900", &[2, 0, 1, 0])
    }

    /// Opens the connections that are used to keep the front busy later, so that the front already has them.
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

    /// Lets a halted front receive what a scenario line sends, if one is named, together with many other
    /// requests, and halts it again while it is still reading those.
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
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the front did not read in time"
            );
        }
        self.run_line("halt");
        // On a busy machine the signal can arrive after the front has read everything.
        if self.unread_bytes(&connections) == 0 {
            std::panic::panic_any(OrderNotReached);
        }
        self.fillers.insert(FILLER_NAME.to_string(), connections);
    }

    /// The number of bytes received over some connections that the front has not read yet.
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
