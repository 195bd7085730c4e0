//! Unit tests of the `front` module.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Instant;

use calloop::EventLoop;
use serde_json::json;

use super::*;
use crate::clients::tests::frame;

const PATIENCE: Duration = Duration::from_secs(20);
const START: Micros = 1_800_000_000_000_000; // Unix microseconds
const LATER: Micros = START + 700_000; // the end was asked for at the start, and the listener is due to close
const BEFORE: usize = 3; // iterations after that in which it is still open

/// A front that no loop drives, with a clock that the test moves.
struct Driven {
    front: Front,
    events: EventLoop<'static, LoopEvents>,
    listens: SocketAddr,
    sessions: SocketAddr,
    files: [PathBuf; 2],
}

impl Drop for Driven {
    fn drop(&mut self) {
        self.files.iter().for_each(|path| _ = std::fs::remove_file(path));
    }
}

impl Driven {
    fn new(name: &str) -> Driven {
        let file =
            |kind: &str| std::env::temp_dir().join(format!("hallmux-{name}-{}.{kind}", std::process::id()));
        let files = [file("clock"), file("json5")];
        // A port that is free: it is let go of just before the front takes it.
        let sessions = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let operator = format!(
            "{{ postgres: {{ listen: '{sessions}', engines: [{{ kinds: ['std'] }}], users: {{ portal: {{ trust: true, \
             member: 'acme', workload: 'lookup' }} }} }} }}"
        );
        std::fs::write(&files[1], operator).unwrap();
        let variables = [("HALLMUX_CLOCK", &files[0]), ("HALLMUX_OPERATOR", &files[1])];
        let variables: HashMap<String, String> =
            variables.iter().map(|(name, path)| (name.to_string(), path.display().to_string())).collect();
        let text = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "1", "settings": {
            "instances": 1, "areas": ["here"], "kinds": ["std"], "customers": [{"name": "acme"}], "rules": {},
            "requestClasses": [{"name": "lookup", "aimMs": 2000, "deadlineMs": 8000, "repeat": "repeatable"}]}});
        write_clock(&files[0], START);
        let config = NodeConfig::parse(&variables, &text.to_string()).unwrap();
        let known = hallmux_codec::coordinator::events(config.known_events.as_bytes()).unwrap();
        let events = EventLoop::try_new().unwrap();
        let listener = TcpListener::bind(config.listen).unwrap();
        let listens = listener.local_addr().unwrap();
        let front = Front::new(&config, &known, listener, events.handle()).unwrap();
        Driven { front, events, listens, sessions, files }
    }

    /// Up to the iteration in which it closes its listeners.
    fn is_about_to_close(&mut self) {
        self.front.shut_down();
        write_clock(&self.files[0], LATER);
        (0..BEFORE).for_each(|_| self.front.iterate());
        assert!(self.front.listener.is_open());
    }

    /// Goes on as `run` does, until a peer has something to read: the first bytes of that, none at its end.
    fn hears(&mut self, peer: &mut TcpStream) -> Vec<u8> {
        peer.set_nonblocking(true).unwrap();
        let (begun, mut changes, mut heard) = (Instant::now(), LoopEvents::default(), vec![0; 1024]);
        loop {
            match peer.read(&mut heard) {
                Ok(len) => return heard[..len].to_vec(),
                Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::WouldBlock, "{e}"),
            }
            assert!(begun.elapsed() < PATIENCE, "an answer");
            self.events.dispatch(Duration::ZERO, &mut changes).unwrap();
            changes.ready.drain(..).for_each(|socket| self.front.ready(socket));
            self.front.iterate();
        }
    }
}

fn write_clock(path: &PathBuf, time: Micros) {
    std::fs::write(path, [time, 0, 0, 0].map(i64::to_le_bytes).concat()).unwrap();
}

#[test]
fn who_connects_right_before_the_listener_closes_is_answered() {
    let mut driven = Driven::new("last-client");
    driven.is_about_to_close();
    // The loop has not told of it: it is in the listener's queue alone.
    let mut client = TcpStream::connect(driven.listens).unwrap();
    client.write_all(&frame(7, "select 7")).unwrap();
    driven.front.iterate();
    assert!(!driven.front.listener.is_open());
    let heard = driven.hears(&mut client);
    // A reply to number 7, whose second field is there: rejected.
    let reply = [&[0x80, 1, 0, 2, 0, 0, 0, 5][..], b"serve", &[0, 0, 0, 7, 12, 0, 1]].concat();
    assert!(heard.len() > 4 && heard[4..].starts_with(&reply), "{heard:?}");
    // And the end, in order.
    assert!(driven.hears(&mut client).is_empty());
}

#[test]
fn a_session_that_connects_right_before_the_listener_closes_is_told_of_the_end() {
    let mut driven = Driven::new("last-session");
    driven.is_about_to_close();
    let mut session = TcpStream::connect(driven.sessions).unwrap();
    driven.front.iterate();
    let heard = driven.hears(&mut session);
    assert!(heard.starts_with(b"E") && heard.windows(5).any(|code| code == b"57P01"), "{heard:?}");
    assert!(driven.hears(&mut session).is_empty());
}
