//! A site's engine that speaks the part of PostgreSQL that these tests need, and a client session.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use hallmux_postgres::wire;

use super::site::SiteState;
use super::WAIT_TIMEOUT;

/// Reads one message: its type byte and its body.
fn message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let len = u32::from_be_bytes(head[1..].try_into().ok()?) as usize;
    let mut body = vec![0; len - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// Accepts sessions for a site's rows. Rows written in a transaction become visible at its COMMIT.
pub fn serve(state: std::sync::Arc<std::sync::Mutex<SiteState>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let state = state.clone();
            std::thread::spawn(move || session(stream, &state));
        }
    });
    at
}

fn session(mut stream: TcpStream, state: &std::sync::Mutex<SiteState>) -> Option<()> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).ok()?;
    stream
        .read_exact(&mut vec![0; u32::from_be_bytes(len) as usize - 4])
        .ok()?;
    let mut out = Vec::new();
    wire::write(&mut out, b'R', |out| out.extend_from_slice(&[0; 4]));
    wire::write_backend_key(
        &mut out,
        wire::CancelKey {
            process: 1,
            secret: 1,
        },
    );
    wire::write_ready(&mut out, b'I');
    stream.write_all(&out).ok()?;
    let (mut open, mut pending) = (false, Vec::new());
    loop {
        let (tag, body) = message(&mut stream)?;
        if tag != b'Q' {
            return None;
        }
        let text = String::from_utf8(body[..body.len() - 1].to_vec()).ok()?;
        let mut out = Vec::new();
        for statement in text.split(';') {
            match statement.trim().to_ascii_lowercase().as_str() {
                "begin" => open = true,
                "commit" => {
                    open = false;
                    state.lock().unwrap().load("", std::mem::take(&mut pending));
                }
                other => {
                    let values = other
                        .split_once("values (")
                        .map_or("", |(_, values)| values);
                    let row: Option<i64> = values
                        .split([',', ')'])
                        .next()
                        .and_then(|id| id.trim().parse().ok());
                    pending.extend(row);
                    if !open {
                        state
                            .lock()
                            .unwrap()
                            .load(&text, std::mem::take(&mut pending));
                    }
                }
            }
            wire::write_complete(&mut out, "INSERT 0 1");
        }
        wire::write_ready(&mut out, if open { b'T' } else { b'I' });
        stream.write_all(&out).ok()?;
    }
}

/// A client's PostgreSQL session.
pub struct Client(TcpStream);

impl Client {
    pub fn new(at: SocketAddr) -> Client {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut out = Vec::new();
        wire::write_startup(&mut out, &[("user", "loader"), ("database", "d")]);
        stream.write_all(&out).unwrap();
        let mut client = Client(stream);
        client.until_ready();
        client
    }

    /// Reads messages up to the next ReadyForQuery; returns their type bytes.
    fn until_ready(&mut self) -> String {
        let mut kinds = String::new();
        loop {
            let (tag, _) = message(&mut self.0).unwrap();
            kinds.push(char::from(tag));
            if tag == b'Z' {
                return kinds;
            }
        }
    }

    /// Sends a simple query; false if it is answered with an error.
    pub fn query(&mut self, text: &str) -> bool {
        let mut out = Vec::new();
        wire::write_query(&mut out, text.as_bytes());
        self.0.write_all(&out).unwrap();
        !self.until_ready().contains('E')
    }

    /// Parses a text, flushes, and parses a second one in the same unit. False if either is answered with an
    /// error.
    pub fn query_in_two_parses(&mut self, first: &str, second: &str) -> bool {
        let parse = |text: &str, then: &[u8]| {
            let mut out = Vec::new();
            wire::write(&mut out, b'P', |out| {
                wire::write_string(out, b"");
                wire::write_string(out, text.as_bytes());
                out.extend_from_slice(&[0; 2]);
            });
            out.extend_from_slice(then);
            out
        };
        self.0.write_all(&parse(first, wire::FLUSH)).unwrap();
        std::thread::sleep(Duration::from_millis(20));
        self.0.write_all(&parse(second, wire::SYNC)).unwrap();
        !self.until_ready().contains('E')
    }
}
