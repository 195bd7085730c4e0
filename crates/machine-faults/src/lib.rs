//! Fault injection for one process, for tests: its wall clock is stepped, and system calls fail in the ways that Linux
//! documents. A library that is loaded into that process alone answers in place
//! of the system; the fronts themselves know nothing of it.

#![warn(missing_docs)]

use std::fs::File;
use std::io::{Error, Result};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("shim.c");

// The control file holds numbers, which process and library share; these are their indices.

/// Bytes of a number.
const INTEGER_BYTES: u64 = 8;
/// The wall clock's step, in microseconds.
const CLOCK_OFFSET: u64 = 0;
/// The seed of what fails.
const SEED: u64 = 1;
/// By call: how many of a thousand fail.
const FIRST_RATE: u64 = 2;
/// By call: how many have failed.
const FIRST_FAILURE_COUNT: u64 = FIRST_RATE + CALL_COUNT;
/// By call: how many more may fail.
const FIRST_FAILURES_LEFT: u64 = FIRST_FAILURE_COUNT + CALL_COUNT;
/// How many numbers there are.
const INTEGER_COUNT: u64 = FIRST_FAILURES_LEFT + CALL_COUNT;
const CALL_COUNT: u64 = Call::ALL.len() as u64;

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept`: no descriptor or buffer, a connection aborted, a signal.
    Accept,
    /// `socket`: no descriptor or buffer.
    Socket,
    /// `connect`: no address, no buffer, no route.
    Connect,
    /// A read of a connection gives less than there is.
    ShortRead,
    /// A write to a connection takes less than it could.
    ShortWrite,
    /// A read finds that a connection which the process began is broken; it is, from then on.
    BrokenRead,
}

impl Call {
    /// All of them.
    pub const ALL: [Call; 6] = [
        Call::Accept,
        Call::Socket,
        Call::Connect,
        Call::ShortRead,
        Call::ShortWrite,
        Call::BrokenRead,
    ];

    /// Its index among the numbers by call.
    fn index(self) -> u64 {
        self as u64
    }
}

/// The library that injects the faults, compiled.
#[derive(Debug)]
pub struct Library {
    path: PathBuf,
}

impl Library {
    /// Compiles it to a file, with the C compiler that Rust links with. An error is that of the file or the compiler.
    pub fn compile(path: &Path) -> Result<Library> {
        let source = path.with_extension("c");
        std::fs::write(&source, SOURCE)?;
        let mut compiler = Command::new(std::env::var_os("CC").unwrap_or_else(|| "cc".into()));
        compiler
            .args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"])
            .arg(path)
            .arg(&source);
        let compiled = compiler.status();
        std::fs::remove_file(source)?;
        if !compiled?.success() {
            return Err(Error::other(
                "the C compiler failed to compile the machine faults library; see its messages above",
            ));
        }
        Ok(Library {
            path: path.to_path_buf(),
        })
    }
}

/// The faults of one process, before it starts and while it runs.
#[derive(Debug)]
pub struct MachineFaults {
    library: PathBuf,
    control: PathBuf,
    file: File,
}

impl MachineFaults {
    /// No faults yet. `control` is a file of their own; the seed draws which calls fail. An error is that of the file.
    pub fn new(library: &Library, control: &Path, seed: u64) -> Result<MachineFaults> {
        let file = File::options()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(control)?;
        file.set_len(INTEGER_COUNT * INTEGER_BYTES)?;
        let faults = MachineFaults {
            library: library.path.clone(),
            control: control.to_path_buf(),
            file,
        };
        faults.write(SEED, seed as i64)?;
        Ok(faults)
    }

    /// The variables of the environment under which a process has these faults.
    pub fn environment(&self) -> [(&'static str, &Path); 2] {
        [
            ("LD_PRELOAD", &self.library),
            ("MACHINE_FAULTS", &self.control),
        ]
    }

    /// Sets how many microseconds the process's wall clock is ahead of the machine's.
    pub fn set_wall_clock_offset(&self, micros: i64) -> Result<()> {
        self.write(CLOCK_OFFSET, micros)
    }

    /// From now on so many of a thousand of these calls fail.
    pub fn set_failure_rate(&self, call: Call, permille: u16) -> Result<()> {
        self.set_limited_failure_rate(call, permille, i64::MAX)
    }

    /// The same, until so many have failed.
    pub fn set_limited_failure_rate(
        &self,
        call: Call,
        permille: u16,
        max_failures: i64,
    ) -> Result<()> {
        self.write(FIRST_FAILURES_LEFT + call.index(), max_failures)?;
        self.write(FIRST_RATE + call.index(), i64::from(permille))
    }

    /// How many of these calls have failed so far.
    pub fn failure_count(&self, call: Call) -> Result<i64> {
        self.read(FIRST_FAILURE_COUNT + call.index())
    }

    fn write(&self, index: u64, number: i64) -> Result<()> {
        self.file
            .write_all_at(&number.to_le_bytes(), index * INTEGER_BYTES)
    }

    fn read(&self, index: u64) -> Result<i64> {
        let mut bytes = [0; INTEGER_BYTES as usize];
        self.file.read_exact_at(&mut bytes, index * INTEGER_BYTES)?;
        Ok(i64::from_le_bytes(bytes))
    }
}
