//! Simulations of a pool whose store is slow or stuck while workers leave, restart and drain,
//! one for each seed. Every job that some remaining workers may run has to end.

mod world;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use stoatwell_model::WorkerId;
use stoatwell_pool::AdviceSpec;
use stoatwell_pool::JobSpec;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

/// The number of seeds in an ordinary run; set `SEEDS` for more, `SEED` for a single one.
const SEEDS: u64 = 150;
const WORKERS: usize = 24;
const JOBS: u64 = 80;
/// The longest that the leader waits for the answer to a write.
const WRITE_MAX_MS: u64 = 1_500;

/// The answer to a hold lists at most `ends_listed_max` ended runs.
fn simulate(seed: u64, ends_listed_max: usize) -> Result<u64, String> {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x0a7a);
    let mut draw =
        |limit: u32| if rng.random_range(0..2) == 0 { rng.random_range(0..limit) } else { 0 };
    let faults = Faults {
        lost_calls: draw(40),
        lost_answers: draw(40),
        late_calls: draw(40),
        late_starts: 0,
        failed_runs: draw(200),
        crashes: draw(6),
        isolations: draw(8),
        failovers: draw(15),
        lost_advice: draw(200),
        refusals: draw(6),
        permanent_isolations: 0,
    };
    let mut world = World::new(seed, WORKERS, faults);
    world.tickets_expire = true;
    for worker in world.workers.values_mut() {
        worker.ends_listed_max = ends_listed_max;
    }
    world.granted_of_five = rng.random_range(2..5);
    for number in 0..JOBS {
        if rng.random_range(0..10) == 0 {
            world.commit_ms = *[12, 12, 60, 400, 1_500].get(rng.random_range(0..5)).expect("one");
            world.advice_ms = *[5, 80, 400].get(rng.random_range(0..3)).expect("one");
        }
        let spec = random_job(&mut rng);
        if rng.random_range(0..2) == 0 {
            world.submit(number, spec);
        } else {
            world.submit_via_scheduler(number, spec);
        }
        let pause_ms = rng.random_range(10..300);
        world.run(pause_ms);
        if rng.random_range(0..12) == 0 {
            world.cancel(rng.random_range(0..=number));
        }
        if rng.random_range(0..16) == 0 {
            let name = WorkerId::new(format!("w{:02}", rng.random_range(0..WORKERS)));
            world.drain(&name);
            world.run(700);
            world.crash(&name);
        }
    }
    world.run(3_000);
    // The members of a gang fail together, so the share of failed runs stays the same.
    world.faults = Faults { failed_runs: faults.failed_runs, ..Faults::default() };
    world.commit_ms = 12;
    world.run(14_000);
    for _ in 0..120 {
        world.run(500);
        if world.open_jobs().is_empty() {
            break;
        }
    }
    if let Some(first) = world.violations.first() {
        return Err(format!("{first} ({} in all), {faults:?}", world.violations.len()));
    }
    if let Some(open) = world.open_jobs().first() {
        return Err(format!("{open} is not finished:\n{}\n{faults:?}", world.explain(*open)));
    }
    Ok(world.starts)
}

fn random_job(rng: &mut Pcg64) -> JobSpec {
    let mut queue = queue(rng.random_range(0..3));
    if rng.random_range(0..4) > 0 {
        let decide_ms = *[7.0, 66.0, 510.0].get(rng.random_range(0..3)).expect("one");
        queue.advice = Some(AdviceSpec { decide_ms, each_ms: 1.0, valid_ms: 2_000 });
    }
    let step_count = rng.random_range(1..4);
    let mut steps = Vec::new();
    for index in 0..step_count {
        let tasks = rng.random_range(1..7);
        let cpu_millis = rng.random_range(200..5_000);
        let mut step = step(tasks, cpu_millis, rng.random_range(100..2_500));
        step.gang = rng.random_range(0..3) == 0;
        step.checkpoints = rng.random_range(0..2) == 0;
        if !step.gang && rng.random_range(0..4) == 0 {
            step.per_worker_max = 1;
        }
        if index > 0 && rng.random_range(0..2) == 0 {
            step.after.push(index - 1);
        }
        steps.push(step);
    }
    job(queue, steps)
}

/// Guards against accepted jobs that never end after the store was slow while their workers
/// left, restarted or drained.
#[test]
fn jobs_end_after_outages_of_the_store_and_losses_of_workers() {
    let starts = World::check_seeds(SEEDS, |seed| simulate(seed, 500));
    assert!(starts > 0, "nothing was started");
}

/// Guards against tasks that run twice or are never done because the answers of their workers
/// have no room for their ends.
#[test]
fn jobs_end_if_answers_leave_out_ends() {
    let starts = World::check_seeds(SEEDS / 3, |seed| simulate(seed, 2));
    assert!(starts > 0, "nothing was started");
}

/// Guards against a slow store in which nothing starts: each row was too old for its start once
/// it was durable, and was written again without end.
#[test]
fn tasks_start_while_each_write_takes_as_long_as_a_write_may() {
    let mut world = World::new(7, WORKERS, Faults::default());
    world.run(300);
    world.commit_ms = WRITE_MAX_MS;
    for number in 0..40 {
        world.submit(number, job(queue(0), vec![step(2, 1_000, 200)]));
        world.run(100);
    }
    world.run(2 * WRITE_MAX_MS + 1_000);
    assert_eq!(world.starts, 80);
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}
