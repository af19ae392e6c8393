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
//!
//! Reserved capacity is idle, so nothing is reserved for a gang that cannot start even when the
//! tasks on the workers have ended: there are too few workers, tasks that never end take the
//! capacity, or it has to be left free for more urgent work. The same holds while a member of the
//! gang is on a worker that does not answer. If all reserved places are free and the gang does not
//! start for any other reason, its reservation is suspended for a while.

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;

use crate::Pool;
use crate::QueueKey;
use crate::id::StepId;
use crate::id::TaskId;
use crate::jobs::job::Job;
use crate::placement::candidates::Cycle;
use crate::placement::candidates::Reservation;
use crate::placement::candidates::WorkerView;
use crate::placement::candidates::places_in;
use crate::placement::waiting::PlacementBlock;
use crate::placement::work::Purpose;
use crate::workers::worker::WorkerIndex;

/// Size of a gang below which it needs no reservation, in percent of the places that the
/// eligible workers have when they are empty. Fewer places than that come free at one moment
/// soon enough anyway.
const RESERVATION_MIN_PERCENT: u64 = 30;
/// How long a choice of workers is kept. Choosing anew goes through all tasks on all
/// workers that the gang may use.
pub(crate) const RESERVATION_REFRESH_MS: u64 = 300;
/// How long the end of a reservation is kept after it has passed.
pub(crate) const RESERVATION_OVERDUE_MAX_MS: u64 = 2_000;
/// How long all reserved places may be free before the reservation is suspended.
const IDLE_RESERVATION_MAX_MS: u64 = 2_500;
/// How long a reservation is suspended. Other work takes the places meanwhile.
const SUSPENSION_MS: u64 = 5_000;
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
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        let step_state = &job.step_states[step_index];
        if !step_state.can_start_later || now_ms < step_state.suspended_until_ms {
            self.drop_reservation(step, step_index);
            return 0;
        }
        if now_ms < step_state.reserved_ms + RESERVATION_REFRESH_MS {
            return self.renew_reservation(step, step_index, key.priority, cycle, workers_max);
        }
        let spec = job.step_spec(step_index);
        let demand = spec.worker_demand();
        let tasks = step_state.tasks.len();
        // For each place, the time until it is free and the index of its worker.
        let mut places: Vec<(u64, usize)> = Vec::new();
        let plenty = tasks as u64 * 100 / RESERVATION_MIN_PERCENT + 1;
        let places_when_empty = |view: &WorkerView| places_in(&view.capacity, &demand);
        if self.has_places(step, step_index, cycle, plenty, places_when_empty) {
            return 0;
        }
        let eligible =
            self.eligible_workers(step, step_index, spec, cycle, None, Purpose::Reservation);
        let mut is_behind_others = false;
        for worker in eligible {
            let view = &cycle.workers[worker.view_index];
            if !view.reservation_permits(step, key.priority) {
                is_behind_others = true;
                continue;
            }
            let mut wait_times_ms = self.place_wait_times_ms(view.worker_index, &demand);
            wait_times_ms.truncate(spec.max_on_worker(wait_times_ms.len() as u64) as usize);
            places.extend(wait_times_ms.into_iter().map(|wait_ms| (wait_ms, worker.view_index)));
        }
        places.sort_unstable();
        places.truncate(tasks);
        let wait_ms = places.last().map_or(0, |(wait_ms, _)| *wait_ms);
        let is_idle = wait_ms == 0 && (places.len() == tasks || !is_behind_others);
        if self.suspend_if_idle(step, step_index, is_idle) {
            self.drop_reservation(step, step_index);
            return 0;
        }
        let until_ms = self.reservation_end_ms(step, step_index, now_ms + wait_ms);
        let mut chosen_workers: Vec<WorkerIndex> = Vec::new();
        for (_, view_index) in places {
            if cycle.workers[view_index].reserved_for.is_some_and(|reserved| reserved.step == step)
            {
                continue;
            }
            if chosen_workers.len() >= workers_max {
                break;
            }
            cycle.reserve(view_index, Reservation { priority: key.priority, step, until_ms });
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

    /// Until when other work may use the capacity that is reserved for a gang, given when the last
    /// of its places is expected to be free now.
    ///
    /// It does not move on with that time. Short tasks that use the reserved capacity and run
    /// longer than expected would otherwise let further ones in, and the gang would never start.
    /// If it is exceeded by much, it was wrong: a reserved worker was lost, for example.
    fn reservation_end_ms(&self, step: StepId, step_index: usize, expected_ms: u64) -> u64 {
        let Some(job) = self.jobs.get(&step.job) else { return expected_ms };
        let step_state = &job.step_states[step_index];
        let before_ms = step_state.reserved_until_ms;
        let is_kept =
            !step_state.reserved.is_empty() && self.now_ms < before_ms + RESERVATION_OVERDUE_MAX_MS;
        if is_kept { expected_ms.min(before_ms) } else { expected_ms }
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

    /// Determines whether a waiting gang can start once the tasks on the workers have ended.
    pub(crate) fn update_can_start_later(
        &mut self,
        step: StepId,
        step_index: usize,
        key: QueueKey,
        cycle: &Cycle,
    ) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get(&step.job) else { return };
        let step_state = &job.step_states[step_index];
        let before = step_state.can_start_later;
        if now_ms < step_state.can_start_later_ms + RESERVATION_REFRESH_MS {
            if !before && step_state.wait_reason.placement != PlacementBlock::GangIncomplete {
                self.set_placement_block(step, PlacementBlock::TooFewWorkers);
            }
            return;
        }
        let is_unreachable = self.has_unreachable_member(job, step_index);
        let is_too_large = !self.fits_on_workers(step, step_index, key, cycle);
        let can_start_later = !is_unreachable && !is_too_large;
        if can_start_later != before {
            tracing::info!(
                %step, can_start_later, is_unreachable, is_too_large,
                "prospect of a waiting gang changed"
            );
        }
        if is_too_large {
            self.set_placement_block(step, PlacementBlock::TooFewWorkers);
        }
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        job.step_states[step_index].can_start_later = can_start_later;
        job.step_states[step_index].can_start_later_ms = now_ms;
    }

    /// Whether a member of the gang is on a worker that does not answer. It comes back to the queue
    /// only when the lease of that worker has expired.
    fn has_unreachable_member(&self, job: &Job, step_index: usize) -> bool {
        let is_unreachable = |name: &WorkerId| {
            self.workers
                .get(name)
                .is_none_or(|worker| worker.unanswered_calls > 0 || worker.silent.is_some())
        };
        let mut names =
            job.step_states[step_index].tasks.iter().filter_map(|task| task.worker.as_ref());
        names.any(is_unreachable)
    }

    /// Whether all tasks of a gang would fit on the workers at one moment if nothing but
    /// long-running tasks were there, and would leave free what more urgent work needs. True also
    /// if the advisor may still grant further workers.
    fn fits_on_workers(
        &self,
        step: StepId,
        step_index: usize,
        key: QueueKey,
        cycle: &Cycle,
    ) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let Some(service) = cycle.service_index(&job.spec.queue.service) else { return false };
        let spec = job.step_spec(step_index);
        let demand = spec.worker_demand();
        let tasks = u64::from(spec.tasks);
        let places = |view: &WorkerView| spec.max_on_worker(places_in(&view.ending(), &demand));
        let advice = &job.step_states[step_index].advice;
        let may_be_granted = |view: &&WorkerView| {
            !advice.queried.contains(view.worker_index)
                && self.is_eligible(service, spec, view, Purpose::Reservation)
                && places(view) > 0
        };
        if !self.has_places(step, step_index, cycle, tasks, places) {
            let needs_grants = job.spec.queue.advice.is_some();
            return needs_grants && cycle.workers.iter().any(|view| may_be_granted(&view));
        }
        let headroom = self.headroom(step, key);
        if headroom.is_zero() {
            return true;
        }
        cycle.services[service].ending.holds(&demand.times(tasks).plus(&headroom))
    }

    /// Whether the eligible workers of a step have so many places together.
    fn has_places(
        &self,
        step: StepId,
        step_index: usize,
        cycle: &Cycle,
        needed: u64,
        places: impl Fn(&WorkerView) -> u64,
    ) -> bool {
        let Some(job) = self.jobs.get(&step.job) else { return false };
        let Some(service) = cycle.service_index(&job.spec.queue.service) else { return false };
        let spec = job.step_spec(step_index);
        let eligible = match job.spec.queue.advice {
            Some(_) => job.step_states[step_index].advice.granted_set.intersection(&cycle.open),
            None => cycle.open.clone(),
        };
        let mut found = 0;
        for index in eligible.iter() {
            if found >= needed {
                break;
            }
            let Some(view_index) = cycle.view_index_of(index) else { continue };
            let view = &cycle.workers[view_index];
            if self.is_eligible(service, spec, view, Purpose::Reservation) {
                found += places(view);
            }
        }
        found >= needed
    }

    /// Suspends the reservation of a gang if all its places have been free for long. Returns
    /// whether it did.
    ///
    /// Such a gang waits for something else than capacity, which may take long or never come.
    fn suspend_if_idle(&mut self, step: StepId, step_index: usize, is_idle: bool) -> bool {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&step.job) else { return false };
        let step_state = &mut job.step_states[step_index];
        if !is_idle {
            step_state.reserved_idle_since_ms = None;
            return false;
        }
        let idle_since_ms = *step_state.reserved_idle_since_ms.get_or_insert(now_ms);
        if now_ms < idle_since_ms + IDLE_RESERVATION_MAX_MS {
            return false;
        }
        step_state.reserved_idle_since_ms = None;
        step_state.suspended_until_ms = now_ms + SUSPENSION_MS;
        let placement = step_state.wait_reason.placement;
        tracing::info!(%step, idle_ms = now_ms - idle_since_ms, %placement, "reservation of a gang suspended: it does not start although all its places are free");
        true
    }

    /// Drops the reservation of a gang that could not start now even if the workers were free.
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
            .filter(|(id, allocation)| !allocation.is_long_running || self.is_ending(**id))
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

    /// Whether a placed task is being stopped because its job has ended.
    fn is_ending(&self, id: TaskId) -> bool {
        self.jobs.get(&id.step.job).is_none_or(|job| job.outcome.is_some())
    }

    /// Estimates the remaining time of a placed task, from its progress if there is enough of
    /// it, else from its expected duration.
    pub(crate) fn remaining_ms(&self, id: TaskId) -> u64 {
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
