//! Why a message, a packet or a request was rejected, as it is counted.

/// The reason of a rejection; [`crate::Counters::refused`] counts them by their labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// A packet claims to come from this front itself.
    OwnPacket,
    /// It can't be decoded, or exceeds a bound of its encoding.
    Malformed,
    /// It is in a format that this build does not read.
    UnknownFormat,
    /// It is of another fleet, or of one with another number of shards.
    OtherFleet,
    /// Too many fragments wait for others.
    TooManyFragments,
    /// It comes from an earlier incarnation of its front than is known.
    EarlierIncarnation,
    /// Its sender is no member of the shard, or speaks for another.
    NotMember,
    /// A later message of the same sender has come before.
    Overtaken,
    /// It contradicts what is decided: one side has lost what it had promised.
    Contradiction,
    /// A request's name or value is too long.
    TooLong,
    /// A request of another front than its sender, for another shard than its key's, or too long.
    ForeignRequest,
    /// Too many asks wait for a round of the shard's log.
    QueueFull,
}

impl Rejection {
    /// The label under which it is counted.
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
