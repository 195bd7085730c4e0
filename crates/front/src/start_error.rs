//! Why a front does not start: each text says what is wrong, where, and what an operator can do.

use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error(transparent)]
    Configuration(#[from] hallmux_config::Error),
    #[error("{key}: {why}; give the coordinator's events as it words them, or leave the key out")]
    Known { key: String, why: String },
    #[error("{key}: {at}: {why}; give the address of a free port of this machine")]
    Listen {
        key: String,
        at: SocketAddr,
        why: std::io::Error,
    },
    #[error(transparent)]
    Peers(#[from] crate::fleet::PeersError),
    #[error(transparent)]
    Rules(#[from] crate::fleet::RulesError),
    /// What else the operator's file switches on, or the clock of a test: the text names the key.
    #[error("{0}; mend that key or file, or leave it out")]
    Part(String),
    /// The same, where the part itself says what can be done.
    #[error("{0}")]
    PartWithRemedy(String),
    #[error("{what}: {why}; see whether this user may open more files (ulimit -n)")]
    System { what: &'static str, why: String },
}

/// A key of the file that NODE_CONFIG names, as an operator finds it.
fn key_in_file(variables: &HashMap<String, String>, key: &str) -> String {
    let file = variables.get("NODE_CONFIG").map_or("?", String::as_str);
    format!("NODE_CONFIG: {file}: {key}")
}

impl StartError {
    /// The coordinator's events in the file can't be used.
    pub fn known(variables: &HashMap<String, String>, what: &str) -> StartError {
        // Its line counts from where the key's value begins, which is no line of the file.
        let why = what
            .rsplit_once(" at line ")
            .map_or(what, |(why, _)| why)
            .to_string();
        StartError::Known {
            key: key_in_file(variables, "known"),
            why,
        }
    }

    /// The address, which a variable or the file has given, can't be listened on.
    pub fn listen(
        variables: &HashMap<String, String>,
        at: SocketAddr,
        why: std::io::Error,
    ) -> StartError {
        const VARIABLE: &str = "NODE_LISTEN";
        let set = variables
            .contains_key(VARIABLE)
            .then(|| VARIABLE.to_string());
        StartError::Listen {
            key: set.unwrap_or_else(|| key_in_file(variables, "listen")),
            at,
            why,
        }
    }

    /// Of a part that may have said itself what can be done.
    pub fn part(why: &std::io::Error) -> StartError {
        let said = why.to_string();
        match said.rsplit_once("; ") {
            Some(_) => StartError::PartWithRemedy(said),
            None => StartError::Part(said),
        }
    }

    pub fn system(what: &'static str) -> impl Fn(std::io::Error) -> StartError {
        move |why| StartError::System {
            what,
            why: why.to_string(),
        }
    }
}

#[cfg(test)]
#[path = "start_error_tests.rs"]
mod tests;
