//! Starts the front's binary with configurations that can't be used: it ends at once, with exit code 1 and one line
//! that names the file, the line in it, the key and what can be done.

use std::ffi::OsStr;
use std::net::TcpListener;
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(10); // for a start to end; a busy machine takes some of it
const LOOK: Duration = Duration::from_millis(2); // between looks whether it has

const GOOD: &str = r#"{
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

const OPERATOR: &str = "{\n  // comments count as lines\n  load_signal:\n    'utilization',\n}\n";

struct Folder(PathBuf);

impl Folder {
    fn file(&self, name: &str, bytes: &[u8]) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, bytes).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What a process has left that ends by itself. One that goes on is killed, and fails the test: it would hang.
fn ended(mut process: Child) -> Output {
    let begun = Instant::now();
    while process.try_wait().unwrap().is_none() {
        if begun.elapsed() > PATIENCE {
            process.kill().unwrap();
            panic!("it started: {:?}", process.wait_with_output().unwrap());
        }
        std::thread::sleep(LOOK);
    }
    process.wait_with_output().unwrap()
}

/// What it says; it has ended by then.
fn refused(config: &Path, operator: Option<&Path>) -> String {
    let operator = operator.map(|path| ("HALLMUX_OPERATOR", path.as_os_str()));
    refused_with(config, operator.as_slice())
}

/// The same, with some variables set.
fn refused_with(config: &Path, variables: &[(&str, &OsStr)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallmux-front"));
    command
        .env_clear()
        .env("NODE_CONFIG", config)
        .envs(variables.iter().copied());
    let output = ended(
        command
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap(),
    );
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert_eq!(said.matches('\n').count(), 1, "one line: {said}");
    assert!(said.contains("; "), "no remedy: {said}");
    said
}

#[test]
fn a_configuration_that_cannot_be_used_ends_the_start_with_its_line_and_key() {
    let folder =
        Folder(std::env::temp_dir().join(format!("hallmux-refused-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    for (from, to, says) in [
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
        assert!(GOOD.contains(from), "{from}");
        let config = folder.file("front.json", GOOD.replacen(from, to, 1).as_bytes());
        let said = refused(&config, None);
        let begins = format!("hallmux-front: NODE_CONFIG: {}: {says}", config.display());
        assert!(said.starts_with(&begins), "{said}\nis not\n{begins}");
    }
    let mut bytes = GOOD.as_bytes().to_vec();
    bytes[40] = 0xff;
    let said = refused(&folder.file("front.json", &bytes), None);
    assert!(
        said.contains("front.json: line 3, column 23: not UTF-8; "),
        "{said}"
    );
    let said = refused(&folder.file("front.json", b""), None);
    assert!(said.contains("front.json: line 1, column 0: EOF"), "{said}");
    let said = refused(&folder.0.join("gone.json"), None);
    assert!(said.contains("gone.json: can't be read: "), "{said}");
    let config = folder.file("front.json", GOOD.as_bytes());
    for (text, says) in [
        (
            OPERATOR.to_string(),
            "line 3: load_signal: 'utilization' needs 'cpu' among the settings' report.names",
        ),
        (
            OPERATOR.replace("load_signal", "lode_signal"),
            "line 3: lode_signal: unknown field `lode_signal`",
        ),
        (
            OPERATOR.replace("'utilization'", "{}"),
            "line 3: load_signal: expected string; ",
        ),
        (
            OPERATOR.replace(":\n", "\n"),
            "line 4, column 5: expected colon",
        ),
        ("[".repeat(100_000), "line 1: brackets stand open 64 deep"),
    ] {
        let operator = folder.file("operator.json5", text.as_bytes());
        let said = refused(&config, Some(&operator));
        let begins = format!(
            "hallmux-front: HALLMUX_OPERATOR: {}: {says}",
            operator.display()
        );
        assert!(said.starts_with(&begins), "{said}\nis not\n{begins}");
    }
}

fn folder(name: &str) -> Folder {
    let folder =
        Folder(std::env::temp_dir().join(format!("hallmux-{name}-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    folder
}

#[test]
fn what_the_program_itself_finds_wrong_is_named_with_file_and_key() {
    let folder = folder("refused-keys");
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = taken.local_addr().unwrap().to_string();
    let name = folder.0.join("front.json");
    for (from, to, says) in [
        ("127.0.0.1:0", at.as_str(), format!("listen: {at}: ")),
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
        assert!(GOOD.contains(from), "{from}");
        let said = refused(
            &folder.file("front.json", GOOD.replacen(from, to, 1).as_bytes()),
            None,
        );
        let begins = format!("hallmux-front: NODE_CONFIG: {}: {says}", name.display());
        assert!(
            said.starts_with(&begins) && !said.contains("line 1"),
            "{said}\nis not\n{begins}"
        );
    }
    let config = folder.file("front.json", GOOD.as_bytes());
    let said = refused_with(&config, &[("NODE_LISTEN", OsStr::new(&at))]);
    assert!(
        said.starts_with(&format!("hallmux-front: NODE_LISTEN: {at}: ")),
        "{said}"
    );
}

#[test]
fn a_variable_that_is_no_text_ends_no_start_but_its_own() {
    let folder = folder("refused-variables");
    let config = folder.file(
        "front.json",
        GOOD.replacen("\"once\"", "\"twice\"", 1).as_bytes(),
    );
    let no_text = OsStr::from_bytes(b"x\xff");
    // One that is none of the front's changes nothing: the file is read.
    let said = refused_with(&config, &[("LABEL", no_text)]);
    assert!(
        said.contains("line 16: settings.requestClasses[1].repeat: unknown word 'twice'"),
        "{said}"
    );
    let config = folder.file("front.json", GOOD.as_bytes());
    for (variable, says) in [
        ("NODE_CONFIG", "can't be read: "),
        ("HALLMUX_OPERATOR", "can't be read: "),
        ("NODE_LISTEN", "invalid socket address"),
        ("HALLMUX_LOG", "give one of off, error,"),
    ] {
        let said = refused_with(&config, &[(variable, no_text)]);
        assert!(
            said.contains(&format!("{variable}: ")) && said.contains(says),
            "{said}"
        );
    }
}
