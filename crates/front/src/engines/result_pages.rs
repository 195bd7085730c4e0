//! A result that is put together from the pages that its engine sends.

use hallmux_dispatcher::Micros;
use hallmux_native_codec::engine;

/// Pages of a result at most; those agreed have eight.
pub(super) const MAX_PAGES: usize = 64;
/// Bytes of a result at most, as the protocol has it.
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

/// What a page has made of a result.
#[derive(PartialEq)]
pub(super) enum PageOutcome {
    /// Pages are missing still.
    Incomplete,
    Complete,
    /// A page that is not agreed, or other than its first copy.
    Malformed,
}

impl ResultPages {
    /// A result of so many pages, none of which was taken yet.
    pub(super) fn new(now: Micros, count: usize, report: Option<Vec<f64>>) -> ResultPages {
        ResultPages {
            pages: vec![None; count],
            missing: count,
            bytes: 0,
            last_page_at: now,
            report,
        }
    }

    /// Pages of the whole result.
    pub(super) fn count(&self) -> usize {
        self.pages.len()
    }

    /// Takes a page. A second copy is passed over. Guards against a part or a wrong page that passes for the whole:
    /// one page that is not agreed spoils the result.
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

    /// The bytes of all pages taken, in order.
    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.pages.into_iter().flatten().flatten().collect()
    }
}
