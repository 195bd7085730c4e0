//! What the ledger's answers mean for a key and for the executions that wait for it.

use hallmux_dispatcher::{Micros, Ticket};
use hallmux_ledger::{Entry, Kind, Outcome};

use super::super::requirements::{EntryValue, Group};
use super::{
    ms, Claim, KeyState, Purpose, Verdict, ASK_TIMEOUT, FIRST_RETRY, FREE_RETRY, MAX_RETRY, RETRY,
};

impl KeyState {
    /// The ledger has answered. `first`: this front has just started, and the key's shard has not answered it
    /// yet.
    pub fn answered(&mut self, now: Micros, outcome: Outcome, first: bool) -> Verdict {
        let Some(purpose) = self.asked.take() else {
            return Verdict::Recheck;
        };
        match (purpose, outcome) {
            (Purpose::Claim(_, group), Outcome::Stands(entry)) => {
                (self.holds_until_ms, self.group, self.version) =
                    (entry.ends_ms, group, entry.version);
                self.unconfirmed = false;
                self.may_hold_until_ms = self.may_hold_until_ms.max(entry.ends_ms);
                (self.tries, self.blocked, self.retry_at) = (0, false, 0);
                self.restrict_to(Some(group))
            }
            (Purpose::Claim(..), Outcome::Held(entry)) => self.held_already(now, &entry),
            (Purpose::Claim(..), Outcome::Absent) => {
                // What was to be taken over has ended meanwhile.
                (self.version, self.retry_at) = (0, now);
                Verdict::Recheck
            }
            (Purpose::Claim(..), why @ (Outcome::Unreachable | Outcome::Full)) => {
                let waits = first && why == Outcome::Unreachable;
                (self.retry_at, self.retry_free_at) = (now, now + FREE_RETRY);
                // The entry to be replaced is there as it was, or as this front's: either is respected.
                self.may_hold_until_ms = if self.version == 0 {
                    self.may_hold_until_ms
                } else {
                    self.holds_until_ms
                };
                self.unconfirmed |= self.kind != Kind::Order && self.version == 0;
                let why = if why == Outcome::Full {
                    "full"
                } else {
                    "unreachable"
                };
                if !waits {
                    return Verdict::Reject(self.take_waiting(), why);
                }
                self.retry_at = now + FIRST_RETRY;
                let late =
                    |_: &Ticket, claim: &mut Claim| claim.wait_until < self.retry_at + ASK_TIMEOUT;
                let late = self
                    .waiting
                    .extract_if(.., late)
                    .map(|(ticket, _)| ticket)
                    .collect();
                Verdict::Reject(late, why)
            }
            (Purpose::Read, Outcome::Stands(entry)) if self.is_own(&entry) => {
                self.adopt(&entry);
                Verdict::Recheck
            }
            (_, Outcome::Unreachable | Outcome::Full) => {
                self.retry_free_at = now + FREE_RETRY;
                Verdict::Recheck
            }
            (Purpose::Reserve | Purpose::Free | Purpose::Read, _) => {
                (self.holds_until_ms, self.may_hold_until_ms, self.version) = (0, 0, 0);
                (self.runs_until_ms, self.may_run_on, self.unconfirmed) = (0, false, false);
                (self.first, self.inherited_until_ms) = (None, None);
                Verdict::Recheck
            }
        }
    }

    fn is_own(&self, entry: &Entry) -> bool {
        self.unconfirmed
            && EntryValue::read(&entry.value).is_some_and(|value| value.mark == self.mark)
    }

    /// The entry was made after all.
    fn adopt(&mut self, entry: &Entry) {
        (self.holds_until_ms, self.version, self.unconfirmed) =
            (entry.ends_ms, entry.version, false);
        self.group = EntryValue::read(&entry.value).map_or(self.group, |value| value.group);
    }

    /// The ledger has an entry of the key already.
    fn held_already(&mut self, now: Micros, entry: &Entry) -> Verdict {
        if self.is_own(entry) {
            self.adopt(entry);
            return self.restrict_to(Some(self.group));
        }
        self.unconfirmed = false;
        if self.executing.is_empty() && self.transactions == 0 {
            (self.holds_until_ms, self.may_hold_until_ms) = (0, 0);
        }
        let ends = entry.ends_ms as Micros * 1000 + 1_000;
        let value = EntryValue::read(&entry.value);
        let over = value.is_some_and(|value| value.runs_until_ms <= ms(now));
        if let Some(value) = value.filter(|_| self.kind == Kind::Dedup) {
            // Engines drop a repeat for the dedup window from the first execution on, whichever fronts have had
            // the entry since: without this a repeat that waited beyond it at another front ran a second time.
            self.inherited_until_ms = Some(value.dropped_until_ms);
            let forgotten = self.take_forgotten(now);
            if !forgotten.is_empty() {
                return Verdict::Begun(forgotten);
            }
        }
        match self.kind {
            Kind::Begun => return Verdict::Begun(self.take_waiting()),
            // None of its executions runs any more: its group drops the repeat, and no other group may have
            // it.
            Kind::Dedup if over => {
                (self.version, self.retry_at) = (entry.version, now);
                self.blocked = false;
                self.group = value.map_or(self.group, |value| value.group);
                // What ran before is respected beyond this front's hold, whatever becomes of that.
                self.reserved_until = self.reserved_until.max(ends);
                return self.restrict_to(value.map(|value| value.group));
            }
            _ => {}
        }
        self.tries += 1;
        let wait = MAX_RETRY.min(RETRY << self.tries.min(5).saturating_sub(1));
        (self.version, self.blocked) = (0, true);
        self.retry_at = (now + wait).min(ends.max(now + RETRY));
        Verdict::Recheck
    }

    /// Rejects claims on a dedup key by executions outside one group.
    fn restrict_to(&mut self, group: Option<Group>) -> Verdict {
        let others = |(_, claim): (&Ticket, &mut Claim)| Some(claim.group) != group;
        let dedup = self.kind == Kind::Dedup;
        let away: Vec<Ticket> = self
            .waiting
            .extract_if(.., |t, w| dedup && others((t, w)))
            .map(|(ticket, _)| ticket)
            .collect();
        if away.is_empty() {
            Verdict::Recheck
        } else {
            Verdict::Reject(away, "group")
        }
    }

    fn take_waiting(&mut self) -> Vec<Ticket> {
        (self.tries, self.blocked) = (0, false);
        std::mem::take(&mut self.waiting).into_keys().collect()
    }
}
