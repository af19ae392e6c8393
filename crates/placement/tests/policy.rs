//! Decisions under wrong sizes, failing workers, gangs and pressure.

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

fn cell(workers: u32) -> Scheduler {
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

fn proved(mut scheduler: Scheduler, workers: u32) -> Scheduler {
    for number in 0..workers {
        scheduler
            .health
            .record_success(&WorkerId::new(format!("w{number}")), &EntryName::new("first"));
    }
    let states: Vec<WorkerId> =
        (0..workers).map(|number| WorkerId::new(format!("w{number}"))).collect();
    for worker in states {
        scheduler.cell.set_health(&worker, false, None);
    }
    scheduler
}

fn waiting(
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

/// A worker breaks so that every task ends at once with an error. It looks
/// empty, so without a brake it would draw and ruin all work of the cell.
#[test]
fn worker_that_fails_everything_is_left_alone_after_few_starts() {
    let mut scheduler = proved(cell(6), 6);
    let bad = WorkerId::new("w0");
    let mut wasted = 0;
    for step in 0..400_u64 {
        let now_ms = step * 50;
        for entry in 0..5 {
            let number = step * 10 + entry;
            scheduler.enqueue(waiting(
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
    assert_eq!(scheduler.counters.held_back, 0, "the entries are not to blame");
    assert!(wasted <= 24, "{wasted} starts were wasted on the failing worker in 20 s");
}

/// An entry's own work is broken. Blaming the workers would close one healthy
/// worker after the other.
#[test]
fn entry_that_fails_everywhere_closes_no_worker() {
    let mut scheduler = proved(cell(6), 6);
    for step in 0..100_u64 {
        let now_ms = step * 50;
        scheduler.enqueue(waiting(step * 2, "broken", Class::Batch, Urgency::Normal, 2, 1_000));
        scheduler.enqueue(waiting(step * 2 + 1, "sound", Class::Batch, Urgency::Normal, 6, 500));
        for task in placed(scheduler.schedule(now_ms, 1_000)) {
            let broken = task.attempt.job.0 % 2 == 0;
            let end = if broken { TaskEnd::Failed } else { TaskEnd::Succeeded };
            scheduler.task_ended(now_ms, &task.worker, task.attempt, end);
        }
    }
    assert!(scheduler.counters.held_back >= 1, "the entry is held back");
    assert_eq!(scheduler.counters.quarantines, 0, "no healthy worker is closed");
}

/// The cell is full of patient work when urgent work comes. It must not wait
/// for batches that take hours, and the least work should be lost.
#[test]
fn urgent_work_takes_the_room_of_patient_work() {
    let mut scheduler = proved(cell(2), 2);
    scheduler.enqueue(waiting(1, "old", Class::Batch, Urgency::Patient, 2, 4_000));
    let old = placed(scheduler.schedule(0, 100));
    scheduler.enqueue(waiting(2, "young", Class::Batch, Urgency::Patient, 2, 4_000));
    let young: BTreeSet<AttemptId> =
        placed(scheduler.schedule(60_000, 100)).iter().map(|task| task.attempt).collect();
    assert_eq!((old.len(), young.len()), (2, 2), "the cell is full");
    scheduler.enqueue(waiting(3, "urgent", Class::Batch, Urgency::Urgent, 1, 4_000));
    let urgent = placed(scheduler.schedule(61_000, 100));
    assert_eq!(urgent.len(), 1);
    assert_eq!(urgent[0].evict.len(), 1);
    assert!(young.contains(&urgent[0].evict[0]), "the one with the least work lost gives way");
}

/// A job that runs at most once has sent its vans already; stopped for urgent
/// work it could not be run again.
#[test]
fn work_that_runs_once_never_gives_way() {
    let mut scheduler = proved(cell(1), 1);
    let mut once = waiting(1, "once", Class::Batch, Urgency::Patient, 2, 4_000);
    once.execution = Execution::AtMostOnce;
    scheduler.enqueue(once);
    assert_eq!(placed(scheduler.schedule(0, 100)).len(), 2);
    scheduler.enqueue(waiting(2, "urgent", Class::Batch, Urgency::Urgent, 1, 4_000));
    assert!(placed(scheduler.schedule(1_000, 100)).is_empty());
    let reasons = scheduler.pending_reasons(1_000, JobId(2));
    assert!(reasons.iter().any(|reason| reason.contains("processors")), "{reasons:?}");
}

/// Half of a gang is of no use, and half-started gangs that wait for each
/// other would hold the cell for ever.
#[test]
fn gangs_start_whole_or_not_at_all_and_do_not_block_each_other() {
    let mut scheduler = proved(cell(2), 2);
    scheduler.enqueue(waiting(1, "left", Class::Gang, Urgency::Normal, 3, 4_000));
    scheduler.enqueue(waiting(2, "right", Class::Gang, Urgency::Normal, 3, 4_000));
    let first = placed(scheduler.schedule(0, 100));
    assert_eq!(first.len(), 3, "one of them whole");
    for task in &first {
        scheduler.task_ended(1_000, &task.worker, task.attempt, TaskEnd::Succeeded);
    }
    let second = placed(scheduler.schedule(1_000, 100));
    assert_eq!(second.len(), 3, "then the other");
    assert_ne!(first[0].attempt.job, second[0].attempt.job);
}

/// Small jobs keep coming and fill every gap, so the room for a large one
/// never comes by itself.
#[test]
fn large_job_is_not_starved_by_small_ones() {
    let mut scheduler = proved(cell(2), 2);
    let mut number = 10;
    let mut running: Vec<(u64, Placed)> = Vec::new();
    scheduler.enqueue(waiting(1, "large", Class::Gang, Urgency::Normal, 2, 8_000));
    let bound_ms = 120_000;
    for step in 0..2_400_u64 {
        let now_ms = step * 50;
        while scheduler.queue.tasks() < 20 {
            number += 1;
            scheduler.enqueue(waiting(number, "small", Class::Batch, Urgency::Normal, 1, 2_000));
        }
        for task in placed(scheduler.schedule(now_ms, 100)) {
            if task.attempt.job == JobId(1) {
                assert!(now_ms <= bound_ms);
                return;
            }
            running.retain(|(_, other)| !task.evict.contains(&other.attempt));
            running.push((now_ms + 2_000 + number % 900, task));
        }
        let (over, still): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(ends_ms, _)| *ends_ms <= now_ms);
        running = still;
        for (_, task) in over {
            scheduler.task_ended(now_ms, &task.worker, task.attempt, TaskEnd::Succeeded);
        }
    }
    panic!("the large gang still waits after {bound_ms} ms");
}

/// Jobs of an impossible shape stand at the head of the queue; everything
/// behind them would wait though there is room.
#[test]
fn shapes_that_do_not_fit_block_nothing() {
    let mut scheduler = proved(cell(2), 2);
    for number in 0..50 {
        scheduler.enqueue(waiting(number, "mixed", Class::Batch, Urgency::Normal, 1, 9_000));
    }
    scheduler.enqueue(waiting(100, "other", Class::Batch, Urgency::Normal, 4, 1_000));
    assert_eq!(placed(scheduler.schedule(0, 100)).len(), 4);
}

/// Declared sizes are three times too large. A cell that believed them would
/// stand two thirds empty while work waits.
#[test]
fn sizes_are_learned_from_use() {
    let mut scheduler = proved(cell(1), 1);
    let truth = Resources { cpu_millis: 1_000, memory_bytes: GIB / 2, accelerators: 0 };
    for number in 0..20 {
        scheduler.enqueue(waiting(number, "fat", Class::Batch, Urgency::Normal, 2, 3_000));
        let now_ms = number * 1_000;
        for task in placed(scheduler.schedule(now_ms, 100)) {
            scheduler.record_usage(now_ms, task.attempt, &truth);
            scheduler.task_ended(now_ms, &task.worker, task.attempt, TaskEnd::Succeeded);
        }
    }
    scheduler.enqueue(waiting(900, "fat", Class::Batch, Urgency::Normal, 20, 3_000));
    let tasks = placed(scheduler.schedule(60_000, 100));
    assert!(tasks.len() >= 6, "only {} of 8 cores' worth", tasks.len());
    assert!(
        tasks.iter().all(|task| task.demand.cpu_millis >= truth.cpu_millis),
        "never below the use"
    );
}

/// Tasks use far more than they declared. The worker would be given more than
/// it holds, so the most patient ones stop until it fits again.
#[test]
fn growing_tasks_are_stopped_before_the_worker_is_crowded() {
    let mut scheduler = proved(cell(1), 1);
    scheduler.enqueue(waiting(1, "thin", Class::Batch, Urgency::Patient, 8, 1_000));
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
    let slot = scheduler.cell.worker_info(&WorkerId::new("w0")).expect("it is there");
    assert!(slot.capacity.holds(&slot.reserved), "{:?} of {:?}", slot.reserved, slot.capacity);
}

/// An owner uses up its quota; its work would otherwise push out the others'.
#[test]
fn quota_bounds_what_an_owner_holds() {
    let mut scheduler = proved(cell(4), 4);
    let quota = Resources { cpu_millis: 10_000, memory_bytes: 64 * GIB, accelerators: 8 };
    scheduler.set_owner(&OwnerName::new(OWNER), Some(quota), Weights::default());
    scheduler.enqueue(waiting(1, "much", Class::Batch, Urgency::Normal, 20, 2_000));
    assert_eq!(placed(scheduler.schedule(0, 100)).len(), 5);
    assert!(scheduler.pending_reasons(0, JobId(1)).iter().any(|reason| reason.contains("quota")));
}

/// An entry's work floods the cell. Its limit keeps room for the others of the
/// same owner.
#[test]
fn running_tasks_of_an_entry_are_bounded() {
    let mut scheduler = proved(cell(4), 4);
    scheduler.set_running_max(&EntryName::new("much"), 3);
    scheduler.enqueue(waiting(1, "much", Class::Batch, Urgency::Normal, 20, 500));
    scheduler.enqueue(waiting(2, "other", Class::Batch, Urgency::Normal, 5, 500));
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
    assert!(more.len() <= 1, "one went, one may come");
}

/// A rack goes down with its switch. A service with all replicas in one rack
/// would be gone with it.
#[test]
fn services_are_spread_over_racks() {
    let mut scheduler = proved(cell(8), 8);
    scheduler.enqueue(waiting(1, "service", Class::Service, Urgency::Normal, 4, 500));
    let tasks = placed(scheduler.schedule(0, 100));
    let racks: BTreeSet<String> = tasks
        .iter()
        .filter_map(|task| scheduler.cell.worker_info(&task.worker))
        .map(|slot| slot.rack.clone())
        .collect();
    assert_eq!((tasks.len(), racks.len()), (4, 4));
}

/// A wave of cancellations empties a long queue; scanning it for each would
/// stop the daemon for seconds. Counted, not timed: what is left is exact.
#[test]
fn cancellations_leave_exactly_the_rest() {
    let mut scheduler = cell(0);
    for number in 0..20_000 {
        scheduler.enqueue(waiting(number, "e", Class::Batch, Urgency::Patient, 2, 1_000));
    }
    for number in (0..20_000).filter(|number| number % 10 != 0) {
        assert_eq!(scheduler.withdraw(JobId(number)).len(), 2);
    }
    assert_eq!((scheduler.queue.len(), scheduler.queue.tasks()), (2_000, 4_000));
}
