//! The state of the front that the admission of a unit depends on, beside the unit's session.

use hallmux_dispatcher::Micros;

/// The state of the front at the time a unit is admitted.
#[derive(Clone, Copy)]
pub struct AdmissionState {
    /// Microseconds for which input that is read now may have been unread.
    pub unread_time: Micros,
    /// The front holds as many statements or bytes as it may: further units are rejected.
    pub at_capacity: bool,
}
