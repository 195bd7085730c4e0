//! The planned end: after SIGTERM a front goes on taking and answering, then closes its door.

use hallmux_dispatcher::Micros;

/// Microseconds after SIGTERM until no more connections are taken. Clients open new ones for 0.4 s and
/// write on open ones for 0.2 s more; what they write later than 0.7 s is no longer this front's to answer.
const DOOR: Micros = 800_000;
/// The same while promises are handed over: a member that is to own them may be slow or itself about to end.
const HANDED_OVER: Micros = 3_000_000;
const LOOK: Micros = 10_000; // microseconds between looks at whether all is answered

#[derive(Default)]
pub struct Shutdown {
    since: Option<Micros>,
}

impl Shutdown {
    pub fn ask(&mut self, now: Micros) {
        if self.since.is_none() {
            log::info!("the end was asked for; what comes in for now is still taken");
            self.since = Some(now);
        }
    }

    pub fn asked(&self) -> bool {
        self.since.is_some()
    }

    /// Whether the door is to be closed by now; `hands_over`: promises of which this front is the owner still are.
    pub fn closes(&self, now: Micros, hands_over: bool) -> bool {
        let door = if hands_over { HANDED_OVER } else { DOOR };
        self.since.is_some_and(|since| since + door <= now)
    }

    pub fn due(&self, now: Micros) -> Micros {
        self.since.map_or(Micros::MAX, |since| (since + DOOR).max(now + LOOK))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_door_waits_for_promises_to_be_handed_over_but_not_for_ever() {
        let mut end = Shutdown::default();
        end.ask(0);
        assert!(!end.closes(DOOR - 1, false) && end.closes(DOOR, false));
        assert!(
            !end.closes(DOOR, true) && !end.closes(HANDED_OVER - 1, true) && end.closes(HANDED_OVER, true)
        );
    }
}
