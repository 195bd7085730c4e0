//! Clients of the scenarios, which speak Thrift frames.

use std::io::{Read, Write};
use std::time::Duration;

use crate::outcomes::result;
use crate::{id, Scenario, BIG_TEXT_BYTES};

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

    pub fn forget_message(&self, number: &str) -> Vec<u8> {
        let which = number.parse::<u32>().unwrap().to_be_bytes();
        self.message(4, "forget", "0", &[&[8, 0, 1][..], &which].concat())
    }

    /// Reads the next reply: its message type, method, statement number and body. `None` if the connection
    /// ended.
    pub fn reply(&mut self, client: &str) -> Option<(u8, String, String, Vec<u8>)> {
        let stream = self
            .clients
            .get_mut(client)
            .expect("the client is not connected");
        let mut prefix = [0; 4];
        stream.read_exact(&mut prefix).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(prefix) as usize];
        stream.read_exact(&mut frame).ok()?;
        let name_len = u32::from_be_bytes(frame[4..8].try_into().unwrap()) as usize;
        let name = String::from_utf8(frame[8..8 + name_len].to_vec()).unwrap();
        let number_at = 8 + name_len;
        let number = u32::from_be_bytes(frame[number_at..number_at + 4].try_into().unwrap());
        Some((
            frame[3],
            name,
            number.to_string(),
            frame[number_at + 4..].to_vec(),
        ))
    }

    /// Reads the replies that no scenario line has claimed, for the message of a failure.
    pub fn take_unread(&mut self, client: &str) -> (String, Vec<(String, String)>) {
        let stream = &self.clients[client];
        stream
            .set_read_timeout(Some(Duration::from_millis(1)))
            .unwrap();
        let replies = std::iter::from_fn(|| self.reply(client));
        (
            client.to_string(),
            replies
                .map(|(_, _, n, body)| (n, String::from_utf8_lossy(&body).into_owned()))
                .collect(),
        )
    }

    pub fn check_health(&mut self, client: &str, expected: bool) {
        let request = self.message(1, "isWell", "900", &[2, 0, 1, 0]);
        self.clients
            .get_mut(client)
            .unwrap()
            .write_all(&request)
            .unwrap();
        let (_, name, _, body) = self.reply(client).expect("no answer");
        assert_eq!(name, "isWell", "no other answer was expected");
        assert!(
            body.ends_with(&[2, 0, 3, u8::from(expected), 0, 0]),
            "{body:?}"
        );
    }

    pub fn expect_answer(&mut self, client: &str, number: &str, kind: &str, text: &str) {
        let (message, name, answered_number, body) = self.reply(client).expect("no answer");
        assert_eq!(answered_number, number);
        let field = |id: u8| body.starts_with(&[12, 0, id]);
        match kind {
            "completed" => {
                let len = u32::from_be_bytes(body[6..10].try_into().unwrap()) as usize;
                assert!(message == 2 && field(0), "{body:?}");
                assert_eq!(String::from_utf8_lossy(&body[10..10 + len]), result(text));
                assert!(body.ends_with(&[2, 0, 3, 1, 0, 0]), "{body:?}");
            }
            "rejected" => {
                let later = body.windows(5).any(|w| w == b"later");
                assert!(
                    message == 2 && field(1) && (later || text.is_empty()),
                    "{name} {body:?}"
                );
            }
            "aborted" => assert!(message == 2 && field(2), "{name} {body:?}"),
            "exception" => {
                let error_text = String::from_utf8_lossy(&body).into_owned();
                assert!(message == 3 && error_text.contains(text), "{error_text}");
            }
            other => panic!("unknown answer '{other}'"),
        }
    }

    pub fn run_many(&mut self, count: usize, client: &str, engine: &str) {
        let mut early_kb = 0;
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
            self.expect_command(engine, "want", &[&number], &[]);
            self.send_reply(engine, &number, "ACK", "batches=1", "x");
            self.expect_answer(client, &number, "completed", "x");
            self.statements.remove(&number);
            self.engines
                .get_mut(engine)
                .unwrap()
                .statement_connections
                .clear();
            if i % 100 == 0 {
                self.advance(100);
            }
            if i == count / 4 {
                early_kb = self.memory_kb();
            }
        }
        let late_kb = self.memory_kb();
        assert!(
            late_kb <= early_kb + early_kb / 10,
            "{early_kb} kB after a quarter, {late_kb} kB at the end"
        );
    }

    pub fn flood(&mut self, client: &str) {
        // The front answers an unknown method with its name, twice, so a long name makes long answers.
        let frame = self.message(1, &"x".repeat(BIG_TEXT_BYTES / 2), "1", &[]);
        let stream = self.clients.get_mut(client).unwrap();
        stream
            .set_write_timeout(Some(Duration::from_millis(500)))
            .unwrap();
        let is_no_longer_read = (0..2000).any(|_| stream.write_all(&frame).is_err());
        assert!(
            is_no_longer_read,
            "the front still reads after 200 MB of unread answers"
        );
        let memory_kb = self.memory_kb();
        assert!(memory_kb < 50_000, "{memory_kb} kB");
    }
}
