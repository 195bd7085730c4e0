//! Query engines of the scenarios: the commands that they receive and the replies that they send.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::dials::DialGate;
use crate::{id, rows, Scenario, WAIT_TIMEOUT};

pub const NARROW_BUFFER_BYTES: usize = 2048; // receive buffer of a narrow peer, as far as the system respects it

/// A command that an engine received, and the connection that brought it.
pub struct ReceivedCommand {
    words: Vec<String>,
    body: Vec<u8>,
    connection: Arc<TcpStream>,
}

/// Whether an engine reads its connections.
pub type ReadGate = Arc<(Mutex<bool>, Condvar)>;

/// A connection that is read only while the gate is open; one read that is already pending may still
/// complete.
struct GatedReader {
    stream: Arc<TcpStream>,
    read_gate: ReadGate,
}

impl Read for GatedReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        drop(
            self.read_gate
                .1
                .wait_while(self.read_gate.0.lock().unwrap(), |is_reading| !*is_reading),
        );
        (&*self.stream).read(buffer)
    }
}

pub struct Engine {
    pub address: SocketAddr,
    pub listener: Option<TcpListener>,
    pub read_gate: ReadGate,
    pub dial_gate: Arc<DialGate>,
    commands: Receiver<ReceivedCommand>,
    /// Received commands that no scenario line has claimed yet.
    unclaimed: Vec<ReceivedCommand>,
    pub latest_connection: Option<Arc<TcpStream>>,
    pub previous_address: Option<SocketAddr>,
    pub statement_connections: HashMap<String, Arc<TcpStream>>,
    /// The connections that brought a statement the time before, if it arrived more than once.
    pub earlier_connections: HashMap<String, Arc<TcpStream>>,
}

impl Engine {
    /// Starts an engine. A `narrow` one has a receive buffer of a few kilobytes; one with `paused` reads
    /// nothing yet.
    pub fn new(paused: bool, narrow: bool) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        if narrow {
            SockRef::from(&listener)
                .set_recv_buffer_size(NARROW_BUFFER_BYTES)
                .unwrap();
        }
        let address = listener.local_addr().unwrap();
        let (sender, commands) = channel();
        let (read_gate, dial_gate) = (
            Arc::new((Mutex::new(!paused), Condvar::new())),
            Arc::new(DialGate::default()),
        );
        let (thread_read_gate, thread_listener, thread_dial_gate) = (
            read_gate.clone(),
            listener.try_clone().unwrap(),
            dial_gate.clone(),
        );
        std::thread::spawn(move || {
            for stream in thread_listener.incoming().map_while(Result::ok) {
                thread_dial_gate.wait_until_open();
                let (sender, read_gate) = (sender.clone(), thread_read_gate.clone());
                std::thread::spawn(move || Engine::listen(Arc::new(stream), read_gate, &sender));
            }
        });
        Engine {
            address,
            listener: Some(listener),
            read_gate,
            dial_gate,
            commands,
            unclaimed: Vec::new(),
            latest_connection: None,
            previous_address: None,
            statement_connections: HashMap::new(),
            earlier_connections: HashMap::new(),
        }
    }

    /// Answers each statement at once, and records when it was received.
    pub fn answer_each(self, times: Arc<Mutex<HashMap<String, Vec<Instant>>>>) {
        std::thread::spawn(move || {
            for command in self
                .commands
                .iter()
                .filter(|command| command.words[0] == "want")
            {
                let (id, body) = (command.words[1].clone(), rows("x"));
                let line = format!("{id} ACK batches=1 {}\r\n{body}\r\n", body.len());
                times
                    .lock()
                    .unwrap()
                    .entry(id)
                    .or_default()
                    .push(Instant::now());
                let _ = (&*command.connection).write_all(line.as_bytes());
            }
        });
    }

    fn listen(
        stream: Arc<TcpStream>,
        read_gate: ReadGate,
        sender: &Sender<ReceivedCommand>,
    ) -> Option<()> {
        // Of two small writes in a row the second would wait for the acknowledgement of the first, some 40 ms
        // of real time, during which the scenario's clock may advance by any amount.
        stream.set_nodelay(true).ok()?;
        let mut input = BufReader::new(GatedReader {
            stream: stream.clone(),
            read_gate,
        });
        loop {
            let mut line = String::new();
            input.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let words: Vec<String> = line.trim_end().split(' ').map(str::to_string).collect();
            let mut body = Vec::new();
            if words[0] == "want" {
                body.resize(words.last()?.parse::<usize>().ok()? + 2, 0);
                input.read_exact(&mut body).ok()?;
                body.truncate(body.len() - 2);
            }
            sender
                .send(ReceivedCommand {
                    words,
                    body,
                    connection: stream.clone(),
                })
                .ok()?;
        }
    }

    /// The indexes of the first unclaimed command of each connection.
    fn first_of_each_connection(&self) -> impl Iterator<Item = usize> + '_ {
        let sender_of = |command: &ReceivedCommand| command.connection.peer_addr().ok();
        let counts = |command: &&ReceivedCommand| command.words[0] != "hurry";
        (0..self.unclaimed.len()).filter(move |at| {
            let (before, command) = (&self.unclaimed[..*at], &self.unclaimed[*at]);
            counts(&command)
                && !before
                    .iter()
                    .filter(counts)
                    .any(|other| sender_of(other) == sender_of(command))
        })
    }
}

impl Scenario {
    /// Waits for a command with one of the given names (`want|turn` for either) and numbers. Connections are
    /// read concurrently, so the order is kept within each connection only.
    pub fn expect_command(
        &mut self,
        name: &str,
        command: &str,
        numbers: &[&str],
        words: &[&str],
    ) -> String {
        let engine = self.engines.get_mut(name).unwrap();
        let ids: Vec<String> = numbers.iter().map(|n| id(n)).collect();
        let matches = |received: &ReceivedCommand| {
            command.split('|').any(|name| received.words[0] == name)
                && (ids.is_empty() || ids.contains(&received.words[1]))
        };
        let received = loop {
            let index = engine
                .first_of_each_connection()
                .find(|index| matches(&engine.unclaimed[*index]));
            if let Some(index) = index {
                break engine.unclaimed.remove(index);
            }
            match engine.commands.recv_timeout(WAIT_TIMEOUT) {
                Ok(received) => engine.unclaimed.push(received),
                Err(_) => {
                    let unclaimed: Vec<String> = engine
                        .unclaimed
                        .iter()
                        .map(|waiting| waiting.words.join(" "))
                        .collect();
                    let clients: Vec<_> = self.clients.keys().cloned().collect();
                    let client_replies = clients
                        .iter()
                        .map(|client| self.take_unread(client))
                        .collect::<Vec<_>>();
                    panic!(
                        "no {command} {numbers:?} arrived; unclaimed commands: {unclaimed:?}; clients: {client_replies:?}"
                    );
                }
            }
        };
        let fields = received.words[2..].join(",");
        let number = received.words[1].trim_start_matches('0').to_string();
        for word in words {
            assert!(
                self.field_matches(&fields, &number, word),
                "{word} in {fields}"
            );
        }
        let engine = self.engines.get_mut(name).unwrap();
        if received.words[0] == "want" {
            let number = number.as_str();
            assert_eq!(
                String::from_utf8(received.body).unwrap(),
                self.statements[number]
            );
            let earlier = engine
                .statement_connections
                .insert(number.to_string(), received.connection.clone());
            earlier.into_iter().for_each(|connection| {
                _ = engine
                    .earlier_connections
                    .insert(number.to_string(), connection)
            });
        }
        engine.previous_address = engine
            .latest_connection
            .as_ref()
            .and_then(|latest| latest.peer_addr().ok());
        engine.latest_connection = Some(received.connection);
        number
    }

    /// Claims a statement if it has already been received; true if it has.
    pub fn take_if_received(&mut self, name: &str, number: &str) -> bool {
        let engine = self.engines.get_mut(name).unwrap();
        engine.unclaimed.extend(engine.commands.try_iter());
        let is = |h: &ReceivedCommand| h.words[0] == "want" && h.words[1] == id(number);
        let there = engine
            .first_of_each_connection()
            .any(|at| is(&engine.unclaimed[at]));
        there && !self.expect_command(name, "want", &[number], &[]).is_empty()
    }

    /// Resets an engine's latest connection, once no other reference keeps it open.
    pub fn reset_connection(&mut self, name: &str) {
        let engine = self.engines.get_mut(name).unwrap();
        let latest = engine.latest_connection.take().unwrap();
        let is_other = |other: &Arc<TcpStream>| !Arc::ptr_eq(other, &latest);
        engine
            .statement_connections
            .retain(|_, from| is_other(from));
        engine.earlier_connections.retain(|_, from| is_other(from));
        SockRef::from(&*latest)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        latest.shutdown(Shutdown::Read).unwrap();
        let started = Instant::now();
        while Arc::strong_count(&latest) > 1 {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "a command of this connection was not claimed"
            );
            std::thread::yield_now();
        }
    }

    /// Asserts that engines have received no command that the scenario has not claimed.
    pub fn assert_nothing_else_received(&mut self) {
        for (name, engine) in &mut self.engines {
            engine.unclaimed.extend(engine.commands.try_iter());
            engine.unclaimed.retain(|h| h.words[0] != "hurry");
            let unclaimed: Vec<String> =
                engine.unclaimed.iter().map(|h| h.words.join(" ")).collect();
            assert!(unclaimed.is_empty(), "{name} also received {unclaimed:?}");
        }
    }

    pub fn send_reply(&mut self, name: &str, number: &str, word: &str, fields: &str, text: &str) {
        let connection = self.engines[name].statement_connections[number].clone();
        self.send_reply_on(&connection, number, word, fields, text);
    }

    pub fn send_reply_on(
        &mut self,
        mut connection: &TcpStream,
        number: &str,
        word: &str,
        fields: &str,
        text: &str,
    ) {
        let body = rows(text);
        let line = format!(
            "{} {word} {fields} {}\r\n{body}\r\n",
            id(number),
            body.len()
        );
        connection.write_all(line.as_bytes()).unwrap();
    }
}
