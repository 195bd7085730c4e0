//! The load: what clients ask of fronts, and what they write down of it.

pub mod offer;
