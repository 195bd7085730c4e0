//! The file of rules, and what it may speak of.

use std::cell::RefCell;
use std::rc::Rc;

use hallmux_access::{self as access, Known, Owner, Wish};
use hallmux_agreement::{line_of, Contract, Station};
use hallmux_dispatcher::Micros;

use super::{Peers, Rules, Shared};

pub(super) fn known(rules: &hallmux_agreement::Rules, contract: &Contract) -> Known {
    let names = &contract.names;
    let workloads = names.workloads.iter().zip(&contract.agreement.workloads).map(|(name, w)| {
        let named =
            |all: &Vec<usize>| all.iter().filter_map(|at| names.locations.get(*at).cloned()).collect();
        access::Bound { name: name.clone(), locations: w.locations.as_ref().map(named) }
    });
    Known {
        customers: names.customers.clone(),
        workloads: workloads.collect(),
        locations: names.locations.clone(),
        regions: rules.regions.clone(),
        covered: rules.customers.clone(),
    }
}

/// Reads the file of rules; all its faults at once.
pub(super) fn read(file: &str, known: &Known) -> Result<(String, Wish), String> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| format!("rules.file: {file}: {e}; name a file that can be read"))?;
    let wish = access::read(file, &text, known, &|path| line_of(&text, path)).map_err(|e| e.to_string())?;
    Ok((text, wish))
}

/// Switched on by the operator's file.
pub fn start(station: &Station, now: Micros, peers: Option<&Peers>) -> std::io::Result<Option<Shared>> {
    let Some(rules) = &station.operator.rules else { return Ok(None) };
    let incarnation = (now / 1000) as u64;
    let (front, fronts) = match peers.map(Peers::fleet) {
        None => (1, vec![1]),
        Some(Some(fleet)) => fleet,
        Some(None) => {
            let why =
                "rules: this front has others, but no `gossip.ledger` that keeps rules; name its members";
            return Err(std::io::Error::other(why));
        }
    };
    let own = Owner { front, incarnation };
    let rules = Rules::new(rules, &station.contract, own, fronts, peers.is_none());
    Ok(Some(Rc::new(RefCell::new(rules.map_err(std::io::Error::other)?))))
}
