//! Command line of the stand-in.

use std::error::Error;
use std::fs;
use std::net::TcpListener;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use stoatwell_standin::Config;
use stoatwell_standin::Standin;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    tracing_subscriber::fmt().with_writer(std::io::stderr).init();
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("ports", sub)) => print_free_ports(*sub.get_one("count").unwrap_or(&1)),
        Some(("run", sub)) => {
            let path = sub.get_one::<String>("config").ok_or("--config is required")?;
            let config: Config = serde_json::from_str(&fs::read_to_string(path)?)?;
            let standin = Standin::start(config).await?;
            println!("{}", standin.address);
            standin.run().await;
            Ok(())
        }
        _ => Ok(command().print_help()?),
    }
}

fn command() -> Command {
    let config = Arg::new("config").long("config").value_name("FILE").required(true);
    let count = Arg::new("count").value_parser(value_parser!(u16)).default_value("1");
    Command::new("stoatwell-standin")
        .about("Simulates the platform, its workers and minions for development and tests")
        .subcommand(Command::new("run").about("Serve until the process is ended").arg(config))
        .subcommand(Command::new("ports").about("Print free loopback ports").arg(count))
}

/// Keeps all listeners open until the ports are printed, so that no port is printed twice.
fn print_free_ports(count: u16) -> Result<(), Box<dyn Error>> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0")?);
    }
    for listener in &listeners {
        println!("{}", listener.local_addr()?.port());
    }
    Ok(())
}
