//! Scheduling with wrong demands, failing workers, gangs and lack of capacity.

use std::collections::BTreeSet;

use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::EntryName;
use stoatwell_model::Execution;
use stoatwell_model::JobId;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::Target;
use stoatwell_model::TargetState;
use stoatwell_model::Urgency;
use stoatwell_model::WorkerId;
use stoatwell_model::entry::Weights;
use stoatwell_model::worker::WorkerState;
use stoatwell_placement::Decision;
use stoatwell_placement::Placed;
use stoatwell_placement::Policy;
use stoatwell_placement::Scheduler;
use stoatwell_placement::TaskEnd;
use stoatwell_placement::WaitingJob;

const GIB: u64 = 1 << 30;
const OWNER: &str = "owner";

fn scheduler_with(workers: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(Policy::default());
    for number in 0..workers {
        let worker = WorkerId::new(format!("w{number}"));
        let state = WorkerState {
            worker: worker.clone(),
            capacity: Resources { cpu_millis: 8_000, memory_bytes: 32 * GIB, accelerators: 2 },
            rack: format!("rack{}", number / 2),
            token: 1,
            tasks: Vec::new(),
            minions: Vec::new(),
            foreign: Resources::ZERO,
        };
        let target = Target {
            worker,
            owner: OwnerName::new(OWNER),
            state: TargetState::Serving,
            next_owner: None,
            epoch: 1,
        };
        scheduler.put_worker(0, &state, Some(&target));
    }
    scheduler
}

fn mark_proven(mut scheduler: Scheduler, workers: u32) -> Scheduler {
    for number in 0..workers {
        scheduler
            .health
            .record_success(&WorkerId::new(format!("w{number}")), &EntryName::new("first"));
    }
    let ids: Vec<WorkerId> =
        (0..workers).map(|number| WorkerId::new(format!("w{number}"))).collect();
    for worker in ids {
        scheduler.cell.set_health(&worker, false, None);
    }
    scheduler
}

fn waiting_job(
    number: u64,
    entry: &str,
    class: Class,
    urgency: Urgency,
    tasks: u32,
    cpu_millis: u64,
) -> WaitingJob {
    let job = JobId(u128::from(number));
    WaitingJob {
        job,
        owner: OwnerName::new(OWNER),
        entry: EntryName::new(entry),
        class,
        execution: Execution::Idempotent,
        urgency,
        demand: Resources { cpu_millis, memory_bytes: GIB, accelerators: 0 },
        accepted_ms: 0,
        deadline_ms: 0,
        tasks: (0..tasks).map(|task| AttemptId { job, task, attempt: 1 }).collect(),
        not_before_ms: 0,
    }
}

fn placed(decisions: Vec<Decision>) -> Vec<Placed> {
    let mut all = Vec::new();
    for decision in decisions {
        if let Decision::Start { tasks, .. } = decision {
            all.extend(tasks);
        }
    }
    all
}

/// Every task on a broken worker fails immediately, so the worker always looks empty.
/// Without a limit it would attract all work, which would fail.
#[test]
fn failing_worker_is_quarantined_after_few_starts() {
    let mut scheduler = mark_proven(scheduler_with(6), 6);
    let bad = WorkerId::new("w0");
    let mut wasted = 0;
    for step in 0..400_u64 {
        let now_ms = step * 50;
        for entry in 0..5 {
            let number = step * 10 + entry;
            scheduler.enqueue(waiting_job(
                number,
                &format!("e{entry}"),
                Class::Batch,
                Urgency::Normal,
                1,
                1_000,
            ));
        }
        for task in placed(scheduler.schedule(now_ms, 1_000)) {
            let end = if task.worker == bad { TaskEnd::Failed } else { TaskEnd::Succeeded };
            wasted += u32::from(task.worker == bad);
            scheduler.task_ended(now_ms, &task.worker, task.attempt, end);
        }
    }
    assert!(scheduler.counters.quarantines >= 1);
    assert_eq!(scheduler.counters.held_back, 0, "a healthy entry was held back");
    assert!(wasted <= 24, "{wasted} tasks started on the failing worker in 20 s");
}

/// The tasks of a broken entry fail on every worker. If this counted against the
/// workers, one healthy worker after the other would be quarantined.
#[test]
fn failing_entry_quarantines_no_worker() {
    let mut scheduler = mark_proven(scheduler_with(6), 6);
    for step in 0..100_u64 {
        let now_ms = step * 50;
        scheduler.enqueue(waiting_job(step * 2, "broken", Class::Batch, Urgency::Normal, 2, 1_000));
        scheduler.enqueue(waiting_job(
            step * 2 + 1,
            "sound",
            Class::Batch,
            Urgency::Normal,
            6,
            500,
        ));
        for task in placed(scheduler.schedule(now_ms, 1_000)) {
            let broken = task.attempt.job.0 % 2 == 0;
            let end = if broken { TaskEnd::Failed } else { TaskEnd::Succeeded };
            scheduler.task_ended(now_ms, &task.worker, task.attempt, end);
        }
    }
    assert!(scheduler.counters.held_back >= 1, "the failing entry was not held back");
    assert_eq!(scheduler.counters.quarantines, 0, "a healthy worker was quarantined");
}

/// Urgent work arrives while the cell is full of patient work. It must not wait for
/// batch jobs that take hours, and the eviction must lose as little work as possible.
#[test]
fn urgent_work_evicts_patient_work() {
    let mut scheduler = mark_proven(scheduler_with(2), 2);
    scheduler.enqueue(waiting_job(1, "old", Class::Batch, Urgency::Patient, 2, 4_000));
    let old = placed(scheduler.schedule(0, 100));
    scheduler.enqueue(waiting_job(2, "young", Class::Batch, Urgency::Patient, 2, 4_000));
    let young: BTreeSet<AttemptId> =
        placed(scheduler.schedule(60_000, 100)).iter().map(|task| task.attempt).collect();
    assert_eq!((old.len(), young.len()), (2, 2), "the cell is not full");
    scheduler.enqueue(waiting_job(3, "urgent", Class::Batch, Urgency::Urgent, 1, 4_000));
    let urgent = placed(scheduler.schedule(61_000, 100));
    assert_eq!(urgent.len(), 1);
    assert_eq!(urgent[0].evict.len(), 1);
    assert!(
        young.contains(&urgent[0].evict[0]),
        "the evicted task is not the one that loses the least work"
    );
}

/// A job that runs at most once may have had effects already, so it could not run
/// again after being stopped for urgent work.
#[test]
fn at_most_once_work_is_never_evicted() {
    let mut scheduler = mark_proven(scheduler_with(1), 1);
    let mut once = waiting_job(1, "once", Class::Batch, Urgency::Patient, 2, 4_000);
    once.execution = Execution::AtMostOnce;
    scheduler.enqueue(once);
    assert_eq!(placed(scheduler.schedule(0, 100)).len(), 2);
    scheduler.enqueue(waiting_job(2, "urgent", Class::Batch, Urgency::Urgent, 1, 4_000));
    assert!(placed(scheduler.schedule(1_000, 100)).is_empty());
    let reasons = scheduler.pending_reasons(1_000, JobId(2));
    assert!(reasons.iter().any(|reason| reason.contains("processors")), "{reasons:?}");
}

/// Part of a gang is of no use. Two gangs that have each started in part and wait for each
/// other's capacity would block these workers for ever.
#[test]
fn gangs_start_as_a_whole_and_do_not_deadlock() {
    let mut scheduler = mark_proven(scheduler_with(2), 2);
    scheduler.enqueue(waiting_job(1, "left", Class::Gang, Urgency::Normal, 3, 4_000));
    scheduler.enqueue(waiting_job(2, "right", Class::Gang, Urgency::Normal, 3, 4_000));
    let first = placed(scheduler.schedule(0, 100));
    assert_eq!(first.len(), 3, "one gang starts as a whole");
    for task in &first {
        scheduler.task_ended(1_000, &task.worker, task.attempt, TaskEnd::Succeeded);
    }
    let second = placed(scheduler.schedule(1_000, 100));
    assert_eq!(second.len(), 3, "then the other one starts");
    assert_ne!(first[0].attempt.job, second[0].attempt.job);
}

/// Small jobs keep arriving and fill every gap, so there is never enough free capacity
/// for a large gang without a reservation.
#[test]
fn large_gang_is_not_starved_by_small_jobs() {
    let mut scheduler = mark_proven(scheduler_with(2), 2);
    let mut number = 10;
    let mut running: Vec<(u64, Placed)> = Vec::new();
    scheduler.enqueue(waiting_job(1, "large", Class::Gang, Urgency::Normal, 2, 8_000));
    let bound_ms = 120_000;
    for step in 0..2_400_u64 {
        let now_ms = step * 50;
        while scheduler.queue.tasks() < 20 {
            number += 1;
            scheduler.enqueue(waiting_job(
                number,
                "small",
                Class::Batch,
                Urgency::Normal,
                1,
                2_000,
            ));
        }
        for task in placed(scheduler.schedule(now_ms, 100)) {
            if task.attempt.job == JobId(1) {
                assert!(now_ms <= bound_ms);
                return;
            }
            running.retain(|(_, other)| !task.evict.contains(&other.attempt));
            running.push((now_ms + 2_000 + number % 900, task));
        }
        let (ended, still_running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(ends_ms, _)| *ends_ms <= now_ms);
        running = still_running;
        for (_, task) in ended {
            scheduler.task_ended(now_ms, &task.worker, task.attempt, TaskEnd::Succeeded);
        }
    }
    panic!("the large gang has not started after {bound_ms} ms");
}

/// Jobs that fit on no worker are at the head of the queue. Without skipping them,
/// everything behind them would wait despite free capacity.
#[test]
fn jobs_that_do_not_fit_block_no_others() {
    let mut scheduler = mark_proven(scheduler_with(2), 2);
    for number in 0..50 {
        scheduler.enqueue(waiting_job(number, "mixed", Class::Batch, Urgency::Normal, 1, 9_000));
    }
    scheduler.enqueue(waiting_job(100, "other", Class::Batch, Urgency::Normal, 4, 1_000));
    assert_eq!(placed(scheduler.schedule(0, 100)).len(), 4);
}

/// Declared demands are three times too large. If they were taken as they are, two
/// thirds of the cell would stay unused while work waits.
#[test]
fn demands_are_estimated_from_usage() {
    let mut scheduler = mark_proven(scheduler_with(1), 1);
    let truth = Resources { cpu_millis: 1_000, memory_bytes: GIB / 2, accelerators: 0 };
    for number in 0..20 {
        scheduler.enqueue(waiting_job(number, "fat", Class::Batch, Urgency::Normal, 2, 3_000));
        let now_ms = number * 1_000;
        for task in placed(scheduler.schedule(now_ms, 100)) {
            scheduler.record_usage(now_ms, task.attempt, &truth);
            scheduler.task_ended(now_ms, &task.worker, task.attempt, TaskEnd::Succeeded);
        }
    }
    scheduler.enqueue(waiting_job(900, "fat", Class::Batch, Urgency::Normal, 20, 3_000));
    let tasks = placed(scheduler.schedule(60_000, 100));
    assert!(tasks.len() >= 6, "only {} tasks were placed on 8 cores", tasks.len());
    assert!(
        tasks.iter().all(|task| task.demand.cpu_millis >= truth.cpu_millis),
        "a demand is below the actual usage"
    );
}

/// Tasks use far more than they declared and overcommit their worker. The least urgent
/// tasks are stopped until the others fit.
#[test]
fn growing_tasks_are_stopped_until_the_others_fit() {
    let mut scheduler = mark_proven(scheduler_with(1), 1);
    scheduler.enqueue(waiting_job(1, "thin", Class::Batch, Urgency::Patient, 8, 1_000));
    let tasks = placed(scheduler.schedule(0, 100));
    assert_eq!(tasks.len(), 8);
    let grown = Resources { cpu_millis: 3_000, memory_bytes: GIB, accelerators: 0 };
    let mut stopped = BTreeSet::new();
    for task in &tasks {
        if stopped.contains(&task.attempt) {
            continue;
        }
        for victim in scheduler.record_usage(5_000, task.attempt, &grown) {
            scheduler.task_ended(5_000, &task.worker, victim, TaskEnd::Stopped);
            stopped.insert(victim);
        }
    }
    let worker_info =
        scheduler.cell.worker_info(&WorkerId::new("w0")).expect("the worker is in the cell");
    assert!(
        worker_info.capacity.holds(&worker_info.allocated),
        "{:?} of {:?}",
        worker_info.allocated,
        worker_info.capacity
    );
}

/// Without a quota, the work of one owner could displace that of all others.
#[test]
fn quota_limits_an_owner() {
    let mut scheduler = mark_proven(scheduler_with(4), 4);
    let quota = Resources { cpu_millis: 10_000, memory_bytes: 64 * GIB, accelerators: 8 };
    scheduler.set_owner(&OwnerName::new(OWNER), Some(quota), Weights::default());
    scheduler.enqueue(waiting_job(1, "much", Class::Batch, Urgency::Normal, 20, 2_000));
    assert_eq!(placed(scheduler.schedule(0, 100)).len(), 5);
    assert!(scheduler.pending_reasons(0, JobId(1)).iter().any(|reason| reason.contains("quota")));
}

/// One entry submits more work than the cell can run. Its limit leaves capacity for
/// other entries of the same owner.
#[test]
fn running_tasks_of_an_entry_are_limited() {
    let mut scheduler = mark_proven(scheduler_with(4), 4);
    scheduler.set_running_max(&EntryName::new("much"), 3);
    scheduler.enqueue(waiting_job(1, "much", Class::Batch, Urgency::Normal, 20, 500));
    scheduler.enqueue(waiting_job(2, "other", Class::Batch, Urgency::Normal, 5, 500));
    let tasks = placed(scheduler.schedule(0, 100));
    assert_eq!(tasks.iter().filter(|task| task.attempt.job == JobId(1)).count(), 3);
    assert_eq!(tasks.iter().filter(|task| task.attempt.job == JobId(2)).count(), 5);
    assert!(
        scheduler
            .pending_reasons(0, JobId(1))
            .iter()
            .any(|reason| reason.contains("as many as may"))
    );
    scheduler.task_ended(1_000, &tasks[0].worker, tasks[0].attempt, TaskEnd::Succeeded);
    let more = placed(scheduler.schedule(1_000, 100));
    assert!(more.len() <= 1, "one task ended, so at most one may start");
}

/// A rack fails together with its switch. A service whose replicas all run in one rack
/// would fail with it.
#[test]
fn services_are_spread_over_racks() {
    let mut scheduler = mark_proven(scheduler_with(8), 8);
    scheduler.enqueue(waiting_job(1, "service", Class::Service, Urgency::Normal, 4, 500));
    let tasks = placed(scheduler.schedule(0, 100));
    let racks: BTreeSet<String> = tasks
        .iter()
        .filter_map(|task| scheduler.cell.worker_info(&task.worker))
        .map(|worker_info| worker_info.rack.clone())
        .collect();
    assert_eq!((tasks.len(), racks.len()), (4, 4));
}

/// A burst of cancellations empties a long queue. If each one scanned the queue, the
/// daemon would stall for seconds. The test counts what is left rather than time.
#[test]
fn cancellations_leave_exactly_the_other_jobs() {
    let mut scheduler = scheduler_with(0);
    for number in 0..20_000 {
        scheduler.enqueue(waiting_job(number, "e", Class::Batch, Urgency::Patient, 2, 1_000));
    }
    for number in (0..20_000).filter(|number| number % 10 != 0) {
        assert_eq!(scheduler.withdraw(JobId(number)).len(), 2);
    }
    assert_eq!((scheduler.queue.len(), scheduler.queue.tasks()), (2_000, 4_000));
}
