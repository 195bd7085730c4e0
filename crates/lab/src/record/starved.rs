//! How long fronts and the rig itself wanted a CPU and were not given one: what a busy machine takes is no fault of a
//! front's. A front that is slow by its own work has no share in it.

const SPAN_US: i64 = 1_000_000; // microseconds of a span that is looked at as one
/// Microseconds without a CPU in a span that make fronts take each other for silent: less than an owner's election.
const MIN_STARVED_US: i64 = 200_000;

/// Spans in which a front, or the rig itself, wanted a CPU and had none for some time.
#[derive(Clone, Debug, Default)]
pub struct Starved(Vec<StarvedSpan>);

/// Times are microseconds since the rig began.
#[derive(Clone, Copy, Debug)]
pub struct StarvedSpan {
    /// None is the rig itself.
    pub front: Option<usize>,
    pub from: i64,
    pub to: i64,
    /// How long of the span there was no CPU.
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

    /// Microseconds for which a front had no CPU in a span.
    pub fn front(&self, front: usize, span: (i64, i64)) -> i64 {
        self.waited(Some(front), span)
    }

    /// The same of the rig, which carries all messages.
    pub fn rig(&self, span: (i64, i64)) -> i64 {
        self.waited(None, span)
    }

    /// Spans in which some front, or the rig, had none for so long that others could take it for silent.
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
