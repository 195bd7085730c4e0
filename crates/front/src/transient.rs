//! Transient system errors: the system is temporarily out of descriptors, buffers or memory.

use std::io::{Error, ErrorKind, Result};
use std::time::{Duration, Instant};

// Error numbers of Linux for which the standard library has no kinds.
/// ENOMEM: out of memory.
const OUT_OF_MEMORY: i32 = 12;
/// ENFILE: the system's descriptors are exhausted.
const SYSTEM_DESCRIPTORS: i32 = 23;
/// EMFILE: the process's descriptors are exhausted.
const PROCESS_DESCRIPTORS: i32 = 24;
/// ENOBUFS: no buffer space.
const NO_BUFFERS: i32 = 105;

/// Limit of the retries of one call. A front has 10 s to start; an error that lasts longer is reported to the operator.
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

/// Whether the same call may succeed shortly afterwards.
fn is_transient(error: &Error) -> bool {
    is_shortage(error) || error.kind() == ErrorKind::Interrupted
}

/// Repeats a call during the front's start while it fails with transient errors, for up to `RETRY_TIMEOUT`. Blocks the
/// thread.
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
