//! Errors of the system that pass: it has no descriptor, buffer or memory for now.

use std::io::{Error, ErrorKind, Result};
use std::time::{Duration, Instant};

// Numbers of Linux that the standard library has no kinds for.
/// ENOMEM.
const OUT_OF_MEMORY: i32 = 12;
/// ENFILE.
const SYSTEM_DESCRIPTORS: i32 = 23;
/// EMFILE.
const PROCESS_DESCRIPTORS: i32 = 24;
/// ENOBUFS.
const NO_BUFFERS: i32 = 105;

/// A start has ten; what lasts longer is for an operator to see.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Whether the system had no descriptor, buffer or memory for the call.
pub fn is_shortage(error: &Error) -> bool {
    let shortages = [
        OUT_OF_MEMORY,
        SYSTEM_DESCRIPTORS,
        PROCESS_DESCRIPTORS,
        NO_BUFFERS,
    ];
    error
        .raw_os_error()
        .is_some_and(|number| shortages.contains(&number))
}

/// Whether the same call may succeed a moment later.
fn is_transient(error: &Error) -> bool {
    is_shortage(error) || error.kind() == ErrorKind::Interrupted
}

/// Repeats a call of the front's start while its errors may pass, some seconds at most: it blocks.
pub fn retry<T>(call: impl FnMut() -> Result<T>) -> Result<T> {
    retry_for(RETRY_TIMEOUT, call)
}

fn retry_for<T>(timeout: Duration, mut call: impl FnMut() -> Result<T>) -> Result<T> {
    let started = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && started.elapsed() < timeout => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

#[cfg(test)]
#[path = "transient_tests.rs"]
mod tests;
