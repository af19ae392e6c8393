//! How long a decision takes and how well workers are filled.

use std::time::Instant;

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_placement::Policy;
use stoatwell_placement::Scheduler;

use crate::baseline;
use crate::baseline::Way;
use crate::trace;
use crate::trace::Report;
use crate::trace::Setting;

const SIZES: [u32; 3] = [300, 1_000, 3_000];
const SECONDS: u64 = 30;

pub(crate) fn run() -> Result<(), String> {
    println!("Decision time on one core; a cell that is always more than full of work\n");
    println!(
        "| workers | tasks placed | placed/s of processor | mean µs | p99 of a pass, µs a task | evicted |"
    );
    println!("|---|---|---|---|---|---|");
    for workers in SIZES {
        let report =
            timed(Setting { workers, seconds: SECONDS, honest: false, learn: true, seed: 1 });
        let total_us: f64 = report.passes_us.iter().map(|(took_us, _)| took_us).sum();
        let mean_us = total_us / report.placed.max(1) as f64;
        let p99_us = percentile(&report)?;
        println!(
            "| {workers} | {} | {:.0} | {mean_us:.1} | {p99_us:.1} | {} |",
            report.placed,
            1e6 / mean_us.max(1e-9),
            report.evicted
        );
    }
    by_class();
    println!("\nPacking and waiting, 300 workers, by true use (deterministic)\n");
    println!(
        "| sizes | demand | packing | promised too much | workers crowded | urgent wait p99.9 ms | other wait p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (honest, learn) in [(true, true), (false, false), (false, true)] {
        let setting = Setting { workers: 300, seconds: 60, honest, learn, seed: 1 };
        let report = trace::run(setting, || 0.0);
        let sizes = if honest { "honest" } else { "x0.3 to x3" };
        let demand = if learn { "learned" } else { "as declared" };
        println!(
            "| {sizes} | {demand} | {:.3} | {} | {:.4} | {} | {} |",
            report.packing,
            report.overuse,
            report.crowded,
            at(&report.urgent_waits_ms, 0.999),
            at(&report.other_waits_ms, 0.99)
        );
    }
    println!(
        "\nSimple ways over the same arrivals, as declared, nothing gives way (deterministic)\n"
    );
    println!("| sizes | way | packing | workers crowded |\n|---|---|---|---|");
    for honest in [true, false] {
        for way in [Way::FirstFit, Way::BestFit, Way::RandomOfTwo] {
            let setting = Setting { workers: 300, seconds: 60, honest, learn: false, seed: 1 };
            let (packing, crowded) = baseline::run(setting, way);
            let sizes = if honest { "honest" } else { "x0.3 to x3" };
            println!("| {sizes} | {way:?} | {packing:.3} | {crowded:.4} |");
        }
    }
    Ok(())
}

/// Time for each class in an empty cell of the target's size, jobs of four tasks.
fn by_class() {
    const WORKERS: u32 = 3_000;
    const JOBS: u64 = 1_000;
    println!(
        "\nBy class, 3,000 workers, jobs of four tasks\n\n| class | mean µs a task |\n|---|---|"
    );
    for class in [Class::Service, Class::Gang, Class::Batch] {
        let mut scheduler = Scheduler::new(Policy::default());
        for number in 0..WORKERS {
            trace::add_worker(&mut scheduler, number);
        }
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        for number in 0..JOBS {
            let mut waiting = trace::arrival(&mut rng, 0, number, true).waiting;
            waiting.class = class;
            waiting.tasks =
                (0..4).map(|task| AttemptId { job: waiting.job, task, attempt: 1 }).collect();
            scheduler.enqueue(waiting);
        }
        let started = Instant::now();
        scheduler.schedule(0, 100_000);
        let took_us = started.elapsed().as_secs_f64() * 1e6;
        let placed = scheduler.counters.placed.max(1);
        println!("| {class} | {:.1} |", took_us / placed as f64);
    }
}

/// A run with a real clock.
fn timed(setting: Setting) -> Report {
    let started = Instant::now();
    trace::run(setting, || started.elapsed().as_nanos() as f64 / 1_000.0)
}

fn percentile(report: &Report) -> Result<f64, String> {
    let mut histogram = Histogram::<u64>::new(3).map_err(|error| error.to_string())?;
    for (took_us, placed) in &report.passes_us {
        let nanos_per_task = took_us * 1_000.0 / *placed as f64;
        histogram.record(nanos_per_task as u64).map_err(|error| error.to_string())?;
    }
    Ok(histogram.value_at_percentile(99.0) as f64 / 1_000.0)
}

/// The value at this part of the sorted values.
pub(crate) fn at(values: &[u64], part: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * part) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}
