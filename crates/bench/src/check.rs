//! Compares the deterministic figures with their bounds.

use std::collections::BTreeMap;

use stoatwell_world::World;
use stoatwell_world::layout::Layout;
use stoatwell_world::traffic::TrafficCounts;

use crate::decisions;
use crate::idle;
use crate::spread;
use crate::trace;
use crate::trace::TraceConfig;

/// Lowest and highest allowed value of each figure.
const BOUNDS: &str = include_str!("../bounds.json");

pub(crate) fn run() -> Result<(), String> {
    let bounds: BTreeMap<String, (f64, f64)> =
        serde_json::from_str(BOUNDS).map_err(|error| error.to_string())?;
    let figures = figures();
    let mut violations = Vec::new();
    for (name, value) in &figures {
        let Some((low, high)) = bounds.get(*name) else {
            violations.push(format!("{name} has no bound"));
            continue;
        };
        let in_bounds = (*low..=*high).contains(value);
        println!(
            "{} {name}: {value:.3} in {low} to {high}",
            if in_bounds { "ok  " } else { "OVER" }
        );
        if !in_bounds {
            violations.push(format!("{name} is {value}, not {low} to {high}"));
        }
    }
    for name in bounds.keys() {
        if !figures.iter().any(|(figure, _)| figure == name) {
            violations.push(format!("{name} is not measured"));
        }
    }
    if violations.is_empty() { Ok(()) } else { Err(violations.join("; ")) }
}

fn figures() -> Vec<(&'static str, f64)> {
    let idle = idle::measure(2, 12);
    let change = spread::measure_engines(4, true, true);
    let accurate = trace::run(trace_config(true, true), || 0.0);
    let declared = trace::run(trace_config(false, false), || 0.0);
    let learned = trace::run(trace_config(false, true), || 0.0);
    let (writes_per_job, reads_per_job) = store_per_job();
    vec![
        ("peer bytes sent a second at rest, 18 daemons", idle.peer_sent_bytes),
        ("busiest daemon's peer bytes a second at rest, 18 daemons", idle.peak_peer_bytes),
        ("worker bytes a second at rest, 6 held", idle.worker_bytes),
        ("store reads a second at rest", idle.store_reads),
        ("store writes a second at rest", idle.store_writes),
        (
            "ms until a change is at the last of 36 daemons, a zone cut off",
            change.last_daemon_ms as f64,
        ),
        ("store writes for a job of 20 tasks", writes_per_job),
        ("store reads for a job of 20 tasks", reads_per_job),
        ("packing with honest sizes", accurate.packing),
        ("packing with wrong sizes as declared", declared.packing),
        ("packing with wrong sizes learned", learned.packing),
        ("workers crowded with wrong sizes learned", learned.overloaded),
        (
            "promised too much",
            (accurate.overcommitted + declared.overcommitted + learned.overcommitted) as f64,
        ),
        ("urgent wait p99.9 ms", decisions::quantile(&learned.urgent_waits_ms, 0.999) as f64),
    ]
}

fn trace_config(accurate_sizes: bool, use_estimates: bool) -> TraceConfig {
    TraceConfig { workers: 120, seconds: 60, accurate_sizes, use_estimates, seed: 1 }
}

/// Store writes and reads of all daemons per job, less the calls of an idle cell.
fn store_per_job() -> (f64, f64) {
    const JOBS: u32 = 50;
    const SPAN_MS: u64 = 20_000;
    let layout = Layout::default();
    let mut world = World::new(5, &layout);
    world.run_ms(5_000);
    let total = |world: &World| {
        let add = |(writes, reads): (u64, u64), counts: &TrafficCounts| {
            (writes + counts.store_writes, reads + counts.store_reads)
        };
        world.nodes.iter().map(|node| node.counts).fold((0, 0), |sums, counts| add(sums, &counts))
    };
    let start = total(&world);
    world.run_ms(SPAN_MS);
    let idle = total(&world);
    for number in 0..JOBS {
        world.submit(0, "bundle", &format!("job-{number}"), 20, r#"{"run_ms":50}"#);
        world.run_ms(SPAN_MS / u64::from(JOBS));
    }
    let end = total(&world);
    let per_job = |before: u64, middle: u64, after: u64| {
        (after - middle) as f64 / f64::from(JOBS) - (middle - before) as f64 / f64::from(JOBS)
    };
    (per_job(start.0, idle.0, end.0), per_job(start.1, idle.1, end.1))
}
