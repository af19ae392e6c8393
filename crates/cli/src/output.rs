//! Prints results as tables or JSON to standard output, and errors to standard error.

use std::env;
use std::io;
use std::io::IsTerminal;

use clap::ArgMatches;
use comfy_table::Table;
use comfy_table::presets;
use serde_json::Value;

use crate::exit::CliError;

/// The output format of results.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) fn new(matches: &ArgMatches) -> Self {
        Self { json: matches.get_one::<String>("output").is_some_and(|format| format == "json") }
    }

    /// Prints a value as JSON, or as a table of the rows that `rows` extracts from it.
    pub(crate) fn print_table(
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

    /// Prints a value as JSON, or as the lines that `lines` extracts from it.
    pub(crate) fn print_lines(self, value: &Value, lines: impl FnOnce(&Value) -> Vec<String>) {
        if self.json {
            println!("{value:#}");
            return;
        }
        for line in lines(value) {
            println!("{line}");
        }
    }
}

/// Whether to show progress: standard error is a terminal and `NO_COLOR` is not set.
pub(crate) fn is_interactive() -> bool {
    io::stderr().is_terminal() && env::var_os("NO_COLOR").is_none()
}

/// Prints why a command failed and, if a daemon rejected it, the problems, the hint
/// and the time to retry after.
pub(crate) fn print_error(error: &CliError) {
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

/// The field at a path such as `item.work.name` as text; empty if it is missing or null.
pub(crate) fn field_text(value: &Value, path: &str) -> String {
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
