//! What a front is told about itself: its variables and the file that `NODE_CONFIG` names.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::contract::{contract, Contract};
use crate::operator::Operator;

const MEMORY_MB: u64 = 192; // MB, where the file is silent; the least that the operators grant
const SOCKETS: usize = 1024; // descriptors, where the file is silent; the least that the operators grant
const NOTHING_KNOWN: &str = r#"{"index":0,"updates":[]}"#; // the coordinator tells all that has been since
const LEVEL: &str = "info"; // log level; one line for each change worth waking for

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    seed: Option<String>,
    limits: Option<Box<RawValue>>,
    coordinator: Option<String>,
    known: Option<Box<RawValue>>,
    settings: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    memory_mb: u64,
    sockets: usize,
}

impl Default for FileLimits {
    fn default() -> Self {
        FileLimits { memory_mb: MEMORY_MB, sockets: SOCKETS }
    }
}

/// What this front's machine grants.
#[derive(Clone, Debug)]
pub struct Limits {
    pub memory_bytes: u64,
    pub sockets: usize,
}

/// One front's place among the others, and all that was agreed.
#[derive(Clone, Debug)]
pub struct Station {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub coordinator: Option<SocketAddr>,
    /// The coordinator's events so far, as it words them.
    pub known: String,
    pub contract: Contract,
    /// What the operator's own file switches on; without one, nothing.
    pub operator: Operator,
    pub log_level: log::LevelFilter,
    /// For drills: a file that holds the time in place of the machine's clock.
    pub drill_clock: Option<PathBuf>,
}

impl Station {
    /// Reads the variables given and the file that they name.
    pub fn read(variables: &HashMap<String, String>) -> Result<Station, String> {
        let path = variables.get("NODE_CONFIG").ok_or("NODE_CONFIG is not set")?;
        let text = std::fs::read_to_string(path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
        Station::parse(variables, &text)
    }

    pub fn parse(variables: &HashMap<String, String>, text: &str) -> Result<Station, String> {
        let file: File = serde_json::from_str(text).map_err(|e| format!("NODE_CONFIG: {e}"))?;
        // The variables go before the file: they are what the one who started the program sees.
        let said = |variable: &str, key: &str, kept: Option<String>| {
            let value = variables.get(variable).cloned().or(kept);
            value.ok_or_else(|| format!("{key}: missing in NODE_CONFIG, and {variable} is not set"))
        };
        let seed = file.seed.ok_or("seed: missing in NODE_CONFIG")?;
        let limits: FileLimits = match &file.limits {
            Some(raw) => serde_json::from_str(raw.get()).map_err(|e| format!("limits: {e}"))?,
            None => FileLimits::default(),
        };
        let settings = file.settings.ok_or("settings: missing in NODE_CONFIG")?;
        let mut contract = contract(settings.get()).map_err(|e| format!("settings: {e}"))?;
        let operator = match variables.get("HALLMUX_OPERATOR") {
            Some(path) => {
                let text = std::fs::read_to_string(path);
                let text = text.map_err(|e| format!("HALLMUX_OPERATOR: {path}: {e}"))?;
                Operator::parse(&text, &contract).map_err(|e| format!("HALLMUX_OPERATOR: {path}: {e}"))?
            }
            None => Operator::default(),
        };
        operator.apply(&mut contract.agreement.report);
        if let Some(gossip) = &operator.gossip {
            contract.agreement.zone_quorum = gossip.zone_quorum;
            gossip.overload.iter().for_each(|o| o.apply(&mut contract.agreement));
        }
        let level = variables.get("HALLMUX_LOG").map_or(LEVEL, String::as_str);
        Ok(Station {
            name: said("NODE_NAME", "name", file.name)?,
            listen: read("listen", &said("NODE_LISTEN", "listen", file.listen)?)?,
            seed: u64::from_str_radix(&seed, 16).map_err(|e| format!("seed: '{seed}': {e}"))?,
            limits: Limits {
                memory_bytes: limits.memory_mb.saturating_mul(1 << 20),
                sockets: limits.sockets,
            },
            coordinator: file.coordinator.map(|at| read("coordinator", &at)).transpose()?,
            known: file.known.map_or_else(|| NOTHING_KNOWN.to_string(), |raw| raw.get().to_string()),
            contract,
            operator,
            log_level: read("HALLMUX_LOG", level)?,
            drill_clock: variables.get("HALLMUX_CLOCK").map(PathBuf::from),
        })
    }
}

fn read<T: FromStr<Err: std::fmt::Display>>(key: &str, value: &str) -> Result<T, String> {
    value.parse().map_err(|e| format!("{key}: '{value}': {e}"))
}
