//! Submits one job for each workload of both users and prints the outcomes.

use clap::ArgMatches;
use serde_json::Value;
use serde_json::json;

use crate::balancer::Balancer;
use crate::balancer::CallResult;

const WAIT_MS: u64 = 15_000;

/// A workload: its catalogue entry, number of tasks and body.
struct Workload {
    entry: &'static str,
    tasks: u32,
    body: Value,
}

fn workloads() -> Vec<Workload> {
    let task = |run_ms: u64, answer: &str| json!({ "run_ms": run_ms, "answer": answer });
    let request = |work_ms: u64| json!({ "work_ms": work_ms, "hearing": "GJ-2026-1187" });
    vec![
        Workload { entry: "sign-interpretation-packet", tasks: 4, body: task(800, "packet part") },
        Workload { entry: "cause-list-bundle", tasks: 12, body: task(200, "bundle part") },
        Workload { entry: "booking-confirmation", tasks: 1, body: request(30) },
        Workload { entry: "menu-costing", tasks: 20, body: task(300, "costed") },
        Workload { entry: "driver-route-batch", tasks: 1, body: task(250, "routes") },
        Workload { entry: "headcount-confirmation", tasks: 1, body: request(15) },
    ]
}

pub(crate) async fn run(matches: &ArgMatches) -> Result<(), String> {
    let addresses = matches.get_one::<String>("address").cloned().unwrap_or_default();
    let balancer = Balancer::new(&addresses)?;
    println!(
        "{:<28} {:<8} {:<10} {:>9}  {:<34} OUTCOME",
        "WORKLOAD", "STATE", "ZONE", "WAITED ms", "WORKERS"
    );
    let mut failed_count = 0;
    for workload in workloads() {
        let view = run_one(&balancer, &workload).await?;
        print_row(workload.entry, &view);
        failed_count += u32::from(view["state"] != "done");
    }
    if failed_count > 0 {
        return Err(format!("{failed_count} workloads have a wrong outcome"));
    }
    Ok(())
}

async fn run_one(balancer: &Balancer, workload: &Workload) -> Result<Value, String> {
    let submission = json!({
        "entry": workload.entry,
        "tasks": workload.tasks,
        "body": workload.body.to_string(),
    });
    let key = format!("{}-{:x}", workload.entry, rand::random::<u64>());
    let view = match balancer.submit(&key, &submission, WAIT_MS).await {
        CallResult::Answer(view) => view,
        other => return Err(format!("{}: {other:?}", workload.entry)),
    };
    if !matches!(view["state"].as_str(), Some("queued" | "running")) {
        return Ok(view);
    }
    let job = view["job"].as_str().unwrap_or_default().to_owned();
    match balancer.wait(&job, WAIT_MS).await {
        CallResult::Answer(view) => Ok(view),
        other => Err(format!("{}: {other:?}", workload.entry)),
    }
}

fn print_row(entry: &str, view: &Value) {
    let workers: Vec<&str> =
        view["workers"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let outcome = match &view["outcome"] {
        Value::Null => view.to_string(),
        outcome => outcome.to_string(),
    };
    let outcome: String = outcome.chars().take(70).collect();
    let text = |name: &str| view[name].as_str().unwrap_or("-").to_owned();
    let waited = view["waited_ms"]
        .as_u64()
        .map_or_else(|| "-".to_owned(), |waited_ms| waited_ms.to_string());
    println!(
        "{entry:<28} {:<8} {:<10} {waited:>9}  {:<34} {outcome}",
        text("state"),
        text("zone"),
        workers.join(" ")
    );
}
