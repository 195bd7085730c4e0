//! The fleet's budget of new connections, as one pacer that the connections of both protocols share.

use std::cell::RefCell;
use std::rc::Rc;

use hallmux_config::NodeConfig;
use hallmux_dispatcher::{ConnectionPacer, Micros};

/// When this front may dial which engine, for both protocols.
pub type DialPacer = Rc<RefCell<ConnectionPacer>>;

/// The pacer that the configuration asks for; without a budget any time is fine.
pub fn from_config(config: &NodeConfig, now: Micros) -> DialPacer {
    let paced = config.settings.agreement.budgets.is_some();
    Rc::new(RefCell::new(ConnectionPacer::new(paced, now, config.seed)))
}

/// A pacer that lets every connection be dialled at once.
pub fn unlimited() -> DialPacer {
    DialPacer::new(ConnectionPacer::new(false, 0, 0).into())
}
