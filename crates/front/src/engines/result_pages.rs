//! Assembly of a result from the pages that its engine sends.

use hallmux_dispatcher::Micros;
use hallmux_native_codec::engine;

/// Maximum number of pages of a result; the protocol's results have eight.
pub(super) const MAX_PAGES: usize = 64;
/// Maximum size of a result in bytes, as the protocol defines it.
const MAX_RESULT_BYTES: usize = 48_000;

#[derive(Default)]
pub(super) struct ResultPages {
    pages: Vec<Option<Vec<u8>>>,
    missing: usize,
    bytes: usize,
    pub(super) last_page_at: Micros,
    /// The load report that came with the first page.
    pub(super) report: Option<Vec<f64>>,
}

/// The state of a result after a page was added.
#[derive(PartialEq)]
pub(super) enum PageOutcome {
    /// Pages are still missing.
    Incomplete,
    Complete,
    /// The page violates the protocol or differs from its first copy.
    Malformed,
}

impl ResultPages {
    /// Creates a result of `count` pages, all of them missing.
    pub(super) fn new(now: Micros, count: usize, report: Option<Vec<f64>>) -> ResultPages {
        ResultPages {
            pages: vec![None; count],
            missing: count,
            bytes: 0,
            last_page_at: now,
            report,
        }
    }

    /// The number of pages of the complete result.
    pub(super) fn count(&self) -> usize {
        self.pages.len()
    }

    /// Adds a page; a second copy is ignored. One malformed page makes the whole result malformed, so that a
    /// partial or wrong result is never passed on as complete.
    pub(super) fn add(&mut self, now: Micros, number: usize, bytes: &[u8]) -> PageOutcome {
        match self.pages.get_mut(number) {
            Some(Some(existing)) if existing == bytes => return PageOutcome::Incomplete,
            Some(page @ None)
                if engine::are_rows(bytes) && self.bytes + bytes.len() <= MAX_RESULT_BYTES =>
            {
                *page = Some(bytes.to_vec());
            }
            _ => return PageOutcome::Malformed,
        }
        self.bytes += bytes.len();
        self.last_page_at = now;
        self.missing -= 1;
        if self.missing == 0 {
            PageOutcome::Complete
        } else {
            PageOutcome::Incomplete
        }
    }

    /// The bytes of all received pages, in page order.
    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.pages.into_iter().flatten().flatten().collect()
    }
}
