//! Answers that clients of either protocol have not taken yet.

/// Answers that wait for their clients to take them.
pub struct UnsentAnswers {
    pub bytes: usize,
    /// The number of the client or session that has left most.
    pub slowest: Option<u64>,
}
