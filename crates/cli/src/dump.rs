//! Showing the state of daemons.

use std::process::ExitCode;

use clap::ArgMatches;
use serde_json::Value;
use serde_json::json;

use crate::client::Call;
use crate::client::Client;
use crate::exit::CliError;
use crate::output::Output;
use crate::output::text;

pub(crate) async fn run(
    client: &Client,
    output: Output,
    matches: &ArgMatches,
) -> Result<ExitCode, CliError> {
    let call = Call::get("/v1/state");
    if !matches.get_flag("all") {
        let dump = client.call(&call).await?;
        output.lines(&dump, lines);
        return Ok(ExitCode::SUCCESS);
    }
    let mut dumps = Vec::new();
    let mut missing = Vec::new();
    for address in client.addresses() {
        match client.call_at(address, &call).await {
            Ok(dump) => dumps.push(dump),
            Err(error) => missing.push(format!("{address}: {error}")),
        }
    }
    let all = json!({ "daemons": dumps, "missing": missing });
    output.lines(&all, |all| {
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
        text(dump, "daemon.daemon"),
        text(dump, "daemon.zone"),
        text(dump, "ready"),
        text(dump, "stopping"),
        text(dump, "catalogue.revision"),
        text(dump, "catalogue.age_ms"),
    )];
    let workers = items(dump, "workers");
    let held = workers.iter().filter(|worker| !worker["lease_left_ms"].is_null());
    lines.push(format!("  workers: {} held of {} in the zone", held.count(), workers.len()));
    for queue in items(dump, "queues") {
        let reasons: Vec<String> =
            items(&queue, "reasons").iter().map(ToString::to_string).collect();
        lines.push(format!(
            "  queue {}: {} jobs, the first waits {} ms: {}",
            text(&queue, "entry"),
            text(&queue, "jobs"),
            text(&queue, "front_waited_ms"),
            reasons.join(", "),
        ));
    }
    lines.push(format!("  jobs: {}", dump["jobs"]["by_state"]));
    for group in items(dump, "minions") {
        let (free, slots) = (text(&group, "free_slots"), text(&group, "slots"));
        lines.push(format!("  minions {}: {free} of {slots} slots free", text(&group, "group")));
    }
    for peer in items(dump, "peers") {
        let heard = text(&peer, "heard_ms_ago");
        let heard = if heard.is_empty() {
            "never heard".to_owned()
        } else {
            format!("heard {heard} ms ago")
        };
        lines.push(format!(
            "  peer {} in zone {}: {heard}",
            text(&peer, "daemon"),
            text(&peer, "zone")
        ));
    }
    lines.push(format!(
        "  store: refusing {}, backlog {}, transactions {}, conflicts {}",
        text(dump, "store.refusing"),
        text(dump, "store.backlog"),
        text(dump, "store.commits.transactions"),
        text(dump, "store.commits.conflicts"),
    ));
    lines
}

fn items(value: &Value, name: &str) -> Vec<Value> {
    value[name].as_array().cloned().unwrap_or_default()
}
