//! Measurements and experiments.
//!
//! `workloads` submits one of each of both users' six workloads and checks the
//! outcomes; `load` plays a balancer with callers behind it and tells whether
//! any request was cut.

mod balancer;
mod load;
mod workloads;

use std::process::ExitCode;

use clap::Arg;
use clap::Command;
use clap::value_parser;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("workloads", sub)) => workloads::run(sub).await,
        Some(("load", sub)) => load::run(sub).await,
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("error: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let address = || Arg::new("address").long("address").value_name("IP:PORT,...").required(true);
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default)
    };
    Command::new("stoatwell-bench")
        .about("Measurements and experiments")
        .subcommand_required(true)
        .subcommand(Command::new("workloads").about("Submit one of each workload").arg(address()))
        .subcommand(
            Command::new("load")
                .about("Send requests through a balancer and count what became of them")
                .arg(address())
                .arg(Arg::new("entry").long("entry").default_value("booking-confirmation"))
                .arg(number("requests", "600"))
                .arg(number("concurrency", "16"))
                .arg(number("work-ms", "20")),
        )
}
