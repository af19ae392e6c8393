//! Decisions that have to end before all waiting steps were considered.

mod world;

use std::time::Duration;

use stoatwell_pool::AdviceSpec;
use stoatwell_pool::JobSpec;
use stoatwell_pool::JobState;
use stoatwell_pool::QueueSpec;
use stoatwell_pool::StepSpec;

use self::world::Charge;
use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

/// The time from a submission to its first start that urgent callers expect.
const URGENT_START_MS: u64 = 400;
/// Twice the time that a visit of a step, and a message, takes a leader with half a core.
const SLOW_LEADER: Charge = Charge {
    step: Duration::ZERO,
    visit: Duration::from_micros(400),
    message: Duration::from_micros(100),
    restore: Duration::ZERO,
};
/// Steps that such a leader visits in the time of one decision.
const DECISION_STEPS: u64 = 25;

/// A gang that fits on no worker while [`full_world`]'s long tasks run.
fn waiting_job(number: u64) -> JobSpec {
    let gang = StepSpec { gang: true, ..step(4, 8_000 + number, 1_000) };
    job(queue(1 + number as u32 % 2), vec![gang])
}

/// A pool with two free cores on each worker, in which steps wait that need more.
fn full_world(workers: u64, waiting: u64) -> World {
    let mut world = World::new(71, workers as usize, Faults::default());
    world.run(300);
    for number in 0..workers {
        world.submit(1_000_000 + number, job(queue(1), vec![step(1, 14_000, 60_000)]));
    }
    world.run(2_000);
    for number in 0..waiting {
        let spec = JobSpec { accepted_unix_ms: world.now_ms, ..waiting_job(number) };
        world.submit(number, spec);
    }
    world.run(1_000);
    world
}

/// Guards against urgent starts that wait for the end of long decisions about other steps.
#[test]
fn urgent_jobs_start_in_time_while_hundreds_of_steps_wait() {
    let mut world = full_world(100, 400);
    world.charge = Some(SLOW_LEADER);
    world.decision_steps_max = Some(DECISION_STEPS);
    let mut waiting: Vec<(u64, u64)> = Vec::new();
    for tick in 0..400 {
        if tick % 4 == 0 && tick < 300 {
            let id = 2_000_000 + tick;
            world.submit(id, job(queue(0), vec![step(2, 1_000, 300)]));
            waiting.push((id, world.now_ms));
        }
        world.run(5);
        let (now_ms, is_started) =
            (world.now_ms, |id| !matches!(world.state(id), None | Some(JobState::Queued)));
        waiting.retain(|(id, _)| !is_started(*id));
        let late = waiting.iter().find(|(_, submitted_ms)| now_ms > submitted_ms + URGENT_START_MS);
        assert!(late.is_none(), "{late:?} does not run at {now_ms}");
    }
    assert!(waiting.is_empty(), "{waiting:?}");
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against steps that no decision comes to because those before them use up its time.
#[test]
fn no_step_is_left_out_while_each_decision_comes_to_few() {
    let mut world = full_world(20, 0);
    world.decision_steps_max = Some(0);
    for number in 0..300 {
        world.submit(number, waiting_job(number));
    }
    world.submit(1_000, job(queue(2), vec![step(1, 1_500, 200)]));
    for tick in 0..400 {
        if tick % 2 == 0 {
            world.submit(2_000_000 + tick, job(queue(0), vec![step(1, 100, 100)]));
        }
        world.run(5);
    }
    assert_eq!(world.state(1_000), Some(JobState::Completed));
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}

/// Guards against tickets that expire because the decisions before their step's turn go to steps
/// that have none yet, so that nothing starts beside free workers.
#[test]
fn steps_with_new_tickets_start_while_each_decision_comes_to_few() {
    let mut world = World::new(73, 40, Faults::default());
    world.set_advisor_daemons(30);
    world.granted_of_five = 5;
    world.tickets_expire = true;
    world.advice_ms = 300;
    world.run(300);
    let advice = AdviceSpec { decide_ms: 20.0, each_ms: 0.1, valid_ms: 1_000 };
    for number in 0..2_000 {
        let queue = QueueSpec { target_ms: 60_000, advice: Some(advice), ..queue(1) };
        world.submit(number, job(queue, vec![step(1, 1_000, 500)]));
    }
    world.decision_steps_max = Some(0);
    let mut starts = world.starts;
    for second in (0..12).step_by(3) {
        world.run(3_000);
        assert!(world.starts > starts, "no start for 3 s after {second} s");
        starts = world.starts;
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}
