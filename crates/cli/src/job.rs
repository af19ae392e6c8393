//! Submitting work and following it.

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
use crate::entry::read;
use crate::exit;
use crate::exit::CliError;
use crate::output;
use crate::output::Output;
use crate::output::text;

/// One long poll; a longer wait is made of several.
const POLL_MS: u64 = 10_000;
const REDRAW: Duration = Duration::from_millis(120);

pub(crate) async fn run(
    client: &Client,
    output: Output,
    matches: &ArgMatches,
) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("submit", sub)) => submit(client, output, sub).await,
        Some(("wait", sub)) => {
            let job = id(sub);
            let view = wait(client, &job, limit_ms(sub)).await?;
            finish(output, &view, true)
        }
        Some(("cancel", sub)) => {
            let view =
                client.call(&Call::new(Method::DELETE, format!("/v1/jobs/{}", id(sub)))).await?;
            show(output, &view);
            Ok(ExitCode::SUCCESS)
        }
        Some(("status", sub)) => {
            let view = client.call(&Call::get(format!("/v1/jobs/{}", id(sub)))).await?;
            finish(output, &view, false)
        }
        Some(("list", sub)) => list(client, output, sub).await,
        _ => Ok(ExitCode::SUCCESS),
    }
}

/// Tells why a job waits or why it ran where it ran.
pub(crate) async fn explain(
    client: &Client,
    output: Output,
    matches: &ArgMatches,
) -> Result<ExitCode, CliError> {
    let view = client.call(&Call::get(format!("/v1/jobs/{}", id(matches)))).await?;
    output.lines(&view, |view| {
        let mut lines = vec![format!(
            "job {} of entry {} is {} at daemon {} in zone {}",
            text(view, "job"),
            text(view, "entry"),
            text(view, "state"),
            text(view, "coordinator"),
            text(view, "zone"),
        )];
        let waited = text(view, "waited_ms");
        if !waited.is_empty() {
            lines.push(format!("it waited {waited} ms before its first start"));
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
    let waits = matches.get_flag("wait");
    let mut call = Call::new(Method::POST, "/v1/jobs");
    call.headers = vec![("idempotency-key", key)];
    call.body = Some(submission(matches)?.to_string());
    let view = client.call(&call).await?;
    if !waits || is_final(&view) {
        return finish(output, &view, false);
    }
    let view = wait(client, &text(&view, "job"), limit_ms(matches)).await?;
    finish(output, &view, true)
}

fn submission(matches: &ArgMatches) -> Result<Value, CliError> {
    let number = |name: &str| matches.get_one::<u64>(name).copied();
    let body = match matches.get_one::<String>("body-file") {
        Some(file) => read(file)?,
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

/// Long polls until the job is final or the time is over, showing progress to
/// somebody at a terminal and nothing to a pipe.
async fn wait(client: &Client, job: &str, limit_ms: u64) -> Result<Value, CliError> {
    let progress = output::is_interactive().then(ProgressBar::new_spinner);
    if let Some(progress) = &progress {
        progress.enable_steady_tick(REDRAW);
    }
    let started = Instant::now();
    loop {
        let passed_ms = started.elapsed().as_millis() as u64;
        let wait_ms = limit_ms.saturating_sub(passed_ms).min(POLL_MS);
        let mut call = Call::get(format!("/v1/jobs/{job}?wait_ms={wait_ms}"));
        call.wait_ms = wait_ms;
        let view = client.call(&call).await?;
        if is_final(&view) || passed_ms + wait_ms >= limit_ms {
            if let Some(progress) = &progress {
                progress.finish_and_clear();
            }
            return Ok(view);
        }
        if let Some(progress) = &progress {
            let (done, tasks) = (text(&view, "done"), text(&view, "tasks"));
            progress.set_message(format!("{} {done} of {tasks} tasks done", text(&view, "state")));
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
    output.show(&listed, HEADER, |listed| {
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
        text(view, "job"),
        text(view, "entry"),
        text(view, "state"),
        format!("{}/{}", text(view, "done"), text(view, "tasks")),
        workers.join(" "),
        text(view, "zone"),
        text(view, "waited_ms"),
        format!("{code} {detail}").trim().to_owned(),
    ]
}

fn show(output: Output, view: &Value) {
    output.show(view, HEADER, |view| vec![row(view)]);
}

fn finish(output: Output, view: &Value, waited: bool) -> Result<ExitCode, CliError> {
    show(output, view);
    let view: JobView =
        serde_json::from_value(view.clone()).map_err(|error| CliError::Local(error.to_string()))?;
    Ok(exit::of_job(view.state, waited))
}

/// The number and the words of an outcome; for work that is done, its answer's start.
fn outcome(view: &Value) -> (String, String) {
    const SHOWN_CHARS: usize = 40;
    let Some(outcome) = view.get("outcome").and_then(Value::as_object) else {
        return (String::new(), String::new());
    };
    let Some((_, outcome)) = outcome.iter().next() else {
        return (String::new(), String::new());
    };
    let answer = text(outcome, "answer");
    let detail = if answer.is_empty() { text(outcome, "detail") } else { answer };
    let mut shown: String = detail.chars().take(SHOWN_CHARS).collect();
    if shown.len() < detail.len() {
        shown.push('…');
    }
    (text(outcome, "code"), shown)
}

fn is_final(view: &Value) -> bool {
    !matches!(text(view, "state").as_str(), "queued" | "running")
}

fn id(matches: &ArgMatches) -> String {
    matches.get_one::<String>("job").cloned().unwrap_or_default()
}

fn limit_ms(matches: &ArgMatches) -> u64 {
    matches.get_one::<u64>("timeout-ms").copied().unwrap_or(60_000)
}
