//! A scheduler whose process stands still while its workers run on, in virtual time.

mod world;

use stoatwell_pool::JobState;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

/// Guards against runs that are stopped as too slow, because the reports of their progress are older
/// than the scheduler takes them to be.
#[test]
fn workers_are_not_slow_because_the_scheduler_stood_still() {
    let (mut stops, mut starts) = (0, 0);
    for (pause_ms, estimate_ms) in [(900, 800), (1_200, 800), (1_200, 4_000), (2_000, 4_000)] {
        for running_ms in (100..1_000).step_by(30) {
            let mut world = World::new(7, 6, Faults::default());
            world.run(600);
            world.submit(1, job(queue(1), vec![step(36, 2_000, estimate_ms)]));
            world.run(running_ms);
            world.pause_leader(pause_ms);
            world.run(pause_ms + 2 * estimate_ms);
            assert_eq!(world.state(1), Some(JobState::Completed));
            assert!(world.violations.is_empty(), "{:?}", world.violations.first());
            stops += world.stops;
            starts += world.starts;
        }
    }
    assert_eq!((starts, stops), (4 * 30 * 36, 0), "starts and stops");
}

/// Guards against runs that are stopped as stalled, because an answer that was given shortly after
/// another one, and so shows the same progress, waited while the scheduler stood still.
#[test]
fn runs_are_not_stalled_because_the_scheduler_stood_still() {
    let (mut stops, mut starts) = (0, 0);
    for running_ms in (100..1_000).step_by(30) {
        let mut world = World::new(7, 6, Faults::default());
        world.run(600);
        world.submit(1, job(queue(1), vec![step(6, 2_000, 15_000)]));
        world.submit(2, job(queue(1), vec![step(36, 2_000, 400)]));
        world.run(running_ms);
        world.pause_leader(1_500);
        world.run(4_000);
        assert!(world.violations.is_empty(), "{:?}", world.violations.first());
        stops += world.stops;
        starts += world.starts;
    }
    assert_eq!((starts, stops), (30 * 42, 0), "starts and stops");
}

/// Guards against sound workers that get no tasks, since their answers wait while the scheduler
/// stands still, and the connections are reset.
#[test]
fn workers_are_not_silent_because_the_scheduler_stood_still() {
    let mut world = World::new(7, 12, Faults::default());
    world.run(600);
    world.submit(1, job(queue(1), vec![step(48, 3_000, 20_000)]));
    world.run(800);
    world.reset_connections();
    world.pause_leader(1_600);
    world.run(1_620);
    assert_eq!(world.silent_workers(), 0);
    world.run(1_000);
    assert_eq!(world.silent_workers(), 0);
    assert!(world.violations.is_empty(), "{:?}", world.violations.first());
}
