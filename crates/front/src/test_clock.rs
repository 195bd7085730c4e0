//! Fault injection for time: a clock that is read from a file, which a test harness moves. A test's verdict then
//! does not depend on the machine's load: however slow the front's peers are, no time passes meanwhile.
//!
//! The file is four numbers of 8 bytes, little-endian: the harness's time (Unix microseconds) and how often it has
//! asked whether the front is idle, the front's next due time, and the last of these questions that it answers.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;

use hallmux_dispatcher::Micros;

/// Between reads of the file, in the machine's time.
const POLL_INTERVAL: Duration = Duration::from_micros(500);
/// Bytes of a number.
const NUMBER_SIZE: u64 = 8;

// Offsets in bytes.
const TIME_OFFSET: u64 = 0;
const QUERY_OFFSET: u64 = NUMBER_SIZE;
const DUE_OFFSET: u64 = 2 * NUMBER_SIZE;
const ANSWER_OFFSET: u64 = 3 * NUMBER_SIZE;

/// A clock that a test moves through a file.
pub struct TestClock {
    file: File,
    time: Micros,
    /// The question that was there before the front looked at its connections.
    query: i64,
}

impl TestClock {
    /// Opens the file that `HALLMUX_CLOCK` names; an error names the variable.
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

    /// The harness's time, Unix microseconds; where the file can't be read, the last one.
    pub fn now(&mut self) -> Micros {
        self.time = self.read_number(TIME_OFFSET).unwrap_or(self.time);
        self.time
    }

    /// The front goes to sleep until `due`, having done all that it could read since it last did: answers the
    /// question that was asked before. Returns how long to sleep in the machine's time.
    pub fn prepare_sleep(&mut self, due: Micros) -> Duration {
        // The time first: whoever sees the answer to a question sees what it was.
        let written = self.file.write_all_at(&due.to_le_bytes(), DUE_OFFSET);
        let written = written.and_then(|()| {
            self.file
                .write_all_at(&self.query.to_le_bytes(), ANSWER_OFFSET)
        });
        match written.and_then(|()| self.read_number(QUERY_OFFSET)) {
            Ok(query) => self.query = query,
            Err(e) => log::error!("the drill's clock: {e}"),
        }
        POLL_INTERVAL
    }
}
