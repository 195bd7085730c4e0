//! How long fronts and the rig itself waited for a CPU. A front is not at fault for what a busy
//! machine delays; a front that is slow by its own work gets no credit here.

const SPAN_US: i64 = 1_000_000; // of a span that is evaluated as a unit
/// Microseconds without a CPU in a span after which fronts may take each other for failed: less
/// than an owner's election.
const MIN_STARVED_US: i64 = 200_000;

/// Spans in which a front, or the rig itself, waited for a CPU.
#[derive(Clone, Debug, Default)]
pub struct Starved(Vec<StarvedSpan>);

/// One such span; times are microseconds since the rig began.
#[derive(Clone, Copy, Debug)]
pub struct StarvedSpan {
    /// `None` is the rig itself.
    pub front: Option<usize>,
    pub from: i64,
    pub to: i64,
    /// Microseconds of waiting within the span.
    pub waited: i64,
}

impl Starved {
    #[cfg(test)]
    pub fn of(front: usize, span: (i64, i64), waited: i64) -> Starved {
        Starved(vec![StarvedSpan {
            front: Some(front),
            from: span.0,
            to: span.1,
            waited,
        }])
    }

    #[cfg(test)]
    pub fn of_rig(span: (i64, i64), waited: i64) -> Starved {
        Starved(vec![StarvedSpan {
            front: None,
            from: span.0,
            to: span.1,
            waited,
        }])
    }

    /// Adds a span.
    pub fn push(&mut self, span: StarvedSpan) {
        self.0.push(span);
    }

    fn waited(&self, front: Option<usize>, (from, to): (i64, i64)) -> i64 {
        let overlaps =
            |span: &&StarvedSpan| span.front == front && span.from < to && from < span.to;
        let spans = self.0.iter().filter(overlaps);
        spans.map(|span| span.waited).sum()
    }

    /// Returns for how many microseconds a front waited for a CPU in a span.
    pub fn front(&self, front: usize, span: (i64, i64)) -> i64 {
        self.waited(Some(front), span)
    }

    /// Returns the same for the rig, which carries all messages.
    pub fn rig(&self, span: (i64, i64)) -> i64 {
        self.waited(None, span)
    }

    /// Returns the spans in which a front, or the rig, waited so long that others could take it for
    /// failed.
    pub fn spans(&self) -> Vec<(i64, i64)> {
        let mut by_span = std::collections::BTreeMap::<(i64, Option<usize>), i64>::new();
        for span in &self.0 {
            *by_span.entry((span.to / SPAN_US, span.front)).or_default() += span.waited;
        }
        by_span.retain(|_, waited| *waited >= MIN_STARVED_US);
        let mut spans: Vec<i64> = by_span.into_keys().map(|(span, _)| span).collect();
        spans.dedup();
        spans
            .into_iter()
            .map(|span| ((span - 1) * SPAN_US, (span + 1) * SPAN_US))
            .collect()
    }
}

#[cfg(test)]
#[path = "starved_tests.rs"]
mod tests;
