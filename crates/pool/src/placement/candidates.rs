//! Selection of workers for the tasks of a step.

use std::collections::BTreeMap;
use std::collections::HashMap;

use stoatwell_model::Resources;

use crate::Pool;
use crate::QueueKey;
use crate::id::StepId;
use crate::jobs::customers::CapReservation;
use crate::jobs::spec::StepSpec;
use crate::jobs::spec::TASKS_MAX;
use crate::placement::cycle_state::CountedWorker;
use crate::placement::rooms::Rooms;
use crate::placement::rooms::WorkerSet;
use crate::placement::work::Purpose;
use crate::workers::worker::Usage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerIndex;

/// Capacity that other work leaves free for urgent work, in percent of the moving average of
/// what urgent work uses. This is enough to place twice the usual arrivals at once, because
/// capacity also comes free as running tasks end.
const HEADROOM_PERCENT: u64 = 80;

/// Capacity that work with much slack leaves free for the priorities between urgent and its
/// own, in percent of the moving average of what those priorities use.
///
/// Work has much slack if it could wait for its own expected duration and still be in time.
/// Without this limit, such work would take capacity bit by bit as it comes free, and gangs
/// would not find the much larger capacity that they need at one moment.
const SLACK_HEADROOM_PERCENT: u64 = 20;

/// The state of one scheduling cycle: the workers that may get tasks, with the capacity
/// that the cycle has not allocated yet. The next cycle takes it over; see
/// [`Pool::begin_cycle`].
#[derive(Debug, Default)]
pub(crate) struct Cycle {
    pub workers: Vec<WorkerView>,
    /// Indices into `workers` by [`WorkerIndex`]; `None` for workers that take no tasks.
    pub view_indices: Vec<Option<u32>>,
    pub services: Vec<Service>,
    /// What each customer uses in this cycle, by
    /// [`CustomerId`](crate::jobs::customers::CustomerId).
    pub customers: Vec<Resources>,
    /// What is reserved of each customer's cap, by
    /// [`CustomerId`](crate::jobs::customers::CustomerId).
    pub cap_reservations: Vec<Option<CapReservation>>,
    /// What each customer uses on all workers, as of the start of the cycle.
    pub usage: Vec<Usage>,
    /// What the sums contain of each worker, by [`WorkerIndex`].
    pub counted: Vec<CountedWorker>,
    /// The workers in `workers` by their free capacity.
    pub rooms: Rooms,
    /// The workers in `workers` by their whole capacity.
    pub capacities: Rooms,
    /// The workers in `workers`.
    pub open: WorkerSet,
    /// Changes whenever the capacity of a worker changes.
    pub capacity_version: u64,
    /// Whether `workers` is in the order of their names.
    pub is_sorted: bool,
    /// Views that have a reservation in this cycle.
    pub reserved_views: Vec<usize>,
    /// When time alone may open or close a worker next.
    pub next_time_change_ms: u64,
}

/// A service during one scheduling cycle.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub name: String,
    /// Free capacity of its workers in this cycle together.
    pub free: Resources,
    /// The capacity of its workers together without what long-running tasks take.
    pub ending: Resources,
    /// The most of each resource that one of its workers has had.
    pub largest: Resources,
    /// Number of its workers that may get tasks in this cycle.
    pub views: usize,
    /// Number of its open workers.
    pub open_workers: usize,
    /// Number of its workers in quarantine for failed runs.
    pub quarantined_workers: usize,
}

impl Service {
    /// Whether a worker with failed runs stays in quarantine.
    pub fn enforces_quarantine(&self) -> bool {
        self.quarantined_workers <= self.open_workers
    }
}

/// A worker during one scheduling cycle.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    pub worker_index: WorkerIndex,
    /// The index of its service, see [`Cycle::service_index`].
    pub service: usize,
    pub incarnation: u64,
    /// See [`Worker::has_recent_failures`].
    pub has_recent_failures: bool,
    pub free: Resources,
    pub capacity: Resources,
    /// What long-running tasks take of it.
    pub long_running: Resources,
    /// The waiting gang that the worker is reserved for. While it is reserved, the worker
    /// takes no other work except work of higher priority, and work that ends before the
    /// gang could start. Otherwise smaller gangs of the same priority would overtake a large
    /// one again and again.
    pub reserved_for: Option<Reservation>,
}

/// A reservation of a worker for a waiting gang.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub priority: u32,
    pub step: StepId,
    /// When capacity for the last of its tasks is expected to come free. The gang cannot
    /// start before that, so work that ends earlier may use the reserved capacity.
    pub until_ms: u64,
}

/// A request to place tasks of a step.
#[derive(Debug)]
pub(crate) struct PlacementRequest<'a> {
    pub step: StepId,
    pub service: usize,
    pub spec: &'a StepSpec,
    pub priority: u32,
    /// When its tasks are expected to end if they start now.
    pub expected_end_ms: u64,
    /// Capacity of the service that it has to leave free for work of higher priority.
    pub headroom: Resources,
}

/// A worker that may run a step's tasks, whether or not it has free capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EligibleWorker {
    /// The index in [`Cycle::workers`].
    pub view_index: usize,
    /// Whether the advisor need not be queried before a start: the queue has no advisor, or
    /// the step has a ticket for this worker that will still be valid when a start arrives.
    pub needs_no_new_ticket: bool,
}

/// An eligible worker with free capacity for a task of the step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// The index in [`Cycle::workers`].
    view_index: usize,
    /// Penalty that is added to the share of capacity left free; see [`Cycle::score`].
    penalty: f64,
    /// Tasks of the step on this worker. Only counted if the step limits them.
    tasks_on_worker: u32,
}

impl WorkerView {
    /// The capacity that is not taken by long-running tasks.
    pub fn ending(&self) -> Resources {
        self.capacity.minus(&self.long_running)
    }

    /// Whether the worker is free of a reservation that excludes a step of this priority.
    pub fn reservation_permits(&self, step: StepId, priority: u32) -> bool {
        self.reserved_for
            .is_none_or(|reserved| reserved.step == step || priority < reserved.priority)
    }

    /// Whether the reservation, if any, lets a task of this step start here now. In addition
    /// to what [`Self::reservation_permits`], a task may start that is expected to end before
    /// the gang with the reservation could start.
    fn may_start_here(&self, request: &PlacementRequest<'_>) -> bool {
        self.reservation_permits(request.step, request.priority)
            || self
                .reserved_for
                .is_some_and(|reserved| request.expected_end_ms <= reserved.until_ms)
    }
}

impl Cycle {
    /// The index of a service; `None` if none of its workers takes tasks in this cycle.
    pub fn service_index(&self, name: &str) -> Option<usize> {
        self.services.iter().position(|service| service.views > 0 && service.name == name)
    }

    /// The index of a worker in `workers`; `None` if it takes no tasks in this cycle.
    pub fn view_index_of(&self, worker_index: WorkerIndex) -> Option<usize> {
        self.view_indices
            .get(worker_index.0)
            .copied()
            .flatten()
            .map(|view_index| view_index as usize)
    }

    /// The capacity that a worker had when it last took tasks.
    pub fn last_capacity(&self, worker_index: WorkerIndex) -> Resources {
        self.counted.get(worker_index.0).map_or(Resources::ZERO, CountedWorker::capacity)
    }

    /// Whether no reservation keeps the request from a candidate.
    pub fn may_start(&self, request: &PlacementRequest<'_>, candidate: &Candidate) -> bool {
        self.workers[candidate.view_index].may_start_here(request)
    }

    fn allocate(&mut self, view_index: usize, demand: &Resources) {
        let free = self.workers[view_index].free.minus(demand);
        self.set_free(view_index, free);
    }

    pub fn deallocate(&mut self, view_index: usize, demand: &Resources) {
        let free = self.workers[view_index].free.plus(demand);
        self.set_free(view_index, free);
    }

    /// The workers of a service with room for a task of this demand, and how many workers were
    /// compared with it.
    pub fn room_for(&self, service: usize, demand: &Resources) -> (WorkerSet, usize) {
        self.rooms.with_room(service, demand, |index| {
            let view = self.view_index_of(index).map(|view_index| &self.workers[view_index]);
            view.is_some_and(|view| view.free.holds(demand))
        })
    }

    /// The workers of a service that could run a task of this demand if they were empty, and how
    /// many workers were compared with it.
    pub fn capable_of(&self, service: usize, demand: &Resources) -> (WorkerSet, usize) {
        self.capacities.with_room(service, demand, |index| {
            let view = self.view_index_of(index).map(|view_index| &self.workers[view_index]);
            view.is_some_and(|view| view.capacity.holds(demand))
        })
    }

    fn set_free(&mut self, view_index: usize, free: Resources) {
        let view = &mut self.workers[view_index];
        let sum = &mut self.services[view.service].free;
        *sum = sum.minus(&view.free).plus(&free);
        view.free = free;
        self.rooms.update(view.worker_index, Some((view.service, &free)));
    }

    /// Reserves a worker for the rest of the cycle.
    pub fn reserve(&mut self, view_index: usize, reservation: Reservation) {
        self.workers[view_index].reserved_for = Some(reservation);
        self.reserved_views.push(view_index);
    }

    /// Picks workers for as many of the waiting tasks as possible and allocates the
    /// capacity within this cycle. Returns pairs of a task's index and
    /// the index of its worker in [`Self::workers`].
    ///
    /// This is best fit: the worker that has the smallest share of its capacity left is
    /// filled first, so that whole workers stay free for large tasks.
    pub fn choose(
        &mut self,
        request: &PlacementRequest<'_>,
        waiting: &[u32],
        mut candidates: Vec<Candidate>,
    ) -> Vec<(u32, usize)> {
        let demand = request.spec.worker_demand();
        let per_worker_max = request.spec.per_worker_max;
        candidates.retain(|candidate| self.workers[candidate.view_index].may_start_here(request));
        // Sorted once: the best fit remains the best fit until it is full.
        candidates.sort_by(|a, b| self.score(a, &demand).total_cmp(&self.score(b, &demand)));
        let mut chosen = Vec::new();
        let mut waiting = waiting.iter();
        for mut candidate in candidates {
            while self.workers[candidate.view_index].free.holds(&demand)
                && (per_worker_max == 0 || candidate.tasks_on_worker < per_worker_max)
            {
                if !self.leaves_headroom(request, &demand) {
                    return chosen;
                }
                let Some(task_index) = waiting.next() else { return chosen };
                candidate.tasks_on_worker += 1;
                self.allocate(candidate.view_index, &demand);
                chosen.push((*task_index, candidate.view_index));
            }
        }
        chosen
    }

    /// The share of its capacity that a candidate would have left, plus its penalty;
    /// lower is better.
    fn score(&self, candidate: &Candidate, demand: &Resources) -> f64 {
        let view = &self.workers[candidate.view_index];
        view.free.minus(demand).dominant_share(&view.capacity) + candidate.penalty
    }

    fn leaves_headroom(&self, request: &PlacementRequest<'_>, demand: &Resources) -> bool {
        if request.headroom.is_zero() {
            return true;
        }
        self.services[request.service].free.holds(&demand.plus(&request.headroom))
    }
}

impl Pool {
    /// The workers of a service with room for a task of this demand.
    pub(crate) fn room_for(&self, cycle: &Cycle, service: usize, demand: &Resources) -> WorkerSet {
        let (workers, compared) = cycle.room_for(service, demand);
        self.pair_count.add(Purpose::Room, compared);
        workers
    }

    /// The workers of a service that could run a task of this demand if they were empty.
    pub(crate) fn capable_of(
        &self,
        cycle: &Cycle,
        service: usize,
        demand: &Resources,
    ) -> WorkerSet {
        let (workers, compared) = cycle.capable_of(service, demand);
        self.pair_count.add(Purpose::Selection, compared);
        workers
    }

    /// The eligible workers with free capacity for a task, each with a penalty for being
    /// outside the rack of the data, for recent failures and for lacking a fresh ticket.
    pub(crate) fn candidates(
        &self,
        step: StepId,
        step_index: usize,
        spec: &StepSpec,
        eligible: &[EligibleWorker],
        cycle: &Cycle,
    ) -> Vec<Candidate> {
        let demand = spec.worker_demand();
        let tasks_on_worker = self.tasks_by_worker(step, step_index, spec);
        let mut candidates = Vec::with_capacity(eligible.len());
        for worker in eligible {
            let view = &cycle.workers[worker.view_index];
            if !view.free.holds(&demand) {
                continue;
            }
            let outside_rack = spec.near_rack.is_some()
                && spec.near_rack.as_deref()
                    != self.worker_at(view.worker_index).and_then(Worker::rack);
            let avoid = outside_rack || view.has_recent_failures;
            let penalty =
                f64::from(u8::from(avoid)) * 4.0 + f64::from(u8::from(!worker.needs_no_new_ticket));
            let tasks_on_worker = tasks_on_worker.get(&view.worker_index).copied().unwrap_or(0);
            candidates.push(Candidate { view_index: worker.view_index, penalty, tasks_on_worker });
        }
        candidates
    }

    /// Like [`Cycle::choose`], but prefers workers of one rack, for tasks that take longer
    /// when they are spread over several. If no rack fits all waiting tasks, any workers
    /// are used.
    pub(crate) fn choose_in_one_rack(
        &self,
        request: &PlacementRequest<'_>,
        step_index: usize,
        waiting: &[u32],
        candidates: Vec<Candidate>,
        cycle: &mut Cycle,
    ) -> Vec<(u32, usize)> {
        let demand = request.spec.worker_demand();
        let current_rack = self.rack_in_use(request.step, step_index);
        let mut racks: BTreeMap<&str, (u64, Vec<Candidate>)> = BTreeMap::new();
        for candidate in &candidates {
            let view = &cycle.workers[candidate.view_index];
            let Some(rack) = self.worker_at(view.worker_index).and_then(Worker::rack) else {
                continue;
            };
            let (places, members) = racks.entry(rack).or_default();
            *places += places_in(&view.free, &demand);
            members.push(*candidate);
        }
        let mut order: Vec<(&str, (u64, Vec<Candidate>))> = racks.into_iter().collect();
        order.retain(|(_, (places, _))| *places >= waiting.len() as u64);
        // The rack that the step already uses first, then those with the least free
        // capacity: racks with much free capacity are left for large steps.
        order.sort_by_key(|(rack, (places, _))| (Some(*rack) != current_rack, *places));
        for (_, (_, members)) in order {
            let chosen = cycle.choose(request, waiting, members);
            if chosen.len() == waiting.len() {
                return chosen;
            }
            for (_, view_index) in chosen {
                cycle.deallocate(view_index, &demand);
            }
        }
        cycle.choose(request, waiting, candidates)
    }

    /// The rack of the first task of the step that is on a worker.
    fn rack_in_use(&self, step: StepId, step_index: usize) -> Option<&str> {
        let tasks = &self.jobs.get(&step.job)?.step_states[step_index].tasks;
        let name = tasks.iter().find_map(|task| task.worker.as_ref())?;
        self.workers.get(name)?.rack()
    }

    /// Capacity of the service that a step has to leave free for work of higher priority.
    ///
    /// A long-running task that was lost leaves none: it only takes again what it had, and might
    /// wait for ever where the service is busy.
    pub(crate) fn headroom(&self, step: StepId, key: QueueKey) -> Resources {
        let Some(job) = self.jobs.get(&step.job).filter(|_| key.priority > 0) else {
            return Resources::ZERO;
        };
        let is_restart = |step_index| job.lost_long_running_tasks(step_index).next().is_some();
        if job.step_index(step).is_some_and(is_restart) {
            return Resources::ZERO;
        }
        let service = &job.spec.queue.service;
        let urgent = self.estimates.mean_usage(service, 0..1).share(HEADROOM_PERCENT, 100);
        if self.slack_ms(key, step) < self.expected_task_ms(step) as i64 {
            return urgent;
        }
        let between = self.estimates.mean_usage(service, 1..key.priority);
        urgent.plus(&between.share(SLACK_HEADROOM_PERCENT, 100))
    }

    /// How many tasks of the step each worker has; empty if the step sets no limit.
    fn tasks_by_worker(
        &self,
        step: StepId,
        step_index: usize,
        spec: &StepSpec,
    ) -> HashMap<WorkerIndex, u32> {
        let mut counts = HashMap::new();
        let Some(job) = self.jobs.get(&step.job) else { return counts };
        if spec.per_worker_max == 0 {
            return counts;
        }
        for task in &job.step_states[step_index].tasks {
            let Some(worker) = task.worker.as_ref().and_then(|name| self.workers.get(name)) else {
                continue;
            };
            *counts.entry(worker.index).or_default() += 1;
        }
        counts
    }
}

/// How many tasks of this demand fit into the free capacity. Limited to the tasks that a
/// job may have, since tasks without any demand would fit any number of times.
pub(crate) fn places_in(free: &Resources, demand: &Resources) -> u64 {
    free.fit_count(demand).min(TASKS_MAX)
}
