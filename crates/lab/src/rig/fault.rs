//! The faults that the rig can apply to a fleet.

use serde::Deserialize;

use super::datagrams::Split;

/// The kinds of faults; their names are those of scenario files.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Every link into the zone loses all traffic both ways; the zone's engines start cold when it
    /// returns.
    ZoneLost,
    /// The links of one front into the zone lose all traffic both ways: the partition of one
    /// vantage.
    LinkCut,
    /// The links of one front into the zone lose the traffic from engines only.
    LinkCutBack,
    /// Every link into the zone is delayed by `delay_ms`.
    ZoneSlow,
    /// The fronts numbered below `front` are partitioned from the rest; with `second`, fronts from
    /// that number on are partitioned from both.
    FrontsSplit,
    /// The rest receive nothing from the fronts numbered below `front`, which still receive from
    /// the rest.
    FrontsSplitOut,
    /// Datagrams between fronts are lost with a probability of `percent` in a hundred.
    PostLossy,
    /// Every datagram between fronts is delivered twice, the second time `delay_ms` later and thus
    /// out of order.
    PostDoubled,
    /// Every datagram between fronts is delayed by `delay_ms`.
    PostSlow,
    /// Every datagram between fronts is delayed by a random time of up to `delay_ms`.
    PostShuffled,
    /// The front's configuration file is rewritten and the front is sent SIGHUP.
    Hup,
    /// Every connection into the zone is reset at once.
    ZoneReset,
    /// The front is stopped (SIGSTOP) and continued (SIGCONT) after `for_ms`.
    Stall,
    /// The front is killed (SIGKILL) and restarted after `for_ms`.
    Kill,
    /// The front is killed (SIGKILL), at `step` of a ledger entry if one is named; its disk is
    /// removed, and it is restarted after `for_ms` under its name.
    LoseDisk,
    /// Writes to the front's replica disk fail; when space is available again, the front is killed
    /// and restarted.
    DiskFull,
    /// Each sync of the front's replica disk takes `delay_ms` longer.
    DiskSlow,
    /// Of the fronts `percent` in a hundred are killed (SIGKILL) at once, and all restarted at once
    /// after `for_ms`.
    Release,
    /// The lease owner of the fleet's work, which is the front that last probed for the fleet, is
    /// stalled or killed.
    StallOwner,
    KillOwner,
    /// The front is asked to shut down (SIGTERM) and restarted after `for_ms`, once it has exited.
    /// Clients still connect for a while, as its listener stays open; none of their statements is
    /// excused.
    Term,
}

/// How far a statement that needs a ledger entry has come.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The statement has arrived at a front.
    Taken,
    /// The front sends to its peers, and the statement has not started.
    Copying,
    /// An engine has started the execution.
    Began,
    /// The effect is durable, and the answer has not reached the client.
    Kept,
}

/// A scheduled fault of a scenario.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub what: FaultKind,
    /// Milliseconds from the start of the load to the fault, and its duration in milliseconds.
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
    /// Whether the coordinator announces the engines' restart when a lost zone returns.
    #[serde(default = "yes")]
    pub told: bool,
}

fn yes() -> bool {
    true
}

impl Fault {
    /// How many of `fronts` a `Release` kills.
    pub fn released_count(&self, fronts: usize) -> usize {
        fronts * self.percent.min(100) as usize / 100
    }

    /// The partition of a `FrontsSplit` or `FrontsSplitOut`.
    pub fn split(&self) -> Split {
        let one_way = self.what == FaultKind::FrontsSplitOut;
        Split {
            below: self.front,
            second: self.second,
            one_way,
        }
    }

    /// The fault with `StallOwner` and `KillOwner` resolved to the owner of the fleet's work, else
    /// to `front`.
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
