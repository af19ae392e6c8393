//! A request through a daemon against one that goes to the minion itself.

use std::time::Instant;

use reqwest::Client;
use serde_json::json;
use stoatwell_model::RegionName;
use stoatwell_model::Resources;
use stoatwell_model::ZoneName;
use stoatwell_standin::Config;
use stoatwell_standin::Standin;
use stoatwell_standin::config::WorkerGroup;

const REQUESTS: u32 = 400;

/// Prints how long requests to a minion take without anything between.
pub(crate) async fn run() -> Result<(), String> {
    let group = WorkerGroup {
        prefix: "w".to_owned(),
        count: 1,
        per_rack: 8,
        zone: ZoneName::new("zone"),
        region: RegionName::new("region"),
        capacity: Resources { cpu_millis: 16_000, memory_bytes: 1 << 36, accelerators: 0 },
        minion_group: Some("desk".to_owned()),
        minion_slots: 64,
        minion_connections: 64,
    };
    let standin = Standin::start(Config { workers: vec![group], ..Config::default() });
    let standin = standin.await.map_err(|error| error.to_string())?;
    let http = Client::builder().no_proxy().build().map_err(|error| error.to_string())?;
    let url = format!("http://{}/minions/w1-minion/requests", standin.address);
    let mut times_us = Vec::new();
    for number in 0..REQUESTS {
        let attempt = format!("{number:032x}.0.1");
        let started = Instant::now();
        let sent =
            http.post(&url).header("x-attempt-id", attempt).body(json!({}).to_string()).send();
        let response = sent.await.map_err(|error| error.to_string())?;
        response.text().await.map_err(|error| error.to_string())?;
        times_us.push(started.elapsed().as_micros() as u64);
    }
    println!(
        "direct to the minion: p50 {} µs, p99 {} µs",
        crate::decisions::at(&times_us, 0.5),
        crate::decisions::at(&times_us, 0.99)
    );
    Ok(())
}
