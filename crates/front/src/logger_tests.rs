//! Unit tests of the `logger` module.

use log::Level;

use super::*;

#[test]
fn record_quoting_a_line_break_stays_one_line() {
    let text = "workload 'look\n0.000 n1 error: all is lost\u{1b}[2J'";
    let record = |name: &str| {
        line(
            Duration::from_millis(12_034),
            name,
            &Record::builder()
                .level(Level::Warn)
                .args(format_args!("{text}"))
                .build(),
        )
    };
    let escaped = r"warn: workload 'look\n0.000 n1 error: all is lost\u{1b}[2J'";
    assert_eq!(record("n1"), format!("12.034 n1 {escaped}"));
    assert_eq!(record("n\r1"), format!(r"12.034 n\r1 {escaped}"));
}
