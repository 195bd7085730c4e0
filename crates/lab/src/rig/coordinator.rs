//! A stand-in for the coordinator that serves endpoint lists to fronts.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde_json::{json, Value};

type Events = Arc<(Mutex<Vec<Value>>, Condvar)>;

/// Serves a growing list of endpoint updates over the coordinator's long-poll protocol.
pub struct Coordinator {
    pub address: SocketAddr,
    events: Events,
}

impl Coordinator {
    /// Starts a coordinator with an empty list on a free local port.
    pub fn start() -> std::io::Result<Coordinator> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let events = Events::default();
        let shared_events = events.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let events = shared_events.clone();
                std::thread::spawn(move || _ = answer(stream, &events));
            }
        });
        Ok(Coordinator {
            address: at,
            events,
        })
    }

    /// Publishes engines (id, address, kind, state), all in the zone `here`; with `is_full_list` they
    /// replace all earlier ones.
    pub fn announce(&self, is_full_list: bool, engines: &[(String, SocketAddr, &str, &str)]) {
        let zoned: Vec<_> = engines
            .iter()
            .map(|(id, at, kind, state)| (id.clone(), *at, *kind, *state, "here"))
            .collect();
        self.announce_with_zones(is_full_list, &zoned);
    }

    /// Publishes engines (id, address, kind, state, zone); with `is_full_list`
    /// they replace all earlier ones.
    pub fn announce_with_zones(
        &self,
        is_full_list: bool,
        engines: &[(String, SocketAddr, &str, &str, &str)],
    ) {
        self.publish(is_full_list, engines, 0.0);
    }

    /// Publishes engines as restarted at `wall_ms`, in milliseconds of Unix time.
    pub fn announce_restarts(
        &self,
        engines: &[(String, SocketAddr, &str, &str, &str)],
        wall_ms: f64,
    ) {
        self.publish(false, engines, wall_ms);
    }

    fn publish(
        &self,
        is_full_list: bool,
        engines: &[(String, SocketAddr, &str, &str, &str)],
        started_ms: f64,
    ) {
        let Ok(mut events) = self.events.0.lock() else {
            return;
        };
        let entry = |(id, at, kind, state, zone): &(String, SocketAddr, &str, &str, &str)| json!({"id": id, "addr": at.to_string(), "zone": zone, "kind": kind, "cell": 0, "state": state, "started_ms": started_ms});
        let servers: Vec<Value> = engines.iter().map(entry).collect();
        let index = events.len() + 1;
        events
            .push(json!({"index": index, "endpoints": {"full": is_full_list, "servers": servers}}));
        self.events.1.notify_all();
    }

    /// All updates so far, as the front's configuration expects them.
    pub(super) fn snapshot(&self) -> Value {
        let events = self.events.0.lock().map(|e| e.clone()).unwrap_or_default();
        json!({"index": events.len(), "updates": events})
    }
}

fn answer(stream: TcpStream, shared: &Events) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    loop {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let mut line = String::new();
        while reader.read_line(&mut line)? > 2 {
            line.clear();
        }
        let query_number = |name: &str| {
            let rest = first.split(name).nth(1).unwrap_or_default();
            let end = rest
                .find(|c: char| !c.is_ascii_digit())
                .unwrap_or(rest.len());
            rest[..end].parse::<usize>().unwrap_or(0)
        };
        let (follow, wait) = (query_number("follow="), query_number("wait_ms="));
        let Ok(events) = shared.0.lock() else {
            return Ok(());
        };
        let wait = Duration::from_millis(wait as u64);
        let Ok((events, _)) = shared
            .1
            .wait_timeout_while(events, wait, |e| e.len() <= follow)
        else {
            return Ok(());
        };
        let body =
            json!({"index": events.len(), "updates": events.get(follow..).unwrap_or_default()})
                .to_string();
        drop(events);
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
}
