//! The labels of a unit, collected from its texts in the order in which they are executed.

use crate::sql::{Contradictions, Label, LabelChange, Scan};

/// What the parts of a unit so far say of its labels.
#[derive(Clone, Debug, Default)]
pub(super) struct UnitLabels {
    /// The labels that the unit has set before it has executed anything else.
    set: Label,
    /// The labels that the unit has set or reset later: they hold for what it executes then.
    set_later: Contradictions,
    /// Whether the unit has executed anything but settings of labels.
    executes: bool,
}

/// The labels of one part of a unit.
#[derive(Debug, Default)]
pub(super) struct PartLabels {
    unit: UnitLabels,
    /// The labels in the texts that the part executes.
    executed: Label,
    /// The labels in the texts that the part prepares or describes; the first one counts.
    prepared: Label,
    /// Whether the part executes anything but settings of labels.
    executes: bool,
    contradictions: Contradictions,
}

impl PartLabels {
    /// The labels of a part that comes after those that `unit` is collected from.
    pub(super) fn after(unit: UnitLabels) -> PartLabels {
        PartLabels {
            unit,
            ..PartLabels::default()
        }
    }

    /// Adds a text that the part prepares or describes.
    pub(super) fn add_prepared(&mut self, scan: &Scan) {
        self.prepared = scan.label.overridden_by(&self.prepared);
    }

    /// Adds a text that the part executes. All that a unit executes is executed as one, so two
    /// workloads, customers or order keys contradict each other.
    pub(super) fn add_executed(&mut self, scan: &Scan) {
        self.contradictions.add(Contradictions::between(
            &scan.label.overridden_by(&self.executed),
            &scan.label,
        ));
        self.executed = self.executed.overridden_by(&scan.label);
        let mut changes = scan.label_changes().peekable();
        for statement in 1..=scan.statements {
            match changes.next_if(|(of, _)| *of == statement) {
                Some((_, change)) => self.change_label(change),
                None => self.execute_statement(),
            }
        }
    }

    fn change_label(&mut self, change: &LabelChange) {
        if self.unit.executes {
            self.unit.set_later.add(Contradictions::of(&change.name));
        } else {
            self.unit.set.set(&change.name, &change.value);
        }
    }

    fn execute_statement(&mut self) {
        (self.executes, self.unit.executes) = (true, true);
        self.contradictions.add(self.unit.set_later);
    }

    /// Whether the part executes anything but settings of labels.
    pub(super) fn executes(&self) -> bool {
        self.executes
    }

    /// The labels that the part has in contradiction to each other.
    pub(super) fn contradictions(&self) -> Contradictions {
        self.contradictions
    }

    /// The labels of the part. One that executes nothing and is followed by more has those of the
    /// texts that it prepares, as its unit is admitted before it goes on to execute them.
    pub(super) fn label(&self, ends_unit: bool) -> Label {
        let own = if self.executes || ends_unit {
            &self.executed
        } else {
            &self.prepared
        };
        self.unit.set.overridden_by(own)
    }

    /// What the unit's next part has to know.
    pub(super) fn into_unit(self) -> UnitLabels {
        self.unit
    }
}
