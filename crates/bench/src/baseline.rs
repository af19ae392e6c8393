//! Simple ways of placing the same work, to compare with.

use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use stoatwell_model::Resources;

use crate::trace;
use crate::trace::Setting;

/// Tasks at the front that a pass tries.
const LOOK_AHEAD: usize = 64;

/// How a worker is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// The first that fits.
    FirstFit,
    /// The one that keeps the least processor.
    BestFit,
    /// The emptier of two drawn at random.
    RandomOfTwo,
}

struct Task {
    worker: usize,
    demand: Resources,
    truth: Resources,
    ends_ms: u64,
}

/// Mean used part of the scarcest resource by true use over the last half, and
/// the part of the workers on which more was used than they hold.
pub(crate) fn run(setting: Setting, way: Way) -> (f64, f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(setting.seed);
    let mut choice = Pcg64Mcg::seed_from_u64(setting.seed + 1);
    let capacities: Vec<Resources> = (0..setting.workers).map(trace::capacity).collect();
    let mut whole = Resources::ZERO;
    for capacity in &capacities {
        whole = whole.plus(capacity);
    }
    let mut free = capacities.clone();
    let mut waiting: VecDeque<(Resources, Resources, u64)> = VecDeque::new();
    let mut running: Vec<Task> = Vec::new();
    let mut number = 0;
    let (mut used_sum, mut crowded_sum) = (0.0, 0);
    let steps = setting.seconds * 1_000 / trace::STEP_MS;
    for step in 0..steps {
        let now_ms = step * trace::STEP_MS;
        let wanted = setting.workers as usize * trace::TASKS_PER_WORKER as usize * 11 / 10;
        while waiting.len() + running.len() < wanted {
            number += 1;
            let arrival = trace::arrival(&mut rng, now_ms, number, setting.honest);
            for _ in &arrival.waiting.tasks {
                waiting.push_back((arrival.waiting.demand, arrival.truth, arrival.run_ms));
            }
        }
        let mut skipped = VecDeque::new();
        while skipped.len() < LOOK_AHEAD {
            let Some((demand, truth, run_ms)) = waiting.pop_front() else {
                break;
            };
            let Some(worker) = choose(way, &free, &demand, &mut choice) else {
                skipped.push_back((demand, truth, run_ms));
                continue;
            };
            free[worker] = free[worker].minus(&demand);
            running.push(Task { worker, demand, truth, ends_ms: now_ms + run_ms });
        }
        skipped.extend(waiting);
        waiting = skipped;
        let (over, still): (Vec<Task>, Vec<Task>) =
            running.into_iter().partition(|task| task.ends_ms <= now_ms);
        for task in over {
            free[task.worker] = free[task.worker].plus(&task.demand);
        }
        running = still;
        if step >= steps / 2 {
            let mut used = vec![Resources::ZERO; capacities.len()];
            let mut sum = Resources::ZERO;
            for task in &running {
                used[task.worker] = used[task.worker].plus(&task.truth);
                sum = sum.plus(&task.truth);
            }
            used_sum += sum.dominant_share(&whole);
            let pairs = capacities.iter().zip(&used);
            crowded_sum += pairs.filter(|(capacity, used)| !capacity.holds(used)).count();
        }
    }
    let counted = (steps - steps / 2) as f64;
    (used_sum / counted, crowded_sum as f64 / counted / f64::from(setting.workers))
}

fn choose(way: Way, free: &[Resources], demand: &Resources, rng: &mut Pcg64Mcg) -> Option<usize> {
    let fits = |index: &usize| free[*index].holds(demand);
    match way {
        Way::FirstFit => (0..free.len()).find(fits),
        Way::BestFit => (0..free.len()).filter(fits).min_by_key(|index| free[*index].cpu_millis),
        Way::RandomOfTwo => {
            let drawn = [rng.random_range(0..free.len()), rng.random_range(0..free.len())];
            drawn.into_iter().filter(fits).max_by_key(|index| free[*index].cpu_millis)
        }
    }
}
