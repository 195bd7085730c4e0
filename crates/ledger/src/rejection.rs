//! Reasons for which messages, packets and requests are rejected.

/// The reason for a rejection; [`crate::Counters::rejected`] counts rejections by label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The packet claims to come from this front.
    OwnPacket,
    /// The packet or message can't be decoded, or exceeds a limit of its encoding.
    Malformed,
    /// The packet has a format that this build does not read.
    UnknownFormat,
    /// The packet belongs to another fleet, or to one with another number of shards.
    OtherFleet,
    /// Too many fragments are buffered.
    TooManyFragments,
    /// The packet comes from an earlier incarnation of its front than the known one.
    EarlierIncarnation,
    /// The sender is not a member of the shard, or claims to be another member.
    NotMember,
    /// A later message from the same sender was received before.
    Overtaken,
    /// The message contradicts decided entries: the sender or this front has lost Paxos promises.
    Contradiction,
    /// The name or value of a request is too long.
    TooLong,
    /// The request names another front than its sender, belongs to another shard than its key's, or
    /// is too long.
    ForeignRequest,
    /// Too many requests wait for a round of the shard's log.
    QueueFull,
}

impl Rejection {
    /// The label under which the rejection is counted.
    pub fn label(self) -> &'static str {
        match self {
            Rejection::OwnPacket => "own",
            Rejection::Malformed => "form",
            Rejection::UnknownFormat => "version",
            Rejection::OtherFleet => "fleet",
            Rejection::TooManyFragments => "too much",
            Rejection::EarlierIncarnation => "earlier life",
            Rejection::NotMember => "no member",
            Rejection::Overtaken => "overtaken",
            Rejection::Contradiction => "contradicts what is decided",
            Rejection::TooLong => "too long",
            Rejection::ForeignRequest => "another's ask",
            Rejection::QueueFull => "too many asks",
        }
    }
}
