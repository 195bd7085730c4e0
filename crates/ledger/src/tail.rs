//! The last field of a batch and of a state: the members of the next configuration, preceded by the
//! format from the third format on. postcard encodes the first two variants like an option, so the
//! bytes of the first format are unchanged.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

use crate::formats::{FIRST_EXPLICIT_FORMAT, FORMAT, OLDEST_FORMAT};
use crate::members::ReplicaId;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Tail {
    #[default]
    None,
    Next(Vec<ReplicaId>),
    Explicit {
        #[serde(deserialize_with = "deserialize_known_format")]
        format: u8,
        next: Option<Vec<ReplicaId>>,
    },
}

/// Deserializes a format and rejects unknown ones, as the layout behind a later format is unknown.
fn deserialize_known_format<'de, D: Deserializer<'de>>(reader: D) -> Result<u8, D::Error> {
    match u8::deserialize(reader)? {
        format @ FIRST_EXPLICIT_FORMAT..=FORMAT => Ok(format),
        format => Err(D::Error::custom(format!(
            "unknown format {format}; this build reads up to format {FORMAT}"
        ))),
    }
}

impl Tail {
    /// Creates the tail with these members in the given format, or in the first format if data of
    /// the given format does not name its format.
    pub fn of(format: u8, next: Option<Vec<ReplicaId>>) -> Tail {
        match next {
            next if format >= FIRST_EXPLICIT_FORMAT => Tail::Explicit { format, next },
            Some(next) => Tail::Next(next),
            None => Tail::None,
        }
    }

    pub fn format(&self) -> u8 {
        match self {
            Tail::Explicit { format, .. } => *format,
            Tail::None | Tail::Next(_) => OLDEST_FORMAT,
        }
    }

    pub fn next(&self) -> Option<&[ReplicaId]> {
        match self {
            Tail::Next(next)
            | Tail::Explicit {
                next: Some(next), ..
            } => Some(next),
            Tail::None | Tail::Explicit { next: None, .. } => None,
        }
    }
}
