//! The summaries that a front holds: one for each site and group, the highest version that was found good.

use std::collections::BTreeMap;
use std::rc::Rc;

use ed25519_dalek::VerifyingKey;

use crate::summary::{Refused, Summary};
use crate::value::fnv;

/// What the operator says of summaries.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The sites and their public keys.
    pub sites: BTreeMap<String, VerifyingKey>,
    /// The schema that a group's summaries must be of, where it is stated.
    pub schemas: BTreeMap<u32, u32>,
    pub oldest_ms: u64,
    /// How far a site's clock may be ahead of this front's.
    pub ahead_ms: u64,
    /// Summaries in all.
    pub most: usize,
}

struct Held {
    summary: Summary,
    bytes: Rc<[u8]>,
}

pub struct Book {
    terms: Terms,
    held: BTreeMap<(String, u32), Held>,
    /// What counted for nothing, by why.
    pub refused: BTreeMap<&'static str, u64>,
}

/// The name that a site's summary of a group goes by between fronts.
pub fn name(site: &str, group: u32) -> u64 {
    fnv(&[site.as_bytes(), &[0], &group.to_le_bytes()].concat())
}

impl Book {
    pub fn new(terms: Terms) -> Book {
        Book { terms, held: BTreeMap::new(), refused: BTreeMap::new() }
    }

    /// Other terms hold from now on; what is of no site any more goes.
    pub fn turn_to(&mut self, terms: Terms) {
        let before = std::mem::replace(&mut self.terms, terms);
        let sites = &self.terms.sites;
        // Under another key of the site it may be anybody's.
        self.held
            .retain(|(site, _), _| sites.get(site).is_some() && sites.get(site) == before.sites.get(site));
    }

    /// Takes a site's word, from wherever it came. False: held already. What is refused changes nothing.
    pub fn take(&mut self, wall_ms: u64, bytes: &[u8]) -> Result<bool, Refused> {
        let taken = self.weigh(wall_ms, bytes);
        if let Err(why) = &taken {
            *self.refused.entry(why.why()).or_default() += 1;
        }
        taken
    }

    fn weigh(&mut self, wall_ms: u64, bytes: &[u8]) -> Result<bool, Refused> {
        let summary = Summary::read(bytes, |site| self.terms.sites.get(site).copied())?;
        let (site, group, version) = (summary.site.clone(), summary.group, summary.version);
        self.fits(wall_ms, &summary)?;
        let known = self.held.get(&(site.clone(), group));
        if let Some(held) = known {
            match version.cmp(&held.summary.version) {
                std::cmp::Ordering::Less => {
                    return Err(Refused::Version { site, group, version, held: held.summary.version })
                }
                std::cmp::Ordering::Equal if *held.bytes == *bytes => return Ok(false),
                // Two words under one version: the one that was first stays.
                std::cmp::Ordering::Equal => {
                    return Err(Refused::Version { site, group, version, held: version })
                }
                std::cmp::Ordering::Greater => {}
            }
        } else if self.held.len() >= self.terms.most {
            return Err(Refused::Full { site, group, held: self.held.len() });
        }
        self.held.insert((site, group), Held { summary, bytes: bytes.into() });
        Ok(true)
    }

    /// Whether it may count now, apart from its version.
    fn fits(&self, wall_ms: u64, summary: &Summary) -> Result<(), Refused> {
        let (site, group) = (summary.site.clone(), summary.group);
        let (schema, made_ms) = (summary.schema, summary.made_ms);
        match self.terms.schemas.get(&group) {
            Some(&stated) if stated != schema => return Err(Refused::Schema { site, group, schema, stated }),
            _ => {}
        }
        let ahead_ms = made_ms.saturating_sub(wall_ms);
        if ahead_ms > self.terms.ahead_ms {
            return Err(Refused::Ahead { site, group, ahead_ms });
        }
        let (age_ms, most_ms) = (wall_ms.saturating_sub(made_ms), self.terms.oldest_ms);
        if age_ms > most_ms {
            return Err(Refused::Old { site, group, age_ms, most_ms });
        }
        Ok(())
    }

    /// A site's summary of a group, as long as it may count.
    pub fn look(&self, wall_ms: u64, site: &str, group: u32) -> Option<&Summary> {
        let held = self.held.get(&(site.to_string(), group))?;
        self.fits(wall_ms, &held.summary).is_ok().then_some(&held.summary)
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Names and versions of all that is held.
    pub fn versions(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.held.iter().map(|((site, group), held)| (name(site, *group), held.summary.version))
    }

    /// The bytes of one that is held, as they came.
    pub fn bytes(&self, wanted: u64) -> Option<(u64, Rc<[u8]>)> {
        let mut all = self.held.iter();
        let found = all.find(|((site, group), _)| name(site, *group) == wanted);
        found.map(|(_, held)| (held.summary.version, held.bytes.clone()))
    }
}
