//! One request's story from the collected logs of many daemons.
//!
//! Lines that name the request are put in order of time, with what changed for all
//! requests meanwhile: who schedules, and which dependencies were lost. Each line's
//! time is its daemon's own clock, so lines of different daemons that are close may
//! stand in the wrong order.

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
use crate::output::text;

/// What concerns every request.
const FOR_ALL: [&str; 9] = [
    "daemon started",
    "daemon stops",
    "duty taken over",
    "duty given up",
    "duty ended",
    "scheduler ready",
    "lost",
    "lost: new jobs are refused until it answers",
    "regained",
];
/// Fields that every line has; they stand in columns of their own.
const COMMON: [&str; 3] = ["timestamp", "level", "message"];

/// A line of a log.
struct Line {
    time: String,
    daemon: String,
    fields: Map<String, Value>,
    names_it: bool,
}

/// Prints the story of a request.
pub(crate) fn run(output: Output, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let id = matches.get_one::<String>("id").map(String::as_str).unwrap_or_default();
    let mut lines = Vec::new();
    for path in matches.get_many::<String>("file").into_iter().flatten() {
        read(Path::new(path), id, &mut lines)?;
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    let first = lines.iter().position(|line| line.names_it);
    let last = lines.iter().rposition(|line| line.names_it);
    let (Some(first), Some(last)) = (first, last) else {
        return Err(CliError::Local(format!("no line of these files names {id}")));
    };
    let story =
        json!({ "id": id, "lines": lines[first..=last].iter().map(shown).collect::<Vec<_>>() });
    output.show(&story, &["TIME", "DAEMON", "WHAT", "WITH"], |story| {
        let mut rows = Vec::new();
        for line in story["lines"].as_array().into_iter().flatten() {
            rows.push(
                ["time", "daemon", "message", "fields"].map(|name| text(line, name)).to_vec(),
            );
        }
        rows
    });
    Ok(ExitCode::SUCCESS)
}

fn read(path: &Path, id: &str, lines: &mut Vec<Line>) -> Result<(), CliError> {
    let unreadable = |error| CliError::Local(format!("{}: {error}", path.display()));
    let daemon = path.file_stem().map(|name| name.to_string_lossy().into_owned());
    let daemon = daemon.unwrap_or_default();
    for line in BufReader::new(File::open(path).map_err(unreadable)?).lines() {
        // Logs of other programs may stand between ours.
        let Ok(Value::Object(fields)) = serde_json::from_str(&line.map_err(unreadable)?) else {
            continue;
        };
        let message = fields.get("message").and_then(Value::as_str).unwrap_or_default();
        let named = |value: &Value| value.as_str().is_some_and(|text| is_of(text, id));
        let names_it = fields.values().any(named);
        if !names_it && !FOR_ALL.contains(&message) {
            continue;
        }
        let time = fields.get("timestamp").and_then(Value::as_str).unwrap_or_default().to_owned();
        lines.push(Line { time, daemon: daemon.clone(), fields, names_it });
    }
    Ok(())
}

/// Whether a name is the request's, or that of one of its steps or tasks.
fn is_of(name: &str, id: &str) -> bool {
    name.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

fn shown(line: &Line) -> Value {
    let mut fields = Vec::new();
    for (name, value) in &line.fields {
        if COMMON.contains(&name.as_str()) {
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
