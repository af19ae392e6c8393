//! Submissions that the scheduler makes durable itself.

mod world;

use stoatwell_pool::Accepted;
use stoatwell_pool::AdviceSpec;
use stoatwell_pool::JobId;
use stoatwell_pool::JobState;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

/// A day that has just begun, with its workers held.
fn begun(seed: u64) -> World {
    let mut world = World::new(seed, 12, Faults::default());
    world.run(200);
    world
}

fn short() -> stoatwell_pool::JobSpec {
    job(queue(0), vec![step(2, 1_000, 200)])
}

/// Guards against a caller that is told of a job which is not durable yet.
#[test]
fn a_submission_is_accepted_once_it_is_durable() {
    let mut world = begun(1);
    world.commit_ms = 60;
    world.hand_in(1, short());
    world.run(40);
    assert_eq!(world.answer(1), None);
    assert_eq!(world.starts, 0);
    world.run(100);
    assert_eq!(world.answer(1), Some(Accepted::Yes));
    world.run(1_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// Guards against a second write where a submission and its first start can share one.
#[test]
fn a_submission_and_its_first_start_are_one_write() {
    let mut world = begun(2);
    let mut spec = short();
    spec.queue.advice = Some(AdviceSpec { decide_ms: 5.0, each_ms: 0.1, valid_ms: 2_000 });
    world.advice_ms = 20;
    world.batches = 0;
    world.hand_in(1, spec);
    world.run(60);
    assert_eq!(world.batches, 1);
    assert_eq!(world.starts, 2);
}

/// Guards against jobs that run twice, or not at all, because their caller sent them again.
#[test]
fn the_same_submission_again_is_one_job() {
    let mut world = begun(3);
    world.hand_in(1, short());
    world.hand_in(1, short());
    world.run(100);
    world.hand_in(1, short());
    assert_eq!(world.answer(1), Some(Accepted::Yes));
    world.run(2_000);
    assert_eq!(world.starts, 2);
    assert!(world.broken.is_empty(), "{:?}", world.broken.first());
}

/// Guards against an outage of some parts of the store that holds up the jobs of the others.
#[test]
fn parts_of_a_store_that_fail_hold_up_only_their_own_jobs() {
    let mut world = begun(4);
    world.stuck_parts = (0..8).collect();
    let mut number = 0;
    for _ in 0..40 {
        for _ in 0..5 {
            number += 1;
            world.hand_in(number, short());
        }
        world.run(50);
    }
    world.run(1_000);
    for number in 1..=number {
        let stuck = world.stuck_parts.contains(&JobId(number).partition());
        let over = world.state(number) == Some(JobState::Completed);
        assert_eq!(over, !stuck, "{number}");
    }
}

/// Guards against callers that wait until their time is up for a part that does not answer.
#[test]
fn what_waits_behind_a_stuck_part_is_refused() {
    let mut world = begun(5);
    let mut same_part = (1..).filter(|number| JobId(*number).partition() == 3);
    let (first, second, third) =
        (same_part.next().expect("one"), same_part.next().expect("one"), same_part.next());
    let third = third.expect("one");
    world.stuck_parts.insert(3);
    world.hand_in(first, short());
    world.run(100);
    world.hand_in(second, short());
    world.run(600);
    world.hand_in(third, short());
    assert_eq!(world.answer(first), None);
    assert_eq!(world.answer(second), Some(Accepted::No));
    assert_eq!(world.answer(third), Some(Accepted::No));
    assert_eq!(world.state(second), None);
    world.run(3_000);
    assert_eq!(world.starts, 0);
}

/// Guards against a burst in a slow store whose batches go one after the other: starts
/// would fall further and further behind.
#[test]
fn a_burst_in_a_slow_store_is_worked_off() {
    let mut world = World::new(6, 60, Faults::default());
    world.run(200);
    world.commit_ms = 250;
    let mut number = 0;
    for _ in 0..40 {
        for _ in 0..18 {
            number += 1;
            world.hand_in(number, job(queue(0), vec![step(1, 500, 300)]));
        }
        world.run(100);
    }
    // The last ones came just now; half a second for each of two writes and the work.
    world.run(1_500);
    let over = (1..=number).filter(|one| world.state(*one) == Some(JobState::Completed)).count();
    assert!(over as u64 >= number * 97 / 100, "{over} of {number}");
    assert!(world.broken.is_empty(), "{:?}", world.broken.first());
}

/// Guards against a start on a worker that began to leave while the start's row was written.
#[test]
fn a_worker_that_leaves_gets_no_start_that_was_recorded_before() {
    let mut world = World::new(8, 2, Faults::default());
    world.run(200);
    world.commit_ms = 3_000;
    world.hand_in(1, short());
    world.run(100);
    for name in world.workers.keys().cloned().collect::<Vec<_>>() {
        world.drain(&name);
    }
    world.run(4_000);
    assert_eq!(world.answer(1), Some(Accepted::Yes));
    assert_eq!(world.starts, 0);
}
