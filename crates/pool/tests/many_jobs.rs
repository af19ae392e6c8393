//! Pools that know many more jobs than are in progress: finished ones stay known for minutes.

mod world;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use stoatwell_pool::Accepted;
use stoatwell_pool::CancelSource;
use stoatwell_pool::Cancellation;
use stoatwell_pool::Effect;
use stoatwell_pool::Election;
use stoatwell_pool::Event;
use stoatwell_pool::GangLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::Limits;
use stoatwell_pool::Outcome;
use stoatwell_pool::Pool;
use stoatwell_pool::Progress;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

const NOW_MS: u64 = 1_000_000;

/// A pool without workers that knows jobs of one queue: finished ones, and ones that wait.
fn pool_with_jobs(finished: u64, waiting: u64) -> Pool {
    let limits = Limits {
        lease_ms: 6_000,
        lease_max_ms: 6_000,
        job_retention_ms: 120_000,
        advice_workers_max: 100,
        batch_bytes_max: 600_000,
        gangs: GangLimits::default(),
    };
    let election = Election { epoch: 1, ..Election::default() };
    let mut pool = Pool::new(election, limits, NOW_MS, NOW_MS);
    let spec = Arc::new(job(queue(0), vec![step(4, 1_000, 500)]));
    let progress = Progress {
        outcome: Some(Outcome::Completed),
        finished_unix_ms: NOW_MS,
        ..Progress::default()
    };
    for number in 0..finished {
        pool.restore(JobId(number), Arc::clone(&spec), Some(&progress));
    }
    for number in finished..finished + waiting {
        pool.restore(JobId(number), Arc::clone(&spec), None);
    }
    pool
}

/// Callers ask how many jobs wait while tens of thousands do. Guards against a leader that is
/// kept busy by the count, and falls behind with its work.
#[test]
fn counting_pending_jobs_does_not_take_longer_with_more_jobs() {
    let pool = pool_with_jobs(20_000, 20_000);
    let began = Instant::now();
    for _ in 0..20_000 {
        assert_eq!(pool.pending(&queue(0).name), 20_000);
    }
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}

/// The sweep runs ten times a second. Guards against one that goes through all finished jobs,
/// which takes more of the leader's time the more jobs a day has.
#[test]
fn finished_jobs_do_not_slow_down_the_sweep() {
    let mut pool = pool_with_jobs(50_000, 0);
    pool.poll_effects(NOW_MS, NOW_MS);
    let began = Instant::now();
    for sweep in 1..=200 {
        pool.poll_effects(NOW_MS + sweep * 100, NOW_MS + sweep * 100);
    }
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}

/// Guards against finished jobs that stay in the leader's memory.
#[test]
fn finished_jobs_are_forgotten_after_their_retention() {
    let mut pool = pool_with_jobs(10, 0);
    pool.poll_effects(NOW_MS + 119_000, NOW_MS + 119_000);
    assert!(pool.state(JobId(3)).is_some());
    pool.poll_effects(NOW_MS + 121_000, NOW_MS + 121_000);
    assert_eq!(pool.state(JobId(3)), None);
}

/// Guards against a number of pending jobs that drifts from the jobs: by cancellations, by
/// runs that fail and by a new leader.
#[test]
fn the_number_of_pending_jobs_follows_the_jobs() {
    let faults = Faults { failed_runs: 100, crashes: 5, ..Faults::default() };
    let mut world = World::new(21, 12, faults);
    world.run(100);
    for number in 0..60 {
        world.submit(number, job(queue(1), vec![step(4, 2_000, 400)]));
    }
    for number in 60..80 {
        world.submit_via_scheduler(number, job(queue(1), vec![step(4, 2_000, 400)]));
    }
    for number in 0..10 {
        world.cancel(number);
    }
    world.run(20);
    assert!(world.pending() > 0);
    world.fail_over();
    world.run(30_000);
    assert!(world.open_jobs().is_empty(), "{:?}", world.open_jobs());
    assert_eq!(world.pending(), 0);
}

/// Guards against jobs that are counted as waiting after a cancellation that arrived before
/// their submission.
#[test]
fn a_job_that_was_cancelled_early_is_not_pending() {
    let mut pool = pool_with_jobs(0, 0);
    pool.handle(
        NOW_MS,
        NOW_MS,
        Event::Cancelled {
            job: JobId(1),
            cancellation: Cancellation::ByOwner,
            source: CancelSource::Notification,
        },
    );
    let spec = Arc::new(job(queue(0), vec![step(1, 1_000, 500)]));
    pool.handle(NOW_MS, NOW_MS, Event::Accepted { job: JobId(1), spec });
    assert_eq!(pool.pending(&queue(0).name), 0);
}

/// Guards against a job that runs again after it was removed, because the store returned its row once
/// more; and against a new job under the same id that is taken for the removed one.
#[test]
fn a_removed_job_is_not_accepted_again() {
    let mut pool = pool_with_jobs(1, 0);
    let now_ms = NOW_MS + 130_000;
    pool.poll_effects(now_ms, now_ms);
    assert_eq!(pool.state(JobId(0)), None);
    let removed = Arc::new(job(queue(0), vec![step(4, 1_000, 500)]));
    pool.handle(now_ms, now_ms, Event::Accepted { job: JobId(0), spec: Arc::clone(&removed) });
    assert_eq!(pool.state(JobId(0)), None);
    let mut again = (*removed).clone();
    again.accepted_unix_ms = now_ms;
    pool.handle(now_ms, now_ms, Event::Accepted { job: JobId(0), spec: Arc::new(again) });
    assert!(pool.state(JobId(0)).is_some());
}

fn accepted(pool: &mut Pool, now_ms: u64, spec: &Arc<JobSpec>) {
    pool.handle(now_ms, now_ms, Event::Accepted { job: JobId(0), spec: Arc::clone(spec) });
}

/// Lets a pool remove its only job; returns the job's submission, and the batch that removes its rows.
fn remove_job(pool: &mut Pool, now_ms: u64) -> (Arc<JobSpec>, u64) {
    let effects = pool.poll_effects(now_ms, now_ms);
    assert_eq!(pool.state(JobId(0)), None);
    let removal = effects.iter().find_map(|effect| match effect {
        Effect::Commit { batch, writes } if !writes[0].removes.is_empty() => Some(*batch),
        _ => None,
    });
    (Arc::new(job(queue(0), vec![step(4, 1_000, 500)])), removal.expect("the rows are removed"))
}

fn removal_is_durable(pool: &mut Pool, now_ms: u64, batch: u64, version: u64) {
    let partition = JobId(0).partition();
    let event = Event::Committed { batch, partition, sent_ms: now_ms, version };
    pool.handle(now_ms, now_ms, event);
}

/// Guards against a job that runs again because its rows were still in the store long after it was
/// removed from memory.
#[test]
fn a_job_is_remembered_until_its_removal_is_durable() {
    let mut pool = pool_with_jobs(1, 0);
    let mut now_ms = NOW_MS + 130_000;
    let (removed, _) = remove_job(&mut pool, now_ms);
    now_ms += 300_000;
    pool.poll_effects(now_ms, now_ms);
    pool.handle(now_ms, now_ms, Event::JobsRead { version: 1_000 });
    accepted(&mut pool, now_ms, &removed);
    assert_eq!(pool.state(JobId(0)), None);
}

/// Guards against a job that runs again because a read of the whole table, or the changes that
/// followed, were handled long after its removal.
#[test]
fn a_job_is_remembered_until_no_older_row_can_follow() {
    let mut pool = pool_with_jobs(1, 0);
    let mut now_ms = NOW_MS + 130_000;
    let (removed, batch) = remove_job(&mut pool, now_ms);
    removal_is_durable(&mut pool, now_ms, batch, 50);
    pool.handle(now_ms, now_ms, Event::JobsRead { version: 49 });
    for _ in 0..2 {
        now_ms += 300_000;
        pool.poll_effects(now_ms, now_ms);
        accepted(&mut pool, now_ms, &removed);
        assert_eq!(pool.state(JobId(0)), None);
    }
}

/// Guards against an accepted job whose row is removed with that of an earlier job under its id.
#[test]
fn a_submission_under_the_id_of_a_job_that_is_being_removed_is_not_taken() {
    let mut pool = pool_with_jobs(1, 0);
    let now_ms = NOW_MS + 130_000;
    let (removed, batch) = remove_job(&mut pool, now_ms);
    let again = Arc::new(JobSpec { accepted_unix_ms: now_ms, ..(*removed).clone() });
    assert_eq!(
        pool.submit(now_ms, now_ms, JobId(0), Arc::clone(&again)),
        Some(Accepted::No),
        "it would be removed"
    );
    removal_is_durable(&mut pool, now_ms, batch, 50);
    assert_eq!(pool.submit(now_ms, now_ms, JobId(0), again), None);
    assert_eq!(pool.state(JobId(0)), Some(JobState::Queued));
}

/// Guards against a job that is cancelled by the cancellation of an earlier job under its id.
#[test]
fn an_old_cancellation_of_a_removed_job_does_not_cancel_a_later_one() {
    let mut pool = pool_with_jobs(1, 0);
    let now_ms = NOW_MS + 130_000;
    let (removed, batch) = remove_job(&mut pool, now_ms);
    removal_is_durable(&mut pool, now_ms, batch, 50);
    let cancellation = Cancellation::ByOwner;
    let source = CancelSource::WholeRead;
    pool.handle(now_ms, now_ms, Event::Cancelled { job: JobId(0), cancellation, source });
    let again = Arc::new(JobSpec { accepted_unix_ms: now_ms, ..(*removed).clone() });
    accepted(&mut pool, now_ms, &again);
    assert_eq!(pool.state(JobId(0)), Some(JobState::Queued));
}
