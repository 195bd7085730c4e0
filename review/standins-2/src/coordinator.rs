//! A stand-in for the coordinator: long polls over HTTP/1.1, as the protocol page says. It can be
//! slow: then every answer leaves some time after it is due.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net;
use crate::record::{sleep_ms, Record};

#[derive(Clone)]
pub struct Coordinator {
    pub address: String,
    events: Arc<(Mutex<Vec<String>>, Condvar)>,
    record: Record,
    slow_ms: f64,
}

impl Coordinator {
    /// Event 1 is the whole list at the start.
    pub fn start(record: &Record, slow_ms: f64, first: &str) -> std::io::Result<Coordinator> {
        let listener = net::listener()?;
        let coordinator = Coordinator {
            address: listener.local_addr()?.to_string(),
            events: Arc::new((Mutex::new(vec![first.to_string()]), Condvar::new())),
            record: record.clone(),
            slow_ms,
        };
        let served = coordinator.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        Ok(coordinator)
    }

    /// Adds an event; `endpoints` is its content. Returns when it was there to be told.
    pub fn tell(&self, endpoints: &str) -> f64 {
        let (events, told) = &*self.events;
        events
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(endpoints.to_string());
        told.notify_all();
        self.record
            .line(&format!("coordinator: has the event {endpoints}"))
    }

    /// What a front's configuration holds under `known`.
    pub fn known(&self) -> String {
        self.after(0)
    }

    fn after(&self, follow: usize) -> String {
        let events = self.events.0.lock().unwrap_or_else(|e| e.into_inner());
        let updates: Vec<String> = events
            .iter()
            .enumerate()
            .skip(follow)
            .map(|(at, endpoints)| format!(r#"{{"index":{},"endpoints":{endpoints}}}"#, at + 1))
            .collect();
        format!(
            r#"{{"index":{},"updates":[{}]}}"#,
            events.len(),
            updates.join(",")
        )
    }

    fn wait_for(&self, follow: usize, wait: Duration) {
        let (events, told) = &*self.events;
        let until = Instant::now() + wait;
        let mut held = events.lock().unwrap_or_else(|e| e.into_inner());
        while held.len() <= follow {
            let Some(left) = until.checked_duration_since(Instant::now()) else {
                return;
            };
            held = told
                .wait_timeout(held, left)
                .unwrap_or_else(|e| e.into_inner())
                .0;
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let (mut input, mut output) = (BufReader::new(reading), stream);
        loop {
            let mut request = String::new();
            loop {
                let before = request.len();
                match input.read_line(&mut request) {
                    Ok(0) | Err(_) => return,
                    Ok(_) if request[before..].trim().is_empty() => break,
                    Ok(_) => {}
                }
            }
            let number = |name: &str| {
                request
                    .split(['?', '&', ' '])
                    .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
                    .and_then(|text| text.parse::<u64>().ok())
                    .unwrap_or(0)
            };
            let (follow, wait_ms) = (number("follow"), number("wait_ms").min(5_000));
            self.record.line(&format!(
                "coordinator: asked for what follows {follow}, wait {wait_ms} ms"
            ));
            self.wait_for(follow as usize, Duration::from_millis(wait_ms));
            sleep_ms(self.slow_ms);
            let body = self.after(follow as usize);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let sent = output.write_all(answer.as_bytes());
            self.record.line(&format!(
                "coordinator: answers what follows {follow}: {}",
                if sent.is_ok() {
                    &body
                } else {
                    "the front has gone"
                }
            ));
            if sent.is_err() {
                return;
            }
        }
    }
}

/// An entry of the engine list.
pub fn entry(id: &str, address: &str, kind: &str, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{address}","zone":"here","kind":"{kind}","cell":0,"state":"{state}","weight":1,"started_ms":0}}"#
    )
}

/// The content of an event.
pub fn list(version: usize, full: bool, entries: &[String]) -> String {
    format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        entries.join(",")
    )
}
