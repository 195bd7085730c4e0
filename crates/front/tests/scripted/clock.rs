//! The clock of the scenarios: the front reads the time from a file (`crates/front/src/test_clock.rs`).

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::process::Child;
use std::time::{Duration, Instant};

use crate::WAIT_TIMEOUT;

const START_US: i64 = 1_800_000_000_000_000; // Unix microseconds
const MIN_STEP_US: i64 = 1_000; // microseconds; advances the clock even if the front has more to do at once

pub struct Clock {
    file: File,
    time: i64,
    queries: i64,
}

impl Clock {
    pub fn new(path: &Path) -> Clock {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(path)
            .unwrap();
        let clock = Clock {
            file,
            time: START_US,
            queries: 0,
        };
        [clock.time, clock.queries, i64::MAX, 0]
            .iter()
            .zip(0..)
            .for_each(|(n, at)| clock.write(at, *n));
        clock
    }

    fn write(&self, at: u64, number: i64) {
        self.file
            .write_all_at(&number.to_le_bytes(), at * 8)
            .unwrap();
    }

    fn read(&self, at: u64) -> i64 {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, at * 8).unwrap();
        i64::from_le_bytes(bytes)
    }

    /// Waits until the front has done everything it can at this time; returns when it next has something to
    /// do, or `i64::MAX` if it has exited.
    fn wait_until_idle(&mut self, front: &mut Option<Child>) -> i64 {
        self.queries += 1;
        self.write(1, self.queries);
        let started = Instant::now();
        while self.read(3) < self.queries {
            if front
                .as_mut()
                .is_some_and(|front| front.try_wait().unwrap().is_some())
            {
                return i64::MAX;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the front did not become idle in time"
            );
            std::thread::sleep(Duration::from_micros(200));
        }
        self.read(2)
    }

    /// Advances the clock step by step to each time at which the front has something to do, so that it is
    /// never late. Returns the number of steps.
    pub fn advance(&mut self, ms: i64, front: &mut Option<Child>) -> usize {
        let (end, mut iterations) = (self.time + ms * 1000, 0);
        while self.time < end {
            let next_due = self.wait_until_idle(front);
            self.time = next_due.max(self.time + MIN_STEP_US).min(end);
            self.write(0, self.time);
            iterations += 1;
        }
        self.wait_until_idle(front);
        iterations
    }

    /// Waits until the front has read its input and done everything it can at this time.
    pub fn settle(&mut self, front: &mut Option<Child>) {
        self.wait_until_idle(front);
    }

    /// The time in Unix microseconds.
    pub fn now(&self) -> i64 {
        self.time
    }

    /// Advances the clock at once, as it appears to a process that was stalled.
    pub fn jump(&mut self, ms: i64) {
        self.time += ms * 1000;
        self.write(0, self.time);
    }
}
