//! A pool of 1,100 workers at its usual load, with everything going wrong at once.

mod world;

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
/// Days played in an ordinary run; set `SEEDS` for more.
const SEEDS: u64 = 1;
/// For how long jobs arrive, in fiftieths of a second.
const ARRIVALS: u64 = 100;

/// Three jobs of a fiftieth of a second: most are short and urgent, some wide gangs, some
/// patient batches; some 1,500 starts a second.
fn any_job(rng: &mut Pcg64) -> JobSpec {
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

fn play(seed: u64) -> World {
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
    world.set_advisors(140);
    for tick in 0..ARRIVALS {
        for number in 0..3 {
            let spec = any_job(&mut rng);
            world.submit(tick * 3 + number, spec);
        }
        world.run(20);
        if tick == ARRIVALS / 2 {
            world.take_over();
            world.set_advisors(140);
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

/// Guards against promises that hold in small pools only.
#[test]
fn promises_hold_in_a_large_pool() {
    let count = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..count {
        let world = play(seed);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken.first());
        let open = world.open_jobs();
        assert!(open.is_empty(), "seed {seed}: {} open:\n{}", open.len(), world.explain(open[0]));
        assert!(world.starts > 1_500, "seed {seed}: {} starts", world.starts);
    }
}
