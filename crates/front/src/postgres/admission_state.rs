//! What the admission of a unit depends on beyond its session.

use hallmux_dispatcher::Micros;

/// The state of the whole front as a unit is admitted.
#[derive(Clone, Copy)]
pub struct AdmissionState {
    /// Microseconds for which what is found now may have waited.
    pub unread_time: Micros,
    /// No more statements can be taken.
    pub at_capacity: bool,
}
