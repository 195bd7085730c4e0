//! Clients as the scenarios play them, in Thrift frames.

use std::io::{Read, Write};
use std::time::Duration;

use crate::outcomes::result;
use crate::{id, Scenario, BIG};

impl Scenario {
    pub fn frame(&self, number: &str, fields: &[&str], statement: &str) -> Vec<u8> {
        let txn = id(number);
        let mut map = vec![
            ("txn", txn.as_str()),
            ("verb", "lookup"),
            ("limit", "15000"),
            ("team", "acme"),
        ];
        for field in fields {
            match field.split_once('=') {
                Some((name, value)) => {
                    map.retain(|(known, _)| *known != name);
                    map.push((name, value));
                }
                None => map.retain(|(known, _)| Some(*known) != field.strip_prefix('-')),
            }
        }
        let mut args = vec![13, 0, 1, 11, 11];
        args.extend((map.len() as u32).to_be_bytes());
        for text in map.iter().flat_map(|(name, value)| [name, value]) {
            args.extend((text.len() as u32).to_be_bytes());
            args.extend(text.as_bytes());
        }
        args.extend([11, 0, 2]);
        args.extend((statement.len() as u32).to_be_bytes());
        args.extend(statement.as_bytes());
        self.message(1, "serve", number, &args)
    }

    pub fn message(&self, kind: u8, name: &str, number: &str, args: &[u8]) -> Vec<u8> {
        let mut message = vec![0x80, 1, 0, kind];
        message.extend((name.len() as u32).to_be_bytes());
        message.extend(name.as_bytes());
        message.extend(number.parse::<u32>().unwrap().to_be_bytes());
        message.extend(args);
        message.push(0);
        let mut frame = (message.len() as u32).to_be_bytes().to_vec();
        frame.extend(message);
        frame
    }

    pub fn forget(&self, number: &str) -> Vec<u8> {
        let which = number.parse::<u32>().unwrap().to_be_bytes();
        self.message(4, "forget", "0", &[&[8, 0, 1][..], &which].concat())
    }

    /// The next reply: its kind, method, number and what it holds.
    pub fn reply(&mut self, client: &str) -> Option<(u8, String, String, Vec<u8>)> {
        let stream = self
            .clients
            .get_mut(client)
            .expect("a client that is connected");
        let mut prefix = [0; 4];
        stream.read_exact(&mut prefix).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
        stream.read_exact(&mut frame).ok()?;
        let name_len = u32::from_be_bytes(frame[4..8].try_into().unwrap()) as usize;
        let name = String::from_utf8(frame[8..8 + name_len].to_vec()).unwrap();
        let at = 8 + name_len;
        let number = u32::from_be_bytes(frame[at..at + 4].try_into().unwrap());
        Some((frame[3], name, number.to_string(), frame[at + 4..].to_vec()))
    }

    /// What a client was told and no line has named.
    pub fn unread(&mut self, client: &str) -> (String, Vec<(String, String)>) {
        let stream = &self.clients[client];
        stream
            .set_read_timeout(Some(Duration::from_millis(1)))
            .unwrap();
        let replies = std::iter::from_fn(|| self.reply(client));
        (
            client.to_string(),
            replies
                .map(|(_, _, n, held)| (n, String::from_utf8_lossy(&held).into_owned()))
                .collect(),
        )
    }

    pub fn well(&mut self, client: &str, expected: bool) {
        let asks = self.message(1, "isWell", "900", &[2, 0, 1, 0]);
        self.clients
            .get_mut(client)
            .unwrap()
            .write_all(&asks)
            .unwrap();
        let (_, name, _, held) = self.reply(client).expect("an answer");
        assert_eq!(name, "isWell", "nothing else was to come");
        assert!(
            held.ends_with(&[2, 0, 3, u8::from(expected), 0, 0]),
            "{held:?}"
        );
    }

    pub fn hears(&mut self, client: &str, number: &str, kind: &str, text: &str) {
        let (message, name, heard, held) = self.reply(client).expect("an answer");
        assert_eq!(heard, number);
        let field = |id: u8| held.starts_with(&[12, 0, id]);
        match kind {
            "completed" => {
                let len = u32::from_be_bytes(held[6..10].try_into().unwrap()) as usize;
                assert!(message == 2 && field(0), "{held:?}");
                assert_eq!(String::from_utf8_lossy(&held[10..10 + len]), result(text));
                assert!(held.ends_with(&[2, 0, 3, 1, 0, 0]), "{held:?}");
            }
            "rejected" => {
                let later = held.windows(5).any(|w| w == b"later");
                assert!(
                    message == 2 && field(1) && (later || text.is_empty()),
                    "{name} {held:?}"
                );
            }
            "aborted" => assert!(message == 2 && field(2), "{name} {held:?}"),
            "exception" => {
                let said = String::from_utf8_lossy(&held).into_owned();
                assert!(message == 3 && said.contains(text), "{said}");
            }
            other => panic!("unknown answer '{other}'"),
        }
    }

    pub fn many(&mut self, count: usize, client: &str, engine: &str) {
        let mut early = 0;
        for i in 1..=count {
            let number = i.to_string();
            self.statements
                .insert(number.clone(), format!("select {i} from s_{i}.t"));
            let (key, unique) = (format!("item=k{i}"), format!("unique=u{i}"));
            let frame = self.frame(
                &number,
                &["verb=load", &key, &unique],
                &self.statements[&number],
            );
            self.clients
                .get_mut(client)
                .unwrap()
                .write_all(&frame)
                .unwrap();
            self.engine_hears(engine, "want", &[&number], &[]);
            self.says(engine, &number, "ACK", "batches=1", "x");
            self.hears(client, &number, "completed", "x");
            self.statements.remove(&number);
            self.engines.get_mut(engine).unwrap().asked.clear();
            if i % 100 == 0 {
                self.passes(100);
            }
            if i == count / 4 {
                early = self.memory_kb();
            }
        }
        let late = self.memory_kb();
        assert!(
            late <= early + early / 10,
            "{early} kB after a quarter, {late} kB at the end"
        );
    }

    pub fn flood(&mut self, client: &str) {
        // A method that is unknown: its long name is in the answer, twice.
        let frame = self.message(1, &"x".repeat(BIG / 2), "1", &[]);
        let stream = self.clients.get_mut(client).unwrap();
        stream
            .set_write_timeout(Some(Duration::from_millis(500)))
            .unwrap();
        let read_no_more = (0..2000).any(|_| stream.write_all(&frame).is_err());
        assert!(read_no_more, "200 MB of answers that nobody takes");
        let memory_kb = self.memory_kb();
        assert!(memory_kb < 50_000, "{memory_kb} kB");
    }
}
