//! Query engines as the scenarios play them: what they hear, and what they say.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::dials::DialGate;
use crate::{id, rows, Scenario, PATIENCE};

pub const NARROW: usize = 2048; // bytes of a narrow machine's buffer, as far as the system keeps to it

/// A command as an engine heard it, and the connection that brought it.
pub struct Heard {
    words: Vec<String>,
    body: Vec<u8>,
    from: Arc<TcpStream>,
}

/// Whether engines read at all.
pub type Listens = Arc<(Mutex<bool>, Condvar)>;

/// A connection that is read only while its engine listens: of what is on its way one read may still be taken.
struct Ear {
    stream: Arc<TcpStream>,
    listens: Listens,
}

impl Read for Ear {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        drop(
            self.listens
                .1
                .wait_while(self.listens.0.lock().unwrap(), |listens| !*listens),
        );
        (&*self.stream).read(buffer)
    }
}

pub struct Engine {
    pub at: SocketAddr,
    pub listener: Option<TcpListener>,
    pub listens: Listens,
    pub dial_gate: Arc<DialGate>,
    heard: Receiver<Heard>,
    /// Heard by now, and no line has named it yet.
    waiting: Vec<Heard>,
    pub latest: Option<Arc<TcpStream>>,
    pub before: Option<SocketAddr>,
    pub asked: HashMap<String, Arc<TcpStream>>,
    /// Where a statement came the time before, if it came more than once.
    pub asked_before: HashMap<String, Arc<TcpStream>>,
}

impl Engine {
    /// `narrow`: its machine holds no more than some kilobytes for it that it has not read.
    pub fn new(deaf: bool, narrow: bool) -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        if narrow {
            SockRef::from(&listener)
                .set_recv_buffer_size(NARROW)
                .unwrap();
        }
        let at = listener.local_addr().unwrap();
        let (sender, heard) = channel();
        let (listens, dial_gate) = (
            Arc::new((Mutex::new(!deaf), Condvar::new())),
            Arc::new(DialGate::default()),
        );
        let (ears, accepts, passes) = (
            listens.clone(),
            listener.try_clone().unwrap(),
            dial_gate.clone(),
        );
        std::thread::spawn(move || {
            for stream in accepts.incoming().map_while(Result::ok) {
                passes.pass();
                let (sender, listens) = (sender.clone(), ears.clone());
                std::thread::spawn(move || Engine::listen(Arc::new(stream), listens, &sender));
            }
        });
        Engine {
            at,
            listener: Some(listener),
            listens,
            dial_gate,
            heard,
            waiting: Vec::new(),
            latest: None,
            before: None,
            asked: HashMap::new(),
            asked_before: HashMap::new(),
        }
    }

    /// Answers each statement at once, and notes when it was heard.
    pub fn answers(self, notes: Arc<Mutex<HashMap<String, Vec<Instant>>>>) {
        std::thread::spawn(move || {
            for heard in self.heard.iter().filter(|heard| heard.words[0] == "want") {
                let (id, body) = (heard.words[1].clone(), rows("x"));
                let line = format!("{id} ACK batches=1 {}\r\n{body}\r\n", body.len());
                notes
                    .lock()
                    .unwrap()
                    .entry(id)
                    .or_default()
                    .push(Instant::now());
                let _ = (&*heard.from).write_all(line.as_bytes());
            }
        });
    }

    fn listen(stream: Arc<TcpStream>, listens: Listens, heard: &Sender<Heard>) -> Option<()> {
        // Two small writes in a row: the second would wait for the first one's receipt, some 40 ms of the machine's
        // time, in which the scenario's own may pass by any length.
        stream.set_nodelay(true).ok()?;
        let mut input = BufReader::new(Ear {
            stream: stream.clone(),
            listens,
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
            heard
                .send(Heard {
                    words,
                    body,
                    from: stream.clone(),
                })
                .ok()?;
        }
    }

    /// Where the first command of each connection waits.
    fn first_of_each(&self) -> impl Iterator<Item = usize> + '_ {
        let by = |heard: &Heard| heard.from.peer_addr().ok();
        let counts = |heard: &&Heard| heard.words[0] != "hurry";
        (0..self.waiting.len()).filter(move |at| {
            let (before, heard) = (&self.waiting[..*at], &self.waiting[*at]);
            counts(&heard)
                && !before
                    .iter()
                    .filter(counts)
                    .any(|other| by(other) == by(heard))
        })
    }
}

impl Scenario {
    /// The next command that is one of those named, by its word (`want|turn` for either) and its statement. Connections are read side by side, so the order is that of
    /// each: what comes by another connection may come sooner or later.
    pub fn engine_hears(
        &mut self,
        name: &str,
        command: &str,
        numbers: &[&str],
        words: &[&str],
    ) -> String {
        let engine = self.engines.get_mut(name).unwrap();
        let ids: Vec<String> = numbers.iter().map(|n| id(n)).collect();
        let fits = |h: &Heard| {
            command.split('|').any(|c| h.words[0] == c)
                && (ids.is_empty() || ids.contains(&h.words[1]))
        };
        let heard = loop {
            let at = engine.first_of_each().find(|at| fits(&engine.waiting[*at]));
            if let Some(at) = at {
                break engine.waiting.remove(at);
            }
            match engine.heard.recv_timeout(PATIENCE) {
                Ok(heard) => engine.waiting.push(heard),
                Err(_) => {
                    let waiting: Vec<String> =
                        engine.waiting.iter().map(|h| h.words.join(" ")).collect();
                    let heard: Vec<_> = self.clients.keys().cloned().collect();
                    let heard = heard.iter().map(|c| self.unread(c)).collect::<Vec<_>>();
                    panic!(
                        "{command} {numbers:?} did not come, but {waiting:?}; clients: {heard:?}"
                    );
                }
            }
        };
        let rest = heard.words[2..].join(",");
        let number = heard.words[1].trim_start_matches('0').to_string();
        for word in words {
            assert!(self.holds(&rest, &number, word), "{word} in {rest}");
        }
        let engine = self.engines.get_mut(name).unwrap();
        if heard.words[0] == "want" {
            let number = number.as_str();
            assert_eq!(
                String::from_utf8(heard.body).unwrap(),
                self.statements[number]
            );
            let before = engine.asked.insert(number.to_string(), heard.from.clone());
            before
                .into_iter()
                .for_each(|from| _ = engine.asked_before.insert(number.to_string(), from));
        }
        engine.before = engine
            .latest
            .as_ref()
            .and_then(|latest| latest.peer_addr().ok());
        engine.latest = Some(heard.from);
        number
    }

    /// Takes the next command without naming it first, if it is a statement that has come by now.
    pub fn heard_by_now(&mut self, name: &str, number: &str) -> bool {
        let engine = self.engines.get_mut(name).unwrap();
        engine.waiting.extend(engine.heard.try_iter());
        let is = |h: &Heard| h.words[0] == "want" && h.words[1] == id(number);
        let there = engine.first_of_each().any(|at| is(&engine.waiting[at]));
        there && !self.engine_hears(name, "want", &[number], &[]).is_empty()
    }

    /// Resets an engine's latest connection: nothing of the machine's holds it any more.
    pub fn resets(&mut self, name: &str) {
        let engine = self.engines.get_mut(name).unwrap();
        let latest = engine.latest.take().unwrap();
        let is_other = |other: &Arc<TcpStream>| !Arc::ptr_eq(other, &latest);
        engine.asked.retain(|_, from| is_other(from));
        engine.asked_before.retain(|_, from| is_other(from));
        SockRef::from(&*latest)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        latest.shutdown(Shutdown::Read).unwrap();
        let begun = Instant::now();
        while Arc::strong_count(&latest) > 1 {
            assert!(
                begun.elapsed() < PATIENCE,
                "a command of this connection was not named"
            );
            std::thread::yield_now();
        }
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
        let asked = self.engines[name].asked[number].clone();
        self.says_on(&asked, number, word, fields, text);
    }

    pub fn says_on(
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
