//! Overload shed by the fleet as one: what all fronts together may spend on further executions.

use hallmux::interface::{Agreement, FurtherBudget, Micros};
use serde::Deserialize;

use super::places::fault;
use crate::error::{Error, What};

const FURTHER_PERCENT: u32 = 10; // further executions to first ones over the fleet, where the file is silent
const WINDOW: Micros = 10_000_000; // microseconds over which that is counted, where the settings name no window

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadFile {
    #[serde(default = "further_percent")]
    further_percent: u32,
}

fn further_percent() -> u32 {
    FURTHER_PERCENT
}

/// The fleet sheds as one, and keeps further executions to a share of first ones over all fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    pub further_percent: u32,
}

impl Default for Overload {
    fn default() -> Overload {
        Overload { further_percent: FURTHER_PERCENT }
    }
}

pub fn overload(text: &str, file: OverloadFile) -> Result<Overload, Error> {
    if file.further_percent > 100 {
        return Err(fault(text, "gossip.overload.further_percent", What::over(100)));
    }
    Ok(Overload { further_percent: file.further_percent })
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
