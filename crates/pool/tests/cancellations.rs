//! Cancellations that the scheduler learns of before the job that they concern, too late, or
//! not at all. They are durable, so no start may follow.

mod world;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

/// The number of seeds in an ordinary run; set `SEEDS` for more, `SEED` for a single one.
const SEEDS: u64 = 150;
const PARTITION: usize = 3;

fn ready_world(seed: u64) -> World {
    let mut world = World::new(seed, 12, Faults::default());
    world.run(200);
    world
}

fn short_job() -> JobSpec {
    job(queue(0), vec![step(2, 1_000, 200)])
}

/// Lets a gateway that wrote the job itself report it, and checks that it stays cancelled.
fn assert_stays_cancelled(world: &mut World, id: u64) {
    world.submit(id, short_job());
    world.run(3_000);
    assert_eq!(world.state(id), Some(JobState::Cancelled));
    assert_eq!(world.starts, 0);
}

/// Guards against a cancelled job that runs after the scheduler gave up its submission because
/// a partition of the store was stuck.
#[test]
fn a_job_stays_cancelled_after_its_submission_was_withdrawn() {
    let mut world = ready_world(1);
    let mut ids = (1..).filter(|number| JobId(*number).partition() == PARTITION);
    let (blocking, cancelled) = (ids.next().expect("an ID"), ids.next().expect("an ID"));
    world.stuck_partitions.insert(PARTITION);
    world.submit_via_scheduler(blocking, short_job());
    world.run(100);
    world.cancel(cancelled);
    world.submit_via_scheduler(cancelled, short_job());
    world.run(600);
    assert_eq!(world.submission_result(cancelled), Some(Accepted::No));
    assert_stays_cancelled(&mut world, cancelled);
}

/// Guards against a cancelled job that runs after the store refused its submission.
#[test]
fn a_job_stays_cancelled_after_the_store_refused_its_submission() {
    let mut world = ready_world(2);
    world.refuses_submissions = true;
    world.cancel(1);
    world.submit_via_scheduler(1, short_job());
    world.run(600);
    assert_eq!(world.submission_result(1), Some(Accepted::No));
    world.refuses_submissions = false;
    assert_stays_cancelled(&mut world, 1);
}

/// Guards against a cancelled job that runs after the scheduler was replaced, which knew of the
/// cancellation but not of the job.
#[test]
fn a_job_that_was_cancelled_early_does_not_run_under_the_next_leader() {
    let mut world = ready_world(3);
    world.cancel(1);
    world.fail_over();
    world.run(200);
    assert_stays_cancelled(&mut world, 1);
}

/// Guards against a task that starts after its job was cancelled, because the scheduler was not
/// told of the cancellation.
#[test]
fn no_task_starts_after_a_cancellation_that_the_scheduler_was_not_told_of() {
    let mut world = ready_world(4);
    world.notifies_cancellations = false;
    let mut spec = short_job();
    spec.steps.push(step(2, 1_000, 200));
    spec.steps[1].after.push(0);
    world.submit(1, spec);
    world.run(100);
    assert_eq!(world.starts, 2);
    world.cancel(1);
    world.run(3_000);
    assert_eq!(world.starts, 2);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
}

/// Guards against a start that waits in an overloaded scheduler until its job is cancelled, and is
/// sent then.
#[test]
fn a_start_whose_row_was_written_long_ago_is_written_again() {
    let mut world = ready_world(5);
    world.notifies_cancellations = false;
    world.commit_ms = 2_000;
    world.submit(1, short_job());
    world.run(500);
    world.cancel(1);
    world.commit_ms = 12;
    world.run(3_000);
    assert_eq!(world.starts, 0);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
}

/// Cancels jobs before, beside and after their submission, while the store is slow, refuses
/// submissions or is stuck in part, and the scheduler is told late or not at all.
fn simulate(seed: u64) -> Result<u64, String> {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0xca9c);
    let mut draw =
        |limit: u32| if rng.random_range(0..2) == 0 { rng.random_range(0..limit) } else { 0 };
    let faults = Faults {
        lost_calls: draw(40),
        lost_answers: draw(40),
        failed_runs: draw(200),
        failovers: draw(30),
        crashes: draw(6),
        ..Faults::default()
    };
    let mut world = World::new(seed, 12, faults);
    for number in 0..80 {
        if rng.random_range(0..8) == 0 {
            world.commit_ms = *[12, 60, 400, 2_000].get(rng.random_range(0..4)).expect("one");
            world.refuses_submissions = rng.random_range(0..4) == 0;
            world.notifies_cancellations = rng.random_range(0..2) == 0;
            world.stuck_partitions.clear();
        }
        if rng.random_range(0..20) == 0 {
            world.stuck_partitions.insert(JobId(number).partition());
        }
        let spec = job(queue(0), vec![step(rng.random_range(1..5), 2_000, 400)]);
        if rng.random_range(0..4) == 0 {
            world.cancel(number);
        }
        if rng.random_range(0..3) > 0 {
            world.submit_via_scheduler(number, spec.clone());
        }
        world.run(rng.random_range(10..300));
        if rng.random_range(0..3) == 0 {
            // A gateway wrote the job itself.
            world.submit(number, spec);
        }
        if rng.random_range(0..4) == 0 {
            world.cancel(rng.random_range(0..=number));
        }
    }
    world.stuck_partitions.clear();
    world.faults = Faults::default();
    world.run(20_000);
    match world.violations.first() {
        Some(first) => Err(format!("{first} ({} in all), {faults:?}", world.violations.len())),
        None => Ok(world.starts),
    }
}

/// Guards against a task that starts after its job was cancelled, whatever the scheduler knows
/// at that time.
#[test]
fn no_start_is_written_after_its_job_was_cancelled() {
    let starts = World::check_seeds(SEEDS, simulate);
    assert!(starts > 0, "nothing was started");
}
