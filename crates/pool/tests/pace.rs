//! Tasks that fill beside tasks that serve users.

mod world;

use stoatwell_pool::StepSpec;

use self::world::Faults;
use self::world::World;
use self::world::job;
use self::world::queue;
use self::world::step;

/// One worker with a task that serves and three that fill, which have just begun.
fn serving_beside_fillers(seed: u64) -> World {
    let mut world = World::new(seed, 1, Faults::default());
    world.run(100);
    let serving =
        StepSpec { long_running: true, response_target_ms: Some(100), ..step(1, 4_000, 600_000) };
    world.submit(1, job(queue(0), vec![serving]));
    let filling = StepSpec { fills: true, ..step(3, 2_000, 120_000) };
    world.submit(2, job(queue(2), vec![filling]));
    world.run(400);
    assert_eq!(world.filling_percent(), 300, "they begin at full pace");
    world
}

/// Three fillers at full pace make a serving task three times as slow as its users
/// expect. The fillers are slowed before a second or two have passed; users of the
/// service would otherwise wait for as long as the batch beside it runs.
#[test]
fn fillers_make_way_for_a_task_that_serves() {
    let mut world = serving_beside_fillers(23);
    world.run(2_200);
    assert!(world.filling_percent() < 100, "{}", world.filling_percent());
    world.run(5_000);
    assert_eq!(world.starts, 4, "what is slowed on purpose does not count as held up");
    assert!(world.broken.is_empty(), "{:?}", world.broken.first());
}

/// The order that slows a filler gets lost. It is given again with the next report;
/// the service would otherwise stay slow, since the scheduler believes it was heard.
#[test]
fn a_pace_that_was_not_answered_is_set_again() {
    let mut world = serving_beside_fillers(29);
    world.faults.lost_calls = 400;
    world.run(6_000);
    world.faults = Faults::default();
    world.run(6_000);
    assert!(world.filling_percent() < 100, "{}", world.filling_percent());
    assert!(world.broken.is_empty(), "{:?}", world.broken.first());
}

/// Nothing serves beside the fillers, and they work at full pace.
#[test]
fn fillers_alone_are_not_slowed() {
    let mut world = World::new(31, 1, Faults::default());
    world.run(100);
    let filling = StepSpec { fills: true, ..step(3, 2_000, 60_000) };
    world.submit(2, job(queue(2), vec![filling]));
    world.run(4_000);
    assert_eq!(world.filling_percent(), 300);
}
