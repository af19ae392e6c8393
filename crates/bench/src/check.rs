//! Figures that are the same in every run, held against their bounds.

use std::collections::BTreeMap;

use stoatwell_world::World;
use stoatwell_world::layout::Layout;
use stoatwell_world::traffic::TrafficCounts;

use crate::decisions;
use crate::rest;
use crate::spread;
use crate::trace;
use crate::trace::Setting;

/// Lowest and highest allowed value of each figure.
const BOUNDS: &str = include_str!("../bounds.json");

pub(crate) fn run() -> Result<(), String> {
    let bounds: BTreeMap<String, (f64, f64)> =
        serde_json::from_str(BOUNDS).map_err(|error| error.to_string())?;
    let figures = figures();
    let mut broken = Vec::new();
    for (name, value) in &figures {
        let Some((low, high)) = bounds.get(*name) else {
            broken.push(format!("{name} has no bound"));
            continue;
        };
        let inside = (*low..=*high).contains(value);
        println!("{} {name}: {value:.3} in {low} to {high}", if inside { "ok  " } else { "OVER" });
        if !inside {
            broken.push(format!("{name} is {value}, not {low} to {high}"));
        }
    }
    for name in bounds.keys() {
        if !figures.iter().any(|(figure, _)| figure == name) {
            broken.push(format!("{name} is not measured"));
        }
    }
    if broken.is_empty() { Ok(()) } else { Err(broken.join("; ")) }
}

fn figures() -> Vec<(&'static str, f64)> {
    let rest = rest::measure(2, 12);
    let change = spread::engines(4, true, true);
    let honest = trace::run(setting(true, true), || 0.0);
    let declared = trace::run(setting(false, false), || 0.0);
    let learned = trace::run(setting(false, true), || 0.0);
    let (writes_per_job, reads_per_job) = store_per_job();
    vec![
        ("peer bytes sent a second at rest, 18 daemons", rest.peer_sent_bytes),
        ("busiest daemon's peer bytes a second at rest, 18 daemons", rest.peak_peer_bytes),
        ("worker bytes a second at rest, 6 held", rest.worker_bytes),
        ("store reads a second at rest", rest.store_reads),
        ("store writes a second at rest", rest.store_writes),
        ("ms until a change is at the last of 36 daemons, a zone cut off", change.last_ms as f64),
        ("store writes for a job of 20 tasks", writes_per_job),
        ("store reads for a job of 20 tasks", reads_per_job),
        ("packing with honest sizes", honest.packing),
        ("packing with wrong sizes as declared", declared.packing),
        ("packing with wrong sizes learned", learned.packing),
        ("workers crowded with wrong sizes learned", learned.crowded),
        ("promised too much", (honest.overuse + declared.overuse + learned.overuse) as f64),
        ("urgent wait p99.9 ms", decisions::at(&learned.urgent_waits_ms, 0.999) as f64),
    ]
}

fn setting(honest: bool, learn: bool) -> Setting {
    Setting { workers: 120, seconds: 60, honest, learn, seed: 1 }
}

/// Store calls of one daemon for each of many jobs, those at rest taken off.
fn store_per_job() -> (f64, f64) {
    const JOBS: u32 = 50;
    const SPAN_MS: u64 = 20_000;
    let layout = Layout::default();
    let mut world = World::new(5, &layout);
    world.run_ms(5_000);
    let sum = |world: &World| {
        let add = |(writes, reads): (u64, u64), counts: &TrafficCounts| {
            (writes + counts.store_writes, reads + counts.store_reads)
        };
        world.nodes.iter().map(|node| node.counts).fold((0, 0), |sums, counts| add(sums, &counts))
    };
    let start = sum(&world);
    world.run_ms(SPAN_MS);
    let rest = sum(&world);
    for number in 0..JOBS {
        world.submit(0, "bundle", &format!("job-{number}"), 20, r#"{"run_ms":50}"#);
        world.run_ms(SPAN_MS / u64::from(JOBS));
    }
    let end = sum(&world);
    let per_job = |before: u64, middle: u64, after: u64| {
        (after - middle) as f64 / f64::from(JOBS) - (middle - before) as f64 / f64::from(JOBS)
    };
    (per_job(start.0, rest.0, end.0), per_job(start.1, rest.1, end.1))
}
