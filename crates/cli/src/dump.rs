//! The `dump` command: show the state of daemons.

use std::process::ExitCode;

use clap::ArgMatches;
use serde_json::Value;
use serde_json::json;

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
    let call = Call::get("/v1/state");
    if !matches.get_flag("all") {
        let dump = client.call(&call).await?;
        output.print_lines(&dump, lines);
        return Ok(ExitCode::SUCCESS);
    }
    let mut dumps = Vec::new();
    let mut unreached = Vec::new();
    for address in client.addresses() {
        match client.call_at(address, &call).await {
            Ok(dump) => dumps.push(dump),
            Err(error) => unreached.push(format!("{address}: {error}")),
        }
    }
    let all = json!({ "daemons": dumps, "missing": unreached });
    output.print_lines(&all, |all| {
        let mut shown = Vec::new();
        for dump in all["daemons"].as_array().into_iter().flatten() {
            shown.extend(lines(dump));
            shown.push(String::new());
        }
        for line in all["missing"].as_array().into_iter().flatten() {
            shown.push(format!("not reached: {}", line.as_str().unwrap_or_default()));
        }
        shown
    });
    Ok(ExitCode::SUCCESS)
}

fn lines(dump: &Value) -> Vec<String> {
    let mut lines = vec![format!(
        "daemon {} in zone {}: ready {}, stopping {}, catalogue revision {} seen newest {} ms ago",
        field_text(dump, "daemon.daemon"),
        field_text(dump, "daemon.zone"),
        field_text(dump, "ready"),
        field_text(dump, "stopping"),
        field_text(dump, "catalogue.revision"),
        field_text(dump, "catalogue.age_ms"),
    )];
    let workers = items(dump, "workers");
    let held = workers.iter().filter(|worker| !worker["lease_left_ms"].is_null());
    lines.push(format!("  workers: {} held of {} in the zone", held.count(), workers.len()));
    for queue in items(dump, "queues") {
        let reasons: Vec<String> =
            items(&queue, "reasons").iter().map(ToString::to_string).collect();
        lines.push(format!(
            "  queue {}: {} jobs, the first waits {} ms: {}",
            field_text(&queue, "entry"),
            field_text(&queue, "jobs"),
            field_text(&queue, "front_waited_ms"),
            reasons.join(", "),
        ));
    }
    lines.push(format!("  jobs: {}", dump["jobs"]["by_state"]));
    for group in items(dump, "minions") {
        let (free, slots) = (field_text(&group, "free_slots"), field_text(&group, "slots"));
        lines.push(format!(
            "  minions {}: {free} of {slots} slots free",
            field_text(&group, "group")
        ));
    }
    for peer in items(dump, "peers") {
        let heard = field_text(&peer, "heard_ms_ago");
        let heard = if heard.is_empty() {
            "never heard".to_owned()
        } else {
            format!("heard {heard} ms ago")
        };
        lines.push(format!(
            "  peer {} in zone {}: {heard}",
            field_text(&peer, "daemon"),
            field_text(&peer, "zone")
        ));
    }
    lines.push(format!(
        "  store: refusing {}, backlog {}, transactions {}, conflicts {}",
        field_text(dump, "store.refusing"),
        field_text(dump, "store.backlog"),
        field_text(dump, "store.commits.transactions"),
        field_text(dump, "store.commits.conflicts"),
    ));
    lines
}

fn items(value: &Value, name: &str) -> Vec<Value> {
    value[name].as_array().cloned().unwrap_or_default()
}
