//! Optional features of jobs, in virtual time.

mod world;

use stoatwell_pool::JobState;
use stoatwell_pool::Repeat;
use stoatwell_pool::StepSpec;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

fn assert_no_violations(world: &World) {
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against tasks that are cut short because they were placed on a worker that had
/// announced that it will leave. Tasks that run there already may finish.
#[test]
fn no_task_is_placed_on_a_draining_worker() {
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
    assert_no_violations(&world);
}

/// Guards against a long batch that starts from the beginning each time a stalled task is
/// moved, although the task saves checkpoints.
#[test]
fn a_moved_task_continues_from_its_checkpoint() {
    let mut world = World::new(43, 2, Faults::default());
    world.run(100);
    let checkpointing = StepSpec { checkpoints: true, ..step(1, 3_000, 8_000) };
    world.submit(1, job(queue(1), vec![checkpointing]));
    world.run(3_500);
    let busy = world.workers.values_mut().find(|worker| !worker.active.is_empty());
    busy.expect("an active run").hung = true;
    world.run(2_500);
    let done_percent = world.furthest_percent();
    assert!(world.starts == 2 && done_percent >= 15, "{} {done_percent}", world.starts);
    world.run(16_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_no_violations(&world);
}

/// Guards against a service that stops because its tasks failed too often or their workers
/// crashed: the limit on attempts is for tasks that end, not for long-running ones.
#[test]
fn long_running_tasks_are_restarted_after_any_failure() {
    let mut world = World::new(47, 3, Faults { failed_runs: 1_000, ..Faults::default() });
    world.run(100);
    let long_running = StepSpec { long_running: true, ..step(3, 3_000, 300) };
    world.submit(1, job(queue(1), vec![long_running]));
    world.run(12_000);
    assert_eq!(world.state(1), Some(JobState::Running));
    assert!(world.starts > 12, "{}", world.starts);
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.crash(&name);
    world.run(7_000);
    let running: usize = world.workers.values().map(|worker| worker.active.len()).sum();
    assert!(running >= 2, "{running} of 3");
    world.cancel(1);
    world.run(1_500);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
    assert!(world.workers.values().all(|worker| worker.active.is_empty()));
    assert_no_violations(&world);
}

/// Guards against occurrences of a repeated job that run early or are skipped when the
/// scheduler is replaced between them.
#[test]
fn a_repeated_job_runs_each_time_when_it_is_due() {
    let mut world = World::new(53, 2, Faults::default());
    world.run(100);
    let mut repeated = job(queue(1), vec![step(2, 1_000, 300)]);
    repeated.repeat = Some(Repeat { first_unix_ms: 3_000, interval_ms: 2_000, times: 3 });
    world.submit(1, repeated);
    let mut starts_by_time = Vec::new();
    while world.now_ms < 9_000 {
        world.run(100);
        starts_by_time.push((world.now_ms, world.starts));
        if world.now_ms == 4_000 {
            world.fail_over();
        }
    }
    let started_by =
        |at_ms: u64| starts_by_time.iter().rev().find(|(ms, _)| *ms <= at_ms).expect("recorded").1;
    assert_eq!([2_900, 3_500, 4_900, 5_500, 6_900, 7_500].map(started_by), [0, 2, 2, 4, 4, 6]);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_no_violations(&world);
}

/// Guards against long-running tasks that were lost with their worker and wait for ever, behind
/// the capacity that is kept free for urgent work.
#[test]
fn lost_long_running_tasks_start_again_beside_urgent_work() {
    let mut world = World::new(17, 8, Faults::default());
    world.run(100);
    let mut service = job(queue(1), vec![step(16, 2_000, 600_000)]);
    service.steps[0].long_running = true;
    world.submit(1, service);
    world.run(500);
    let mut number = 1_000;
    let mut run_beside_urgent_work = |world: &mut World, ticks: u64| {
        for _ in 0..ticks {
            number += 1;
            world.submit(number, job(queue(0), vec![step(2, 1_400, 640)]));
            world.run(30);
        }
    };
    run_beside_urgent_work(&mut world, 400);
    let busiest = world.workers.values().max_by_key(|worker| worker.active_tasks_of(1));
    let name = busiest.map(|worker| worker.name.clone()).expect("a worker");
    world.crash(&name);
    run_beside_urgent_work(&mut world, 300);
    let active: usize = world.workers.values().map(|worker| worker.active_tasks_of(1)).sum();
    assert_eq!(active, 16, "{}", world.explain(stoatwell_pool::JobId(1)));
    assert_no_violations(&world);
}
