//! A clock for drills: a file holds the time, and whoever plays against the front moves it. A test's verdict
//! then depends on no machine's load: however slow its peers are, not a microsecond passes meanwhile.
//!
//! The file is four numbers of 8 bytes, the low one first: the player's time (Unix microseconds) and how often
//! it has asked, the front's next due time and the last question whose answer that is.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;

use hallmux_dispatcher::Micros;

const LOOK: Duration = Duration::from_micros(500); // between looks at the file, in the machine's time
const SIZE: u64 = 8; // bytes of a number
const TIME: u64 = 0;
const ASKED: u64 = SIZE;
const DUE: u64 = 2 * SIZE;
const TOLD: u64 = 3 * SIZE;

pub struct Drill {
    file: File,
    time: Micros,
    /// The question that was there before the front looked at its connections.
    asked: i64,
}

impl Drill {
    pub fn open(path: &Path) -> std::io::Result<Drill> {
        let why = |e: std::io::Error| std::io::Error::new(e.kind(), format!("HALLMUX_CLOCK: {e}"));
        let file = OpenOptions::new().read(true).write(true).open(path).map_err(why)?;
        let mut drill = Drill { file, time: 0, asked: 0 };
        drill.time = drill.number(TIME).map_err(why)?;
        Ok(drill)
    }

    fn number(&self, at: u64) -> std::io::Result<i64> {
        let mut bytes = [0; SIZE as usize];
        self.file.read_exact_at(&mut bytes, at)?;
        Ok(i64::from_le_bytes(bytes))
    }

    /// The player's time; where the file can't be read, the last one.
    pub fn now(&mut self) -> Micros {
        self.time = self.number(TIME).unwrap_or(self.time);
        self.time
    }

    /// The front goes to sleep, all done that it could read since it last did: tells until when.
    pub fn sleeps(&mut self, due: Micros) -> Duration {
        // The time first: whoever sees the answer to a question sees what it was.
        let told = self.file.write_all_at(&due.to_le_bytes(), DUE);
        let told = told.and_then(|()| self.file.write_all_at(&self.asked.to_le_bytes(), TOLD));
        match told.and_then(|()| self.number(ASKED)) {
            Ok(asked) => self.asked = asked,
            Err(e) => log::error!("the drill's clock: {e}"),
        }
        LOOK
    }
}
