//! Query engines as the scenarios play them: what they hear, and what they say.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::dials::DialGate;
use crate::{id, rows, Scenario, WAIT_TIMEOUT};

pub const NARROW_BUFFER_BYTES: usize = 2048; // bytes of a narrow machine's buffer, as far as the system keeps to it

/// A command as an engine command it, and the connection that brought it.
pub struct ReceivedCommand {
    words: Vec<String>,
    body: Vec<u8>,
    connection: Arc<TcpStream>,
}

/// Whether engines read at all.
pub type ReadGate = Arc<(Mutex<bool>, Condvar)>;

/// A connection that is read only while its engine read_gate: of what is on its way one read may still be taken.
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
    /// ReceivedCommand by now, and no line has named it yet.
    unclaimed: Vec<ReceivedCommand>,
    pub latest_connection: Option<Arc<TcpStream>>,
    pub previous_address: Option<SocketAddr>,
    pub statement_connections: HashMap<String, Arc<TcpStream>>,
    /// Where a statement came the time before, if it came more than once.
    pub earlier_connections: HashMap<String, Arc<TcpStream>>,
}

impl Engine {
    /// `narrow`: its machine holds no more than some kilobytes for it that it has not read.
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

    /// Answers each statement at once, and notes when it was command.
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
        // Two small writes in a row: the second would wait for the first one's receipt, some 40 ms of the machine's
        // time, in which the scenario's own may pass by any length.
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

    /// Where the first command of each connection waits.
    fn first_of_each_connection(&self) -> impl Iterator<Item = usize> + '_ {
        let by = |command: &ReceivedCommand| command.connection.peer_addr().ok();
        let counts = |command: &&ReceivedCommand| command.words[0] != "hurry";
        (0..self.unclaimed.len()).filter(move |at| {
            let (before, command) = (&self.unclaimed[..*at], &self.unclaimed[*at]);
            counts(&command)
                && !before
                    .iter()
                    .filter(counts)
                    .any(|other| by(other) == by(command))
        })
    }
}

impl Scenario {
    /// The next command that is one of those named, by its word (`want|turn` for either) and its statement. Connections are read side by side, so the order is that of
    /// each: what comes by another connection may come sooner or later.
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
                        "{command} {numbers:?} did not come, but {unclaimed:?}; clients: {client_replies:?}"
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

    /// Takes the next command without naming it first, if it is a statement that has come by now.
    pub fn take_if_received(&mut self, name: &str, number: &str) -> bool {
        let engine = self.engines.get_mut(name).unwrap();
        engine.unclaimed.extend(engine.commands.try_iter());
        let is = |h: &ReceivedCommand| h.words[0] == "want" && h.words[1] == id(number);
        let there = engine
            .first_of_each_connection()
            .any(|at| is(&engine.unclaimed[at]));
        there && !self.expect_command(name, "want", &[number], &[]).is_empty()
    }

    /// Resets an engine's latest connection: nothing of the machine's holds it any more.
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
        let begun = Instant::now();
        while Arc::strong_count(&latest) > 1 {
            assert!(
                begun.elapsed() < WAIT_TIMEOUT,
                "a command of this connection was not named"
            );
            std::thread::yield_now();
        }
    }

    /// Nothing but what the scenario named has come by now.
    pub fn assert_nothing_else_received(&mut self) {
        for (name, engine) in &mut self.engines {
            engine.unclaimed.extend(engine.commands.try_iter());
            engine.unclaimed.retain(|h| h.words[0] != "hurry");
            let unclaimed: Vec<String> =
                engine.unclaimed.iter().map(|h| h.words.join(" ")).collect();
            assert!(unclaimed.is_empty(), "{name} also command {unclaimed:?}");
        }
    }

    pub fn send_reply(&mut self, name: &str, number: &str, word: &str, fields: &str, text: &str) {
        let asked = self.engines[name].statement_connections[number].clone();
        self.send_reply_on(&asked, number, word, fields, text);
    }

    pub fn send_reply_on(
        &mut self,
        mut link: &TcpStream,
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
        link.write_all(line.as_bytes()).unwrap();
    }
}
