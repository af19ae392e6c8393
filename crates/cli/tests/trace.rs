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

/// Logs of three daemons, of a job that runs although it was cancelled.
const CANCELLED_GATEWAY: &str = r#"{"timestamp":"2026-01-01T00:00:01.000Z","level":"INFO","message":"row written by a gateway","job":"5c0e7a21d94b36f8","content":"submission","version":70,"took_ms":40}
{"timestamp":"2026-01-01T00:00:01.001Z","level":"INFO","message":"submission answered","job":"5c0e7a21d94b36f8","accepted":"Yes","epoch":1}
{"timestamp":"2026-01-01T00:00:02.000Z","level":"INFO","message":"cancellation asked for","job":"5c0e7a21d94b36f8"}
{"timestamp":"2026-01-01T00:00:02.050Z","level":"INFO","message":"row written by a gateway","job":"5c0e7a21d94b36f8","content":"cancellation","version":77,"took_ms":40}
{"timestamp":"2026-01-01T00:00:02.051Z","level":"INFO","message":"cancellation answered","job":"5c0e7a21d94b36f8","accepted":"Yes"}
"#;
const CANCELLED_LEADER: &str = r#"{"timestamp":"2026-01-01T00:00:01.900Z","level":"INFO","message":"duty taken over","epoch":2}
{"timestamp":"2026-01-01T00:00:02.060Z","level":"INFO","message":"state restored from the store","epoch":2}
{"timestamp":"2026-01-01T00:00:02.070Z","level":"INFO","message":"cancellation of a job that is not known yet","job":"5c0e7a21d94b36f8","source":"notification of a daemon"}
{"timestamp":"2026-01-01T00:00:02.500Z","level":"INFO","message":"submission given up: its partition is stuck","job":"5c0e7a21d94b36f8","partition":3,"cancelled":true}
{"timestamp":"2026-01-01T00:00:02.600Z","level":"INFO","message":"conflict of the leader's write","part":3,"conflicts":"[\"jobs/5c0e7a21d94b36f9\", \"jobs/5c0e7a21d94b36f8\"]"}
{"timestamp":"2026-01-01T00:00:02.650Z","level":"INFO","message":"conflict of the leader's write","part":3,"conflicts":"[\"jobs/5c0e7a21d94b36f9\"]"}
{"timestamp":"2026-01-01T00:00:03.000Z","level":"INFO","message":"job accepted","job":"5c0e7a21d94b36f8"}
{"timestamp":"2026-01-01T00:00:07.000Z","level":"INFO","message":"start sent","task":"5c0e7a21d94b36f8.0.0.0","run":1,"worker":"w","row_age_ms":30}
"#;
const CANCELLED_EXECUTOR: &str = r#"{"timestamp":"2026-01-01T00:00:07.100Z","level":"INFO","message":"start made","task":"5c0e7a21d94b36f8.0.0.0","run":1,"worker":"w","epoch":2,"left_ms":600}
"#;

fn trace(id: &str) -> Output {
    trace_in(id, &[("gateway", GATEWAY), ("scheduler", SCHEDULER)])
}

fn trace_in(id: &str, logs: &[(&str, &str)]) -> Output {
    let names: Vec<&str> = logs.iter().map(|(name, _)| *name).collect();
    let name = format!("trace-{}-{id}-{}", std::process::id(), names.join("-"));
    let log_dir: PathBuf = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&log_dir).expect("the log directory can be created");
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoatwell"));
    command.args(["--output", "json", "trace", id]);
    for (name, log) in logs {
        let path = log_dir.join(format!("{name}.log"));
        std::fs::write(&path, log).expect("the log can be written");
        command.arg(path);
    }
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

/// Guards against a cancelled job that runs and whose cause cannot be told, since lines of some
/// daemons are missing or out of order.
#[test]
fn trace_tells_how_a_cancelled_job_came_to_run() {
    let logs = [
        ("executor", CANCELLED_EXECUTOR),
        ("leader", CANCELLED_LEADER),
        ("gateway", CANCELLED_GATEWAY),
    ];
    let output = trace_in("5c0e7a21d94b36f8", &logs);
    let trace: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let lines = trace["lines"].as_array().expect("lines").iter();
    let shown: Vec<String> = lines
        .map(|line| format!("{} {}", line["daemon"].as_str().unwrap(), line["message"]))
        .collect();
    assert_eq!(
        shown,
        [
            r#"gateway "row written by a gateway""#,
            r#"gateway "submission answered""#,
            r#"leader "duty taken over""#,
            r#"gateway "cancellation asked for""#,
            r#"gateway "row written by a gateway""#,
            r#"gateway "cancellation answered""#,
            r#"leader "state restored from the store""#,
            r#"leader "cancellation of a job that is not known yet""#,
            r#"leader "submission given up: its partition is stuck""#,
            r#"leader "conflict of the leader's write""#,
            r#"leader "job accepted""#,
            r#"leader "start sent""#,
            r#"executor "start made""#,
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
