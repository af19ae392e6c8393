//! Many requests at once, each with a body of its own, and what became of them.

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
use crate::balancer::Called;

const WAIT_MS: u64 = 20_000;

/// One request's end.
struct Ended {
    what: String,
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
            let mut ended = Vec::new();
            loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index >= requests {
                    return ended;
                }
                ended.push(one(&balancer, &entry, &format!("{run_id:x}-{index}"), work_ms).await);
            }
        });
    }
    let ended: Vec<Ended> = callers.join_all().await.into_iter().flatten().collect();
    probing.abort();
    report(&ended)
}

async fn one(balancer: &Balancer, entry: &str, key: &str, work_ms: u64) -> Ended {
    let started = Instant::now();
    let body = json!({ "work_ms": work_ms, "marker": key }).to_string();
    let submission = json!({ "entry": entry, "body": body });
    let called = balancer.submit(key, &submission, WAIT_MS).await;
    let what = match called {
        Called::Answer(view) => describe(&view, key),
        Called::Cut(why) => {
            eprintln!("cut: {why}");
            "cut".to_owned()
        }
        Called::Nowhere => "nowhere".to_owned(),
    };
    Ended { what, took_ms: started.elapsed().as_millis() as u64 }
}

/// "done" only if the answer is to this very request.
fn describe(view: &Value, key: &str) -> String {
    if let Some(answer) = view["outcome"]["done"]["answer"].as_str() {
        return if answer.contains(key) { "done".to_owned() } else { "crossed".to_owned() };
    }
    if let Some(state) = view["state"].as_str() {
        return state.to_owned();
    }
    format!("refused {}", view["code"])
}

fn report(ended: &[Ended]) -> Result<(), String> {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    let mut times = Histogram::<u64>::new(3).map_err(|error| error.to_string())?;
    for one in ended {
        *counts.entry(&one.what).or_default() += 1;
        times.record(one.took_ms).map_err(|error| error.to_string())?;
    }
    println!("requests {}", ended.len());
    for (what, count) in &counts {
        println!("  {what}: {count}");
    }
    let at = |percentile| times.value_at_percentile(percentile);
    println!("  milliseconds: p50 {}, p99 {}, max {}", at(50.0), at(99.0), times.max());
    let bad: u64 = ["cut", "crossed", "unknown", "nowhere", "failed"]
        .iter()
        .filter_map(|what| counts.get(what))
        .sum();
    if bad > 0 || !counts.contains_key("done") {
        return Err(format!("{bad} requests were cut, crossed, lost or left unknown"));
    }
    Ok(())
}
