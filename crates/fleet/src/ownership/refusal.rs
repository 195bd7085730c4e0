//! The reasons why acts and messages about ownership are refused.

/// Why an act or message about ownership was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnershipRefusal {
    /// The message can't be decoded.
    Malformed,
    /// The message belongs to another fleet.
    OtherFleet,
    /// The message is a reply from a front that is not a voter.
    ReplyFromNonVoter,
    /// The message is for a voter, but this front is none.
    LocalNonVoter,
    /// The act's token is older than that of a known owner.
    StaleToken,
    /// No majority of voters has reported the act's token with this owner.
    UnknownToken,
}

impl OwnershipRefusal {
    /// Returns the name under which the log counts this reason.
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
