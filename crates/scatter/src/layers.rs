//! Summaries in layers. The part that the site signs holds rows and bounds, and the hashes of the
//! two layers that follow: small filters and full filters. A front may hold as many layers as are
//! worth their bytes and pass them on, since each layer can be verified on its own.

use ed25519_dalek::SigningKey;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::filter::Members;
use crate::runs;
use crate::summary::{signed, Extension, Signed, Summary, Table, MAX_SUMMARY_BYTES};

// The format of layered summaries; fronts of earlier versions reject it.
pub(crate) const LAYERED_FORMAT: u16 = 2;
pub(crate) const LAYERED_EXTENDED_FORMAT: u16 = 4;
// For the signature, the hashes and the lengths.
const RESERVED_SIGNATURE_BYTES: usize = 256;

/// How much of a summary is held or wanted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Detail {
    /// Numbers of rows, nulls and distinct values, and bounds.
    Bounds,
    /// Also filters of four bits per value.
    Small,
    /// Also the full filters, of some ten bits per value.
    #[default]
    Full,
}

/// All levels of detail, the coarsest first.
pub const ALL: [Detail; 3] = [Detail::Bounds, Detail::Small, Detail::Full];

/// The length and the hash of a layer that follows the signed part.
#[derive(Serialize, Deserialize)]
struct LayerDigest {
    bytes: u32,
    hash: [u8; 32],
}

/// Filters with the positions of their tables and columns.
pub(crate) type Layer = Vec<(u16, u16, Members)>;

fn digest(layer: &[u8]) -> LayerDigest {
    LayerDigest {
        bytes: layer.len() as u32,
        hash: Sha256::digest(layer).into(),
    }
}

/// Encodes and signs a summary whose filters are in the layers. The largest filters are removed
/// until it is not longer than `max_bytes`.
pub(crate) fn sign(
    mut summary: Summary,
    mut small: Layer,
    mut full: Layer,
    max_bytes: usize,
    key: &SigningKey,
) -> Vec<u8> {
    for column in summary
        .tables
        .iter_mut()
        .flat_map(|table| &mut table.columns)
    {
        column.runs = runs::merge_closest(std::mem::take(&mut column.runs), runs::MAX_LAYERED_RUNS);
    }
    summary.drop_extensions(
        max_bytes.min(MAX_SUMMARY_BYTES) / 2,
        LAYERED_FORMAT,
        LAYERED_EXTENDED_FORMAT,
    );
    let size = |layer: &Layer| {
        layer
            .iter()
            .map(|(_, _, members)| members.size() + 8)
            .sum::<usize>()
    };
    let core = summary.encoded(LAYERED_FORMAT, LAYERED_EXTENDED_FORMAT);
    let max_bytes = max_bytes
        .min(MAX_SUMMARY_BYTES)
        .saturating_sub(core.len() + RESERVED_SIGNATURE_BYTES);
    while size(&small) + size(&full) > max_bytes {
        let layer = if full.is_empty() {
            &mut small
        } else {
            &mut full
        };
        let largest = layer
            .iter()
            .enumerate()
            .max_by_key(|(_, (_, _, members))| members.size());
        let Some(at) = largest.map(|(at, _)| at) else {
            break;
        };
        layer.remove(at);
    }
    let small = postcard::to_stdvec(&small).unwrap_or_default();
    let full = postcard::to_stdvec(&full).unwrap_or_default();
    let digests = postcard::to_stdvec(&(digest(&small), digest(&full))).unwrap_or_default();
    [signed([core, digests].concat(), key), small, full].concat()
}

/// Sets the filters of the columns from the layers that are present. Returns the detail reached, or
/// None if the layers do not match their hashes or are truncated.
pub(crate) fn apply(tables: &mut [Table], digests: &[u8], layers: &[u8]) -> Option<Detail> {
    let ((small, full), rest) =
        postcard::take_from_bytes::<(LayerDigest, LayerDigest)>(digests).ok()?;
    if !rest.is_empty()
        || tables
            .iter()
            .flat_map(|t| &t.columns)
            .any(|c| c.members.is_some())
    {
        return None;
    }
    let (mut layers, mut present) = (layers, Detail::Bounds);
    for (digest, detail) in [(small, Detail::Small), (full, Detail::Full)] {
        if layers.is_empty() {
            break;
        }
        let layer = layers.get(..digest.bytes as usize)?;
        if Sha256::digest(layer)[..] != digest.hash {
            return None;
        }
        let (all, rest) = postcard::take_from_bytes::<Layer>(layer).ok()?;
        for (table, column, members) in all {
            let column = tables
                .get_mut(usize::from(table))?
                .columns
                .get_mut(usize::from(column))?;
            column.members = Some(members);
        }
        if !rest.is_empty() {
            return None;
        }
        (layers, present) = (&layers[digest.bytes as usize..], detail);
    }
    layers.is_empty().then_some(present)
}

/// The end of each level of detail in the summary's bytes, the coarsest first. The signed part
/// alone is sufficient; nothing is verified.
pub fn layer_ends(bytes: &[u8]) -> Option<[usize; 3]> {
    let (signed, rest) = postcard::take_from_bytes::<Signed>(bytes).ok()?;
    let (format, _) = postcard::take_from_bytes::<u16>(&signed.summary).ok()?;
    let (_, mut digests) = postcard::take_from_bytes::<Summary>(&signed.summary).ok()?;
    match format {
        LAYERED_FORMAT => {}
        LAYERED_EXTENDED_FORMAT => {
            digests = postcard::take_from_bytes::<Extension>(digests).ok()?.1
        }
        _ => return None,
    }
    let ((small, full), _) =
        postcard::take_from_bytes::<(LayerDigest, LayerDigest)>(digests).ok()?;
    let core = bytes.len() - rest.len();
    let small = core + small.bytes as usize;
    Some([core, small, small + full.bytes as usize]).filter(|ends| ends[2] <= MAX_SUMMARY_BYTES)
}
