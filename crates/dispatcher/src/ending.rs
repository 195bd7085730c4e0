//! Every way in which an execution can end on the network, and what each means to the module.

use hallmux::interface::Outcome;

/// How an execution ended on the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole result is here.
    Answered,
    /// The engine says that it failed.
    EngineFailed,
    /// A page of the result is lost: the engine no longer knows it.
    PageLost,
    /// The engine turned it away unseen.
    Rejected,
    /// The engine found its time over before it began.
    Stale,
    /// The machine refused the connection.
    ConnectionRefused,
    /// The connection was not up in time.
    ConnectTimeout,
    /// The connection was reset while it came up.
    ResetWhileConnecting,
    /// No descriptor or buffer could be had for a connection, which says nothing of the engine.
    NoDescriptor,
    /// It was cancelled, or its engine drains, before its first byte left.
    Withdrawn,
    /// The connection broke before its last byte left: no engine has it whole.
    HalfWritten,
    /// The connection was reset with the execution out.
    Reset,
    /// The engine closed the connection with the execution out.
    Closed,
    /// What came over the connection can't be read, is no result or stopped short, so it was closed from
    /// here.
    Unreadable,
    /// The connection was closed from here, as this execution or another on it could not be cancelled
    /// otherwise, or its engine left too much untaken.
    ClosedHere,
    /// The client's time is up.
    TimeUp,
    /// Cancelled by decision.
    GivenUp,
}

impl Ending {
    /// Whether the statement may have run; false only where this ending proves that it has not.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self.outcome(),
            Outcome::NoCapacity | Outcome::Unreachable | Outcome::NotSent
        )
    }

    /// What the ending means to the module: the one table of what it proves. `NoCapacity`, `Unreachable` and
    /// `NotSent` say that nothing ran.
    pub fn outcome(self) -> Outcome {
        match self {
            Ending::Answered => Outcome::Completed,
            Ending::EngineFailed | Ending::PageLost => Outcome::Error,
            Ending::Rejected => Outcome::NoCapacity,
            Ending::ConnectionRefused | Ending::ConnectTimeout => Outcome::Unreachable,
            Ending::NoDescriptor | Ending::Stale | Ending::Withdrawn => Outcome::NotSent,
            Ending::ResetWhileConnecting | Ending::HalfWritten => Outcome::NotSent,
            Ending::Reset | Ending::Closed | Ending::Unreadable | Ending::ClosedHere => {
                Outcome::Reset
            }
            Ending::TimeUp => Outcome::TimedOut,
            Ending::GivenUp => Outcome::Cancelled,
        }
    }
}
