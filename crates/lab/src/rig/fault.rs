//! What the rig can play on a fleet.

use serde::Deserialize;

use super::datagrams::Split;

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Every link into the zone loses all both ways; its engines start cold when it returns.
    ZoneLost,
    /// The links of one front into the zone lose all, both ways: the partition of one vantage.
    LinkCut,
    /// The links of one front into the zone lose what comes back only.
    LinkCutBack,
    /// Every link into the zone is slowed by `delay_ms`.
    ZoneSlow,
    /// The fronts numbered below `front` and the rest hear nothing of each other; with `second`, those numbered from
    /// there on nothing of both.
    FrontsSplit,
    /// The rest hear nothing of the fronts numbered below `front`, but not the other way about.
    FrontsSplitOut,
    /// Of the datagrams between fronts `percent` in a hundred are lost.
    PostLossy,
    /// Every datagram between fronts comes twice, the second `delay_ms` later: out of order, too.
    PostDoubled,
    /// Every datagram between fronts takes `delay_ms` longer.
    PostSlow,
    /// Every datagram between fronts takes a time drawn up to `delay_ms` longer.
    PostShuffled,
    /// The front's configuration file is written anew, and SIGHUP tells it so.
    Hup,
    /// Every connection into the zone is reset at once.
    ZoneReset,
    /// The front is stopped (SIGSTOP) and goes on (SIGCONT) after `for_ms`.
    Stall,
    /// The front is killed (SIGKILL) and started anew after `for_ms`.
    Kill,
    /// The front is killed (SIGKILL), at `step` of a promise where one is named, what it kept on disk is removed, and
    /// it is started anew after `for_ms` under its name.
    LoseDisk,
    /// The disk of the front's copies takes nothing; afterwards there is room, and the front is killed and started anew.
    DiskFull,
    /// Each sync of the disk of the front's copies takes `delay_ms` longer.
    DiskSlow,
    /// Of the fronts `percent` in a hundred are killed (SIGKILL) at once, and all started anew at once after `for_ms`.
    Release,
    /// The front that probed for the fleet last is stopped, or killed: the owner of that work.
    StallOwner,
    KillOwner,
    /// The front is asked to end (SIGTERM) and started anew after `for_ms`, once it has ended. Clients still come to it
    /// for a while, as its door stays open; nothing that it was asked is excused.
    Term,
}

/// How far a statement that needs a promise has come.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// A front has just been asked.
    Taken,
    /// It sends to other fronts, and has not begun.
    Copying,
    /// An engine has begun it.
    Began,
    /// Its effect is lasting, its answer not yet with the client.
    Kept,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub what: FaultKind,
    /// Milliseconds after the load began, and how long it lasts.
    pub at_ms: u64,
    #[serde(default)]
    pub for_ms: u64,
    #[serde(default)]
    pub zone: usize,
    #[serde(default)]
    pub front: usize,
    pub second: Option<usize>,
    pub step: Option<Step>,
    #[serde(default)]
    pub delay_ms: u64,
    #[serde(default)]
    pub percent: u64,
    /// Discovery tells the fronts of the engines' new start when a lost zone returns.
    #[serde(default = "yes")]
    pub told: bool,
}

fn yes() -> bool {
    true
}

impl Fault {
    /// Of so many fronts, how many are released.
    pub fn released_count(&self, fronts: usize) -> usize {
        fronts * self.percent.min(100) as usize / 100
    }

    pub fn split(&self) -> Split {
        let one_way = self.what == FaultKind::FrontsSplitOut;
        Split {
            below: self.front,
            second: self.second,
            one_way,
        }
    }

    /// The fault as it is played: on the front that owns the fleet's work, where it is meant for that.
    pub fn resolve_owner(&self, owner: Option<usize>) -> Fault {
        let what = match self.what {
            FaultKind::StallOwner => FaultKind::Stall,
            FaultKind::KillOwner => FaultKind::Kill,
            _ => return self.clone(),
        };
        Fault {
            what,
            front: owner.unwrap_or(self.front),
            ..self.clone()
        }
    }
}
