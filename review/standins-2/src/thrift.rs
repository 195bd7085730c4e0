//! A stand-in client of the native protocol: Thrift, framed, strict binary.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    /// `Throttled`.
    Rejected,
    /// `Broken`, or an application exception.
    Aborted,
    /// The connection ended without an answer.
    Lost,
    /// Nothing came.
    None,
}

type Waiting = Arc<Mutex<HashMap<i32, Sender<Answer>>>>;

pub struct Client {
    name: String,
    stream: TcpStream,
    next: i32,
    waiting: Waiting,
    record: Record,
}

/// A statement that was sent.
pub struct Open {
    answer: Receiver<Answer>,
}

impl Open {
    pub fn wait(&self, ms: f64) -> Answer {
        self.answer
            .recv_timeout(Duration::from_secs_f64(ms / 1000.0))
            .unwrap_or(Answer::None)
    }
}

fn string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend_from_slice(&(text.len() as i32).to_be_bytes());
    out.extend_from_slice(text);
}

fn call(name: &str, number: i32) -> Vec<u8> {
    let mut out = 0x8001_0001u32.to_be_bytes().to_vec();
    string(&mut out, name.as_bytes());
    out.extend_from_slice(&number.to_be_bytes());
    out
}

fn framed(body: &[u8]) -> Vec<u8> {
    let mut out = (body.len() as i32).to_be_bytes().to_vec();
    out.extend_from_slice(body);
    out
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, len: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(len)?;
        self.0 = rest;
        Some(head)
    }

    fn int(&mut self) -> Option<i32> {
        Some(i32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }

    fn string(&mut self) -> Option<&'a [u8]> {
        let len = self.int()?;
        self.take(usize::try_from(len).ok()?)
    }
}

/// The number and the answer in a reply.
fn reply(frame: &[u8]) -> Option<(i32, Answer)> {
    let mut reader = Reader(frame);
    let kind = reader.int()? as u32 & 0xff;
    reader.string()?;
    let number = reader.int()?;
    if kind != 2 {
        return Some((number, Answer::Aborted));
    }
    let (field_type, id) = (reader.take(1)?[0], reader.take(2)?[1]);
    let answer = match (field_type, id) {
        (12, 0) => {
            let mut body = String::new();
            // The body is the first field of the answer.
            if reader.take(3)? == [11, 0, 1] {
                body = String::from_utf8_lossy(reader.string()?).into_owned();
            }
            Answer::Served(body)
        }
        (12, 1) => Answer::Rejected,
        _ => Answer::Aborted,
    };
    Some((number, answer))
}

impl Client {
    pub fn connect(record: &Record, name: &str, address: &str) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let waiting = Waiting::default();
        let (mut reading, open, log, who) = (
            stream.try_clone()?,
            waiting.clone(),
            record.clone(),
            name.to_string(),
        );
        std::thread::spawn(move || {
            let mut head = [0; 4];
            while reading.read_exact(&mut head).is_ok() {
                let mut frame = vec![0; i32::from_be_bytes(head).max(0) as usize];
                if reading.read_exact(&mut frame).is_err() {
                    break;
                }
                let Some((number, answer)) = reply(&frame) else {
                    log.line(&format!("client {who}: an answer that can't be read"));
                    continue;
                };
                let sender = open
                    .lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .remove(&number);
                if let Some(sender) = sender {
                    let _ = sender.send(answer);
                }
            }
            for (_, sender) in open.lock().unwrap_or_else(|e| e.into_inner()).drain() {
                let _ = sender.send(Answer::Lost);
            }
        });
        Ok(Client {
            name: name.to_string(),
            stream,
            next: 0,
            waiting,
            record: record.clone(),
        })
    }

    fn send(&mut self, message: Vec<u8>, number: i32) -> Receiver<Answer> {
        let (sender, answer) = channel();
        self.waiting
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .insert(number, sender);
        let _ = self.stream.write_all(&framed(&message));
        answer
    }

    /// Whether the front says that it is well.
    pub fn is_well(&mut self) -> bool {
        self.next += 1;
        let mut out = call("isWell", self.next);
        out.extend_from_slice(&[2, 0, 1, 1, 0]);
        let answer = self.send(out, self.next);
        matches!(
            answer.recv_timeout(Duration::from_secs(2)),
            Ok(Answer::Served(_))
        )
    }

    /// Sends a statement. `fields` are those besides id, class and time.
    pub fn serve(
        &mut self,
        id: &str,
        class: &str,
        limit_ms: u32,
        fields: &[(&str, &str)],
        body: &str,
        quiet: bool,
    ) -> Open {
        self.next += 1;
        let limit = limit_ms.to_string();
        let mut all = vec![("verb", class), ("txn", id), ("limit", &limit)];
        all.extend_from_slice(fields);
        let mut out = call("serve", self.next);
        out.extend_from_slice(&[13, 0, 1, 11, 11]);
        out.extend_from_slice(&(all.len() as i32).to_be_bytes());
        for (name, value) in &all {
            string(&mut out, name.as_bytes());
            string(&mut out, value.as_bytes());
        }
        out.extend_from_slice(&[11, 0, 2]);
        string(&mut out, body.as_bytes());
        out.push(0);
        let answer = self.send(out, self.next);
        if !quiet {
            self.record.line(&format!(
                "client {}: sent {id}, class {class}, {fields:?}",
                self.name
            ));
        }
        Open { answer }
    }
}
