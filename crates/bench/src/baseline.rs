//! Simple placement strategies on the same arrivals, as a baseline.

use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stoatwell_model::Resources;

use crate::trace;
use crate::trace::TraceConfig;

/// A scheduling cycle ends after this many tasks that fit no worker.
const UNPLACED_TASKS_MAX: usize = 64;

/// How a worker is chosen for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// The first worker that fits.
    FirstFit,
    /// Of the workers that fit, the one with the least free CPU.
    BestFit,
    /// Of two random workers, the one that fits and has more free CPU.
    RandomOfTwo,
}

struct Task {
    worker: usize,
    demand: Resources,
    actual_use: Resources,
    ends_ms: u64,
}

/// Runs the trace and returns, over its second half, the mean share of the scarcest
/// resource that is actually used, and the mean share of workers on which actual use
/// exceeds the capacity.
pub(crate) fn run(config: TraceConfig, strategy: Strategy) -> (f64, f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let mut choice_rng = Pcg64Mcg::seed_from_u64(config.seed + 1);
    let capacities: Vec<Resources> = (0..config.workers).map(trace::capacity).collect();
    let mut total_capacity = Resources::ZERO;
    for capacity in &capacities {
        total_capacity = total_capacity.plus(capacity);
    }
    let mut free = capacities.clone();
    let mut waiting: VecDeque<(Resources, Resources, u64)> = VecDeque::new();
    let mut running: Vec<Task> = Vec::new();
    let mut number = 0;
    let (mut used_sum, mut overloaded_sum) = (0.0, 0);
    let steps = config.seconds * 1_000 / trace::STEP_MS;
    for step in 0..steps {
        let now_ms = step * trace::STEP_MS;
        let wanted = config.workers as usize * trace::TASKS_PER_WORKER as usize * 11 / 10;
        while waiting.len() + running.len() < wanted {
            number += 1;
            let arrival = trace::draw_arrival(&mut rng, now_ms, number, config.accurate_sizes);
            for _ in &arrival.waiting.tasks {
                waiting.push_back((arrival.waiting.demand, arrival.actual_use, arrival.run_ms));
            }
        }
        let mut not_placed = VecDeque::new();
        while not_placed.len() < UNPLACED_TASKS_MAX {
            let Some((demand, actual_use, run_ms)) = waiting.pop_front() else {
                break;
            };
            let Some(worker) = choose(strategy, &free, &demand, &mut choice_rng) else {
                not_placed.push_back((demand, actual_use, run_ms));
                continue;
            };
            free[worker] = free[worker].minus(&demand);
            running.push(Task { worker, demand, actual_use, ends_ms: now_ms + run_ms });
        }
        not_placed.extend(waiting);
        waiting = not_placed;
        let (ended, still_running): (Vec<Task>, Vec<Task>) =
            running.into_iter().partition(|task| task.ends_ms <= now_ms);
        for task in ended {
            free[task.worker] = free[task.worker].plus(&task.demand);
        }
        running = still_running;
        if step >= steps / 2 {
            let mut used = vec![Resources::ZERO; capacities.len()];
            let mut sum = Resources::ZERO;
            for task in &running {
                used[task.worker] = used[task.worker].plus(&task.actual_use);
                sum = sum.plus(&task.actual_use);
            }
            used_sum += sum.dominant_share(&total_capacity);
            let pairs = capacities.iter().zip(&used);
            overloaded_sum += pairs.filter(|(capacity, used)| !capacity.holds(used)).count();
        }
    }
    let counted_steps = (steps - steps / 2) as f64;
    (used_sum / counted_steps, overloaded_sum as f64 / counted_steps / f64::from(config.workers))
}

fn choose(
    strategy: Strategy,
    free: &[Resources],
    demand: &Resources,
    rng: &mut Pcg64Mcg,
) -> Option<usize> {
    let fits = |index: &usize| free[*index].holds(demand);
    match strategy {
        Strategy::FirstFit => (0..free.len()).find(fits),
        Strategy::BestFit => {
            (0..free.len()).filter(fits).min_by_key(|index| free[*index].cpu_millis)
        }
        Strategy::RandomOfTwo => {
            let drawn = [rng.random_range(0..free.len()), rng.random_range(0..free.len())];
            drawn.into_iter().filter(fits).max_by_key(|index| free[*index].cpu_millis)
        }
    }
}
