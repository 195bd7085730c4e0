//! The messages that fronts and engines exchange on each connection, as the relay between them
//! reads them, so that a statement which broke a rule can be traced from its client to its engines.

/// A message or the close of a connection; times are microseconds since the rig began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireEvent {
    /// When the relay had read it; on a busy machine this may be long after it was written.
    pub at: i64,
    pub front: usize,
    pub engine: usize,
    /// The connection, by the relay's port towards the engine.
    pub port: u16,
    pub kind: WireEventKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireEventKind {
    /// The verb of a line and the id in it; `passed` is false if the relay dropped the line.
    Line {
        verb: String,
        id: String,
        passed: bool,
    },
    /// The front, or the engine, has closed the connection.
    FrontClosed,
    EngineClosed,
}

/// The verbs that are recorded, of fronts and of engines.
const VERBS: [&str; 6] = ["want", "never_mind", "ACK", "AGAIN", "EIO", "STALE"];
/// Bytes without a line end after which they are dropped; no line or statement of the rig is as long.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Extracts lines from the bytes of one direction of a connection, wherever the chunks are cut.
#[derive(Default)]
pub struct Lines(Vec<u8>);

impl Lines {
    /// Returns verb and id of each recorded line that is complete by now.
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
            // A front writes the verb first, an engine the id.
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
