//! A summary in sheets: what its site signs holds rows and bounds, and the hashes of two sheets behind it: small filters, and
//! full ones. A front may hold as much of it as earns its bytes, and hand on what it holds: any of it proves itself.

use ed25519_dalek::SigningKey;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::filter::Members;
use crate::runs;
use crate::summary::{signed, More, Signed, Summary, Table, MOST_BYTES};

pub(crate) const IN_SHEETS: u16 = 2; // the format of summaries in sheets; a front of an earlier version refuses them
pub(crate) const IN_SHEETS_WITH_MORE: u16 = 4;
const SEALS: usize = 256; // bytes for the signature, the hashes and lengths

/// How much of a summary there is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Fineness {
    /// Rows, nulls, distinct values and bounds.
    Bounds,
    /// And filters of four bits a value.
    Small,
    /// And those of some ten.
    #[default]
    Full,
}

/// All of them, the coarsest first.
pub const ALL: [Fineness; 3] = [Fineness::Bounds, Fineness::Small, Fineness::Full];

/// A sheet that stands behind what is signed.
#[derive(Serialize, Deserialize)]
struct Seal {
    bytes: u32,
    hash: [u8; 32],
}

/// Members of columns, by the places of their tables and of themselves.
pub(crate) type Sheet = Vec<(u16, u16, Members)>;

fn seal(sheet: &[u8]) -> Seal {
    Seal { bytes: sheet.len() as u32, hash: Sha256::digest(sheet).into() }
}

/// The bytes of a summary without members whose members are on the sheets; the largest go until it is not too long.
pub(crate) fn sign(
    mut summary: Summary,
    mut small: Sheet,
    mut full: Sheet,
    most: usize,
    key: &SigningKey,
) -> Vec<u8> {
    for column in summary.tables.iter_mut().flat_map(|table| &mut table.columns) {
        column.runs = runs::coarser(std::mem::take(&mut column.runs), runs::FEWER);
    }
    summary.cut(most.min(MOST_BYTES) / 2, IN_SHEETS, IN_SHEETS_WITH_MORE);
    let size = |sheet: &Sheet| sheet.iter().map(|(_, _, members)| members.size() + 8).sum::<usize>();
    let core = summary.encoded(IN_SHEETS, IN_SHEETS_WITH_MORE);
    let most = most.min(MOST_BYTES).saturating_sub(core.len() + SEALS);
    while size(&small) + size(&full) > most {
        let sheet = if full.is_empty() { &mut small } else { &mut full };
        let largest = sheet.iter().enumerate().max_by_key(|(_, (_, _, members))| members.size());
        let Some(at) = largest.map(|(at, _)| at) else { break };
        sheet.remove(at);
    }
    let small = postcard::to_stdvec(&small).unwrap_or_default();
    let full = postcard::to_stdvec(&full).unwrap_or_default();
    let seals = postcard::to_stdvec(&(seal(&small), seal(&full))).unwrap_or_default();
    [signed([core, seals].concat(), key), small, full].concat()
}

/// Puts the members of what sheets there are into the tables. None: what is there is none of them, or cut within one.
pub(crate) fn lay(tables: &mut [Table], seals: &[u8], sheets: &[u8]) -> Option<Fineness> {
    let ((small, full), rest) = postcard::take_from_bytes::<(Seal, Seal)>(seals).ok()?;
    if !rest.is_empty() || tables.iter().flat_map(|t| &t.columns).any(|c| c.members.is_some()) {
        return None;
    }
    let (mut sheets, mut fineness) = (sheets, Fineness::Bounds);
    for (seal, finer) in [(small, Fineness::Small), (full, Fineness::Full)] {
        if sheets.is_empty() {
            break;
        }
        let sheet = sheets.get(..seal.bytes as usize)?;
        if Sha256::digest(sheet)[..] != seal.hash {
            return None;
        }
        let (all, rest) = postcard::take_from_bytes::<Sheet>(sheet).ok()?;
        for (table, column, members) in all {
            let column = tables.get_mut(usize::from(table))?.columns.get_mut(usize::from(column))?;
            column.members = Some(members);
        }
        if !rest.is_empty() {
            return None;
        }
        (sheets, fineness) = (&sheets[seal.bytes as usize..], finer);
    }
    sheets.is_empty().then_some(fineness)
}

/// Where in its bytes each fineness ends, the coarsest first; from its beginning alone, once that is there. Nothing is checked.
pub fn ends(bytes: &[u8]) -> Option<[usize; 3]> {
    let (signed, rest) = postcard::take_from_bytes::<Signed>(bytes).ok()?;
    let (format, _) = postcard::take_from_bytes::<u16>(&signed.summary).ok()?;
    let (_, mut seals) = postcard::take_from_bytes::<Summary>(&signed.summary).ok()?;
    match format {
        IN_SHEETS => {}
        IN_SHEETS_WITH_MORE => seals = postcard::take_from_bytes::<More>(seals).ok()?.1,
        _ => return None,
    }
    let ((small, full), _) = postcard::take_from_bytes::<(Seal, Seal)>(seals).ok()?;
    let core = bytes.len() - rest.len();
    let small = core + small.bytes as usize;
    Some([core, small, small + full.bytes as usize]).filter(|ends| ends[2] <= MOST_BYTES)
}
