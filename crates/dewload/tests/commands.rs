//! Tests the commands as processes, against stand-ins.

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::Value;
use standins::ports::free_address;
use standins::process::RunningProcess;

const WORKLOAD: &str = r#"
duration_seconds = 1
timeout_seconds = 10
[[class]]
name = "memo"
path = "/v1/chat/completions"
model = "m"
label = "memo"
rate_per_second = 40
target_ms = 5000
first_token_ms = 5000
prompt_tokens = { median = 20, sigma = 0.5, max = 100 }
answer_tokens = { median = 10, sigma = 0.5, max = 40 }
prefix = { count = 2, tokens = 10, share_percent = 50 }
workspaces = [{ name = "a", weight = 1 }]
[[class]]
name = "lost"
path = "/no-such-path"
rate_per_second = 10
target_ms = 5000
prompt_tokens = { median = 20, sigma = 0.5, max = 100 }
workspaces = [{ name = "a", weight = 1 }]
[[fault]]
at_seconds = 0.5
server = "engine"
control = '{"reset_after_tokens": 0}'
"#;

/// A file in the directory for test files, which is removed on drop.
struct TestFile(PathBuf);

impl TestFile {
    fn new(name: &str, text: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, text).expect("the directory is writable");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }

    fn json(&self) -> Value {
        let text = fs::read(&self.0).expect("the file was written");
        serde_json::from_slice(&text).expect("JSON")
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

fn engine() -> RunningProcess {
    let flags = ["--model", "m", "--token-interval-ms", "1", "--slots", "64"];
    RunningProcess::spawn("fake-engine", &flags)
}

fn dewload(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dewload"))
        .args(arguments)
        .output()
        .expect("the command runs")
}

fn successful_stdout(output: &Output) -> String {
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn a_run_reports_by_class() {
    let engine = engine();
    let workload = TestFile::new("run-workload.toml", WORKLOAD);
    let out = TestFile::new("run-report.json", "");
    let csv = TestFile::new("run-report.csv", "");
    let target = engine.address().to_string();
    let named = format!("engine={target}");
    let arguments = [
        "run",
        workload.path(),
        "--target",
        &target,
        "--engine",
        &named,
        "--out",
        out.path(),
        "--csv",
        csv.path(),
    ];
    let table = successful_stdout(&dewload(&arguments));
    assert!(table.starts_with("class"), "{table}");
    let report = out.json();
    let memo = &report["classes"][0]["outcomes"];
    let number = |value: &Value| value.as_u64().expect("a number");
    assert!(number(&memo["completed"]) > 5, "{table}");
    assert_eq!(
        memo["completed"], report["classes"][0]["in_target"],
        "{table}"
    );
    assert_eq!(memo["wrong"], 0, "{table}");
    let whole = &report["classes"][0]["whole_answer"];
    assert!(whole["p50_ms"].as_f64() > Some(5.0), "{whole}");
    assert!(whole["p50_ms"].as_f64() <= whole["p99_ms"].as_f64());
    let dropped: u64 = memo["unknown"]
        .as_object()
        .expect("an object")
        .values()
        .map(number)
        .sum();
    assert!(dropped > 5, "the fault has no effect: {table}");
    assert_eq!(number(&memo["sent"]), number(&memo["completed"]) + dropped);
    let lost = &report["classes"][1]["outcomes"];
    assert_eq!(lost["refused"]["404 -"], lost["sent"], "{table}");
    let generated = number(&report["waste"]["tokens_generated"]);
    let useful = number(&report["classes"][0]["useful_tokens"]);
    assert_eq!(generated, useful, "{table}");
    let rows = fs::read_to_string(csv.path()).expect("the file was written");
    assert_eq!(rows.lines().count(), 3);
}

#[test]
fn a_target_without_a_listener_is_unreachable() {
    let workload = TestFile::new(
        "unreachable-workload.toml",
        WORKLOAD.split("[[fault]]").next().expect("a first part"),
    );
    let out = TestFile::new("unreachable-report.json", "");
    let target = free_address().to_string();
    successful_stdout(&dewload(&[
        "run",
        workload.path(),
        "--target",
        &target,
        "--out",
        out.path(),
    ]));
    let outcomes = &out.json()["classes"][0]["outcomes"];
    assert_eq!(outcomes["unreachable"], outcomes["sent"]);
}

#[test]
fn bad_input_is_an_error() {
    struct Case {
        name: &'static str,
        workload: &'static str,
        error: &'static str,
    }
    let cases = [
        Case {
            name: "an unknown server in a fault",
            workload: WORKLOAD,
            error: "no flag names the server engine",
        },
        Case {
            name: "a bad workload",
            workload: "duration_seconds = 1\nclass = []",
            error: "class is missing",
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        let workload = TestFile::new(&format!("bad-{index}.toml"), case.workload);
        let output = dewload(&["run", workload.path(), "--target", "127.0.0.1:9"]);
        assert!(!output.status.success(), "{}", case.name);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(error.contains(case.error), "{}: {error}", case.name);
    }
}

#[test]
fn the_added_latency_is_measured() {
    let engine = engine();
    let out = TestFile::new("path-report.json", "");
    let address = engine.address().to_string();
    let pid = engine.pid().to_string();
    let arguments = [
        "path",
        "--direct",
        &address,
        "--routed",
        &address,
        "--streams",
        "2,8",
        "--tokens",
        "5",
        "--rounds",
        "2",
        "--ramp-ms",
        "10",
        "--model",
        "m",
        "--pid",
        &pid,
        "--out",
        out.path(),
    ];
    let text = successful_stdout(&dewload(&arguments));
    let report = out.json();
    for (level, streams) in [(0, 2), (1, 8)] {
        let level = &report["levels"][level];
        for path_name in ["direct", "routed"] {
            assert_eq!(level[path_name]["completed"], 2 * streams, "{text}");
            assert_eq!(level[path_name]["failed"], 0, "{text}");
            assert_eq!(level[path_name]["between_tokens"]["count"], 2 * streams * 4);
            assert!(level[path_name]["whole_answer"]["p50_ms"].as_f64() >= Some(5.0));
        }
        assert!(level["memory"]["peak"]["threads"].as_u64() > Some(0));
    }
}
