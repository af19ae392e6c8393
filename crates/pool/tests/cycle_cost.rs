//! The cost of scheduling cycles in a full pool, with few and with many queued steps.

mod world;

use std::time::Duration;

use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_pool::AdviceSpec;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::CycleWork;
use stoatwell_pool::JobSpec;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

const WORKERS: usize = 350;
/// The workers of the largest deployment of one zone's leader, and those of the target.
const MANY_WORKERS: [usize; 2] = [1_100, 3_000];
/// One worker in this many refuses connections in each tick.
const CLOSED_DIVISOR: usize = 500;
/// How long it does.
const CLOSED_MS: u64 = 150;
const CUSTOMERS: u64 = 20;
/// Time in which the pool fills up and the first queries are answered.
const WARM_UP_MS: u64 = 2_000;
const MEASURED_MS: u64 = 2_000;
/// Interval of arrivals.
const TICK_MS: u64 = 20;

/// What one measurement found.
struct Measured {
    work: CycleWork,
    deciding: Duration,
    starts: u64,
}

/// A batch job that can wait; one in eight is a gang, and one in four needs no tickets.
fn waiting_job(number: u64) -> JobSpec {
    let gang = number.is_multiple_of(8);
    let mut rules = queue(if gang { 1 } else { 2 });
    if number % 4 != 1 {
        rules.advice = Some(AdviceSpec { decide_ms: 120.0, each_ms: 1.8, valid_ms: 2_000 });
    }
    let mut step = if gang { step(20, 4_500, 3_400) } else { step(25, 1_700, 1_900) };
    step.gang = gang;
    let name = CustomerName::new(format!("c{}", number % CUSTOMERS));
    // One customer in five has a cap that its jobs reach.
    let cpu_millis = if number.is_multiple_of(5) { 200_000 } else { 0 };
    let cap = Resources { cpu_millis, ..Resources::ZERO };
    let customer = Some(CustomerLimits { name, weight: 10.0, cap });
    JobSpec { customer, ..job(rules, vec![step]) }
}

fn urgent_job() -> JobSpec {
    let mut rules = queue(0);
    rules.advice = Some(AdviceSpec { decide_ms: 50.0, each_ms: 0.2, valid_ms: 2_000 });
    job(rules, vec![step(3, 2_500, 850)])
}

/// Keeps `queued` steps queued in a full pool while urgent jobs arrive and tasks end.
fn measure(queued: usize) -> Measured {
    let mut world = World::new(61, WORKERS, Faults::default());
    world.set_advisor_daemons(32);
    world.run(300);
    let mut next_job = 0;
    let mut run = |world: &mut World, for_ms: u64| {
        for _ in 0..for_ms / TICK_MS {
            next_job += 1;
            world.submit(1_000_000 + next_job, urgent_job());
            for _ in world.counts().queued_steps..queued {
                next_job += 1;
                let spec = JobSpec { accepted_unix_ms: world.now_ms, ..waiting_job(next_job) };
                world.submit(next_job, spec);
            }
            world.run(TICK_MS);
        }
    };
    run(&mut world, WARM_UP_MS);
    let (before, starts) = (world.cycle_work(), world.starts);
    world.deciding = Duration::ZERO;
    run(&mut world, MEASURED_MS);
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
    let work = world.cycle_work().since(before);
    Measured { work, deciding: world.deciding, starts: world.starts - starts }
}

/// Scales a demand by 70 to 130%, for each job differently.
fn vary_demand(number: u64, spec: JobSpec) -> JobSpec {
    let share = |seed: u64| 700 + number.wrapping_mul(seed) % 601;
    let mut steps = spec.steps.clone();
    for step in &mut steps {
        step.demand.cpu_millis = step.demand.cpu_millis * share(7_919) / 1_000;
        step.demand.memory_bytes = (2 << 30) / 1_000 * share(104_729);
    }
    JobSpec { steps, ..spec }
}

/// Keeps steps queued that all have demands of their own, while all workers are full and some of
/// them close and open again all the time.
fn measure_waiting(workers: usize, queued: u64) -> Measured {
    let mut world = World::new(63, workers, Faults::default());
    world.set_advisor_daemons(workers / 8);
    world.run(300);
    for number in 0..workers as u64 {
        world.submit(1_000_000 + number, job(queue(1), vec![step(1, 16_000, 60_000)]));
    }
    world.run(WARM_UP_MS);
    for number in 0..queued {
        let spec = vary_demand(number, waiting_job(number));
        world.submit(number, JobSpec { accepted_unix_ms: world.now_ms, ..spec });
    }
    let names: Vec<WorkerId> = world.workers.keys().cloned().collect();
    let mut closed = 0;
    let mut run = |world: &mut World, for_ms: u64| {
        for _ in 0..for_ms / TICK_MS {
            for _ in 0..workers / CLOSED_DIVISOR {
                closed += 37;
                world.refuse_connections(&names[closed % workers], CLOSED_MS);
            }
            world.run(TICK_MS);
        }
    };
    run(&mut world, WARM_UP_MS);
    let (before, starts) = (world.cycle_work(), world.starts);
    world.deciding = Duration::ZERO;
    run(&mut world, MEASURED_MS);
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
    assert_eq!(world.counts().queued_steps, queued as usize);
    let work = world.cycle_work().since(before);
    Measured { work, deciding: world.deciding, starts: world.starts - starts }
}

/// Prints the curve of the cost; see `docs/design/cycle-cost.md`.
#[test]
#[ignore = "a measurement"]
fn curve() {
    for queued in [50, 300, 600, 3_000] {
        let Measured { work, deciding, starts } = measure(queued);
        let deciding_ms = deciding.as_millis() as u64 * 1_000 / MEASURED_MS;
        println!("{queued} steps: {deciding_ms} ms of a second, {starts} starts, {work:?}");
    }
    for workers in MANY_WORKERS {
        for queued in [30, 100, 300, 1_000] {
            let Measured { work, deciding, .. } = measure_waiting(workers, queued);
            let deciding_ms = deciding.as_millis() as u64 * 1_000 / MEASURED_MS;
            println!("{workers} workers, {queued} steps: {deciding_ms} ms of a second, {work:?}");
        }
    }
}

/// Guards against cycles whose cost grows with the steps that wait: each of them was tried again
/// several times a second although nothing had changed for it. Counts are compared, since a busy
/// machine makes times useless.
#[test]
fn many_queued_steps_cost_at_most_twice_what_few_cost() {
    let few = measure(50);
    let many = measure(576);
    assert!(many.starts * 10 > few.starts * 9, "{} and {}", many.starts, few.starts);
    let (few, many) = (few.work, many.work);
    assert!(many.total() <= few.total() * 2, "{many:?} and {few:?}");
}

/// Guards against a cost that grows again in a queue of thousands of steps.
#[test]
fn thousands_of_queued_steps_cost_at_most_twice_what_few_cost() {
    let (few, many) = (measure(50).work, measure(3_000).work);
    assert!(many.total() <= few.total() * 2, "{many:?} and {few:?}");
}

/// Guards against steps that are compared with all workers again and again because their demands
/// differ.
#[test]
fn ten_times_the_different_demands_cost_at_most_twice_as_much() {
    for workers in MANY_WORKERS {
        let few = measure_waiting(workers, 30).work;
        let many = measure_waiting(workers, 300).work;
        assert!(many.total() <= few.total() * 2, "{workers} workers: {many:?} and {few:?}");
    }
}

/// Whole workers come free one after another while dozens of steps wait for one. Guards against a
/// missed wake-up, after which a worker would stay idle until the fallback a second later.
#[test]
fn capacity_that_comes_free_is_used_soon() {
    let mut world = World::new(67, 4, Faults::default());
    world.run(100);
    for number in 0..80 {
        world.submit(number, job(queue(1), vec![step(1, 16_000, 200)]));
    }
    let mut ran_ms = 0;
    while !world.open_jobs().is_empty() && ran_ms < 20_000 {
        world.run(100);
        ran_ms += 100;
    }
    // 20 tasks one after another on each worker, each with at most 200 ms of overhead: the write
    // of its row, its start, the report of its end and a cycle.
    assert!(ran_ms <= 8_000, "{ran_ms}");
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}
