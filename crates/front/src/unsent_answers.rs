//! Answers that clients of either protocol have not read yet.

/// Summary of the answers that wait for their clients to read them.
pub struct UnsentAnswers {
    /// Bytes of all unsent answers.
    pub bytes: usize,
    /// The number of the client or session with most unsent bytes; None if all answers are sent.
    pub slowest: Option<u64>,
}
