//! todo
