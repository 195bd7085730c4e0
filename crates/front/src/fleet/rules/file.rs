//! Reads the file of rules, and lists the names that it may use.

use hallmux_access::{self as access, KnownNames, RulesCommand};
use hallmux_config::{line_of, Settings};

use crate::fleet::errors::RulesError;

/// Returns the names of the settings that rules may refer to.
pub(super) fn known_names(rules: &hallmux_config::Rules, settings: &Settings) -> KnownNames {
    let names = &settings.names;
    let workloads = names
        .workloads
        .iter()
        .zip(&settings.agreement.workloads)
        .map(|(name, w)| {
            let location_names = |all: &Vec<usize>| {
                all.iter()
                    .filter_map(|index| names.locations.get(*index).cloned())
                    .collect()
            };
            access::WorkloadLocations {
                name: name.clone(),
                locations: w.locations.as_ref().map(location_names),
            }
        });
    KnownNames {
        customers: names.customers.clone(),
        workloads: workloads.collect(),
        locations: names.locations.clone(),
        regions: rules.regions.clone(),
        covered_customers: rules.customers.clone(),
    }
}

/// Reads and checks the file of rules, and returns its text and its command. An error lists all
/// faults of the file.
pub(super) fn read_rules(
    file: &str,
    known: &KnownNames,
) -> Result<(String, RulesCommand), RulesError> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|why| RulesError::File {
        file: file.to_string(),
        why,
    })?;
    let command = access::read(file, &text, known, &|path| line_of(&text, path))?;
    Ok((text, command))
}
