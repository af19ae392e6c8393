//! Single failures, and the worst pairs of them, that the daemons must handle together.

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
    JobId::from_key(&OwnerName::new("nyaysetu"), key)
}

fn record(world: &mut World, key: &str) -> Option<JobRecord> {
    serde_json::from_str(&world.row(&format!("job/{}", job(key)))).ok()
}

fn outcome(world: &mut World, key: &str) -> Option<Outcome> {
    record(world, key)?.outcome
}

/// Runs until the job's outcome is durable and returns how long that took.
fn run_until_outcome(world: &mut World, key: &str, limit_ms: u64) -> u64 {
    let started_ms = world.now_ms;
    while outcome(world, key).is_none() {
        assert!(world.now_ms < started_ms + limit_ms, "{key} has no outcome after {limit_ms} ms");
        world.run_ms(50);
    }
    world.now_ms - started_ms
}

fn warmed_up_world() -> World {
    let layout = Layout::default();
    let mut world = World::new(1, &layout);
    world.checker.capacity = Some(layout.capacity);
    world.run_ms(4_000);
    world
}

fn holds_workers(world: &mut World, node: usize) -> bool {
    world.engine(node).dump().workers.iter().any(|worker| worker.lease_left_ms.is_some())
}

fn edit_target(world: &mut World, node: usize, worker: &WorkerId, change: TargetChange) -> u64 {
    world.edit(node, &target_key(worker), EditKind::Target(worker.clone(), change), None)
}

fn target(world: &mut World, node: usize, worker: &WorkerId) -> Target {
    world.engine(node).catalogue().target(worker).cloned().expect("a target")
}

/// A daemon crashes, which ends the connections of its callers. Within seconds, the other
/// daemons of the zone must take over its jobs and hold its workers.
#[test]
fn zone_serves_again_after_a_holder_died() {
    let mut world = warmed_up_world();
    world.submit(0, "bundle", "running", 8, LONG);
    world.run_ms(1_000);
    world.crash(0);
    let ticket = world.submit(1, "urgent", "after", 2, SHORT);
    let took_ms = run_until_outcome(&mut world, "after", 10_000);
    assert!(world.job_answer(ticket).is_some_and(|answer| answer.is_ok()));
    assert!(took_ms < 4_000, "urgent work took {took_ms} ms after the crash");
    run_until_outcome(&mut world, "running", 20_000);
    assert_eq!(
        world.checker.start_count(job("running")),
        8,
        "running tasks continued and were found again"
    );
    let dump = world.engine(1).dump();
    let held_by_1 = dump.workers.iter().filter(|worker| worker.lease_left_ms.is_some()).count();
    let dump = world.engine(2).dump();
    let held_by_2 = dump.workers.iter().filter(|worker| worker.lease_left_ms.is_some()).count();
    assert_eq!(held_by_1 + held_by_2, 4, "the live daemons hold all workers of the zone");
}

/// A daemon is paused while it works. Other daemons take over its jobs and acquire the
/// leases on its workers, and then it resumes where it stopped. Without fencing, an
/// exclusive task would run in two places.
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
            run_until_outcome(&mut world, &format!("solo-{number}"), 30_000);
            run_until_outcome(&mut world, &format!("route-{number}"), 30_000);
            assert!(world.checker.start_count(job(&format!("route-{number}"))) <= 1);
        }
    }
}

/// The platform's store is down for a minute, and the daemon that coordinates
/// the jobs crashes meanwhile. No job may be lost, and running tasks continue.
#[test]
fn store_down_while_a_holder_dies_loses_nothing() {
    let mut world = warmed_up_world();
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
    assert!(
        world.job_answer(at_once).is_some(),
        "the store is known to be down, so it refuses at once"
    );
    world.store_down = false;
    world.restart(0);
    run_until_outcome(&mut world, "batch", 30_000);
    run_until_outcome(&mut world, "route", 30_000);
    assert!(matches!(outcome(&mut world, "route"), Some(Outcome::Done { .. })));
    assert_eq!(
        (world.checker.start_count(job("batch")), world.checker.start_count(job("route"))),
        before
    );
}

/// Every second reply of the store is lost after its write took effect. If these
/// writes counted as failed, jobs would be accepted twice and outcomes lost.
#[test]
fn lost_answers_are_told_apart_from_failures() {
    let mut world = warmed_up_world();
    world.lost_permille = 500;
    for number in 0..10 {
        world.submit(number % 3, "route", &format!("r{number}"), 1, SHORT);
        world.run_ms(200);
    }
    world.run_ms(30_000);
    for number in 0..10 {
        let key = format!("r{number}");
        if record(&mut world, &key).is_some() {
            run_until_outcome(&mut world, &key, 30_000);
            assert_eq!(world.checker.start_count(job(&key)), 1);
        } else {
            assert_eq!(world.checker.start_count(job(&key)), 0);
        }
    }
    let recovered: u64 = (0..3).map(|node| world.engine(node).dump().store.commits.recovered).sum();
    assert!(recovered > 0, "some lost answers were found to have taken effect");
}

/// A target moves to the other owner while it is full of work. No new work of the
/// old owner may start there two seconds after the change.
#[test]
fn reassigned_target_gets_no_new_work_after_two_seconds() {
    let mut world = warmed_up_world();
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
        run_until_outcome(&mut world, &format!("fill-{number}"), 120_000);
    }
}

/// The zone of a draining target is cut off from the store. It must learn of the
/// change from peers in other zones; otherwise the target would keep taking work.
#[test]
fn drain_reaches_a_daemon_cut_off_from_the_store() {
    let mut world = warmed_up_world();
    for node in 0..3 {
        world.store_cut.insert(node);
    }
    let worker = WorkerId::new("zone-a-w2");
    let ticket = edit_target(&mut world, 3, &worker, TargetChange::Drain);
    let mut waited_ms = 0;
    while (0..3).any(|node| target(&mut world, node, &worker).state != TargetState::Draining) {
        world.run_ms(50);
        waited_ms += 50;
        assert!(waited_ms <= 4_000, "the zone that is cut off did not apply the change");
    }
    assert!(matches!(world.answer(ticket), Some(Answer::Edited(Ok(_)))));
}

/// A zone is cut off from the store and all other zones. It still answers
/// idempotent requests and continues accepted work, and it rejects work that has
/// to be recorded with a result code.
#[test]
fn zone_cut_off_serves_what_it_can() {
    let mut world = warmed_up_world();
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
        "accepted tasks continued to start"
    );
    world.heal();
    run_until_outcome(&mut world, "accepted-before", 20_000);
    assert_eq!(world.checker.start_count(job("accepted-before")), 12);
}

/// All daemons and workers of a zone are lost for good. Unless another zone takes
/// its jobs over, they would wait forever.
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
            run_until_outcome(&mut world, &format!("b{number}"), 400_000);
            assert!(matches!(
                outcome(&mut world, &format!("b{number}")),
                Some(Outcome::Done { .. })
            ));
        }
    }
}

/// The workers of an at-most-once task and of an exclusive task fail. The first
/// task may have taken effect, so its outcome is unknown and it never runs again.
/// The second runs again, but only once its first run has certainly ended.
#[test]
fn dead_worker_gives_truthful_outcomes() {
    let mut world = warmed_up_world();
    world.submit(0, "route", "route", 1, LONG);
    world.submit(0, "solo", "solo", 1, LONG);
    world.run_ms(1_000);
    for key in ["route", "solo"] {
        let intent = record(&mut world, key).expect("recorded").intents[0].clone();
        world.kill_worker(&intent.worker);
    }
    run_until_outcome(&mut world, "route", 60_000);
    run_until_outcome(&mut world, "solo", 60_000);
    assert!(matches!(
        outcome(&mut world, "route"),
        Some(Outcome::Unknown { code: Code::OutcomeUnknown, .. })
    ));
    assert!(matches!(outcome(&mut world, "solo"), Some(Outcome::Done { .. })));
    assert_eq!(world.checker.start_count(job("route")), 1);
}

/// 300 jobs are cancelled at once, many of them still waiting. A job whose task
/// started must not be reported as "not run".
#[test]
fn mass_cancellation_reports_which_jobs_ran() {
    let mut world = warmed_up_world();
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

/// A gang needs more capacity than any one daemon holds. If it waited for a daemon
/// with enough capacity, it would wait forever.
#[test]
fn gang_larger_than_a_holder_starts_on_several() {
    let mut world = warmed_up_world();
    let free: Vec<u64> = (0..3)
        .map(|node| {
            world.engine(node).dump().workers.iter().map(|worker| worker.free.accelerators).sum()
        })
        .collect();
    assert!(free.iter().all(|free| *free < 8), "a single daemon has enough capacity: {free:?}");
    world.submit(0, "packet", "wide", 8, SHORT);
    run_until_outcome(&mut world, "wide", 30_000);
    assert!(matches!(outcome(&mut world, "wide"), Some(Outcome::Done { .. })));
    assert_eq!(world.checker.start_count(job("wide")), 8, "all or none, and once");
}

/// A worker that runs tasks of a service dies. The service is degraded until the
/// replacements run on other workers.
#[test]
fn service_is_replaced_after_its_worker_died() {
    let mut world = warmed_up_world();
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

/// Other software uses most of each shared worker. Tasks that need more than the
/// rest must wait, or they would slow that software down.
#[test]
fn capacity_in_foreign_use_is_not_allocated() {
    let mut world = warmed_up_world();
    let foreign = Resources { cpu_millis: 7_000, ..Resources::ZERO };
    let ids: Vec<WorkerId> = world.workers.keys().cloned().collect();
    for id in &ids {
        world.workers.get_mut(id).expect("it is there").set_foreign(foreign);
    }
    world.run_ms(2_000);
    world.submit(0, "bundle", "too-large", 4, SHORT);
    world.submit(0, "route", "fits", 1, SHORT);
    run_until_outcome(&mut world, "fits", 10_000);
    assert_eq!(world.checker.start_count(job("too-large")), 0, "no worker has two free cores");
    for id in &ids {
        world.workers.get_mut(id).expect("it is there").set_foreign(Resources::ZERO);
    }
    run_until_outcome(&mut world, "too-large", 20_000);
}

/// A share of the traffic moves back to the old system, after a job from this share was
/// accepted. When the job's key is submitted again, it must not be refused as work for the
/// old system, or both systems would run the job.
#[test]
fn order_taken_before_the_share_moved_is_joined() {
    let mut world = warmed_up_world();
    world.submit(0, "route", "order-1", 1, SHORT);
    run_until_outcome(&mut world, "order-1", 10_000);
    let Some(Item::Work(mut entry)) =
        world.engine(0).catalogue().get("work/route").map(|found| found.item.clone())
    else {
        panic!("the entry is there");
    };
    entry.traffic_permille = 0;
    world.edit(0, "work/route", EditKind::Put(Item::Work(entry)), None);
    world.run_ms(2_000);
    let resubmitted = world.submit(2, "route", "order-1", 1, SHORT);
    let fresh = world.submit(2, "route", "order-2", 1, SHORT);
    world.run_ms(2_000);
    assert_eq!(
        world.job_answer(resubmitted).expect("an answer").expect("joined").state,
        JobState::Done
    );
    let failure =
        world.job_answer(fresh).expect("an answer").expect_err("it stays with the old system");
    assert_eq!(failure.code, Code::StaysWithOldSystem);
    assert_eq!(world.checker.start_count(job("order-1")), 1);
    assert_eq!(world.checker.start_count(job("order-2")), 0);
}

/// The same key is submitted with different content at several daemons. Joining it
/// to the first job silently would lose the second submission.
#[test]
fn key_with_other_content_is_refused_everywhere() {
    let mut world = warmed_up_world();
    world.submit(0, "route", "key", 1, SHORT);
    world.run_ms(1_000);
    let same_zone = world.submit(1, "route", "key", 1, LONG);
    let other_zone = world.submit(3, "route", "key", 1, LONG);
    world.run_ms(1_000);
    for ticket in [same_zone, other_zone] {
        let failure = world.job_answer(ticket).expect("an answer").expect_err("refused");
        assert_eq!(failure.code, Code::KeyReused);
    }
}

/// Records of finished jobs must be removed after the retention time, because the
/// platform's table is shared and paid for.
#[test]
fn finished_records_are_removed_after_their_time() {
    let mut world = warmed_up_world();
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
    // Rows are removed only when the whole hour in which they finished is over.
    world.run_ms(2 * 60 * 60 * 1_000);
    assert_eq!(world.rows("job/").len(), 0);
    assert_eq!(world.rows("done/").len(), 0);
}

/// Only one task of an entry may run at a time on the workers of all daemons together,
/// whichever daemons coordinate its jobs. If each daemon's share of the limit were rounded
/// down, no daemon could start any.
#[test]
fn limit_of_one_task_holds_over_all_daemons() {
    let mut world = warmed_up_world();
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
    assert_eq!(done, 3, "every job ran");
}

/// Guards against refusals by a daemon that is ready and has not heard yet who holds the workers.
#[test]
fn daemon_that_just_started_takes_submissions() {
    for seed in 0..40 {
        let mut world = World::new(seed, &Layout::default());
        world.run_ms(4_000);
        world.crash(1);
        world.run_ms(3_000);
        world.restart(1);
        while !world.engine(1).is_ready() {
            world.run_ms(1);
        }
        let batch = world.submit(1, "bundle", "early-batch", 2, SHORT);
        let booking = world.submit(1, "booking", "early-booking", 1, "");
        world.run_ms(2_500);
        for ticket in [batch, booking] {
            let answer = world.job_answer(ticket).expect("an answer");
            assert!(answer.is_ok(), "seed {seed}: {answer:?}");
        }
    }
}

/// Guards against refusals while a stopping daemon hands the only worker over.
#[test]
fn requests_wait_while_the_only_worker_changes_hands() {
    let layout = Layout {
        daemons: daemons(&[("zone-a", 2)], "region"),
        workers_per_zone: 1,
        ..Layout::default()
    };
    for seed in 0..10 {
        let mut world = World::new(seed, &layout);
        world.run_ms(4_000);
        let holder = usize::from(holds_workers(&mut world, 1));
        world.stop(holder);
        let mut tickets = Vec::new();
        for number in 0..20 {
            tickets.push(world.submit(1 - holder, "booking", &format!("booking-{number}"), 1, ""));
            tickets.push(world.submit(1 - holder, "bundle", &format!("batch-{number}"), 1, SHORT));
            world.run_ms(25);
        }
        world.run_ms(3_000);
        for ticket in tickets {
            let answer = world.job_answer(ticket).expect("an answer");
            assert!(answer.is_ok(), "seed {seed}: {answer:?}");
        }
    }
}

/// Guards against a caller that repeats its booking elsewhere and gets no answer, or another one.
#[test]
fn booking_repeated_at_another_daemon_gets_the_same_answer() {
    let layout =
        Layout { daemons: daemons(&[("zone-a", 1), ("zone-b", 1)], "region"), ..Layout::default() };
    for seed in 0..400 {
        let mut world = World::new(seed, &layout);
        while (0..2).any(|node| !holds_workers(&mut world, node)) {
            world.run_ms(1);
        }
        world.run_ms(seed * 5 % 1_000);
        let first = world.submit(0, "booking", "repeated", 1, "");
        world.run_ms(seed % 23);
        let second = world.submit(1, "booking", "repeated", 1, "");
        world.run_ms(4_000);
        let answers = [first, second].map(|ticket| world.job_answer(ticket).expect("an answer"));
        let [first, second] = answers.map(|answer| answer.map(|view| view.outcome));
        assert!(matches!(first, Ok(Some(Outcome::Done { .. }))), "seed {seed}: {first:?}");
        assert_eq!(first, second, "seed {seed}");
        assert_eq!(world.checker.request_count(job("repeated")), 1, "seed {seed}");
    }
}

/// Guards against a forwarded request that is answered as unknown while its minion works.
#[test]
fn forwarded_request_is_answered_when_its_work_ends() {
    let layout = Layout {
        daemons: daemons(&[("zone-a", 2)], "region"),
        workers_per_zone: 1,
        ..Layout::default()
    };
    for seed in 0..200 {
        let mut world = World::new(seed, &layout);
        world.run_ms(4_000);
        let holder = usize::from(holds_workers(&mut world, 1));
        let ticket = world.submit(1 - holder, "booking", "long", 1, "");
        world.run_ms(3_000);
        let outcome = world.job_answer(ticket).expect("an answer").map(|view| view.outcome);
        assert!(matches!(outcome, Ok(Some(Outcome::Done { .. }))), "seed {seed}: {outcome:?}");
    }
}
