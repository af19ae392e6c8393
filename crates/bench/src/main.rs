//! Measurements and experiments.
//!
//! `workloads` submits one job for each of the six workloads of both users and checks
//! the outcomes. `load` sends requests through a load balancer and fails if any was
//! cut, mixed up or lost. `slopes` measures how the overhead of the control plane grows with the cell,
//! `decisions` the time and quality of placement, `overhead` the latency of a request
//! through a daemon compared with a direct one to the minion, and `keys` the check of
//! API keys. `check` compares all deterministic figures with the bounds in
//! `bounds.json`.

mod balancer;
mod baseline;
mod check;
mod decisions;
mod fit;
mod idle;
mod keys;
mod load;
mod overhead;
mod plot;
mod slopes;
mod spread;
mod trace;
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
        Some(("overhead", _)) => overhead::run().await,
        Some(("slopes", sub)) => slopes::run(sub).await,
        Some(("memory", sub)) => slopes::print_memory(*sub.get_one("workers").unwrap_or(&100)),
        Some(("decisions", _)) => decisions::run(),
        Some(("keys", _)) => keys::run(),
        Some(("check", _)) => check::run(),
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
        .subcommand(
            Command::new("slopes")
                .about("Measure what control costs as the cell grows")
                .arg(Arg::new("plot").long("plot").value_name("FILE").help("Also draw it as SVG")),
        )
        .subcommand(
            Command::new("memory")
                .hide(true)
                .arg(Arg::new("workers").value_parser(value_parser!(u32)).required(true)),
        )
        .subcommand(Command::new("decisions").about("Measure how long and how well work is placed"))
        .subcommand(
            Command::new("overhead").about("Compare requests through a daemon with direct ones"),
        )
        .subcommand(Command::new("keys").about("Measure what it takes to check a key"))
        .subcommand(Command::new("check").about("Hold deterministic figures against their bounds"))
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
