//! Compares the latency of requests through a daemon with that of direct requests to
//! the minion, in one run and on one connection each.

use std::time::Duration;
use std::time::Instant;

use reqwest::Client;
use reqwest::RequestBuilder;
use serde_json::Value;
use serde_json::json;
use stoatwell_model::RegionName;
use stoatwell_model::Resources;
use stoatwell_model::ZoneName;
use stoatwell_standin::Config;
use stoatwell_standin::Standin;
use stoatwell_standin::config::WorkerGroup;
use stoatwelld::Daemon;

use crate::decisions::quantile;
use crate::slopes;

const REQUESTS: u32 = 500;
const POLL_ATTEMPTS: u32 = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Prints the latencies and their ratios to the direct ones.
pub(crate) async fn run() -> Result<(), String> {
    let standin = Standin::start(config()).await.map_err(|error| error.to_string())?;
    let mut settings = stoatwell_settings::example("bench");
    settings.platform.store_address = standin.address;
    settings.platform.instances_interval_ms = 100;
    settings.ledger.commits_per_second = 1_000;
    let daemon = Daemon::start(settings).await.map_err(|error| error.to_string())?;
    let http = Client::builder().no_proxy().build().map_err(|error| error.to_string())?;
    let base = format!("http://{}", daemon.http_address);
    set_up_cell(&http, &base).await?;
    let resident_mib = slopes::resident_kib()? / 1_024;
    println!("\nResident at rest, one process with a daemon and the stand-in: {resident_mib} MiB");
    let minion = format!("http://{}/minions/w1-minion/requests", standin.address);
    let direct = measure(|number| {
        http.post(&minion).header("x-attempt-id", format!("{number:032x}.0.1")).body("{}")
    });
    let direct = direct.await?;
    let idempotent = measure(|number| submit(&http, &base, "lookup", number)).await?;
    let at_most_once = measure(|number| submit(&http, &base, "booking", number)).await?;
    println!("\n## A request through a daemon, one after the other\n");
    println!("| way | p50 us | p99 us | p50 against direct |\n|---|---|---|---|");
    for (path, times) in [
        ("direct to the minion", &direct),
        ("through a daemon, may be repeated", &idempotent),
        ("through a daemon, recorded first (two writes)", &at_most_once),
    ] {
        let ratio = quantile(times, 0.5) as f64 / quantile(&direct, 0.5).max(1) as f64;
        println!("| {path} | {} | {} | {ratio:.1} |", quantile(times, 0.5), quantile(times, 0.99));
    }
    Ok(())
}

fn config() -> Config {
    let group = WorkerGroup {
        prefix: "w".to_owned(),
        count: 1,
        per_rack: 8,
        zone: ZoneName::new("zone-a"),
        region: RegionName::new("region-1"),
        capacity: Resources { cpu_millis: 16_000, memory_bytes: 1 << 36, accelerators: 0 },
        minion_group: Some("desk".to_owned()),
        minion_slots: 8,
        minion_connections: 64,
    };
    Config { workers: vec![group], ..Config::default() }
}

/// Creates the owner and two entries, starts the target and waits until a request
/// succeeds.
async fn set_up_cell(http: &Client, base: &str) -> Result<(), String> {
    let owner = json!({ "kind": "owner", "owner": "bench", "quota": { "cpu_millis": 1_000_000, "memory_bytes": 1_u64 << 40 } });
    send(http.put(format!("{base}/v1/entries/owner/bench")).json(&owner)).await?;
    for (name, execution) in [("lookup", "idempotent"), ("booking", "at_most_once")] {
        let entry = json!({ "kind": "work", "name": name, "owner": "bench", "class": "request",
            "execution": execution, "minions": "desk" });
        send(http.put(format!("{base}/v1/entries/work/{name}")).json(&entry)).await?;
    }
    send(http.post(format!("{base}/v1/targets/w1/start")).json(&json!({ "owner": "bench" })))
        .await?;
    for number in 0..POLL_ATTEMPTS {
        let view = send(submit(http, base, "lookup", 1_000_000 + number)).await?;
        if view["state"] == "done" {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err("the daemon served no request in time".to_owned())
}

fn submit(http: &Client, base: &str, entry: &str, number: u32) -> RequestBuilder {
    let submission = json!({ "entry": entry, "body": "{}" });
    http.post(format!("{base}/v1/jobs?wait_ms=5000"))
        .header("idempotency-key", format!("{entry}-{number}"))
        .json(&submission)
}

async fn measure(request: impl Fn(u32) -> RequestBuilder) -> Result<Vec<u64>, String> {
    let mut times_us = Vec::new();
    for number in 0..REQUESTS {
        let started = Instant::now();
        let response = request(number).send().await.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("request {number}: {}", response.status()));
        }
        response.text().await.map_err(|error| error.to_string())?;
        times_us.push(started.elapsed().as_micros() as u64);
    }
    Ok(times_us)
}

async fn send(request: RequestBuilder) -> Result<Value, String> {
    let response = request.send().await.map_err(|error| error.to_string())?;
    response.json().await.map_err(|error| error.to_string())
}
