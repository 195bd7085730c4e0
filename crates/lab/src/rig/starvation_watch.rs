//! Samples how long fronts and the rig itself waited for a CPU, as accounted by the kernel. Time
//! taken by a busy machine is not a fault of the front; a front that is slow by its own work has no
//! such waits.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::member::Member;
use crate::engine::Records;
use crate::record::starved::{Starved, StarvedSpan};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20); // time between samples
/// Microseconds that a thread has waited for a CPU, from the kernel's schedstat; `None` if the
/// kernel keeps none.
fn cpu_wait_us(thread: &str) -> Option<i64> {
    let text = std::fs::read_to_string(format!("/proc/{thread}/schedstat")).ok()?;
    Some(text.split_whitespace().nth(1)?.parse::<i64>().ok()? / 1_000)
}

/// Microseconds that the calling thread has waited for a CPU; 0 if the kernel keeps no account.
pub fn thread_cpu_wait() -> i64 {
    cpu_wait_us("thread-self").unwrap_or(0)
}

/// Samples CPU waits in a thread until `end` is called.
pub struct StarvationWatch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Starved>,
}

impl StarvationWatch {
    pub(super) fn start(members: &[Arc<Member>], records: &Arc<Records>) -> StarvationWatch {
        let stop = Arc::new(AtomicBool::new(false));
        let (members, records, stopped) = (members.to_vec(), records.clone(), stop.clone());
        StarvationWatch {
            stop,
            thread: std::thread::spawn(move || sample_waits(&members, &records, &stopped)),
        }
    }

    /// Stops sampling and returns the recorded waits.
    pub fn end(self) -> Starved {
        self.stop.store(true, SeqCst);
        self.thread.join().unwrap_or_default()
    }
}

fn sample_waits(members: &[Arc<Member>], records: &Records, stop: &AtomicBool) -> Starved {
    let (mut seen, mut last) = (Starved::default(), vec![(0, 0); members.len()]);
    let mut before = records.now();
    while !stop.load(SeqCst) {
        let began = Instant::now();
        std::thread::sleep(SAMPLE_INTERVAL);
        let late = began.elapsed().saturating_sub(SAMPLE_INTERVAL).as_micros() as i64;
        let now = records.now();
        if late > SAMPLE_INTERVAL.as_micros() as i64 {
            seen.push(StarvedSpan {
                front: None,
                from: before,
                to: now,
                waited: late,
            });
        }
        for (front, member) in members.iter().enumerate() {
            let pid = member
                .front
                .lock()
                .ok()
                .and_then(|front| front.as_ref().map(|f| f.pid()));
            let Some((pid, all)) = pid.and_then(|pid| Some((pid, cpu_wait_us(&pid.to_string())?)))
            else {
                continue;
            };
            // A new process has no earlier sample; its waits during startup are not counted.
            let since = if last[front].0 == pid {
                last[front].1
            } else {
                all
            };
            last[front] = (pid, all);
            if all > since {
                seen.push(StarvedSpan {
                    front: Some(front),
                    from: before,
                    to: now,
                    waited: all - since,
                });
            }
        }
        before = now;
    }
    seen
}

#[cfg(test)]
#[path = "starvation_watch_tests.rs"]
mod tests;
