//! Gangs that cannot start, in virtual time: which other work has to run meanwhile.

mod world;

use std::ops::Range;

use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_pool::AdviceSpec;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::QueueSpec;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

/// The gang of the tests; batches have the numbers above it.
const GANG: u64 = 1;
const BATCHES: Range<u64> = 10..14;

fn idle_world(workers: usize) -> World {
    let mut world = World::new(5, workers, Faults::default());
    world.run(100);
    world
}

/// A gang of which two tasks fit on a worker.
fn gang(queue: QueueSpec, tasks: u32) -> JobSpec {
    let mut spec = job(queue, vec![step(tasks, 7_500, 2_000)]);
    spec.steps[0].gang = true;
    spec
}

fn first_worker(world: &World) -> WorkerId {
    world.workers.keys().next().cloned().expect("a worker")
}

/// Submits batches that take half of the workers' capacity.
fn submit_batches(world: &mut World) {
    for number in BATCHES {
        world.submit(number, job(queue(2), vec![step(8, 1_000, 1_000)]));
    }
}

fn assert_batches_are_done(world: &World) {
    for number in BATCHES {
        let explanation = world.explain(JobId(number));
        assert_eq!(world.state(number), Some(JobState::Completed), "{explanation}");
    }
}

fn assert_no_violations(world: &World) {
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a gang that no longer fits after a worker has left, and keeps all other work
/// from the idle workers that remain.
#[test]
fn a_gang_that_no_longer_fits_does_not_block_other_work() {
    let mut world = idle_world(4);
    let name = first_worker(&world);
    world.drain(&name);
    world.submit(GANG, gang(queue(1), 8));
    world.run(500);
    submit_batches(&mut world);
    world.run(3_000);
    assert_batches_are_done(&world);
    let explanation = world.explain(JobId(GANG));
    assert_eq!(world.state(GANG), Some(JobState::Queued), "{explanation}");
    assert!(explanation.contains("too few for the gang"), "{explanation}");
    assert_no_violations(&world);
}

/// Guards against a gang that reserves nothing any more once there are workers enough for it
/// again, and is overtaken by smaller work for good.
#[test]
fn a_gang_that_fits_again_starts() {
    let mut world = idle_world(4);
    let name = first_worker(&world);
    world.drain(&name);
    let rules = QueueSpec { target_ms: 60_000, ..queue(1) };
    world.submit(GANG, gang(rules, 8));
    for number in 100..200 {
        world.submit(number, job(queue(2), vec![step(1, 4_000, 600)]));
        world.run(60);
    }
    assert_eq!(world.state(GANG), Some(JobState::Queued));
    world.workers.get_mut(&name).expect("known").draining = false;
    world.list_all();
    for number in 200..300 {
        world.submit(number, job(queue(2), vec![step(1, 4_000, 600)]));
        world.run(60);
    }
    let explanation = world.explain(JobId(GANG));
    assert!(world.state(GANG) != Some(JobState::Queued), "{explanation}");
    assert_no_violations(&world);
}

/// Guards against places that a gang may not use: it takes at most one on each worker.
#[test]
fn a_gang_with_too_few_workers_for_its_limit_does_not_block_other_work() {
    let mut world = idle_world(4);
    let mut spec = gang(queue(1), 7);
    spec.steps[0].per_worker_max = 1;
    world.submit(GANG, spec);
    world.run(500);
    submit_batches(&mut world);
    world.run(3_000);
    assert_batches_are_done(&world);
    assert_eq!(world.state(GANG), Some(JobState::Queued));
    assert_no_violations(&world);
}

/// Guards against a reservation that waits for the end of tasks that run until they are cancelled.
#[test]
fn a_gang_that_needs_the_places_of_lasting_tasks_does_not_block_other_work() {
    let mut world = idle_world(4);
    let mut lasting = job(queue(0), vec![step(1, 9_000, 600_000)]);
    lasting.steps[0].long_running = true;
    world.submit(2, lasting);
    world.run(500);
    world.submit(GANG, gang(queue(1), 8));
    world.run(500);
    submit_batches(&mut world);
    world.run(3_000);
    assert_batches_are_done(&world);
    assert_eq!(world.state(GANG), Some(JobState::Queued));
    world.cancel(2);
    world.run(6_000);
    assert_eq!(world.state(GANG), Some(JobState::Completed), "{}", world.explain(JobId(GANG)));
    assert_no_violations(&world);
}

/// Guards against a reservation for a gang that would never leave free what urgent work needs.
#[test]
fn a_gang_too_large_beside_urgent_work_does_not_block_other_work() {
    let mut world = idle_world(4);
    for tick in 0..200 {
        world.submit(1_000 + tick, job(queue(0), vec![step(2, 4_000, 300)]));
        if tick == 100 {
            world.submit(GANG, gang(queue(1), 7));
        }
        if tick == 120 {
            submit_batches(&mut world);
        }
        world.run(100);
    }
    assert_batches_are_done(&world);
    world.run(8_000);
    assert_eq!(world.state(GANG), Some(JobState::Completed), "{}", world.explain(JobId(GANG)));
    assert_no_violations(&world);
}

/// Guards against a gang that waits for the lease of an unreachable member, and keeps all other
/// work from idle workers meanwhile.
#[test]
fn a_gang_with_an_unreachable_member_does_not_block_other_work() {
    let mut world = idle_world(4);
    let name = first_worker(&world);
    world.isolate(&name, 1_000_000);
    world.submit(GANG, gang(queue(1), 6));
    world.run(3_700);
    submit_batches(&mut world);
    world.run(500);
    for number in BATCHES {
        assert_eq!(
            world.state(number),
            Some(JobState::Running),
            "{}",
            world.explain(JobId(number))
        );
    }
    assert_no_violations(&world);
}

/// Guards against a gang that reserves granted workers which are too few for it, although the
/// advisor grants no others.
#[test]
fn a_gang_with_too_few_granted_workers_does_not_block_other_work() {
    let mut world = idle_world(4);
    world.granted_of_five = 3;
    let mut rules = queue(1);
    rules.advice = Some(AdviceSpec { decide_ms: 20.0, each_ms: 1.0, valid_ms: 2_000 });
    world.submit(GANG, gang(rules, 8));
    world.run(1_000);
    world.submit(2, job(queue(2), vec![step(64, 4_000, 500)]));
    world.run(5_000);
    assert_eq!(world.state(2), Some(JobState::Completed), "{}", world.explain(JobId(2)));
    assert_eq!(world.state(GANG), Some(JobState::Queued), "{}", world.explain(JobId(GANG)));
    assert_no_violations(&world);
}

/// Guards against a customer whose small jobs wait for ever for the share of its cap that is
/// reserved for its gang, although too few workers are left for the gang.
#[test]
fn a_gang_at_its_cap_that_does_not_fit_does_not_block_its_customer() {
    let mut world = idle_world(4);
    let cap = Resources { cpu_millis: 62_000, ..Resources::ZERO };
    let customer = CustomerName::new("a");
    world.set_cap(&customer, 10.0, cap);
    let owned = |spec: JobSpec| JobSpec {
        customer: Some(CustomerLimits { name: customer.clone(), weight: 10.0, cap }),
        ..spec
    };
    let mut lasting = job(queue(2), vec![step(1, 4_000, 600_000)]);
    lasting.steps[0].long_running = true;
    world.submit(2, owned(lasting));
    world.run(500);
    world.submit(GANG, owned(gang(queue(1), 8)));
    world.run(500);
    for number in BATCHES {
        world.submit(number, owned(job(queue(2), vec![step(8, 1_000, 1_000)])));
    }
    world.run(3_000);
    assert_batches_are_done(&world);
    assert_eq!(world.state(GANG), Some(JobState::Queued));
    assert_no_violations(&world);
}

/// Guards against a gang that keeps its places idle for as long as the advisor does not answer,
/// because its tickets have expired.
#[test]
fn a_gang_without_valid_tickets_does_not_block_other_work() {
    let mut world = idle_world(4);
    world.granted_of_five = 5;
    world.tickets_expire = true;
    world.submit(2, job(queue(2), vec![step(4, 16_000, 3_000)]));
    world.run(300);
    let rules = QueueSpec {
        target_ms: 60_000,
        advice: Some(AdviceSpec { decide_ms: 20.0, each_ms: 1.0, valid_ms: 1_000 }),
        ..queue(1)
    };
    world.submit(GANG, gang(rules, 8));
    world.run(1_000);
    world.faults.lost_advice = 1_000;
    world.run(6_000);
    submit_batches(&mut world);
    world.run(6_000);
    assert_batches_are_done(&world);
    world.faults.lost_advice = 0;
    world.run(6_000);
    assert_eq!(world.state(GANG), Some(JobState::Completed), "{}", world.explain(JobId(GANG)));
    assert_no_violations(&world);
}

/// Guards against a scheduler that ends because the leases of several workers with members of one gang
/// expire at the same time: once one member is lost, those that were not sent yet leave their workers.
#[test]
fn a_gang_whose_workers_expire_together_is_started_again() {
    let mut world = idle_world(8);
    for number in BATCHES {
        world.submit(number, job(queue(2), vec![step(8, 1_000, 20_000)]));
    }
    world.run(600);
    // The starts of the gang wait for their row, and its workers run other tasks.
    world.stuck_partitions.insert(JobId(GANG).partition());
    world.submit(GANG, gang(queue(1), 8));
    world.run(200);
    for worker in world.workers.values_mut() {
        worker.isolated = true;
    }
    // The calls fail, and then all leases expire while the leader stands still.
    world.run(1_000);
    world.pause_leader(10_000);
    world.run(12_000);
    for worker in world.workers.values_mut() {
        worker.isolated = false;
    }
    world.stuck_partitions.clear();
    world.fail_over();
    world.run(120_000);
    assert_eq!(world.state(GANG), Some(JobState::Completed), "{}", world.explain(JobId(GANG)));
    assert_no_violations(&world);
}
