//! What the settings and the operator's file name: all that a rule may name.

use std::collections::BTreeMap;

/// A workload and the locations that it may run at; None: all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkloadLocations {
    /// The workload's name.
    pub name: String,
    /// The locations that its statements may run at; `None`: all.
    pub locations: Option<Vec<String>>,
}

/// The names that rules may use; a rule with another name is refused.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct KnownNames {
    /// Empty where the settings name none: then any may be named.
    pub customers: Vec<String>,
    /// The workloads of the settings and where each may run.
    pub workloads: Vec<WorkloadLocations>,
    /// Locations of engines.
    pub locations: Vec<String>,
    /// Names for some locations together; a location is a region of its own name where no other is given.
    pub regions: BTreeMap<String, Vec<String>>,
    /// The customers that rules may be about; None: all. A front that cannot know what holds turns away the
    /// statements of these and of nobody else.
    pub covered_customers: Option<Vec<String>>,
}

impl KnownNames {
    /// Whether rules may be about a customer.
    pub fn covers_customer(&self, customer: &str) -> bool {
        self.covered_customers
            .as_ref()
            .is_none_or(|all| all.iter().any(|name| name == customer))
    }

    /// The places of a region, by its name or a location's.
    pub fn region_locations(&self, region: &str) -> Option<Vec<u16>> {
        match self.regions.get(region) {
            Some(locations) => {
                let indices = locations
                    .iter()
                    .filter_map(|name| self.location_index(name));
                Some(indices.collect())
            }
            None => self.location_index(region).map(|index| vec![index]),
        }
    }

    /// The place of a location: its index in `locations`.
    pub fn location_index(&self, location: &str) -> Option<u16> {
        let index = self.locations.iter().position(|name| name == location)?;
        Some(index as u16)
    }

    /// The names of some places.
    pub fn location_names(&self, locations: &[u16]) -> Vec<String> {
        let name = |index: &u16| self.locations.get(*index as usize).cloned();
        locations.iter().filter_map(name).collect()
    }

    /// All names that a rule may give a region.
    pub fn region_names(&self) -> Vec<String> {
        self.regions
            .keys()
            .chain(&self.locations)
            .cloned()
            .collect()
    }

    /// The region of a place for counts: the first that holds it by name, or the location itself.
    pub fn region_of(&self, location: &str) -> String {
        let mut regions = self.regions.iter();
        let region = regions.find(|(_, locations)| locations.iter().any(|name| name == location));
        region.map_or(location, |(name, _)| name).to_string()
    }

    /// The places that a workload may run at.
    pub fn bound_locations(&self, workload: &WorkloadLocations) -> Vec<u16> {
        let bound = workload.locations.as_ref();
        self.locations
            .iter()
            .enumerate()
            .filter(|(_, name)| bound.is_none_or(|bound| bound.contains(name)))
            .map(|(index, _)| index as u16)
            .collect()
    }
}
