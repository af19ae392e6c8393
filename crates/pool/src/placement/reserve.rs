//! Reservation of workers for waiting gangs.
//!
//! A gang needs capacity for all its tasks at one moment, and smaller work would take each
//! bit of capacity as it comes free. So workers are reserved for the gang: work of the same
//! or of lower priority may not use them. Until capacity for the last task of the gang is
//! free, they still accept work that ends by then.
//!
//! A place is capacity on a worker for one task of the gang. The remaining time of the tasks
//! on a worker tells when each of its places comes free. The reserved workers are those with
//! the places that come free first. If whole workers were reserved until they are empty,
//! several times as much capacity would be idle, and the gang would wait for the longest
//! task on them.

use stoatwell_model::Resources;

use crate::Pool;
use crate::QueueKey;
use crate::id::StepId;
use crate::id::TaskId;
use crate::placement::candidates::Cycle;
use crate::placement::candidates::EligibleWorker;
use crate::placement::candidates::Reservation;
use crate::placement::candidates::places_in;
use crate::workers::worker::WorkerIndex;

/// Size of a gang below which it needs no reservation, in percent of the places that the
/// eligible workers have when they are empty. Fewer places than that come free at one moment
/// soon enough anyway, unless an advisor keeps the gang to a part of the workers: other steps
/// renew their tickets for capacity as soon as it comes free. Such a gang reserves while its job
/// can still be in time, since the capacity is idle only briefly compared with its own work.
const RESERVATION_MIN_PERCENT: u64 = 30;
/// How long a choice of workers is kept. Choosing anew goes through all tasks on all
/// workers that the gang may use.
const RESERVATION_REFRESH_MS: u64 = 300;
/// Progress below which the remaining time cannot be derived from it.
const PROGRESS_MIN_PERCENT: u64 = 10;
/// Assumed remaining time of a task that has exceeded its expected duration.
const OVERDUE_MS: u64 = 300;

impl Pool {
    /// Reserves at most `workers_max` workers for a waiting gang. Returns how many.
    pub(crate) fn reserve_workers(
        &mut self,
        step: StepId,
        step_index: usize,
        key: QueueKey,
        cycle: &mut Cycle,
        workers_max: usize,
    ) -> usize {
        if workers_max == 0 {
            return 0;
        }
        let priority = key.priority;
        let now_ms = self.now_ms;
        let is_in_time = self.slack_ms(key, step) >= 0;
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        if now_ms < job.step_states[step_index].reserved_ms + RESERVATION_REFRESH_MS {
            return self.renew_reservation(step, step_index, priority, cycle, workers_max);
        }
        let spec = job.step_spec(step_index);
        let demand = spec.worker_demand();
        let tasks = job.step_states[step_index].tasks.len();
        // For each place, the time until it is free and the index of its worker.
        let mut places: Vec<(u64, usize)> = Vec::new();
        let eligible = self.eligible_workers(step, step_index, spec, cycle);
        let places_when_empty = |worker: &EligibleWorker| {
            places_in(&cycle.workers[worker.view_index].capacity, &demand)
        };
        let total_places: u64 = eligible.iter().map(places_when_empty).sum();
        let is_small = tasks as u64 * 100 < total_places * RESERVATION_MIN_PERCENT;
        if is_small && !(is_in_time && job.spec.queue.advice.is_some()) {
            return 0;
        }
        for worker in eligible {
            if !cycle.workers[worker.view_index].reservation_permits(step, priority) {
                continue;
            }
            let wait_times_ms =
                self.place_wait_times_ms(cycle.workers[worker.view_index].worker_index, &demand);
            places.extend(wait_times_ms.into_iter().map(|wait_ms| (wait_ms, worker.view_index)));
        }
        places.sort_unstable();
        places.truncate(tasks);
        let until_ms = now_ms + places.last().map_or(0, |(wait_ms, _)| *wait_ms);
        let mut chosen_workers: Vec<WorkerIndex> = Vec::new();
        for (_, view_index) in places {
            if cycle.workers[view_index].reserved_for.is_some_and(|reserved| reserved.step == step)
            {
                continue;
            }
            if chosen_workers.len() >= workers_max {
                break;
            }
            cycle.reserve(view_index, Reservation { priority, step, until_ms });
            chosen_workers.push(cycle.workers[view_index].worker_index);
        }
        let reserved = chosen_workers.len();
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.step_states[step_index].reserved = chosen_workers;
            job.step_states[step_index].reserved_ms = now_ms;
            job.step_states[step_index].reserved_until_ms = until_ms;
        }
        reserved
    }

    /// Reserves again the workers that were last chosen for a waiting gang, at most
    /// `workers_max`. Returns how many.
    pub(crate) fn renew_reservation(
        &self,
        step: StepId,
        step_index: usize,
        priority: u32,
        cycle: &mut Cycle,
        workers_max: usize,
    ) -> usize {
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        let mut reserved = 0;
        let until_ms = job.step_states[step_index].reserved_until_ms;
        for worker_index in job.step_states[step_index].reserved.iter().take(workers_max) {
            let Some(view_index) = cycle.view_index_of(*worker_index) else { continue };
            if cycle.workers[view_index].reservation_permits(step, priority) {
                cycle.reserve(view_index, Reservation { priority, step, until_ms });
                reserved += 1;
            }
        }
        reserved
    }

    /// Drops the reservation of a gang that could not start now even if all workers were
    /// free.
    pub(crate) fn drop_reservation(&mut self, step: StepId, step_index: usize) {
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.step_states[step_index].reserved.clear();
        }
    }

    /// The time until each place on a worker is free if no further tasks are placed there; 0
    /// for places that are free now.
    fn place_wait_times_ms(&self, worker_index: WorkerIndex, demand: &Resources) -> Vec<u64> {
        let Some(worker) = self.worker_at(worker_index) else { return Vec::new() };
        let mut ends: Vec<(u64, &Resources)> = worker
            .tasks
            .iter()
            .map(|(id, allocation)| (self.remaining_ms(*id), &allocation.worker_demand))
            .collect();
        ends.sort_unstable_by_key(|(remaining_ms, _)| *remaining_ms);
        let mut free = worker.free();
        let mut wait_times_ms = vec![0; places_in(&free, demand) as usize];
        for (remaining_ms, released) in ends {
            free = free.plus(released);
            wait_times_ms.resize(places_in(&free, demand) as usize, remaining_ms);
        }
        wait_times_ms
    }

    /// Estimates the remaining time of a placed task, from its progress if there is enough of
    /// it, else from its expected duration.
    fn remaining_ms(&self, id: TaskId) -> u64 {
        let Some(job) = self.jobs.get(&id.step.job).filter(|job| job.outcome.is_none()) else {
            return OVERDUE_MS;
        };
        let Some(step_index) = job.step_index(id.step) else { return OVERDUE_MS };
        let Some(task) = job.step_states[step_index].tasks.get(id.index as usize) else {
            return OVERDUE_MS;
        };
        let running_since_ms =
            if task.running_since_ms == 0 { self.now_ms } else { task.running_since_ms };
        let elapsed_ms = self.now_ms.saturating_sub(running_since_ms);
        let percent = u64::from(task.percent.min(100));
        if percent >= PROGRESS_MIN_PERCENT {
            return elapsed_ms * (100 - percent) / percent;
        }
        self.expected_task_ms(id.step).saturating_sub(elapsed_ms).max(OVERDUE_MS)
    }
}
