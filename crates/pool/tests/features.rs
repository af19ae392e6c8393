//! What a job may ask for, each in virtual time.

mod world;

use stoatwell_pool::JobState;
use stoatwell_pool::Repeat;
use stoatwell_pool::StepSpec;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

fn assert_kept(world: &World) {
    assert!(world.broken.is_empty(), "{:?}", world.broken.first());
}

/// A worker tells that it leaves soon. Nothing new goes there, and what runs there may
/// end; work that was sent to it would be cut off when it goes.
#[test]
fn nothing_new_goes_to_a_worker_that_leaves() {
    let mut world = World::new(41, 2, Faults::default());
    world.run(100);
    world.submit(1, job(queue(1), vec![step(2, 10_000, 1_500)]));
    world.run(300);
    let leaving = world.workers.keys().next().cloned().expect("a worker");
    world.drain(&leaving);
    world.submit(2, job(queue(1), vec![step(4, 3_000, 300)]));
    for _ in 0..60 {
        world.run(100);
        let tasks = world.workers[&leaving].active.keys();
        assert!(tasks.clone().all(|(task, _)| task.step.job.0 == 1));
    }
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.state(2), Some(JobState::Completed));
    assert_eq!(world.starts, 6);
    assert_kept(&world);
}

/// A task that saves its progress stands still and is moved. It goes on from what it
/// saved; a night's costing would otherwise begin anew each time.
#[test]
fn a_moved_task_goes_on_from_its_checkpoint() {
    let mut world = World::new(43, 2, Faults::default());
    world.run(100);
    let saving = StepSpec { checkpoints: true, ..step(1, 3_000, 8_000) };
    world.submit(1, job(queue(1), vec![saving]));
    world.run(3_500);
    let busy = world.workers.values_mut().find(|worker| !worker.active.is_empty());
    busy.expect("a run at work").hangs = true;
    world.run(2_500);
    let done_percent = world.furthest_percent();
    assert!(world.starts == 2 && done_percent >= 15, "{} {done_percent}", world.starts);
    world.run(16_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_kept(&world);
}

/// A service's tasks fail and their workers crash. They are started again however
/// often that happens; a limit on attempts is for work that has an end.
#[test]
fn tasks_that_last_are_started_again_however_they_end() {
    let mut world = World::new(47, 3, Faults { failed_runs: 1_000, ..Faults::default() });
    world.run(100);
    let lasting = StepSpec { long_running: true, ..step(3, 3_000, 300) };
    world.submit(1, job(queue(1), vec![lasting]));
    world.run(12_000);
    assert_eq!(world.state(1), Some(JobState::Running));
    assert!(world.starts > 12, "{}", world.starts);
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.crash(&name);
    world.run(7_000);
    let at_work: usize = world.workers.values().map(|worker| worker.active.len()).sum();
    assert!(at_work >= 2, "{at_work} of 3");
    world.cancel(1);
    world.run(1_500);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
    assert!(world.workers.values().all(|worker| worker.active.is_empty()));
    assert_kept(&world);
}

/// A job runs three times, each when it is due, though another scheduler takes over in
/// between. A cause list that is made before its time would be wrong, and one that is
/// forgotten would be missed in court.
#[test]
fn a_repeated_job_runs_each_time_when_it_is_due() {
    let mut world = World::new(53, 2, Faults::default());
    world.run(100);
    let mut repeated = job(queue(1), vec![step(2, 1_000, 300)]);
    repeated.repeat = Some(Repeat { first_unix_ms: 3_000, interval_ms: 2_000, times: 3 });
    world.submit(1, repeated);
    let mut seen = Vec::new();
    while world.now_ms < 9_000 {
        world.run(100);
        seen.push((world.now_ms, world.starts));
        if world.now_ms == 4_000 {
            world.take_over();
        }
    }
    let started_by = |at_ms: u64| seen.iter().rev().find(|(ms, _)| *ms <= at_ms).expect("seen").1;
    assert_eq!([2_900, 3_500, 4_900, 5_500, 6_900, 7_500].map(started_by), [0, 2, 2, 4, 4, 6]);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_kept(&world);
}
