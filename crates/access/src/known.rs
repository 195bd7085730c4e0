//! The names from the settings and the operator's file that a rule may use.

use std::collections::BTreeMap;

/// A workload and the locations at which it may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkloadLocations {
    /// The workload's name.
    pub name: String,
    /// The locations at which its statements may run; `None` means all.
    pub locations: Option<Vec<String>>,
}

/// The names that rules may use; a rule with any other name is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct KnownNames {
    /// The customers of the settings; if empty, rules may name any customer.
    pub customers: Vec<String>,
    /// The workloads of the settings and the locations at which each may run.
    pub workloads: Vec<WorkloadLocations>,
    /// The locations of engines. Rule sets refer to a location by its index in this list.
    pub locations: Vec<String>,
    /// The locations of each named region. A location that no region names is a region of its own.
    pub regions: BTreeMap<String, Vec<String>>,
    /// The customers that rules may apply to; `None` means all. A front without a valid lease on
    /// the rules rejects the statements of these customers and of no others.
    pub covered_customers: Option<Vec<String>>,
}

impl KnownNames {
    /// Returns whether rules may apply to a customer.
    pub fn covers_customer(&self, customer: &str) -> bool {
        self.covered_customers
            .as_ref()
            .is_none_or(|all| all.iter().any(|name| name == customer))
    }

    /// Returns the location indices of a region, or of a location given by its own name; `None` if
    /// the name is unknown.
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

    /// Returns the index of a location in `locations`; `None` if it is unknown.
    pub fn location_index(&self, location: &str) -> Option<u16> {
        let index = self.locations.iter().position(|name| name == location)?;
        Some(index as u16)
    }

    /// Returns the names of locations given by index; unknown indices are left out.
    pub fn location_names(&self, locations: &[u16]) -> Vec<String> {
        let name = |index: &u16| self.locations.get(*index as usize).cloned();
        locations.iter().filter_map(name).collect()
    }

    /// Returns all names that a rule may use for a region.
    pub fn region_names(&self) -> Vec<String> {
        self.regions
            .keys()
            .chain(&self.locations)
            .cloned()
            .collect()
    }

    /// Returns the region under which hits at a location are counted: the first region in name
    /// order that includes the location, or else the location itself.
    pub fn region_of(&self, location: &str) -> String {
        let mut regions = self.regions.iter();
        let region = regions.find(|(_, locations)| locations.iter().any(|name| name == location));
        region.map_or(location, |(name, _)| name).to_string()
    }

    /// Returns the indices of the locations at which a workload may run.
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
