//! The `target` command: list, start, drain and retire targets.

use std::process::ExitCode;

use clap::ArgMatches;
use reqwest::Method;
use serde_json::json;

use crate::client::Call;
use crate::client::Client;
use crate::entry::precondition_headers;
use crate::exit::CliError;
use crate::output::Output;
use crate::output::field_text;

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
    output.print_table(
        &listed,
        &["WORKER", "OWNER", "STATE", "NEXT OWNER", "EPOCH", "REVISION"],
        |listed| {
            let mut rows = Vec::new();
            for target in listed["targets"].as_array().into_iter().flatten() {
                let item = &target["item"];
                rows.push(vec![
                    field_text(item, "target.worker"),
                    field_text(item, "target.owner"),
                    field_text(item, "target.state"),
                    field_text(item, "target.next_owner"),
                    field_text(item, "target.epoch"),
                    field_text(target, "revision"),
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
        call.headers = precondition_headers(matches);
        call.body = owner.map(|owner| json!({ "owner": owner }).to_string());
        let change = client.call(&call).await?;
        output.print_lines(&change, |change| {
            let state = field_text(change, "item.target.state");
            vec![format!("{worker} is {state} from revision {} on", field_text(change, "revision"))]
        });
    }
    Ok(())
}
