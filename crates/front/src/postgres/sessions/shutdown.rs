//! The shutdown of the front, as its sessions see it: from when on units are refused, and how long
//! sessions may stay after that.

use hallmux_dispatcher::Micros;

/// Microseconds for which a session without a unit in flight may stay during shutdown.
const GRACE_PERIOD: Micros = 2_000_000;
/// Microseconds by which the linger time is shorter during shutdown, so that the process ends
/// within 4 s.
const LINGER_REDUCTION: Micros = 500_000;

/// The state of the shutdown.
#[derive(Clone, Copy, Default)]
pub(super) struct Shutdown {
    /// When the front stopped taking units. The process may be killed before a unit that arrives
    /// later would be answered, so it is refused.
    units_refused_since: Option<Micros>,
}

impl Shutdown {
    /// Refuses units that arrive from now on; further calls change nothing.
    pub(super) fn refuse_units(&mut self, now: Micros) {
        self.units_refused_since.get_or_insert(now);
    }

    /// Whether something that was received at `arrived` came too late.
    pub(super) fn is_late(self, arrived: Micros) -> bool {
        self.units_refused_since
            .is_some_and(|since| arrived > since)
    }

    /// Whether sessions are no longer waited for.
    pub(super) fn is_grace_period_over(self, now: Micros) -> bool {
        self.units_refused_since
            .is_some_and(|since| since + GRACE_PERIOD <= now)
    }

    /// Microseconds by which lingering connections are dropped earlier.
    pub(super) fn linger_reduction(self) -> Micros {
        self.units_refused_since.map_or(0, |_| LINGER_REDUCTION)
    }
}
