//! Single failures of a pool, each in virtual time.

mod world;

use stoatwell_model::WorkerId;
use stoatwell_pool::EXTENSION_WINDOW_MS;
use stoatwell_pool::JobState;

use self::world::Faults;
use self::world::LEASE_MS;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

fn calm(workers: usize) -> World {
    let mut world = World::new(7, workers, Faults::default());
    world.run(100);
    world
}

/// The worker of the only run at work.
fn busy_worker(world: &World) -> WorkerId {
    let busy = world.workers.values().find(|worker| !worker.active.is_empty());
    busy.map(|worker| worker.name.clone()).expect("a run at work")
}

fn assert_kept(world: &World) {
    let (count, first) = (world.broken.len(), world.broken.first());
    assert!(count == 0, "{count} promises broken, first: {first:?}");
}

/// A worker loses power and never comes back; nothing refuses its calls, they
/// just bring no answer. Its tasks have to start elsewhere once its lease has
/// lapsed; a user would otherwise wait for a job for ever.
#[test]
fn tasks_of_a_worker_that_stays_dark_start_elsewhere() {
    let mut world = calm(3);
    let mut spec = job(queue(1), vec![step(4, 6_000, 10_000)]);
    spec.steps[0].gang = true;
    world.submit(1, spec);
    world.run(300);
    let name = busy_worker(&world);
    world.cut(&name, 1_000_000);
    world.run(LEASE_MS * 103 / 100 + 24_000);
    assert_eq!(
        world.state(1),
        Some(JobState::Completed),
        "{}",
        world.explain(stoatwell_pool::JobId(1))
    );
    assert_kept(&world);
}

/// The scheduler dies while tasks run. The next one finds them by its first
/// holds and lets them finish; a user would otherwise pay for the work twice
/// and wait for it twice.
#[test]
fn a_new_scheduler_lets_running_tasks_finish() {
    let mut world = calm(4);
    world.submit(1, job(queue(1), vec![step(6, 3_000, 3_000)]));
    world.run(500);
    let starts = world.starts;
    assert_eq!(starts, 6);
    world.take_over();
    world.run(7_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts, starts, "nothing was started again");
    assert_kept(&world);
}

/// The scheduler dies and a worker with running tasks is on the list no more,
/// as when its entry lapsed with the store. The new scheduler asks at the
/// address that the rows name; a user would otherwise wait for the lapse.
#[test]
fn a_new_scheduler_finds_workers_that_are_not_listed() {
    let mut world = calm(2);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 2_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.unlisted.insert(name);
    world.take_over();
    world.run(5_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts, 1);
    assert_kept(&world);
}

/// A worker crashes and is back at once under its old name. What ran there is
/// gone and starts again; nobody waits for the old lease to lapse.
#[test]
fn tasks_of_a_worker_that_began_a_new_life_start_again_at_once() {
    let mut world = calm(2);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 2_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.crash(&name);
    world.run(6_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts, 2);
    assert_kept(&world);
}

/// A worker answers holds but its tasks make no progress. They move to another
/// worker; a user would otherwise see a job that runs for ever.
#[test]
fn tasks_that_stand_still_are_moved() {
    let mut world = calm(2);
    world.submit(1, job(queue(0), vec![step(1, 3_000, 600)]));
    world.run(150);
    let name = busy_worker(&world);
    world.workers.get_mut(&name).expect("known").hangs = true;
    world.run(6_000);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_kept(&world);
}

/// A caller cancels a job whose tasks run. They are gone soon and none starts
/// any more; a user would otherwise pay for work that nobody wants.
#[test]
fn cancelled_tasks_are_stopped() {
    let mut world = calm(3);
    world.submit(1, job(queue(1), vec![step(8, 4_000, 9_000)]));
    world.run(400);
    world.cancel(1);
    world.run(1_500);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
    assert!(world.workers.values().all(|worker| worker.active.is_empty()));
    assert_kept(&world);
}

/// A firewall in front of a worker refuses every connection while the worker
/// runs on. A refused connection looks like that of a process that is gone;
/// taken for that, the tasks would start elsewhere at once and a user would see
/// two vans in one lobby.
#[test]
fn a_refused_connection_does_not_prove_that_a_worker_is_gone() {
    let mut world = calm(3);
    world.submit(1, job(queue(1), vec![step(3, 3_000, 4_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.refuse(&name, 4_000);
    world.run(12_000);
    assert_kept(&world);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// Connections to a worker with free room are refused for a while. Nothing new
/// goes there meanwhile; every job placed there would otherwise have to be
/// placed again and again, and its user would wait.
#[test]
fn nothing_new_goes_to_a_worker_that_refuses() {
    let mut world = calm(2);
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.refuse(&name, 60_000);
    world.run(700);
    let starts = world.starts;
    world.submit(1, job(queue(0), vec![step(4, 1_000, 300)]));
    world.run(300);
    assert_eq!(world.starts - starts, 4, "{}", world.explain(stoatwell_pool::JobId(1)));
    assert_kept(&world);
}

/// A caller cancels a job, and the scheduler dies after that is durable and
/// before the worker has heard of it. The next scheduler stops the tasks; they
/// would otherwise run to their end, and a user would pay for work nobody wants.
#[test]
fn a_new_scheduler_stops_what_was_cancelled_before() {
    let mut world = calm(2);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 20_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.cut(&name, 800);
    world.cancel(1);
    world.run(600);
    world.take_over();
    world.run(2_500);
    assert!(world.workers.values().all(|worker| worker.active.is_empty()));
    assert_kept(&world);
}

/// A worker crashes and is back under its old name while starts are under way to
/// it. They are carried out by the new life, which the scheduler has not heard
/// of yet. What it finds there counts; started again, a route would be driven
/// twice.
#[test]
fn starts_that_a_new_life_carries_out_are_not_repeated() {
    let mut world = calm(1);
    world.run(500);
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.crash(&name);
    world.workers.get_mut(&name).expect("known").up = true;
    world.submit(1, job(queue(1), vec![step(4, 2_000, 400)]));
    world.run(8_000);
    assert_kept(&world);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts, 4);
}

/// The same, and the scheduler dies as well. The row names the former life of
/// the worker, yet the run is in the new one.
#[test]
fn a_new_scheduler_finds_runs_that_a_new_life_carried_out() {
    let mut world = calm(1);
    world.run(500);
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.crash(&name);
    world.workers.get_mut(&name).expect("known").up = true;
    world.submit(1, job(queue(1), vec![step(4, 2_000, 3_000)]));
    world.run(60);
    assert_eq!(world.starts, 4);
    world.take_over();
    world.run(8_000);
    assert_kept(&world);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.starts, 4);
}

/// A worker crashes and comes back with less room, and answers the scheduler
/// before the list tells what it holds now. It gets nothing until the list
/// does; it would otherwise be overloaded, and every task on it would fail.
#[test]
fn a_new_life_gets_nothing_before_its_room_is_known() {
    let mut world = calm(1);
    world.run(500);
    let name = world.workers.keys().next().cloned().expect("a worker");
    world.crash(&name);
    let worker = world.workers.get_mut(&name).expect("known");
    worker.up = true;
    worker.capacity.cpu_millis = 4_000;
    world.run(800);
    world.submit(1, job(queue(1), vec![step(6, 2_000, 400)]));
    world.run(8_000);
    assert_kept(&world);
    assert_eq!(world.state(1), Some(JobState::Completed));
}

/// The scheduler dies, and a worker that the rows name is listed with a new life
/// when the next one reads the list. It takes tasks like any other; a pool would
/// otherwise shrink with every crash beside a change of scheduler.
#[test]
fn a_worker_listed_with_a_new_life_after_a_take_over_is_used() {
    let mut world = calm(1);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 60_000)]));
    world.run(300);
    let name = busy_worker(&world);
    world.crash(&name);
    world.run(1_490);
    world.take_over();
    world.submit(2, job(queue(1), vec![step(1, 3_000, 300)]));
    world.run(3_000);
    assert_eq!(world.state(2), Some(JobState::Completed));
    assert_kept(&world);
}

/// A scheduler is cut off from the store and still reaches its workers. Another one
/// may hold the duty and count on their leases to lapse, so it extends them no
/// more after a while; a batch that runs on here and again there would send two
/// vans to one lobby.
#[test]
fn a_scheduler_that_cannot_renew_its_duty_lets_leases_lapse() {
    let mut world = calm(2);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 60_000)]));
    world.run(500);
    world.renews = false;
    world.run(EXTENSION_WINDOW_MS - 500);
    assert!(world.workers.values().any(|worker| !worker.active.is_empty()), "not at once");
    world.run(500 + LEASE_MS * 1_025 / 1_000 + 600);
    assert!(world.workers.values().all(|worker| worker.active.is_empty()));
    assert_kept(&world);
}

/// A worker is lost for good and the scheduler with it, whose successor knows that
/// it is dead. The successor waits for one lease, not for the longest that a worker
/// grants to anybody; a user would wait the difference for nothing.
#[test]
fn a_new_scheduler_waits_for_one_lease_of_a_worker_it_cannot_reach() {
    let mut world = calm(3);
    world.submit(1, job(queue(1), vec![step(1, 3_000, 500)]));
    world.run(150);
    let name = busy_worker(&world);
    world.workers.get_mut(&name).expect("known").dark = true;
    world.take_over();
    world.run(LEASE_MS * 1_025 / 1_000 + 2_500);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_kept(&world);
}

/// A worker is cut off with a task that may have copies; its lease lapses and the
/// task starts again elsewhere. Then the first worker is back and tells that it was
/// done in time. The copy's room stays taken until it is stopped; the worker would
/// otherwise get more than it holds, and everything on it would suffer.
#[test]
fn the_room_of_a_copy_is_taken_until_it_is_gone() {
    let mut world = calm(2);
    let mut copied = job(queue(1), vec![step(1, 12_000, 3_000)]);
    copied.steps[0].speculative = true;
    world.submit(1, copied);
    world.run(300);
    let name = busy_worker(&world);
    world.cut(&name, 7_200);
    world.run(7_250);
    assert_eq!(world.starts, 2, "the copy runs");
    world.submit(2, job(queue(1), vec![step(2, 12_000, 1_000)]));
    world.run(9_000);
    assert_kept(&world);
    assert_eq!(world.state(1), Some(JobState::Completed));
    assert_eq!(world.state(2), Some(JobState::Completed));
}

/// The scheduler dies after it recorded a start and before it sent it. Nothing of
/// the job has begun, and the count of waiting jobs says so; operators would
/// otherwise see an empty queue while their work stands.
#[test]
fn a_job_whose_start_was_never_sent_counts_as_waiting() {
    let mut world = calm(1);
    world.submit(1, job(queue(1), vec![step(1, 16_000, 30_000)]));
    world.run(200);
    assert_eq!(world.pending(), 0);
    world.submit(2, job(queue(1), vec![step(1, 1_000, 500)]));
    world.run(200);
    assert_eq!(world.pending(), 1, "no room for it");
    world.record_start_of(2);
    world.take_over();
    world.run(300);
    assert_eq!(world.pending(), 1);
    assert_kept(&world);
}
