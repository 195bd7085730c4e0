//! Plays the scenarios beside this file against the front's binary: scripted peers on loopback, on ports
//! that the system gives. Each line waits for what it names and for nothing else; too long a wait fails.
//!
//!     agreed KEY JSON          a value of the settings object, in place of the usual one
//!     told KEY JSON            a value of the configuration itself, for the next start
//!     operator TEXT            the operator's own file, for the starts from now on (`\n` a line's end)
//!     engine NAME [gone|deaf]  of the list at start; `gone` listens no more, `deaf` reads nothing yet
//!     start                    starts the front and waits until it takes statements
//!     fails TEXT               starts it and waits until it ends with a complaint that holds TEXT
//!     CLIENT connects | closes | is well | is unwell | is closed
//!     CLIENT asks N FIELD=.. STATEMENT    sends statement N; `-FIELD` leaves a field out
//!     CLIENT asks at once N,M STATEMENT   sends several in one write, `!N` for a `forget` of N
//!     CLIENT floods            asks and takes no answers until it is no longer read; memory stays bounded
//!     CLIENT sends HEX         sends bytes as they are
//!     CLIENT hears N completed TEXT | rejected [later] | aborted | exception TEXT
//!     ENGINE hears COMMAND N [WORDS]      the next command but `hurry`; `want` checks the statement
//!     ENGINE hears COMMAND N,M            the next ones, in any order, as they come by several connections
//!     ENGINE says N WORD FIELDS TEXT      answers where statement N came
//!     ENGINE utters TEXT | closes         on its latest connection, as it is
//!     ENGINE is reached anew              its latest command came by another connection
//!     ENGINE is reached by N              statements came by so many connections
//!     ENGINE listens                      a deaf one reads from now on
//!     list NAME STATE          tells of a change; a new NAME listens at a port of its own
//!     list NAME STATE at OTHER the same, at the address of another engine
//!     coordinator answers TEXT the next answer, as it is
//!     coordinator asked [N]    waits for the next question, from number N on
//!     coordinator moves        the next configuration names another; the one till now says nothing more
//!     reloads                  writes the configuration anew and sends SIGHUP
//!     logs TEXT                waits for a line of the log that holds TEXT
//!     stop | ends              sends SIGTERM; waits until the front has ended well
//!     halt | goes on           stops the front, and lets it go on
//!     passes MS                lets time pass, as a client's patience does
//!     many N CLIENT ENGINE     N statements one by one, each completed; memory must not grow

use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde_json::{json, Value};

const PATIENCE: Duration = Duration::from_secs(20); // for any one wait; a busy machine takes some of it

const BIG: usize = 100_000; // bytes that `BIG` in a statement stands for

/// A command as an engine heard it, and the connection that brought it.
struct Heard {
    words: Vec<String>,
    body: Vec<u8>,
    from: TcpStream,
}

struct Engine {
    at: SocketAddr,
    listener: Option<TcpListener>,
    listens: Arc<(Mutex<bool>, Condvar)>,
    heard: Receiver<Heard>,
    latest: Option<TcpStream>,
    before: Option<SocketAddr>,
    asked: HashMap<String, TcpStream>,
}

#[derive(Default)]
struct Told {
    moves: usize,
    updates: Vec<Value>,
    answers: VecDeque<String>,
}

#[derive(Default)]
struct Play {
    settings: Value,
    told_otherwise: Vec<(String, Value)>,
    files: Vec<std::path::PathBuf>,
    engines: HashMap<String, Engine>,
    clients: HashMap<String, TcpStream>,
    statements: HashMap<String, String>,
    told: Arc<(Mutex<Told>, Condvar)>,
    questions: Option<Receiver<usize>>,
    coordinator: Option<SocketAddr>,
    front: Option<Child>,
    log: Option<Receiver<String>>,
    listens: String,
    operator: Option<std::path::PathBuf>,
}

fn id(number: &str) -> String {
    format!("{:0>16}", number)
}

fn unescaped(text: &str) -> String {
    text.replace("\\t", "\t").replace("\\r", "\r").replace("\\n", "\n")
}

/// A word alone stands for a row that begins with it.
fn rows(text: &str) -> String {
    let word = !text.is_empty() && !text.contains('\\');
    unescaped(&if word { format!("{text}\\t-\\t-\\n") } else { text.to_string() })
}

impl Engine {
    fn new(deaf: bool) -> Engine {
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
            latest: None,
            before: None,
            asked: HashMap::new(),
        }
    }

    fn listen(stream: TcpStream, heard: &Sender<Heard>) -> Option<()> {
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
}

impl Play {
    fn server(&self, name: &str, state: &str, at: SocketAddr, started: bool) -> Value {
        let started_ms = if started { 1_700_000_000_000u64 } else { 0 };
        json!({"id": name, "addr": at.to_string(), "zone": "here", "kind": "std", "cell": 0,
               "state": state, "weight": 1, "started_ms": started_ms})
    }

    fn spawn(&mut self) -> Child {
        let servers: Vec<Value> =
            self.engines.iter().map(|(name, e)| self.server(name, "up", e.at, false)).collect();
        let known = json!({"index": 1, "endpoints": {"version": 1, "full": true, "servers": servers}});
        self.told.0.lock().unwrap().updates.push(known);
        self.serve_list();
        let number =
            std::sync::atomic::AtomicUsize::fetch_add(&FILES, 1, std::sync::atomic::Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("hallmux-play-{}-{number}.json", std::process::id()));
        self.files.push(path.clone());
        self.configure();
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallmux-front"));
        command.env("NODE_CONFIG", &path).env_remove("NODE_LISTEN").env_remove("NODE_NAME");
        command.env_remove("HALLMUX_OPERATOR");
        if let Some(operator) = &self.operator {
            command.env("HALLMUX_OPERATOR", operator);
        }
        command.stderr(Stdio::piped()).spawn().unwrap()
    }

    /// Writes the configuration to the latest file.
    fn configure(&self) {
        let known = &self.told.0.lock().unwrap().updates[0];
        let mut config = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": self.coordinator.map(|at| at.to_string()),
            "known": {"index": 1, "updates": [known]}, "settings": self.settings});
        for (key, value) in &self.told_otherwise {
            config[key] = value.clone();
        }
        std::fs::write(self.files.last().unwrap(), config.to_string()).unwrap();
    }

    /// The coordinator: each question is answered once there is something later than what it names.
    fn serve_list(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        self.coordinator = Some(listener.local_addr().unwrap());
        let (told, (sender, questions)) = (self.told.clone(), channel());
        self.questions = Some(questions);
        let moves = told.0.lock().unwrap().moves;
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (told, sender) = (told.clone(), sender.clone());
                std::thread::spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().ok()?);
                    loop {
                        let mut line = String::new();
                        input.read_line(&mut line).ok().filter(|n| *n > 0)?;
                        let Some(at) = line.find("follow=") else { continue };
                        let digits: String =
                            line[at + 7..].chars().take_while(|c| c.is_ascii_digit()).collect();
                        let follow: usize = digits.parse().ok()?;
                        sender.send(follow).ok()?;
                        let limit = Duration::from_millis(200);
                        let waits = |t: &mut Told| t.updates.len() <= follow && t.answers.is_empty();
                        let guard = told.0.lock().unwrap();
                        let (mut held, _) = told.1.wait_timeout_while(guard, limit, waits).unwrap();
                        while held.moves > moves {
                            held = told.1.wait(held).unwrap();
                        }
                        if let Some(answer) = held.answers.pop_front() {
                            (&stream).write_all(answer.as_bytes()).ok()?;
                            continue;
                        }
                        let later = held.updates.get(follow..).unwrap_or_default();
                        let body = json!({"index": held.updates.len(), "updates": later}).to_string();
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        (&stream).write_all((head + &body).as_bytes()).ok()?;
                    }
                    #[allow(unreachable_code)]
                    Some(())
                });
            }
        });
    }

    fn tell(&mut self, update: impl FnOnce(&mut Told)) {
        update(&mut self.told.0.lock().unwrap());
        self.told.1.notify_all();
    }

    fn frame(&self, number: &str, fields: &[&str], statement: &str) -> Vec<u8> {
        let txn = id(number);
        let mut map = vec![("txn", txn.as_str()), ("verb", "lookup"), ("limit", "15000"), ("team", "acme")];
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

    fn message(&self, kind: u8, name: &str, number: &str, args: &[u8]) -> Vec<u8> {
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

    fn forget(&self, number: &str) -> Vec<u8> {
        let which = number.parse::<u32>().unwrap().to_be_bytes();
        self.message(4, "forget", "0", &[&[8, 0, 1][..], &which].concat())
    }

    /// The next reply: its kind, method, number and what it holds.
    fn reply(&mut self, client: &str) -> Option<(u8, String, String, Vec<u8>)> {
        let stream = self.clients.get_mut(client).expect("a client that is connected");
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

    fn well(&mut self, client: &str, expected: bool) {
        let asks = self.message(1, "isWell", "900", &[2, 0, 1, 0]);
        self.clients.get_mut(client).unwrap().write_all(&asks).unwrap();
        let (_, name, _, held) = self.reply(client).expect("an answer");
        assert_eq!(name, "isWell", "nothing else was to come");
        assert!(held.ends_with(&[2, 0, 3, u8::from(expected), 0, 0]), "{held:?}");
    }

    fn hears(&mut self, client: &str, number: &str, kind: &str, text: &str) {
        let (message, name, heard, held) = self.reply(client).expect("an answer");
        assert_eq!(heard, number);
        let field = |id: u8| held.starts_with(&[12, 0, id]);
        match kind {
            "completed" => {
                let len = u32::from_be_bytes(held[6..10].try_into().unwrap()) as usize;
                assert!(message == 2 && field(0), "{held:?}");
                assert_eq!(String::from_utf8_lossy(&held[10..10 + len]), rows(text));
                assert!(held.ends_with(&[2, 0, 3, 1, 0, 0]), "{held:?}");
            }
            "rejected" => {
                let later = held.windows(5).any(|w| w == b"later");
                assert!(message == 2 && field(1) && (later || text.is_empty()), "{name} {held:?}");
            }
            "aborted" => assert!(message == 2 && field(2), "{name} {held:?}"),
            "exception" => {
                let said = String::from_utf8_lossy(&held).into_owned();
                assert!(message == 3 && said.contains(text), "{said}");
            }
            other => panic!("unknown answer '{other}'"),
        }
    }

    fn engine_hears(&mut self, name: &str, words: &[&str]) -> String {
        let engine = self.engines.get_mut(name).unwrap();
        let heard = loop {
            let heard = engine.heard.recv_timeout(PATIENCE).expect("a command");
            if heard.words[0] != "hurry" {
                break heard;
            }
        };
        assert_eq!(heard.words[0], words[0], "{:?}", heard.words);
        if let Some(number) = words.get(1) {
            assert_eq!(heard.words[1], id(number), "{:?}", heard.words);
        }
        let rest = heard.words[2..].join(",");
        for word in &words[words.len().min(2)..] {
            assert!(rest.split(',').any(|w| w == *word), "{word} in {rest}");
        }
        let number = heard.words[1].trim_start_matches('0').to_string();
        if words[0] == "want" {
            let number = number.as_str();
            assert_eq!(String::from_utf8(heard.body).unwrap(), self.statements[number]);
            engine.asked.insert(number.to_string(), heard.from.try_clone().unwrap());
        }
        engine.before = engine.latest.as_ref().and_then(|latest| latest.peer_addr().ok());
        engine.latest = Some(heard.from);
        number
    }

    fn says(&mut self, name: &str, number: &str, word: &str, fields: &str, text: &str) {
        let body = rows(text);
        let line = format!("{} {word} {fields} {}\r\n{body}\r\n", id(number), body.len());
        self.engines[name].asked[number].try_clone().unwrap().write_all(line.as_bytes()).unwrap();
    }

    fn many(&mut self, count: usize, client: &str, engine: &str) {
        let mut early = 0;
        for i in 1..=count {
            let number = i.to_string();
            self.statements.insert(number.clone(), format!("select {i} from s_{i}.t"));
            let (key, unique) = (format!("item=k{i}"), format!("unique=u{i}"));
            let frame = self.frame(&number, &["verb=load", &key, &unique], &self.statements[&number]);
            self.clients.get_mut(client).unwrap().write_all(&frame).unwrap();
            self.engine_hears(engine, &["want", &number]);
            self.says(engine, &number, "ACK", "batches=1", "x");
            self.hears(client, &number, "completed", "x");
            self.statements.remove(&number);
            self.engines.get_mut(engine).unwrap().asked.clear();
            if i == count / 4 {
                early = self.memory_kb();
            }
        }
        let late = self.memory_kb();
        assert!(late <= early + early / 10, "{early} kB after a quarter, {late} kB at the end");
    }

    fn flood(&mut self, client: &str) {
        // A method that is unknown: its long name is in the answer, twice.
        let frame = self.message(1, &"x".repeat(BIG / 2), "1", &[]);
        let stream = self.clients.get_mut(client).unwrap();
        stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
        let read_no_more = (0..2000).any(|_| stream.write_all(&frame).is_err());
        assert!(read_no_more, "200 MB of answers that nobody takes");
        let memory_kb = self.memory_kb();
        assert!(memory_kb < 50_000, "{memory_kb} kB");
    }

    fn signal(&self, which: &str) {
        let pid = self.front.as_ref().unwrap().id().to_string();
        assert!(Command::new("kill").args([which, &pid]).status().unwrap().success());
    }

    fn memory_kb(&self) -> usize {
        let pid = self.front.as_ref().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    fn start(&mut self) {
        let mut front = self.spawn();
        let ((sender, ready), (says, said)) = (channel(), channel());
        let mut log = BufReader::new(front.stderr.take().unwrap()).lines().map_while(Result::ok);
        std::thread::spawn(move || {
            let found = log.by_ref().find_map(|l| Some(l.split_once("takes statements at ")?.1.to_string()));
            let _ = sender.send(found);
            log.for_each(|line| {
                println!("{line}");
                let _ = says.send(line);
            });
        });
        (self.front, self.log) = (Some(front), Some(said));
        self.listens = ready.recv_timeout(PATIENCE).unwrap().expect("a front that starts");
    }

    fn line(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let rest = |n: usize| words[n..].join(" ");
        match words[..] {
            ["agreed", key, ..] => {
                let (path, last) = key.rsplit_once('.').unwrap_or(("", key));
                let mut at = &mut self.settings;
                for step in path.split('.').filter(|step| !step.is_empty()) {
                    at = match step.parse::<usize>() {
                        Ok(place) => &mut at[place],
                        Err(_) => &mut at[step],
                    };
                }
                at[last] = serde_json::from_str(&rest(2)).unwrap();
            }
            ["operator", ..] => {
                let number =
                    std::sync::atomic::AtomicUsize::fetch_add(&FILES, 1, std::sync::atomic::Ordering::SeqCst);
                let name = format!("hallmux-play-{}-{number}.json5", std::process::id());
                let path = std::env::temp_dir().join(name);
                std::fs::write(&path, unescaped(&rest(1))).unwrap();
                self.files.push(path.clone());
                self.operator = Some(path);
            }
            ["told", key, ..] => {
                self.told_otherwise.push((key.to_string(), serde_json::from_str(&rest(2)).unwrap()));
            }
            ["engine", name, ..] => {
                let mut engine = Engine::new(words.get(2) == Some(&"deaf"));
                if words.get(2) == Some(&"gone") {
                    let free = TcpListener::bind("127.0.0.1:0").unwrap();
                    (engine.at, engine.listener) = (free.local_addr().unwrap(), None);
                }
                self.engines.insert(name.to_string(), engine);
            }
            ["start"] => self.start(),
            ["fails", ..] => {
                let output = self.spawn().wait_with_output().unwrap();
                let said = String::from_utf8_lossy(&output.stderr).into_owned();
                assert!(!output.status.success() && said.contains(&rest(1)), "{said}");
                self.told_otherwise.clear();
            }
            ["list", name, state, ..] => {
                if !self.engines.contains_key(name) {
                    self.engines.insert(name.to_string(), Engine::new(false));
                }
                let at = self.engines[words.get(4).copied().unwrap_or(name)].at;
                let server = self.server(name, state, at, state == "up");
                let index = self.told.0.lock().unwrap().updates.len() + 1;
                let list = json!({"version": index, "full": false, "servers": [server]});
                self.tell(|told| told.updates.push(json!({"index": index, "endpoints": list})));
                // Its second question from now on follows the change.
                self.line("coordinator asked");
                self.line("coordinator asked");
            }
            ["coordinator", "answers", ..] => {
                let answer = unescaped(&rest(2));
                self.tell(|told| told.answers.push_back(answer));
            }
            ["coordinator", "asked"] => {
                let questions = self.questions.as_ref().unwrap();
                while questions.try_recv().is_ok() {}
                questions.recv_timeout(PATIENCE).expect("a question");
            }
            ["coordinator", "asked", number] => {
                let follow = self.questions.as_ref().unwrap().recv_timeout(PATIENCE).expect("a question");
                assert_eq!(follow.to_string(), number);
            }
            ["coordinator", "moves"] => {
                self.tell(|told| told.moves += 1);
                self.serve_list();
            }
            ["reloads"] => {
                self.configure();
                self.told_otherwise.clear();
                self.signal("-HUP");
            }
            ["logs", ..] => {
                let log = self.log.as_ref().unwrap();
                while !log.recv_timeout(PATIENCE).expect("a line of the log").contains(&rest(1)) {}
            }
            ["stop"] => self.signal("-TERM"),
            ["halt"] => {
                self.signal("-STOP");
                let stat = format!("/proc/{}/stat", self.front.as_ref().unwrap().id());
                while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
                    std::thread::yield_now();
                }
            }
            ["goes", "on"] => self.signal("-CONT"),
            ["passes", ms] => std::thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ["ends"] => assert!(self.front.take().unwrap().wait().unwrap().success()),
            ["many", count, client, engine] => self.many(count.parse().unwrap(), client, engine),
            [client, "connects"] => {
                let stream = TcpStream::connect(&self.listens).unwrap();
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                self.clients.insert(client.to_string(), stream);
            }
            [client, "closes"] if self.clients.contains_key(client) => {
                self.clients.remove(client);
            }
            [client, "is", "well"] => self.well(client, true),
            [client, "is", "unwell"] => self.well(client, false),
            [client, "is", "closed"] => {
                let end = self.clients.get_mut(client).unwrap().read(&mut [0; 1]);
                let open =
                    |e: &std::io::Error| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                assert!(!matches!(&end, Ok(1)) && !end.is_err_and(|e| open(&e)));
            }
            [client, "asks", "at", "once", which, ..] => {
                let statement = rest(5).replace("BIG", &"x".repeat(BIG));
                let mut bytes = Vec::new();
                for number in which.split(',') {
                    match number.strip_prefix('!') {
                        Some(number) => bytes.extend(self.forget(number)),
                        None => bytes.extend(self.frame(number, &[], &statement)),
                    }
                    self.statements.insert(number.to_string(), statement.clone());
                }
                self.clients.get_mut(client).unwrap().write_all(&bytes).unwrap();
            }
            [client, "asks", number, ..] => {
                let is_field = |w: &&&str| w.contains('=') || w.starts_with('-');
                let fields: Vec<&str> = words[3..].iter().take_while(is_field).copied().collect();
                let statement = rest(3 + fields.len());
                let frame = self.frame(number, &fields, &statement);
                self.statements.insert(number.to_string(), statement);
                self.clients.get_mut(client).unwrap().write_all(&frame).unwrap();
            }
            [client, "forgets", number] => {
                let frame = self.forget(number);
                self.clients.get_mut(client).unwrap().write_all(&frame).unwrap();
            }
            [client, "floods"] => self.flood(client),
            [client, "sends", hex] => {
                let byte = |i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap();
                let bytes: Vec<u8> = (0..hex.len()).step_by(2).map(byte).collect();
                self.clients.get_mut(client).unwrap().write_all(&bytes).unwrap();
            }
            [client, "hears", number, kind, ..] if self.clients.contains_key(client) => {
                self.hears(client, number, kind, &rest(4));
            }
            [engine, "hears", command, numbers] if numbers.contains(',') => {
                let mut awaited: Vec<&str> = numbers.split(',').collect();
                while !awaited.is_empty() {
                    let number = self.engine_hears(engine, &[command]);
                    let at = awaited.iter().position(|n| *n == number);
                    awaited.remove(at.unwrap_or_else(|| panic!("{number} was not to come")));
                }
            }
            [engine, "hears", ..] => _ = self.engine_hears(engine, &words[2..]),
            [engine, "utters", ..] => {
                let bytes = unescaped(&rest(2));
                self.engines[engine].latest.as_ref().unwrap().write_all(bytes.as_bytes()).unwrap();
            }
            [engine, "says", number, word, fields, ..] => self.says(engine, number, word, fields, &rest(5)),
            [engine, "is", "reached", "anew"] => {
                let engine = &self.engines[engine];
                let latest = engine.latest.as_ref().unwrap().peer_addr().unwrap();
                assert!(engine.before.is_some_and(|before| before != latest));
            }
            [engine, "is", "reached", "by", count] => {
                let links = self.engines[engine].asked.values().map(|link| link.peer_addr().unwrap());
                assert_eq!(links.collect::<std::collections::HashSet<_>>().len().to_string(), count);
            }
            [engine, "listens"] => {
                *self.engines[engine].listens.0.lock().unwrap() = true;
                self.engines[engine].listens.1.notify_all();
            }
            [engine, "closes"] => {
                let latest = self.engines.get_mut(engine).unwrap().latest.take().unwrap();
                latest.shutdown(std::net::Shutdown::Both).unwrap();
            }
            _ => panic!("a line that means nothing"),
        }
    }
}

static FILES: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);

impl Drop for Play {
    fn drop(&mut self) {
        if let Some(mut front) = self.front.take() {
            let _ = front.kill();
            let _ = front.wait();
        }
        for path in &self.files {
            let _ = std::fs::remove_file(path);
        }
    }
}

fn usual_settings() -> Value {
    json!({"instances": 1, "areas": ["here"], "kinds": ["std"], "discovery": "automatic",
        "customers": [{"name": "acme", "allowancePerS": 10000.0}],
        "bounds": {"cancelling": true, "dialTimeoutMs": 250.0, "keepaliveMs": 15000.0, "mostHeld": 100,
                   "mostTries": 3, "probes": true, "retryAfter": true, "streamsPerConn": 32},
        "extra": {"sizeCores": [8], "memoryByKindMb": [16384.0], "parallelism": [1, 1, 1],
                  "takesPriority": true, "grantsCount": true, "tellsEveryMs": 1000.0},
        "report": {"names": ["active", "cpu"], "source": "inline"},
        "requestClasses": [
            {"name": "lookup", "aimMs": 10000.0, "deadlineMs": 15000.0, "repeat": "repeatable", "worth": 1.0},
            {"name": "load", "aimMs": 10000.0, "deadlineMs": 20000.0, "repeat": "by_key", "group": "all",
             "dedupWindowMs": 12000.0, "inTurn": true, "worth": 12.0},
            {"name": "pay", "aimMs": 10000.0, "deadlineMs": 20000.0, "repeat": "once", "worth": 5.0}],
        "rules": {"coldFrom": 0.3, "drainGraceMs": 2000.0, "fallMs": 2000.0, "overloadFactor": 3.0,
                  "warmWithinMs": 14000.0}})
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut paths: Vec<_> = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    assert!(!paths.is_empty());
    for path in paths {
        println!("{}", path.display());
        let mut play = Play::default();
        play.settings = usual_settings();
        for (number, line) in std::fs::read_to_string(&path).unwrap().lines().enumerate() {
            if !line.is_empty() && !line.starts_with('#') {
                println!("{}: {line}", number + 1);
                play.line(line);
            }
        }
    }
}
