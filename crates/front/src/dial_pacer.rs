//! The pacer of new connections to engines, shared by both protocols so that they keep to one budget.

use std::cell::RefCell;
use std::rc::Rc;

use hallmux_config::NodeConfig;
use hallmux_dispatcher::{ConnectionPacer, Micros};

/// Decides when this front may dial which engine, for both protocols.
pub type DialPacer = Rc<RefCell<ConnectionPacer>>;

/// Creates the pacer for a configuration; without budgets in its settings every dial is allowed at once.
pub fn from_config(config: &NodeConfig, now: Micros) -> DialPacer {
    let paced = config.settings.agreement.budgets.is_some();
    Rc::new(RefCell::new(ConnectionPacer::new(paced, now, config.seed)))
}

/// Creates a pacer that allows every dial at once.
pub fn unlimited() -> DialPacer {
    DialPacer::new(ConnectionPacer::new(false, 0, 0).into())
}
