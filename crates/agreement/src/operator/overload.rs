//! Overload shed by the fleet as one: what all fronts together may spend on further executions, and put on an engine.

use hallmux::interface::{Agreement, EngineBudgets, FurtherBudget, Micros};
use serde::Deserialize;

use super::places::fault;
use crate::error::{Error, What};

const FURTHER_PERCENT: u32 = 10; // further executions to first ones over the fleet, where the file is silent
const CONNECTIONS_PER_SECOND: u32 = 200; // into one engine: at some 5 ms for a start and a login, one core
const PROBES_PER_SECOND: u32 = 100; // into one engine: at some 0.3 ms each, a thirtieth of a core
const MOST_PER_SECOND: u32 = 1_000_000; // of either; more is no budget
const WINDOW: Micros = 10_000_000; // microseconds over which that is counted, where the settings name no window

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadFile {
    #[serde(default = "further_percent")]
    further_percent: u32,
    #[serde(default = "connections_per_second")]
    connections_per_second: u32,
    #[serde(default = "probes_per_second")]
    probes_per_second: u32,
}

fn connections_per_second() -> u32 {
    CONNECTIONS_PER_SECOND
}

fn probes_per_second() -> u32 {
    PROBES_PER_SECOND
}

fn further_percent() -> u32 {
    FURTHER_PERCENT
}

/// The fleet sheds as one, and keeps further executions to a share of first ones over all fronts, and new connections
/// and probes into each engine to so many a second; 0: no bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    pub further_percent: u32,
    pub connections_per_second: u32,
    pub probes_per_second: u32,
}

impl Default for Overload {
    fn default() -> Overload {
        Overload {
            further_percent: FURTHER_PERCENT,
            connections_per_second: CONNECTIONS_PER_SECOND,
            probes_per_second: PROBES_PER_SECOND,
        }
    }
}

pub fn overload(text: &str, file: OverloadFile) -> Result<Overload, Error> {
    if file.further_percent > 100 {
        return Err(fault(text, "gossip.overload.further_percent", What::over(100)));
    }
    let OverloadFile { further_percent, connections_per_second, probes_per_second } = file;
    for (key, value) in
        [("connections_per_second", connections_per_second), ("probes_per_second", probes_per_second)]
    {
        if value > MOST_PER_SECOND {
            return Err(fault(text, &format!("gossip.overload.{key}"), What::over(MOST_PER_SECOND)));
        }
    }
    Ok(Overload { further_percent, connections_per_second, probes_per_second })
}

impl Overload {
    /// Each front's part of the fleet's budget: its own first executions count, and what the settings leave to spare
    /// is divided by the fronts, so that one that has just started has little.
    pub fn apply(&self, agreement: &mut Agreement) {
        let agreed =
            agreement.further.unwrap_or(FurtherBudget { spare: 0.0, ratio: f64::INFINITY, window: WINDOW });
        let spare = agreed.spare / agreement.fronts.max(1.0);
        agreement.further = Some(FurtherBudget {
            spare,
            ratio: agreed.ratio.min(f64::from(self.further_percent) / 100.0),
            ..agreed
        });
        let most = |a_second: u32| if a_second > 0 { f64::from(a_second) } else { f64::INFINITY };
        let (connections, probes) = (most(self.connections_per_second), most(self.probes_per_second));
        let bounded = connections.is_finite() || probes.is_finite();
        agreement.budgets = bounded.then_some(EngineBudgets { connections, probes });
    }
}

#[cfg(test)]
mod tests {
    use super::super::whole::tests::read;
    use super::*;

    #[test]
    fn the_share_is_read_and_checked_and_the_budget_is_the_fleets() {
        let gossip = |inner: &str| {
            let key = "0f".repeat(32);
            format!(
                "{{ gossip: {{ listen: '127.0.0.1:0', secret_file: 's', peers: {{ a: '{key}' }}{inner} }} }}"
            )
        };
        let overload = |inner: &str| read(&gossip(inner)).map(|read| read.gossip.unwrap().overload);
        assert_eq!(overload("").unwrap(), None);
        assert_eq!(overload(", overload: {}").unwrap(), Some(Overload::default()));
        let why = overload(",\n overload: { further_percent: 101 }").unwrap_err();
        assert!(why.to_string().starts_with("line 2: gossip.overload.further_percent"), "{why}");
        assert!(overload(", overload: { furthest: 1 }").is_err());
        for (key, value) in [("connections_per_second", "-1"), ("probes_per_second", "1000001")] {
            let why = overload(&format!(",\n overload: {{ {key}: {value} }}")).unwrap_err();
            assert!(why.starts_with(&format!("line 2: gossip.overload.{key}: ")), "{why}");
        }
        let few =
            overload(", overload: { connections_per_second: 30, probes_per_second: 0 }").unwrap().unwrap();
        let mut bound = Agreement::default();
        few.apply(&mut bound);
        let budgets = EngineBudgets { connections: 30.0, probes: f64::INFINITY };
        assert_eq!(bound.budgets, Some(budgets));
        Overload { connections_per_second: 0, ..few }.apply(&mut bound);
        assert_eq!(bound.budgets, None);
        let mut agreed = Agreement { fronts: 20.0, ..Agreement::default() };
        agreed.further = Some(FurtherBudget { spare: 10.0, ratio: 0.05, window: 1 });
        Overload::default().apply(&mut agreed);
        let further = agreed.further.unwrap();
        assert_eq!((further.spare, further.ratio, further.window), (0.5, 0.05, 1));
        agreed.further = None;
        Overload::default().apply(&mut agreed);
        assert_eq!(agreed.further.map(|f| (f.spare, f.ratio)), Some((0.0, 0.1)));
    }
}
