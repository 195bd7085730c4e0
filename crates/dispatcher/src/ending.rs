//! Every way in which an execution can end on the network, and the outcome that each is to the
//! scheduler.

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
    /// The engine rejected the execution before starting it.
    Rejected,
    /// The engine found the deadline passed before starting the execution.
    Stale,
    /// The engine's machine refused the connection.
    ConnectionRefused,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection was reset while it was being established.
    ResetWhileConnecting,
    /// This machine had no file descriptor or buffer for a connection, which is no evidence about
    /// the engine.
    NoDescriptor,
    /// The execution was cancelled, or its engine started to drain, before the first byte was sent.
    Withdrawn,
    /// The connection broke before the last byte was sent: no engine received the complete
    /// execution.
    HalfWritten,
    /// The connection was reset with the execution in flight.
    Reset,
    /// The engine closed the connection with the execution in flight.
    Closed,
    /// The reply was malformed or incomplete, so this front closed the connection.
    Unreadable,
    /// This front closed the connection because this execution or another on it could not be
    /// cancelled otherwise, or because the engine left too many commands unread.
    ClosedHere,
    /// The client's deadline passed.
    TimeUp,
    /// The scheduler or the client cancelled the execution.
    GivenUp,
}

impl Ending {
    /// Whether the statement may have run; false only if this ending proves that it has not.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self.outcome(),
            Outcome::NoCapacity | Outcome::Unreachable | Outcome::NotSent
        )
    }

    /// The outcome that the scheduler is notified of. This is the only table of what an ending
    /// proves: `NoCapacity`, `Unreachable` and `NotSent` mean that the statement did not run.
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
