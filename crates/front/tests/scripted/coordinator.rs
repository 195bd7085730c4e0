//! The coordinator as the scenarios script it.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::Instant;

use serde_json::{json, Value};
use socket2::SockRef;

use crate::{Scenario, PATIENCE};

#[derive(Default)]
pub struct CoordinatorState {
    pub moves: usize,
    pub updates: Vec<Value>,
    pub answers: VecDeque<String>,
    pub answered: usize,
    /// Connections that there were, of them those that stay silent, and the last update that was sent.
    pub connections: usize,
    pub silent: usize,
    pub sent: usize,
    /// Where questions are taken, and the connections that are there.
    open: Vec<TcpStream>,
    listener: Option<TcpListener>,
}

impl CoordinatorState {
    /// The number of a new connection.
    fn joins(&mut self, stream: &TcpStream) -> usize {
        self.open.extend(stream.try_clone());
        self.connections += 1;
        self.connections
    }
}

impl Scenario {
    /// The coordinator: each question is answered once there is something later than what it names.
    pub fn serve_list(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        self.coordinator = Some(listener.local_addr().unwrap());
        let (state, (sender, questions)) = (self.coordinator_state.clone(), channel());
        self.questions = Some(questions);
        self.update_coordinator(|state| state.listener = listener.try_clone().ok());
        let moves = state.0.lock().unwrap().moves;
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (state, sender) = (state.clone(), sender.clone());
                let number = state.0.lock().unwrap().joins(&stream);
                std::thread::spawn(move || {
                    stream.set_nodelay(true).ok()?;
                    let mut input = BufReader::new(stream.try_clone().ok()?);
                    loop {
                        let mut line = String::new();
                        input.read_line(&mut line).ok().filter(|n| *n > 0)?;
                        let Some(at) = line.find("follow=") else {
                            continue;
                        };
                        let digits: String = line[at + 7..]
                            .chars()
                            .take_while(|c| c.is_ascii_digit())
                            .collect();
                        let follow: usize = digits.parse().ok()?;
                        sender.send(follow).ok()?;
                        let waits = |t: &mut CoordinatorState| {
                            t.updates.len() <= follow && t.answers.is_empty()
                        };
                        let guard = state.0.lock().unwrap();
                        let mut held = state.1.wait_while(guard, waits).unwrap();
                        while held.moves > moves || number <= held.silent {
                            held = state.1.wait(held).unwrap();
                        }
                        if let Some(answer) = held.answers.pop_front() {
                            (&stream).write_all(answer.as_bytes()).ok()?;
                            held.answered += 1;
                            state.1.notify_all();
                            continue;
                        }
                        let later = held.updates.get(follow..).unwrap_or_default();
                        let body =
                            json!({"index": held.updates.len(), "updates": later}).to_string();
                        let head =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        (&stream).write_all((head + &body).as_bytes()).ok()?;
                        held.sent = held.updates.len();
                        state.1.notify_all();
                    }
                    #[allow(unreachable_code)]
                    Some(())
                });
            }
        });
    }

    /// Waits for the next question, or for the one from the number given on: what came before is taken in.
    pub fn asked(&mut self, number: Option<usize>) {
        let questions = self.questions.as_ref().unwrap();
        let next = || questions.recv_timeout(PATIENCE).expect("a question");
        while number.is_some_and(|number| number != next()) {}
        if number.is_none() {
            next();
        }
    }

    /// Gives the next answer as it is, and waits until it has left.
    pub fn answers(&mut self, answer: String) {
        let before = self.coordinator_state.0.lock().unwrap().answered;
        self.update_coordinator(|state| state.answers.push_back(answer));
        let waits = |state: &mut CoordinatorState| state.answered == before;
        let guard = self.coordinator_state.0.lock().unwrap();
        let (held, wait) = self
            .coordinator_state
            .1
            .wait_timeout_while(guard, PATIENCE, waits)
            .unwrap();
        assert!(!wait.timed_out(), "no question for {:?}", held.answers);
    }

    /// Waits until the latest change has left.
    pub fn coordinator_has_sent(&mut self) {
        let waits = |state: &mut CoordinatorState| state.sent < state.updates.len();
        let (held, wait) = self
            .coordinator_state
            .1
            .wait_timeout_while(self.coordinator_state.0.lock().unwrap(), PATIENCE, waits)
            .unwrap();
        assert!(!wait.timed_out(), "no question after {}", held.sent);
    }

    /// Nobody listens any more where the coordinator was: its connections end, new ones are refused.
    pub fn coordinator_goes(&mut self) {
        self.update_coordinator(|state| {
            let listener = state.listener.take().unwrap();
            SockRef::from(&listener).shutdown(Shutdown::Both).unwrap();
            state
                .open
                .drain(..)
                .for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        });
        let (at, begun) = (self.coordinator.unwrap(), Instant::now());
        while TcpStream::connect(at).is_ok() {
            assert!(begun.elapsed() < PATIENCE, "a coordinator that goes");
        }
    }

    pub fn update_coordinator(&mut self, update: impl FnOnce(&mut CoordinatorState)) {
        update(&mut self.coordinator_state.0.lock().unwrap());
        self.coordinator_state.1.notify_all();
    }
}
