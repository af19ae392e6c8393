//! The `job` and `explain` commands: submit jobs, follow them and show their state.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use clap::ArgMatches;
use indicatif::ProgressBar;
use reqwest::Method;
use serde_json::Value;
use serde_json::json;
use stoatwell_model::job::JobView;

use crate::client::Call;
use crate::client::Client;
use crate::entry::read_input;
use crate::exit;
use crate::exit::CliError;
use crate::output;
use crate::output::Output;
use crate::output::field_text;

/// Duration of one long poll; longer waits take several.
const POLL_MS: u64 = 10_000;
const SPINNER_INTERVAL: Duration = Duration::from_millis(120);

pub(crate) async fn run(
    client: &Client,
    output: Output,
    matches: &ArgMatches,
) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("submit", sub)) => submit(client, output, sub).await,
        Some(("wait", sub)) => {
            let job = job_id(sub);
            let view = wait(client, &job, timeout_ms(sub)).await?;
            finish(output, &view, true)
        }
        Some(("cancel", sub)) => {
            let view = client
                .call(&Call::new(Method::DELETE, format!("/v1/jobs/{}", job_id(sub))))
                .await?;
            show(output, &view);
            Ok(ExitCode::SUCCESS)
        }
        Some(("status", sub)) => {
            let view = client.call(&Call::get(format!("/v1/jobs/{}", job_id(sub)))).await?;
            finish(output, &view, false)
        }
        Some(("list", sub)) => list(client, output, sub).await,
        _ => Ok(ExitCode::SUCCESS),
    }
}

/// Prints why a job is waiting, or why it ran on its workers.
pub(crate) async fn explain(
    client: &Client,
    output: Output,
    matches: &ArgMatches,
) -> Result<ExitCode, CliError> {
    let view = client.call(&Call::get(format!("/v1/jobs/{}", job_id(matches)))).await?;
    output.print_lines(&view, |view| {
        let mut lines = vec![format!(
            "job {} of entry {} is {} at daemon {} in zone {}",
            field_text(view, "job"),
            field_text(view, "entry"),
            field_text(view, "state"),
            field_text(view, "coordinator"),
            field_text(view, "zone"),
        )];
        let waited_ms = field_text(view, "waited_ms");
        if !waited_ms.is_empty() {
            lines.push(format!("it waited {waited_ms} ms before its first start"));
        }
        for reason in view["reasons"].as_array().into_iter().flatten() {
            lines.push(format!("- {}", reason.as_str().unwrap_or_default()));
        }
        let (code, detail) = outcome(view);
        if !code.is_empty() {
            lines.push(format!("- outcome {code}: {detail}"));
        }
        lines
    });
    Ok(ExitCode::SUCCESS)
}

async fn submit(
    client: &Client,
    output: Output,
    matches: &ArgMatches,
) -> Result<ExitCode, CliError> {
    let key = matches.get_one::<String>("key").cloned();
    let key = key.unwrap_or_else(|| format!("cli-{:032x}", rand::random::<u128>()));
    let should_wait = matches.get_flag("wait");
    let mut call = Call::new(Method::POST, "/v1/jobs");
    call.headers = vec![("idempotency-key", key)];
    call.body = Some(submission(matches)?.to_string());
    let view = client.call(&call).await?;
    if !should_wait || is_final(&view) {
        return finish(output, &view, false);
    }
    let view = wait(client, &field_text(&view, "job"), timeout_ms(matches)).await?;
    finish(output, &view, true)
}

fn submission(matches: &ArgMatches) -> Result<Value, CliError> {
    let number = |name: &str| matches.get_one::<u64>(name).copied();
    let body = match matches.get_one::<String>("body-file") {
        Some(file) => read_input(file)?,
        None => matches.get_one::<String>("body").cloned().unwrap_or_default(),
    };
    let mut submission = json!({ "entry": matches.get_one::<String>("entry"), "body": body });
    if let Some(tasks) = number("tasks") {
        submission["tasks"] = json!(tasks);
    }
    if let Some(deadline_ms) = number("deadline-ms") {
        submission["deadline_ms"] = json!(deadline_ms);
    }
    if let Some(cpu_millis) = number("cpu-millis") {
        submission["demand"] = json!({
            "cpu_millis": cpu_millis,
            "memory_bytes": number("memory-bytes").unwrap_or(0),
            "accelerators": number("accelerators").unwrap_or(0),
        });
    }
    Ok(submission)
}

/// Polls until the job has ended or the timeout has passed, and returns its last
/// view. Shows a spinner on a terminal and nothing in a pipe.
async fn wait(client: &Client, job: &str, timeout_ms: u64) -> Result<Value, CliError> {
    let progress = output::is_interactive().then(ProgressBar::new_spinner);
    if let Some(progress) = &progress {
        progress.enable_steady_tick(SPINNER_INTERVAL);
    }
    let started = Instant::now();
    loop {
        let elapsed_ms = started.elapsed().as_millis() as u64;
        let wait_ms = timeout_ms.saturating_sub(elapsed_ms).min(POLL_MS);
        let mut call = Call::get(format!("/v1/jobs/{job}?wait_ms={wait_ms}"));
        call.wait_ms = wait_ms;
        let view = client.call(&call).await?;
        if is_final(&view) || elapsed_ms + wait_ms >= timeout_ms {
            if let Some(progress) = &progress {
                progress.finish_and_clear();
            }
            return Ok(view);
        }
        if let Some(progress) = &progress {
            let (done, tasks) = (field_text(&view, "done"), field_text(&view, "tasks"));
            progress.set_message(format!(
                "{} {done} of {tasks} tasks done",
                field_text(&view, "state")
            ));
        }
    }
}

async fn list(client: &Client, output: Output, matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let limit = matches.get_one::<u64>("limit").copied().unwrap_or(50);
    let mut path = format!("/v1/jobs?limit={limit}");
    if let Some(entry) = matches.get_one::<String>("entry") {
        path.push_str("&entry=");
        path.push_str(entry);
    }
    let listed = client.call(&Call::get(path)).await?;
    output.print_table(&listed, HEADER, |listed| {
        listed["jobs"].as_array().into_iter().flatten().map(row).collect()
    });
    Ok(ExitCode::SUCCESS)
}

const HEADER: &[&str] =
    &["JOB", "ENTRY", "STATE", "DONE", "WORKERS", "ZONE", "WAITED_MS", "OUTCOME"];

fn row(view: &Value) -> Vec<String> {
    let workers: Vec<&str> =
        view["workers"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let (code, detail) = outcome(view);
    vec![
        field_text(view, "job"),
        field_text(view, "entry"),
        field_text(view, "state"),
        format!("{}/{}", field_text(view, "done"), field_text(view, "tasks")),
        workers.join(" "),
        field_text(view, "zone"),
        field_text(view, "waited_ms"),
        format!("{code} {detail}").trim().to_owned(),
    ]
}

fn show(output: Output, view: &Value) {
    output.print_table(view, HEADER, |view| vec![row(view)]);
}

fn finish(output: Output, view: &Value, has_waited: bool) -> Result<ExitCode, CliError> {
    show(output, view);
    let view: JobView =
        serde_json::from_value(view.clone()).map_err(|error| CliError::Local(error.to_string()))?;
    Ok(exit::for_job(view.state, has_waited))
}

/// The code and the detail of an outcome, the latter shortened; for a job that
/// succeeded, the start of its answer.
fn outcome(view: &Value) -> (String, String) {
    const DETAIL_CHARS_MAX: usize = 40;
    let Some(outcome) = view.get("outcome").and_then(Value::as_object) else {
        return (String::new(), String::new());
    };
    let Some((_, outcome)) = outcome.iter().next() else {
        return (String::new(), String::new());
    };
    let answer = field_text(outcome, "answer");
    let detail = if answer.is_empty() { field_text(outcome, "detail") } else { answer };
    let mut shown: String = detail.chars().take(DETAIL_CHARS_MAX).collect();
    if shown.len() < detail.len() {
        shown.push('…');
    }
    (field_text(outcome, "code"), shown)
}

fn is_final(view: &Value) -> bool {
    !matches!(field_text(view, "state").as_str(), "queued" | "running")
}

fn job_id(matches: &ArgMatches) -> String {
    matches.get_one::<String>("job").cloned().unwrap_or_default()
}

fn timeout_ms(matches: &ArgMatches) -> u64 {
    matches.get_one::<u64>("timeout-ms").copied().unwrap_or(60_000)
}
