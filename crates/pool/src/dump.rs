//! The pool's state for people.

use std::collections::BTreeMap;

use serde::Serialize;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;

use crate::Pool;
use crate::customers::CustomerLimits;
use crate::id::JobId;
use crate::record::JobState;

/// What the scheduler believes.
#[derive(Clone, Debug, Serialize)]
pub struct PoolDump {
    /// The election that made it scheduler.
    pub epoch: u64,
    /// Jobs by state.
    pub jobs: BTreeMap<String, usize>,
    /// Steps with tasks to place.
    pub queued_steps: usize,
    /// Tasks that nobody will look at again; there should be none.
    pub tasks_without_wakeup: Vec<String>,
    /// The customers.
    pub customers: Vec<CustomerDump>,
    /// The workers.
    pub workers: Vec<WorkerDump>,
}

/// What a customer has and may have.
#[derive(Clone, Debug, Serialize)]
pub struct CustomerDump {
    /// Its name.
    pub customer: CustomerName,
    /// Its weight.
    pub weight: f64,
    /// What its tasks take on all workers.
    pub used: Resources,
    /// What they may take; 0 of a resource is no limit.
    pub cap: Resources,
}

/// Sums over what the scheduler believes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs of which nothing has started.
    pub queued_jobs: usize,
    /// Jobs that run.
    pub running_jobs: usize,
    /// Steps with tasks to place.
    pub queued_steps: usize,
    /// Workers that take new tasks.
    pub open_workers: usize,
    /// Workers that did not answer the last call.
    pub silent_workers: usize,
    /// Processors that are free.
    pub free_cpu_millis: u64,
    /// Processors that are taken.
    pub used_cpu_millis: u64,
}

/// What the scheduler believes of a worker.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerDump {
    /// Its name.
    pub worker: String,
    /// Whether it answered a hold under the present token.
    pub held: bool,
    /// Whether it takes new tasks.
    pub open: bool,
    /// Tasks with room there.
    pub tasks: usize,
    /// Room that is taken.
    pub used: Resources,
    /// All its room.
    pub capacity: Resources,
    /// Calls without answer in a row.
    pub silent_calls: u32,
}

impl Pool {
    /// What the scheduler believes now.
    pub fn dump(&self) -> PoolDump {
        let mut jobs: BTreeMap<String, usize> = BTreeMap::new();
        for job in self.jobs.values() {
            *jobs.entry(job.state().to_string()).or_default() += 1;
        }
        let mut workers = Vec::new();
        for (name, worker) in &self.workers {
            workers.push(WorkerDump {
                worker: name.to_string(),
                held: worker.held,
                open: worker.is_open(self.now_ms),
                tasks: worker.tasks.len(),
                used: worker.used,
                capacity: worker.info.capacity,
                silent_calls: worker.unanswered_calls,
            });
        }
        PoolDump {
            epoch: self.election.epoch,
            jobs,
            queued_steps: self.queue.len(),
            tasks_without_wakeup: self.tasks_without_wakeup(),
            customers: self.customers(),
            workers,
        }
    }

    /// What customers have and may have.
    pub fn customers(&self) -> Vec<CustomerDump> {
        let both = self.customers.limits().zip(self.customer_usage());
        let dump = |(limits, used): (&CustomerLimits, Resources)| CustomerDump {
            customer: limits.name.clone(),
            weight: limits.weight,
            used,
            cap: limits.cap,
        };
        both.map(dump).collect()
    }

    /// Why a job is where it is, a line for each of its steps.
    pub fn explain(&self, job: JobId) -> Vec<String> {
        let Some(job) = self.jobs.get(&job) else { return Vec::new() };
        let mut lines = vec![format!("state: {}", job.state())];
        if !job.durable {
            lines.push("what was submitted is not durable yet".to_owned());
        }
        if let Some(customer) = job.customer {
            let limits = &self.customers.get(customer).limits;
            let used = self.customer_usage().get(customer.0).copied().unwrap_or_default();
            let name = &limits.name;
            lines.push(format!(
                "customer {name}: has {used:?} of {:?}, weight {}, beyond it {}",
                limits.cap, limits.weight, job.beyond_weight
            ));
        }
        for (number, unit) in job.units.iter().enumerate() {
            let waiting = unit.waiting().count();
            let ready = job.is_ready(number);
            let asked = unit.advice.asked.len();
            let granted = unit.advice.granted.len();
            lines.push(format!(
                "step {}: {} of {} tasks to do, {waiting} wait, ready {ready}, advisor granted {granted} of {asked} workers",
                unit.id, unit.left, unit.tasks.len(),
            ));
            if unit.awaits_cap {
                lines.push(format!("step {}: waits for the customer's cap", unit.id));
            }
            for (index, task) in unit.tasks.iter().enumerate() {
                let Some(worker) = &task.worker else { continue };
                lines.push(format!(
                    "task {}.{index}: {:?} on {worker}, run {}, {} failed, {}% done",
                    unit.id, task.phase, task.run, task.failures, task.percent
                ));
            }
        }
        lines
    }

    /// Sums for the metrics.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts { queued_steps: self.queue.len(), ..Counts::default() };
        for job in self.jobs.values() {
            match job.state() {
                JobState::Queued => counts.queued_jobs += 1,
                JobState::Running => counts.running_jobs += 1,
                JobState::Completed | JobState::Failed | JobState::Cancelled => {}
            }
        }
        for worker in self.workers.values() {
            counts.open_workers += usize::from(worker.is_open(self.now_ms));
            counts.silent_workers += usize::from(worker.unanswered_calls > 0);
            counts.free_cpu_millis += worker.free().cpu_millis;
            counts.used_cpu_millis += worker.used.cpu_millis;
        }
        counts
    }
}
