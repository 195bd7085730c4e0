//! `measure sites`: sites that statements over several are asked of, beside all of them and beside those that
//! have a row, with loads at several rates, in processes.

use crate::prove::sites::{measured, SitesAsked};

const RATES: [f64; 3] = [0.0, 1.0, 10.0]; // loads a second
const SECONDS: u64 = 24;

/// Prints the table; an error is a run that could not be made, or a row missing.
pub fn measure() -> Result<(), String> {
    println!(
        "| loads a second | scatters | loads | sites of all | asked | with true rows | asked / true | \
         rows missing | asked for nothing, by why |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut lost = 0;
    for (rate, seed) in RATES.into_iter().zip(1..) {
        let SitesAsked {
            scatters,
            loads,
            all,
            asked,
            with_rows,
            missing,
            needless,
        } = measured(seed, rate, SECONDS)?;
        let ratio = asked as f64 / with_rows.max(1) as f64;
        let why: Vec<String> = needless
            .iter()
            .map(|(why, count)| format!("{why} {count}"))
            .collect();
        let why = if why.is_empty() {
            "none".to_string()
        } else {
            why.join(", ")
        };
        let counts = format!("{scatters} | {loads} | {all} | {asked} | {with_rows}");
        println!("| {rate} | {counts} | {ratio:.2} | {missing} | {why} |");
        lost += missing;
    }
    if lost > 0 {
        return Err(format!("{lost} rows missing"));
    }
    Ok(())
}
