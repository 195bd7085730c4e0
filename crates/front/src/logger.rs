//! A minimal logger: writes each record as one line to standard error, with the time and the front's name.

use std::io::Write;
use std::time::{Duration, SystemTime};

use hallmux_config::OneLine;
use log::{LevelFilter, Log, Metadata, Record};

struct Logger {
    name: String,
}

/// Installs the logger, which writes all records up to a level. Does nothing if a logger is installed already.
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
        // The SQL library logs the tokens of statements, which are confidential.
        metadata.level() <= log::max_level() && !metadata.target().starts_with("sqlparser")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        // A failure to write the log must not stop the front.
        let _ = writeln!(
            std::io::stderr().lock(),
            "{}",
            line(since_epoch, &self.name, record)
        );
    }

    fn flush(&self) {}
}

/// Formats a record as one line. Records quote text of clients, engines and files, which must not be able to forge a
/// record.
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
