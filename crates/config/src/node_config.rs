//! The configuration of one front: its environment variables and the file that `NODE_CONFIG` names.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::{Error, KeyProblem, TextPosition};
use crate::operator_file::OperatorConfig;
use crate::settings::{parse_section, Settings};
use crate::text::{self, Section};

const DEFAULT_MEMORY_MB: u64 = 192;
const MIN_MEMORY_MB: u64 = 1;
/// Default number of file descriptors.
const DEFAULT_SOCKETS: usize = 1024;
/// Minimum number of file descriptors: half are for clients and half for engines, and each side
/// needs one.
const MIN_SOCKETS: usize = 2;
/// Replaces a missing `known`: at index 0 the coordinator sends all events.
const EMPTY_EVENTS: &str = r#"{"index":0,"updates":[]}"#;
const DEFAULT_LOG_LEVEL: &str = "info";
/// The environment variable that names the operator's file.
const OPERATOR_VARIABLE: &str = "HALLMUX_OPERATOR";
const ADDRESS_REMEDY: &str = "give an address and a port, like 127.0.0.1:9090";
const SEED_REMEDY: &str = "give up to 16 hexadecimal digits";
const LOG_LEVEL_REMEDY: &str = "give one of off, error, warn, info, debug, trace";

/// The file's keys. The type names `File` and `FileLimits` appear in error texts.
#[derive(Deserialize)]
struct File<'a> {
    name: Option<String>,
    listen: Option<String>,
    seed: Option<String>,
    #[serde(borrow)]
    limits: Option<&'a RawValue>,
    coordinator: Option<String>,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: Option<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    memory_mb: u64,
    sockets: usize,
}

impl Default for FileLimits {
    fn default() -> Self {
        FileLimits {
            memory_mb: DEFAULT_MEMORY_MB,
            sockets: DEFAULT_SOCKETS,
        }
    }
}

/// Resource limits of this front.
#[derive(Clone, Debug)]
pub struct NodeLimits {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Number of file descriptors.
    pub sockets: usize,
}

/// The configuration of one front.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The front's name in the log.
    pub name: String,
    /// The address on which the front accepts clients.
    pub listen: SocketAddr,
    /// The seed of the front's random number generator.
    pub seed: u64,
    /// Resource limits.
    pub limits: NodeLimits,
    /// The coordinator to poll for the engine list; without one, the list stays as in
    /// `known_events`.
    pub coordinator: Option<SocketAddr>,
    /// The coordinator's earlier events, in the form of a response body.
    pub known_events: String,
    /// The settings object with the changes of the operator's file applied.
    pub settings: Settings,
    /// The operator's file; every feature is off without one.
    pub operator: OperatorConfig,
    /// The least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// For fault injection: a file that supplies the time instead of the machine's clock.
    pub clock_file: Option<PathBuf>,
}

impl NodeConfig {
    /// Reads the given environment variables and the files that they name: `NODE_CONFIG`, which is
    /// required, and `HALLMUX_OPERATOR`.
    pub fn read(variables: &HashMap<String, String>) -> Result<NodeConfig, Error> {
        let unset = Error::Unset {
            variable: "NODE_CONFIG",
            expected: "the path of this front's JSON file",
        };
        let path = variables.get("NODE_CONFIG").ok_or(unset)?;
        let text = text::read_file("NODE_CONFIG", path)?;
        NodeConfig::parse(variables, &text).map_err(|e| e.in_file("NODE_CONFIG", path))
    }

    /// Parses the text of the file that `NODE_CONFIG` names. Environment variables take precedence
    /// over its keys.
    pub fn parse(variables: &HashMap<String, String>, text: &str) -> Result<NodeConfig, Error> {
        let sources = Sources {
            variables,
            file: Section {
                name: "",
                text,
                line_offset: 0,
            },
        };
        let file: File = sources.file.read()?;
        let seed = file.seed.ok_or_else(|| missing_key("seed"))?;
        let limits = sources.limits(file.limits)?;
        let settings = file.settings.ok_or_else(|| missing_key("settings"))?;
        let mut settings = parse_section(&sources.section("settings", settings))?;
        let operator = sources.operator(&settings)?;
        operator.apply(&mut settings.agreement);
        Ok(NodeConfig {
            name: sources.variable_or_key("NODE_NAME", "name", file.name)?,
            listen: sources.address("NODE_LISTEN", "listen", file.listen)?,
            seed: sources.seed(&seed)?,
            limits,
            coordinator: sources.coordinator(file.coordinator)?,
            known_events: file.known.map_or(EMPTY_EVENTS, RawValue::get).to_string(),
            settings,
            operator,
            log_level: log_level(variables)?,
            clock_file: variables.get("HALLMUX_CLOCK").map(PathBuf::from),
        })
    }
}

/// The sources of a configuration. Environment variables take precedence over keys of the file,
/// because they are what the person who starts the program sees.
struct Sources<'a> {
    variables: &'a HashMap<String, String>,
    file: Section<'a>,
}

impl<'a> Sources<'a> {
    /// A section for the raw value of a key of the file.
    fn section(&self, name: &'a str, raw: &'a RawValue) -> Section<'a> {
        Section {
            name,
            text: raw.get(),
            line_offset: text::lines_before(self.file.text, raw.get()),
        }
    }

    /// Reads the resource limits, and rejects values with which a front would start but could serve
    /// no client.
    fn limits(&self, raw: Option<&'a RawValue>) -> Result<NodeLimits, Error> {
        let limits = match raw {
            Some(raw) => self.checked_limits(raw)?,
            None => FileLimits::default(),
        };
        Ok(NodeLimits {
            memory_bytes: limits.memory_mb.saturating_mul(1 << 20),
            sockets: limits.sockets,
        })
    }

    fn checked_limits(&self, raw: &'a RawValue) -> Result<FileLimits, Error> {
        let section = self.section("limits", raw);
        let limits: FileLimits = section.read()?;
        if limits.memory_mb < MIN_MEMORY_MB {
            return Err(section.error("memory_mb", KeyProblem::below_minimum(MIN_MEMORY_MB)));
        }
        if limits.sockets < MIN_SOCKETS {
            return Err(section.error("sockets", KeyProblem::below_minimum(MIN_SOCKETS)));
        }
        Ok(limits)
    }

    fn seed(&self, digits: &str) -> Result<u64, Error> {
        let seed = u64::from_str_radix(digits, 16);
        self.parse_result("seed", digits, seed, SEED_REMEDY)
    }

    fn coordinator(&self, address: Option<String>) -> Result<Option<SocketAddr>, Error> {
        let Some(address) = address else {
            return Ok(None);
        };
        let parsed = self.parse_result("coordinator", &address, address.parse(), ADDRESS_REMEDY);
        parsed.map(Some)
    }

    /// The value of an environment variable, or of a key if the variable is not set.
    fn variable_or_key(
        &self,
        variable: &'static str,
        key: &str,
        in_file: Option<String>,
    ) -> Result<String, Error> {
        let value = self.variables.get(variable).cloned().or(in_file);
        value.ok_or_else(|| {
            self.file
                .error(key, KeyProblem::MissingWithVariable { variable })
        })
    }

    fn address(
        &self,
        variable: &'static str,
        key: &str,
        in_file: Option<String>,
    ) -> Result<SocketAddr, Error> {
        let value = self.variable_or_key(variable, key, in_file)?;
        if self.variables.contains_key(variable) {
            return parse_variable(variable, &value, ADDRESS_REMEDY);
        }
        self.parse_result(key, &value, value.parse(), ADDRESS_REMEDY)
    }

    /// Turns a failed parse of a key's value into an error that names the key.
    fn parse_result<T, E: std::fmt::Display>(
        &self,
        key: &str,
        value: &str,
        read: Result<T, E>,
        remedy: &'static str,
    ) -> Result<T, Error> {
        read.map_err(|e| {
            let problem = KeyProblem::InvalidValue {
                value: value.to_string(),
                reason: e.to_string(),
                remedy,
            };
            self.file.error(key, problem)
        })
    }

    /// Reads the operator's file, if a variable names one.
    fn operator(&self, settings: &Settings) -> Result<OperatorConfig, Error> {
        let Some(path) = self.variables.get(OPERATOR_VARIABLE) else {
            return Ok(OperatorConfig::default());
        };
        let text = text::read_file(OPERATOR_VARIABLE, path)?;
        OperatorConfig::parse(&text, settings).map_err(|e| e.in_file(OPERATOR_VARIABLE, path))
    }
}

fn log_level(variables: &HashMap<String, String>) -> Result<log::LevelFilter, Error> {
    let level = variables.get("HALLMUX_LOG");
    let level = level.map_or(DEFAULT_LOG_LEVEL, String::as_str);
    parse_variable("HALLMUX_LOG", level, LOG_LEVEL_REMEDY)
}

fn missing_key(key: &str) -> Error {
    let position = TextPosition {
        path: key.to_string(),
        ..TextPosition::default()
    };
    Error::Key {
        position,
        problem: Box::new(KeyProblem::Missing),
    }
}

fn parse_variable<T>(variable: &'static str, value: &str, remedy: &'static str) -> Result<T, Error>
where
    T: FromStr<Err: std::fmt::Display>,
{
    let invalid = |e: T::Err| Error::Variable {
        variable,
        value: value.into(),
        reason: e.to_string(),
        remedy,
    };
    value.parse().map_err(invalid)
}
