//! Changes the fleet's version of the rules: stores the parts of a file, then the head, which names
//! the version, and later confirms that the version is in force.

use hallmux_ledger::{Entry, Key, Operation};

use super::{Pending, Proposal, StoredHead, Versions};
use crate::error::ChangeError;
use crate::event::Event;
use crate::head::{
    head_key, part_keys, split_parts, Head, NextHead, StoredVersion, DROPPED_PARTS_MS,
    MAX_TEXT_BYTES,
};
use crate::index::Index;
use crate::read::RulesCommand;
use crate::{ClockReading, Micros};

impl Versions {
    /// Proposes a file's rules as the fleet's version, in place of any earlier proposal. A what-if
    /// file only withdraws the earlier proposal.
    pub fn propose(&mut self, file: &str, text: &str, command: RulesCommand) {
        self.proposal = None;
        if matches!(command, RulesCommand::WhatIf(_)) {
            return; // a what-if file does not change the fleet's version
        }
        if text.len() > MAX_TEXT_BYTES {
            return self
                .events
                .push(Event::ChangeRejected(ChangeError::TextTooLong {
                    file: file.to_string(),
                    bytes: text.len(),
                    max: MAX_TEXT_BYTES,
                }));
        }
        self.proposal = Some(Proposal {
            file: file.to_string(),
            command,
            text: text.to_string(),
            parts_stored: 0,
            swapping: false,
            target: None,
        });
        self.next_head_read = Micros::MIN;
        self.retry_at = Micros::MIN;
    }

    /// Returns the version that a proposal asks for, or the reason why it cannot be provided.
    pub(super) fn target_version(&self, proposal: &Proposal) -> Result<StoredVersion, ChangeError> {
        let RulesCommand::RollBack { version, to } = proposal.command else {
            return Ok(StoredVersion::of_text(
                proposal.command.version(),
                &proposal.text,
            ));
        };
        let head = self.head.as_ref().map(|stored| &stored.head);
        if let Some(kept) = head.and_then(|head| head.find(to)) {
            return Ok(StoredVersion { version, ..kept });
        }
        let kept: Vec<String> = head
            .iter()
            .flat_map(|head| &head.previous)
            .map(|kept| kept.version.to_string())
            .collect();
        Err(ChangeError::VersionNotKept {
            file: proposal.file.clone(),
            to,
            kept: kept.join(", "),
        })
    }

    /// Ends a proposal that the head shows as accepted or rejected.
    pub(super) fn resolve_proposal(&mut self) {
        let Some(proposal) = self.proposal.as_ref() else {
            return;
        };
        let Some(current) = self.head.as_ref().map(|stored| stored.head.current) else {
            return;
        };
        let (file, stated, next) = (
            proposal.file.clone(),
            proposal.command.version(),
            current.version + 1,
        );
        if stated > current.version {
            return;
        }
        let is_current = proposal.target == Some(current)
            || self
                .target_version(proposal)
                .is_ok_and(|target| target == current);
        let event = match (stated == current.version, is_current) {
            (true, true) => Event::Accepted { version: stated },
            (true, false) if proposal.parts_stored > 0 => {
                Event::ChangeRejected(ChangeError::ConcurrentChange { file, stated, next })
            }
            (true, false) => {
                Event::ChangeRejected(ChangeError::VersionTaken { file, stated, next })
            }
            (false, _) => Event::ChangeRejected(ChangeError::VersionTooLow {
                file,
                stated,
                current: current.version,
                next,
            }),
        };
        self.proposal = None;
        self.events.push(event);
    }

    /// Takes the next step of a proposal: stores its parts, then changes the head.
    pub(super) fn advance_proposal(&mut self, at: ClockReading) {
        // A proposal whose version is not higher than the head's must never be stored, whichever
        // request the head was read by.
        self.resolve_proposal();
        let Some(proposal) = self
            .proposal
            .as_ref()
            .filter(|proposal| self.ledger_has_answered && !proposal.swapping)
        else {
            return;
        };
        if self.is_pending(|pending| matches!(pending, Pending::PutPart | Pending::Swap { .. })) {
            return;
        }
        let target = match self.target_version(proposal) {
            Ok(target) => target,
            Err(why) => {
                self.proposal = None;
                return self.events.push(Event::ChangeRejected(why));
            }
        };
        let is_set = matches!(proposal.command, RulesCommand::Replace(_));
        let keys: Vec<Key> = if is_set {
            part_keys(target).collect()
        } else {
            Vec::new()
        };
        if proposal.parts_stored < keys.len() {
            let parts = split_parts(&proposal.text);
            return self.put_parts(at, keys, parts);
        }
        let in_force = self.is_effective_at_once(proposal, at);
        self.swap_head(at, target, in_force);
    }

    fn put_parts(&mut self, at: ClockReading, keys: Vec<Key>, parts: Vec<Vec<u8>>) {
        if let Some(proposal) = &mut self.proposal {
            proposal.parts_stored = 0;
        }
        for (key, value) in keys.into_iter().zip(parts) {
            let operation = Operation::Put {
                expects: None,
                ends_ms: 0,
                value,
            };
            self.queue_request(at, Pending::PutPart, key, operation);
        }
    }

    /// Changes the head to the version that the proposal asks for.
    fn swap_head(&mut self, at: ClockReading, target: StoredVersion, in_force: bool) {
        let stored = self.head.as_ref();
        let NextHead { head, dropped } =
            Head::following(stored.map(|stored| &stored.head), target, in_force);
        let operation = Operation::Put {
            expects: Some(stored.map_or(0, |stored| stored.version)),
            ends_ms: 0,
            value: head.bytes(),
        };
        let to = target;
        self.queue_request(at, Pending::Swap { to, dropped }, head_key(), operation);
        if let Some(proposal) = &mut self.proposal {
            proposal.swapping = true;
            proposal.target = Some(target);
        }
    }

    /// Returns whether the proposal bars nothing that the set in force allows, so that it is in
    /// force as soon as the head is changed.
    pub(super) fn is_effective_at_once(&self, proposal: &Proposal, at: ClockReading) -> bool {
        let RulesCommand::Replace(set) = &proposal.command else {
            return false;
        };
        let from = self.head.as_ref().map(|stored| stored.head.current);
        let in_force = self.head.as_ref().is_none_or(|stored| stored.head.in_force);
        in_force
            && from == self.held_from
            && !Index::new(set.clone()).tightens(&self.held, &self.known, at.wall_ms)
    }

    pub(super) fn on_swapped(
        &mut self,
        at: ClockReading,
        requested_at: Micros,
        to: StoredVersion,
        dropped: Option<StoredVersion>,
        entry: Entry,
    ) {
        self.on_head(at, requested_at, Some(entry));
        self.changed_here = self
            .head
            .as_ref()
            .is_some_and(|stored| stored.head.current == to);
        // Parts that no version needs any more expire after `DROPPED_PARTS_MS`.
        for key in dropped.into_iter().flat_map(part_keys) {
            let operation = Operation::Put {
                expects: None,
                ends_ms: at.wall_ms + DROPPED_PARTS_MS,
                value: Vec::new(),
            };
            self.queue_request(at, Pending::ExpirePart, key, operation);
        }
    }

    /// Confirms that the head's version is in force.
    pub(super) fn confirm_in_force(&mut self, at: ClockReading) {
        let Some(StoredHead { head, version }) = &self.head else {
            return;
        };
        let confirmed = Head {
            in_force: true,
            ..head.clone()
        };
        let operation = Operation::Put {
            expects: Some(*version),
            ends_ms: 0,
            value: confirmed.bytes(),
        };
        self.queue_request(at, Pending::ConfirmInForce, head_key(), operation);
    }
}
