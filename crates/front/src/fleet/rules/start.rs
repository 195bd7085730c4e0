//! The start of access rules: their file is read, and a front without others gets a ledger of its own.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use hallmux_access::{self as access, Access, AccessConfig, Owner, RulesCommand};
use hallmux_config::{NodeConfig, Settings};
use hallmux_dispatcher::Micros;
use hallmux_ledger::{self as ledger, Ledger, Member, Moment};

use super::file::{known_names, read_rules};
use super::{Rules, SharedRules, REQUEST_NUMBER_BASE};
use crate::fleet::errors::RulesError;
use crate::fleet::peers::{LedgerFleet, Peers};

impl Rules {
    /// The rules that the operator's file switches on, if it does; `peers` are the other fronts.
    pub fn start(
        config: &NodeConfig,
        now: Micros,
        peers: Option<&Peers>,
    ) -> Result<Option<SharedRules>, RulesError> {
        let Some(rules) = &config.operator.rules else {
            return Ok(None);
        };
        let incarnation = (now / 1000) as u64;
        // Without other fronts this one is the fleet.
        let fleet = match peers {
            None => LedgerFleet {
                local_id: 1,
                fronts: vec![1],
            },
            Some(peers) => peers.ledger_fleet().ok_or(RulesError::NoLedger)?,
        };
        let owner = Owner {
            front: fleet.local_id,
            incarnation,
        };
        let is_alone = peers.is_none();
        let rules = Rules::new(rules, &config.settings, owner, fleet.fronts, is_alone)?;
        Ok(Some(Rc::new(RefCell::new(rules))))
    }

    /// `own` and `fronts` are by the keys of gossip. Without other fronts this one is the fleet.
    fn new(
        rules: &hallmux_config::Rules,
        settings: &Settings,
        owner: Owner,
        fronts: Vec<u64>,
        is_alone: bool,
    ) -> Result<Rules, RulesError> {
        let known = known_names(rules, settings);
        let (text, command) = read_rules(&rules.file, &known)?;
        if matches!(command, RulesCommand::WhatIf(_)) {
            return Err(RulesError::WhatIf(rules.file.clone()));
        }
        let access_config = AccessConfig {
            own: owner,
            fronts,
            region: rules.region.clone(),
            known,
            terms: access::Terms {
                length: rules.lease,
                drift_ppm: rules.drift_ppm,
            },
            remembers: rules.remembers,
            first_number: REQUEST_NUMBER_BASE,
        };
        let local_ledger = is_alone.then(|| local_ledger(owner)).transpose()?;
        let mut access = Access::new(access_config);
        access.offer(&rules.file, &text, command);
        log::info!(
            "rules of customers hold; this front stands in {}",
            rules.region
        );
        Ok(Rules {
            access,
            local_ledger,
            steady_start: Instant::now(),
            statements: BTreeMap::new(),
            statement_numbers: HashMap::new(),
            decisions: Vec::new(),
            next_report_time: 0,
            next_log_time: rules.tell_every,
            log_interval: rules.tell_every,
            logged_revoked_count: 0,
            logged_hits: None,
            logged_limits: BTreeMap::new(),
        })
    }
}

/// The ledger of a front without others.
fn local_ledger(owner: Owner) -> Result<Ledger, RulesError> {
    let member = Member {
        front: owner.front,
        zone: String::new(),
    };
    let disk = owner.incarnation | 1;
    let setup = ledger::Setup {
        copies: 1,
        shards: 1,
        ..ledger::Setup::new("alone", owner.front, owner.incarnation, disk, vec![member])
    };
    let clock = Moment {
        steady: 0,
        wall_ms: owner.incarnation,
    };
    Ok(Ledger::new(clock, setup, None)?)
}
