//! The `stoatwelld` binary: its command line, its signals and its exit statuses.

use std::fs;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_settings::Settings;
use stoatwelld::Daemon;
use stoatwelld::logs;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit status if the settings are missing, unreadable or invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit status if the daemon could not start.
const EXIT_START: u8 = 3;
/// Exit status if a second signal ended the shutdown early.
const EXIT_FORCED: u8 = 4;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("check", sub)) => check(sub),
        Some(("settings", sub)) => print_settings(sub),
        _ => run(&matches),
    }
}

fn command() -> Command {
    let settings =
        || Arg::new("settings").long("settings").value_name("FILE").help("JSON settings");
    let page =
        Arg::new("page").long("page").num_args(0).help("Print the table of all fields instead");
    Command::new("stoatwelld")
        .about("The daemon that runs on every entry instance")
        .version(clap::crate_version!())
        .arg(settings())
        .subcommand(
            Command::new("check")
                .about("Check settings and tell every mistake")
                .arg(settings().required(true)),
        )
        .subcommand(Command::new("settings").about("Print the full default settings").arg(page))
}

fn check(matches: &ArgMatches) -> ExitCode {
    match load(matches) {
        Ok(settings) => {
            println!("settings of daemon {} are valid", settings.daemon.name);
            ExitCode::SUCCESS
        }
        Err(failure) => report(&failure),
    }
}

fn print_settings(matches: &ArgMatches) -> ExitCode {
    if matches.get_flag("page") {
        print!("{}", stoatwell_settings::markdown_table());
    } else {
        println!("{}", stoatwell_settings::defaults());
    }
    ExitCode::SUCCESS
}

fn run(matches: &ArgMatches) -> ExitCode {
    let settings = match load(matches) {
        Ok(settings) => settings,
        Err(failure) => return report(&failure),
    };
    logs::init(&settings);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{}: {error}", Code::Internal.number());
            return ExitCode::from(EXIT_START);
        }
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitCode {
    let signals = signal(SignalKind::terminate())
        .and_then(|terminate| Ok((terminate, signal(SignalKind::interrupt())?)));
    let (mut terminate, mut interrupt) = match signals {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(%error, "cannot install the signal handlers; exiting");
            return ExitCode::from(EXIT_START);
        }
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            let code = Code::AddressUnavailable;
            tracing::error!(code = code.number(), %error, hint = code.hint(), "daemon failed to start; exiting");
            return ExitCode::from(EXIT_START);
        }
    };
    wait_for_signal(&mut terminate, &mut interrupt).await;
    tokio::select! {
        () = daemon.stop() => ExitCode::SUCCESS,
        () = wait_for_signal(&mut terminate, &mut interrupt) => {
            tracing::warn!("received a second signal; exiting without waiting for the shutdown");
            ExitCode::from(EXIT_FORCED)
        }
    }
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn load(matches: &ArgMatches) -> Result<Settings, Failure> {
    let Some(path) = matches.get_one::<String>("settings") else {
        return Err(Failure::with_detail(Code::UnreadableSettings, "give --settings FILE"));
    };
    let text = fs::read_to_string(path).map_err(|error| {
        Failure::with_detail(Code::UnreadableSettings, format!("{path}: {error}"))
    })?;
    stoatwell_settings::parse(&text)
}

fn report(failure: &Failure) -> ExitCode {
    eprintln!("{failure}");
    eprintln!("  {}", failure.hint);
    for problem in &failure.problems {
        eprintln!("  {problem}");
    }
    ExitCode::from(EXIT_SETTINGS)
}
