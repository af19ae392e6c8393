//! Selection of workers for the tasks of a step.

use std::collections::BTreeMap;
use std::collections::HashMap;

use stoatwell_model::Resources;

use crate::Pool;
use crate::QueueKey;
use crate::id::StepId;
use crate::jobs::spec::StepSpec;
use crate::jobs::spec::TASKS_MAX;
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
/// that the cycle has not allocated yet.
#[derive(Debug, Default)]
pub(crate) struct Cycle {
    pub workers: Vec<WorkerView>,
    /// Indices into `workers` by [`WorkerIndex`]; `None` for workers that take no tasks.
    view_indices: Vec<Option<u32>>,
    services: Vec<Service>,
    /// What each customer uses, by [`CustomerId`](crate::jobs::customers::CustomerId).
    pub customers: Vec<Resources>,
}

/// A service during one scheduling cycle.
#[derive(Debug)]
struct Service {
    name: String,
    /// Free capacity of its workers in this cycle together.
    free: Resources,
}

/// A worker during one scheduling cycle.
#[derive(Clone, Debug)]
pub(crate) struct WorkerView {
    pub worker_index: WorkerIndex,
    /// The index of its service, see [`Cycle::service_index`].
    pub service: usize,
    pub incarnation: u64,
    /// See [`Worker::has_recent_failures`].
    has_recent_failures: bool,
    pub free: Resources,
    pub capacity: Resources,
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
        self.services.iter().position(|service| service.name == name)
    }

    /// The index of a worker in `workers`; `None` if it takes no tasks in this cycle.
    pub fn view_index_of(&self, worker_index: WorkerIndex) -> Option<usize> {
        self.view_indices
            .get(worker_index.0)
            .copied()
            .flatten()
            .map(|view_index| view_index as usize)
    }

    /// Whether no reservation keeps the request from a candidate.
    pub fn may_start(&self, request: &PlacementRequest<'_>, candidate: &Candidate) -> bool {
        self.workers[candidate.view_index].may_start_here(request)
    }

    fn allocate(&mut self, view_index: usize, demand: &Resources) {
        self.workers[view_index].free = self.workers[view_index].free.minus(demand);
        let sum = &mut self.services[self.workers[view_index].service].free;
        *sum = sum.minus(demand);
    }

    pub fn deallocate(&mut self, view_index: usize, demand: &Resources) {
        self.workers[view_index].free = self.workers[view_index].free.plus(demand);
        let sum = &mut self.services[self.workers[view_index].service].free;
        *sum = sum.plus(demand);
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
    /// Starts a scheduling cycle with the workers that take tasks now.
    ///
    /// These are the open workers. Workers that are closed only by a quarantine for failed
    /// runs are added if their service is not in [`Pool::services_enforcing_quarantine`].
    pub(crate) fn begin_cycle(&self) -> Cycle {
        let mut cycle = Cycle { customers: self.customer_usage(), ..Cycle::default() };
        cycle.workers.reserve(self.workers.len());
        cycle.view_indices.resize(self.worker_names.len(), None);
        let enforcing_services = self.services_enforcing_quarantine();
        for worker in self.workers.values() {
            let quarantine_waived = worker.is_quarantined_for_failures(self.now_ms)
                && !enforcing_services.contains(&worker.info.service.as_str());
            if !worker.is_open(self.now_ms) && !quarantine_waived {
                continue;
            }
            let free = worker.free();
            let service = cycle.service_index(&worker.info.service).unwrap_or_else(|| {
                let name = worker.info.service.clone();
                cycle.services.push(Service { name, free: Resources::ZERO });
                cycle.services.len() - 1
            });
            let sum = &mut cycle.services[service].free;
            *sum = sum.plus(&free);
            cycle.view_indices[worker.index.0] = Some(cycle.workers.len() as u32);
            cycle.workers.push(WorkerView {
                worker_index: worker.index,
                service,
                incarnation: worker.info.incarnation,
                has_recent_failures: worker.has_recent_failures(),
                free,
                capacity: worker.info.capacity,
                reserved_for: None,
            });
        }
        cycle
    }

    /// The worker with this index; `None` if it has been removed.
    pub(crate) fn worker_at(&self, worker_index: WorkerIndex) -> Option<&Worker> {
        self.workers.get(self.worker_names.get(worker_index.0)?)
    }

    /// Services in which a worker with failed runs stays in quarantine.
    ///
    /// Elsewhere, more workers are in quarantine for failed runs than are open. If runs fail
    /// on most workers of a service, the tasks themselves are presumably at fault, and if all
    /// of these workers stayed in quarantine, no task of the service would run.
    fn services_enforcing_quarantine(&self) -> Vec<&str> {
        // Service, open workers, workers in quarantine for failed runs. A list is enough
        // since there are few services.
        let mut counts: Vec<(&str, usize, usize)> = Vec::new();
        for worker in self.workers.values() {
            let service = worker.info.service.as_str();
            let known = counts.iter().position(|(name, ..)| *name == service);
            let index = known.unwrap_or_else(|| {
                counts.push((service, 0, 0));
                counts.len() - 1
            });
            let (_, open, quarantined) = &mut counts[index];
            *open += usize::from(worker.is_open(self.now_ms));
            *quarantined += usize::from(worker.is_quarantined_for_failures(self.now_ms));
        }
        let enforces_quarantine =
            |(_, open, quarantined): &(&str, usize, usize)| quarantined <= open;
        counts.into_iter().filter(enforces_quarantine).map(|(service, ..)| service).collect()
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
    pub(crate) fn headroom(&self, step: StepId, key: QueueKey) -> Resources {
        let Some(job) = self.jobs.get(&step.job).filter(|_| key.priority > 0) else {
            return Resources::ZERO;
        };
        let service = &job.spec.queue.service;
        let urgent =
            self.urgent_headroom(service).plus(&self.headroom_for_gangs(step, key.priority));
        if self.slack_ms(key, step) < self.expected_task_ms(step) as i64 {
            return urgent;
        }
        let between = self.estimates.mean_usage(service, 1..key.priority);
        urgent.plus(&between.share(SLACK_HEADROOM_PERCENT, 100))
    }

    /// Capacity of a service that work below the highest priority leaves free.
    pub(crate) fn urgent_headroom(&self, service: &str) -> Resources {
        self.estimates.mean_usage(service, 0..1).share(HEADROOM_PERCENT, 100)
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
