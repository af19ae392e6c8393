//! Accepted work that waits for long beside free workers, whatever else waits.

mod world;

use std::time::Duration;

use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
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

/// The number of the job that may not wait for long.
const WAITING: u64 = 1;

fn cpu(cpu_millis: u64) -> Resources {
    Resources { cpu_millis, ..Resources::ZERO }
}

fn with_customer(spec: JobSpec, customer: &str, cap: Resources) -> JobSpec {
    let name = CustomerName::new(customer);
    JobSpec { customer: Some(CustomerLimits { name, weight: 100.0, cap }), ..spec }
}

/// A queue whose jobs are late only after five minutes.
fn patient_queue(priority: u32) -> QueueSpec {
    QueueSpec { target_ms: 300_000, ..queue(priority) }
}

fn gang(rules: QueueSpec, tasks: u32, cpu_millis: u64, estimate_ms: u64) -> JobSpec {
    let mut spec = job(rules, vec![step(tasks, cpu_millis, estimate_ms)]);
    spec.steps[0].gang = true;
    spec
}

/// A world with a customer `a` of this cap.
fn world_with_cap(seed: u64, workers: usize, cap: Resources) -> World {
    let mut world = World::new(seed, workers, Faults::default());
    world.run(100);
    world.set_cap(&CustomerName::new("a"), 100.0, cap);
    world
}

/// The same with a leader that may reserve a part of a cap: a new one reserves nothing at first.
fn settled_world_with_cap(seed: u64, workers: usize, cap: Resources) -> World {
    let mut world = world_with_cap(seed, workers, cap);
    world.run(2_200);
    world
}

/// Lets small jobs of customer `a` arrive for a minute, each of one task, and submits a job after
/// six seconds. Returns how long that waits.
fn wait_beside_stream(
    world: &mut World,
    cap: Resources,
    (small, interval_ms): (&JobSpec, u64),
    waiting: JobSpec,
) -> Option<u64> {
    let mut since_ms = None;
    let ticks = 60_000 / interval_ms;
    for tick in 0..ticks {
        let mut spec = with_customer(small.clone(), "a", cap);
        spec.accepted_unix_ms = world.now_ms;
        world.submit(1_000 + tick, spec);
        if since_ms.is_none() && tick * interval_ms >= 6_000 {
            let mut spec = with_customer(waiting.clone(), "a", cap);
            spec.accepted_unix_ms = world.now_ms;
            world.submit(WAITING, spec);
            since_ms = Some(world.now_ms);
        }
        world.run(interval_ms);
        if let Some(since_ms) = since_ms
            && world.state(WAITING) != Some(JobState::Queued)
        {
            return Some(world.now_ms - since_ms);
        }
    }
    None
}

/// Guards against a task of most of a cap that never starts, since small jobs of lower priority
/// take each part of the cap as it comes free.
#[test]
fn a_large_task_is_not_starved_by_small_ones_of_its_customer() {
    let cap = cpu(20_000);
    let mut world = world_with_cap(1, 12, cap);
    let small = job(patient_queue(2), vec![step(1, 2_000, 2_000)]);
    let large = job(patient_queue(1), vec![step(1, 14_000, 1_000)]);
    let waited_ms = wait_beside_stream(&mut world, cap, (&small, 190), large);
    assert!(
        waited_ms.is_some_and(|ms| ms < 20_000),
        "{waited_ms:?} {}",
        world.explain(JobId(WAITING))
    );
}

fn wide_gang_beside(small_ms: u64, interval_ms: u64) {
    let cap = cpu(40_000);
    let mut world = world_with_cap(2, 12, cap);
    let small = job(patient_queue(2), vec![step(1, 2_000, small_ms)]);
    let wide = gang(patient_queue(1), 19, 2_000, 1_000);
    let waited_ms = wait_beside_stream(&mut world, cap, (&small, interval_ms), wide);
    assert!(
        waited_ms.is_some_and(|ms| ms < 30_000),
        "{waited_ms:?} {}",
        world.explain(JobId(WAITING))
    );
}

/// Guards against a wide gang whose reservation of the cap is suspended each time before tasks of
/// some seconds have ended, so that it never starts.
#[test]
fn a_wide_gang_is_not_starved_by_tasks_of_six_seconds() {
    wide_gang_beside(6_000, 280);
}

/// The same with tasks of four seconds that use 60% of the cap.
#[test]
fn a_wide_gang_is_not_starved_by_tasks_of_four_seconds() {
    wide_gang_beside(4_000, 333);
}

/// The same with tasks of ten seconds.
#[test]
fn a_wide_gang_is_not_starved_by_tasks_of_ten_seconds() {
    wide_gang_beside(10_000, 480);
}

/// The same with tasks of three seconds.
#[test]
fn a_wide_gang_is_not_starved_by_tasks_of_three_seconds() {
    wide_gang_beside(3_000, 140);
}

/// Guards against a gang that is late and never starts, since small jobs that are not late take
/// its customer's cap.
#[test]
fn a_late_gang_is_not_starved_by_small_jobs_of_its_customer() {
    let cap = cpu(40_000);
    let mut world = world_with_cap(3, 12, cap);
    let small = job(patient_queue(2), vec![step(1, 2_000, 2_000)]);
    let wide = gang(QueueSpec { target_ms: 100, ..queue(1) }, 19, 2_000, 1_000);
    let waited_ms = wait_beside_stream(&mut world, cap, (&small, 95), wide);
    assert!(
        waited_ms.is_some_and(|ms| ms < 30_000),
        "{waited_ms:?} {}",
        world.explain(JobId(WAITING))
    );
}

/// Returns how long a job of customer `b` waits behind many jobs that are before it in the queue.
fn wait_behind(world: &mut World, others: u64, other: &JobSpec) -> Option<u64> {
    for number in 0..others {
        world.submit(1_000 + number, other.clone());
    }
    world.run(1_000);
    let since_ms = world.now_ms;
    let mut spec =
        with_customer(job(patient_queue(2), vec![step(1, 1_000, 500)]), "b", Resources::ZERO);
    spec.accepted_unix_ms = world.now_ms;
    world.submit(WAITING, spec);
    for _ in 0..200 {
        world.run(100);
        if world.state(WAITING) != Some(JobState::Queued) {
            return Some(world.now_ms - since_ms);
        }
    }
    None
}

/// Guards against jobs that wait beside idle workers behind a long backlog of a customer at its
/// cap.
#[test]
fn a_backlog_of_a_customer_at_its_cap_does_not_block_others() {
    let cap = cpu(4_000);
    let mut world = world_with_cap(4, 12, cap);
    let other = with_customer(job(patient_queue(1), vec![step(1, 1_000, 1_000)]), "a", cap);
    let waited_ms = wait_behind(&mut world, 1_200, &other);
    assert!(
        waited_ms.is_some_and(|ms| ms < 3_000),
        "{waited_ms:?} {}",
        world.explain(JobId(WAITING))
    );
}

/// Guards against jobs that wait beside idle workers behind a long backlog of a service without
/// open workers.
#[test]
fn a_backlog_of_another_service_does_not_block_others() {
    let mut world = World::new(5, 12, Faults::default());
    world.run(100);
    let rules = QueueSpec { service: "closed".to_owned(), ..patient_queue(1) };
    let other = job(rules, vec![step(1, 1_000, 1_000)]);
    let waited_ms = wait_behind(&mut world, 1_200, &other);
    assert!(
        waited_ms.is_some_and(|ms| ms < 3_000),
        "{waited_ms:?} {}",
        world.explain(JobId(WAITING))
    );
}

/// Guards against a job that waits for the end of long tasks of its customer, since a gang has
/// reserved the rest of the cap, though the workers are nearly idle.
#[test]
fn a_job_does_not_wait_for_a_gang_while_over_half_of_the_cap_is_used() {
    let cap = cpu(40_000);
    let mut world = settled_world_with_cap(6, 12, cap);
    world.submit(2, with_customer(job(patient_queue(1), vec![step(2, 11_000, 30_000)]), "a", cap));
    world.run(500);
    world.submit(3, with_customer(gang(patient_queue(1), 14, 2_000, 1_000), "a", cap));
    world.run(500);
    world.submit(
        WAITING,
        with_customer(job(patient_queue(2), vec![step(1, 1_000, 25_000)]), "a", cap),
    );
    let since_ms = world.now_ms;
    while world.state(WAITING) == Some(JobState::Queued) && world.now_ms < since_ms + 40_000 {
        world.run(100);
    }
    let waited_ms = world.now_ms - since_ms;
    assert!(waited_ms < 3_000, "{waited_ms} {}", world.explain(JobId(WAITING)));
}

/// Guards against the same while most of the memory of the cap is used and little of its CPU.
#[test]
fn a_job_does_not_wait_for_a_gang_while_only_memory_is_mostly_used() {
    let gib = |gib: u64| gib << 30;
    let cap = Resources { cpu_millis: 40_000, memory_bytes: gib(24), accelerators: 0 };
    let mut world = settled_world_with_cap(7, 12, cap);
    let with_memory = |mut spec: JobSpec, bytes| {
        spec.steps[0].demand.memory_bytes = bytes;
        with_customer(spec, "a", cap)
    };
    world.submit(2, with_memory(job(patient_queue(1), vec![step(2, 1_000, 30_000)]), gib(13) / 2));
    world.run(500);
    world.submit(3, with_memory(gang(patient_queue(1), 12, 1_000, 1_000), gib(1)));
    world.run(500);
    let small = job(patient_queue(2), vec![step(1, 1_000, 25_000)]);
    world.submit(WAITING, with_memory(small, gib(1)));
    let since_ms = world.now_ms;
    while world.state(WAITING) == Some(JobState::Queued) && world.now_ms < since_ms + 40_000 {
        world.run(100);
    }
    let waited_ms = world.now_ms - since_ms;
    assert!(waited_ms < 3_000, "{waited_ms} {}", world.explain(JobId(WAITING)));
}

/// Guards against a gang whose next attempt comes seconds after its workers have room, since many
/// other steps wait.
#[test]
fn a_gang_starts_soon_after_room_is_free_beside_a_long_queue() {
    let mut world = World::new(8, 12, Faults::default());
    world.run(100);
    world.submit(2, job(patient_queue(0), vec![step(12, 12_000, 1_000)]));
    world.run(200);
    let rules = QueueSpec { service: "closed".to_owned(), ..patient_queue(2) };
    let other = job(rules, vec![step(1, 1_000, 1_000)]);
    for number in 0..12_000 {
        world.submit(1_000 + number, other.clone());
    }
    world.submit(WAITING, gang(patient_queue(1), 12, 12_000, 500));
    let since_ms = world.now_ms;
    while world.state(WAITING) == Some(JobState::Queued) && world.now_ms < since_ms + 20_000 {
        world.run(100);
    }
    let waited_ms = world.now_ms - since_ms;
    assert!(waited_ms < 3_000, "{waited_ms} {}", world.explain(JobId(WAITING)));
}

/// Guards against a gang that loses its customer's cap while it waits for room, and the room while
/// it waits for the cap.
#[test]
fn a_gang_that_waits_for_room_and_for_its_cap_is_not_starved() {
    let cap = cpu(40_000);
    let mut world = world_with_cap(9, 6, cap);
    let small = job(patient_queue(2), vec![step(1, 2_000, 3_500)]);
    let wide = gang(patient_queue(1), 12, 3_000, 1_000);
    let mut since_ms = None;
    for tick in 0..600 {
        let mut other = job(patient_queue(2), vec![step(2, 3_000, 4_000)]);
        other.accepted_unix_ms = world.now_ms;
        world.submit(10_000 + tick, other);
        let mut spec = with_customer(small.clone(), "a", cap);
        spec.accepted_unix_ms = world.now_ms;
        if tick % 2 == 0 {
            world.submit(1_000 + tick, spec);
        }
        if tick == 60 {
            world.submit(WAITING, with_customer(wide.clone(), "a", cap));
            since_ms = Some(world.now_ms);
        }
        world.run(100);
        if tick > 60 && world.state(WAITING) != Some(JobState::Queued) {
            break;
        }
    }
    let waited_ms = since_ms.map(|since_ms| world.now_ms - since_ms);
    assert!(
        waited_ms.is_some_and(|ms| ms < 30_000),
        "{waited_ms:?} {}",
        world.explain(JobId(WAITING))
    );
}

/// Guards against a gang of a customer that is not protected while an earlier one of that customer
/// waits for answers of the advisor that do not come.
#[test]
fn a_gang_is_not_starved_behind_one_without_answers_of_the_advisor() {
    let cap = cpu(40_000);
    let mut world = world_with_cap(10, 12, cap);
    world.faults.lost_advice = 1_000;
    let mut rules = QueueSpec { target_ms: 200_000, ..queue(1) };
    rules.name.push_str("-advised");
    rules.advice = Some(AdviceSpec { decide_ms: 100.0, each_ms: 1.0, valid_ms: 3_000 });
    world.submit(2, with_customer(gang(rules, 19, 2_000, 1_000), "a", cap));
    let small = job(patient_queue(2), vec![step(1, 2_000, 3_000)]);
    let wide = gang(patient_queue(1), 18, 2_000, 1_000);
    let waited_ms = wait_beside_stream(&mut world, cap, (&small, 140), wide);
    assert!(
        waited_ms.is_some_and(|ms| ms < 30_000),
        "{waited_ms:?} {}",
        world.explain(JobId(WAITING))
    );
}

/// Guards against a gang at 3,000 workers that waits for seconds for its next attempt after room is
/// free, since steps of a customer at its cap wait, too.
#[test]
fn a_gang_of_a_large_pool_starts_soon_after_room_is_free() {
    let cap = cpu(4_000);
    let mut world = world_with_cap(11, 3_000, cap);
    world.submit(2, job(patient_queue(0), vec![step(3_000, 12_000, 1_500)]));
    world.run(300);
    let other = with_customer(job(patient_queue(2), vec![step(1, 1_000, 4_000)]), "a", cap);
    for number in 0..2_000 {
        world.submit(1_000 + number, other.clone());
    }
    world.submit(WAITING, gang(patient_queue(1), 12, 12_000, 500));
    let (mut free_since_ms, until_ms) = (None, world.now_ms + 20_000);
    while world.state(WAITING) == Some(JobState::Queued) && world.now_ms < until_ms {
        world.run(20);
        let idle = world.workers.values().filter(|worker| worker.active.is_empty()).count();
        if idle > 1_500 && free_since_ms.is_none() {
            free_since_ms = Some(world.now_ms);
        }
    }
    let waited_ms = free_since_ms.map_or(0, |since_ms| world.now_ms - since_ms);
    assert!(waited_ms < 3_000, "{waited_ms} {}", world.explain(JobId(WAITING)));
}

/// Returns how long a small job waits behind a gang that waits for a long task of its customer,
/// if the leader changes after these times.
fn wait_with_changes_of_leader(after_ms: &[u64]) -> u64 {
    let cap = cpu(40_000);
    let mut world = world_with_cap(12, 12, cap);
    world.submit(2, with_customer(job(patient_queue(1), vec![step(1, 4_000, 20_000)]), "a", cap));
    world.run(500);
    world.submit(3, with_customer(gang(patient_queue(1), 19, 2_000, 1_000), "a", cap));
    world.submit(
        WAITING,
        with_customer(job(patient_queue(2), vec![step(1, 1_000, 20_000)]), "a", cap),
    );
    let since_ms = world.now_ms;
    for wait_ms in after_ms {
        world.run(*wait_ms);
        if world.state(WAITING) != Some(JobState::Queued) {
            return world.now_ms - since_ms;
        }
        world.fail_over();
    }
    while world.state(WAITING) == Some(JobState::Queued) && world.now_ms < since_ms + 40_000 {
        world.run(50);
    }
    world.now_ms - since_ms
}

/// Guards against a small job that waits too long behind a gang that waits for its cap.
#[test]
fn a_small_job_waits_briefly_for_the_reservation_of_a_cap() {
    let waited_ms = wait_with_changes_of_leader(&[]);
    assert!(waited_ms < 3_000, "{waited_ms}");
}

/// Guards against a wait that begins anew with each change of the leader.
#[test]
fn a_change_of_the_leader_does_not_renew_the_wait_for_the_reservation_of_a_cap() {
    let waited_ms = wait_with_changes_of_leader(&[1_900]);
    assert!(waited_ms < 3_500, "{waited_ms}");
}

/// Guards against a reservation of a cap that remains after its gang was cancelled.
#[test]
fn a_cancelled_gang_reserves_nothing() {
    let cap = cpu(40_000);
    let mut world = settled_world_with_cap(13, 12, cap);
    world.submit(2, with_customer(job(patient_queue(1), vec![step(1, 4_000, 20_000)]), "a", cap));
    world.run(500);
    world.submit(3, with_customer(gang(patient_queue(1), 19, 2_000, 1_000), "a", cap));
    world.submit(
        WAITING,
        with_customer(job(patient_queue(2), vec![step(1, 1_000, 20_000)]), "a", cap),
    );
    world.run(300);
    assert_eq!(world.state(WAITING), Some(JobState::Queued));
    world.cancel(3);
    world.run(300);
    assert_eq!(world.state(WAITING), Some(JobState::Running), "{}", world.explain(JobId(WAITING)));
}

/// Guards against a gang that no longer fits into a lowered cap and keeps other work from it.
#[test]
fn a_gang_above_a_lowered_cap_reserves_nothing() {
    let cap = cpu(40_000);
    let mut world = settled_world_with_cap(14, 12, cap);
    world.submit(2, with_customer(job(patient_queue(1), vec![step(1, 4_000, 20_000)]), "a", cap));
    world.run(500);
    world.submit(3, with_customer(gang(patient_queue(1), 19, 2_000, 1_000), "a", cap));
    world.submit(
        WAITING,
        with_customer(job(patient_queue(2), vec![step(1, 1_000, 20_000)]), "a", cap),
    );
    world.run(300);
    world.set_cap(&CustomerName::new("a"), 100.0, cpu(30_000));
    world.run(300);
    assert_eq!(world.state(WAITING), Some(JobState::Running), "{}", world.explain(JobId(WAITING)));
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against a gang that does not start after its cap was lowered below what its customer
/// uses.
#[test]
fn a_gang_starts_after_its_cap_was_lowered_below_the_use() {
    let cap = cpu(40_000);
    let mut world = world_with_cap(15, 12, cap);
    world.submit(2, with_customer(job(patient_queue(1), vec![step(18, 2_000, 3_000)]), "a", cap));
    world.run(500);
    world.submit(WAITING, with_customer(gang(patient_queue(1), 9, 2_000, 1_000), "a", cap));
    world.set_cap(&CustomerName::new("a"), 100.0, cpu(20_000));
    for number in 0..40 {
        world.submit(
            100 + number,
            with_customer(job(patient_queue(2), vec![step(1, 2_000, 2_000)]), "a", cap),
        );
    }
    world.run(7_000);
    assert_ne!(world.state(WAITING), Some(JobState::Queued), "{}", world.explain(JobId(WAITING)));
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Prints how long decisions take without and with a gang of each customer that waits for its cap.
#[test]
#[ignore = "a measurement"]
fn time_of_decisions_with_gangs_at_many_caps() {
    let caps = 45;
    let cap = cpu(960_000);
    for gangs in [false, true] {
        let mut world = World::new(16, 3_000, Faults::default());
        world.run(100);
        for number in 0..caps {
            world.set_cap(&CustomerName::new(format!("c{number}")), 100.0, cap);
        }
        for number in 0..caps {
            let spec = job(patient_queue(1), vec![step(950, 1_000, 60_000)]);
            world.submit(number, with_customer(spec, &format!("c{number}"), cap));
        }
        world.run(1_500);
        if gangs {
            for number in 0..caps {
                let wide = gang(patient_queue(1), 30, 1_000, 1_000);
                world.submit(1_000 + number, with_customer(wide, &format!("c{number}"), cap));
            }
        }
        let small = job(patient_queue(2), vec![step(1, 500, 200)]);
        let (mut longest, mut total) = (Duration::ZERO, Duration::ZERO);
        for tick in 0..200 {
            if tick % 4 == 0 {
                world.submit(10_000 + tick, small.clone());
            }
            world.deciding = Duration::ZERO;
            world.run(5);
            longest = longest.max(world.deciding);
            total += world.deciding;
        }
        let running: usize = world.workers.values().map(|worker| worker.active.len()).sum();
        println!("gangs {gangs}: total {total:?} longest {longest:?} running {running}");
    }
}
