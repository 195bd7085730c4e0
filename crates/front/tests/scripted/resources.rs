//! The front's use of resources: descriptors, CPU time while idle, and time to start.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use crate::{Scenario, WAIT_TIMEOUT};

const OBSERVATION_TIME: Duration = Duration::from_secs(2); // in real time
const IDLE_CPU_DIVISOR: u32 = 20; // an idle front uses less than one core divided by this
const CPU_TICK: Duration = Duration::from_millis(10); // the unit of /proc/PID/stat on Linux
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const CLOCK_STEP_MS: i64 = 20; // milliseconds of the front's time between checks of its descriptors
const START_LIMIT: Duration = Duration::from_secs(10); // within which nine of ten restarted fronts must accept statements

/// The resources granted to a front, and those recorded of it.
#[derive(Default)]
pub struct Resources {
    /// The descriptor limit of the process, if it differs from that of the tests.
    pub granted_descriptors: Option<usize>,
    /// The front uses the system clock instead of the scenario's.
    pub real_time: bool,
    recorded_descriptors: usize,
    /// The address for PostgreSQL sessions, if the operator's file names `SESSIONS`.
    pub sessions: Option<SocketAddr>,
}

impl Scenario {
    /// Runs a line of this group; false if the line is none of them.
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

    /// Replaces `SESSIONS` in the text of the operator's file by an address with a free port, which is
    /// released just before the front binds it.
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

    /// Waits until the front holds exactly as many descriptors as recorded. Time advances meanwhile.
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
        // User time and system time: fields 14 and 15.
        let ticks = fields
            .split(' ')
            .skip(11)
            .take(2)
            .map(|ticks| ticks.parse::<u32>().unwrap());
        CPU_TICK * ticks.sum::<u32>()
    }

    /// Asserts that a front with almost nothing to do uses almost no CPU time, whatever its sockets report.
    fn assert_idle(&self) {
        assert!(
            self.resources.real_time,
            "with the clock file the front polls that file all the time"
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

    /// Kills the front and starts it again; it must accept statements in time, without its clock advancing.
    fn restart_in_time(&mut self) {
        self.run_line("kills");
        let started = Instant::now();
        self.run_line("starts anew");
        let elapsed = started.elapsed();
        assert!(
            elapsed < START_LIMIT,
            "{elapsed:?} until it accepts statements"
        );
    }
}
