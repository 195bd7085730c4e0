//! `measure sites`: how many sites statements over several sites ask, compared with all sites and
//! with those that have a matching row, with loads at several rates, in processes.

use crate::prove::sites::{measure_sites, SitesAsked};

const RATES: [f64; 3] = [0.0, 1.0, 10.0]; // loads a second
const SECONDS: u64 = 24;

/// Prints the table. Returns an error if a run fails or a row is missing.
pub fn measure() -> Result<(), String> {
    println!(
        "| loads a second | scatters | loads | sites of all | asked | with true rows | asked / true | \
         rows missing | asked for nothing, by why |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut missing_rows = 0;
    for (rate, seed) in RATES.into_iter().zip(1..) {
        let SitesAsked {
            scatters,
            loads,
            all,
            asked,
            with_rows,
            missing,
            unnecessary,
        } = measure_sites(seed, rate, SECONDS)?;
        let ratio = asked as f64 / with_rows.max(1) as f64;
        let reasons: Vec<String> = unnecessary
            .iter()
            .map(|(reasons, count)| format!("{reasons} {count}"))
            .collect();
        let reasons = if reasons.is_empty() {
            "none".to_string()
        } else {
            reasons.join(", ")
        };
        let counts = format!("{scatters} | {loads} | {all} | {asked} | {with_rows}");
        println!("| {rate} | {counts} | {ratio:.2} | {missing} | {reasons} |");
        missing_rows += missing;
    }
    if missing_rows > 0 {
        return Err(format!("{missing_rows} rows missing"));
    }
    Ok(())
}
