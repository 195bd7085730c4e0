//! What ends a batch and a state: who keeps the shard from there on, and from the third form on their own form before
//! it. postcard writes the first two as it writes an option, so the first form's bytes are what they were.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

use crate::forms::{FORM, FORMED, OLDEST};
use crate::state::ReplicaId;

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Tail {
    #[default]
    None,
    Next(Vec<ReplicaId>),
    Formed {
        #[serde(deserialize_with = "known")]
        form: u8,
        next: Option<Vec<ReplicaId>>,
    },
}

/// A later form may have anything behind it.
fn known<'de, D: Deserializer<'de>>(reader: D) -> Result<u8, D::Error> {
    match u8::deserialize(reader)? {
        form @ FORMED..=FORM => Ok(form),
        form => Err(D::Error::custom(format!("of form {form}, this build reads {FORM}"))),
    }
}

impl Tail {
    /// In the form, or in the first where that has no place for it.
    pub fn of(form: u8, next: Option<Vec<ReplicaId>>) -> Tail {
        match next {
            next if form >= FORMED => Tail::Formed { form, next },
            Some(next) => Tail::Next(next),
            None => Tail::None,
        }
    }

    pub fn form(&self) -> u8 {
        match self {
            Tail::Formed { form, .. } => *form,
            Tail::None | Tail::Next(_) => OLDEST,
        }
    }

    pub fn next(&self) -> Option<&[ReplicaId]> {
        match self {
            Tail::Next(next) | Tail::Formed { next: Some(next), .. } => Some(next),
            Tail::None | Tail::Formed { next: None, .. } => None,
        }
    }
}
