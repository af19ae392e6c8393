//! Reservations of waiting jobs; see [`crate::reservation`].

use stoatwell_model::Class;
use stoatwell_model::JobId;
use stoatwell_model::OwnerName;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;

use crate::cell::CapacityView;
use crate::queue::WaitingJob;
use crate::reservation::Reservation;
use crate::scheduler::Decision;
use crate::scheduler::Placed;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Makes a reservation for a job that did not fit, if it has waited long enough and its
    /// owner has none yet.
    pub(super) fn reserve_if_due(&mut self, now_ms: UnixMs, job: &WaitingJob) {
        let waited_ms = now_ms.saturating_sub(job.accepted_ms);
        if waited_ms < self.policy.reserve_after_ms || self.reservations.contains_key(&job.owner) {
            return;
        }
        let demand = self.demand(job);
        let tasks = if job.class == Class::Gang { job.tasks.len() } else { 1 };
        // A gang that is too large for these workers collects capacity at several daemons.
        // A reservation here would only keep capacity from other jobs.
        if !self.cell.could_fit_all(&job.owner, &demand, tasks) {
            return;
        }
        let until_ms = now_ms + self.policy.reserve_ms;
        let reservation =
            Reservation { job: job.job, until_ms, tasks, demand, reserved_workers: Vec::new() };
        self.reservations.insert(job.owner.clone(), reservation);
        self.counters.reservations += 1;
    }

    /// Reserves free capacity for each reservation, starts the jobs of complete
    /// reservations and ends expired ones.
    pub(super) fn advance_reservations(&mut self, now_ms: UnixMs, decisions: &mut Vec<Decision>) {
        let owners: Vec<OwnerName> = self.reservations.keys().cloned().collect();
        for owner in owners {
            let Some(mut reservation) = self.reservations.remove(&owner) else {
                continue;
            };
            let Some(job) = self.queue.get(reservation.job).cloned() else {
                self.release_reservation(&reservation);
                continue;
            };
            while !reservation.is_complete() {
                let Some(index) =
                    self.cell.find_packed(&owner, &reservation.demand, CapacityView::Free)
                else {
                    break;
                };
                self.cell.reserve(index, &reservation.demand);
                reservation.reserved_workers.push(self.cell.worker_at(index).worker.clone());
            }
            if reservation.is_complete() {
                self.release_reservation(&reservation);
                self.start_reserved(now_ms, &job, &reservation, decisions);
                continue;
            }
            if now_ms >= reservation.until_ms {
                self.release_reservation(&reservation);
                self.queue.defer(reservation.job, now_ms + self.policy.reserve_ms);
                continue;
            }
            self.reservations.insert(owner, reservation);
        }
    }

    pub(super) fn start_reserved(
        &mut self,
        now_ms: UnixMs,
        job: &WaitingJob,
        reservation: &Reservation,
        decisions: &mut Vec<Decision>,
    ) {
        let mut tasks = Vec::new();
        let mut victims = Vec::new();
        for (attempt, worker) in job.tasks.iter().zip(&reservation.reserved_workers) {
            let Some(index) = self.cell.index_of(worker) else {
                break;
            };
            if !self.cell.worker_at(index).is_schedulable() {
                break;
            }
            // Work that uses the reserved capacity is evicted.
            let Some((_, evict)) = self.cell.victims(index, &reservation.demand, now_ms) else {
                break;
            };
            let worker = worker.clone();
            let placed = Placed { attempt: *attempt, worker, demand: reservation.demand, evict };
            victims.extend(self.allocate(now_ms, job, &placed));
            tasks.push(placed);
        }
        if tasks.len() < reservation.tasks {
            self.roll_back(&tasks, victims);
            return;
        }
        self.queue.take_tasks(job.job, tasks.len());
        decisions.push(Decision::Start { job: job.job, tasks });
    }

    pub(super) fn release_reservation(&mut self, reservation: &Reservation) {
        for worker in &reservation.reserved_workers {
            if let Some(index) = self.cell.index_of(worker) {
                self.cell.release_reserved(index, &reservation.demand);
            }
        }
    }

    pub(super) fn drop_reservation_of(&mut self, job: JobId) {
        let owner = self.reservations.iter().find(|(_, reservation)| reservation.job == job);
        let Some(owner) = owner.map(|(owner, _)| owner.clone()) else {
            return;
        };
        if let Some(reservation) = self.reservations.remove(&owner) {
            self.release_reservation(&reservation);
        }
    }

    pub(super) fn drop_reserved_on(&mut self, worker: &WorkerId) {
        let Some(index) = self.cell.index_of(worker) else {
            return;
        };
        for reservation in self.reservations.values_mut() {
            let before = reservation.reserved_workers.len();
            reservation.reserved_workers.retain(|reserved_worker| reserved_worker != worker);
            for _ in reservation.reserved_workers.len()..before {
                self.cell.release_reserved(index, &reservation.demand);
            }
        }
    }
}
