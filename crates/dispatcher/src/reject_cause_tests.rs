//! Unit tests of the `reject_cause` module.

use std::fs;

use hallmux::interface::RejectReason;

use super::RejectCause;

#[test]
fn each_cause_has_its_log_text_and_its_row_in_the_on_call_page() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/on-call.md");
    let page = fs::read_to_string(path).unwrap();
    for cause in RejectCause::OUTSIDE_SCHEDULER {
        let text = cause.to_string();
        assert_eq!(text, format!("{cause:?}"));
        assert!(page.contains(&format!("| `{text}` |")), "{text}");
    }
    for reason in RejectReason::ALL {
        assert_eq!(RejectCause::Scheduler(reason).to_string(), reason.name());
    }
}
