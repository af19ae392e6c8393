//! Measures how long placement decisions take and how well workers are packed.

use std::time::Instant;

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_placement::Policy;
use stoatwell_placement::Scheduler;

use crate::baseline;
use crate::baseline::Strategy;
use crate::trace;
use crate::trace::Report;
use crate::trace::TraceConfig;

const WORKER_COUNTS: [u32; 3] = [300, 1_000, 3_000];
const SECONDS: u64 = 30;

pub(crate) fn run() -> Result<(), String> {
    println!("Decision time on one core; a cell that is always more than full of work\n");
    println!(
        "| workers | tasks placed | placed/s of processor | mean µs | p99 of a pass, µs a task | evicted |"
    );
    println!("|---|---|---|---|---|---|");
    for workers in WORKER_COUNTS {
        let report = run_timed(TraceConfig {
            workers,
            seconds: SECONDS,
            accurate_sizes: false,
            use_estimates: true,
            seed: 1,
        });
        let total_us: f64 = report.cycle_times_us.iter().map(|(took_us, _)| took_us).sum();
        let mean_us = total_us / report.placed.max(1) as f64;
        let p99_us = p99_us_per_task(&report)?;
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
    for (accurate_sizes, use_estimates) in [(true, true), (false, false), (false, true)] {
        let config =
            TraceConfig { workers: 300, seconds: 60, accurate_sizes, use_estimates, seed: 1 };
        let report = trace::run(config, || 0.0);
        let sizes = if accurate_sizes { "honest" } else { "x0.3 to x3" };
        let demand = if use_estimates { "learned" } else { "as declared" };
        println!(
            "| {sizes} | {demand} | {:.3} | {} | {:.4} | {} | {} |",
            report.packing,
            report.overcommitted,
            report.overloaded,
            quantile(&report.urgent_waits_ms, 0.999),
            quantile(&report.other_waits_ms, 0.99)
        );
    }
    println!(
        "\nSimple ways over the same arrivals, as declared, nothing gives way (deterministic)\n"
    );
    println!("| sizes | way | packing | workers crowded |\n|---|---|---|---|");
    for accurate_sizes in [true, false] {
        for strategy in [Strategy::FirstFit, Strategy::BestFit, Strategy::RandomOfTwo] {
            let config = TraceConfig {
                workers: 300,
                seconds: 60,
                accurate_sizes,
                use_estimates: false,
                seed: 1,
            };
            let (packing, overloaded) = baseline::run(config, strategy);
            let sizes = if accurate_sizes { "honest" } else { "x0.3 to x3" };
            println!("| {sizes} | {strategy:?} | {packing:.3} | {overloaded:.4} |");
        }
    }
    Ok(())
}

/// Decision time per class, with jobs of four tasks in an empty cell of 3,000 workers,
/// the target size.
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
            let mut waiting = trace::draw_arrival(&mut rng, 0, number, true).waiting;
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

/// Runs the trace with cycles timed by the real clock.
fn run_timed(config: TraceConfig) -> Report {
    let started = Instant::now();
    trace::run(config, || started.elapsed().as_nanos() as f64 / 1_000.0)
}

fn p99_us_per_task(report: &Report) -> Result<f64, String> {
    let mut histogram = Histogram::<u64>::new(3).map_err(|error| error.to_string())?;
    for (took_us, placed) in &report.cycle_times_us {
        let nanos_per_task = took_us * 1_000.0 / *placed as f64;
        histogram.record(nanos_per_task as u64).map_err(|error| error.to_string())?;
    }
    Ok(histogram.value_at_percentile(99.0) as f64 / 1_000.0)
}

/// The value at `fraction` of the sorted values, 0 if there are none.
pub(crate) fn quantile(values: &[u64], fraction: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}
