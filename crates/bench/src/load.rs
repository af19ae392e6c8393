//! A load test: sends concurrent requests with distinct bodies and counts their
//! outcomes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use clap::ArgMatches;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;

use crate::balancer::Balancer;
use crate::balancer::CallResult;

const WAIT_MS: u64 = 20_000;

/// The outcome of one request and its latency.
struct RequestResult {
    outcome: String,
    took_ms: u64,
}

pub(crate) async fn run(matches: &ArgMatches) -> Result<(), String> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(0);
    let balancer = Arc::new(Balancer::new(&text("address"))?);
    let prober = Arc::clone(&balancer);
    let probing = tokio::spawn(async move { prober.probe().await });
    let next = Arc::new(AtomicU64::new(0));
    let requests = number("requests");
    let run_id: u64 = rand::random();
    let mut callers = JoinSet::new();
    for _ in 0..number("concurrency") {
        let balancer = Arc::clone(&balancer);
        let next = Arc::clone(&next);
        let (entry, work_ms) = (text("entry"), number("work-ms"));
        callers.spawn(async move {
            let mut results = Vec::new();
            loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index >= requests {
                    return results;
                }
                results.push(
                    run_request(&balancer, &entry, &format!("{run_id:x}-{index}"), work_ms).await,
                );
            }
        });
    }
    let results: Vec<RequestResult> = callers.join_all().await.into_iter().flatten().collect();
    probing.abort();
    report(&results)
}

async fn run_request(balancer: &Balancer, entry: &str, key: &str, work_ms: u64) -> RequestResult {
    let started = Instant::now();
    let body = json!({ "work_ms": work_ms, "marker": key }).to_string();
    let submission = json!({ "entry": entry, "body": body });
    let result = balancer.submit(key, &submission, WAIT_MS).await;
    let outcome = match result {
        CallResult::Answer(view) => describe(&view, key),
        CallResult::Cut(error) => {
            eprintln!("cut: {error}");
            "cut".to_owned()
        }
        CallResult::Nowhere => "nowhere".to_owned(),
    };
    RequestResult { outcome, took_ms: started.elapsed().as_millis() as u64 }
}

/// The outcome's label; "done" only if the answer contains the request's key, and
/// "crossed" if it belongs to another request.
fn describe(view: &Value, key: &str) -> String {
    if let Some(answer) = view["outcome"]["done"]["answer"].as_str() {
        return if answer.contains(key) { "done".to_owned() } else { "crossed".to_owned() };
    }
    if let Some(state) = view["state"].as_str() {
        return state.to_owned();
    }
    format!("refused {}", view["code"])
}

fn report(results: &[RequestResult]) -> Result<(), String> {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    let mut times = Histogram::<u64>::new(3).map_err(|error| error.to_string())?;
    for result in results {
        *counts.entry(&result.outcome).or_default() += 1;
        times.record(result.took_ms).map_err(|error| error.to_string())?;
    }
    println!("requests {}", results.len());
    for (outcome, count) in &counts {
        println!("  {outcome}: {count}");
    }
    let percentile = |percent| times.value_at_percentile(percent);
    println!(
        "  milliseconds: p50 {}, p99 {}, max {}",
        percentile(50.0),
        percentile(99.0),
        times.max()
    );
    let failures: u64 = ["cut", "crossed", "unknown", "nowhere", "failed"]
        .iter()
        .filter_map(|outcome| counts.get(outcome))
        .sum();
    if failures > 0 || !counts.contains_key("done") {
        return Err(format!("{failures} requests were cut, crossed, lost or left unknown"));
    }
    Ok(())
}
