//! Unit tests of the extraction of lines from what a relay reads.

use super::wire_events::Lines;

fn taken(chunks: &[&str]) -> Vec<(String, String)> {
    let mut lines = Lines::default();
    chunks
        .iter()
        .flat_map(|chunk| lines.take(chunk.as_bytes()))
        .collect()
}

fn verbs(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs
        .iter()
        .map(|(verb, id)| (verb.to_string(), id.to_string()))
        .collect()
}

#[test]
fn verbs_are_found_wherever_the_bytes_are_cut() {
    let bytes =
        "want 1a class=x,wait=5 9\r\nid=s1,ms=1\r\nhurry 1a 2\r\nnever_mind 1a\r\nbusy p1\r\n";
    let all = verbs(&[("want", "1a"), ("never_mind", "1a")]);
    assert_eq!(taken(&[bytes]), all);
    for cut in 0..bytes.len() {
        assert_eq!(taken(&[&bytes[..cut], &bytes[cut..]]), all, "{cut}");
    }
}

#[test]
fn answers_of_engines_are_recorded_with_their_id() {
    let bytes = "2b ACK batches=1,stats=inflight:3 7\r\ns1\t-\t-\n\r\n3c AGAIN stats=inflight:9 0\r\n\r\np1 READY - 0\r\n\r\n";
    assert_eq!(taken(&[bytes]), verbs(&[("ACK", "2b"), ("AGAIN", "3c")]));
}

#[test]
fn bytes_without_a_line_end_are_not_kept_for_ever() {
    let mut lines = Lines::default();
    for _ in 0..64 {
        assert!(lines.take(&[b'x'; 4096]).is_empty());
    }
    lines.take(b"\n");
    assert_eq!(lines.take(b"want 1 - 0\r\n"), verbs(&[("want", "1")]));
}
