//! Fault injection for time: a clock that is read from a file, which a test harness advances. The result of a test then
//! does not depend on the machine's load: no time passes while the front's peers are slow.
//!
//! The file holds four little-endian numbers of 8 bytes: the harness's time (Unix microseconds), the number of its
//! queries whether the front is idle, the front's next due time, and the number of the last query that the front has
//! answered.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;

use hallmux_dispatcher::Micros;

/// The interval between reads of the file, in the machine's time.
const POLL_INTERVAL: Duration = Duration::from_micros(500);
/// Size of a number in bytes.
const NUMBER_SIZE: u64 = 8;

// Offsets of the numbers in the file, in bytes.
const TIME_OFFSET: u64 = 0;
const QUERY_OFFSET: u64 = NUMBER_SIZE;
const DUE_OFFSET: u64 = 2 * NUMBER_SIZE;
const ANSWER_OFFSET: u64 = 3 * NUMBER_SIZE;

/// A clock that a test advances through a file.
pub struct TestClock {
    file: File,
    time: Micros,
    /// The number of the last query that was read before the front read its connections.
    query: i64,
}

impl TestClock {
    /// Opens the file that `HALLMUX_CLOCK` names. An error names the variable.
    pub fn open(path: &Path) -> std::io::Result<TestClock> {
        let with_variable =
            |e: std::io::Error| std::io::Error::new(e.kind(), format!("HALLMUX_CLOCK: {e}"));
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(path)
            .map_err(with_variable)?;
        let mut clock = TestClock {
            file,
            time: 0,
            query: 0,
        };
        clock.time = clock.read_number(TIME_OFFSET).map_err(with_variable)?;
        Ok(clock)
    }

    fn read_number(&self, offset: u64) -> std::io::Result<i64> {
        let mut bytes = [0; NUMBER_SIZE as usize];
        self.file.read_exact_at(&mut bytes, offset)?;
        Ok(i64::from_le_bytes(bytes))
    }

    /// The harness's time in Unix microseconds; the last known time if the file can't be read.
    pub fn now(&mut self) -> Micros {
        self.time = self.read_number(TIME_OFFSET).unwrap_or(self.time);
        self.time
    }

    /// Answers the last query before the front sleeps until `due`, as it has handled all input since its last sleep.
    /// Returns how long to sleep in the machine's time.
    pub fn prepare_sleep(&mut self, due: Micros) -> Duration {
        // The due time is written first, so that a harness that sees the answer also sees its due time.
        let written = self.file.write_all_at(&due.to_le_bytes(), DUE_OFFSET);
        let written = written.and_then(|()| {
            self.file
                .write_all_at(&self.query.to_le_bytes(), ANSWER_OFFSET)
        });
        match written.and_then(|()| self.read_number(QUERY_OFFSET)) {
            Ok(query) => self.query = query,
            Err(e) => log::error!("HALLMUX_CLOCK: {e}; the test clock's file is not updated"),
        }
        POLL_INTERVAL
    }
}
