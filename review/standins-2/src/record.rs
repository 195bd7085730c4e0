//! The record of a case: one line for each thing that was sent, answered or run, with its time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Milliseconds since the case began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: &str) -> f64 {
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let at = self.now();
        let _ = writeln!(file, "{at:9.1} ms  {text}");
        at
    }
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        std::thread::sleep(std::time::Duration::from_secs_f64(ms / 1000.0));
    }
}
