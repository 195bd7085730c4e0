//! How long fronts and the rig itself wanted a CPU and were not given one, by the kernel's own account: what a busy
//! machine takes is no fault of a front's. A front that is slow by its own work has no share in it.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::member::Member;
use crate::engine::Records;

const LOOK: Duration = Duration::from_millis(20); // between looks
const SPAN: i64 = 1_000_000; // microseconds of a span that is looked at as one
/// Microseconds without a CPU in a span that make fronts take each other for silent: less than an owner's election.
const MUCH: i64 = 200_000;

/// What was seen: who (a front, or the rig itself after the last), from when to when, and for how long of it.
#[derive(Clone, Debug, Default)]
pub struct Starved(Vec<(Option<usize>, (i64, i64), i64)>);

impl Starved {
    #[cfg(test)]
    pub fn of(front: usize, span: (i64, i64), waited: i64) -> Starved {
        Starved(vec![(Some(front), span, waited)])
    }

    #[cfg(test)]
    pub fn of_rig(span: (i64, i64), waited: i64) -> Starved {
        Starved(vec![(None, span, waited)])
    }

    fn waited(&self, who: Option<usize>, (from, to): (i64, i64)) -> i64 {
        let own = self
            .0
            .iter()
            .filter(|(own, (f, t), _)| *own == who && *f < to && from < *t);
        own.map(|(.., waited)| waited).sum()
    }

    /// Microseconds for which a front had no CPU in a span.
    pub fn front(&self, front: usize, span: (i64, i64)) -> i64 {
        self.waited(Some(front), span)
    }

    /// The same of the rig, which carries all words.
    pub fn rig(&self, span: (i64, i64)) -> i64 {
        self.waited(None, span)
    }

    /// Spans in which some front, or the rig, had none for so long that others could take it for silent.
    pub fn spans(&self) -> Vec<(i64, i64)> {
        let mut much = std::collections::BTreeMap::<(i64, Option<usize>), i64>::new();
        for (who, (_, to), waited) in &self.0 {
            *much.entry((to / SPAN, *who)).or_default() += waited;
        }
        much.retain(|_, waited| *waited >= MUCH);
        let mut spans: Vec<i64> = much.into_keys().map(|(span, _)| span).collect();
        spans.dedup();
        spans
            .into_iter()
            .map(|span| ((span - 1) * SPAN, (span + 1) * SPAN))
            .collect()
    }
}

/// Microseconds that a thread has waited for a CPU, by the kernel's account; none where it keeps none.
fn waited(thread: &str) -> Option<i64> {
    let text = std::fs::read_to_string(format!("/proc/{thread}/schedstat")).ok()?;
    Some(text.split_whitespace().nth(1)?.parse::<i64>().ok()? / 1_000)
}

/// The same of the thread that asks.
pub fn own_wait() -> i64 {
    waited("thread-self").unwrap_or(0)
}

/// Looks on until it is ended.
pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Starved>,
}

impl Watch {
    pub(super) fn start(members: &[Arc<Member>], records: &Arc<Records>) -> Watch {
        let stop = Arc::new(AtomicBool::new(false));
        let (members, records, over) = (members.to_vec(), records.clone(), stop.clone());
        Watch {
            stop,
            thread: std::thread::spawn(move || look(&members, &records, &over)),
        }
    }

    pub fn end(self) -> Starved {
        self.stop.store(true, SeqCst);
        self.thread.join().unwrap_or_default()
    }
}

fn look(members: &[Arc<Member>], records: &Records, over: &AtomicBool) -> Starved {
    let (mut seen, mut last) = (Starved::default(), vec![(0, 0); members.len()]);
    let mut before = records.now();
    while !over.load(SeqCst) {
        let began = Instant::now();
        std::thread::sleep(LOOK);
        let late = began.elapsed().saturating_sub(LOOK).as_micros() as i64;
        let now = records.now();
        if late > LOOK.as_micros() as i64 {
            seen.0.push((None, (before, now), late));
        }
        for (front, member) in members.iter().enumerate() {
            let pid = member
                .front
                .lock()
                .ok()
                .and_then(|front| front.as_ref().map(|f| f.pid()));
            let Some((pid, all)) = pid.and_then(|pid| Some((pid, waited(&pid.to_string())?)))
            else {
                continue;
            };
            // Of another process nothing was seen before, and its start is its own affair.
            let since = if last[front].0 == pid {
                last[front].1
            } else {
                all
            };
            last[front] = (pid, all);
            if all > since {
                seen.0.push((Some(front), (before, now), all - since));
            }
        }
        before = now;
    }
    seen
}

#[cfg(test)]
#[path = "starved_tests.rs"]
mod tests;
