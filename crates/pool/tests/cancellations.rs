//! Cancellations that the scheduler learns of before the job that they concern.

mod world;

use stoatwell_pool::Accepted;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

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
