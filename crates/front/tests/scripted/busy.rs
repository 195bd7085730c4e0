//! A front that is stopped at work: it has looked at its connections, and has yet to decide on what it found. What
//! comes then lies unread until its next look, whatever the time is by then.

use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

use crate::{NotForced, Scenario, PATIENCE};

const BUSY: usize = 40; // connections that keep it at work
const QUESTIONS: usize = 2_000; // on each; all of them fit in its socket

const HALF: usize = 10; // bytes of one that has only begun, so that no connection rests
const NAME: &str = "busy";

impl Scenario {
    fn question(&self) -> Vec<u8> {
        self.message(1, "isWell", "900", &[2, 0, 1, 0])
    }

    /// Connections that the front knows by the time they keep it at work.
    pub fn fill_with_work(&mut self) {
        let question = self.question();
        let mut busy = Vec::new();
        for _ in 0..BUSY {
            let stream = TcpStream::connect(&self.listens).unwrap();
            (&stream)
                .write_all(&[&question[..], &question[..HALF]].concat())
                .unwrap();
            busy.push(stream);
        }
        self.settles();
        self.fillers.insert(NAME.to_string(), busy);
    }

    /// Lets a halted front find what a line brings, if one is named, together with much else, and halts it while it
    /// still reads that.
    pub fn halt_at_work(&mut self, by: &str) {
        if !self.fillers.contains_key(NAME) {
            self.line("goes on");
            self.fill_with_work();
            self.line("halt");
        }
        let (busy, question) = (self.fillers.remove(NAME).unwrap(), self.question());
        if !by.is_empty() {
            self.line(by);
        }
        let questions = [
            &question[HALF..],
            &question.repeat(QUESTIONS),
            &question[..HALF],
        ]
        .concat();
        for stream in &busy {
            (&*stream).write_all(&questions).unwrap();
        }
        let (all, begun) = (self.unread_bytes(&busy), Instant::now());
        assert!(all > 0);
        self.line("goes on");
        while self.unread_bytes(&busy) == all {
            assert!(begun.elapsed() < PATIENCE, "a front that reads");
        }
        self.line("halt");
        // On a busy machine the signal can come after the front has read all of it.
        if self.unread_bytes(&busy) == 0 {
            std::panic::panic_any(NotForced);
        }
        self.fillers.insert(NAME.to_string(), busy);
    }

    /// Bytes that the front has not read yet of what came over some connections.
    fn unread_bytes(&self, streams: &[TcpStream]) -> u64 {
        let port = |address: &str| u16::from_str_radix(address.rsplit_once(':')?.1, 16).ok();
        let front: u16 = self.listens.rsplit_once(':').unwrap().1.parse().unwrap();
        let peers: Vec<u16> = streams
            .iter()
            .map(|stream| stream.local_addr().unwrap().port())
            .collect();
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let unread = |line: &str| {
            let words: Vec<&str> = line.split_whitespace().collect();
            let ours = port(words.get(1)?) == Some(front) && peers.contains(&port(words.get(2)?)?);
            ours.then(|| u64::from_str_radix(words[4].split_once(':')?.1, 16).ok())?
        };
        table.lines().filter_map(unread).sum()
    }
}
