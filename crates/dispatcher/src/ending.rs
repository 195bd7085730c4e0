//! Every way in which an execution can end on the network, and what each means to the module.

use hallmux::interface::Outcome;

/// How an execution ended on the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The complete result has arrived.
    Answered,
    /// The engine reports that the execution failed.
    EngineFailed,
    /// A page of the result is lost: the engine no longer knows it.
    PageLost,
    /// The engine rejected it before it began.
    Rejected,
    /// The engine found its deadline passed before it began.
    Stale,
    /// The machine refused the connection.
    ConnectionRefused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection was reset while it was being established.
    ResetWhileConnecting,
    /// This machine had no descriptor or buffer for a connection, which says nothing of the engine.
    NoDescriptor,
    /// It was cancelled, or its engine drains, before its first byte left.
    Withdrawn,
    /// The connection broke before its last byte left: no engine has all of it.
    HalfWritten,
    /// The connection was reset with the execution in flight.
    Reset,
    /// The engine closed the connection with the execution in flight.
    Closed,
    /// The reply is malformed or incomplete, so this front closed the connection.
    Unreadable,
    /// This front closed the connection, as this execution or another on it could not be cancelled otherwise, or
    /// its engine left too many commands unread.
    ClosedHere,
    /// The client's deadline has passed.
    TimeUp,
    /// The scheduler or the client cancelled it.
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
