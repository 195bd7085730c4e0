//! Estimates the number of distinct values of columns, with a stated error, from HyperLogLog
//! sketches that sites make of the configured columns. A front merges them without asking any site.

use datasketches::common::NumStdDev;
use datasketches::hll::{HllSketch, HllType, HllUnion};

use crate::load_markers::{Affected, Cell};
use crate::plan::{Basis, LoadInfo};
use crate::sql::Query;
use crate::value::{Kind, Value};

// 4,096 registers: 3.3 % at two standard deviations, some 2,100 bytes per column.
const LOG2_REGISTERS: u8 = 12;
// The size limit of one sketch.
const MAX_SKETCH_BYTES: usize = 8 << 10;

/// Builds a column's sketch while rows are added.
pub(crate) struct SketchBuilder(HllSketch);

impl SketchBuilder {
    /// Creates an empty sketch. None if engines may treat unequal values of this kind as equal, so
    /// that they can't be counted here.
    pub fn new(kind: Kind) -> Option<SketchBuilder> {
        HllSketch::new(LOG2_REGISTERS, HllType::Hll4)
            .ok()
            .filter(|_| kind.is_equal_by_value())
            .map(SketchBuilder)
    }

    /// Adds a value.
    pub fn add_value(&mut self, value: &Value) {
        self.0.update(value.hash());
    }

    /// The encoded sketch, as summaries contain it.
    pub fn bytes(&self) -> Vec<u8> {
        self.0.serialize()
    }
}

fn deserialize_sketch(bytes: &[u8]) -> Option<HllSketch> {
    let bounded = Some(bytes).filter(|bytes| bytes.len() <= MAX_SKETCH_BYTES)?;
    HllSketch::deserialize(bounded)
        .ok()
        .filter(|sketch| sketch.lg_config_k() == LOG2_REGISTERS)
}

pub(crate) fn is_valid(bytes: &[u8]) -> bool {
    deserialize_sketch(bytes).is_some()
}

/// An estimate of the number of distinct values, with its error at two standard deviations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The estimated number of distinct values.
    pub distinct: u64,
    /// The relative error: 0.033 means that the number may be off by 3.3 %.
    pub error: f64,
}

/// Estimates the number of distinct values of a column over all sites. None if a site has no valid
/// sketch of it, or if a load may have added values that are not known.
pub fn distinct(query: &Query, basis: &Basis) -> Option<Estimate> {
    let Basis {
        sites,
        summaries,
        wall_ms,
        loads,
        suspected,
        ..
    } = *basis;
    let name = query.distinct.as_ref()?;
    let mut union = HllUnion::new(LOG2_REGISTERS).ok()?;
    let mut common_kind = None;
    for site in sites {
        if suspected(site) || !basis.allows(site) {
            return None;
        }
        let summary = summaries.current(wall_ms, site, query.group)?;
        let column = summary
            .table(&query.table)?
            .columns
            .iter()
            .find(|column| column.name == *name)?;
        // Values of different kinds may be equal without being recognized as such.
        if *common_kind.get_or_insert(column.kind) != column.kind {
            return None;
        }
        union.update(&deserialize_sketch(column.sketch.as_ref()?)?);
        let uncovered = match loads {
            LoadInfo::Markers(markers) => markers.uncovered(summary)?,
            LoadInfo::NoLoads => Vec::new(),
            LoadInfo::JoinMarkers(..) | LoadInfo::Unknown => return None,
        };
        for touched in uncovered {
            let Affected::Rows {
                table,
                columns,
                rows,
            } = touched
            else {
                return None;
            };
            if *table != query.table {
                continue;
            }
            let position = columns.iter().position(|column| column == name)?;
            for row in rows {
                match row.get(position)? {
                    Cell::Null => {}
                    Cell::Is(literal) => {
                        let point = literal.point(column.kind).filter(|point| point.exact)?;
                        union.update_value(point.below.hash());
                    }
                    Cell::Unknown => return None,
                }
            }
        }
    }
    let estimate = union.estimate();
    let deviation = (union.upper_bound(NumStdDev::Two) - estimate)
        .max(estimate - union.lower_bound(NumStdDev::Two));
    let error = if estimate > 0.0 {
        deviation / estimate
    } else {
        0.0
    };
    Some(Estimate {
        distinct: estimate.round().max(0.0) as u64,
        error,
    })
}
