//! A simulated pool of 1,100 workers at its usual load, with several kinds of faults at once.

mod world;

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use stoatwell_pool::AdviceSpec;
use stoatwell_pool::JobSpec;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

const WORKERS: usize = 1_100;
/// The number of seeds in an ordinary run; set `SEEDS` for more.
const SEEDS: u64 = 1;
/// The number of 20 ms ticks in which jobs arrive.
const ARRIVAL_TICKS: u64 = 100;

/// Draws one of the three jobs of a tick: most are short and urgent, some are wide gangs and
/// some are batches that can wait. Together they cause some 1,500 starts per second.
fn random_job(rng: &mut Pcg64) -> JobSpec {
    let (priority, tasks, cpu_millis, estimate_ms, decide_ms, each_ms) =
        match rng.random_range(0..160) {
            0..8 => (1, rng.random_range(8..90), 4_500, 4_000, 390.0, 5.6),
            8..19 => (2, rng.random_range(8..60), 2_700, 3_400, 140.0, 2.0),
            _ => (0, rng.random_range(1..9), 3_900, 800, 11.0, 0.16),
        };
    let mut queue = queue(priority);
    queue.advice = Some(AdviceSpec { decide_ms, each_ms, valid_ms: 2_000 });
    let mut step = step(tasks, cpu_millis, estimate_ms);
    step.gang = priority == 1 || rng.random_range(0..4) == 0;
    step.checkpoints = priority == 2;
    job(queue, vec![step])
}

fn simulate(seed: u64) -> World {
    let mut rng = Pcg64::seed_from_u64(seed);
    let faults = Faults {
        lost_calls: 5,
        lost_answers: 5,
        late_calls: 5,
        failed_runs: 20,
        crashes: 2,
        lost_advice: 20,
        ..Faults::default()
    };
    let mut world = World::new(seed, WORKERS, faults);
    world.set_advisor_daemons(140);
    for tick in 0..ARRIVAL_TICKS {
        for number in 0..3 {
            let spec = random_job(&mut rng);
            world.submit(tick * 3 + number, spec);
        }
        world.run(20);
        if tick == ARRIVAL_TICKS / 2 {
            world.fail_over();
            world.set_advisor_daemons(140);
        }
    }
    world.faults = Faults::default();
    for _ in 0..60 {
        world.run(500);
        if world.open_jobs().is_empty() {
            break;
        }
    }
    world
}

/// Answers of workers arrive one at a time in a pool of twice the workers of the largest
/// deployment. Guards against a cost for each answer that grows with the number of workers.
#[test]
fn an_answer_of_a_worker_does_not_cost_a_look_at_all_workers() {
    let mut world = World::new(23, 12_000, Faults::default());
    world.run(300);
    let began = Instant::now();
    for answer in 0..4_000 {
        world.answer_hold(answer);
    }
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}

/// A thousand urgent jobs arrive at once in such a pool. Guards against a decision that examines
/// all workers for each of them.
#[test]
fn selecting_workers_does_not_cost_a_look_at_all_workers() {
    let mut world = World::new(25, 12_000, Faults::default());
    world.set_advisor_daemons(1_174);
    world.run(300);
    let mut rules = queue(0);
    rules.advice = Some(AdviceSpec { decide_ms: 11.0, each_ms: 0.16, valid_ms: 2_000 });
    for number in 0..1_000 {
        world.submit(number, job(rules.clone(), vec![step(4, 3_500, 800)]));
    }
    let began = Instant::now();
    world.decide();
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    assert!(world.last_query_workers >= 8, "{}", world.last_query_workers);
    world.run(2_500);
    assert!(world.open_jobs().is_empty(), "{} jobs", world.open_jobs().len());
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against invariants that hold in small pools only.
#[test]
fn invariants_hold_in_a_large_pool() {
    let count = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..count {
        let world = simulate(seed);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations.first());
        let open = world.open_jobs();
        assert!(open.is_empty(), "seed {seed}: {} open:\n{}", open.len(), world.explain(open[0]));
        assert!(world.starts > 1_500, "seed {seed}: {} starts", world.starts);
    }
}
