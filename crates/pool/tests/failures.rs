//! Single failures of a pool, in virtual time.

mod world;

use stoatwell_model::WorkerId;
use stoatwell_pool::EXTENSION_WINDOW_MS;
use stoatwell_pool::JobId;
use stoatwell_pool::JobState;

use self::world::Faults;
use self::world::LEASE_MS;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

fn world_without_faults(workers: usize) -> World {
    let mut world = World::new(7, workers, Faults::default());
    world.run(100);
    world
}

/// The first worker with an active run.
fn busy_worker(world: &World) -> WorkerId {
    let busy = world.workers.values().find(|worker| !worker.active.is_empty());
    busy.map(|worker| worker.name.clone()).expect("an active run")
}

fn assert_no_violations(world: &World) {
    let (count, first) = (world.violations.len(), world.violations.first());
    assert!(count == 0, "{count} violations, first: {first:?}");
}

/// Guards against a job that never ends because a worker lost power: calls to it are not
/// refused but get no answer. Its tasks have to start elsewhere once its lease has expired.
#[test]
fn tasks_of_an_unreachable_worker_start_elsewhere() {
    let mut world = world_without_faults(3);
    let mut spec = job(queue(1), vec![step(4, 6_000, 10_000)]);
    spec.steps[0].gang = true;
    world.submit(1, spec);
    world.run(300);
    let name = busy_worker(&world);
    world.isolate(&name, 1_000_000);
    world.run(LEASE_MS * 103 / 100 + 24_000);
    assert_eq!(
        world.state(1),
        Some(JobState::Completed),
        "{}",
        world.explain(stoatwell_pool::JobId(1))
    );
    assert_no_violations(&world);
}

/// Guards against a job that never ends because leaders change: each new one waited for the
/// lease of a dead worker from the beginning.
#[test]
fn changes_of_the_leader_do_not_prolong_the_wait_for_a_dead_worker() {
    let mut world = world_without_faults(3);
    world.submit(1, job(queue(1), vec![step(1, 6_000, 3_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.isolate(&name, 1_000_000);
    for _ in 0..3 {
        world.run(2_400);
        world.fail_over();
    }
    world.run(1_500);
    assert_eq!(world.starts, 2, "{}", world.explain(stoatwell_pool::JobId(1)));
    assert_no_violations(&world);
}

/// The leader lease named a worker as silent that answers again, and the leader changes. Guards
/// against a task that runs twice: the lease must not have been extended beyond the time in the
/// row.
#[test]
fn a_worker_that_answers_again_keeps_its_runs_over_a_change_of_the_leader() {
    for silent_ms in [1_800, 2_500, 3_300, 4_100] {
        for led_ms in [100, 300, 700, 1_500] {
            let mut world = world_without_faults(3);
            world.submit(1, job(queue(1), vec![step(1, 6_000, 20_000)]));
            world.run(300);
            let name = busy_worker(&world);
            world.isolate(&name, silent_ms);
            world.run(silent_ms + led_ms);
            world.isolate(&name, 12_000);
            world.fail_over();
            world.run(20_000);
            assert_no_violations(&world);
        }
    }
}

/// A silent worker answers the next leader once, which may not extend its lease yet, and is
/// silent again. Guards against a task that runs twice: the worker still holds the lease that the
/// earlier leader granted.
#[test]
fn a_worker_that_answers_a_new_leader_once_keeps_its_lease() {
    for answering_ms in [50, 150, 250] {
        let mut world = world_without_faults(3);
        world.submit(1, job(queue(1), vec![step(1, 6_000, 20_000)]));
        world.run(300);
        let name = busy_worker(&world);
        world.isolate(&name, 2_300);
        world.run(2_100);
        world.fail_over();
        world.run(200 + answering_ms);
        world.isolate(&name, 12_000);
        world.run(20_000);
        assert_no_violations(&world);
    }
}

/// Guards against running tasks that are started again, at twice the cost and time, when the
/// scheduler crashes: the next one discovers them with its first holds and lets them finish.
#[test]
fn a_new_scheduler_lets_running_tasks_finish() {
    let mut world = world_without_faults(4);
    world.submit(1, job(queue(1), vec![step(6, 3_000, 3_000)]));
    world.run(500);
    let starts = world.starts;
    assert_eq!(starts, 6);
    world.fail_over();
    world.run(7_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts, starts, "no task was started again");
    assert_no_violations(&world);
}

/// The scheduler crashes while a worker with running tasks is not listed, as when its entry
/// in the store has expired. Guards against waiting for the expiry of its lease: the new
/// scheduler contacts the worker at the address in the rows.
#[test]
fn a_new_scheduler_finds_workers_that_are_not_listed() {
    let mut world = world_without_faults(2);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 2_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.unlisted.insert(name);
    world.fail_over();
    world.run(5_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts, 1);
    assert_no_violations(&world);
}

/// Guards against waiting for the expiry of a worker's lease after it crashed and restarted
/// under the same name: its runs are gone, so they have to start again at once.
#[test]
fn tasks_of_a_restarted_worker_start_again_at_once() {
    let mut world = world_without_faults(2);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 2_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.crash(&name);
    world.run(6_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts, 2);
    assert_no_violations(&world);
}

/// Guards against a job that never ends because a worker answers holds while its tasks make
/// no progress: they have to move to another worker.
#[test]
fn stalled_tasks_are_moved() {
    let mut world = world_without_faults(2);
    world.submit(1, job(queue(0), vec![step(1, 3_000, 600)]));
    world.run(150);
    let name = busy_worker(&world);
    world.workers.get_mut(&name).expect("known").hung = true;
    world.run(6_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_no_violations(&world);
}

/// Guards against a healthy worker that gets no more tasks because those it has are long: a task
/// of ten minutes reports its first percent after six seconds.
#[test]
fn a_worker_with_long_tasks_does_not_count_as_slow() {
    let mut world = world_without_faults(1);
    world.submit(1, job(queue(1), vec![step(4, 3_000, 600_000)]));
    world.run(2_000);
    world.submit(2, job(queue(1), vec![step(1, 3_000, 200)]));
    world.run(700);
    assert_eq!(world.state(2), Some(JobState::Completed), "it starts at once");
    assert_eq!(world.starts, 5, "no task was moved");
    assert_no_violations(&world);
}

/// Guards against users who pay for work of a cancelled job: its tasks have to be stopped
/// soon, and none may start any more.
#[test]
fn cancelled_tasks_are_stopped() {
    let mut world = world_without_faults(3);
    world.submit(1, job(queue(1), vec![step(8, 4_000, 9_000)]));
    world.run(400);
    world.cancel(1);
    world.run(1_500);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
    assert!(world.workers.values().all(|worker| worker.active.is_empty()));
    assert_no_violations(&world);
}

/// A firewall in front of a worker refuses every connection while the worker continues to
/// run. Guards against tasks that run twice because a refused connection is taken as proof
/// that the process is gone.
#[test]
fn a_refused_connection_does_not_prove_that_a_worker_is_gone() {
    let mut world = world_without_faults(3);
    world.submit(1, job(queue(1), vec![step(3, 3_000, 4_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.refuse_connections(&name, 4_000);
    world.run(12_000);
    assert_no_violations(&world);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// Connections to a worker with free capacity are refused for a while. Guards against delays
/// of jobs that are placed there again and again.
#[test]
fn no_task_is_placed_on_a_worker_that_refuses_connections() {
    let mut world = world_without_faults(2);
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.refuse_connections(&name, 60_000);
    world.run(700);
    let starts = world.starts;
    world.submit(1, job(queue(0), vec![step(4, 1_000, 300)]));
    world.run(300);
    assert_eq!(world.starts - starts, 4, "{}", world.explain(stoatwell_pool::JobId(1)));
    assert_no_violations(&world);
}

/// The scheduler crashes after a cancellation is durable and before it has stopped the tasks.
/// Guards against users who pay for work of a cancelled job: the next scheduler has to stop
/// them.
#[test]
fn a_new_scheduler_stops_tasks_of_jobs_cancelled_before() {
    let mut world = world_without_faults(2);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 20_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.isolate(&name, 800);
    world.cancel(1);
    world.run(600);
    world.fail_over();
    world.run(2_500);
    assert!(world.workers.values().all(|worker| worker.active.is_empty()));
    assert_no_violations(&world);
}

/// A worker crashes and restarts while starts are in flight, which its new incarnation
/// carries out before the scheduler knows of it. Guards against tasks that run twice: the
/// runs that the scheduler discovers there count.
#[test]
fn starts_carried_out_by_a_new_incarnation_are_not_repeated() {
    let mut world = world_without_faults(1);
    world.run(500);
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.crash(&name);
    world.workers.get_mut(&name).expect("known").up = true;
    world.submit(1, job(queue(1), vec![step(4, 2_000, 400)]));
    world.run(8_000);
    assert_no_violations(&world);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts, 4);
}

/// As above, and the scheduler crashes too: the row names the worker's former incarnation
/// although the run is in the new one.
#[test]
fn a_new_scheduler_finds_runs_started_by_a_new_incarnation() {
    let mut world = world_without_faults(1);
    world.run(500);
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.crash(&name);
    world.workers.get_mut(&name).expect("known").up = true;
    world.submit(1, job(queue(1), vec![step(4, 2_000, 3_000)]));
    world.run(60);
    assert_eq!(world.starts, 4);
    world.fail_over();
    world.run(8_000);
    assert_no_violations(&world);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts, 4);
}

/// A worker crashes, restarts with less capacity and answers the scheduler before the list
/// has its new capacity. Guards against an overloaded worker whose tasks all fail: it gets no
/// task until it is listed again.
#[test]
fn a_new_incarnation_gets_no_task_before_its_capacity_is_known() {
    let mut world = world_without_faults(1);
    world.run(500);
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.crash(&name);
    let worker = world.workers.get_mut(&name).expect("known");
    worker.up = true;
    worker.capacity.cpu_millis = 4_000;
    world.run(800);
    world.submit(1, job(queue(1), vec![step(6, 2_000, 400)]));
    world.run(8_000);
    assert_no_violations(&world);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// The scheduler crashes, and when the next one reads the list, it has a new incarnation of
/// a worker that the rows name. Guards against a pool that shrinks with every worker crash
/// close to a failover: the worker has to get tasks like any other.
#[test]
fn a_worker_listed_with_a_new_incarnation_after_a_failover_is_used() {
    let mut world = world_without_faults(1);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 60_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.crash(&name);
    world.run(1_490);
    world.fail_over();
    world.submit(2, job(queue(1), vec![step(1, 3_000, 300)]));
    world.run(3_000);
    assert_eq!(world.state(2), Some(JobState::Completed));
    assert_no_violations(&world);
}

/// A scheduler cannot reach the store but still reaches its workers. Guards against tasks
/// that run twice: another daemon may hold the leader lease and rely on the expiry of the
/// workers' leases, so the scheduler has to stop extending them after a while.
#[test]
fn a_scheduler_that_cannot_renew_the_leader_lease_lets_worker_leases_expire() {
    let mut world = world_without_faults(2);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 60_000)]));
    world.run(500);
    world.can_renew_lease = false;
    world.run(EXTENSION_WINDOW_MS - 500);
    assert!(
        world.workers.values().any(|worker| !worker.active.is_empty()),
        "the leases do not expire at once"
    );
    world.run(500 + LEASE_MS * 1_025 / 1_000 + 600);
    assert!(world.workers.values().all(|worker| worker.active.is_empty()));
    assert_no_violations(&world);
}

/// A worker and the scheduler are lost together, and the next scheduler knows that the former
/// one is dead. Guards against a wait beyond one lease, up to the longest lease that a worker
/// grants to anybody.
#[test]
fn a_new_scheduler_waits_for_one_lease_of_a_worker_it_cannot_reach() {
    let mut world = world_without_faults(3);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 500)]));
    world.run(150);
    let name = busy_worker(&world);
    world.workers.get_mut(&name).expect("known").permanently_isolated = true;
    world.fail_over();
    world.run(LEASE_MS * 1_025 / 1_000 + 2_500);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_no_violations(&world);
}

/// A worker with a speculative task becomes unreachable; its lease expires and the task
/// starts again elsewhere. Then the first worker is reachable again and reports that the task
/// completed in time. Guards against an overloaded worker: the capacity of the second run
/// has to stay allocated until that run is stopped.
#[test]
fn the_capacity_of_a_second_run_stays_allocated_until_it_is_gone() {
    let mut world = world_without_faults(2);
    let mut speculative = job(queue(1), vec![step(1, 12_000, 3_000)]);
    speculative.steps[0].speculative = true;
    world.submit(1, speculative);
    world.run(300);
    let name = busy_worker(&world);
    world.isolate(&name, 7_200);
    world.run(7_250);
    assert_eq!(world.starts, 2, "the second run has started");
    world.submit(2, job(queue(1), vec![step(2, 12_000, 1_000)]));
    world.run(9_000);
    assert_no_violations(&world);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.state(2), Some(JobState::Completed));
}

/// The scheduler crashes after it recorded a start and before it sent it. Guards against
/// operators who see an empty queue while no task of the job has started: it has to be
/// counted as waiting.
#[test]
fn a_job_whose_start_was_never_sent_counts_as_waiting() {
    let mut world = world_without_faults(1);
    world.submit(1, job(queue(1), vec![step(1, 16_000, 30_000)]));
    world.run(200);
    assert_eq!(world.pending(), 0);
    world.submit(2, job(queue(1), vec![step(1, 1_000, 500)]));
    world.run(200);
    assert_eq!(world.pending(), 1, "there is no capacity for it");
    world.write_unsent_start(2);
    world.fail_over();
    world.run(300);
    assert_eq!(world.pending(), 1);
    assert_no_violations(&world);
}

/// A worker restarts at once, and starts reach its new incarnation before the scheduler knows
/// of it. Guards against tasks that run twice: a hold told the new incarnation to forget as many
/// ends as the earlier one had listed, so that ends of the new one were never read.
#[test]
fn a_restarted_worker_forgets_no_end_unread() {
    let mut world = world_without_faults(1);
    for number in 0..20 {
        world.submit(number, job(queue(0), vec![step(1, 1_000, 100)]));
    }
    world.run(3_000);
    assert!(world.open_jobs().is_empty());
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.restart_unnoticed(&name);
    for number in 100..105 {
        world.submit(number, job(queue(0), vec![step(1, 1_000, 50)]));
    }
    world.run(2_000);
    world.list_all();
    world.run(20_000);
    assert!(world.open_jobs().is_empty(), "{:?}", world.open_jobs());
    assert_no_violations(&world);
}

/// A worker with more ended runs than one answer lists, while the store is slow.
fn world_with_unlisted_ends() -> World {
    let mut world = world_without_faults(1);
    for worker in world.workers.values_mut() {
        worker.ends_listed_max = 10;
    }
    world.submit(1, job(queue(1), vec![step(30, 20, 600)]));
    world.run(100);
    assert_eq!(world.starts, 30);
    world.commit_ms = 3_000;
    world.run(1_500);
    world
}

/// Guards against tasks that run again after they were done, because the answer of their worker
/// had no room for their ends.
#[test]
fn ends_that_an_answer_leaves_out_are_not_lost_runs() {
    let mut world = world_with_unlisted_ends();
    world.run(2_000);
    world.commit_ms = 12;
    world.run(4_000);
    assert_eq!(world.state(1), Some(JobState::Completed), "{}", world.explain(JobId(1)));
    assert_eq!(world.starts, 30, "no task was started again");
    assert_no_violations(&world);
}

/// Guards against a sound worker that counts as faulty, because runs whose ends its answers leave
/// out seem to make no progress.
#[test]
fn ends_that_an_answer_leaves_out_are_not_stalled_runs() {
    let mut world = world_with_unlisted_ends();
    world.run(1_300);
    let tasks = world.explain(JobId(1));
    assert!(!tasks.contains("Stopping"), "{tasks}");
}

/// The same after a change of the leader, which adopts the runs.
#[test]
fn ends_that_an_answer_leaves_out_are_not_lost_runs_for_a_new_leader() {
    let mut world = world_with_unlisted_ends();
    world.fail_over();
    world.run(2_000);
    world.commit_ms = 12;
    world.run(4_000);
    assert_eq!(world.state(1), Some(JobState::Completed), "{}", world.explain(JobId(1)));
    assert_eq!(world.starts, 30, "no task was started again");
    assert_no_violations(&world);
}
