//! The summaries that a front holds: one for each site and group, the highest version that was found good.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use ed25519_dalek::VerifyingKey;
use hallmux_hash::fnv1a;
use serde::{Deserialize, Serialize};

use crate::layers::{self, Detail};
use crate::load_markers::ReportedLoads;
use crate::retention::{Outcome, Retention};
use crate::sql::Query;
use crate::summary::{LoadNumbers, Summary, SummaryError};
use crate::value::Kind;
use crate::Micros;

/// What the operator says of summaries.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// The sites and their public keys.
    pub sites: BTreeMap<String, VerifyingKey>,
    /// The schema that a group's summaries must be of, where it is stated.
    pub schemas: BTreeMap<u32, u32>,
    /// The age in milliseconds beyond which a summary does not count.
    pub max_age_ms: u64,
    /// How far a site's clock may be ahead of this front's.
    pub max_ahead_ms: u64,
    /// Summaries in all.
    pub max_summaries: usize,
}

const SETTLE_TIME_MS: u64 = 5_000; // milliseconds after which others hold what is held here
const MAX_VERSIONS_SEEN: usize = 8; // versions of one summary that are not settled yet

/// A version, and which loads were in it.
struct SeenVersion {
    arrived_ms: u64,
    version: u64,
    loads: LoadNumbers,
}

/// A version of a summary, and how much of it there is. Between fronts it is written as these three, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeldVersion {
    /// Which summary, as [`summary_id`] numbers them.
    pub name: u64,
    /// Its version.
    pub version: u64,
    /// How much of it there is.
    pub detail: Detail,
}

struct HeldSummary {
    summary: Summary,
    bytes: Rc<[u8]>,
    /// In the order in which they came; the first is the settled one, where one is.
    versions_seen: VecDeque<SeenVersion>,
}

/// Notes a version that has come.
fn note_version(
    mut versions_seen: VecDeque<SeenVersion>,
    wall_ms: u64,
    summary: &Summary,
) -> VecDeque<SeenVersion> {
    while versions_seen
        .get(1)
        .is_some_and(|next| next.arrived_ms + SETTLE_TIME_MS <= wall_ms)
    {
        versions_seen.pop_front();
    }
    let latest = versions_seen.back();
    let is_new = latest.is_none_or(|n| {
        n.version < summary.version
            && n.arrived_ms + SETTLE_TIME_MS / (MAX_VERSIONS_SEEN as u64 - 2) <= wall_ms
    });
    if is_new && versions_seen.len() < MAX_VERSIONS_SEEN {
        let (version, loads) = (summary.version, summary.loads.clone());
        versions_seen.push_back(SeenVersion {
            arrived_ms: wall_ms,
            version,
            loads,
        });
    }
    versions_seen
}

/// The summaries that one front holds, checked and by site and group.
pub struct SummaryStore {
    settings: StoreSettings,
    held: BTreeMap<(String, u32), HeldSummary>,
    /// What is held and how fine, where that follows from what it spares; None: all that comes, whole.
    pub retention: Option<Retention>,
    /// What counted for nothing, by why.
    pub rejected: BTreeMap<&'static str, u64>,
}

/// The name that a site's summary of a group goes by between fronts.
pub fn summary_id(site: &str, group: u32) -> u64 {
    fnv1a(site.bytes().chain([0]).chain(group.to_le_bytes()))
}

impl SummaryStore {
    /// An empty store that holds summaries whole.
    pub fn new(settings: StoreSettings) -> SummaryStore {
        SummaryStore {
            settings,
            held: BTreeMap::new(),
            retention: None,
            rejected: BTreeMap::new(),
        }
    }

    /// Other terms hold from now on; what is of no site any more goes.
    pub fn reconfigure(&mut self, settings: StoreSettings) {
        let before = std::mem::replace(&mut self.settings, settings);
        let sites = &self.settings.sites;
        // Under another key of the site it may be anybody's.
        self.held.retain(|(site, _), _| {
            sites.get(site).is_some() && sites.get(site) == before.sites.get(site)
        });
    }

    /// Takes a site's word, from wherever it came. False: held already. What is refused changes nothing.
    pub fn accept(&mut self, wall_ms: u64, bytes: &[u8]) -> Result<bool, SummaryError> {
        let outcome = self.check_and_insert(wall_ms, bytes);
        if let Err(why) = &outcome {
            *self.rejected.entry(why.name()).or_default() += 1;
        }
        outcome
    }

    fn check_and_insert(&mut self, wall_ms: u64, bytes: &[u8]) -> Result<bool, SummaryError> {
        let summary = Summary::read(bytes, |site| self.settings.sites.get(site).copied())?;
        let (site, group, version) = (summary.site.clone(), summary.group, summary.version);
        self.check_validity(wall_ms, &summary)?;
        let known = self.held.get(&(site.clone(), group));
        if let Some(held) = known {
            match version.cmp(&held.summary.version) {
                std::cmp::Ordering::Less => {
                    return Err(SummaryError::Version {
                        site,
                        group,
                        version,
                        held: held.summary.version,
                    })
                }
                std::cmp::Ordering::Equal if held.bytes.starts_with(bytes) => return Ok(false),
                // More sheets of the same.
                std::cmp::Ordering::Equal if bytes.starts_with(&held.bytes) => {}
                // Two words under one version: the one that was first stays.
                std::cmp::Ordering::Equal => {
                    return Err(SummaryError::Version {
                        site,
                        group,
                        version,
                        held: version,
                    })
                }
                std::cmp::Ordering::Greater => {}
            }
        } else if self.held.len() >= self.settings.max_summaries {
            return Err(SummaryError::Full {
                site,
                group,
                held: self.held.len(),
            });
        }
        if let Some(retention) = &mut self.retention {
            let ends = layers::layer_ends(bytes).unwrap_or([bytes.len(); 3]);
            retention.version_arrived(
                (wall_ms * 1000) as Micros,
                summary_id(&site, group),
                version,
                ends,
            );
        }
        let wanted = self.wanted_detail(summary_id(&site, group));
        let key = (site, group);
        if wanted.is_none() {
            // An older one proves less than none: loads may have come since.
            self.held.remove(&key);
            return Ok(false);
        }
        let versions_seen = self
            .held
            .remove(&key)
            .map_or(VecDeque::new(), |held| held.versions_seen);
        let versions_seen = note_version(versions_seen, wall_ms, &summary);
        self.held.insert(
            key.clone(),
            HeldSummary {
                summary,
                bytes: bytes.into(),
                versions_seen,
            },
        );
        self.reduce_detail(&key, wanted);
        Ok(true)
    }

    /// How fine the summary of a name is to be held.
    pub fn wanted_detail(&self, name: u64) -> Option<Detail> {
        self.retention
            .as_ref()
            .map_or(Some(Detail::Full), |retention| {
                retention.wanted_detail(name)
            })
    }

    /// Chooses anew what is held, and lets go of the rest.
    pub fn choose(&mut self, wall_ms: u64) {
        let Some(retention) = &mut self.retention else {
            return;
        };
        retention.choose((wall_ms * 1000) as Micros);
        for key in self.held.keys().cloned().collect::<Vec<_>>() {
            let wanted = self.wanted_detail(summary_id(&key.0, key.1));
            self.reduce_detail(&key, wanted);
        }
    }

    /// Lets go of what is finer than wanted.
    fn reduce_detail(&mut self, key: &(String, u32), wanted: Option<Detail>) {
        let Some(held) = self.held.get_mut(key) else {
            return;
        };
        let Some(wanted) = wanted else {
            self.held.remove(key);
            return;
        };
        if held.summary.detail <= wanted {
            return;
        }
        // One that is not in sheets has no less of it.
        let Some(end) =
            layers::layer_ends(&held.bytes).and_then(|ends| ends.get(wanted as usize).copied())
        else {
            return;
        };
        let sites = &self.settings.sites;
        let reduced = held
            .bytes
            .get(..end)
            .and_then(|b| Some((b, Summary::read(b, |s| sites.get(s).copied()).ok()?)));
        match reduced {
            Some((bytes, summary)) => (held.bytes, held.summary) = (bytes.into(), summary),
            None => _ = self.held.remove(key),
        }
    }

    /// A scatter has left a site out by its summary, or has asked it and heard of no row.
    pub fn record_outcome(&mut self, wall_ms: u64, query: &Query, site: &str, asked: bool) {
        if self.retention.is_none() {
            return;
        }
        let now = (wall_ms * 1000) as Micros;
        let summary = self.current(wall_ms, site, query.group);
        let table =
            summary.and_then(|summary| Some((summary.detail, summary.table(&query.table)?)));
        let outcome = match table {
            None if asked => Outcome::Unknown,
            None => return,
            Some((_, table)) if !asked => {
                match query.condition.never_true(&table.without_filters()) {
                    true => Outcome::ByBounds,
                    false => Outcome::ByFilter,
                }
            }
            // It was asked for its loads.
            Some((_, table)) if query.condition.never_true(table) => return,
            Some(_) if !query.condition.has_equality() => return,
            Some((Detail::Bounds, _)) => Outcome::MissedByBounds,
            Some(_) => Outcome::MissedByFilter,
        };
        self.retention
            .iter_mut()
            .for_each(|retention| retention.record(now, summary_id(site, query.group), outcome));
    }

    /// The name and version of what a known site has signed.
    pub fn id_and_version(&self, bytes: &[u8]) -> Option<(u64, u64)> {
        let summary = Summary::read(bytes, |site| self.settings.sites.get(site).copied()).ok()?;
        Some((summary_id(&summary.site, summary.group), summary.version))
    }

    /// Whether the operator names this site.
    pub fn has_site(&self, site: &str) -> bool {
        self.settings.sites.contains_key(site)
    }

    /// Lets go of one.
    pub fn remove(&mut self, site: &str, group: u32) {
        self.held.remove(&(site.to_string(), group));
    }

    /// What a column holds, where all that is held speaks alike of it.
    pub fn column_kind(&self, group: u32, table: &str, column: &str) -> Option<Kind> {
        let tables = self
            .held
            .iter()
            .filter(|((_, held_group), _)| *held_group == group)
            .filter_map(|(_, held)| held.summary.table(table));
        let mut kinds = tables.map(|table| {
            table
                .columns
                .iter()
                .find(|c| c.name == column)
                .map(|c| c.kind)
        });
        let first = kinds.next()??;
        kinds.all(|kind| kind == Some(first)).then_some(first)
    }

    /// Bytes of what is held.
    pub fn size(&self) -> usize {
        self.held.values().map(|held| held.bytes.len()).sum()
    }

    /// Whether it may count now, apart from its version.
    fn check_validity(&self, wall_ms: u64, summary: &Summary) -> Result<(), SummaryError> {
        let (site, group) = (summary.site.clone(), summary.group);
        let (schema, made_ms) = (summary.schema, summary.made_ms);
        match self.settings.schemas.get(&group) {
            Some(&stated) if stated != schema => {
                return Err(SummaryError::Schema {
                    site,
                    group,
                    schema,
                    stated,
                })
            }
            _ => {}
        }
        let ahead_ms = made_ms.saturating_sub(wall_ms);
        if ahead_ms > self.settings.max_ahead_ms {
            return Err(SummaryError::Ahead {
                site,
                group,
                ahead_ms,
            });
        }
        let (age_ms, most_ms) = (wall_ms.saturating_sub(made_ms), self.settings.max_age_ms);
        if age_ms > most_ms {
            return Err(SummaryError::Old {
                site,
                group,
                age_ms,
                most_ms,
            });
        }
        Ok(())
    }

    /// A site's summary of a group, as long as it may count.
    pub fn current(&self, wall_ms: u64, site: &str, group: u32) -> Option<&Summary> {
        let held = self.held.get(&(site.to_string(), group))?;
        self.check_validity(wall_ms, &held.summary)
            .is_ok()
            .then_some(&held.summary)
    }

    /// What a site has said of loads into a group.
    pub fn reported_loads(&self, wall_ms: u64, site: &str, group: u32) -> ReportedLoads<'_> {
        let Some(held) = self.held.get(&(site.to_string(), group)) else {
            return ReportedLoads::default();
        };
        let newest = self
            .current(wall_ms, site, group)
            .map(|summary| (summary.version, &summary.loads));
        let settled = held
            .versions_seen
            .iter()
            .rev()
            .find(|seen| seen.arrived_ms + SETTLE_TIME_MS <= wall_ms);
        ReportedLoads {
            newest,
            settled: settled.map(|seen| (seen.version, &seen.loads)),
        }
    }

    /// How many summaries are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no summary is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// All that is held.
    pub fn versions(&self) -> impl Iterator<Item = HeldVersion> + '_ {
        let version_of = |((site, group), held): (&(String, u32), &HeldSummary)| HeldVersion {
            name: summary_id(site, *group),
            version: held.summary.version,
            detail: held.summary.detail,
        };
        self.held.iter().map(version_of)
    }

    /// The bytes of one that is held, as they came.
    pub fn bytes(&self, wanted: u64) -> Option<(u64, Rc<[u8]>)> {
        let mut all = self.held.iter();
        let found = all.find(|((site, group), _)| summary_id(site, *group) == wanted);
        found.map(|(_, held)| (held.summary.version, held.bytes.clone()))
    }
}
