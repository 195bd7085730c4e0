//! Unit tests of the `error` module.

use super::*;

#[test]
fn port_in_use_error_names_key_address_and_remedy() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = taken.local_addr().unwrap();
    let why = std::net::TcpListener::bind(at).unwrap_err();
    let error = std::io::Error::from(ListenError::Listen { at, why });
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
    let (wrong, remedy) = error
        .to_string()
        .split_once("; ")
        .map(|(a, b)| (a.to_string(), b.to_string()))
        .unwrap();
    assert!(
        wrong.starts_with(&format!("postgres.listen: {at}: ")) && remedy.starts_with("give "),
        "{wrong}"
    );
}
