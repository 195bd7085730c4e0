//! Starts the access rules: reads their file, and creates a ledger for a front without peers.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Instant;

use hallmux_access::{self as access, Access, AccessConfig, Owner, RulesCommand};
use hallmux_config::{NodeConfig, Settings};
use hallmux_dispatcher::Micros;
use hallmux_ledger::{self as ledger, ClockReading, Ledger, Member};

use super::file::{known_names, read_rules};
use super::{Rules, SharedRules, REQUEST_NUMBER_BASE};
use crate::fleet::errors::RulesError;
use crate::fleet::peers::{LedgerFleet, Peers};

impl Rules {
    /// Starts the rules if the operator's file enables them; otherwise returns None. `peers` is
    /// None if gossip is disabled.
    pub fn start(
        config: &NodeConfig,
        now: Micros,
        peers: Option<&Peers>,
    ) -> Result<Option<SharedRules>, RulesError> {
        let Some(rules) = &config.operator.rules else {
            return Ok(None);
        };
        let incarnation = (now / 1000) as u64;
        // A front without peers is a fleet of one.
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

    /// `owner` and `fronts` are identified by their gossip keys; `is_alone` means that there are no
    /// peers.
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
            owner,
            fronts,
            region: rules.region.clone(),
            known,
            terms: access::LeaseTerms {
                length: rules.lease,
                drift_ppm: rules.drift_ppm,
            },
            record_window: rules.record_window,
            first_request_number: REQUEST_NUMBER_BASE,
        };
        let local_ledger = is_alone.then(|| local_ledger(owner)).transpose()?;
        let mut access = Access::new(access_config);
        access.propose(&rules.file, &text, command);
        log::info!(
            "rules: access rules are enabled; this front is in region {}",
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
            next_log_time: rules.log_interval,
            log_interval: rules.log_interval,
            logged_revoked_count: 0,
            logged_hits: None,
            logged_limits: BTreeMap::new(),
        })
    }
}

/// Creates the ledger of a front without peers, in memory and with one replica.
fn local_ledger(owner: Owner) -> Result<Ledger, RulesError> {
    let member = Member {
        front: owner.front,
        zone: String::new(),
    };
    let disk = owner.incarnation | 1;
    let setup = ledger::Setup {
        replication_factor: 1,
        shards: 1,
        ..ledger::Setup::new("alone", owner.front, owner.incarnation, disk, vec![member])
    };
    let clock = ClockReading {
        steady: 0,
        wall_ms: owner.incarnation,
    };
    Ok(Ledger::new(clock, setup, None)?)
}
