//! Starts the front's binary with invalid configurations: it must exit at once with code 1 and print one line
//! that names the file, the line in it, the key and the remedy.

use std::ffi::OsStr;
use std::net::TcpListener;
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(10); // for one start, on a busy machine
const POLL_INTERVAL: Duration = Duration::from_millis(2); // between checks whether the process has exited

const VALID_CONFIG: &str = r#"{
  "name": "n1",
  "listen": "127.0.0.1:0",
  "seed": "8c1f30d27a5be964",
  "known": {"index": 0, "updates": []},
  "settings": {
    "instances": 4,
    "areas": ["north", "south"], "kinds": ["std", "big"],
    "rules": {"turnGapMs": 100},
    "customers": [{"name": "office"},
      {"name": "field", "allowancePerS": 40}],
    "requestClasses": [
      {"name": "look-up", "aimMs": 500, "deadlineMs": 2000, "repeat": "repeatable"},
      {"name": "write", "aimMs": 500,
        "deadlineMs": 4000,
        "repeat": "once"}]
  }
}
"#;

const OPERATOR_FILE_WITH_ERROR: &str =
    "{\n  // comments count as lines\n  load_signal:\n    'utilization',\n}\n";

struct TempFolder(PathBuf);

impl TempFolder {
    fn file(&self, name: &str, bytes: &[u8]) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, bytes).unwrap();
        path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits until a process exits and returns its output. A process that is still running at the timeout is
/// killed and fails the test.
fn wait_for_exit(mut process: Child) -> Output {
    let started = Instant::now();
    while process.try_wait().unwrap().is_none() {
        if started.elapsed() > START_TIMEOUT {
            process.kill().unwrap();
            panic!(
                "the front did not exit: {:?}",
                process.wait_with_output().unwrap()
            );
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    process.wait_with_output().unwrap()
}

/// Starts the front with a configuration and an operator's file; returns the one line that it prints before
/// it exits.
fn start_error(config: &Path, operator: Option<&Path>) -> String {
    let operator = operator.map(|path| ("HALLMUX_OPERATOR", path.as_os_str()));
    start_error_with(config, operator.as_slice())
}

/// Like `start_error`, with environment variables besides `NODE_CONFIG`.
fn start_error_with(config: &Path, variables: &[(&str, &OsStr)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallmux-front"));
    command
        .env_clear()
        .env("NODE_CONFIG", config)
        .envs(variables.iter().copied());
    let output = wait_for_exit(
        command
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap(),
    );
    let message = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{message}");
    assert_eq!(message.matches('\n').count(), 1, "one line: {message}");
    assert!(message.contains("; "), "no remedy: {message}");
    message
}

#[test]
fn an_invalid_configuration_stops_the_start_with_its_line_and_key() {
    let folder =
        TempFolder(std::env::temp_dir().join(format!("hallmux-refused-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    for (from, to, expected) in [
        (
            "500, \"dead",
            "\"soon\", \"dead",
            "line 13, column 41: settings.requestClasses[0].aimMs: invalid type",
        ),
        (
            "        \"deadlineMs\": 4000,\n",
            "",
            "line 14: settings.requestClasses[1]: missing field `deadlineMs`",
        ),
        ("4000", "-4000", "line 15: settings.requestClasses[1].deadlineMs: is not from 0 to 1000000000000;"),
        ("4000", "4e400", "line 15, column 27: settings.requestClasses[1].deadlineMs: number out of range"),
        (
            "\"once\"",
            "\"twice\"",
            "line 16: settings.requestClasses[1].repeat: unknown word 'twice'; give one of",
        ),
        (
            "\"once\"",
            r#""o\nce\r""#,
            r"line 16: settings.requestClasses[1].repeat: unknown word 'o\nce\r'; give one of",
        ),
        (
            "\"known\"",
            "\"limits\": {\"sockets\": 1},\n\"known\"",
            "line 5: limits.sockets: is under 2; give no less",
        ),
        (
            "\"known\"",
            "\"limits\": {\n\"memory_mb\": 0},\n\"known\"",
            "line 6: limits.memory_mb: is under 1; give no less",
        ),
        (
            "\"rules\": {\"turnGapMs\": 100}",
            "\"rules\": {},\n\"bounds\": {\"streamsPerConn\": 18446744073709551615}",
            "line 10: settings.bounds.streamsPerConn: is not from 0 to 1000000000000; give a value within",
        ),
        ("40}", "[40]}", "line 11, column 41: settings.customers[1].allowancePerS: invalid type"),
        ("\"seed\": \"8c", "\"seed\": \"zz", "line 4: seed: 'zz1f30d27a5be964': invalid digit"),
        ("\n  }\n}", "\n  }\n", "line 19, column 0: EOF while parsing an object"),
        ("\"north\"", "north", "line 8, column 16: settings: expected ident"),
    ] {
        assert!(VALID_CONFIG.contains(from), "{from}");
        let config = folder.file("front.json", VALID_CONFIG.replacen(from, to, 1).as_bytes());
        let message = start_error(&config, None);
        let expected_start = format!("hallmux-front: NODE_CONFIG: {}: {expected}", config.display());
        assert!(message.starts_with(&expected_start), "{message}\nis not\n{expected_start}");
    }
    let mut bytes = VALID_CONFIG.as_bytes().to_vec();
    bytes[40] = 0xff;
    let message = start_error(&folder.file("front.json", &bytes), None);
    assert!(
        message.contains("front.json: line 3, column 23: not UTF-8; "),
        "{message}"
    );
    let message = start_error(&folder.file("front.json", b""), None);
    assert!(
        message.contains("front.json: line 1, column 0: EOF"),
        "{message}"
    );
    let message = start_error(&folder.0.join("gone.json"), None);
    assert!(message.contains("gone.json: can't be read: "), "{message}");
    let config = folder.file("front.json", VALID_CONFIG.as_bytes());
    for (text, expected) in [
        (
            OPERATOR_FILE_WITH_ERROR.to_string(),
            "line 3: load_signal: 'utilization' needs 'cpu' among the settings' report.names",
        ),
        (
            OPERATOR_FILE_WITH_ERROR.replace("load_signal", "lode_signal"),
            "line 3: lode_signal: unknown field `lode_signal`",
        ),
        (
            OPERATOR_FILE_WITH_ERROR.replace("'utilization'", "{}"),
            "line 3: load_signal: expected string; ",
        ),
        (
            OPERATOR_FILE_WITH_ERROR.replace(":\n", "\n"),
            "line 4, column 5: expected colon",
        ),
        (
            "[".repeat(100_000),
            "line 1: brackets are nested over 64 deep",
        ),
    ] {
        let operator = folder.file("operator.json5", text.as_bytes());
        let message = start_error(&config, Some(&operator));
        let expected_start = format!(
            "hallmux-front: HALLMUX_OPERATOR: {}: {expected}",
            operator.display()
        );
        assert!(
            message.starts_with(&expected_start),
            "{message}\nis not\n{expected_start}"
        );
    }
}

fn folder(name: &str) -> TempFolder {
    let folder =
        TempFolder(std::env::temp_dir().join(format!("hallmux-{name}-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    folder
}

#[test]
fn errors_found_after_parsing_name_the_file_and_key() {
    let folder = folder("refused-keys");
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = occupied.local_addr().unwrap().to_string();
    let name = folder.0.join("front.json");
    for (from, to, expected) in [
        (
            "127.0.0.1:0",
            address.as_str(),
            format!("listen: {address}: "),
        ),
        (
            "{\"index\": 0,",
            "{\"index\": \"none\",",
            "known: invalid type: string \"none\"".to_string(),
        ),
        (
            "\"updates\": []",
            "\"updates\": [7]",
            "known: invalid type: integer `7`".to_string(),
        ),
        (
            "\"updates\": []",
            "\"updates\": 7",
            "known: invalid type: integer `7`".to_string(),
        ),
    ] {
        assert!(VALID_CONFIG.contains(from), "{from}");
        let message = start_error(
            &folder.file("front.json", VALID_CONFIG.replacen(from, to, 1).as_bytes()),
            None,
        );
        let expected_start = format!("hallmux-front: NODE_CONFIG: {}: {expected}", name.display());
        assert!(
            message.starts_with(&expected_start) && !message.contains("line 1"),
            "{message}\nis not\n{expected_start}"
        );
    }
    let config = folder.file("front.json", VALID_CONFIG.as_bytes());
    let message = start_error_with(&config, &[("NODE_LISTEN", OsStr::new(&address))]);
    assert!(
        message.starts_with(&format!("hallmux-front: NODE_LISTEN: {address}: ")),
        "{message}"
    );
}

#[test]
fn only_variables_of_the_front_must_be_valid_utf8() {
    let folder = folder("refused-variables");
    let config = folder.file(
        "front.json",
        VALID_CONFIG.replacen("\"once\"", "\"twice\"", 1).as_bytes(),
    );
    let not_utf8 = OsStr::from_bytes(b"x\xff");
    // A variable that the front does not read may hold any bytes: the start reaches the error in the file.
    let message = start_error_with(&config, &[("LABEL", not_utf8)]);
    assert!(
        message.contains("line 16: settings.requestClasses[1].repeat: unknown word 'twice'"),
        "{message}"
    );
    let config = folder.file("front.json", VALID_CONFIG.as_bytes());
    for (variable, expected) in [
        ("NODE_CONFIG", "can't be read: "),
        ("HALLMUX_OPERATOR", "can't be read: "),
        ("NODE_LISTEN", "invalid socket address"),
        ("HALLMUX_LOG", "give one of off, error,"),
    ] {
        let message = start_error_with(&config, &[(variable, not_utf8)]);
        assert!(
            message.contains(&format!("{variable}: ")) && message.contains(expected),
            "{message}"
        );
    }
}
