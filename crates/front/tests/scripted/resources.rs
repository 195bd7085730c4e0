//! What a front takes of the machine: descriptors, CPU time where it has nothing to do, time to start.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use crate::{Scenario, WAIT_TIMEOUT};

const OBSERVATION_TIME: Duration = Duration::from_secs(2); // of the machine's time
const IDLE_CPU_DIVISOR: u32 = 20; // a front that rests takes less than one part of so many of a core
const CPU_TICK: Duration = Duration::from_millis(10); // the unit of /proc/PID/stat on Linux
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const CLOCK_STEP_MS: i64 = 20; // milliseconds of the front's time between looks at its descriptors
const START_LIMIT: Duration = Duration::from_secs(10); // in which nine of ten restarted fronts have to take statements

/// What the machine grants a front, and what was recorded of it.
#[derive(Default)]
pub struct Resources {
    /// The process's own limit of descriptors, where it is not that of the tests.
    pub granted_descriptors: Option<usize>,
    /// The front takes the time from the machine.
    pub real_time: bool,
    recorded_descriptors: usize,
    /// Where PostgreSQL sessions are elapsed, if the operator's file names `SESSIONS`.
    pub sessions: Option<SocketAddr>,
}

impl Scenario {
    /// True if the line is one of these.
    pub fn run_resources_line(&mut self, words: &[&str]) -> bool {
        match words[..] {
            ["machine", "grants", count, "descriptors"] => {
                self.resources.granted_descriptors = Some(count.parse().unwrap());
            }
            ["runs", "in", "real", "time"] => self.resources.real_time = true,
            ["rests"] => self.assert_idle(),
            ["notes", "its", "descriptors"] => {
                self.settle();
                self.resources.recorded_descriptors = self.descriptor_count();
            }
            ["has", "its", "descriptors", "back"] => self.wait_for_descriptors(),
            ["starts", "anew", count, "times"] => {
                (0..count.parse().unwrap()).for_each(|_| self.restart_in_time());
            }
            ["garbage", "from", count] => self.send_client_garbage(count.parse().unwrap()),
            ["garbage", "from", count, "sessions"] => {
                self.send_session_garbage(count.parse().unwrap())
            }
            ["garbage", "is", "gone"] => self.wait_until_garbage_is_closed(),
            [engine, "spoils", count, "answers", "to", client] => {
                (0..count.parse().unwrap())
                    .for_each(|n| self.answer_with_garbage(engine, client, n));
            }
            _ => return false,
        }
        true
    }

    /// A text of the operator's file with the address for sessions: a port that is free, let go of just before the
    /// front takes it.
    pub fn with_sessions(&mut self, text: &str) -> String {
        const NAME: &str = "SESSIONS";
        if !text.contains(NAME) {
            return text.to_string();
        }
        let at = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        self.resources.sessions = Some(at);
        text.replace(NAME, &at.to_string())
    }

    fn descriptor_count(&self) -> usize {
        let pid = self.front.as_ref().unwrap().id();
        std::fs::read_dir(format!("/proc/{pid}/fd"))
            .unwrap()
            .count()
    }

    /// Waits until the front holds no more descriptors than recorded, nor fewer. Time passes meanwhile.
    fn wait_for_descriptors(&mut self) {
        let (recorded, started) = (self.resources.recorded_descriptors, Instant::now());
        while self.descriptor_count() != recorded {
            let held = self.descriptor_count();
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{held} descriptors are held, not {recorded}"
            );
            self.advance(CLOCK_STEP_MS);
        }
    }

    fn cpu_time(&self) -> Duration {
        let pid = self.front.as_ref().unwrap().id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
        let (_, fields) = stat.rsplit_once(") ").unwrap();
        // In user mode and in the kernel: the 14th field and the next.
        let ticks = fields
            .split(' ')
            .skip(11)
            .take(2)
            .map(|ticks| ticks.parse::<u32>().unwrap());
        CPU_TICK * ticks.sum::<u32>()
    }

    /// A front that has next to nothing to do takes next to no CPU time, whatever its sockets report.
    fn assert_idle(&self) {
        assert!(
            self.resources.real_time,
            "with a drill's clock it looks at that all the time"
        );
        let (started, before) = (Instant::now(), self.cpu_time());
        while started.elapsed() < OBSERVATION_TIME {
            std::thread::sleep(POLL_INTERVAL);
        }
        let (elapsed, watched) = (self.cpu_time() - before, started.elapsed());
        println!("{elapsed:?} of CPU time in {watched:?}");
        assert!(
            elapsed < watched / IDLE_CPU_DIVISOR,
            "{elapsed:?} of CPU time in {watched:?}"
        );
    }

    /// Killed and started: it takes statements in time, with no time of its own passing meanwhile.
    fn restart_in_time(&mut self) {
        self.run_line("kills");
        let started = Instant::now();
        self.run_line("starts anew");
        let elapsed = started.elapsed();
        assert!(
            elapsed < START_LIMIT,
            "{elapsed:?} until it takes statements"
        );
    }
}
