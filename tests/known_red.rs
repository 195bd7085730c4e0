//! Tests of `.ci/known-red`, which runs the workspace's tests apart from those listed in
//! `KNOWN-RED.txt`. The script runs in a temporary directory with a stand-in for cargo. Two
//! further tests check that libtest's exact skip filters, which the script relies on, do not skip
//! longer names.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Stand-in for cargo that records its arguments. It lists the tests in the file `tests`. The run
/// without the listed tests exits with the status in `ordinary`. The run of a single test prints
/// `alone-says` and exits with the status in `alone`.
const CARGO: &str = r#"#!/usr/bin/env bash
here=$(dirname "$0")
echo "$*" >>"$here/calls"
case "$*" in
  "test --workspace --locked -- --list") cat "$here/tests" ;;
  "test --workspace --locked" | *" --skip "*) exit "$(cat "$here/ordinary")" ;;
  *) cat "$here/alone-says"; exit "$(cat "$here/alone")" ;;
esac
"#;

const TESTS: &str =
    "\nrunning 4 tests\na::b: test\na::b_too: test\nc: test\ntwice: test\nshort: benchmark\n\n\
                     4 tests, 1 benchmark\n\nrunning 1 test\ntwice: test\n\n1 test, 0 benchmarks\n";
const PASSED: &str =
    "test result: ok. 0 passed; 0 failed; 0 ignored\n\ntest result: ok. 1 passed; 0 failed; 0 ignored\n";
const FAILED: &str =
    "test result: ok. 0 passed; 0 failed; 0 ignored\n\ntest result: FAILED. 0 passed; 1 failed;\n";
const LIST: &str = "test --workspace --locked -- --list";

/// A temporary root directory with the script, the stand-in and optionally a list. Dropping it
/// removes the directory.
struct TestRoot(PathBuf);

impl Drop for TestRoot {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The result of a run: whether it passed, its standard output and error, and the recorded calls
/// of cargo.
struct RunResult {
    passed: bool,
    out: String,
    err: String,
    calls: Vec<String>,
}

fn write_executable(path: &Path, text: &str) {
    fs::write(path, text).unwrap();
    fs::set_permissions(path, fs::Permissions::from_mode(0o755)).unwrap();
}

impl TestRoot {
    fn new(name: &str) -> TestRoot {
        let root = TestRoot(
            std::env::temp_dir().join(format!("hallmux-known-red-{}-{name}", std::process::id())),
        );
        fs::create_dir_all(root.0.join(".ci")).unwrap();
        fs::create_dir_all(root.0.join("bin")).unwrap();
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
        write_executable(
            &root.0.join(".ci/known-red"),
            &fs::read_to_string(script).unwrap(),
        );
        write_executable(&root.0.join("bin/cargo"), CARGO);
        root.write("tests", TESTS)
            .write("ordinary", "0")
            .write("alone", "101")
            .write("alone-says", FAILED);
        root
    }

    fn write(&self, file: &str, text: &str) -> &TestRoot {
        fs::write(self.0.join("bin").join(file), text).unwrap();
        self
    }

    fn list(&self, text: &str) -> &TestRoot {
        fs::write(self.0.join("KNOWN-RED.txt"), text).unwrap();
        self
    }

    fn run(&self) -> RunResult {
        let calls = self.0.join("bin/calls");
        let _ = fs::remove_file(&calls);
        let path = format!(
            "{}:{}",
            self.0.join("bin").display(),
            std::env::var("PATH").unwrap()
        );
        let ran = Command::new(self.0.join(".ci/known-red"))
            .env("PATH", path)
            .output()
            .unwrap();
        RunResult {
            passed: ran.status.success(),
            out: String::from_utf8(ran.stdout).unwrap(),
            err: String::from_utf8(ran.stderr).unwrap(),
            calls: fs::read_to_string(&calls)
                .unwrap_or_default()
                .lines()
                .map(String::from)
                .collect(),
        }
    }

    /// Asserts that the script rejects the list with this one line before it runs any test.
    fn assert_rejected(&self, list: &str, line: &str) {
        let result = self.list(list).run();
        assert!(!result.passed, "{list:?} was accepted");
        assert_eq!(
            (result.out.as_str(), result.err.as_str()),
            ("", format!("KNOWN-RED.txt: {line}\n").as_str())
        );
        assert!(
            result.calls.iter().all(|call| call == LIST),
            "{list:?}: {:?}",
            result.calls
        );
    }
}

#[test]
fn without_a_list_all_tests_run_in_one_call() {
    let root = TestRoot::new("none");
    for list in [None, Some(""), Some("# nothing is red\n\n  \n")] {
        if let Some(list) = list {
            root.list(list);
        }
        for (status, passes) in [("0", true), ("101", false)] {
            let result = root.write("ordinary", status).run();
            assert_eq!(result.passed, passes, "{list:?}");
            assert_eq!(result.calls, ["test --workspace --locked"], "{list:?}");
            assert_eq!(
                (result.out.as_str(), result.err.as_str()),
                ("", ""),
                "{list:?}"
            );
        }
    }
}

#[test]
fn listed_tests_run_alone_and_their_failures_are_not_counted() {
    let root = TestRoot::new("listed");
    let result = root
        .list("# mended first\r\n\n  a::b | a cause, in words | #12\t\r\nc | another | #13")
        .run();
    assert!(result.passed, "{}", result.err);
    assert_eq!(
        result.out,
        "known red: a::b: failed as listed\nknown red: c: failed as listed\n"
    );
    assert_eq!(
        result.calls,
        [
            LIST,
            "test --workspace --locked -- --exact --skip a::b --skip c",
            "test --workspace --locked -- --exact a::b",
            "test --workspace --locked -- --exact c",
        ]
    );
    let result = root.write("alone", "0").write("alone-says", PASSED).run();
    assert!(result.passed, "{}", result.err);
    let off = "passes now: take it off the list";
    assert_eq!(
        result.out,
        format!("known red: a::b: {off}\nknown red: c: {off}\n")
    );
}

#[test]
fn a_test_that_is_not_listed_still_fails_the_run() {
    let result = TestRoot::new("ordinary")
        .list("c | a cause | #1")
        .write("ordinary", "101")
        .run();
    assert!(!result.passed);
    assert_eq!(
        result.calls,
        [LIST, "test --workspace --locked -- --exact --skip c"]
    );
}

#[test]
fn a_listed_test_without_a_result_fails_the_run() {
    let root = TestRoot::new("alone");
    let ignored = "test result: ok. 0 passed; 0 failed; 1 ignored\n";
    let aborted = "error: test failed (signal: 6, SIGABRT: process abort signal)\n";
    for (status, output) in [
        ("0", ignored),
        ("101", aborted),
        ("101", PASSED),
        ("0", FAILED),
    ] {
        let result = root
            .list("c | a cause | #1")
            .write("alone", status)
            .write("alone-says", output)
            .run();
        assert!(!result.passed, "{output}");
        assert_eq!(result.out, "");
        let line =
            format!("KNOWN-RED.txt: c neither passed nor failed (exit {status}, output above)\n");
        assert!(result.err.ends_with(&line), "{}", result.err);
    }
}

#[test]
fn an_invalid_list_is_rejected_before_any_test_runs() {
    let root = TestRoot::new("refused");
    let form = "is not of the form TEST | CAUSE | ISSUE";
    for line in [
        "c",
        "c | cause",
        "c|cause|#1",
        "c | cause | ",
        "c |  | #1",
        "| cause | #1",
        "c | a | b | #1",
    ] {
        root.assert_rejected(
            &format!("# one\n{line}\n"),
            &format!("line 2 {form}: {}", line.trim()),
        );
    }
    root.assert_rejected(
        "c | cause | #1\nc | cause | #2\n",
        "line 2: c is listed twice",
    );
    root.assert_rejected("gone | cause | #1\n", "line 1: no test is named gone");
    root.assert_rejected("a::b_ | cause | #1\n", "line 1: no test is named a::b_");
    root.assert_rejected("a.*b | cause | #1\n", "line 1: no test is named a.*b");
    root.assert_rejected("short | cause | #1\n", "line 1: no test is named short");
    root.assert_rejected(
        "\ntwice | cause | #1\n",
        "line 2: 2 tests are named twice; give this one a name of its own",
    );
    let four: String = ["a::b", "a::b_too", "c", "gone"]
        .map(|name| format!("{name} | cause | #1\n"))
        .concat();
    root.assert_rejected(&four, "lists 4 tests, at most 3 may be listed");
    fs::remove_file(root.0.join("KNOWN-RED.txt")).unwrap();
    fs::create_dir(root.0.join("KNOWN-RED.txt")).unwrap();
    let result = root.run();
    assert!(!result.passed && result.calls.is_empty());
    assert_eq!(
        result.err,
        "KNOWN-RED.txt: is not a file that can be read\n"
    );
}

#[test]
fn a_broken_list_of_tests_fails_the_run() {
    let root = TestRoot::new("broken");
    write_executable(&root.0.join("bin/cargo"), "#!/usr/bin/env bash\nexit 101\n");
    assert!(!root.list("c | a cause | #1").run().passed);
}

const NAME: &str = "skip_filters_match_exact_names";

#[test]
fn skip_filters_match_exact_names() {
    let listed_tests = |arguments: &[&str]| {
        let ran = Command::new(std::env::current_exe().unwrap())
            .arg("--list")
            .args(arguments)
            .output()
            .unwrap();
        let lines = String::from_utf8(ran.stdout).unwrap();
        lines
            .lines()
            .filter_map(|line| Some(line.strip_suffix(": test")?.to_string()))
            .collect::<Vec<_>>()
    };
    let all = listed_tests(&[]);
    assert!(all.iter().filter(|test| test.contains(NAME)).count() > 1);
    let others: Vec<_> = all.iter().filter(|test| *test != NAME).cloned().collect();
    assert_eq!(listed_tests(&["--exact", "--skip", NAME]), others);
    assert_eq!(listed_tests(&["--exact", NAME]), [NAME]);
}

/// This test's name contains the previous test's name; the exact filters must not skip it.
#[test]
fn skip_filters_match_exact_names_only() {
    assert_ne!("skip_filters_match_exact_names_only", NAME);
}
