//! What customers may take of a pool, and what they get when it is full.

mod world;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

/// Days played in an ordinary run; set `SEEDS` for more, `SEED` for one.
const SEEDS: u64 = 150;
/// The lowest cap of any day; a gang that needs more could never start.
const CAP_MIN_MILLIS: u64 = 24_000;

fn cpu(cpu_millis: u64) -> Resources {
    Resources { cpu_millis, ..Resources::ZERO }
}

fn owned(spec: JobSpec, customer: &str, cap: Resources) -> JobSpec {
    let name = CustomerName::new(customer);
    JobSpec { customer: Some(CustomerLimits { name, weight: 10.0, cap }), ..spec }
}

fn any_job(rng: &mut Pcg64) -> JobSpec {
    let steps = rng.random_range(1..3);
    let mut all = Vec::new();
    for number in 0..steps {
        let tasks = rng.random_range(1..9);
        let mut one = step(tasks, rng.random_range(200..3_000), rng.random_range(100..2_500));
        one.gang = rng.random_range(0..3) == 0;
        if number > 0 && rng.random_range(0..2) == 0 {
            one.after.push(number - 1);
        }
        all.push(one);
    }
    job(queue(rng.random_range(0..3)), all)
}

/// A day of three customers, two of them over their caps, under mixed faults; caps are
/// lowered and raised meanwhile. `tells` is whether the scheduler learns of caps.
fn play(seed: u64, tells: bool) -> Result<(), String> {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0xca9);
    let mut draw =
        |most: u32| if rng.random_range(0..3) == 0 { rng.random_range(0..most) } else { 0 };
    let faults = Faults {
        lost_calls: draw(60),
        lost_answers: draw(60),
        late_calls: draw(60),
        failed_runs: draw(300),
        crashes: draw(8),
        cuts: draw(12),
        take_overs: draw(40),
        ..Faults::default()
    };
    let mut world = World::new(seed, 12, faults);
    let names = ["a", "b", "c"].map(CustomerName::new);
    for number in 0..60 {
        let customer = &names[rng.random_range(0..names.len())];
        if number % 15 == 0 {
            let cap = cpu(rng.random_range(CAP_MIN_MILLIS..60_000));
            if tells {
                world.set_cap(customer, 10.0, cap);
            } else {
                world.write_cap(customer, 10.0, cap);
            }
        }
        let cap = world.customers.get(customer).map_or(Resources::ZERO, |limits| limits.cap);
        let cap = if tells { cap } else { Resources::ZERO };
        world.submit(number, owned(any_job(&mut rng), customer.as_str(), cap));
        world.run(rng.random_range(20..250));
        if rng.random_range(0..12) == 0 {
            world.cancel(rng.random_range(0..=number));
        }
    }
    // The members of a gang fail together, so runs go on failing as before.
    world.faults = Faults { failed_runs: faults.failed_runs, ..Faults::default() };
    for _ in 0..160 {
        world.run(500);
        if world.open_jobs().is_empty() {
            break;
        }
    }
    if let Some(first) = world.broken.first() {
        return Err(format!("{first} ({} in all), {faults:?}", world.broken.len()));
    }
    if let Some(open) = world.open_jobs().first() {
        return Err(format!("{open} is not over:\n{}\n{faults:?}", world.explain(*open)));
    }
    Ok(())
}

/// Guards against a start that brings a customer above its cap, after any loss or change.
#[test]
fn no_customer_passes_its_cap_under_any_mix_of_faults() {
    let one = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    let count = std::env::var("SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    let seeds = one.map_or(0..count, |seed: u64| seed..seed + 1);
    if one.is_some() {
        // One day is looked at closely: `SEED=7 cargo test --test customers -- --nocapture`.
        tracing_subscriber::fmt().with_target(false).without_time().init();
    }
    let mut broken = Vec::new();
    for seed in seeds {
        if let Err(why) = play(seed, true) {
            broken.push(format!("SEED={seed}: {why}"));
        }
    }
    assert!(broken.is_empty(), "{} days broken, the first:\n{}", broken.len(), broken[0]);
}

/// Guards against a check that would find nothing: a scheduler that is not told of caps
/// passes them.
#[test]
fn a_scheduler_that_knows_no_caps_is_caught() {
    let caught = (0..10).filter(|seed| play(*seed, false).is_err()).count();
    assert!(caught > 5, "{caught} of 10 days");
}

/// Guards against a step that waits for ever because all of it does not fit its cap.
#[test]
fn a_step_wider_than_its_cap_runs_in_waves() {
    let mut world = World::new(1, 12, Faults::default());
    world.run(100);
    let cap = cpu(4_000);
    world.set_cap(&CustomerName::new("a"), 1.0, cap);
    world.submit(1, owned(job(queue(1), vec![step(10, 1_000, 400)]), "a", cap));
    world.run(8_000);
    assert_eq!(world.state(1), Some(JobState::Completed), "{}", world.explain(JobId(1)));
    assert!(world.broken.is_empty(), "{:?}", world.broken.first());
}

/// Guards against a customer at its cap that keeps room or workers from the others.
#[test]
fn a_customer_at_its_cap_holds_nobody_up() {
    let mut world = World::new(2, 12, Faults::default());
    world.run(100);
    let cap = cpu(30_000);
    world.set_cap(&CustomerName::new("a"), 1.0, cap);
    for number in 0..30 {
        let mut wide = job(queue(0), vec![step(6, 4_000, 2_000)]);
        wide.steps[0].gang = true;
        world.submit(number, owned(wide, "a", cap));
    }
    for number in 100..120 {
        let spec = job(queue(2), vec![step(4, 1_000, 500)]);
        world.submit(number, owned(spec, "b", Resources::ZERO));
    }
    world.run(3_000);
    for number in 100..120 {
        assert_eq!(world.state(number), Some(JobState::Completed), "{number}");
    }
    assert!(world.broken.is_empty(), "{:?}", world.broken.first());
}

/// Two seconds of `a` sending `flood` times its weight beside `b`, in a pool that is full
/// with what `a` sends; gives the share of the jobs of `b` that are over 1.5 s after they came.
fn beside_a_flood(flood: u64) -> f64 {
    let mut world = World::new(4, 12, Faults::default());
    world.run(100);
    for name in ["a", "b"] {
        world.set_cap(&CustomerName::new(name), 10.0, Resources::ZERO);
    }
    let mut number = 0;
    let mut others = Vec::new();
    for tenth in 0..60 {
        for _ in 0..flood {
            number += 1;
            let mut spec = owned(job(queue(0), vec![step(6, 2_000, 600)]), "a", Resources::ZERO);
            spec.accepted_unix_ms = world.now_ms;
            world.submit(number, spec);
        }
        if tenth % 2 == 0 {
            number += 1;
            let mut spec = owned(job(queue(0), vec![step(4, 2_000, 500)]), "b", Resources::ZERO);
            spec.accepted_unix_ms = world.now_ms;
            world.submit(number, spec);
            others.push(number);
        }
        world.run(100);
    }
    world.run(1_500);
    let over = |number: &&u64| world.state(**number) == Some(JobState::Completed);
    assert!(world.broken.is_empty(), "{:?}", world.broken.first());
    others.iter().filter(over).count() as f64 / others.len() as f64
}

/// Guards against a customer that floods a queue and takes the others' turns in it.
#[test]
fn what_is_beyond_a_weight_waits_for_what_is_within() {
    let calm = beside_a_flood(0);
    let flooded = beside_a_flood(5);
    assert!(flooded >= calm * 0.97, "{flooded} beside a flood, {calm} without");
}

/// Guards against a wide gang of a customer at its cap that never starts, because smaller
/// work of the customer takes each bit of the cap as it comes free.
#[test]
fn a_gang_at_its_customers_cap_is_not_overtaken_for_ever() {
    let mut world = World::new(6, 12, Faults::default());
    world.run(100);
    let cap = cpu(40_000);
    world.set_cap(&CustomerName::new("a"), 10.0, cap);
    let mut number = 0;
    for tenth in 0..80 {
        number += 1;
        world.submit(number, owned(job(queue(2), vec![step(5, 2_000, 1_500)]), "a", cap));
        if tenth == 20 {
            let mut wide = job(queue(1), vec![step(12, 3_000, 500)]);
            wide.steps[0].gang = true;
            world.submit(1_000, owned(wide, "a", cap));
        }
        world.run(100);
    }
    assert_eq!(world.state(1_000), Some(JobState::Completed), "{}", world.explain(JobId(1_000)));
    assert!(world.broken.is_empty(), "{:?}", world.broken.first());
}

/// Guards against a job that waits for its customer's cap with nobody able to tell why.
#[test]
fn a_job_that_waits_for_a_cap_says_so() {
    let mut world = World::new(7, 12, Faults::default());
    world.run(100);
    let cap = cpu(8_000);
    world.set_cap(&CustomerName::new("a"), 3.0, cap);
    world.submit(1, owned(job(queue(1), vec![step(8, 1_000, 2_000)]), "a", cap));
    let mut gang = job(queue(1), vec![step(4, 1_000, 500)]);
    gang.steps[0].gang = true;
    world.run(200);
    world.submit(2, owned(gang, "a", cap));
    world.run(200);
    let lines = world.explain(JobId(2));
    assert!(lines.contains("customer a: has") && lines.contains("waits for the customer's cap"));
}
