//! The fleet rig in simulated time, for fleets beyond what one machine holds as processes.

mod engines;
mod faults;
mod fronts;
mod play;

pub use play::run;
