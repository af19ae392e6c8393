//! The `entry` command: read and change the catalogue.

use std::fs;
use std::io;
use std::io::Read;
use std::process::ExitCode;

use clap::ArgMatches;
use reqwest::Method;
use serde_json::Value;

use crate::client::Call;
use crate::client::Client;
use crate::exit::CliError;
use crate::output::Output;
use crate::output::field_text;

pub(crate) async fn run(
    client: &Client,
    output: Output,
    matches: &ArgMatches,
) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("get", sub)) => get(client, sub).await?,
        Some(("apply", sub)) => apply(client, output, sub).await?,
        Some(("delete", sub)) => delete(client, output, sub).await?,
        Some(("history", sub)) => history(client, output, sub).await?,
        _ => list(client, output).await?,
    }
    Ok(ExitCode::SUCCESS)
}

async fn list(client: &Client, output: Output) -> Result<(), CliError> {
    let listed = client.call(&Call::get("/v1/entries")).await?;
    output.print_table(
        &listed,
        &["KIND", "NAME", "OWNER", "CLASS", "EXECUTION", "URGENCY", "REVISION"],
        |listed| {
            let entries = listed["entries"].as_array().cloned().unwrap_or_default();
            entries.iter().map(row).collect()
        },
    );
    Ok(())
}

fn row(entry: &Value) -> Vec<String> {
    let item = &entry["item"];
    let revision = field_text(entry, "revision");
    if item.get("owner").is_some_and(Value::is_object) {
        let owner = field_text(item, "owner.owner");
        return vec![
            "owner".to_owned(),
            owner.clone(),
            owner,
            String::new(),
            String::new(),
            String::new(),
            revision,
        ];
    }
    vec![
        "work".to_owned(),
        field_text(item, "work.name"),
        field_text(item, "work.owner"),
        field_text(item, "work.class"),
        field_text(item, "work.execution"),
        field_text(item, "work.urgency"),
        revision,
    ]
}

async fn get(client: &Client, matches: &ArgMatches) -> Result<(), CliError> {
    let entry = client.call(&Call::get(path(matches))).await?;
    println!("{entry:#}");
    Ok(())
}

async fn apply(client: &Client, output: Output, matches: &ArgMatches) -> Result<(), CliError> {
    let file = matches.get_one::<String>("file").map_or("-", String::as_str);
    let document = read_input(file)?;
    let document: Value = serde_json::from_str(&document)
        .map_err(|error| CliError::Local(format!("{file}: {error}")))?;
    let entries = match document.get("entries").and_then(Value::as_array) {
        Some(entries) => entries.clone(),
        None => vec![document],
    };
    for entry in entries {
        let is_owner = field_text(&entry, "kind") == "owner";
        let (kind, name) = if is_owner {
            ("owner", field_text(&entry, "owner"))
        } else {
            ("work", field_text(&entry, "name"))
        };
        let mut call = Call::new(Method::PUT, format!("/v1/entries/{kind}/{name}"));
        call.body = Some(entry.to_string());
        call.headers = precondition_headers(matches);
        let change = client.call(&call).await?;
        output.print_lines(&change, |change| {
            vec![format!("{kind} {name} accepted at revision {}", field_text(change, "revision"))]
        });
    }
    Ok(())
}

async fn delete(client: &Client, output: Output, matches: &ArgMatches) -> Result<(), CliError> {
    let mut call = Call::new(Method::DELETE, path(matches));
    call.headers = precondition_headers(matches);
    let change = client.call(&call).await?;
    output.print_lines(&change, |change| {
        vec![format!("removed at revision {}", field_text(change, "revision"))]
    });
    Ok(())
}

async fn history(client: &Client, output: Output, matches: &ArgMatches) -> Result<(), CliError> {
    let changes = client.call(&Call::get(format!("{}/history", path(matches)))).await?;
    output.print_table(&changes, &["REVISION", "BY", "AT_MS", "CHANGE"], |changes| {
        let mut rows = Vec::new();
        for change in changes.as_array().into_iter().flatten() {
            let action = if change["item"].is_null() { "removed" } else { "written" };
            rows.push(vec![
                field_text(change, "revision"),
                field_text(change, "by"),
                field_text(change, "at_ms"),
                action.to_owned(),
            ]);
        }
        rows
    });
    Ok(())
}

/// The headers that make a change conditional on the entry's revision, from
/// `--if-revision`; none without it.
pub(crate) fn precondition_headers(matches: &ArgMatches) -> Vec<(&'static str, String)> {
    match matches.get_one::<u64>("if-revision") {
        None => Vec::new(),
        Some(0) => vec![("if-none-match", "*".to_owned())],
        Some(revision) => vec![("if-match", format!("\"{revision}\""))],
    }
}

fn path(matches: &ArgMatches) -> String {
    let kind = matches.get_one::<String>("kind").map_or("work", String::as_str);
    let name = matches.get_one::<String>("name").map_or("", String::as_str);
    format!("/v1/entries/{kind}/{name}")
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read_input(file: &str) -> Result<String, CliError> {
    if file != "-" {
        return fs::read_to_string(file)
            .map_err(|error| CliError::Local(format!("{file}: {error}")));
    }
    let mut text = String::new();
    io::stdin().read_to_string(&mut text).map_err(|error| CliError::Local(error.to_string()))?;
    Ok(text)
}
