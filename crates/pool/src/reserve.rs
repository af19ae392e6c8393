//! Workers that are kept for a waiting gang.
//!
//! A gang needs all its places at one moment, and work that needs less would take
//! each bit of room as it comes free. So workers are kept from work of its rank and
//! below: those on which, by what their tasks have left to do, the places come free
//! first. To keep whole workers until they are empty costs several times as much
//! idle room and the gang waits for the longest task on them. Until the last place is
//! free, the others are open to work that is over by then.

use stoatwell_model::Resources;

use crate::Pool;
use crate::choose::Cycle;
use crate::choose::EligibleWorker;
use crate::choose::Reservation;
use crate::choose::places_in;
use crate::id::StepId;
use crate::id::TaskId;
use crate::worker::Slot;

/// A gang that needs less than this share, in hundredths, of the places that its workers
/// have while empty finds them free at one moment soon enough without a reservation.
const RESERVING_PERCENT: u64 = 30;
/// Which workers are kept is worked out again after this; it means a look at all
/// tasks on all workers that the gang may use.
const RESERVE_ANEW_MS: u64 = 300;
/// Progress below this tells little of the time that is left.
const PERCENT_MIN: u64 = 10;
/// A task that is over its time has this much left, for all one knows.
const OVERDUE_MS: u64 = 300;

impl Pool {
    /// Keeps workers for a waiting gang, `most` at most; gives how many.
    pub(crate) fn reserve_workers(
        &mut self,
        step: StepId,
        unit: usize,
        priority: u32,
        cycle: &mut Cycle,
        most: usize,
    ) -> usize {
        if most == 0 {
            return 0;
        }
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        if now_ms < job.units[unit].reserved_ms + RESERVE_ANEW_MS {
            return self.renew_reservation(step, unit, priority, cycle, most);
        }
        let spec = job.step(unit);
        let need = spec.worker_demand();
        let wanted = job.units[unit].tasks.len();
        // When each place comes free, and on which worker.
        let mut coming: Vec<(u64, usize)> = Vec::new();
        let allowed = self.eligible_workers(step, unit, spec, cycle);
        let empty = |one: &EligibleWorker| places_in(&cycle.workers[one.index].capacity, &need);
        let places: u64 = allowed.iter().map(empty).sum();
        if wanted as u64 * 100 < places * RESERVING_PERCENT {
            return 0;
        }
        for one in allowed {
            if !cycle.workers[one.index].admits(step, priority) {
                continue;
            }
            let times_ms = self.places_ms(cycle.workers[one.index].slot, &need);
            coming.extend(times_ms.into_iter().map(|left_ms| (left_ms, one.index)));
        }
        coming.sort_unstable();
        coming.truncate(wanted);
        let until_ms = now_ms + coming.last().map_or(0, |(left_ms, _)| *left_ms);
        let mut slots: Vec<Slot> = Vec::new();
        for (_, at) in coming {
            if cycle.workers[at].reserved_for.is_some_and(|reserved| reserved.step == step) {
                continue;
            }
            if slots.len() >= most {
                break;
            }
            cycle.workers[at].reserved_for = Some(Reservation { priority, step, until_ms });
            slots.push(cycle.workers[at].slot);
        }
        let reserved = slots.len();
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.units[unit].reserved = slots;
            job.units[unit].reserved_ms = now_ms;
            job.units[unit].reserved_until_ms = until_ms;
        }
        reserved
    }

    /// Keeps the workers for a waiting gang that were kept at its last look.
    pub(crate) fn renew_reservation(
        &self,
        step: StepId,
        unit: usize,
        priority: u32,
        cycle: &mut Cycle,
        most: usize,
    ) -> usize {
        let Some(job) = self.jobs.get(&step.job) else { return 0 };
        let mut reserved = 0;
        let until_ms = job.units[unit].reserved_until_ms;
        for slot in job.units[unit].reserved.iter().take(most) {
            let Some(at) = cycle.index_of(*slot) else { continue };
            if cycle.workers[at].admits(step, priority) {
                cycle.workers[at].reserved_for = Some(Reservation { priority, step, until_ms });
                reserved += 1;
            }
        }
        reserved
    }

    /// Keeps no worker for a gang that could not start now if all were free.
    pub(crate) fn drop_reservation(&mut self, step: StepId, unit: usize) {
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.units[unit].reserved.clear();
        }
    }

    /// In how long each place for a task of this need comes free on a worker, if
    /// nothing else goes there; 0 for those that are free now.
    fn places_ms(&self, slot: Slot, need: &Resources) -> Vec<u64> {
        let Some(worker) = self.worker_at(slot) else { return Vec::new() };
        let mut ends: Vec<(u64, &Resources)> = worker
            .tasks
            .iter()
            .map(|(id, taken)| (self.left_ms(*id), &taken.worker_demand))
            .collect();
        ends.sort_unstable_by_key(|(left_ms, _)| *left_ms);
        let mut free = worker.free();
        let mut times_ms = vec![0; places_in(&free, need) as usize];
        for (left_ms, room) in ends {
            free = free.plus(room);
            times_ms.resize(places_in(&free, need) as usize, left_ms);
        }
        times_ms
    }

    /// How long a task that has room somewhere will go on, by its progress or by
    /// what its like take.
    fn left_ms(&self, id: TaskId) -> u64 {
        let Some(job) = self.jobs.get(&id.step.job).filter(|job| job.outcome.is_none()) else {
            return OVERDUE_MS;
        };
        let Some(unit) = job.unit_of(id.step) else { return OVERDUE_MS };
        let Some(task) = job.units[unit].tasks.get(id.index as usize) else { return OVERDUE_MS };
        let began_ms = if task.began_ms == 0 { self.now_ms } else { task.began_ms };
        let had_ms = self.now_ms.saturating_sub(began_ms);
        let percent = u64::from(task.percent.min(100));
        if percent >= PERCENT_MIN {
            return had_ms * (100 - percent) / percent;
        }
        self.expected_task_ms(id.step).saturating_sub(had_ms).max(OVERDUE_MS)
    }
}
