//! The file of rules, and what it may speak of.

use std::cell::RefCell;
use std::rc::Rc;

use hallmux_access::{self as access, KnownNames, Owner, RulesCommand};
use hallmux_config::{line_of, NodeConfig, Settings};
use hallmux_dispatcher::Micros;

use super::{Rules, RulesError, Shared};
use crate::fleet::{LedgerFleet, Peers};

pub(super) fn known(rules: &hallmux_config::Rules, settings: &Settings) -> KnownNames {
    let names = &settings.names;
    let workloads = names
        .workloads
        .iter()
        .zip(&settings.agreement.workloads)
        .map(|(name, w)| {
            let named = |all: &Vec<usize>| {
                all.iter()
                    .filter_map(|at| names.locations.get(*at).cloned())
                    .collect()
            };
            access::WorkloadLocations {
                name: name.clone(),
                locations: w.locations.as_ref().map(named),
            }
        });
    KnownNames {
        customers: names.customers.clone(),
        workloads: workloads.collect(),
        locations: names.locations.clone(),
        regions: rules.regions.clone(),
        covered: rules.customers.clone(),
    }
}

/// Reads the file of rules; all its faults at once.
pub(super) fn read(file: &str, known: &KnownNames) -> Result<(String, RulesCommand), RulesError> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|why| RulesError::File {
        file: file.to_string(),
        why,
    })?;
    let command = access::read(file, &text, known, &|path| line_of(&text, path))?;
    Ok((text, command))
}

/// Switched on by the operator's file.
pub fn start(
    config: &NodeConfig,
    now: Micros,
    peers: Option<&Peers>,
) -> Result<Option<Shared>, RulesError> {
    let Some(rules) = &config.operator.rules else {
        return Ok(None);
    };
    let incarnation = (now / 1000) as u64;
    // Without other fronts this one is the fleet.
    let fleet = match peers {
        None => LedgerFleet {
            own: 1,
            fronts: vec![1],
        },
        Some(peers) => peers.ledger_fleet().ok_or(RulesError::NoLedger)?,
    };
    let own = Owner {
        front: fleet.own,
        incarnation,
    };
    let is_alone = peers.is_none();
    let rules = Rules::new(rules, &config.settings, own, fleet.fronts, is_alone)?;
    Ok(Some(Rc::new(RefCell::new(rules))))
}
