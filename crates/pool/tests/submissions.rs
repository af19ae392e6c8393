//! Submissions that the scheduler itself makes durable.

mod world;

use rand::RngExt;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_pool::Accepted;
use stoatwell_pool::AdviceSpec;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::PARTITIONS;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

/// A simulation whose scheduler has established the holds of its workers.
fn ready_world(seed: u64) -> World {
    let mut world = World::new(seed, 12, Faults::default());
    world.run(200);
    world
}

fn short_job() -> stoatwell_pool::JobSpec {
    job(queue(0), vec![step(2, 1_000, 200)])
}

/// Guards against a caller that is told that a job is accepted before it is durable.
#[test]
fn a_submission_is_accepted_once_it_is_durable() {
    let mut world = ready_world(1);
    world.commit_ms = 60;
    world.submit_via_scheduler(1, short_job());
    world.run(40);
    assert_eq!(world.submission_result(1), None);
    assert_eq!(world.starts, 0);
    world.run(100);
    assert_eq!(world.submission_result(1), Some(Accepted::Yes));
    world.run(1_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// Guards against two writes where a submission and its first start can share one.
#[test]
fn a_submission_and_its_first_start_share_a_write() {
    let mut world = ready_world(2);
    let mut spec = short_job();
    spec.queue.advice = Some(AdviceSpec { decide_ms: 5.0, each_ms: 0.1, valid_ms: 2_000 });
    world.advice_ms = 20;
    world.batches = 0;
    world.submit_via_scheduler(1, spec);
    world.run(60);
    assert_eq!(world.batches, 1);
    assert_eq!(world.starts, 2);
}

/// Guards against jobs that run twice, or not at all, because the caller submitted them again.
#[test]
fn a_repeated_submission_is_one_job() {
    let mut world = ready_world(3);
    world.submit_via_scheduler(1, short_job());
    world.submit_via_scheduler(1, short_job());
    world.run(100);
    world.submit_via_scheduler(1, short_job());
    assert_eq!(world.submission_result(1), Some(Accepted::Yes));
    world.run(2_000);
    assert_eq!(world.starts, 2);
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against an outage of some partitions of the store that delays the jobs of the others.
#[test]
fn failed_partitions_delay_only_their_own_jobs() {
    let mut world = ready_world(4);
    world.stuck_partitions = (0..8).collect();
    let mut number = 0;
    for _ in 0..40 {
        for _ in 0..5 {
            number += 1;
            world.submit_via_scheduler(number, short_job());
        }
        world.run(50);
    }
    world.run(1_000);
    for number in 1..=number {
        let stuck = world.stuck_partitions.contains(&JobId(number).partition());
        let is_completed = world.state(number) == Some(JobState::Completed);
        assert_eq!(is_completed, !stuck, "{number}");
    }
}

/// Guards against callers that wait until their timeout for a partition that does not answer.
#[test]
fn submissions_queued_for_a_stuck_partition_are_refused() {
    let mut world = ready_world(5);
    let mut ids = (1..).filter(|number| JobId(*number).partition() == 3);
    let (first, second, third) =
        (ids.next().expect("an ID"), ids.next().expect("an ID"), ids.next());
    let third = third.expect("an ID");
    world.stuck_partitions.insert(3);
    world.submit_via_scheduler(first, short_job());
    world.run(100);
    world.submit_via_scheduler(second, short_job());
    world.run(600);
    world.submit_via_scheduler(third, short_job());
    assert_eq!(world.submission_result(first), None);
    assert_eq!(world.submission_result(second), Some(Accepted::No));
    assert_eq!(world.submission_result(third), Some(Accepted::No));
    assert_eq!(world.state(second), None);
    world.run(3_000);
    assert_eq!(world.starts, 0);
}

/// Guards against a slow store whose batches are written one after the other: in a burst,
/// starts would fall further and further behind.
#[test]
fn a_burst_does_not_build_up_a_backlog_in_a_slow_store() {
    let mut world = World::new(6, 60, Faults::default());
    world.run(200);
    world.commit_ms = 250;
    let mut number = 0;
    for _ in 0..40 {
        for _ in 0..18 {
            number += 1;
            world.submit_via_scheduler(number, job(queue(0), vec![step(1, 500, 300)]));
        }
        world.run(100);
    }
    // The last jobs were submitted just now; this leaves half a second for each of two writes
    // and for the work.
    world.run(1_500);
    let completed = (1..=number).filter(|id| world.state(*id) == Some(JobState::Completed)).count();
    assert!(completed as u64 >= number * 97 / 100, "{completed} of {number}");
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against a start on a worker that announced that it will leave while the row of the
/// start was being written.
#[test]
fn a_draining_worker_gets_no_start_recorded_before() {
    let mut world = World::new(8, 2, Faults::default());
    world.run(200);
    world.commit_ms = 3_000;
    world.submit_via_scheduler(1, short_job());
    world.run(100);
    for name in world.workers.keys().cloned().collect::<Vec<_>>() {
        world.drain(&name);
    }
    world.run(4_000);
    assert_eq!(world.submission_result(1), Some(Accepted::Yes));
    assert_eq!(world.starts, 0);
}

/// The store refuses a submission, and the caller submits the job again before the rest of that
/// batch is written. Guards against a job that is accepted and starts without a row: the end of
/// the first batch stood for the second submission, and the next leader did not know the job.
#[test]
fn a_job_that_was_refused_is_accepted_only_once_its_own_write_is_durable() {
    let mut world = ready_world(9);
    world.refuses_submissions = true;
    world.submit_via_scheduler(1, short_job());
    world.run(100);
    assert_eq!(world.submission_result(1), Some(Accepted::No));
    world.refuses_submissions = false;
    world.submit_via_scheduler(1, short_job());
    for _ in 0..200 {
        world.run(5);
        let is_accepted = world.submission_result(1) == Some(Accepted::Yes);
        assert!(world.is_stored(1) || !(is_accepted || world.starts > 0));
    }
    assert_eq!(world.submission_result(1), Some(Accepted::Yes));
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against a start without a row, which the next leader does not know and repeats: the
/// store refused the scheduler's write of a submission that a gateway has made durable meanwhile.
#[test]
fn a_start_waits_for_its_row_although_a_gateway_wrote_the_submission() {
    let mut world = ready_world(10);
    world.commit_ms = 60;
    world.refuses_submissions = true;
    world.submit_via_scheduler(1, short_job());
    world.run(50);
    world.submit(1, short_job());
    world.run(100);
    world.refuses_submissions = false;
    world.run(2_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against a job that runs as the work of another customer: two customers used one number,
/// and the scheduler took the other one's durable row for that of the submission it was writing.
#[test]
fn the_job_that_the_store_has_runs_although_another_customers_submission_came_first() {
    let mut world = ready_world(12);
    let by = |name: &str| {
        let cap = Resources::ZERO;
        let customer = CustomerLimits { name: CustomerName::new(name), weight: 10.0, cap };
        JobSpec { customer: Some(customer), ..short_job() }
    };
    world.commit_ms = 60;
    world.submit_via_scheduler(1, by("late"));
    world.submit(1, by("first"));
    assert_eq!(world.owner(1), Some(CustomerName::new("first")));
    world.run(5);
    assert_eq!(world.submission_result(1), Some(Accepted::Taken));
    world.run(2_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against a customer that falls behind others because the store refuses its submissions:
/// each try took a part of its share.
#[test]
fn a_refused_submission_takes_nothing_of_its_customers_share() {
    let mut world = ready_world(13);
    let customer =
        CustomerLimits { name: CustomerName::new("a"), weight: 1.0, cap: Resources::ZERO };
    let spec = JobSpec { customer: Some(customer), ..short_job() };
    world.refuses_submissions = true;
    for number in 1..=4 {
        world.submit_via_scheduler(number, spec.clone());
        world.run(400);
        assert_eq!(world.submission_result(number), Some(Accepted::No));
    }
    world.refuses_submissions = false;
    world.submit_via_scheduler(5, spec);
    let explanation = world.explain(JobId(5));
    assert!(explanation.contains("beyond it false"), "{explanation}");
}

/// Guards against a batch that never becomes durable and that no figure shows.
#[test]
fn the_age_of_a_batch_that_is_not_durable_is_counted() {
    let mut world = ready_world(9);
    world.stuck_partitions = (0..32).collect();
    world.submit_via_scheduler(1, short_job());
    world.run(1_000);
    let oldest_write_ms = world.counts().oldest_write_ms;
    assert!((900..=1_000).contains(&oldest_write_ms), "{oldest_write_ms} ms");
}

/// Guards against callers who wait for as long as a burst lasts because of the numbers of their
/// jobs: with more to write than fits, the first partitions were served again and again.
#[test]
fn a_burst_delays_the_submissions_of_all_partitions_alike() {
    let mut world = World::new(11, 200, Faults::default());
    world.run(200);
    world.commit_ms = 40;
    let burst = |world: &mut World, ms: u64| {
        for _ in 0..ms / 5 {
            for _ in 0..6 {
                let number = 1_000_000 + world.rng.random_range(0..1_000_000_000);
                world.submit_via_scheduler(number, short_job());
            }
            world.run(5);
        }
    };
    burst(&mut world, 300);
    let in_last_partition = |number: &u64| JobId(*number).partition() == PARTITIONS - 1;
    let id = (1..10_000).find(in_last_partition).expect("an ID");
    world.submit_via_scheduler(id, short_job());
    burst(&mut world, 1_000);
    assert_eq!(world.submission_result(id), Some(Accepted::Yes));
}
