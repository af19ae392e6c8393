//! A request's story from log files.

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
    let folder: PathBuf = std::env::temp_dir().join(format!("trace-{}-{id}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a writable folder");
    let (gateway, scheduler) = (folder.join("gateway.log"), folder.join("scheduler.log"));
    std::fs::write(&gateway, GATEWAY).expect("written");
    std::fs::write(&scheduler, SCHEDULER).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoatwell"));
    command.args(["--output", "json", "trace", id]).arg(scheduler).arg(gateway);
    let output = command.output().expect("the program runs");
    std::fs::remove_dir_all(&folder).expect("it is there");
    output
}

/// On call, a request's lines lie in the logs of several daemons, among those of
/// all others. The story has its own lines in order, and what changed for all
/// requests between them; without the change of scheduler nobody would see why it
/// waited.
#[test]
fn a_story_has_the_requests_lines_and_what_changed_meanwhile() {
    let output = trace("5c0e7a21d94b36f8");
    assert_eq!(output.status.code(), Some(0));
    let story: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let messages: Vec<(&str, &str)> = story["lines"]
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

/// The id is mistyped, or the files are not those of its time. An empty table
/// would look like a request that nothing happened to.
#[test]
fn an_unknown_id_is_an_error() {
    let output = trace("ffffffffffffffff");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no line of these files"));
}
