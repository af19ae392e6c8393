//! Starting, draining and retiring targets.

use std::process::ExitCode;

use clap::ArgMatches;
use reqwest::Method;
use serde_json::json;

use crate::client::Call;
use crate::client::Client;
use crate::entry::condition;
use crate::exit::CliError;
use crate::output::Output;
use crate::output::text;

pub(crate) async fn run(
    client: &Client,
    output: Output,
    matches: &ArgMatches,
) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("list", _)) | None => list(client, output).await?,
        Some((step, sub)) => change(client, output, step, sub).await?,
    }
    Ok(ExitCode::SUCCESS)
}

async fn list(client: &Client, output: Output) -> Result<(), CliError> {
    let listed = client.call(&Call::get("/v1/targets")).await?;
    output.show(
        &listed,
        &["WORKER", "OWNER", "STATE", "NEXT OWNER", "EPOCH", "REVISION"],
        |listed| {
            let mut rows = Vec::new();
            for target in listed["targets"].as_array().into_iter().flatten() {
                let item = &target["item"];
                rows.push(vec![
                    text(item, "target.worker"),
                    text(item, "target.owner"),
                    text(item, "target.state"),
                    text(item, "target.next_owner"),
                    text(item, "target.epoch"),
                    text(target, "revision"),
                ]);
            }
            rows
        },
    );
    Ok(())
}

async fn change(
    client: &Client,
    output: Output,
    step: &str,
    matches: &ArgMatches,
) -> Result<(), CliError> {
    let owner = matches.try_get_one::<String>("owner").ok().flatten();
    for worker in matches.get_many::<String>("worker").into_iter().flatten() {
        let mut call = Call::new(Method::POST, format!("/v1/targets/{worker}/{step}"));
        call.headers = condition(matches);
        call.body = owner.map(|owner| json!({ "owner": owner }).to_string());
        let change = client.call(&call).await?;
        output.lines(&change, |change| {
            let state = text(change, "item.target.state");
            vec![format!("{worker} is {state} from revision {} on", text(change, "revision"))]
        });
    }
    Ok(())
}
