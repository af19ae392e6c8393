//! Tables for people, JSON for programs, errors for both.

use std::env;
use std::io;
use std::io::IsTerminal;

use clap::ArgMatches;
use comfy_table::Table;
use comfy_table::presets;
use serde_json::Value;

use crate::exit::CliError;

/// How results are written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) fn new(matches: &ArgMatches) -> Self {
        Self { json: matches.get_one::<String>("output").is_some_and(|format| format == "json") }
    }

    /// Writes a value as it came, or as the table that `rows` makes of it.
    pub(crate) fn show(
        self,
        value: &Value,
        header: &[&str],
        rows: impl FnOnce(&Value) -> Vec<Vec<String>>,
    ) {
        if self.json {
            println!("{value:#}");
            return;
        }
        let mut table = Table::new();
        table.load_preset(presets::NOTHING);
        table.set_header(header.to_vec());
        for row in rows(value) {
            table.add_row(row);
        }
        println!("{table}");
    }

    /// Writes a value as it came, or as lines.
    pub(crate) fn lines(self, value: &Value, lines: impl FnOnce(&Value) -> Vec<String>) {
        if self.json {
            println!("{value:#}");
            return;
        }
        for line in lines(value) {
            println!("{line}");
        }
    }
}

/// Whether somebody looks at a terminal that may be drawn on.
pub(crate) fn is_interactive() -> bool {
    io::stderr().is_terminal() && env::var_os("NO_COLOR").is_none()
}

/// Writes why a command failed.
pub(crate) fn error(error: &CliError) {
    eprintln!("error {error}");
    let CliError::Refused(failure) = error else {
        return;
    };
    for problem in &failure.problems {
        eprintln!("  {problem}");
    }
    eprintln!("  hint: {}", failure.hint);
    if let Some(retry_after_ms) = failure.retry_after_ms {
        eprintln!("  come back in {retry_after_ms} ms");
    }
}

/// A field as text; empty where there is none.
pub(crate) fn text(value: &Value, path: &str) -> String {
    let mut found = value;
    for name in path.split('.') {
        match found.get(name) {
            Some(next) => found = next,
            None => return String::new(),
        }
    }
    match found {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
