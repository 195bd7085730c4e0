//! Query engines as the scenarios play them: what they hear, and what they say.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;

use crate::{id, rows, Play, PATIENCE};

/// A command as an engine heard it, and the connection that brought it.
pub struct Heard {
    words: Vec<String>,
    body: Vec<u8>,
    from: TcpStream,
}

pub struct Engine {
    pub at: SocketAddr,
    pub listener: Option<TcpListener>,
    pub listens: Arc<(Mutex<bool>, Condvar)>,
    heard: Receiver<Heard>,
    /// Heard by now, and no line has named it yet.
    waiting: Vec<Heard>,
    pub latest: Option<TcpStream>,
    pub before: Option<SocketAddr>,
    pub asked: HashMap<String, TcpStream>,
}

impl Engine {
    pub fn new(deaf: bool) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (sender, heard) = channel();
        let listens = Arc::new((Mutex::new(!deaf), Condvar::new()));
        let waits = listens.clone();
        let accepts = listener.try_clone().unwrap();
        std::thread::spawn(move || {
            for stream in accepts.incoming().map_while(Result::ok) {
                let (sender, waits) = (sender.clone(), waits.clone());
                std::thread::spawn(move || {
                    drop(waits.1.wait_while(waits.0.lock().unwrap(), |listens| !*listens));
                    Engine::listen(stream, &sender)
                });
            }
        });
        Engine {
            at,
            listener: Some(listener),
            listens,
            heard,
            waiting: Vec::new(),
            latest: None,
            before: None,
            asked: HashMap::new(),
        }
    }

    /// Answers each statement at once, and notes when it was heard.
    pub fn answers(self, notes: Arc<Mutex<HashMap<String, Vec<Instant>>>>) {
        std::thread::spawn(move || {
            for heard in self.heard.iter().filter(|heard| heard.words[0] == "want") {
                let (id, body) = (heard.words[1].clone(), rows("x"));
                let line = format!("{id} ACK batches=1 {}\r\n{body}\r\n", body.len());
                notes.lock().unwrap().entry(id).or_default().push(Instant::now());
                let _ = (&heard.from).write_all(line.as_bytes());
            }
        });
    }

    fn listen(stream: TcpStream, heard: &Sender<Heard>) -> Option<()> {
        // Two small writes in a row: the second would wait for the first one's receipt, some 40 ms of the machine's
        // time, in which the scenario's own may pass by any length.
        stream.set_nodelay(true).ok()?;
        let mut input = BufReader::new(stream.try_clone().ok()?);
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
            heard.send(Heard { words, body, from: stream.try_clone().ok()? }).ok()?;
        }
    }

    /// Where the first command of each connection waits.
    fn first_of_each(&self) -> impl Iterator<Item = usize> + '_ {
        let by = |heard: &Heard| heard.from.peer_addr().ok();
        let counts = |heard: &&Heard| heard.words[0] != "hurry";
        (0..self.waiting.len()).filter(move |at| {
            let (before, heard) = (&self.waiting[..*at], &self.waiting[*at]);
            counts(&heard) && !before.iter().filter(counts).any(|other| by(other) == by(heard))
        })
    }
}

impl Play {
    /// The next command that is one of those named. Connections are read side by side, so the order is that of
    /// each: what comes by another connection may come sooner or later.
    pub fn engine_hears(&mut self, name: &str, command: &str, numbers: &[&str], words: &[&str]) -> String {
        let engine = self.engines.get_mut(name).unwrap();
        let ids: Vec<String> = numbers.iter().map(|n| id(n)).collect();
        let fits = |h: &Heard| h.words[0] == command && (ids.is_empty() || ids.contains(&h.words[1]));
        let heard = loop {
            let at = engine.first_of_each().find(|at| fits(&engine.waiting[*at]));
            if let Some(at) = at {
                break engine.waiting.remove(at);
            }
            match engine.heard.recv_timeout(PATIENCE) {
                Ok(heard) => engine.waiting.push(heard),
                Err(_) => {
                    let waiting: Vec<String> = engine.waiting.iter().map(|h| h.words.join(" ")).collect();
                    let heard: Vec<_> = self.clients.keys().cloned().collect();
                    let heard = heard.iter().map(|c| self.unread(c)).collect::<Vec<_>>();
                    panic!("{command} {numbers:?} did not come, but {waiting:?}; clients: {heard:?}");
                }
            }
        };
        let rest = heard.words[2..].join(",");
        for word in words {
            assert!(rest.split(',').any(|w| w == *word), "{word} in {rest}");
        }
        let number = heard.words[1].trim_start_matches('0').to_string();
        if command == "want" {
            let number = number.as_str();
            assert_eq!(String::from_utf8(heard.body).unwrap(), self.statements[number]);
            engine.asked.insert(number.to_string(), heard.from.try_clone().unwrap());
        }
        engine.before = engine.latest.as_ref().and_then(|latest| latest.peer_addr().ok());
        engine.latest = Some(heard.from);
        number
    }

    /// Nothing but what the scenario named has come by now.
    pub fn nothing_else_came(&mut self) {
        for (name, engine) in &mut self.engines {
            engine.waiting.extend(engine.heard.try_iter());
            engine.waiting.retain(|h| h.words[0] != "hurry");
            let waiting: Vec<String> = engine.waiting.iter().map(|h| h.words.join(" ")).collect();
            assert!(waiting.is_empty(), "{name} also heard {waiting:?}");
        }
    }

    pub fn says(&mut self, name: &str, number: &str, word: &str, fields: &str, text: &str) {
        let body = rows(text);
        let line = format!("{} {word} {fields} {}\r\n{body}\r\n", id(number), body.len());
        self.engines[name].asked[number].try_clone().unwrap().write_all(line.as_bytes()).unwrap();
    }
}
