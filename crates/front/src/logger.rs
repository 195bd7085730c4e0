//! A logger of a few lines: each record is one line on standard error, with the time and the front's name.

use std::io::Write;
use std::time::{Duration, SystemTime};

use hallmux_config::OneLine;
use log::{LevelFilter, Log, Metadata, Record};

struct Logger {
    name: String,
}

/// Sends all records up to a level to standard error from now on.
pub fn start(name: &str, level: LevelFilter) {
    let logger = Box::new(Logger {
        name: name.to_string(),
    });
    if log::set_boxed_logger(logger).is_ok() {
        log::set_max_level(level);
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // The SQL library tells each word of a statement: those are its client's alone.
        metadata.level() <= log::max_level() && !metadata.target().starts_with("sqlparser")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        // A log that nobody takes is no reason to stop.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{}",
            line(since_epoch, &self.name, record)
        );
    }

    fn flush(&self) {}
}

/// A record as one line. Records quote what clients, engines and files said: none of them may write a record of
/// its own.
fn line(since_epoch: Duration, name: &str, record: &Record) -> String {
    let (seconds, milliseconds) = (since_epoch.as_secs(), since_epoch.subsec_millis());
    let level = record.level().as_str().to_ascii_lowercase();
    format!(
        "{seconds}.{milliseconds:03} {} {level}: {}",
        OneLine(name),
        OneLine(record.args())
    )
}

#[cfg(test)]
#[path = "logger_tests.rs"]
mod tests;
