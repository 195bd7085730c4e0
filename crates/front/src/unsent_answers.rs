//! Answers that clients of either protocol have not read yet.

/// Summary of the answers that wait for their clients to read them.
pub struct UnsentAnswers {
    /// Bytes of all unsent answers.
    pub bytes: usize,
    /// The client or session with most unsent bytes; None if all answers are sent.
    pub slowest: Option<SlowestReader>,
}

/// The client or session with most unsent bytes.
#[derive(Clone, Copy)]
pub struct SlowestReader {
    /// Its number.
    pub id: u64,
    /// The bytes that it has not read yet.
    pub bytes: usize,
}

impl UnsentAnswers {
    /// Sums up the unsent bytes of connections, given with their numbers.
    pub fn new(connections: impl Iterator<Item = (u64, usize)>) -> UnsentAnswers {
        let (mut total, mut slowest) = (0, None::<SlowestReader>);
        for (id, bytes) in connections {
            total += bytes;
            if slowest.is_none_or(|slowest| bytes >= slowest.bytes) {
                slowest = Some(SlowestReader { id, bytes });
            }
        }
        UnsentAnswers {
            bytes: total,
            slowest,
        }
    }

    /// Bytes that the slowest reader has not read yet.
    pub fn most(&self) -> usize {
        self.slowest.map_or(0, |slowest| slowest.bytes)
    }
}
