//! The coordinator of the scenarios, which answers polls for the engine list.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::Instant;

use serde_json::{json, Value};
use socket2::SockRef;

use crate::{Scenario, WAIT_TIMEOUT};

#[derive(Default)]
pub struct CoordinatorState {
    pub moves: usize,
    pub updates: Vec<Value>,
    pub answers: VecDeque<String>,
    pub answered: usize,
    /// `connections` counts all connections so far; those numbered up to `silent` get no answers; `sent` is
    /// the last update that was sent.
    pub connections: usize,
    pub silent: usize,
    pub sent: usize,
    /// The open connections, and the listener for polls.
    open: Vec<TcpStream>,
    listener: Option<TcpListener>,
}

impl CoordinatorState {
    /// Registers a new connection and returns its number.
    fn add_connection(&mut self, stream: &TcpStream) -> usize {
        self.open.extend(stream.try_clone());
        self.connections += 1;
        self.connections
    }
}

impl Scenario {
    /// Starts a coordinator that answers each poll once there is an update after the one that the poll names.
    pub fn start_coordinator(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        self.coordinator = Some(listener.local_addr().unwrap());
        let (state, (sender, polls)) = (self.coordinator_state.clone(), channel());
        self.polls = Some(polls);
        self.update_coordinator(|state| state.listener = listener.try_clone().ok());
        let moves = state.0.lock().unwrap().moves;
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (state, sender) = (state.clone(), sender.clone());
                let number = state.0.lock().unwrap().add_connection(&stream);
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
                        let must_wait = |state: &mut CoordinatorState| {
                            state.updates.len() <= follow && state.answers.is_empty()
                        };
                        let guard = state.0.lock().unwrap();
                        let mut state_guard = state.1.wait_while(guard, must_wait).unwrap();
                        while state_guard.moves > moves || number <= state_guard.silent {
                            state_guard = state.1.wait(state_guard).unwrap();
                        }
                        if let Some(answer) = state_guard.answers.pop_front() {
                            (&stream).write_all(answer.as_bytes()).ok()?;
                            state_guard.answered += 1;
                            state.1.notify_all();
                            continue;
                        }
                        let later = state_guard.updates.get(follow..).unwrap_or_default();
                        let body = json!({"index": state_guard.updates.len(), "updates": later})
                            .to_string();
                        let head =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                        (&stream).write_all((head + &body).as_bytes()).ok()?;
                        state_guard.sent = state_guard.updates.len();
                        state.1.notify_all();
                    }
                    #[allow(unreachable_code)]
                    Some(())
                });
            }
        });
    }

    /// Waits for the next poll, or for the one that names the given update number; earlier polls are
    /// discarded.
    pub fn wait_for_poll(&mut self, number: Option<usize>) {
        let polls = self.polls.as_ref().unwrap();
        let next = || polls.recv_timeout(WAIT_TIMEOUT).expect("no poll in time");
        while number.is_some_and(|number| number != next()) {}
        if number.is_none() {
            next();
        }
    }

    /// Sends the next answer unchanged, and waits until it was sent.
    pub fn answer_poll(&mut self, answer: String) {
        let before = self.coordinator_state.0.lock().unwrap().answered;
        self.update_coordinator(|state| state.answers.push_back(answer));
        let must_wait = |state: &mut CoordinatorState| state.answered == before;
        let guard = self.coordinator_state.0.lock().unwrap();
        let (state_guard, wait) = self
            .coordinator_state
            .1
            .wait_timeout_while(guard, WAIT_TIMEOUT, must_wait)
            .unwrap();
        assert!(
            !wait.timed_out(),
            "no poll for the answers {:?}",
            state_guard.answers
        );
    }

    /// Waits until the latest update was sent.
    pub fn wait_until_list_sent(&mut self) {
        let must_wait = |state: &mut CoordinatorState| state.sent < state.updates.len();
        let (state_guard, wait) = self
            .coordinator_state
            .1
            .wait_timeout_while(
                self.coordinator_state.0.lock().unwrap(),
                WAIT_TIMEOUT,
                must_wait,
            )
            .unwrap();
        assert!(
            !wait.timed_out(),
            "no poll after update {}",
            state_guard.sent
        );
    }

    /// Closes the coordinator's listener and connections, so that new connections are refused.
    pub fn stop_coordinator(&mut self) {
        self.update_coordinator(|state| {
            let listener = state.listener.take().unwrap();
            SockRef::from(&listener).shutdown(Shutdown::Both).unwrap();
            state
                .open
                .drain(..)
                .for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        });
        let (address, started) = (self.coordinator.unwrap(), Instant::now());
        while TcpStream::connect(address).is_ok() {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the coordinator still accepts connections"
            );
        }
    }

    pub fn update_coordinator(&mut self, update: impl FnOnce(&mut CoordinatorState)) {
        update(&mut self.coordinator_state.0.lock().unwrap());
        self.coordinator_state.1.notify_all();
    }
}
