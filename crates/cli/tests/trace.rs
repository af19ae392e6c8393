//! The `trace` command on log files.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const GATEWAY: &str = r#"{"timestamp":"2026-01-01T00:00:01.000Z","level":"INFO","message":"submission answered","job":"5c0e7a21d94b36f8","queue":"q","accepted":"Yes"}
not a line of ours
{"timestamp":"2026-01-01T00:00:01.100Z","level":"INFO","message":"submission answered","job":"5c0e7a21d94b36f9","queue":"q","accepted":"No"}
{"timestamp":"2026-01-01T00:00:09.000Z","level":"WARN","message":"lost: new jobs are refused until it answers","dependency":"store"}
"#;
const SCHEDULER: &str = r#"{"timestamp":"2026-01-01T00:00:00.500Z","level":"INFO","message":"duty taken over","epoch":1}
{"timestamp":"2026-01-01T00:00:03.000Z","level":"INFO","message":"duty taken over","epoch":2,"before":"a"}
{"timestamp":"2026-01-01T00:00:04.000Z","level":"INFO","message":"run placed","task":"5c0e7a21d94b36f8.0.1.3","run":1,"worker":"w"}
"#;

fn trace(id: &str) -> Output {
    let log_dir: PathBuf = std::env::temp_dir().join(format!("trace-{}-{id}", std::process::id()));
    std::fs::create_dir_all(&log_dir).expect("the log directory can be created");
    let (gateway, scheduler) = (log_dir.join("gateway.log"), log_dir.join("scheduler.log"));
    std::fs::write(&gateway, GATEWAY).expect("the gateway's log can be written");
    std::fs::write(&scheduler, SCHEDULER).expect("the scheduler's log can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoatwell"));
    command.args(["--output", "json", "trace", id]).arg(scheduler).arg(gateway);
    let output = command.output().expect("the program runs");
    std::fs::remove_dir_all(&log_dir).expect("the log directory can be removed");
    output
}

/// The lines of one request are spread over the logs of several daemons, among those
/// of other requests. The trace has the request's lines in order and the cell-wide
/// events between them; without the change of leader the cause of the wait would be
/// missing.
#[test]
fn trace_shows_the_requests_lines_and_cell_wide_events_between_them() {
    let output = trace("5c0e7a21d94b36f8");
    assert_eq!(output.status.code(), Some(0));
    let trace: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let messages: Vec<(&str, &str)> = trace["lines"]
        .as_array()
        .expect("lines")
        .iter()
        .map(|line| (line["daemon"].as_str().unwrap(), line["message"].as_str().unwrap()))
        .collect();
    assert_eq!(
        messages,
        [
            ("gateway", "submission answered"),
            ("scheduler", "duty taken over"),
            ("scheduler", "run placed"),
        ]
    );
}

/// A mistyped id or logs of another time: an empty table would suggest that the
/// request exists and nothing happened to it.
#[test]
fn unknown_id_is_an_error() {
    let output = trace("ffffffffffffffff");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no line of these files"));
}
