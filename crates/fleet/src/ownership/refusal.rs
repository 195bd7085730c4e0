//! Why acts and messages about ownership are refused.

/// Why an act or message about ownership was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnershipRefusal {
    /// It can't be read.
    Malformed,
    /// It is meant for another fleet.
    OtherFleet,
    /// It is a reply of a front that is no voter.
    ReplyFromNonVoter,
    /// It is meant for a voter, which this front is not.
    LocalNonVoter,
    /// A later owner was seen.
    StaleToken,
    /// No majority of voters has reported its token.
    UnknownToken,
}

impl OwnershipRefusal {
    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            OwnershipRefusal::Malformed => "form",
            OwnershipRefusal::OtherFleet => "fleet",
            OwnershipRefusal::ReplyFromNonVoter => "no voter",
            OwnershipRefusal::LocalNonVoter => "no voter here",
            OwnershipRefusal::StaleToken => "stale",
            OwnershipRefusal::UnknownToken => "unknown",
        }
    }
}
