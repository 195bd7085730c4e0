//! Answers where several outcomes are correct, or where many are expected at once.

use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::time::{Duration, Instant};

use crate::{id, rows, Scenario, WAIT_TIMEOUT};

const POLL_INTERVAL: Duration = Duration::from_millis(2);
const BIG_RESULT_PAGES: usize = 8; // pages of the longest result
const PAGE_BYTES: usize = 6_000; // as the protocol defines it

/// The longest page, which is one row.
fn page() -> String {
    let columns = "\t-\t-\n";
    "x".repeat(PAGE_BYTES - columns.len()) + columns
}

/// The result that a text stands for: `BIG` is the longest result.
pub fn result(text: &str) -> String {
    match text {
        "BIG" => page().repeat(BIG_RESULT_PAGES),
        _ => rows(text),
    }
}

/// Parses statement numbers such as `3,7` or `1-20`.
pub fn numbers(text: &str) -> Vec<String> {
    match text.split_once('-') {
        Some((first, last)) => (first.parse::<u32>().unwrap()..=last.parse().unwrap())
            .map(|n| n.to_string())
            .collect(),
        None => text.split(',').map(str::to_string).collect(),
    }
}

impl Scenario {
    /// Waits for the given statements in any order, and answers each at once.
    pub fn answer_all(&mut self, engine: &str, which: &str, text: &str) {
        let (awaited, big) = (numbers(which), text == "BIG");
        let named: Vec<&str> = awaited.iter().map(String::as_str).collect();
        let mut answered = HashSet::new();
        for _ in 0..named.len() * if big { BIG_RESULT_PAGES } else { 1 } {
            let number =
                self.expect_command(engine, if big { "want|turn" } else { "want" }, &named, &[]);
            match answered.insert(number.clone()) {
                true if big => self.send_big_result(engine, &number),
                true => self.send_reply(engine, &number, "ACK", "batches=1", text),
                false => assert!(big, "{number} arrived twice"),
            }
        }
    }

    /// Sends the longest result with all its pages at once; the front requests the pages nevertheless.
    fn send_big_result(&mut self, engine: &str, number: &str) {
        let (id, page) = (id(number), page());
        let mut text = format!("{id} ACK batches={BIG_RESULT_PAGES} {PAGE_BYTES}\r\n{page}\r\n");
        for n in 1..BIG_RESULT_PAGES {
            text += &format!("{id} BLOCK batch={n} {PAGE_BYTES}\r\n{page}\r\n");
        }
        (&*self.engines[engine].statement_connections[number])
            .write_all(text.as_bytes())
            .unwrap();
    }

    /// Expects completed answers to the given statements in any order.
    pub fn expect_answers(&mut self, client: &str, which: &str, text: &str) {
        let mut awaited = numbers(which);
        while !awaited.is_empty() {
            let (kind, _, number, reply) = self.reply(client).expect("no answer");
            let len = u32::from_be_bytes(reply[6..10].try_into().unwrap()) as usize;
            assert!(
                kind == 2 && reply.starts_with(&[12, 0, 0]),
                "{number}: {reply:?}"
            );
            assert!(
                reply[10..10 + len] == *result(text).as_bytes(),
                "{number}: {len} bytes"
            );
            let before = awaited.len();
            awaited.retain(|n| *n != number);
            assert!(
                awaited.len() < before,
                "{number} was answered twice, or not expected"
            );
        }
    }

    /// Peeks at a client's connection: the number of bytes readable, 0 at an orderly end, `None` if nothing
    /// has arrived.
    fn peek_client(&mut self, client: &str) -> Option<usize> {
        let stream = &self.clients[client];
        stream.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
        let found = stream.peek(&mut [0; 1]);
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        match found {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            found => Some(found.expect("the connection was reset")),
        }
    }

    /// Expects one final answer to a statement, which its engine completes if it receives it. With `may_end`,
    /// an orderly end of the connection is accepted instead if no engine received the statement.
    pub fn expect_served(&mut self, client: &str, number: &str, engine: &str, may_end: bool) {
        let (mut executed, started) = (false, Instant::now());
        let peeked = loop {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "no answer to {number} and no end"
            );
            if !executed && self.take_if_received(engine, number) {
                self.send_reply(engine, number, "ACK", "batches=1", "x");
                executed = true;
            }
            if let Some(peeked) = self.peek_client(client) {
                break peeked;
            }
        };
        if peeked == 0 {
            return assert!(
                may_end && !executed,
                "{number} was received and not answered"
            );
        }
        let (kind, _, answered_number, reply) = self.reply(client).expect("no answer");
        let completed = executed && reply.starts_with(&[12, 0, 0]);
        assert_eq!(answered_number, number);
        assert!(
            kind == 2 && (completed || !executed && reply.starts_with(&[12, 0, 1])),
            "{reply:?}"
        );
    }

    /// Expects that a client's connection ends in order, without a reset.
    pub fn expect_clean_close(&mut self, client: &str) {
        let end = self.clients.get_mut(client).unwrap().read(&mut [0; 1]);
        assert!(matches!(end, Ok(0)), "{client}: {end:?}");
    }

    /// Expects that a client's connection is usable; before that, at most one answer to the statement may
    /// arrive.
    pub fn expect_health_after(&mut self, client: &str, number: &str) {
        let request = self.message(1, "isWell", "900", &[2, 0, 1, 0]);
        self.clients
            .get_mut(client)
            .unwrap()
            .write_all(&request)
            .unwrap();
        let mut answers = 0;
        while let Some((_, name, answered_number, _)) = self.reply(client) {
            if name == "isWell" {
                return;
            }
            answers += 1;
            assert!(
                answered_number == number && answers == 1,
                "{name} {answered_number}"
            );
        }
        panic!("the connection ended without an answer");
    }
}
