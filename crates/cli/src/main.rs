//! The command-line tool for operators and owners.
//!
//! [`args`] defines the commands, [`client`] calls a daemon, the modules named after
//! commands execute them, and [`output`] prints tables or JSON. [`exit`] lists the
//! exit statuses.

mod args;
mod client;
mod dump;
mod entry;
mod exit;
mod job;
mod output;
mod target;
mod trace;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::client::Client;
use crate::exit::CliError;
use crate::output::Output;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = args::command().get_matches();
    match run(&matches).await {
        Ok(code) => code,
        Err(error) => {
            output::print_error(&error);
            error.exit_code()
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    if let Some(("completions", sub)) = matches.subcommand() {
        args::print_completions(sub);
        return Ok(ExitCode::SUCCESS);
    }
    let output = Output::new(matches);
    if let Some(("trace", sub)) = matches.subcommand() {
        return trace::run(output, sub);
    }
    let client = Client::new(matches)?;
    match matches.subcommand() {
        Some(("entry", sub)) => entry::run(&client, output, sub).await,
        Some(("target", sub)) => target::run(&client, output, sub).await,
        Some(("job", sub)) => job::run(&client, output, sub).await,
        Some(("explain", sub)) => job::explain(&client, output, sub).await,
        Some(("dump", sub)) => dump::run(&client, output, sub).await,
        _ => Ok(ExitCode::SUCCESS),
    }
}
