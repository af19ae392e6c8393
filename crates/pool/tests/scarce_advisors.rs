//! More steps wait than the advisor can answer about, in virtual time.

mod world;

use stoatwell_pool::AdviceSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::QueueSpec;

use self::world::Advisors;
use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

const WORKERS: u64 = 350;
const DAEMONS: usize = 32;
const VALID_MS: u64 = 2_000;
const TICK_MS: u64 = 20;
/// Ticks in which 40 gangs and 300 patient steps arrive.
const ARRIVAL_TICKS: u64 = 50;
const URGENT_TICKS: u64 = 600;
/// Ticks in which more waits than the workers can run.
const FULL_TICKS: u64 = 400;

fn advised_queue(priority: u32, target_ms: u64, decide_ms: f64, each_ms: f64) -> QueueSpec {
    let advice = Some(AdviceSpec { decide_ms, each_ms, valid_ms: VALID_MS });
    QueueSpec { target_ms, advice, ..queue(priority) }
}

fn submit_arrivals(world: &mut World, tick: u64) {
    if tick < ARRIVAL_TICKS {
        for number in tick * 6..(tick + 1) * 6 {
            let patient = advised_queue(2, 3_000, 120.0, 1.8);
            world.submit(1_000 + number, job(patient, vec![step(25, 3_500, 3_400)]));
        }
        for number in tick * 4 / 5..(tick + 1) * 4 / 5 {
            let rules = advised_queue(1, 1_200, 540.0, 7.7);
            let mut gang = job(rules, vec![step(20, 9_000, 6_200)]);
            gang.steps[0].gang = true;
            world.submit(100 + number, gang);
        }
    }
    if tick < URGENT_TICKS {
        let urgent = advised_queue(0, 400, 48.0, 0.3);
        world.submit(20_000 + tick, job(urgent, vec![step(3, 5_000, 1_000)]));
    }
}

/// Guards against queries that wait until their tickets are of no use, against advisor time for
/// steps that do not start since another one gets the capacity, and against capacity that is idle
/// meanwhile. Renewing the tickets of all granted workers for each step takes 49 ms of the
/// advisor's time for each task and uses 88% of the workers.
#[test]
fn scarce_advisors_are_queried_for_steps_that_start() {
    let mut world = World::new(29, WORKERS as usize, Faults::default());
    world.tickets_expire = true;
    world.granted_of_five = 2;
    for worker in world.workers.values_mut() {
        worker.capacity.cpu_millis = 32_000;
    }
    world.list_all();
    world.advisors = Some(Advisors::new(DAEMONS, 2, 5));
    world.set_advisor_daemons(DAEMONS);
    world.run(200);
    // The workers are full, and capacity comes free bit by bit.
    for number in 0..WORKERS {
        world.submit(10_000 + number, job(queue(2), vec![step(8, 4_000, 400 + 10 * number)]));
    }
    world.run(300);
    let earlier_starts = world.starts;
    let (mut late, mut used_percent) = (0, 0);
    for tick in 0..1_700 {
        submit_arrivals(&mut world, tick);
        world.run(TICK_MS);
        if (20..URGENT_TICKS + 20).contains(&tick) {
            late += usize::from(world.state(20_000 + tick - 20) == Some(JobState::Queued));
        }
        if tick < FULL_TICKS {
            let counts = world.counts();
            let all_millis = counts.used_cpu_millis + counts.free_cpu_millis;
            used_percent += counts.used_cpu_millis * 100 / all_millis;
        }
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
    assert_eq!(world.open_jobs(), Vec::new());
    assert_eq!(world.bad_tickets, 0, "starts with expired tickets");
    assert!(used_percent / FULL_TICKS >= 92, "{}% of the workers used", used_percent / FULL_TICKS);
    assert!(late * 100 <= URGENT_TICKS as usize * 2, "{late} urgent steps are late");
    let time = world.advice_time();
    assert!(time.used_share() >= 0.8, "{time:?}");
    let advisors = world.advisors.as_mut().expect("simulated");
    let per_task_ms = advisors.spent_ms / (world.starts - earlier_starts);
    assert!(per_task_ms <= 29, "{per_task_ms} ms for each task");
    advisors.waits_ms.sort_unstable();
    let p95_ms = advisors.waits_ms[advisors.waits_ms.len() * 95 / 100];
    assert!(p95_ms <= 500, "wait p95 {p95_ms} ms");
    assert!(advisors.waits_ms.last() < Some(&VALID_MS), "{:?}", advisors.waits_ms.last());
}
