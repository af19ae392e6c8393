//! The commands and their arguments.

use std::io;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;

/// The daemon's address if neither `--address` nor `STOATWELL_ADDRESS` is given.
pub(crate) const DEFAULT_ADDRESS: &str = "127.0.0.1:7070";

pub(crate) fn command() -> Command {
    let address = Arg::new("address")
        .long("address")
        .value_name("IP:PORT,...")
        .global(true)
        .help("Daemons to try in turn; STOATWELL_ADDRESS where absent");
    let token = Arg::new("token")
        .long("token")
        .value_name("TOKEN")
        .global(true)
        .help("Bearer token; STOATWELL_TOKEN where absent");
    let output = Arg::new("output")
        .long("output")
        .value_parser(["table", "json"])
        .default_value("table")
        .global(true)
        .help("Tables for people or JSON for programs");
    Command::new("stoatwell")
        .about("Drives a stoatwell cell: catalogue, targets and work")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(address)
        .arg(token)
        .arg(output)
        .subcommand(entry())
        .subcommand(target())
        .subcommand(job())
        .subcommand(
            Command::new("explain")
                .about("Tell why a job waits or why it ran where it ran")
                .arg(job_id()),
        )
        .subcommand(dump())
        .subcommand(trace())
        .subcommand(completions())
}

/// Prints the completion script for a shell.
pub(crate) fn print_completions(matches: &ArgMatches) {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "stoatwell", &mut io::stdout());
    }
}

fn trace() -> Command {
    Command::new("trace")
        .about("Tell a request's story from collected log files")
        .arg(Arg::new("id").required(true).value_name("ID").help("The request's id"))
        .arg(
            Arg::new("file")
                .required(true)
                .num_args(1..)
                .value_name("FILE")
                .help("Logs, one file a daemon; the file's name stands for the daemon"),
        )
}

fn entry() -> Command {
    let name = || Arg::new("name").required(true).value_name("NAME").help("Name of the entry");
    let kind = || {
        Arg::new("kind")
            .long("kind")
            .value_parser(["work", "owner"])
            .default_value("work")
            .help("What the entry describes")
    };
    let file = Arg::new("file")
        .required(true)
        .value_name("FILE")
        .help("JSON document, or - for standard input");
    Command::new("entry")
        .about("Read and change the catalogue")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List all entries"))
        .subcommand(Command::new("get").about("Show one entry").arg(name()).arg(kind()))
        .subcommand(
            Command::new("apply")
                .about("Write the entries of a document")
                .arg(file)
                .arg(revision()),
        )
        .subcommand(
            Command::new("delete")
                .about("Remove one entry")
                .arg(name())
                .arg(kind())
                .arg(revision()),
        )
        .subcommand(
            Command::new("history")
                .about("Show the latest changes of one entry")
                .arg(name())
                .arg(kind()),
        )
}

fn target() -> Command {
    let workers =
        || Arg::new("worker").required(true).num_args(1..).value_name("WORKER").help("Workers");
    let owner = Arg::new("owner")
        .long("owner")
        .required(true)
        .value_name("OWNER")
        .help("The owner to serve");
    Command::new("target")
        .about("Start, drain and retire targets")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List all targets"))
        .subcommand(
            Command::new("start")
                .about("Let targets serve an owner; those that serve another one drain first")
                .arg(workers())
                .arg(owner)
                .arg(revision()),
        )
        .subcommand(
            Command::new("drain")
                .about("Start nothing new on targets")
                .arg(workers())
                .arg(revision()),
        )
        .subcommand(
            Command::new("retire").about("Drain targets for good").arg(workers()).arg(revision()),
        )
}

fn job() -> Command {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("N").value_parser(value_parser!(u64)).help(help)
    };
    let submit = Command::new("submit")
        .about("Submit work")
        .arg(
            Arg::new("entry").required(true).value_name("ENTRY").help("The catalogue entry to run"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .help("Idempotency key; a random one where absent"),
        )
        .arg(Arg::new("body").long("body").value_name("TEXT").help("What to run or ask"))
        .arg(
            Arg::new("body-file")
                .long("body-file")
                .value_name("FILE")
                .conflicts_with("body")
                .help("File with the body"),
        )
        .arg(number("tasks", "How many tasks"))
        .arg(number("deadline-ms", "Milliseconds until the answer is of no use"))
        .arg(number("cpu-millis", "Thousandths of a core that one task needs"))
        .arg(number("memory-bytes", "Bytes of memory that one task needs"))
        .arg(number("accelerators", "Accelerators that one task needs"))
        .arg(Arg::new("wait").long("wait").num_args(0).help("Wait for the outcome"))
        .arg(number("timeout-ms", "Longest wait in milliseconds").default_value("60000"));
    Command::new("job")
        .about("Submit work and follow it")
        .subcommand_required(true)
        .subcommand(submit)
        .subcommand(Command::new("status").about("Show how a job is").arg(job_id()))
        .subcommand(
            Command::new("wait")
                .about("Wait for a job's outcome")
                .arg(job_id())
                .arg(number("timeout-ms", "Longest wait in milliseconds").default_value("60000")),
        )
        .subcommand(Command::new("cancel").about("Cancel a job").arg(job_id()))
        .subcommand(
            Command::new("list")
                .about("List jobs")
                .arg(
                    Arg::new("entry")
                        .long("entry")
                        .value_name("ENTRY")
                        .help("Only jobs of this entry"),
                )
                .arg(number("limit", "Most jobs shown").default_value("50")),
        )
}

fn dump() -> Command {
    let all = Arg::new("all").long("all").num_args(0).help("Every daemon given by --address");
    Command::new("dump").about("Show the state of daemons").arg(all)
}

fn completions() -> Command {
    let shell =
        Arg::new("shell").required(true).value_parser(value_parser!(Shell)).help("The shell");
    Command::new("completions").about("Print completions for a shell").arg(shell)
}

fn job_id() -> Arg {
    Arg::new("job").required(true).value_name("JOB").help("The job's id")
}

fn revision() -> Arg {
    Arg::new("if-revision")
        .long("if-revision")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help("Only if it is at this revision; 0 means that it must be new")
}
