//! The state that scheduling cycles share.
//!
//! A cycle takes over the views of the workers, the sums of each service and the usage of each
//! customer from the previous one, and reads again only the workers that changed since.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;

use crate::Pool;
use crate::jobs::customers::CustomerId;
use crate::placement::candidates::Cycle;
use crate::placement::candidates::Service;
use crate::placement::candidates::WorkerView;
use crate::workers::worker::Usage;
use crate::workers::worker::Worker;
use crate::workers::worker::WorkerIndex;

/// If more than one in this many workers changed, all are passed over to find them.
const READ_ALL_DIVISOR: usize = 4;

/// Maximum queued steps whose demands [`Pool::cycle_state_faults`] checks.
const CHECKED_DEMANDS_MAX: usize = 50;

/// What the sums of a cycle contain of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct CountedWorker {
    service: Option<usize>,
    is_open: bool,
    is_quarantined: bool,
    /// Its capacity when it last took tasks.
    capacity: Resources,
    by_customer: BTreeMap<CustomerId, Usage>,
}

impl CountedWorker {
    /// Its capacity when it last took tasks.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }
}

impl Cycle {
    /// Removes what only concerned the previous cycle.
    fn reset(&mut self) {
        for view_index in std::mem::take(&mut self.reserved_views) {
            if let Some(view) = self.workers.get_mut(view_index) {
                view.reserved_for = None;
            }
        }
    }

    /// The index of a service that may have no open workers.
    fn add_service(&mut self, name: &str) -> usize {
        if let Some(index) = self.services.iter().position(|service| service.name == name) {
            return index;
        }
        self.services.push(Service { name: name.to_owned(), ..Service::default() });
        self.services.len() - 1
    }

    /// Reads a worker again; `None` if it was removed.
    fn read(&mut self, index: WorkerIndex, worker: Option<&Worker>, now_ms: u64) {
        let time_change_ms = worker.map_or(u64::MAX, |worker| worker.open_until_ms(now_ms));
        self.next_time_change_ms = self.next_time_change_ms.min(time_change_ms);
        self.count(index, worker, now_ms);
        self.update_view(index, worker);
    }

    /// Counts a worker, or no longer counts it if it is `None`, in the usage of customers and in
    /// the numbers of open and of quarantined workers.
    fn count(&mut self, index: WorkerIndex, worker: Option<&Worker>, now_ms: u64) {
        if index.0 >= self.counted.len() {
            self.counted.resize_with(index.0 + 1, CountedWorker::default);
        }
        let service = worker.map(|worker| self.add_service(&worker.info.service));
        let counted = &mut self.counted[index.0];
        if let Some(service) = counted.service {
            self.services[service].open_workers -= usize::from(counted.is_open);
            self.services[service].quarantined_workers -= usize::from(counted.is_quarantined);
        }
        counted.service = service;
        counted.is_open = worker.is_some_and(|worker| worker.is_open(now_ms));
        counted.is_quarantined =
            worker.is_some_and(|worker| worker.is_quarantined_for_failures(now_ms));
        if let Some(service) = service {
            self.services[service].open_workers += usize::from(counted.is_open);
            self.services[service].quarantined_workers += usize::from(counted.is_quarantined);
        }
        if worker.is_some_and(|worker| worker.by_customer == counted.by_customer) {
            return;
        }
        for (id, used) in &counted.by_customer {
            self.usage[id.0] = self.usage[id.0].minus(used);
        }
        counted.by_customer = worker.map(|worker| worker.by_customer.clone()).unwrap_or_default();
        for (id, used) in &counted.by_customer {
            if id.0 >= self.usage.len() {
                self.usage.resize(id.0 + 1, Usage::default());
            }
            self.usage[id.0] = self.usage[id.0].plus(used);
        }
    }

    /// Updates the view of a worker that was counted, or removes it if the worker takes no tasks.
    fn update_view(&mut self, index: WorkerIndex, worker: Option<&Worker>) {
        let (service, takes_tasks) = {
            let counted = &self.counted[index.0];
            let waived = |service: usize| {
                counted.is_quarantined && !self.services[service].enforces_quarantine()
            };
            let takes_tasks =
                counted.service.is_some_and(|service| counted.is_open || waived(service));
            (counted.service, takes_tasks)
        };
        let view_index = self.view_index_of(index);
        let Some((service, worker)) = service.zip(worker).filter(|_| takes_tasks) else {
            if let Some(view_index) = view_index {
                self.remove_view(index, view_index);
            }
            return;
        };
        let view = WorkerView {
            worker_index: index,
            service,
            incarnation: worker.info.incarnation,
            has_recent_failures: worker.has_recent_failures(),
            free: worker.free(),
            capacity: worker.info.capacity,
            long_running: worker.used.long_running,
            reserved_for: None,
        };
        let (free, capacity, ending) = (view.free, view.capacity, view.ending());
        if let Some(view_index) = view_index {
            let previous = std::mem::replace(&mut self.workers[view_index], view);
            let of_service = &mut self.services[previous.service];
            of_service.free = of_service.free.minus(&previous.free);
            of_service.ending = of_service.ending.minus(&previous.ending());
            self.services[previous.service].views -= 1;
            self.services[service].views += 1;
        } else {
            if index.0 >= self.view_indices.len() {
                self.view_indices.resize(index.0 + 1, None);
            }
            self.view_indices[index.0] = Some(self.workers.len() as u32);
            self.workers.push(view);
            self.services[service].views += 1;
            self.is_sorted = false;
            self.open.set(index, true);
        }
        let of_service = &mut self.services[service];
        of_service.free = of_service.free.plus(&free);
        of_service.ending = of_service.ending.plus(&ending);
        self.rooms.update(index, Some((service, &free)));
        self.capacities.update(index, Some((service, &capacity)));
        let largest = &mut self.services[service].largest;
        *largest = largest.max(&capacity);
        if self.counted[index.0].capacity != capacity {
            self.counted[index.0].capacity = capacity;
            self.capacity_version += 1;
        }
    }

    /// Sorts the views by name, so that equal candidates are tried in the same order whatever
    /// opened and closed before.
    fn sort_views(&mut self, names: &[WorkerId]) {
        if std::mem::replace(&mut self.is_sorted, true) {
            return;
        }
        self.workers.sort_by(|a, b| names[a.worker_index.0].cmp(&names[b.worker_index.0]));
        for (view_index, view) in self.workers.iter().enumerate() {
            self.view_indices[view.worker_index.0] = Some(view_index as u32);
        }
    }

    fn remove_view(&mut self, index: WorkerIndex, view_index: usize) {
        let removed = self.workers.swap_remove(view_index);
        let service = &mut self.services[removed.service];
        service.free = service.free.minus(&removed.free);
        service.ending = service.ending.minus(&removed.ending());
        service.views -= 1;
        self.view_indices[index.0] = None;
        if let Some(moved) = self.workers.get(view_index) {
            self.view_indices[moved.worker_index.0] = Some(view_index as u32);
        }
        self.is_sorted = false;
        self.open.set(index, false);
        self.rooms.update(index, None);
        self.capacities.update(index, None);
    }
}

impl Pool {
    /// Starts a scheduling cycle with the workers that take tasks now.
    ///
    /// These are the open workers. Workers that are closed only by a quarantine for failed
    /// runs are added unless more workers of their service are open than in such a quarantine.
    /// If runs fail on most workers of a service, the tasks themselves are presumably at fault,
    /// and if all of these workers stayed in quarantine, no task of the service would run.
    pub(crate) fn begin_cycle(&mut self) -> Cycle {
        let now_ms = self.now_ms;
        let mut cycle = std::mem::take(&mut self.cycle);
        cycle.reset();
        let mut changed = self.workers.take_changed();
        if now_ms >= cycle.next_time_change_ms {
            cycle.next_time_change_ms = u64::MAX;
            changed.extend(self.workers.values().map(|worker| worker.index));
        }
        self.cycle_work.workers_read += changed.len() as u64;
        let enforcing: Vec<bool> =
            cycle.services.iter().map(Service::enforces_quarantine).collect();
        // Looking a worker up by its name costs more than passing over some that did not change.
        let read_all = changed.len() * READ_ALL_DIVISOR > self.workers.len();
        if read_all {
            for worker in self.workers.values() {
                if changed.remove(&worker.index) {
                    cycle.read(worker.index, Some(worker), now_ms);
                }
            }
        }
        for index in changed {
            cycle.read(index, self.worker_at(index), now_ms);
        }
        // A quarantine that begins or ends to be enforced concerns all workers of its service.
        for (service, was_enforcing) in enforcing.into_iter().enumerate() {
            if cycle.services[service].enforces_quarantine() != was_enforcing {
                for worker in self.workers.values() {
                    if cycle.counted[worker.index.0].service == Some(service) {
                        cycle.update_view(worker.index, Some(worker));
                    }
                }
            }
        }
        cycle.sort_views(&self.worker_names);
        cycle.usage.resize(self.customers.len(), Usage::default());
        cycle.cap_reservations.clear();
        cycle.cap_reservations.resize(self.customers.len(), None);
        cycle.customers.clear();
        cycle.customers.extend(cycle.usage.iter().map(|usage| usage.total));
        cycle
    }

    /// The worker with this index; `None` if it has been removed.
    pub(crate) fn worker_at(&self, worker_index: WorkerIndex) -> Option<&Worker> {
        let worker = self.workers.get(self.worker_names.get(worker_index.0)?)?;
        (worker.index == worker_index).then_some(worker)
    }

    /// The services and demands of the steps in the queue.
    fn queued_demands(&self) -> impl Iterator<Item = (usize, Resources)> {
        self.queue.values().filter_map(|step| {
            let job = self.jobs.get(&step.job)?;
            let service = self.cycle.service_index(&job.spec.queue.service)?;
            Some((service, job.step_spec(job.step_index(*step)?).worker_demand()))
        })
    }

    /// Differences between the state that the next cycle takes over and the workers, for tests.
    /// Empty unless the scheduler has a fault.
    pub fn cycle_state_faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let cycle = &self.cycle;
        let mut sums = vec![(Resources::ZERO, Resources::ZERO); cycle.services.len()];
        for view in &cycle.workers {
            let (free, ending) = &mut sums[view.service];
            (*free, *ending) = (free.plus(&view.free), ending.plus(&view.ending()));
        }
        for (service, sums) in cycle.services.iter().zip(sums) {
            let kept = (service.free, service.ending);
            if kept != sums {
                faults.push(format!("service {}: {kept:?}, not {sums:?}", service.name));
            }
        }
        for (service, demand) in self.queued_demands().take(CHECKED_DEMANDS_MAX) {
            let has_room = |view: &&WorkerView| view.service == service && view.free.holds(&demand);
            let found = cycle.workers.iter().filter(has_room).map(|view| view.worker_index);
            let found: BTreeSet<WorkerIndex> = found.collect();
            let (workers, _) = cycle.room_for(service, &demand);
            if found != workers.iter().collect() {
                faults.push(format!("room for {demand:?}: {workers:?}, not {found:?}"));
            }
            let is_capable =
                |view: &&WorkerView| view.service == service && view.capacity.holds(&demand);
            let found = cycle.workers.iter().filter(is_capable).map(|view| view.worker_index);
            let found: BTreeSet<WorkerIndex> = found.collect();
            let (workers, _) = cycle.capable_of(service, &demand);
            if found != workers.iter().collect() {
                faults.push(format!("capable of {demand:?}: {workers:?}, not {found:?}"));
            }
        }
        let unchanged =
            |(_, worker): &(&WorkerId, &Worker)| !self.workers.has_changed(worker.index);
        for (name, worker) in self.workers.iter().filter(unchanged) {
            let view = cycle.view_index_of(worker.index).map(|index| &cycle.workers[index]);
            if view.is_some_and(|view| view.free != worker.free()) {
                faults.push(format!("worker {name}: {view:?}, not {:?}", worker.free()));
            }
            let counted = cycle.counted.get(worker.index.0).map(|counted| &counted.by_customer);
            if counted.is_some_and(|counted| *counted != worker.by_customer) {
                faults.push(format!("worker {name}: {counted:?}, not {:?}", worker.by_customer));
            }
        }
        faults
    }
}
