//! Jobs that wait with nothing running although their customer's cap and the workers have room.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use stoatwell_model::CustomerName;
use stoatwell_model::Resources;
use stoatwell_pool::JobId;
use stoatwell_pool::JobSpec;
use stoatwell_pool::StepId;
use stoatwell_pool::StepSpec;
use stoatwell_pool::TaskId;

use super::World;
use super::is_granted;
use super::worker::Worker;

/// How long a job may have nothing running although there is ample room for a step of it.
const IDLE_MAX_MS: u64 = 3_000;
/// How many times a step has to fit for the room to be ample.
const AMPLE_FITS: u64 = 2;

/// Jobs of customers with a cap that wait needlessly.
#[derive(Debug, Default)]
pub struct Waits {
    /// Since when a job has had nothing running and ample room for a step that is due.
    since_ms: BTreeMap<JobId, u64>,
    /// The jobs for which that lasted too long, with the longest time.
    pub too_long_ms: BTreeMap<JobId, u64>,
    /// The explanation of the first of them.
    pub first: Option<String>,
}

impl World {
    /// What the running tasks of a customer use.
    pub fn used_by(&self, customer: &CustomerName) -> Resources {
        let tasks =
            self.active_tasks().filter(|task| self.customer_of(*task).as_ref() == Some(customer));
        tasks.fold(Resources::ZERO, |sum, task| sum.plus(&self.demand_of(task)))
    }

    fn active_tasks(&self) -> impl Iterator<Item = TaskId> {
        self.workers.values().flat_map(|worker| worker.active.keys().map(|(task, _)| *task))
    }

    /// Takes note of the jobs that run once, belong to a customer with a cap, and wait
    /// needlessly.
    pub(super) fn check_waits(&mut self) {
        if self.customers.values().all(|limits| limits.cap.is_zero()) {
            return;
        }
        let running: BTreeSet<JobId> = self.active_tasks().map(|task| task.step.job).collect();
        let customers = self.customers.keys();
        let used: BTreeMap<CustomerName, Resources> =
            customers.map(|name| (name.clone(), self.used_by(name))).collect();
        let mut waits = std::mem::take(&mut self.waits);
        let mut idle = BTreeMap::new();
        for job in self.open_jobs() {
            let is_cancelled = self.cancelled.contains_key(&job);
            if running.contains(&job) || is_cancelled || !self.has_ample_room(job, &used) {
                continue;
            }
            let since_ms = waits.since_ms.get(&job).copied().unwrap_or(self.now_ms);
            idle.insert(job, since_ms);
            let idle_ms = self.now_ms - since_ms;
            if idle_ms <= IDLE_MAX_MS {
                continue;
            }
            let longest_ms = waits.too_long_ms.entry(job).or_default();
            *longest_ms = idle_ms.max(*longest_ms);
            if waits.first.is_none() {
                let explanation = self.explain(job);
                waits.first = Some(format!("{job} idle at {}:\n{explanation}", self.now_ms));
            }
        }
        waits.since_ms = idle;
        self.waits = waits;
    }

    /// Whether the customer of a job uses under half of its cap, and its cap and the workers have
    /// ample room for a step that is due.
    fn has_ample_room(&self, job: JobId, used: &BTreeMap<CustomerName, Resources>) -> bool {
        let spec = &self.jobs[&job];
        let Some(customer) = spec.customer.as_ref() else { return false };
        let Some(limits) = self.customers.get(&customer.name) else { return false };
        let cap = limits.cap;
        let used = used.get(&customer.name).copied().unwrap_or_default();
        if cap.is_zero() || !holds(&cap, &used.times(2)) {
            return false;
        }
        (0..).zip(&spec.steps).any(|(index, step)| {
            let step_id = StepId { job, occurrence: 0, step: index };
            let tasks = self.uncompleted_tasks(step_id, spec) * AMPLE_FITS;
            let is_done =
                |other: &u32| self.uncompleted_tasks(StepId { step: *other, ..step_id }, spec) == 0;
            tasks > 0
                && step.after.iter().all(is_done)
                && holds(&cap, &used.plus(&step.demand.times(tasks)))
                && self.free_places(step_id, spec, step) >= tasks
        })
    }

    fn uncompleted_tasks(&self, step: StepId, spec: &JobSpec) -> u64 {
        let tasks = (0..spec.steps[step.step as usize].tasks).map(|index| TaskId { step, index });
        tasks.filter(|task| !self.has_completed(*task)).count() as u64
    }

    /// How many tasks of a step fit on the workers that may run it now.
    fn free_places(&self, id: StepId, spec: &JobSpec, step: &StepSpec) -> u64 {
        let has_advice = spec.queue.advice.is_some();
        let may_run = |worker: &&Worker| {
            worker.takes_tasks()
                && (!has_advice || is_granted(id, &worker.name, self.granted_of_five))
        };
        let places = |worker: &Worker| worker.free().fit_count(&step.demand);
        self.workers.values().filter(may_run).map(places).sum()
    }
}

/// Whether a cap, which is unlimited for a resource where it is 0, holds a use.
fn holds(cap: &Resources, used: &Resources) -> bool {
    let holds = |cap: u64, used: u64| cap == 0 || used <= cap;
    holds(cap.cpu_millis, used.cpu_millis)
        && holds(cap.memory_bytes, used.memory_bytes)
        && holds(cap.accelerators, used.accelerators)
}
