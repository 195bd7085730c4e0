//! Why acts and messages about ownership are refused.

/// Why an act or message about ownership was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ActRefusal {
    /// It can't be read.
    Form,
    /// It is meant for another fleet.
    Fleet,
    /// It is a reply of a front that is no voter.
    NoVoter,
    /// It is meant for a voter, which this front is not.
    NoVoterHere,
    /// A later owner was seen.
    Stale,
    /// No majority of voters has reported its token.
    Unknown,
}

impl ActRefusal {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            ActRefusal::Form => "form",
            ActRefusal::Fleet => "fleet",
            ActRefusal::NoVoter => "no voter",
            ActRefusal::NoVoterHere => "no voter here",
            ActRefusal::Stale => "stale",
            ActRefusal::Unknown => "unknown",
        }
    }
}
