//! Caps and weights of customers: limits on their use, and shares of a full pool.

mod world;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_pool::AdviceSpec;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::QueueSpec;

use self::world::Faults;
use self::world::Waits;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

/// The number of seeds in an ordinary run; set `SEEDS` for more, `SEED` for a single one.
const SEEDS: u64 = 150;
/// The lowest cap; a gang that needs more could never start. Gangs here need less.
const CAP_MIN_MILLIS: u64 = 24_000;

fn cpu(cpu_millis: u64) -> Resources {
    Resources { cpu_millis, ..Resources::ZERO }
}

fn with_customer(spec: JobSpec, customer: &str, cap: Resources) -> JobSpec {
    let name = CustomerName::new(customer);
    JobSpec { customer: Some(CustomerLimits { name, weight: 10.0, cap }), ..spec }
}

fn random_job(rng: &mut Pcg64) -> JobSpec {
    let step_count = rng.random_range(1..3);
    let mut steps = Vec::new();
    for index in 0..step_count {
        let tasks = rng.random_range(1..9);
        let mut step = step(tasks, rng.random_range(200..3_000), rng.random_range(100..2_500));
        step.gang = rng.random_range(0..3) == 0;
        if index > 0 && rng.random_range(0..2) == 0 {
            step.after.push(index - 1);
        }
        steps.push(step);
    }
    job(queue(rng.random_range(0..3)), steps)
}

/// Runs random jobs of three customers under a random mix of faults while caps are set,
/// lowered and raised. `with_notifications` is whether the scheduler is notified of caps.
fn simulate(seed: u64, with_notifications: bool) -> Result<(), String> {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0xca9);
    let mut draw =
        |limit: u32| if rng.random_range(0..3) == 0 { rng.random_range(0..limit) } else { 0 };
    let faults = Faults {
        lost_calls: draw(60),
        lost_answers: draw(60),
        late_calls: draw(60),
        failed_runs: draw(300),
        crashes: draw(8),
        isolations: draw(12),
        failovers: draw(40),
        ..Faults::default()
    };
    let mut world = World::new(seed, 12, faults);
    let names = ["a", "b", "c"].map(CustomerName::new);
    for number in 0..60 {
        let customer = &names[rng.random_range(0..names.len())];
        if number % 15 == 0 {
            let cap = cpu(rng.random_range(CAP_MIN_MILLIS..60_000));
            if with_notifications {
                world.set_cap(customer, 10.0, cap);
            } else {
                world.write_cap(customer, 10.0, cap);
            }
        }
        let cap = world.customers.get(customer).map_or(Resources::ZERO, |limits| limits.cap);
        let cap = if with_notifications { cap } else { Resources::ZERO };
        world.submit(number, with_customer(random_job(&mut rng), customer.as_str(), cap));
        world.run(rng.random_range(20..250));
        if rng.random_range(0..12) == 0 {
            world.cancel(rng.random_range(0..=number));
        }
    }
    // The rate of failed runs stays: the members of a gang draw from one seed, and a change
    // of the rate between their starts would let only some of them fail.
    world.faults = Faults { failed_runs: faults.failed_runs, ..Faults::default() };
    for _ in 0..160 {
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
    Ok(())
}

/// Guards against a start that takes a customer above its cap, after any fault or change of
/// a cap.
#[test]
fn no_customer_exceeds_its_cap_under_any_mix_of_faults() {
    World::check_seeds(SEEDS, |seed| simulate(seed, true).map(|()| 0));
}

/// Guards against a cap check that finds nothing: a scheduler that is not notified of caps
/// exceeds them, and the check has to report it.
#[test]
fn a_scheduler_without_caps_fails_the_cap_check() {
    let failed_seeds = (0..10).filter(|seed| simulate(*seed, false).is_err()).count();
    assert!(failed_seeds > 5, "{failed_seeds} of 10 seeds failed");
}

/// Guards against a step that waits forever because not all of its tasks fit into the cap.
#[test]
fn a_step_wider_than_its_cap_runs_in_waves() {
    let mut world = World::new(1, 12, Faults::default());
    world.run(100);
    let cap = cpu(4_000);
    world.set_cap(&CustomerName::new("a"), 1.0, cap);
    world.submit(1, with_customer(job(queue(1), vec![step(10, 1_000, 400)]), "a", cap));
    world.run(8_000);
    assert_eq!(world.state(1), Some(JobState::Completed), "{}", world.explain(JobId(1)));
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against a customer at its cap that takes or reserves capacity that others could use.
#[test]
fn a_customer_at_its_cap_does_not_delay_others() {
    let mut world = World::new(2, 12, Faults::default());
    world.run(100);
    let cap = cpu(30_000);
    world.set_cap(&CustomerName::new("a"), 1.0, cap);
    for number in 0..30 {
        let mut wide = job(queue(0), vec![step(6, 4_000, 2_000)]);
        wide.steps[0].gang = true;
        world.submit(number, with_customer(wide, "a", cap));
    }
    for number in 100..120 {
        let spec = job(queue(2), vec![step(4, 1_000, 500)]);
        world.submit(number, with_customer(spec, "b", Resources::ZERO));
    }
    world.run(3_000);
    for number in 100..120 {
        assert_eq!(world.state(number), Some(JobState::Completed), "{number}");
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Customer `a` submits `flood` jobs every 100 ms and customer `b` of the same weight one
/// every 200 ms. Returns the share of the jobs of `b` that are completed 1.5 s after the
/// arrivals end.
fn completed_share_beside(flood: u64) -> f64 {
    let mut world = World::new(4, 12, Faults::default());
    world.run(100);
    for name in ["a", "b"] {
        world.set_cap(&CustomerName::new(name), 10.0, Resources::ZERO);
    }
    let mut number = 0;
    let mut jobs_of_b = Vec::new();
    for tick in 0..60 {
        for _ in 0..flood {
            number += 1;
            let mut spec =
                with_customer(job(queue(0), vec![step(6, 2_000, 600)]), "a", Resources::ZERO);
            spec.accepted_unix_ms = world.now_ms;
            world.submit(number, spec);
        }
        if tick % 2 == 0 {
            number += 1;
            let mut spec =
                with_customer(job(queue(0), vec![step(4, 2_000, 500)]), "b", Resources::ZERO);
            spec.accepted_unix_ms = world.now_ms;
            world.submit(number, spec);
            jobs_of_b.push(number);
        }
        world.run(100);
    }
    world.run(1_500);
    let is_completed = |number: &&u64| world.state(**number) == Some(JobState::Completed);
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
    jobs_of_b.iter().filter(is_completed).count() as f64 / jobs_of_b.len() as f64
}

/// Guards against a customer that delays the other customers of a queue by flooding it:
/// jobs beyond a customer's weighted share wait for jobs within one.
#[test]
fn jobs_beyond_a_share_wait_for_jobs_within_a_share() {
    let baseline = completed_share_beside(0);
    let flooded = completed_share_beside(5);
    assert!(flooded >= baseline * 0.97, "{flooded} beside a flood, {baseline} without");
}

/// Guards against starvation of a wide gang of a customer at its cap: smaller jobs of the
/// same customer would take each part of the cap as it becomes free.
#[test]
fn a_gang_at_its_customers_cap_is_not_starved() {
    let mut world = World::new(6, 12, Faults::default());
    world.run(100);
    let cap = cpu(40_000);
    world.set_cap(&CustomerName::new("a"), 10.0, cap);
    let mut number = 0;
    for tick in 0..80 {
        number += 1;
        world.submit(number, with_customer(job(queue(2), vec![step(5, 2_000, 1_500)]), "a", cap));
        if tick == 20 {
            let mut wide = job(queue(1), vec![step(12, 3_000, 500)]);
            wide.steps[0].gang = true;
            world.submit(1_000, with_customer(wide, "a", cap));
        }
        world.run(100);
    }
    assert_eq!(world.state(1_000), Some(JobState::Completed), "{}", world.explain(JobId(1_000)));
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// The number of the gang in tests with a single one.
const GANG: u64 = 1;

/// A gang with tasks of 2 cores that waits long before it is late.
fn gang(tasks: u32) -> JobSpec {
    let mut spec = job(QueueSpec { target_ms: 60_000, ..queue(1) }, vec![step(tasks, 2_000, 500)]);
    spec.steps[0].gang = true;
    spec
}

/// A task of customer `a` leaves most of the cap to gangs of which each needs nearly the whole,
/// and small jobs of the customer arrive. Returns the world after that task has ended.
fn small_jobs_beside_gangs(gangs: u64) -> World {
    let mut world = World::new(8, 12, Faults::default());
    world.run(100);
    let cap = cpu(40_000);
    world.set_cap(&CustomerName::new("a"), 10.0, cap);
    world.submit(1, with_customer(job(queue(1), vec![step(1, 4_000, 12_000)]), "a", cap));
    world.run(500);
    for number in 0..gangs {
        world.submit(100 + number, with_customer(gang(19), "a", cap));
    }
    for number in 1_000..1_050 {
        world.submit(number, with_customer(job(queue(2), vec![step(1, 2_000, 1_000)]), "a", cap));
        world.run(300);
    }
    world.run(15_000);
    world
}

fn assert_no_needless_waits(world: &World) {
    let Waits { too_long_ms, first, .. } = &world.waits;
    assert!(too_long_ms.is_empty(), "{too_long_ms:?}, {}", first.as_deref().unwrap_or_default());
}

/// Guards against small jobs that wait while a gang of nearly the whole cap waits for a long task
/// of their customer.
#[test]
fn small_jobs_run_while_a_gang_waits_for_its_customers_cap() {
    let world = small_jobs_beside_gangs(1);
    assert_no_needless_waits(&world);
    assert!(world.open_jobs().is_empty(), "{:?}", world.open_jobs());
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against gangs of one customer that reserve its cap one after another, so that small jobs
/// wait for all of them.
#[test]
fn gangs_of_a_customer_do_not_reserve_its_cap_in_turn() {
    let world = small_jobs_beside_gangs(4);
    assert_no_needless_waits(&world);
    assert!(world.open_jobs().is_empty(), "{:?}", world.open_jobs());
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against a task of over half of the cap that is no gang and keeps small jobs of its
/// customer from what is left while it waits.
#[test]
fn a_step_that_is_no_gang_reserves_nothing_of_its_cap() {
    let mut world = World::new(9, 12, Faults::default());
    world.run(100);
    let gib = |gib: u64| Resources { memory_bytes: gib << 30, ..Resources::ZERO };
    let cap = gib(40);
    world.set_cap(&CustomerName::new("a"), 10.0, cap);
    let with_memory = |priority, memory_gib, estimate_ms| {
        let rules = QueueSpec { target_ms: 60_000, ..queue(priority) };
        let mut spec = job(rules, vec![step(1, 1_000, estimate_ms)]);
        spec.steps[0].demand.memory_bytes = gib(memory_gib).memory_bytes;
        with_customer(spec, "a", cap)
    };
    world.submit(1, with_memory(1, 18, 12_000));
    world.run(500);
    world.submit(2, with_memory(1, 23, 500));
    for number in 1_000..1_030 {
        world.submit(number, with_memory(2, 1, 500));
        world.run(300);
    }
    world.run(15_000);
    assert_no_needless_waits(&world);
    assert!(world.open_jobs().is_empty(), "{:?}", world.open_jobs());
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against a gang that queries the advisor only once its cap is free, and loses the cap to
/// small jobs of its customer before the answer.
#[test]
fn a_gang_that_needs_tickets_starts_when_its_cap_is_free() {
    let mut world = World::new(10, 24, Faults::default());
    world.run(100);
    let customer = CustomerName::new("a");
    let cap = cpu(40_000);
    world.set_cap(&customer, 10.0, cap);
    world.advice_ms = 600;
    let mut gang = gang(19);
    gang.queue.advice = Some(AdviceSpec { decide_ms: 500.0, each_ms: 1.0, valid_ms: 3_000 });
    let demand = gang.steps[0].demand.times(19);
    let mut free_since_ms = None;
    for tick in 0..1_500 {
        if tick % 10 == 0 {
            let small = job(queue(2), vec![step(2, 2_000, 2_000)]);
            world.submit(1_000 + tick, with_customer(small, "a", cap));
        }
        if tick == 200 {
            world.submit(GANG, with_customer(gang.clone(), "a", cap));
        }
        world.run(10);
        if tick < 200 {
            continue;
        }
        if world.state(GANG) != Some(JobState::Queued) {
            break;
        }
        let used = world.used_by(&customer);
        if free_since_ms.is_none() && cap.cpu_millis >= used.plus(&demand).cpu_millis {
            free_since_ms = Some(world.now_ms);
        }
    }
    let missed_ms = free_since_ms.map(|since_ms| world.now_ms - since_ms);
    assert!(missed_ms.is_none_or(|missed_ms| missed_ms <= 3_000), "{missed_ms:?}");
    assert_ne!(world.state(GANG), Some(JobState::Queued), "{}", world.explain(JobId(GANG)));
    assert_no_needless_waits(&world);
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// A job of a customer with this cap: a wide gang that needs most of it, or small work, some of it
/// long and some of it on workers that the advisor has to grant.
fn random_job_below(cap: Resources, rng: &mut Pcg64) -> JobSpec {
    let mut rules = queue(rng.random_range(0..3));
    if rng.random_range(0..2) == 0 {
        rules.name.push_str("-advised");
        rules.advice = Some(AdviceSpec { decide_ms: 100.0, each_ms: 1.0, valid_ms: 3_000 });
    }
    rules.target_ms = rng.random_range(1_000..60_000);
    let steps = match rng.random_range(0..10) {
        0..2 => {
            let tasks = rng.random_range(20..=35);
            let percent = rng.random_range(50..=98);
            let cpu_millis = cap.cpu_millis * percent / 100 / u64::from(tasks);
            let mut wide = step(tasks, cpu_millis, rng.random_range(200..2_500));
            wide.gang = true;
            vec![wide]
        }
        2 => vec![step(rng.random_range(1..3), 2_000, rng.random_range(5_000..12_000))],
        3 => {
            let mut second = step(rng.random_range(1..9), 1_000, 800);
            second.after.push(0);
            vec![step(rng.random_range(1..4), 1_000, 500), second]
        }
        _ => {
            let cpu_millis = rng.random_range(200..2_000);
            vec![step(rng.random_range(1..5), cpu_millis, rng.random_range(100..2_500))]
        }
    };
    job(rules, steps)
}

/// Runs random jobs, many of them wide gangs, of two customers near their caps while runs fail and
/// the leader changes, on more workers than the caps need.
fn simulate_wide_gangs(seed: u64) -> Result<(), String> {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x9a29);
    let mut draw =
        |limit: u32| if rng.random_range(0..3) == 0 { rng.random_range(0..limit) } else { 0 };
    let faults = Faults { failed_runs: draw(200), failovers: draw(10), ..Faults::default() };
    let mut world = World::new(seed, 20, faults);
    world.advice_ms = rng.random_range(20..900);
    let names = ["a", "b"].map(CustomerName::new);
    for name in &names {
        world.set_cap(name, 10.0, cpu(rng.random_range(CAP_MIN_MILLIS..60_000)));
    }
    for number in 0..40 {
        let customer = &names[rng.random_range(0..names.len())];
        let cap = world.customers[customer].cap;
        let spec = random_job_below(cap, &mut rng);
        world.submit(number, with_customer(spec, customer.as_str(), cap));
        world.run(rng.random_range(20..400));
    }
    for _ in 0..160 {
        world.run(500);
        if world.open_jobs().is_empty() {
            break;
        }
    }
    let Waits { too_long_ms, first, .. } = &world.waits;
    if let Some(first) = first {
        return Err(format!("{first}\n{too_long_ms:?}, {faults:?}"));
    }
    if let Some(first) = world.violations.first() {
        return Err(format!("{first} ({} in all), {faults:?}", world.violations.len()));
    }
    if let Some(open) = world.open_jobs().first() {
        return Err(format!("{open} is not finished:\n{}\n{faults:?}", world.explain(*open)));
    }
    Ok(())
}

/// Guards against a job that has nothing running for long although its customer uses under half
/// of its cap and there is ample room for it, whatever wide gangs wait.
#[test]
fn no_job_waits_needlessly_beside_wide_gangs() {
    World::check_seeds(SEEDS, |seed| simulate_wide_gangs(seed).map(|()| 0));
}

/// Guards against a job that waits for its customer's cap without an explanation that says
/// so.
#[test]
fn the_explanation_names_a_cap_that_a_job_waits_for() {
    let mut world = World::new(7, 12, Faults::default());
    world.run(100);
    let cap = cpu(8_000);
    world.set_cap(&CustomerName::new("a"), 3.0, cap);
    world.submit(1, with_customer(job(queue(1), vec![step(8, 1_000, 2_000)]), "a", cap));
    let mut gang = job(queue(1), vec![step(4, 1_000, 500)]);
    gang.steps[0].gang = true;
    world.run(200);
    world.submit(2, with_customer(gang, "a", cap));
    world.run(200);
    let lines = world.explain(JobId(2));
    assert!(lines.contains("customer a: has") && lines.contains("waits for the customer's cap"));
}
