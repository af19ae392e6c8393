//! Snapshots of the pool's state for operators and metrics.

use std::collections::BTreeMap;
use std::collections::HashSet;

use serde::Serialize;
use stoatwell_model::CustomerName;
use stoatwell_model::Resources;

use crate::Pool;
use crate::id::JobId;
use crate::jobs::customers::CustomerLimits;
use crate::jobs::job::Job;
use crate::jobs::job::Phase;
use crate::jobs::record::JobState;
use crate::placement::waiting::PlacementBlock;

/// A snapshot of the scheduler's state.
#[derive(Clone, Debug, Serialize)]
pub struct PoolDump {
    /// The epoch of the election that made this daemon the leader.
    pub epoch: u64,
    /// The number of jobs in each state.
    pub jobs: BTreeMap<String, usize>,
    /// The number of steps in the queue, which have tasks to place.
    pub queued_steps: usize,
    /// The number of known cancellations, with those of jobs that are not known yet.
    pub cancellations: usize,
    /// The age of the view of the list of workers, in milliseconds.
    pub workers_age_ms: u64,
    /// Tasks that wait for something that will not happen, each with the reason. Empty
    /// unless the scheduler has a fault.
    pub tasks_without_wakeup: Vec<String>,
    /// The usage and limits of each customer.
    pub customers: Vec<CustomerDump>,
    /// The state of each known worker.
    pub workers: Vec<WorkerDump>,
}

/// The usage and limits of a customer.
#[derive(Clone, Debug, Serialize)]
pub struct CustomerDump {
    /// The name that the manifest or a job gives the customer.
    pub customer: CustomerName,
    /// The customer's weight; see [`CustomerLimits::weight`].
    pub weight: f64,
    /// The resources that its tasks take on all workers.
    pub used: Resources,
    /// The resources that its tasks may take; a resource that is 0 is not limited.
    pub cap: Resources,
}

/// Totals over the scheduler's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs of which no task was started.
    pub queued_jobs: usize,
    /// Jobs of which a task was started and that have not ended.
    pub running_jobs: usize,
    /// Jobs whose rows the store does not take.
    pub unwritable_jobs: usize,
    /// Steps in the queue, which have tasks to place.
    pub queued_steps: usize,
    /// The urgent ones of them.
    pub urgent_steps: usize,
    /// How long the urgent step that has waited the longest is queued, in milliseconds; 0 if
    /// there is none.
    pub urgent_wait_ms: u64,
    /// Different demands of the steps in the queue.
    pub queued_demands: usize,
    /// The age of the view of the list of workers, in milliseconds.
    pub workers_age_ms: u64,
    /// Steps that have waited in the queue for more than a second although a worker has free
    /// capacity for one of their tasks.
    pub steps_waiting_with_room: usize,
    /// The age of the oldest batch that is not durable yet, in milliseconds; 0 if there is none.
    pub oldest_write_ms: u64,
    /// Workers that accept new tasks.
    pub open_workers: usize,
    /// Workers that did not answer the last call.
    pub silent_workers: usize,
    /// CPU of all known workers that is not allocated, in millicores.
    pub free_cpu_millis: u64,
    /// CPU of all known workers that is allocated, in millicores.
    pub used_cpu_millis: u64,
    /// The part of it that is allocated to tasks that wait for tickets of the advisor.
    pub ticketless_cpu_millis: u64,
    /// The part of it that is allocated to tasks whose start no worker has confirmed yet.
    pub unconfirmed_cpu_millis: u64,
    /// The part of it that is allocated to tasks that are being stopped.
    pub stopping_cpu_millis: u64,
}

/// The state of a worker as the scheduler knows it.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerDump {
    /// The worker's name.
    pub worker: String,
    /// Whether it answered a hold under the current fencing token.
    pub held: bool,
    /// Whether it accepts new tasks.
    pub open: bool,
    /// Whether its entry in the list of workers says that it leaves.
    pub draining: bool,
    /// The number of tasks that have capacity allocated on it.
    pub tasks: usize,
    /// The resources that are allocated.
    pub used: Resources,
    /// The resources in total.
    pub capacity: Resources,
    /// The number of calls in a row that were not answered.
    pub silent_calls: u32,
}

impl Pool {
    /// A snapshot of the current state.
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
                draining: worker.info.draining,
                tasks: worker.tasks.len(),
                used: worker.used.total,
                capacity: worker.info.capacity,
                silent_calls: worker.unanswered_calls,
            });
        }
        PoolDump {
            epoch: self.election.epoch,
            jobs,
            queued_steps: self.queue.len(),
            cancellations: self.cancellations.len(),
            workers_age_ms: self.workers_age_ms(),
            tasks_without_wakeup: self.tasks_without_wakeup(),
            customers: self.customers(),
            workers,
        }
    }

    /// The current usage and limits of each customer.
    pub fn customers(&self) -> Vec<CustomerDump> {
        let limits_and_usage = self.customers.limits().zip(self.customer_usage());
        let dump = |(limits, used): (&CustomerLimits, Resources)| CustomerDump {
            customer: limits.name.clone(),
            weight: limits.weight,
            used,
            cap: limits.cap,
        };
        limits_and_usage.map(dump).collect()
    }

    /// Why a job is in its current state, in lines for an operator: the job, each of its
    /// steps and each placed task. Empty if the job is not known.
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
                limits.cap, limits.weight, job.over_fair_share
            ));
        }
        for (step_index, step_state) in job.step_states.iter().enumerate() {
            let waiting = step_state.waiting_tasks().count();
            let ready = job.is_ready(step_index);
            let queried = step_state.advice.queried.count();
            let granted = step_state.advice.granted.len();
            lines.push(format!(
                "step {}: {} of {} tasks to do, {waiting} wait, ready {ready}, advisor granted {granted} of {queried} workers",
                step_state.id, step_state.remaining_tasks, step_state.tasks.len(),
            ));
            if step_state.queued {
                let reason = step_state.wait_reason;
                lines.push(format!(
                    "step {}: queued for {} ms; {}; queries to the advisor: {}",
                    step_state.id,
                    self.now_ms.saturating_sub(step_state.queued_ms),
                    reason.placement,
                    reason.query
                ));
            }
            if step_state.queued && step_state.wait_reason.placement == PlacementBlock::Capped {
                lines.push(format!("step {}: waits for the customer's cap", step_state.id));
            }
            for (index, task) in step_state.tasks.iter().enumerate() {
                let Some(worker) = &task.worker else { continue };
                lines.push(format!(
                    "task {}.{index}: {:?} on {worker}, run {}, {} failed, {}% done",
                    step_state.id, task.phase, task.run, task.failures, task.percent
                ));
            }
        }
        lines
    }

    /// The current totals, for metrics.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            unwritable_jobs: self.commits.unwritable_jobs(),
            queued_steps: self.queue.len(),
            workers_age_ms: self.workers_age_ms(),
            steps_waiting_with_room: self.steps_waiting_with_room,
            oldest_write_ms: self.commits.oldest_batch_ms(self.now_ms),
            ..Counts::default()
        };
        self.count_queued_steps(&mut counts);
        for job in self.jobs_in_progress() {
            match job.state() {
                JobState::Queued => counts.queued_jobs += 1,
                JobState::Running => counts.running_jobs += 1,
                JobState::Completed | JobState::Failed | JobState::Cancelled => {}
            }
            counts.add_idle_allocations(job);
        }
        for worker in self.workers.values() {
            counts.open_workers += usize::from(worker.is_open(self.now_ms));
            counts.silent_workers += usize::from(worker.unanswered_calls > 0);
            counts.free_cpu_millis += worker.free().cpu_millis;
            counts.used_cpu_millis += worker.used.total.cpu_millis;
        }
        counts
    }

    fn count_queued_steps(&self, counts: &mut Counts) {
        let mut demands = HashSet::new();
        for (key, step) in &self.queue {
            let Some(job) = self.jobs.get(&step.job) else { continue };
            let Some(step_index) = job.step_index(*step) else { continue };
            demands.insert(job.step_spec(step_index).worker_demand());
            if key.priority > 0 {
                continue;
            }
            let wait_ms = self.now_ms.saturating_sub(job.step_states[step_index].queued_ms);
            counts.urgent_steps += 1;
            counts.urgent_wait_ms = counts.urgent_wait_ms.max(wait_ms);
        }
        counts.queued_demands = demands.len();
    }
}

impl Counts {
    /// Adds the capacity of a job's tasks that are placed and not known to run.
    fn add_idle_allocations(&mut self, job: &Job) {
        for (step_index, step_state) in job.step_states.iter().enumerate() {
            let cpu_millis = job.step_spec(step_index).worker_demand().cpu_millis;
            for task in &step_state.tasks {
                let sum = match task.phase {
                    Phase::Reserved => &mut self.ticketless_cpu_millis,
                    Phase::Recorded | Phase::Sent | Phase::Unconfirmed { .. } | Phase::Adopted => {
                        &mut self.unconfirmed_cpu_millis
                    }
                    Phase::Stopping { .. } => &mut self.stopping_cpu_millis,
                    Phase::Waiting | Phase::Running { .. } | Phase::Done => continue,
                };
                *sum += cpu_millis;
            }
        }
    }
}
