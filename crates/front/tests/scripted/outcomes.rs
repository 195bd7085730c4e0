//! Answers as the scenarios give and await them where more than one is right, or many are awaited at once.

use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::time::{Duration, Instant};

use crate::{id, rows, Scenario, PATIENCE};

const LOOK: Duration = Duration::from_millis(2);
const PAGES: usize = 8; // of the longest result
const PAGE: usize = 6_000; // bytes, as the protocol has it

/// The longest page: one row.
fn page() -> String {
    let columns = "\t-\t-\n";
    "x".repeat(PAGE - columns.len()) + columns
}

/// What a result is: `BIG` for the longest.
pub fn result(text: &str) -> String {
    match text {
        "BIG" => page().repeat(PAGES),
        _ => rows(text),
    }
}

/// `3,7` or `1-20`.
pub fn numbers(text: &str) -> Vec<String> {
    match text.split_once('-') {
        Some((first, last)) => (first.parse::<u32>().unwrap()..=last.parse().unwrap())
            .map(|n| n.to_string())
            .collect(),
        None => text.split(',').map(str::to_string).collect(),
    }
}

impl Scenario {
    /// Hears the statements named, in any order, and answers each at once.
    pub fn answers_all(&mut self, engine: &str, which: &str, text: &str) {
        let (awaited, big) = (numbers(which), text == "BIG");
        let named: Vec<&str> = awaited.iter().map(String::as_str).collect();
        let mut answered = HashSet::new();
        for _ in 0..named.len() * if big { PAGES } else { 1 } {
            let number =
                self.engine_hears(engine, if big { "want|turn" } else { "want" }, &named, &[]);
            match answered.insert(number.clone()) {
                true if big => self.says_big(engine, &number),
                true => self.says(engine, &number, "ACK", "batches=1", text),
                false => assert!(big, "{number} came again"),
            }
        }
    }

    /// The longest result, all its pages at once; the front asks for them nevertheless.
    fn says_big(&mut self, engine: &str, number: &str) {
        let (id, page) = (id(number), page());
        let mut text = format!("{id} ACK batches={PAGES} {PAGE}\r\n{page}\r\n");
        for n in 1..PAGES {
            text += &format!("{id} BLOCK batch={n} {PAGE}\r\n{page}\r\n");
        }
        (&*self.engines[engine].asked[number])
            .write_all(text.as_bytes())
            .unwrap();
    }

    /// A client has its answers to the statements named, in any order.
    pub fn is_answered(&mut self, client: &str, which: &str, text: &str) {
        let mut awaited = numbers(which);
        while !awaited.is_empty() {
            let (kind, _, number, held) = self.reply(client).expect("an answer");
            let len = u32::from_be_bytes(held[6..10].try_into().unwrap()) as usize;
            assert!(
                kind == 2 && held.starts_with(&[12, 0, 0]),
                "{number}: {held:?}"
            );
            assert!(
                held[10..10 + len] == *result(text).as_bytes(),
                "{number}: {len} bytes"
            );
            let before = awaited.len();
            awaited.retain(|n| *n != number);
            assert!(
                awaited.len() < before,
                "{number} was answered twice, or not asked"
            );
        }
    }

    /// What a client finds next without taking it: something, its end in order, or nothing yet.
    fn finds(&mut self, client: &str) -> Option<usize> {
        let stream = &self.clients[client];
        stream.set_read_timeout(Some(LOOK)).unwrap();
        let found = stream.peek(&mut [0; 1]);
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        match found {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            found => Some(found.expect("no reset")),
        }
    }

    /// A client has one final answer to a statement, which its engine completes if it hears it; or, if it `may_end`,
    /// a clean end of its connection, and then no engine heard of the statement.
    pub fn is_served(&mut self, client: &str, number: &str, engine: &str, may_end: bool) {
        let (mut ran, begun) = (false, Instant::now());
        let found = loop {
            assert!(
                begun.elapsed() < PATIENCE,
                "no answer to {number} and no end"
            );
            if !ran && self.heard_by_now(engine, number) {
                self.says(engine, number, "ACK", "batches=1", "x");
                ran = true;
            }
            if let Some(found) = self.finds(client) {
                break found;
            }
        };
        if found == 0 {
            return assert!(may_end && !ran, "{number} was taken and not answered");
        }
        let (kind, _, heard, held) = self.reply(client).expect("an answer");
        let completed = ran && held.starts_with(&[12, 0, 0]);
        assert_eq!(heard, number);
        assert!(
            kind == 2 && (completed || !ran && held.starts_with(&[12, 0, 1])),
            "{held:?}"
        );
    }

    /// A client's connection ends in order: the end of the stream, and no reset.
    pub fn is_closed_well(&mut self, client: &str) {
        let end = self.clients.get_mut(client).unwrap().read(&mut [0; 1]);
        assert!(matches!(end, Ok(0)), "{client}: {end:?}");
    }

    /// A client's connection is of use, and it may have been told of a statement once, but not twice.
    pub fn is_well_past(&mut self, client: &str, number: &str) {
        let asks = self.message(1, "isWell", "900", &[2, 0, 1, 0]);
        self.clients
            .get_mut(client)
            .unwrap()
            .write_all(&asks)
            .unwrap();
        let mut answers = 0;
        while let Some((_, name, heard, _)) = self.reply(client) {
            if name == "isWell" {
                return;
            }
            answers += 1;
            assert!(heard == number && answers == 1, "{name} {heard}");
        }
        panic!("no answer");
    }
}
