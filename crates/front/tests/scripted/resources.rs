//! What a front takes of the machine: descriptors, CPU time where it has nothing to do, time to start.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use crate::{Scenario, PATIENCE};

const WATCHED: Duration = Duration::from_secs(2); // of the machine's time
const REST: u32 = 20; // a front that rests takes less than one part of so many of a core
const TICK: Duration = Duration::from_millis(10); // the unit of /proc/PID/stat on Linux
const LOOK: Duration = Duration::from_millis(10);
const STEP_MS: i64 = 20; // milliseconds of the front's time between looks at its descriptors
const READY: Duration = Duration::from_secs(10); // in which nine of ten restarted fronts have to take statements

/// What the machine grants a front, and what was noted of it.
#[derive(Default)]
pub struct Resources {
    /// The process's own limit of descriptors, where it is not that of the tests.
    pub granted_descriptors: Option<usize>,
    /// The front takes the time from the machine.
    pub real_time: bool,
    noted_descriptors: usize,
    /// Where PostgreSQL sessions are taken, if the operator's file names `SESSIONS`.
    pub sessions: Option<SocketAddr>,
}

impl Scenario {
    /// True if the line is one of these.
    pub fn resources_line(&mut self, words: &[&str]) -> bool {
        match words[..] {
            ["machine", "grants", count, "descriptors"] => {
                self.resources.granted_descriptors = Some(count.parse().unwrap());
            }
            ["runs", "in", "real", "time"] => self.resources.real_time = true,
            ["rests"] => self.rests(),
            ["notes", "its", "descriptors"] => {
                self.settles();
                self.resources.noted_descriptors = self.descriptors();
            }
            ["has", "its", "descriptors", "back"] => self.has_its_descriptors_back(),
            ["starts", "anew", count, "times"] => {
                (0..count.parse().unwrap()).for_each(|_| self.is_ready_again());
            }
            ["garbage", "from", count] => self.garbage_from(count.parse().unwrap()),
            ["garbage", "from", count, "sessions"] => {
                self.garbage_from_sessions(count.parse().unwrap())
            }
            ["garbage", "is", "gone"] => self.garbage_is_gone(),
            [engine, "spoils", count, "answers", "to", client] => {
                (0..count.parse().unwrap()).for_each(|n| self.spoils_an_answer(engine, client, n));
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

    fn descriptors(&self) -> usize {
        let pid = self.front.as_ref().unwrap().id();
        std::fs::read_dir(format!("/proc/{pid}/fd"))
            .unwrap()
            .count()
    }

    /// Waits until the front holds no more descriptors than noted, nor fewer. Time passes meanwhile.
    fn has_its_descriptors_back(&mut self) {
        let (noted, begun) = (self.resources.noted_descriptors, Instant::now());
        while self.descriptors() != noted {
            let held = self.descriptors();
            assert!(
                begun.elapsed() < PATIENCE,
                "{held} descriptors are held, not {noted}"
            );
            self.passes(STEP_MS);
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
        TICK * ticks.sum::<u32>()
    }

    /// A front that has next to nothing to do takes next to no CPU time, whatever its sockets report.
    fn rests(&self) {
        assert!(
            self.resources.real_time,
            "with a drill's clock it looks at that all the time"
        );
        let (begun, before) = (Instant::now(), self.cpu_time());
        while begun.elapsed() < WATCHED {
            std::thread::sleep(LOOK);
        }
        let (taken, watched) = (self.cpu_time() - before, begun.elapsed());
        println!("{taken:?} of CPU time in {watched:?}");
        assert!(
            taken < watched / REST,
            "{taken:?} of CPU time in {watched:?}"
        );
    }

    /// Killed and started: it takes statements in time, with no time of its own passing meanwhile.
    fn is_ready_again(&mut self) {
        self.line("kills");
        let begun = Instant::now();
        self.line("starts anew");
        let taken = begun.elapsed();
        assert!(taken < READY, "{taken:?} until it takes statements");
    }
}
