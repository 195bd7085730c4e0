//! The summaries that a front holds: for each site and group the highest valid version received.

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

/// The operator's settings for summaries.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// The sites and their public keys.
    pub sites: BTreeMap<String, VerifyingKey>,
    /// The schema that a group's summaries must have, where it is configured.
    pub schemas: BTreeMap<u32, u32>,
    /// The age in milliseconds beyond which a summary is not valid.
    pub max_age_ms: u64,
    /// The number of milliseconds by which a site's clock may be ahead of this front's.
    pub max_ahead_ms: u64,
    /// The maximum number of summaries held.
    pub max_summaries: usize,
}

// After this time peers are expected to hold what is held here.
const SETTLE_TIME_MS: u64 = 5_000;
// Versions of one summary that have not settled.
const MAX_VERSIONS_SEEN: usize = 8;

/// A version that was received, and the loads in it.
struct SeenVersion {
    arrived_ms: u64,
    version: u64,
    loads: LoadNumbers,
}

/// A version of a summary, and how much of it is available. Fronts exchange these three fields in
/// this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The summary's id, as [`summary_id`] computes it.
    pub name: u64,
    /// The version of the summary.
    pub version: u64,
    /// The detail that is available.
    pub detail: Detail,
}

struct HeldSummary {
    summary: Summary,
    bytes: Rc<[u8]>,
    /// In the order of arrival; the first one is the settled version, if there is one.
    versions_seen: VecDeque<SeenVersion>,
}

/// Records the arrival of a version.
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

/// The verified summaries that a front holds, by site and group.
pub struct SummaryStore {
    settings: StoreSettings,
    held: BTreeMap<(String, u32), HeldSummary>,
    /// Determines which summaries are held and in which detail, by their benefit. None: all
    /// summaries are held completely.
    pub retention: Option<Retention>,
    /// The number of rejected summaries, by reason.
    pub rejected: BTreeMap<&'static str, u64>,
}

/// The id by which fronts refer to a site's summary of a group.
pub fn summary_id(site: &str, group: u32) -> u64 {
    fnv1a(site.bytes().chain([0]).chain(group.to_le_bytes()))
}

impl SummaryStore {
    /// Creates an empty store that holds summaries completely.
    pub fn new(settings: StoreSettings) -> SummaryStore {
        SummaryStore {
            settings,
            held: BTreeMap::new(),
            retention: None,
            rejected: BTreeMap::new(),
        }
    }

    /// Applies other settings and removes the summaries of sites that they do not contain.
    pub fn reconfigure(&mut self, settings: StoreSettings) {
        let before = std::mem::replace(&mut self.settings, settings);
        let sites = &self.settings.sites;
        // Summaries of a site whose key has changed may come from anyone.
        self.held.retain(|(site, _), _| {
            sites.get(site).is_some() && sites.get(site) == before.sites.get(site)
        });
    }

    /// Verifies and stores a summary from any source. Returns false if it was held already. A
    /// summary that is rejected changes nothing.
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
                // More layers of the same summary.
                std::cmp::Ordering::Equal if bytes.starts_with(&held.bytes) => {}
                // Two summaries with the same version: the first one is kept.
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
            // An older version must not be kept, since it does not cover later loads.
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

    /// The detail in which a summary is to be held; None if not at all.
    pub fn wanted_detail(&self, name: u64) -> Option<Detail> {
        self.retention
            .as_ref()
            .map_or(Some(Detail::Full), |retention| {
                retention.wanted_detail(name)
            })
    }

    /// Chooses again what is held, and removes the rest.
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

    /// Removes the detail beyond what is wanted.
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
        // A summary that is not layered can't be reduced.
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

    /// Records that a scatter left a site out because of its summary, or asked it and received no
    /// row.
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
            // The site was asked because of loads.
            Some((_, table)) if query.condition.never_true(table) => return,
            Some(_) if !query.condition.has_equality() => return,
            Some((Detail::Bounds, _)) => Outcome::MissedByBounds,
            Some(_) => Outcome::MissedByFilter,
        };
        self.retention
            .iter_mut()
            .for_each(|retention| retention.record(now, summary_id(site, query.group), outcome));
    }

    /// The id and version of a summary that a configured site has signed.
    pub fn id_and_version(&self, bytes: &[u8]) -> Option<(u64, u64)> {
        let summary = Summary::read(bytes, |site| self.settings.sites.get(site).copied()).ok()?;
        Some((summary_id(&summary.site, summary.group), summary.version))
    }

    /// Whether the site is configured.
    pub fn has_site(&self, site: &str) -> bool {
        self.settings.sites.contains_key(site)
    }

    /// Removes a summary.
    pub fn remove(&mut self, site: &str, group: u32) {
        self.held.remove(&(site.to_string(), group));
    }

    /// The kind of a column, if all summaries held agree on it.
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

    /// The total size of the summaries held, in bytes.
    pub fn size(&self) -> usize {
        self.held.values().map(|held| held.bytes.len()).sum()
    }

    /// Whether a summary is valid now, regardless of its version.
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
        let (age_ms, max_age_ms) = (wall_ms.saturating_sub(made_ms), self.settings.max_age_ms);
        if age_ms > max_age_ms {
            return Err(SummaryError::Old {
                site,
                group,
                age_ms,
                max_age_ms,
            });
        }
        Ok(())
    }

    /// A site's summary of a group, if it is held and valid.
    pub fn current(&self, wall_ms: u64, site: &str, group: u32) -> Option<&Summary> {
        let held = self.held.get(&(site.to_string(), group))?;
        self.check_validity(wall_ms, &held.summary)
            .is_ok()
            .then_some(&held.summary)
    }

    /// The loads that a site's summaries of a group contain.
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

    /// The number of summaries held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no summary is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The versions of all summaries held.
    pub fn versions(&self) -> impl Iterator<Item = HeldVersion> + '_ {
        let version_of = |((site, group), held): (&(String, u32), &HeldSummary)| HeldVersion {
            name: summary_id(site, *group),
            version: held.summary.version,
            detail: held.summary.detail,
        };
        self.held.iter().map(version_of)
    }

    /// The version and the bytes of a summary that is held, as received.
    pub fn bytes(&self, wanted: u64) -> Option<(u64, Rc<[u8]>)> {
        let mut all = self.held.iter();
        let found = all.find(|((site, group), _)| summary_id(site, *group) == wanted);
        found.map(|(_, held)| (held.summary.version, held.bytes.clone()))
    }
}
