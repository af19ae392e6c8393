//! The failures of the brief, one by one and in the pairs that are worst.

use stoatwell_catalogue::Item;
use stoatwell_catalogue::edit::EditKind;
use stoatwell_catalogue::target_key;
use stoatwell_engine::Answer;
use stoatwell_model::Code;
use stoatwell_model::JobId;
use stoatwell_model::JobRecord;
use stoatwell_model::JobState;
use stoatwell_model::Outcome;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::Target;
use stoatwell_model::TargetState;
use stoatwell_model::WorkerId;
use stoatwell_model::target::TargetChange;
use stoatwell_world::World;
use stoatwell_world::layout::Layout;
use stoatwell_world::layout::daemons;

const LONG: &str = r#"{"run_ms":4000,"answer":"done"}"#;
const SHORT: &str = r#"{"run_ms":100,"answer":"done"}"#;

fn job(key: &str) -> JobId {
    JobId::of_key(&OwnerName::new("nyaysetu"), key)
}

fn record(world: &mut World, key: &str) -> Option<JobRecord> {
    serde_json::from_str(&world.row(&format!("job/{}", job(key)))).ok()
}

fn outcome(world: &mut World, key: &str) -> Option<Outcome> {
    record(world, key)?.outcome
}

/// Runs until the job's outcome is durable; gives how long that took.
fn until_final(world: &mut World, key: &str, limit_ms: u64) -> u64 {
    let started_ms = world.now_ms;
    while outcome(world, key).is_none() {
        assert!(world.now_ms < started_ms + limit_ms, "{key} has no outcome after {limit_ms} ms");
        world.run_ms(50);
    }
    world.now_ms - started_ms
}

fn settled() -> World {
    let layout = Layout::default();
    let mut world = World::new(1, &layout);
    world.checker.capacity = Some(layout.capacity);
    world.run_ms(4_000);
    world
}

fn edit_target(world: &mut World, node: usize, worker: &WorkerId, change: TargetChange) -> u64 {
    world.edit(node, &target_key(worker), EditKind::Target(worker.clone(), change), None)
}

fn target(world: &mut World, node: usize, worker: &WorkerId) -> Target {
    world.engine(node).catalogue().target(worker).cloned().expect("a target")
}

/// An entry instance is gone without a word. Its callers see their connections
/// end, and its workers must serve again soon.
#[test]
fn zone_serves_again_after_a_holder_died() {
    let mut world = settled();
    world.submit(0, "bundle", "running", 8, LONG);
    world.run_ms(1_000);
    world.crash(0);
    let ticket = world.submit(1, "urgent", "after", 2, SHORT);
    let took_ms = until_final(&mut world, "after", 10_000);
    assert!(world.job_answer(ticket).is_some_and(|answer| answer.is_ok()));
    assert!(took_ms < 4_000, "urgent work took {took_ms} ms after a death");
    until_final(&mut world, "running", 20_000);
    assert_eq!(
        world.checker.start_count(job("running")),
        8,
        "running tasks went on and were found again"
    );
    let dump = world.engine(1).dump();
    let zone = dump.workers.iter().filter(|worker| worker.lease_left_ms.is_some()).count();
    let other = world.engine(2).dump();
    let others = other.workers.iter().filter(|worker| worker.lease_left_ms.is_some()).count();
    assert_eq!(zone + others, 4, "the living daemons hold all workers of the zone");
}

/// A daemon is frozen in the middle of its work, its workers and jobs go to
/// others, and then it wakes up and goes on where it was. A packet would run
/// in two places.
#[test]
fn paused_daemon_that_wakes_up_starts_nothing_twice() {
    for seed in 0..20 {
        let mut world = World::new(seed, &Layout::default());
        world.run_ms(4_000);
        for number in 0..6 {
            world.submit(0, "solo", &format!("solo-{number}"), 2, LONG);
            world.submit(0, "route", &format!("route-{number}"), 1, LONG);
            world.run_ms(20);
        }
        world.pause(0, 8_000);
        world.run_ms(30_000);
        for number in 0..6 {
            until_final(&mut world, &format!("solo-{number}"), 30_000);
            until_final(&mut world, &format!("route-{number}"), 30_000);
            assert!(world.checker.start_count(job(&format!("route-{number}"))) <= 1);
        }
    }
}

/// The platform's store is down for a long time and the daemon that runs the
/// jobs dies meanwhile. Nothing may be lost, and what runs goes on.
#[test]
fn store_down_while_a_holder_dies_loses_nothing() {
    let mut world = settled();
    world.submit(0, "bundle", "batch", 6, LONG);
    world.submit(0, "route", "route", 1, LONG);
    world.run_ms(1_000);
    let before = (world.checker.start_count(job("batch")), world.checker.start_count(job("route")));
    world.store_down = true;
    world.run_ms(500);
    world.crash(0);
    let refused = world.submit(1, "route", "during", 1, SHORT);
    world.run_ms(60_000);
    let failure = world.job_answer(refused).and_then(Result::err).expect("refused");
    assert_eq!(failure.code, Code::StoreUnavailable);
    let at_once = world.submit(1, "route", "during-2", 1, SHORT);
    assert!(world.job_answer(at_once).is_some(), "known to be down, it refuses at once");
    world.store_down = false;
    world.restart(0);
    until_final(&mut world, "batch", 30_000);
    until_final(&mut world, "route", 30_000);
    assert!(matches!(outcome(&mut world, "route"), Some(Outcome::Done { .. })));
    assert_eq!(
        (world.checker.start_count(job("batch")), world.checker.start_count(job("route"))),
        before
    );
}

/// Every second answer of the store is lost after its write took effect. Taken
/// for failures, acceptances would be made twice and outcomes forgotten.
#[test]
fn lost_answers_are_told_apart_from_failures() {
    let mut world = settled();
    world.lost_permille = 500;
    for number in 0..10 {
        world.submit(number % 3, "route", &format!("r{number}"), 1, SHORT);
        world.run_ms(200);
    }
    world.run_ms(30_000);
    for number in 0..10 {
        let key = format!("r{number}");
        if record(&mut world, &key).is_some() {
            until_final(&mut world, &key, 30_000);
            assert_eq!(world.checker.start_count(job(&key)), 1);
        } else {
            assert_eq!(world.checker.start_count(job(&key)), 0);
        }
    }
    let recovered: u64 = (0..3).map(|node| world.engine(node).dump().store.commits.recovered).sum();
    assert!(recovered > 0, "some lost answers were found to have taken effect");
}

/// A target goes to the other half while it is full of work. New work of the
/// old owner there would belong to nobody.
#[test]
fn target_changes_hands_without_new_work_after_two_seconds() {
    let mut world = settled();
    let worker = WorkerId::new("zone-a-w1");
    for number in 0..30 {
        world.submit(number % 3, "bundle", &format!("fill-{number}"), 4, LONG);
    }
    world.run_ms(2_000);
    let ticket = edit_target(
        &mut world,
        1,
        &worker,
        TargetChange::Start { owner: OwnerName::new("bluebonnet") },
    );
    world.run_ms(100);
    assert!(matches!(world.answer(ticket), Some(Answer::Edited(Ok(_)))));
    world.checker.forbid_starts(&worker, world.now_ms + 2_000);
    for number in 0..30 {
        world.submit(number % 3, "bundle", &format!("more-{number}"), 4, LONG);
        world.run_ms(200);
    }
    for node in 0..4 {
        let found = target(&mut world, node, &worker);
        assert_eq!(
            (found.state, found.owner.as_str()),
            (TargetState::Serving, "bluebonnet"),
            "at daemon {node}"
        );
    }
    for number in 0..30 {
        until_final(&mut world, &format!("fill-{number}"), 120_000);
    }
}

/// The zone of a leaving target is cut off from the store. It learns of the
/// change through its peers, or the target would go on taking work.
#[test]
fn drain_reaches_a_daemon_cut_off_from_the_store() {
    let mut world = settled();
    for node in 0..3 {
        world.store_cut.insert(node);
    }
    let worker = WorkerId::new("zone-a-w2");
    let ticket = edit_target(&mut world, 3, &worker, TargetChange::Drain);
    let mut waited_ms = 0;
    while (0..3).any(|node| target(&mut world, node, &worker).state != TargetState::Draining) {
        world.run_ms(50);
        waited_ms += 50;
        assert!(waited_ms <= 4_000, "the change is not in force in the zone that is cut off");
    }
    assert!(matches!(world.answer(ticket), Some(Answer::Edited(Ok(_)))));
}

/// A zone loses the platform and all other zones. Its requests that may be
/// repeated are answered, its running work goes on, and what would have to be
/// recorded is refused with a number.
#[test]
fn zone_cut_off_serves_what_it_can() {
    let mut world = settled();
    world.submit(0, "bundle", "accepted-before", 12, LONG);
    world.run_ms(500);
    for node in 0..3 {
        world.store_cut.insert(node);
        world.cut_peers(node, 3);
    }
    world.run_ms(5_000);
    let lookup = world.submit(1, "headcount", "lookup", 1, "which floor");
    let booking = world.submit(1, "booking", "booking", 1, "ramp");
    world.run_ms(10_000);
    let view = world.job_answer(lookup).expect("an answer").expect("served");
    assert_eq!(view.state, JobState::Done);
    let failure = world.job_answer(booking).expect("an answer").expect_err("it cannot be recorded");
    assert_eq!(failure.code, Code::StoreUnavailable);
    assert_eq!(world.checker.request_count(job("booking")), 0);
    assert_eq!(
        world.checker.start_count(job("accepted-before")),
        12,
        "accepted work went on starting"
    );
    world.heal();
    until_final(&mut world, "accepted-before", 20_000);
    assert_eq!(world.checker.start_count(job("accepted-before")), 12);
}

/// All daemons of a zone are lost and do not come back. Jobs that wait there
/// would wait for ever.
#[test]
fn jobs_of_a_dead_zone_go_to_another() {
    let layout =
        Layout { daemons: daemons(&[("zone-a", 2), ("zone-b", 2)], "region"), ..Layout::default() };
    let mut world = World::new(2, &layout);
    world.run_ms(4_000);
    let node = world.nodes_in_zone("zone-b")[0];
    for number in 0..40 {
        world.submit(node, "bundle", &format!("b{number}"), 4, LONG);
    }
    world.run_ms(500);
    for node in world.nodes_in_zone("zone-b") {
        world.crash(node);
    }
    for worker in layout.worker_ids("zone-b") {
        world.kill_worker(&worker);
    }
    for number in 0..40 {
        if record(&mut world, &format!("b{number}")).is_some() {
            until_final(&mut world, &format!("b{number}"), 400_000);
            assert!(matches!(
                outcome(&mut world, &format!("b{number}")),
                Some(Outcome::Done { .. })
            ));
        }
    }
}

/// A worker's power fails under a route batch and a packet. The batch may have
/// sent its vans, so nobody may claim that it did not run or run it again; the
/// packet runs again, but only once the first run has surely ended.
#[test]
fn dead_worker_leaves_the_truth() {
    let mut world = settled();
    world.submit(0, "route", "route", 1, LONG);
    world.submit(0, "solo", "solo", 1, LONG);
    world.run_ms(1_000);
    for key in ["route", "solo"] {
        let intent = record(&mut world, key).expect("recorded").intents[0].clone();
        world.kill_worker(&intent.worker);
    }
    until_final(&mut world, "route", 60_000);
    until_final(&mut world, "solo", 60_000);
    assert!(matches!(
        outcome(&mut world, "route"),
        Some(Outcome::Unknown { code: Code::OutcomeUnknown, .. })
    ));
    assert!(matches!(outcome(&mut world, "solo"), Some(Outcome::Done { .. })));
    assert_eq!(world.checker.start_count(job("route")), 1);
}

/// A thousand jobs are cancelled at once, most of them still waiting. A job
/// that was started must not be told as not run.
#[test]
fn cancellation_wave_tells_the_truth_of_each_job() {
    let mut world = settled();
    for number in 0..300 {
        world.submit(number % 3, "route", &format!("c{number}"), 1, LONG);
    }
    world.run_ms(1_500);
    for number in 0..300 {
        world.cancel(number % 3, job(&format!("c{number}")));
    }
    world.run_ms(10_000);
    let (mut not_run, mut ran) = (0, 0);
    for number in 0..300 {
        let key = format!("c{number}");
        let starts = world.checker.start_count(job(&key));
        match outcome(&mut world, &key) {
            Some(Outcome::NotRun { code, .. }) => {
                assert_eq!((code, starts), (Code::CancelledBeforeStart, 0));
                not_run += 1;
            }
            Some(Outcome::Failed { .. } | Outcome::Done { .. }) => {
                assert_eq!(starts, 1);
                ran += 1;
            }
            other => panic!("{key}: {other:?}"),
        }
    }
    assert!(not_run > 100 && ran > 10, "{not_run} not run, {ran} run");
}

/// A gang needs more room than any one holder has, while each holds a part of
/// it. Waiting for a holder that is large enough would be waiting for ever.
#[test]
fn gang_wider_than_a_holder_starts_over_several() {
    let mut world = settled();
    let free: Vec<u64> = (0..3)
        .map(|node| {
            world.engine(node).dump().workers.iter().map(|worker| worker.free.accelerators).sum()
        })
        .collect();
    assert!(free.iter().all(|free| *free < 8), "no holder has all of it: {free:?}");
    world.submit(0, "packet", "wide", 8, SHORT);
    until_final(&mut world, "wide", 30_000);
    assert!(matches!(outcome(&mut world, "wide"), Some(Outcome::Done { .. })));
    assert_eq!(world.checker.start_count(job("wide")), 8, "all or none, and once");
}

/// A service's worker dies. Its users notice until the replacement runs.
#[test]
fn service_is_replaced_after_its_worker_died() {
    let mut world = settled();
    world.submit(0, "desk", "desk", 3, r#"{"forever":true}"#);
    world.run_ms(3_000);
    let view = world.engine(0).dump();
    assert_eq!(view.jobs.some[0].tasks.get("running"), Some(&3));
    let dead = world.workers.iter().find(|(_, worker)| worker.running().next().is_some());
    let dead = dead.map(|(id, _)| id.clone()).expect("it runs somewhere");
    world.kill_worker(&dead);
    world.run_ms(30_000);
    let running: usize = world
        .workers
        .iter()
        .filter(|(id, _)| **id != dead)
        .map(|(_, worker)| worker.running().count())
        .sum();
    assert_eq!(running, 3, "three replicas run on living workers");
}

/// Something else uses most of a shared target. Work placed there on top would
/// crowd it out.
#[test]
fn foreign_use_is_left_alone() {
    let mut world = settled();
    let taken = Resources { cpu_millis: 7_000, ..Resources::ZERO };
    let ids: Vec<WorkerId> = world.workers.keys().cloned().collect();
    for id in &ids {
        world.workers.get_mut(id).expect("it is there").set_foreign(taken);
    }
    world.run_ms(2_000);
    world.submit(0, "bundle", "too-large", 4, SHORT);
    world.submit(0, "route", "fits", 1, SHORT);
    until_final(&mut world, "fits", 10_000);
    assert_eq!(world.checker.start_count(job("too-large")), 0, "two cores are free nowhere");
    for id in &ids {
        world.workers.get_mut(id).expect("it is there").set_foreign(Resources::ZERO);
    }
    until_final(&mut world, "too-large", 20_000);
}

/// A share of the traffic goes back to the old ordering screens. An order that
/// stoatwell had taken before must not be told as one for the old screens, or
/// both would run it.
#[test]
fn order_taken_before_the_share_moved_is_joined() {
    let mut world = settled();
    world.submit(0, "route", "order-1", 1, SHORT);
    until_final(&mut world, "order-1", 10_000);
    let Some(Item::Work(mut entry)) =
        world.engine(0).catalogue().get("work/route").map(|found| found.item.clone())
    else {
        panic!("the entry is there");
    };
    entry.traffic_permille = 0;
    world.edit(0, "work/route", EditKind::Put(Item::Work(entry)), None);
    world.run_ms(2_000);
    let again = world.submit(2, "route", "order-1", 1, SHORT);
    let fresh = world.submit(2, "route", "order-2", 1, SHORT);
    world.run_ms(2_000);
    assert_eq!(world.job_answer(again).expect("an answer").expect("joined").state, JobState::Done);
    let failure =
        world.job_answer(fresh).expect("an answer").expect_err("it stays with the old system");
    assert_eq!(failure.code, Code::StaysWithOldSystem);
    assert_eq!(world.checker.start_count(job("order-1")), 1);
    assert_eq!(world.checker.start_count(job("order-2")), 0);
}

/// Two entry instances get the same key with different content, one after the
/// other. Taking either silently would lose the other.
#[test]
fn key_with_other_content_is_refused_everywhere() {
    let mut world = settled();
    world.submit(0, "route", "key", 1, SHORT);
    world.run_ms(1_000);
    let near = world.submit(1, "route", "key", 1, LONG);
    let far = world.submit(3, "route", "key", 1, LONG);
    world.run_ms(1_000);
    for ticket in [near, far] {
        let failure = world.job_answer(ticket).expect("an answer").expect_err("refused");
        assert_eq!(failure.code, Code::KeyReused);
    }
}

/// Records of finished jobs pile up in the platform's table, which is paid for
/// and shared.
#[test]
fn finished_records_are_removed_after_their_time() {
    let mut world = settled();
    for node in &mut world.nodes {
        node.settings.ledger.retention_ms = 1_000;
    }
    for node in 0..4 {
        world.crash(node);
        world.restart(node);
    }
    world.run_ms(4_000);
    for number in 0..20 {
        world.submit(0, "bundle", &format!("old-{number}"), 1, SHORT);
    }
    world.run_ms(5_000);
    assert!(world.rows("job/").len() >= 20);
    // Rows go by whole hours.
    world.run_ms(2 * 60 * 60 * 1_000);
    assert_eq!(world.rows("job/").len(), 0);
    assert_eq!(world.rows("done/").len(), 0);
}

/// Only one task of an entry may run in the whole cell, whichever daemon runs
/// its job. Split by rounding down, nobody would be allowed any.
#[test]
fn limit_of_one_task_holds_over_all_daemons() {
    let mut world = settled();
    let Some(Item::Work(mut entry)) =
        world.engine(0).catalogue().get("work/route").map(|found| found.item.clone())
    else {
        panic!("the entry is there");
    };
    entry.limits.running_tasks = 1;
    world.edit(0, "work/route", EditKind::Put(Item::Work(entry)), None);
    world.run_ms(2_000);
    for node in 0..3 {
        world.submit(node, "route", &format!("one-{node}"), 2, SHORT);
    }
    let mut done = 0;
    for _ in 0..2_000 {
        world.run_ms(50);
        let running: usize = world.workers.values().map(|worker| worker.running().count()).sum();
        assert!(running <= 1, "{running} tasks run at once");
        done = (0..3).filter(|node| outcome(&mut world, &format!("one-{node}")).is_some()).count();
        if done == 3 {
            break;
        }
    }
    assert_eq!(done, 3, "each comes to its turn");
}
