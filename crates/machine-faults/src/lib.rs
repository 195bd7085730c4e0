//! Fault injection into one process, for tests: a step of its wall clock, and system calls that
//! fail in the ways that Linux documents. A library preloaded into that process replaces the calls;
//! the fronts contain no code for it.

#![warn(missing_docs)]

use std::fs::File;
use std::io::{Error, Result};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("shim.c");

// The control file holds 64-bit integers shared by the test and the library. These are their
// indices.

/// The size of an integer, in bytes.
const INTEGER_BYTES: u64 = 8;
/// The offset of the wall clock, in microseconds.
const CLOCK_OFFSET: u64 = 0;
/// The seed of the random choice of calls that fail.
const SEED: u64 = 1;
/// For each call: the failure rate, in thousandths.
const FIRST_RATE: u64 = 2;
/// For each call: the number of failures so far.
const FIRST_FAILURE_COUNT: u64 = FIRST_RATE + CALL_COUNT;
/// For each call: the number of failures still allowed.
const FIRST_FAILURES_LEFT: u64 = FIRST_FAILURE_COUNT + CALL_COUNT;
/// The number of integers in the file.
const INTEGER_COUNT: u64 = FIRST_FAILURES_LEFT + CALL_COUNT;
const CALL_COUNT: u64 = Call::ALL.len() as u64;

/// A kind of system call that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept` fails: no descriptor or buffer, an aborted connection, a signal.
    Accept,
    /// `socket` fails: no descriptor or buffer.
    Socket,
    /// `connect` fails: no address, no buffer, no route, a signal.
    Connect,
    /// A read of a connection returns fewer bytes than requested.
    ShortRead,
    /// A write to a connection accepts fewer bytes than passed.
    ShortWrite,
    /// A read fails on a connection that the process itself opened, which is broken from then on.
    BrokenRead,
}

impl Call {
    /// All kinds.
    pub const ALL: [Call; 6] = [
        Call::Accept,
        Call::Socket,
        Call::Connect,
        Call::ShortRead,
        Call::ShortWrite,
        Call::BrokenRead,
    ];

    /// Returns the index of the call among the per-call integers.
    fn index(self) -> u64 {
        self as u64
    }
}

/// The compiled library that injects the faults.
#[derive(Debug)]
pub struct Library {
    path: PathBuf,
}

impl Library {
    /// Compiles the library to a file, with the C compiler that Rust links with (`CC`, else `cc`).
    /// Fails if a file can't be written or the compiler fails.
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

/// The faults of one process, which can be set before it starts and while it runs.
#[derive(Debug)]
pub struct MachineFaults {
    library: PathBuf,
    control: PathBuf,
    file: File,
}

impl MachineFaults {
    /// Creates the control file at `control`, which must be this process's alone, with no faults.
    /// The seed determines which calls fail. Fails if the file can't be written.
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

    /// Returns the environment variables with which a process has these faults.
    pub fn environment(&self) -> [(&'static str, &Path); 2] {
        [
            ("LD_PRELOAD", &self.library),
            ("MACHINE_FAULTS", &self.control),
        ]
    }

    /// Sets how many microseconds the process's wall clock is ahead of the system's.
    pub fn set_wall_clock_offset(&self, micros: i64) -> Result<()> {
        self.write(CLOCK_OFFSET, micros)
    }

    /// Makes this many in a thousand of the calls fail from now on.
    pub fn set_failure_rate(&self, call: Call, permille: u16) -> Result<()> {
        self.set_limited_failure_rate(call, permille, i64::MAX)
    }

    /// Makes this many in a thousand of the calls fail, until `max_failures` have failed.
    pub fn set_limited_failure_rate(
        &self,
        call: Call,
        permille: u16,
        max_failures: i64,
    ) -> Result<()> {
        self.write(FIRST_FAILURES_LEFT + call.index(), max_failures)?;
        self.write(FIRST_RATE + call.index(), i64::from(permille))
    }

    /// Returns how many of the calls have failed so far.
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
