//! What fronts and engines say over each of their connections, as the relay between them reads it: so that a statement
//! which broke a rule can be followed from its client to its engines.

/// Something said, or the end of one; times are microseconds since the rig began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireEvent {
    /// When the relay had read it, which on a busy machine may be long after it was written.
    pub at: i64,
    pub front: usize,
    pub engine: usize,
    /// The connection, by the relay's port towards the engine.
    pub port: u16,
    pub kind: WireEventKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireEventKind {
    /// The first word of a line, and the id in it.
    Line {
        verb: String,
        id: String,
        passed: bool,
    },
    /// The front has closed the connection, or the engine has.
    FrontClosed,
    EngineClosed,
}

/// The words that are kept, of fronts and of engines.
const VERBS: [&str; 6] = ["want", "never_mind", "ACK", "AGAIN", "EIO", "STALE"];
const MAX_LINE_BYTES: usize = 64 << 10; // bytes without the end of a line; no line or statement of the rig is as long

/// Takes lines from what comes over a connection in one direction, wherever it is cut.
#[derive(Default)]
pub struct Lines(Vec<u8>);

impl Lines {
    /// The kept words of lines that are whole by now, each with its id.
    pub fn take(&mut self, chunk: &[u8]) -> Vec<(String, String)> {
        self.0.extend_from_slice(chunk);
        let Some(end) = self.0.iter().rposition(|byte| *byte == b'\n') else {
            if self.0.len() > MAX_LINE_BYTES {
                self.0.clear();
            }
            return Vec::new();
        };
        let complete: Vec<u8> = self.0.drain(..=end).collect();
        let text = String::from_utf8_lossy(&complete);
        let parse_line = |line: &str| {
            let mut words = line.split_whitespace();
            let (first, second) = words.next().zip(words.next())?;
            // A front names the word first, an engine the id.
            let (word, id) = if VERBS.contains(&first) {
                (first, second)
            } else {
                (second, first)
            };
            VERBS
                .contains(&word)
                .then(|| (word.to_string(), id.to_string()))
        };
        text.lines().filter_map(parse_line).collect()
    }
}
