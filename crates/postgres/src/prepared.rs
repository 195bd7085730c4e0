//! Interned prepared statements and session settings: equal ones are stored once for all sessions.

use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasher;
use std::rc::{Rc, Weak};

use crate::sql::{self, Change, Scan};

const MIN_SWEEP_ENTRIES: usize = 1024; // fewer entries are never swept

/// A prepared statement: its text and the types of its parameters.
#[derive(Debug)]
pub struct Prepared {
    /// A number unique in this front; the statement's name at engines contains it.
    pub number: u64,
    /// The body of the Parse message after the name: the text, its terminating zero byte, the
    /// parameter types.
    pub body: Box<[u8]>,
    /// The result of scanning the text.
    pub scan: Scan,
}

impl Prepared {
    /// Returns the statement's text.
    pub fn text(&self) -> &[u8] {
        &self.body[..memchr::memchr(0, &self.body).unwrap_or(self.body.len())]
    }
}

/// A session's settings: for each name the SET statement that sets it.
#[derive(Debug, Default, PartialEq, Eq, Hash, Clone)]
pub struct SessionSettings(pub BTreeMap<String, String>);

impl SessionSettings {
    /// Applies a change of the settings.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Set { name, statement } => _ = self.0.insert(name.clone(), statement.clone()),
            Change::Reset(name) => _ = self.0.remove(name),
            Change::ResetAll => self.0.clear(),
        }
    }

    /// Returns the SQL that brings a connection from any settings to these.
    pub fn restoring_sql(&self) -> String {
        let mut text = String::from("RESET ALL");
        for statement in self.0.values() {
            text.push_str("; ");
            text.push_str(statement);
        }
        text
    }
}

/// The interned statements and settings, by hash; entries that no session or connection holds are
/// dropped.
#[derive(Default)]
pub struct Catalogue {
    hasher: std::hash::RandomState,
    prepared: HashMap<u64, Vec<Weak<Prepared>>>,
    settings: HashMap<u64, Vec<Weak<SessionSettings>>>,
    next: u64,
    sweep_at: usize,
}

impl Catalogue {
    /// Returns the statement with this body; a new one is scanned and stored.
    pub fn prepare(&mut self, body: &[u8]) -> Rc<Prepared> {
        let hash = self.hasher.hash_one(body);
        let known = self.prepared.get(&hash).into_iter().flatten();
        if let Some(found) = known.filter_map(Weak::upgrade).find(|p| *p.body == *body) {
            return found;
        }
        self.next += 1;
        let text = &body[..memchr::memchr(0, body).unwrap_or(body.len())];
        let interned = Rc::new(Prepared {
            number: self.next,
            body: body.into(),
            scan: sql::scan(text),
        });
        self.prepared
            .entry(hash)
            .or_default()
            .push(Rc::downgrade(&interned));
        self.sweep();
        interned
    }

    /// Returns the stored settings equal to these; new ones are stored.
    pub fn intern_settings(&mut self, settings: Rc<SessionSettings>) -> Rc<SessionSettings> {
        let hash = self.hasher.hash_one(&settings);
        let known = self.settings.get(&hash).into_iter().flatten();
        if let Some(found) = known.filter_map(Weak::upgrade).find(|s| *s == settings) {
            return found;
        }
        self.settings
            .entry(hash)
            .or_default()
            .push(Rc::downgrade(&settings));
        self.sweep();
        settings
    }

    /// Drops unreferenced entries each time the number of entries has doubled since the last sweep.
    fn sweep(&mut self) {
        if self.prepared.len() + self.settings.len() < self.sweep_at.max(MIN_SWEEP_ENTRIES) {
            return;
        }
        self.prepared.retain(|_, all| {
            all.retain(|weak| weak.strong_count() > 0);
            !all.is_empty()
        });
        self.settings.retain(|_, all| {
            all.retain(|weak| weak.strong_count() > 0);
            !all.is_empty()
        });
        self.sweep_at = 2 * (self.prepared.len() + self.settings.len());
    }
}

#[cfg(test)]
#[path = "prepared_tests.rs"]
mod tests;
