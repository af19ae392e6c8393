//! The `trace` command: the log lines of one request, from the logs of many daemons.
//!
//! Lines that name the request are sorted by time, together with events in between
//! that concern all requests: changes of the leader and lost dependencies. Each line
//! has the time of its daemon's own clock, so lines of different daemons that are
//! close in time may be in the wrong order.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::ExitCode;

use clap::ArgMatches;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::exit::CliError;
use crate::output::Output;
use crate::output::field_text;

/// Log messages that are shown for every request. They must match the messages that
/// the daemons log.
const CELL_WIDE_MESSAGES: [&str; 12] = [
    "daemon started",
    "daemon stops",
    "duty taken over",
    "duty given up",
    "duty ended",
    "state restored from the store",
    "scheduler ready",
    "store no longer has the change history; reading the whole table",
    "whole table read",
    "lost",
    "lost: new jobs are refused until it answers",
    "regained",
];
/// Fields of every line that have columns of their own.
const COLUMN_FIELDS: [&str; 3] = ["timestamp", "level", "message"];

/// A parsed log line.
struct LogLine {
    time: String,
    daemon: String,
    fields: Map<String, Value>,
    mentions_id: bool,
}

/// Prints the log lines of a request; fails if no file names its id.
pub(crate) fn run(output: Output, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let id = matches.get_one::<String>("id").map(String::as_str).unwrap_or_default();
    let mut lines = Vec::new();
    for path in matches.get_many::<String>("file").into_iter().flatten() {
        read(Path::new(path), id, &mut lines)?;
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let first = lines.iter().position(|line| line.mentions_id);
    let last = lines.iter().rposition(|line| line.mentions_id);
    let (Some(first), Some(last)) = (first, last) else {
        return Err(CliError::Local(format!("no line of these files names {id}")));
    };
    let trace =
        json!({ "id": id, "lines": lines[first..=last].iter().map(shown).collect::<Vec<_>>() });
    output.print_table(&trace, &["TIME", "DAEMON", "WHAT", "WITH"], |trace| {
        let mut rows = Vec::new();
        for line in trace["lines"].as_array().into_iter().flatten() {
            rows.push(
                ["time", "daemon", "message", "fields"].map(|name| field_text(line, name)).to_vec(),
            );
        }
        rows
    });
    Ok(ExitCode::SUCCESS)
}

fn read(path: &Path, id: &str, lines: &mut Vec<LogLine>) -> Result<(), CliError> {
    let unreadable = |error| CliError::Local(format!("{}: {error}", path.display()));
    let daemon = path.file_stem().map(|name| name.to_string_lossy().into_owned());
    let daemon = daemon.unwrap_or_default();
    for line in BufReader::new(File::open(path).map_err(unreadable)?).lines() {
        // The files may contain lines of other programs, which are not JSON objects.
        let Ok(Value::Object(fields)) = serde_json::from_str(&line.map_err(unreadable)?) else {
            continue;
        };
        let message = fields.get("message").and_then(Value::as_str).unwrap_or_default();
        let names_request = |value: &Value| value.as_str().is_some_and(|text| names(text, id));
        let mentions_id = fields.values().any(names_request);
        if !mentions_id && !CELL_WIDE_MESSAGES.contains(&message) {
            continue;
        }
        let time = fields.get("timestamp").and_then(Value::as_str).unwrap_or_default().to_owned();
        lines.push(LogLine { time, daemon: daemon.clone(), fields, mentions_id });
    }
    Ok(())
}

/// Whether a field names the request: by itself, or among the keys of rows in a list.
fn names(text: &str, id: &str) -> bool {
    text.split(['"', '/']).any(|name| belongs_to(name, id))
}

/// Whether `name` is the id of the request or of one of its steps or tasks.
fn belongs_to(name: &str, id: &str) -> bool {
    name.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn shown(line: &LogLine) -> Value {
    let mut fields = Vec::new();
    for (name, value) in &line.fields {
        if COLUMN_FIELDS.contains(&name.as_str()) {
            continue;
        }
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        fields.push(format!("{name}={value}"));
    }
    json!({
        "time": line.time, "daemon": line.daemon, "message": line.fields.get("message"),
        "fields": fields.join(" "),
    })
}
