//! Unit tests of the `start_error` module.

use super::*;

#[test]
fn every_start_error_names_place_fault_and_remedy() {
    let at = SocketAddr::from(([127, 0, 0, 1], 9090));
    let other = |text: &str| std::io::Error::other(text.to_string());
    let file = |name: &str| HashMap::from([(name.to_string(), "front.json".to_string())]);
    let (in_file, in_variable) = (file("NODE_CONFIG"), file("NODE_LISTEN"));
    let missing = hallmux_config::Error::Unset {
        variable: "NODE_CONFIG",
        expected: "a path",
    };
    for (fault, place) in [
        (StartError::from(missing), "NODE_CONFIG: "),
        (
            StartError::known_events(&in_file, "invalid type at line 1 column 9"),
            "NODE_CONFIG: front.json: known: ",
        ),
        (
            StartError::listen(&in_file, at, other("in use")),
            "NODE_CONFIG: front.json: listen: 127.0.0.1:9090: ",
        ),
        (
            StartError::listen(&in_variable, at, other("in use")),
            "NODE_LISTEN: 127.0.0.1:9090: ",
        ),
        (
            StartError::component(&other("gossip: secret_file: s: gone")),
            "gossip: secret_file: s: ",
        ),
        (
            StartError::component(&other("rules.file: r: gone; name another")),
            "rules.file: r: ",
        ),
        (
            StartError::system("signals", &other("too many")),
            "signals: ",
        ),
    ] {
        match &fault {
            StartError::Configuration(_)
            | StartError::KnownEvents { .. }
            | StartError::Listen { .. } => {}
            // These errors have separate tests.
            StartError::Peers(_) | StartError::Rules(_) => {}
            StartError::Component(_)
            | StartError::ComponentWithRemedy(_)
            | StartError::System { .. } => {}
        }
        let text = fault.to_string();
        let (wrong, remedy) = text.rsplit_once("; ").unwrap();
        assert!(
            wrong.starts_with(place) && wrong.len() > place.len() && remedy.len() > 8,
            "{text}"
        );
        assert!(
            text.matches("; ").count() == 1 && !text.contains('\n'),
            "{text}"
        );
    }
    let known = StartError::known_events(&in_file, "invalid type at line 1 column 9").to_string();
    assert!(known.contains("known: invalid type; "), "{known}");
}
