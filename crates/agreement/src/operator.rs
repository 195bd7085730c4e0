//! The operator's own file: JSON5, named by the variable `HALLMUX_OPERATOR`. It switches on what the platform's
//! configuration knows nothing of. Without it everything here is off. Unknown keys end the start.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hallmux::interface::{Micros, ReportPlaces};
use serde::Deserialize;

use crate::contract::{micros, Contract};

const MOST_SESSIONS: usize = 5_000; // sessions, where the file is silent; descriptors bound them before that
const START_UP_MS: f64 = 5_000.0; // milliseconds for start-up and authentication; drivers take some ten
const MOST_STATEMENTS: usize = 1_000; // prepared statements of a session; drivers keep some hundred
const MOST_PORTALS: usize = 100; // portals open at once in a session's transaction; drivers hold a few
const MOST_SETTINGS: usize = 64; // settings that a session may carry; drivers set some ten
const MESSAGE_BYTES: usize = 1 << 20; // bytes of a message or a unit of a client; statements are smaller
const BUFFER_BYTES: usize = 64 << 10; // bytes of a result held before they go on, and left untaken after
const ENGINE_CONNECTIONS: usize = 64; // connections to an engine; its own limit is usually 100
const PREPARED: usize = 256; // prepared statements on an engine connection; each costs it some 10 KB
const TRANSACTION_IDLE_MS: f64 = 10_000.0; // milliseconds that an open transaction may stand idle
const CONNECTION_IDLE_MS: f64 = 60_000.0; // milliseconds after which a resting engine connection is closed
const CONNECTION_AGE_MS: f64 = 3_600_000.0; // milliseconds after which an engine connection is not reused

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    postgres: Option<PostgresFile>,
    gossip: Option<GossipFile>,
    load_signal: Option<String>,
    #[serde(default)]
    clock_ahead_ms: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GossipFile {
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    secret_file: String,
    peers: BTreeMap<String, String>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default = "zone_quorum")]
    zone_quorum: usize,
    ownership: Option<OwnershipFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnershipFile {
    fleet: String,
    voters: BTreeMap<String, SocketAddr>,
    directory: String,
    #[serde(default = "lease_ms")]
    lease_ms: f64,
    #[serde(default = "drift_ppm")]
    drift_ppm: u32,
}

fn lease_ms() -> f64 {
    LEASE_MS
}

fn drift_ppm() -> u32 {
    DRIFT_PPM
}

const LEASE_MS: f64 = 3_000.0; // milliseconds: some elections of a third of a second, and no zone is lost for less
const DRIFT_PPM: u32 = 10_000; // millionths: a hundred times what quartz does, for machines that are throttled
const MOST_DRIFT_PPM: u32 = 200_000; // millionths; a clock further off is broken

fn zone_quorum() -> usize {
    crate::contract::ZONE_QUORUM
}

const MOST_AHEAD_MS: f64 = 600_000.0; // milliseconds either way; clocks further apart are not drilled
const MOST_QUORUM: usize = 64; // vantages; more fronts than that never agree in time

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PostgresFile {
    listen: SocketAddr,
    engines: Vec<EnginesFile>,
    users: BTreeMap<String, UserFile>,
    #[serde(default)]
    limits: LimitsFile,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EnginesFile {
    kinds: Vec<String>,
    port: Option<u16>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UserFile {
    verifier: Option<String>,
    #[serde(default)]
    trust: bool,
    member: Option<String>,
    workload: Option<String>,
    engine_user: Option<String>,
    engine_password: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LimitsFile {
    sessions: usize,
    start_up_ms: f64,
    statements: usize,
    portals: usize,
    settings: usize,
    message_bytes: usize,
    buffer_bytes: usize,
    engine_connections: usize,
    prepared: usize,
    transaction_idle_ms: f64,
    connection_idle_ms: f64,
    connection_age_ms: f64,
}

impl Default for LimitsFile {
    fn default() -> Self {
        LimitsFile {
            sessions: MOST_SESSIONS,
            start_up_ms: START_UP_MS,
            statements: MOST_STATEMENTS,
            portals: MOST_PORTALS,
            settings: MOST_SETTINGS,
            message_bytes: MESSAGE_BYTES,
            buffer_bytes: BUFFER_BYTES,
            engine_connections: ENGINE_CONNECTIONS,
            prepared: PREPARED,
            transaction_idle_ms: TRANSACTION_IDLE_MS,
            connection_idle_ms: CONNECTION_IDLE_MS,
            connection_age_ms: CONNECTION_AGE_MS,
        }
    }
}

/// All that the operator has switched on.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    pub postgres: Option<Postgres>,
    pub gossip: Option<Gossip>,
    /// Which figure of the engines' load reports tells what they hold; where silent, as the settings name them.
    pub load_signal: Option<LoadSignal>,
    /// For drills: this front's clock reads so much more than the machine's.
    pub clock_ahead: Micros,
}

/// The shape of deployment as the engines' reports show it: they tell the statements in flight (the earlier
/// shape), or only their utilization, the share of cores busy, with statements waiting for memory (the later).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    InFlight,
    Utilization,
}

impl Operator {
    /// Makes the module read the figure chosen and leave the other.
    pub fn apply(&self, report: &mut ReportPlaces) {
        match self.load_signal {
            Some(LoadSignal::InFlight) => report.busy = None,
            Some(LoadSignal::Utilization) => report.active = None,
            None => {}
        }
    }
}

/// Words with other fronts: where they come in, whose count, whom to ask first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    pub listen: SocketAddr,
    /// The address that other fronts are told, where it is not the one it listens on.
    pub advertise: Option<SocketAddr>,
    /// The file that holds the secret half of this front's key pair, as 64 hexadecimal digits.
    pub secret_file: String,
    /// Public keys, by the names that the log gives them.
    pub peers: Vec<(String, [u8; 32])>,
    pub seeds: Vec<SocketAddr>,
    /// Believed fronts of as many vantages whose word of most of a zone leads the fleet out of it; 0: never.
    pub zone_quorum: usize,
    /// One owner at a time for work on behalf of the fleet, where voters are named.
    pub ownership: Option<Ownership>,
}

/// Who grants the leases of work on behalf of the fleet, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ownership {
    pub fleet: String,
    /// Public keys of the voters, and where each is heard.
    pub voters: Vec<([u8; 32], SocketAddr)>,
    /// Where a voter keeps what it must not forget.
    pub directory: String,
    pub lease: Micros,
    pub drift_ppm: u32,
}

/// PostgreSQL sessions: where they come in, which engines they go to, who may open them.
#[derive(Clone, Debug)]
pub struct Postgres {
    pub listen: SocketAddr,
    pub engines: Vec<SpeakingEngines>,
    pub users: BTreeMap<String, User>,
    pub limits: SessionLimits,
}

/// Engines of the list that speak PostgreSQL.
#[derive(Clone, Debug)]
pub struct SpeakingEngines {
    pub kinds: Vec<String>,
    /// Beside lines, at this port of the listed address; without it at the listed address itself, and no lines.
    pub port: Option<u16>,
}

/// How a user of PostgreSQL sessions proves who it is, and what its statements are by default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct User {
    /// The SCRAM-SHA-256 verifier in the form of `pg_authid`; without one the user is trusted.
    pub verifier: Option<String>,
    pub member: Option<String>,
    pub workload: Option<String>,
    /// The name at the engines.
    pub engine_user: String,
    pub engine_password: Option<String>,
}

/// Bounds on sessions; bytes, counts and microseconds.
#[derive(Clone, Debug)]
pub struct SessionLimits {
    pub sessions: usize,
    pub start_up: Micros,
    pub statements: usize,
    pub portals: usize,
    pub settings: usize,
    pub message_bytes: usize,
    pub buffer_bytes: usize,
    pub engine_connections: usize,
    pub prepared: usize,
    pub transaction_idle: Micros,
    pub connection_idle: Micros,
    pub connection_age: Micros,
}

impl Operator {
    /// Reads the file's text and checks it against what was agreed. An error names path and line.
    pub fn parse(text: &str, contract: &Contract) -> Result<Operator, String> {
        // Once for the form alone, as only that pass sees what follows the end.
        json5::from_str::<serde::de::IgnoredAny>(text).map_err(|e| e.to_string())?;
        let mut reader = json5::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let path = e.path().to_string();
            fault(text, &path, &e.into_inner().to_string())
        })?;
        let postgres = file.postgres.map(|p| postgres(text, p, contract)).transpose()?;
        let gossip = file.gossip.map(|g| gossip(text, g)).transpose()?;
        let load_signal = file.load_signal.map(|l| load_signal(text, &l, contract)).transpose()?;
        let ahead = file.clock_ahead_ms;
        if !ahead.is_finite() || ahead.abs() > MOST_AHEAD_MS {
            return Err(fault(text, "clock_ahead_ms", &format!("is beyond {MOST_AHEAD_MS} either way")));
        }
        Ok(Operator { postgres, gossip, load_signal, clock_ahead: micros(ahead) })
    }
}

fn fault(text: &str, path: &str, what: &str) -> String {
    // The library says where as well, but of the value's end.
    let what = what.split(" at line ").next().unwrap_or(what);
    match line_of(text, path) {
        Some(line) => format!("line {line}: {path}: {what}"),
        None => format!("{path}: {what}"),
    }
}

/// A shape of deployment that the settings' reports do not have is refused: the front would read nothing.
fn load_signal(text: &str, word: &str, contract: &Contract) -> Result<LoadSignal, String> {
    let (signal, figure) = match word {
        "in_flight" => (LoadSignal::InFlight, "active"),
        "utilization" => (LoadSignal::Utilization, "cpu"),
        _ => {
            return Err(fault(
                text,
                "load_signal",
                &format!("'{word}' is neither 'in_flight' nor 'utilization'"),
            ))
        }
    };
    if contract.names.report.iter().any(|name| name == figure) {
        return Ok(signal);
    }
    let named = contract.names.report.join(", ");
    let what = format!("'{word}' needs '{figure}' among the settings' report.names, which are [{named}]");
    Err(fault(text, "load_signal", &what))
}

fn gossip(text: &str, mut file: GossipFile) -> Result<Gossip, String> {
    let mut peers = Vec::new();
    for (name, key) in std::mem::take(&mut file.peers) {
        match hexadecimal(&key) {
            Some(key) => peers.push((name, key)),
            None => {
                let path = format!("gossip.peers.{name}");
                return Err(fault(text, &path, "is no key: 64 hexadecimal digits"));
            }
        }
    }
    if file.zone_quorum > MOST_QUORUM {
        return Err(fault(text, "gossip.zone_quorum", &format!("is over {MOST_QUORUM}")));
    }
    let GossipFile { listen, advertise, secret_file, seeds, zone_quorum, ownership, .. } = file;
    let ownership = ownership.map(|o| owned(text, o, &peers)).transpose()?;
    Ok(Gossip { listen, advertise, secret_file, peers, seeds, zone_quorum, ownership })
}

fn owned(text: &str, file: OwnershipFile, peers: &[(String, [u8; 32])]) -> Result<Ownership, String> {
    let refuse = |key: &str, why: &str| Err(fault(text, &format!("gossip.ownership.{key}"), why));
    if !matches!(file.voters.len(), 3 | 5) {
        return refuse("voters", "names neither 3 nor 5 fronts");
    }
    if !(500.0..=60_000.0).contains(&file.lease_ms) {
        return refuse("lease_ms", "is not from 500 to 60000");
    }
    if file.drift_ppm > MOST_DRIFT_PPM {
        return refuse("drift_ppm", &format!("is over {MOST_DRIFT_PPM}"));
    }
    if file.directory.is_empty() {
        return refuse("directory", "names none: a voter that forgets what it voted for must not vote again");
    }
    let mut voters = Vec::new();
    for (name, at) in file.voters {
        match peers.iter().find(|(peer, _)| *peer == name) {
            Some((_, key)) => voters.push((*key, at)),
            None => return refuse(&format!("voters.{name}"), "is not among gossip.peers"),
        }
    }
    let (fleet, directory, drift_ppm) = (file.fleet, file.directory, file.drift_ppm);
    Ok(Ownership { fleet, voters, directory, lease: micros(file.lease_ms), drift_ppm })
}

/// Thirty-two bytes, as 64 hexadecimal digits.
pub fn hexadecimal(text: &str) -> Option<[u8; 32]> {
    let digits = text.trim().as_bytes();
    let mut bytes = [0; 32];
    for (n, byte) in bytes.iter_mut().enumerate() {
        let digit = |at: usize| digits.get(at).and_then(|c| (*c as char).to_digit(16));
        *byte = (digit(2 * n)? * 16 + digit(2 * n + 1)?) as u8;
    }
    (digits.len() == 64).then_some(bytes)
}

fn postgres(text: &str, file: PostgresFile, contract: &Contract) -> Result<Postgres, String> {
    let names = &contract.names;
    let known = |path: String, list: &[String], name: &str| match list.iter().any(|n| n == name) {
        true => Ok(()),
        false => Err(fault(text, &path, &format!("'{name}' is not among the settings' {list:?}"))),
    };
    if file.engines.is_empty() {
        return Err(fault(text, "postgres.engines", "names no engines"));
    }
    for (i, engines) in file.engines.iter().enumerate() {
        for (k, kind) in engines.kinds.iter().enumerate() {
            known(format!("postgres.engines[{i}].kinds[{k}]"), &names.kinds, kind)?;
        }
    }
    let mut users = BTreeMap::new();
    for (name, user) in file.users {
        let path = format!("postgres.users.{name}");
        match (&user.verifier, user.trust) {
            (None, false) => return Err(fault(text, &path, "needs 'verifier', or 'trust: true'")),
            (Some(_), true) => return Err(fault(text, &path, "has both 'verifier' and 'trust'")),
            (Some(verifier), false) if !is_verifier(verifier) => {
                let form = "SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY";
                return Err(fault(text, &format!("{path}.verifier"), &format!("is not of the form {form}")));
            }
            _ => {}
        }
        if let Some(member) = &user.member {
            known(format!("{path}.member"), &names.customers, member)?;
        }
        if let Some(workload) = &user.workload {
            known(format!("{path}.workload"), &names.workloads, workload)?;
        }
        let user = User {
            verifier: user.verifier,
            member: user.member,
            workload: user.workload,
            engine_user: user.engine_user.unwrap_or_else(|| name.clone()),
            engine_password: user.engine_password,
        };
        users.insert(name, user);
    }
    let l = file.limits;
    let at_least = |key: &str, value: f64, least: f64| match value.is_finite() && value >= least {
        true => Ok(()),
        false => Err(fault(text, &format!("postgres.limits.{key}"), &format!("is under {least}"))),
    };
    for (key, value, least) in [
        ("sessions", l.sessions as f64, 1.0),
        ("start_up_ms", l.start_up_ms, 10.0),
        ("statements", l.statements as f64, 1.0),
        ("portals", l.portals as f64, 1.0),
        ("settings", l.settings as f64, 1.0),
        ("message_bytes", l.message_bytes as f64, 1024.0),
        ("buffer_bytes", l.buffer_bytes as f64, 1024.0),
        ("engine_connections", l.engine_connections as f64, 1.0),
        ("prepared", l.prepared as f64, 1.0),
        ("transaction_idle_ms", l.transaction_idle_ms, 10.0),
        ("connection_idle_ms", l.connection_idle_ms, 10.0),
        ("connection_age_ms", l.connection_age_ms, 10.0),
    ] {
        at_least(key, value, least)?;
    }
    let engines = file.engines.into_iter().map(|e| SpeakingEngines { kinds: e.kinds, port: e.port });
    Ok(Postgres {
        listen: file.listen,
        engines: engines.collect(),
        users,
        limits: SessionLimits {
            sessions: l.sessions,
            start_up: micros(l.start_up_ms),
            statements: l.statements,
            portals: l.portals,
            settings: l.settings,
            message_bytes: l.message_bytes,
            buffer_bytes: l.buffer_bytes,
            engine_connections: l.engine_connections,
            prepared: l.prepared,
            transaction_idle: micros(l.transaction_idle_ms),
            connection_idle: micros(l.connection_idle_ms),
            connection_age: micros(l.connection_age_ms),
        },
    })
}

/// The form alone; the protocol's own module reads what it holds.
fn is_verifier(text: &str) -> bool {
    let Some((head, keys)) = text.strip_prefix("SCRAM-SHA-256$").and_then(|rest| rest.split_once('$')) else {
        return false;
    };
    let Some((iterations, salt)) = head.split_once(':') else { return false };
    let Some((stored, server)) = keys.split_once(':') else { return false };
    let base64 = |c: char| c.is_ascii_alphanumeric() || "+/=".contains(c);
    let key = |text: &str| text.len() == 44 && text.chars().all(base64);
    let number = iterations.parse::<u32>().is_ok_and(|n| n > 0);
    number && !salt.is_empty() && salt.chars().all(base64) && key(stored) && key(server)
}

/// The line on which the value at a path like `a.b[2].c` begins, or that of its nearest parent that is there.
fn line_of(text: &str, path: &str) -> Option<usize> {
    let parts = path.replace('[', ".").replace(']', "");
    let mut wanted: Vec<&str> = parts.split('.').filter(|p| !p.is_empty()).collect();
    wanted.truncate(32);
    let marks = marks(text);
    loop {
        let found = marks.iter().find(|(at, _)| at.iter().map(String::as_str).eq(wanted.iter().copied()));
        if let Some((_, line)) = found {
            return Some(*line);
        }
        wanted.pop()?;
    }
}

/// The path and line of each key and element of a JSON5 text that is known to be well-formed.
fn marks(text: &str) -> Vec<(Vec<String>, usize)> {
    let (mut marks, mut path) = (Vec::new(), Vec::<String>::new());
    let mut elements: Vec<Option<usize>> = Vec::new(); // of each open bracket: the next element, if an array
    let (mut line, mut word, mut word_line) = (1, String::new(), 1);
    let mut rest = text.chars().peekable();
    let mut value_next = false; // a colon came: what follows is a value
    while let Some(c) = rest.next() {
        match c {
            '\n' => line += 1,
            '/' if rest.peek() == Some(&'/') => while rest.next_if(|c| *c != '\n').is_some() {},
            '/' if rest.peek() == Some(&'*') => {
                let mut last = ' ';
                for c in rest.by_ref() {
                    line += usize::from(c == '\n');
                    if last == '*' && c == '/' {
                        break;
                    }
                    last = c;
                }
            }
            '"' | '\'' => {
                (word, word_line) = (String::new(), line);
                while let Some(inner) = rest.next().filter(|inner| *inner != c) {
                    line += usize::from(inner == '\n');
                    word.extend(if inner == '\\' { rest.next() } else { Some(inner) });
                }
            }
            ':' if !value_next => {
                path.push(std::mem::take(&mut word));
                marks.push((path.clone(), word_line));
                value_next = true;
            }
            '{' | '[' => {
                if let Some(Some(n)) = elements.last_mut() {
                    path.push(n.to_string());
                    marks.push((path.clone(), line));
                    *n += 1;
                }
                elements.push((c == '[').then_some(0));
                value_next = false;
            }
            ',' | '}' | ']' => {
                if let Some(Some(n)) = elements.last_mut().filter(|_| !word.is_empty()) {
                    marks.push((path.iter().cloned().chain([n.to_string()]).collect(), word_line));
                    *n += 1;
                }
                word.clear();
                if value_next {
                    path.pop();
                }
                value_next = false;
                if c != ',' {
                    elements.pop();
                    let element = matches!(elements.last(), Some(Some(_)));
                    // What closes was itself a value of a key, or an element.
                    value_next = !element && !path.is_empty();
                    if element {
                        path.pop();
                    }
                }
            }
            c if c.is_whitespace() => {}
            c => {
                if word.is_empty() {
                    word_line = line;
                }
                word.push(c);
            }
        }
    }
    marks
}

#[cfg(test)]
mod tests {
    use super::*;

    const SETTINGS: &str = r#"{"instances": 1, "areas": ["here"], "kinds": ["std", "pg"], "rules": {},
        "customers": [{"name": "acme"}],
        "requestClasses": [{"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"}]}"#;

    fn read(text: &str) -> Result<Operator, String> {
        Operator::parse(text, &crate::contract(SETTINGS).unwrap())
    }

    const GOOD: &str = "{
        // comments and bare keys
        postgres: {
            listen: '127.0.0.1:5432',
            engines: [
                { kinds: ['pg'] },
                { kinds: ['std'], port: 5433 },
            ],
            users: {
                portal: { trust: true, member: 'acme', workload: 'lookup' },
            },
            limits: { sessions: 10 },
        },
    }";

    const REPORTING: &str = r#"{"instances": 120, "areas": ["here"], "kinds": ["std"], "rules": {},
        "report": {"names": ["cpu", "waiting"], "source": "on_probe"},
        "requestClasses": [{"name": "lookup", "aimMs": 1000, "deadlineMs": 5000, "repeat": "repeatable"}]}"#;

    #[test]
    fn the_load_signal_follows_the_reports_unless_chosen_and_a_mix_is_refused() {
        let contract = crate::contract(REPORTING).unwrap();
        let places = &contract.agreement.report;
        assert_eq!((places.active, places.busy, places.waiting), (None, Some(0), Some(1)));
        // Where the file is silent, nothing changes: the settings alone choose the shape.
        let silent = Operator::parse("{}", &contract).unwrap();
        assert_eq!(silent.load_signal, None);
        let chosen = Operator::parse("{ load_signal: 'utilization' }", &contract).unwrap();
        assert_eq!(chosen.load_signal, Some(LoadSignal::Utilization));
        // The earlier shape with reports of the later one: refused, with the key and its line.
        let mixed = Operator::parse("{\n  load_signal: 'in_flight',\n}", &contract).unwrap_err();
        assert!(mixed.starts_with("line 2: load_signal: 'in_flight' needs 'active'"), "{mixed}");
        let unknown = Operator::parse("{ load_signal: 'rough' }", &contract).unwrap_err();
        assert!(unknown.starts_with("line 1: load_signal: 'rough' is neither"), "{unknown}");
    }

    #[test]
    fn a_chosen_load_signal_leaves_the_other_figure_unread() {
        let both = REPORTING.replace(r#"["cpu", "waiting"]"#, r#"["active", "cpu"]"#);
        let contract = crate::contract(&both).unwrap();
        let (mut earlier, mut later) = (contract.agreement.report.clone(), contract.agreement.report.clone());
        Operator::parse("{ load_signal: 'in_flight' }", &contract).unwrap().apply(&mut earlier);
        Operator::parse("{ load_signal: 'utilization' }", &contract).unwrap().apply(&mut later);
        assert_eq!((earlier.active, earlier.busy), (Some(0), None));
        assert_eq!((later.active, later.busy), (None, Some(1)));
    }

    #[test]
    fn a_whole_file_is_read_and_the_rest_defaulted() {
        let postgres = read(GOOD).unwrap().postgres.unwrap();
        assert_eq!(postgres.users["portal"].engine_user, "portal");
        assert_eq!((postgres.limits.sessions, postgres.limits.statements), (10, MOST_STATEMENTS));
        assert_eq!(postgres.engines[1].port, Some(5433));
        assert!(read("{}").unwrap().postgres.is_none());
        let key = "0f".repeat(32);
        let gossip =
            format!("{{ gossip: {{ listen: '127.0.0.1:0', secret_file: 's', peers: {{ a: '{key}' }} }} }}");
        assert_eq!(read(&gossip).unwrap().gossip.unwrap().peers, [("a".to_string(), [15; 32])]);
        let why = read(&gossip.replace(&key, &key[1..])).unwrap_err();
        assert!(why.starts_with("line 1: gossip.peers.a: is no key"), "{why}");
        assert_eq!(read(&gossip).unwrap().gossip.unwrap().zone_quorum, 2);
        let off = gossip.replace("peers:", "zone_quorum: 0, peers:");
        assert_eq!(read(&off).unwrap().gossip.unwrap().zone_quorum, 0);
        let why = read(&gossip.replace("peers:", "\nzone_quorum: 65, peers:")).unwrap_err();
        assert!(why.starts_with("line 2: gossip.zone_quorum: is over 64"), "{why}");
    }

    #[test]
    fn ownership_names_three_or_five_known_voters_and_a_directory() {
        let key = |n: u8| format!("{n:02x}").repeat(32);
        let peers: Vec<String> = (1..=4).map(|n| format!("f{n}: '{}'", key(n))).collect();
        let with = |ownership: &str| {
            let peers = peers.join(", ");
            read(&format!(
                "{{ gossip: {{ listen: '127.0.0.1:1', secret_file: 's', peers: {{ {peers} }},\n ownership: {{ {ownership} }} }} }}"
            ))
        };
        let voters = "voters: { f1: '127.0.0.1:1', f2: '127.0.0.1:2', f3: '127.0.0.1:3' }";
        let good = with(&format!("fleet: 'campus', {voters}, directory: '/var/lib/hallmux'")).unwrap();
        let owned = good.gossip.unwrap().ownership.unwrap();
        assert_eq!((owned.voters.len(), owned.lease, owned.drift_ppm), (3, 3_000_000, 10_000));
        assert_eq!(owned.voters[1], ([2; 32], "127.0.0.1:2".parse().unwrap()));
        for (from, to, why) in [
            (", f3: '127.0.0.1:3'", "", "gossip.ownership.voters: names neither 3 nor 5 fronts"),
            ("f3:", "f9:", "gossip.ownership.voters.f9: is not among gossip.peers"),
            ("fleet:", "lease_ms: 499, fleet:", "gossip.ownership.lease_ms: is not from 500 to 60000"),
            ("fleet:", "drift_ppm: 200001, fleet:", "gossip.ownership.drift_ppm: is over 200000"),
            ("'/var/lib/hallmux'", "''", "gossip.ownership.directory: names none"),
        ] {
            let text = format!("fleet: 'campus', {voters}, directory: '/var/lib/hallmux'").replace(from, to);
            let refused = with(&text).unwrap_err();
            assert!(refused.starts_with(&format!("line 2: {why}")), "{refused}");
        }
        let silent = with(&format!("fleet: 'campus', {voters}")).unwrap_err();
        assert!(silent.contains("directory"), "{silent}");
    }

    #[test]
    fn what_is_unknown_or_wrong_is_named_with_its_path_and_line() {
        for (from, to, says) in [
            ("sessions: 10", "sesions: 10", "line 12: postgres.limits.sesions: unknown field"),
            ("sessions: 10", "sessions: 0", "line 12: postgres.limits.sessions: is under 1"),
            ("sessions: 10", "sessions: 'x'", "line 12: postgres.limits.sessions: "),
            ("port: 5433", "port: 70000", "line 7: postgres.engines[1].port: "),
            ("['pg']", "['pq']", "line 6: postgres.engines[0].kinds[0]: 'pq' is not among"),
            ("member: 'acme'", "member: 'acne'", "line 10: postgres.users.portal.member: 'acne'"),
            ("workload: 'lookup'", "workload: 'x'", "line 10: postgres.users.portal.workload: 'x'"),
            ("trust: true, ", "", "line 10: postgres.users.portal: needs 'verifier'"),
            ("trust: true", "verifier: 'md5'", "line 10: postgres.users.portal.verifier: is not of"),
            ("'127.0.0.1:5432'", "'here'", "line 4: postgres.listen: "),
            ("limits:", "limit:", "line 12: postgres.limit: unknown field"),
        ] {
            let text = GOOD.replace(from, to);
            let why = read(&text).unwrap_err();
            assert!(why.starts_with(says), "{to}: {why}");
        }
        assert!(read("{ postgres: ").unwrap_err().contains("line 1"));
        assert!(read("{} x").is_err());
    }
}
