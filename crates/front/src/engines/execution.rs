//! The state of one execution on a connection to an engine.

use std::rc::Rc;

use hallmux_dispatcher::{Micros, Terms};
use hallmux_native_codec::statement::Call;

use super::connection::ConnectionId;
use super::result_pages::ResultPages;

/// How much of an execution was sent to its engine.
#[derive(PartialEq)]
pub(super) enum Stage {
    /// None of the execution was written.
    Queued,
    /// The execution is being written; part of it may have been sent.
    Writing,
    /// All of the execution was sent.
    Sent,
}

/// An execution that was assigned to a connection and has not ended.
pub(super) struct Execution {
    pub(super) connection: ConnectionId,
    pub(super) call: Rc<Call>,
    pub(super) terms: Terms,
    pub(super) stage: Stage,
    /// When the front began to write the execution; before that, when it was queued.
    pub(super) sent_at: Micros,
    pub(super) last_reply_at: Micros,
    /// The pages of the result; `None` until the first one is received.
    pub(super) pages: Option<ResultPages>,
}
