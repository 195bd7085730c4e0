//! Adopts the version that the head names: reads the head, fetches the text, and applies its rule
//! set.

use hallmux_ledger::{Entry, Key, Operation};

use super::{Fetch, Pending, StoredHead, Versions, RETRY_INTERVAL, UNREADABLE_INTERVAL};
use crate::event::Event;
use crate::head::{join_parts, part_keys, Head, StoredVersion};
use crate::index::Index;
use crate::read::{read, RulesCommand};
use crate::rule::RuleSet;
use crate::{ClockReading, Micros};

impl Versions {
    /// Handles the head as it was at some time after it was requested.
    pub(super) fn on_head(&mut self, at: ClockReading, requested_at: Micros, entry: Option<Entry>) {
        let version = entry.as_ref().map_or(0, |entry| entry.version);
        let known = self.head.as_ref().map_or(0, |stored| stored.version);
        if version < known {
            return; // a newer head has been read since
        }
        self.ledger_has_answered = true;
        if version > known {
            let Some(head) = entry.and_then(|entry| Head::read(&entry.value)) else {
                return self.report_unreadable("head");
            };
            self.set_head(at, StoredHead { head, version });
        }
        if self.head.as_ref().map(|stored| stored.head.current) == self.held_from {
            self.lease_until = self
                .lease_until
                .max(requested_at + self.terms.owner_valid_for());
            self.lease_once_adopted = None;
        } else {
            self.lease_once_adopted = Some(requested_at);
        }
        self.resolve_proposal();
    }

    /// Records a later head.
    fn set_head(&mut self, at: ClockReading, stored: StoredHead) {
        let head = &stored.head;
        // A head that only adds that its version is in force names the same rule set.
        let before = self.head.take().map(|before| before.head);
        let unchanged = before.filter(|before| before.current == head.current);
        if unchanged.is_none() {
            self.head_since = at.steady;
            self.changed_here = false;
        }
        let was_in_force = unchanged.is_some_and(|unchanged| unchanged.in_force);
        if head.in_force && !was_in_force {
            self.events.push(Event::InForce {
                version: head.current.version,
            });
        }
        self.head = Some(stored);
        self.stop_swapping();
    }

    /// Fetches the rule set that the head names, unless it is already held.
    pub(super) fn fetch(&mut self, at: ClockReading) {
        let Some(target) = self.head.as_ref().map(|stored| stored.head.current) else {
            return;
        };
        let is_fetching = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.target == target);
        if self.held_from == Some(target) || is_fetching {
            return;
        }
        let keys: Vec<Key> = part_keys(target).collect();
        let parts = vec![None; keys.len()];
        self.fetch = Some(Fetch { target, parts });
        for (index, key) in keys.into_iter().enumerate() {
            self.queue_request(at, Pending::Part { target, index }, key, Operation::Read);
        }
    }

    pub(super) fn on_part(
        &mut self,
        at: ClockReading,
        target: StoredVersion,
        index: usize,
        bytes: Vec<u8>,
    ) {
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.target == target) else {
            return;
        };
        if let Some(part) = fetch.parts.get_mut(index) {
            *part = Some(bytes);
        }
        if !fetch.parts.iter().all(Option::is_some) {
            return;
        }
        let parts = fetch.parts.drain(..).flatten().collect();
        self.fetch = None;
        match join_parts(target, parts) {
            Some(text) => self.adopt(at, target, &text),
            None => {
                self.retry_at = at.steady + RETRY_INTERVAL;
                self.report_unreadable("text");
            }
        }
    }

    /// Applies a rule set from now on, if the head still names it.
    fn adopt(&mut self, at: ClockReading, target: StoredVersion, text: &str) {
        let stored = self.head.as_ref();
        let Some(stored) = stored.filter(|stored| stored.head.current == target) else {
            return;
        };
        let in_force = stored.head.in_force;
        let command = read("the fleet's rules", text, &self.known, &|_| None);
        let Ok(RulesCommand::Replace(set)) = command else {
            // Another front validated this rule set; reading it fails here because the settings
            // differ.
            self.lease_until = Micros::MIN;
            self.retry_at = at.steady + UNREADABLE_INTERVAL;
            return self.report_unreadable("the rule set, under this front's settings");
        };
        let version = target.version;
        self.held = Index::new(RuleSet { version, ..set });
        self.held_from = Some(target);
        self.reported_unreadable = None;
        let lease_until = self
            .lease_once_adopted
            .take()
            .map(|requested_at| requested_at + self.terms.owner_valid_for());
        self.lease_until = lease_until.unwrap_or(Micros::MIN);
        self.events.push(Event::Adopted {
            version,
            rules: self.held.set.rules.len(),
            in_force,
        });
        self.next_head_read = self.next_head_read.min(at.steady + RETRY_INTERVAL);
    }
}
