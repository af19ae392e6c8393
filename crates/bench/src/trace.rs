//! A seeded trace of jobs for the placement library, with declared sizes that may be
//! wrong and a share of urgent jobs.

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
/// Virtual time between two scheduling cycles.
pub(crate) const STEP_MS: u64 = 50;
/// More tasks than fit on a worker of 16 cores at their mean actual size.
pub(crate) const TASKS_PER_WORKER: u64 = 20;

/// The results of a run.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) placed: u64,
    pub(crate) evicted: u64,
    pub(crate) expired: u64,
    /// Times that urgent tasks waited for placement; those of all others follow.
    pub(crate) urgent_waits_ms: Vec<u64>,
    pub(crate) other_waits_ms: Vec<u64>,
    /// Mean share of the scarcest resource that is actually used, over the second half.
    pub(crate) packing: f64,
    /// Workers whose reserved resources exceed their capacity, summed over all cycles.
    pub(crate) overcommitted: u64,
    /// Mean share of workers whose actual use exceeds their capacity, over the second half.
    pub(crate) overloaded: f64,
    /// Duration of each cycle that placed tasks, with the number of tasks placed.
    pub(crate) cycle_times_us: Vec<(f64, u64)>,
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TraceConfig {
    pub(crate) workers: u32,
    pub(crate) seconds: u64,
    /// Whether jobs declare the sizes that they actually use.
    pub(crate) accurate_sizes: bool,
    pub(crate) use_estimates: bool,
    pub(crate) seed: u64,
}

struct Running {
    ends_ms: u64,
    actual_use: Resources,
    worker: WorkerId,
    demand: Resources,
    usage_reported: bool,
    started_ms: u64,
}

/// Feeds the trace to the scheduler in virtual time. `clock` returns the real time in
/// microseconds, by which the cycles are timed.
pub(crate) fn run(config: TraceConfig, clock: impl Fn() -> f64) -> Report {
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let mut scheduler =
        Scheduler::new(Policy { use_estimates: config.use_estimates, ..Policy::default() });
    let mut capacity = Resources::ZERO;
    for number in 0..config.workers {
        capacity = capacity.plus(&add_worker(&mut scheduler, number));
    }
    let mut report = Report::default();
    let mut running: BTreeMap<AttemptId, Running> = BTreeMap::new();
    let mut job_facts: BTreeMap<JobId, (Resources, u64, Urgency, u64)> = BTreeMap::new();
    let mut next_job = 0;
    let steps = config.seconds * 1_000 / STEP_MS;
    let mut used_sum = 0.0;
    let mut overloaded_sum = 0;
    for step in 0..steps {
        let now_ms = step * STEP_MS;
        // A task runs for six seconds on average. This many tasks, queued and running, keep
        // the cell more than full.
        let wanted = u64::from(config.workers) * TASKS_PER_WORKER * 11 / 10;
        while scheduler.queue.tasks() + (running.len() as u64) < wanted {
            next_job += 1;
            let arrival = draw_arrival(&mut rng, now_ms, next_job, config.accurate_sizes);
            let urgency = arrival.waiting.urgency;
            job_facts
                .insert(arrival.waiting.job, (arrival.actual_use, arrival.run_ms, urgency, now_ms));
            scheduler.enqueue(arrival.waiting);
        }
        let started_us = clock();
        let decisions = scheduler.schedule(now_ms, 100_000);
        let took_us = clock() - started_us;
        let mut placed = 0;
        for decision in decisions {
            match decision {
                stoatwell_placement::Decision::Start { job, tasks } => {
                    let (actual_use, run_ms, urgency, accepted_ms) = job_facts[&job];
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
                        let running_task = Running {
                            ends_ms,
                            actual_use,
                            worker: task.worker,
                            demand: task.demand,
                            usage_reported: false,
                            started_ms: now_ms,
                        };
                        running.insert(task.attempt, running_task);
                    }
                }
                stoatwell_placement::Decision::Expired { .. } => report.expired += 1,
            }
        }
        if placed > 0 {
            report.cycle_times_us.push((took_us, placed));
        }
        report.placed += placed;
        advance(&mut scheduler, &mut running, now_ms);
        let (used, overcommitted_workers, overloaded) = measure_use(&running, &scheduler);
        report.overcommitted += overcommitted_workers;
        if step >= steps / 2 {
            used_sum += used.dominant_share(&capacity);
            overloaded_sum += overloaded;
        }
    }
    let counted_steps = (steps - steps / 2) as f64;
    report.packing = used_sum / counted_steps;
    report.overloaded = overloaded_sum as f64 / counted_steps / f64::from(config.workers);
    report
}

/// Ends the tasks that are due, and reports the actual use of running tasks two
/// seconds after their start.
fn advance(scheduler: &mut Scheduler, running: &mut BTreeMap<AttemptId, Running>, now_ms: u64) {
    let mut ended = Vec::new();
    let mut reports = Vec::new();
    for (attempt, task) in running.iter_mut() {
        if task.ends_ms <= now_ms {
            ended.push(*attempt);
        } else if !task.usage_reported && now_ms >= task.started_ms + 2_000 {
            task.usage_reported = true;
            reports.push((*attempt, task.actual_use));
        }
    }
    for (attempt, actual_use) in reports {
        for victim in scheduler.record_usage(now_ms, attempt, &actual_use) {
            if let Some(stopped) = running.remove(&victim) {
                scheduler.task_ended(now_ms, &stopped.worker, victim, TaskEnd::Stopped);
            }
        }
    }
    for attempt in ended {
        if let Some(task) = running.remove(&attempt) {
            scheduler.record_usage(now_ms, attempt, &task.actual_use);
            scheduler.task_ended(now_ms, &task.worker, attempt, TaskEnd::Succeeded);
        }
    }
}

/// The total actual use, the number of workers whose reserved resources exceed their
/// capacity, and the number of workers whose actual use exceeds it.
fn measure_use(
    running: &BTreeMap<AttemptId, Running>,
    scheduler: &Scheduler,
) -> (Resources, u64, u64) {
    let mut used = Resources::ZERO;
    let mut sums: BTreeMap<&WorkerId, (Resources, Resources)> = BTreeMap::new();
    for task in running.values() {
        used = used.plus(&task.actual_use);
        let (reserved, actual_use) = sums.entry(&task.worker).or_default();
        *reserved = reserved.plus(&task.demand);
        *actual_use = actual_use.plus(&task.actual_use);
    }
    let mut overcommitted = 0;
    let mut overloaded = 0;
    for (worker, (reserved, actual_use)) in sums {
        let Some(info) = scheduler.cell.worker_info(worker) else {
            continue;
        };
        overcommitted += u64::from(!info.capacity.holds(&reserved));
        overloaded += u64::from(!info.capacity.holds(&actual_use));
    }
    (used, overcommitted, overloaded)
}

/// The capacity of the worker with this number; every third one has accelerators.
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

/// A job that arrives, with its actual size and duration.
pub(crate) struct Arrival {
    pub(crate) waiting: WaitingJob,
    /// The resources that each of its tasks actually uses.
    pub(crate) actual_use: Resources,
    pub(crate) run_ms: u64,
}

/// Draws the next job at random.
pub(crate) fn draw_arrival(
    rng: &mut Pcg64Mcg,
    now_ms: u64,
    number: u64,
    accurate_sizes: bool,
) -> Arrival {
    let entry = rng.random_range(0..ENTRIES);
    let urgency = match rng.random_range(0..100) {
        0..5 => Urgency::Urgent,
        5..30 => Urgency::Normal,
        _ => Urgency::Patient,
    };
    // Jobs of one entry use similar resources, but their declared sizes vary.
    let base_cpu = 500 + u64::from(entry) * 75;
    let actual_use = Resources {
        cpu_millis: base_cpu * rng.random_range(90..110) / 100,
        memory_bytes: (1 + u64::from(entry % 10)) * GIB,
        accelerators: u64::from(entry.is_multiple_of(8)),
    };
    let declared_percent =
        if accurate_sizes { 100 } else { [30, 60, 100, 180, 300][rng.random_range(0..5)] };
    let scaled = |amount: u64| amount * declared_percent / 100;
    let demand = Resources {
        cpu_millis: scaled(actual_use.cpu_millis).clamp(1, 16_000),
        memory_bytes: scaled(actual_use.memory_bytes).clamp(1, 64 * GIB),
        accelerators: actual_use.accelerators,
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
    Arrival { waiting, actual_use, run_ms }
}
