//! The keys of the section `gossip.ledger` and their defaults. The type names appear in error
//! texts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

const DEFAULT_SHARDS: u16 = 16;
/// Maximum number of entries of a shard.
const DEFAULT_SHARD_ENTRIES: usize = 4_096;
/// Maximum size of a shard.
const DEFAULT_SHARD_BYTES: usize = 512 * 1_024;
const DEFAULT_REQUEST_TIMEOUT_MS: f64 = 500.0;
/// Longer than a restart, which loses no replica.
const DEFAULT_REPAIR_AFTER_MS: f64 = 30_000.0;
/// Bytes a second that each owner of a shard uses to rebuild replicas.
const DEFAULT_REPAIR_BYTES_PER_S: u32 = 65_536;
const DEFAULT_MAX_MOVING_PERCENT: u8 = 25;
/// Longer than most outages of a zone's power or uplink.
const DEFAULT_ZONE_REPAIR_AFTER_MS: f64 = 600_000.0;
const DEFAULT_CLOCK_SKEW_MS: u64 = 500;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberFile {
    pub at: SocketAddr,
    #[serde(default)]
    pub zone: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerFile {
    pub fleet: String,
    pub members: BTreeMap<String, MemberFile>,
    pub directory: Option<String>,
    pub drill: Option<String>,
    #[serde(default = "default_on_disk_failure")]
    pub on_disk_failure: String,
    #[serde(default)]
    pub copies: Option<usize>,
    #[serde(default = "default_shards")]
    pub shards: u16,
    #[serde(default = "default_entries")]
    pub most_entries: usize,
    #[serde(default = "default_bytes")]
    pub most_bytes: usize,
    #[serde(default = "default_patience")]
    pub patience_ms: f64,
    #[serde(default = "default_repair_after")]
    pub repair_after_ms: f64,
    #[serde(default = "default_repair_bytes")]
    pub repair_bytes: u32,
    #[serde(default = "default_moves_percent")]
    pub moves_percent: u8,
    #[serde(default = "default_zone_after")]
    pub zone_after_ms: f64,
    #[serde(default = "default_clocks_apart")]
    pub clocks_apart_ms: u64,
}

fn default_on_disk_failure() -> String {
    "refuse".to_string()
}

fn default_shards() -> u16 {
    DEFAULT_SHARDS
}

fn default_entries() -> usize {
    DEFAULT_SHARD_ENTRIES
}

fn default_bytes() -> usize {
    DEFAULT_SHARD_BYTES
}

fn default_patience() -> f64 {
    DEFAULT_REQUEST_TIMEOUT_MS
}

fn default_repair_after() -> f64 {
    DEFAULT_REPAIR_AFTER_MS
}

fn default_repair_bytes() -> u32 {
    DEFAULT_REPAIR_BYTES_PER_S
}

fn default_moves_percent() -> u8 {
    DEFAULT_MAX_MOVING_PERCENT
}

fn default_zone_after() -> f64 {
    DEFAULT_ZONE_REPAIR_AFTER_MS
}

fn default_clocks_apart() -> u64 {
    DEFAULT_CLOCK_SKEW_MS
}
