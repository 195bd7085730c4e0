//! The start of access rules: their file is read, and a front without others gets a ledger of its own.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use hallmux_access::{self as access, Access, AccessConfig, Owner, RulesCommand};
use hallmux_config::{NodeConfig, Settings};
use hallmux_dispatcher::Micros;
use hallmux_ledger::{self as ledger, Ledger, Member, Moment};

use super::file::{known, read};
use super::{Rules, Shared, ASK_NUMBERS};
use crate::fleet::errors::RulesError;
use crate::fleet::peers::{LedgerFleet, Peers};

impl Rules {
    /// The rules that the operator's file switches on, if it does; `peers` are the other fronts.
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

    /// `own` and `fronts` are by the keys of gossip. Without other fronts this one is the fleet.
    fn new(
        rules: &hallmux_config::Rules,
        settings: &Settings,
        own: Owner,
        fronts: Vec<u64>,
        alone: bool,
    ) -> Result<Rules, RulesError> {
        let known = known(rules, settings);
        let (text, command) = read(&rules.file, &known)?;
        if matches!(command, RulesCommand::WhatIf(_)) {
            return Err(RulesError::Question(rules.file.clone()));
        }
        let setup = AccessConfig {
            own,
            fronts,
            region: rules.region.clone(),
            known,
            terms: access::LeaseTerms {
                length: rules.lease,
                drift_ppm: rules.drift_ppm,
            },
            remembers: rules.remembers,
            first_number: ASK_NUMBERS,
        };
        let alone = alone.then(|| own_ledger(own)).transpose()?;
        let mut access = Access::new(setup);
        access.offer(&rules.file, &text, command);
        log::info!(
            "rules of customers hold; this front stands in {}",
            rules.region
        );
        Ok(Rules {
            access,
            alone,
            steady: Instant::now(),
            statements: BTreeMap::new(),
            tickets: HashMap::new(),
            rulings: Vec::new(),
            next_report: 0,
            next_log: rules.tell_every,
            log_every: rules.tell_every,
            ended: 0,
            logged_hits: None,
            logged_limits: BTreeMap::new(),
        })
    }
}

/// The ledger of a front without others.
fn own_ledger(own: Owner) -> Result<Ledger, RulesError> {
    let member = Member {
        front: own.front,
        zone: String::new(),
    };
    let disk = own.incarnation | 1;
    let setup = ledger::Setup {
        copies: 1,
        shards: 1,
        ..ledger::Setup::new("alone", own.front, own.incarnation, disk, vec![member])
    };
    let at = Moment {
        steady: 0,
        wall_ms: own.incarnation,
    };
    Ok(Ledger::new(at, setup, None)?)
}
