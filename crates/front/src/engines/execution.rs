//! One execution on a connection to an engine, from its queue to its end.

use std::rc::Rc;

use hallmux_dispatcher::{Micros, Terms};
use hallmux_native_codec::statement::Call;

use super::connection::ConnectionId;
use super::result_pages::ResultPages;

/// How much of an execution has left for its engine.
#[derive(PartialEq)]
pub(super) enum Stage {
    /// Not a byte of it has left.
    Queued,
    /// It is the one being written.
    Writing,
    /// All of it has left.
    Sent,
}

pub(super) struct Execution {
    pub(super) connection: ConnectionId,
    pub(super) call: Rc<Call>,
    pub(super) terms: Terms,
    pub(super) stage: Stage,
    /// When it was begun to be written; before that, when it was queued.
    pub(super) sent_at: Micros,
    pub(super) last_reply_at: Micros,
    /// The result, from its first page on.
    pub(super) pages: Option<ResultPages>,
}
