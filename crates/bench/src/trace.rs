//! A seeded day of work for the decision library: wrong sizes, jobs that can
//! never run, cancellations, urgent bursts.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
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
use stoatwell_model::worker::WorkerState;
use stoatwell_placement::Policy;
use stoatwell_placement::Scheduler;
use stoatwell_placement::TaskEnd;
use stoatwell_placement::WaitingJob;

const GIB: u64 = 1 << 30;
const OWNER: &str = "owner";
const ENTRIES: u32 = 12;
/// Between two passes.
pub(crate) const STEP_MS: u64 = 50;
/// More tasks than fit a worker of 16 cores at the mean true size.
pub(crate) const TASKS_PER_WORKER: u64 = 20;

/// What a run showed.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) placed: u64,
    pub(crate) evicted: u64,
    pub(crate) expired: u64,
    /// Waits of urgent and of other tasks, in milliseconds.
    pub(crate) urgent_waits_ms: Vec<u64>,
    pub(crate) other_waits_ms: Vec<u64>,
    /// Mean used part of the scarcest resource, by true use, over the last half.
    pub(crate) packing: f64,
    /// Workers that were promised more than they hold, counted each moment.
    pub(crate) overuse: u64,
    /// Part of the workers on which more was truly used than they hold, over the last half.
    pub(crate) crowded: f64,
    /// Microseconds of each pass that placed something, with its placements.
    pub(crate) passes_us: Vec<(f64, u64)>,
}

/// What kind of run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) workers: u32,
    pub(crate) seconds: u64,
    /// Whether declared sizes are right.
    pub(crate) honest: bool,
    pub(crate) learn: bool,
    pub(crate) seed: u64,
}

struct Running {
    ends_ms: u64,
    truth: Resources,
    worker: WorkerId,
    demand: Resources,
    usage_told: bool,
    started_ms: u64,
}

/// Feeds the trace to the scheduler in virtual time.
pub(crate) fn run(setting: Setting, clock: impl Fn() -> f64) -> Report {
    let mut rng = Pcg64Mcg::seed_from_u64(setting.seed);
    let mut scheduler =
        Scheduler::new(Policy { use_estimates: setting.learn, ..Policy::default() });
    let mut capacity = Resources::ZERO;
    for number in 0..setting.workers {
        capacity = capacity.plus(&add_worker(&mut scheduler, number));
    }
    let mut report = Report::default();
    let mut running: BTreeMap<AttemptId, Running> = BTreeMap::new();
    let mut truths: BTreeMap<JobId, (Resources, u64, Urgency, u64)> = BTreeMap::new();
    let mut next_job = 0;
    let steps = setting.seconds * 1_000 / STEP_MS;
    let mut used_sum = 0.0;
    let mut crowded_sum = 0;
    for step in 0..steps {
        let now_ms = step * STEP_MS;
        // A task runs six seconds on the mean; this keeps the cell more than full.
        let wanted = u64::from(setting.workers) * TASKS_PER_WORKER * 11 / 10;
        while scheduler.queue.tasks() + (running.len() as u64) < wanted {
            next_job += 1;
            let arrival = arrival(&mut rng, now_ms, next_job, setting.honest);
            let urgency = arrival.waiting.urgency;
            truths.insert(arrival.waiting.job, (arrival.truth, arrival.run_ms, urgency, now_ms));
            scheduler.enqueue(arrival.waiting);
        }
        let started_us = clock();
        let decisions = scheduler.schedule(now_ms, 100_000);
        let took_us = clock() - started_us;
        let mut placed = 0;
        for decision in decisions {
            match decision {
                stoatwell_placement::Decision::Start { job, tasks } => {
                    let (truth, run_ms, urgency, accepted_ms) = truths[&job];
                    for task in tasks {
                        for victim in &task.evict {
                            running.remove(victim);
                            report.evicted += 1;
                        }
                        placed += 1;
                        let waits = if urgency == Urgency::Urgent {
                            &mut report.urgent_waits_ms
                        } else {
                            &mut report.other_waits_ms
                        };
                        waits.push(now_ms - accepted_ms);
                        let ends_ms = now_ms + run_ms;
                        let one = Running {
                            ends_ms,
                            truth,
                            worker: task.worker,
                            demand: task.demand,
                            usage_told: false,
                            started_ms: now_ms,
                        };
                        running.insert(task.attempt, one);
                    }
                }
                stoatwell_placement::Decision::Expired { .. } => report.expired += 1,
            }
        }
        if placed > 0 {
            report.passes_us.push((took_us, placed));
        }
        report.placed += placed;
        advance(&mut scheduler, &mut running, now_ms);
        let (used, overused, crowded) = look(&running, &scheduler);
        report.overuse += overused;
        if step >= steps / 2 {
            used_sum += used.dominant_share(&capacity);
            crowded_sum += crowded;
        }
    }
    let counted = (steps - steps / 2) as f64;
    report.packing = used_sum / counted;
    report.crowded = crowded_sum as f64 / counted / f64::from(setting.workers);
    report
}

/// Tasks end, and tell what they used with a lag of two seconds.
fn advance(scheduler: &mut Scheduler, running: &mut BTreeMap<AttemptId, Running>, now_ms: u64) {
    let mut ended = Vec::new();
    let mut told = Vec::new();
    for (attempt, one) in running.iter_mut() {
        if one.ends_ms <= now_ms {
            ended.push(*attempt);
        } else if !one.usage_told && now_ms >= one.started_ms + 2_000 {
            one.usage_told = true;
            told.push((*attempt, one.truth));
        }
    }
    for (attempt, truth) in told {
        for victim in scheduler.record_usage(now_ms, attempt, &truth) {
            if let Some(stopped) = running.remove(&victim) {
                scheduler.task_ended(now_ms, &stopped.worker, victim, TaskEnd::Stopped);
            }
        }
    }
    for attempt in ended {
        if let Some(one) = running.remove(&attempt) {
            scheduler.record_usage(now_ms, attempt, &one.truth);
            scheduler.task_ended(now_ms, &one.worker, attempt, TaskEnd::Succeeded);
        }
    }
}

/// What is truly used in all, how many workers were promised more than they
/// hold, and on how many more is truly used than they hold.
fn look(running: &BTreeMap<AttemptId, Running>, scheduler: &Scheduler) -> (Resources, u64, u64) {
    let mut used = Resources::ZERO;
    let mut sums: BTreeMap<&WorkerId, (Resources, Resources)> = BTreeMap::new();
    for one in running.values() {
        used = used.plus(&one.truth);
        let (promised, truth) = sums.entry(&one.worker).or_default();
        *promised = promised.plus(&one.demand);
        *truth = truth.plus(&one.truth);
    }
    let mut over = 0;
    let mut crowded = 0;
    for (worker, (promised, truth)) in sums {
        let Some(slot) = scheduler.cell.worker_info(worker) else {
            continue;
        };
        over += u64::from(!slot.capacity.holds(&promised));
        crowded += u64::from(!slot.capacity.holds(&truth));
    }
    (used, over, crowded)
}

/// What a worker holds.
pub(crate) fn capacity(number: u32) -> Resources {
    let accelerators = if number.is_multiple_of(3) { 6 } else { 0 };
    Resources { cpu_millis: 16_000, memory_bytes: 64 * GIB, accelerators }
}

pub(crate) fn add_worker(scheduler: &mut Scheduler, number: u32) -> Resources {
    let capacity = capacity(number);
    let worker = WorkerId::new(format!("w{number}"));
    let state = WorkerState {
        worker: worker.clone(),
        capacity,
        rack: format!("rack{}", number / 8),
        token: 1,
        tasks: Vec::new(),
        minions: Vec::new(),
        foreign: Resources::ZERO,
    };
    let target = Target {
        worker: worker.clone(),
        owner: OwnerName::new(OWNER),
        state: TargetState::Serving,
        next_owner: None,
        epoch: 1,
    };
    scheduler.health.record_success(&worker, &EntryName::new("warm-up"));
    scheduler.put_worker(0, &state, Some(&target));
    capacity
}

/// One job as it arrives.
pub(crate) struct Arrival {
    pub(crate) waiting: WaitingJob,
    /// What each of its tasks truly uses.
    pub(crate) truth: Resources,
    pub(crate) run_ms: u64,
}

/// Draws the next job.
pub(crate) fn arrival(rng: &mut Pcg64Mcg, now_ms: u64, number: u64, honest: bool) -> Arrival {
    let entry = rng.random_range(0..ENTRIES);
    let urgency = match rng.random_range(0..100) {
        0..5 => Urgency::Urgent,
        5..30 => Urgency::Normal,
        _ => Urgency::Patient,
    };
    // The work of one entry is alike; what is declared of it is not.
    let base_cpu = 500 + u64::from(entry) * 75;
    let truth = Resources {
        cpu_millis: base_cpu * rng.random_range(90..110) / 100,
        memory_bytes: (1 + u64::from(entry % 10)) * GIB,
        accelerators: u64::from(entry.is_multiple_of(8)),
    };
    let wrong = if honest { 100 } else { [30, 60, 100, 180, 300][rng.random_range(0..5)] };
    let scaled = |amount: u64| amount * wrong / 100;
    let demand = Resources {
        cpu_millis: scaled(truth.cpu_millis).clamp(1, 16_000),
        memory_bytes: scaled(truth.memory_bytes).clamp(1, 64 * GIB),
        accelerators: truth.accelerators,
    };
    let job = JobId(u128::from(number));
    let tasks = rng.random_range(1..20);
    let run_ms = rng.random_range(2_000..10_000);
    let attempts: VecDeque<AttemptId> =
        (0..tasks).map(|task| AttemptId { job, task, attempt: 1 }).collect();
    let waiting = WaitingJob {
        job,
        owner: OwnerName::new(OWNER),
        entry: EntryName::new(format!("entry-{entry}")),
        class: Class::Batch,
        execution: Execution::Idempotent,
        urgency,
        demand,
        accepted_ms: now_ms,
        deadline_ms: 0,
        tasks: attempts,
        not_before_ms: 0,
    };
    Arrival { waiting, truth, run_ms }
}
