//! The life of a job in memory: accepted, queued, cancelled or finished, and removed.

use std::sync::Arc;

use stoatwell_model::BELIEF_TARGET;
use stoatwell_model::CustomerName;

use crate::Pool;
use crate::QueueKey;
use crate::commit::Removal;
use crate::event::CancelSource;
use crate::id::JobId;
use crate::id::TaskId;
use crate::jobs::cancellation::Cancellation;
use crate::jobs::customers::CustomerLimits;
use crate::jobs::job::Job;
use crate::jobs::job::Phase;
use crate::jobs::record::Outcome;
use crate::jobs::spec::JobSpec;
use crate::placement::waiting::WaitReason;

impl Pool {
    pub(crate) fn on_accepted(&mut self, id: JobId, spec: Arc<JobSpec>) {
        if let Some(known) = self.jobs.get(&id) {
            if known.durable || known.spec.has_same_owner(&spec) {
                // A gateway wrote the submission itself while its commit was in flight here.
                self.on_accept_durable(id);
                return;
            }
            self.give_up_taken_submission(id);
        }
        if self.removed_jobs.contains(id, spec.accepted_unix_ms) {
            // A whole read of the table may be older than the removal of the row.
            tracing::info!(job = %id, "submission ignored: its job was removed");
            return;
        }
        tracing::info!(job = %id, queue = spec.queue.name, "job accepted");
        let job = self.new_job(id, spec);
        self.admit(job);
        self.cancel_if_requested(id, CancelSource::Early);
    }

    pub(crate) fn new_job(&mut self, id: JobId, spec: Arc<JobSpec>) -> Job {
        let customer = spec.customer.as_ref().map(|limits| self.customers.id_of(limits));
        let accepted_ms = spec.accepted_unix_ms;
        let within_fair_share =
            customer.is_none_or(|id| self.customers.take_arrival_token(id, accepted_ms));
        Job { over_fair_share: !within_fair_share, ..Job::new(id, spec, customer) }
    }

    pub(crate) fn on_customers(&mut self, limits: Vec<CustomerLimits>) {
        self.customers.update(limits);
        self.cycle_due = true;
    }

    pub(crate) fn admit(&mut self, mut job: Job) {
        let id = job.id;
        let step_count = job.step_states.len();
        let job_ended = job.outcome.is_some();
        self.job_index.insert(&mut job);
        self.jobs.insert(id, job);
        if job_ended {
            return;
        }
        for step_index in 0..step_count {
            self.enqueue_if_ready(id, step_index);
        }
        self.cycle_due = true;
    }

    /// Puts a step into the queue if it has tasks to place and all steps that it depends
    /// on are done. A step that is not due yet is queued once it is due.
    pub(crate) fn enqueue_if_ready(&mut self, id: JobId, step_index: usize) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.outcome.is_some() || job.step_states[step_index].queued || !job.is_ready(step_index)
        {
            return;
        }
        if job.step_states[step_index].waiting_tasks().next().is_none() {
            return;
        }
        let step = job.step_states[step_index].id;
        let due_unix_ms = job.spec.due_unix_ms(step.occurrence);
        if due_unix_ms > self.unix_ms {
            self.not_due.insert((due_unix_ms, step));
            return;
        }
        job.step_states[step_index].queued = true;
        job.step_states[step_index].queued_ms = self.now_ms;
        job.step_states[step_index].wait_reason = WaitReason::default();
        let job_deadline_unix_ms =
            job.spec.accepted_unix_ms.max(due_unix_ms) + job.spec.allowed_ms();
        let key = QueueKey {
            priority: job.spec.queue.priority,
            over_fair_share: job.over_fair_share,
            deadline_unix_ms: job_deadline_unix_ms,
            arrival: self.arrivals,
        };
        self.arrivals += 1;
        self.queue.insert(key, step);
        self.due_steps.insert(key, step);
        self.cycle_due = true;
    }

    pub(crate) fn on_cancelled(
        &mut self,
        id: JobId,
        cancellation: Cancellation,
        source: CancelSource,
    ) {
        if source == CancelSource::WholeRead
            && !self.jobs.contains_key(&id)
            && self.removed_jobs.may_have_old_rows(id)
        {
            // That of a later submission conflicts with the write of its first start.
            tracing::info!(target: BELIEF_TARGET, job = %id, "cancellation ignored: its job was removed");
            return;
        }
        if !self.jobs.contains_key(&id) && self.cancellations.get(id).is_none() {
            tracing::info!(target: BELIEF_TARGET, job = %id, %source, "cancellation of a job that is not known yet");
        }
        self.cancellations.record(id, cancellation, self.unix_ms);
        self.cancel_if_requested(id, source);
    }

    /// Ends a job if its owner has cancelled it, possibly before the job was known.
    pub(crate) fn cancel_if_requested(&mut self, id: JobId, source: CancelSource) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(cancellation) = self.cancellations.get(id) else { return };
        let owner = job.spec.customer.as_ref().map(|customer| &customer.name);
        if let Some(outcome) = job.outcome {
            if outcome != Outcome::Cancelled {
                tracing::info!(target: BELIEF_TARGET, job = %id, %outcome, %source, "cancellation ignored: the job has ended");
            }
            return;
        }
        if !cancellation.applies_to(owner) {
            tracing::info!(target: BELIEF_TARGET, job = %id, owner = owner.map(CustomerName::as_str), "cancellation ignored: it is not by the owner");
            return;
        }
        tracing::info!(target: BELIEF_TARGET, job = %id, durable = job.durable, %source, "job cancelled");
        self.finish(id, Outcome::Cancelled);
    }

    /// Ends a job: none of its tasks is started any more, and those that run are stopped.
    pub(crate) fn finish(&mut self, id: JobId, outcome: Outcome) {
        let unix_ms = self.unix_ms;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.outcome = Some(outcome);
        job.finished_unix_ms = unix_ms;
        self.job_index.update_pending(job);
        let tasks: Vec<TaskId> = placed_tasks(job);
        for task in tasks {
            self.stop(task);
        }
        self.commits.record_outcome(id);
        self.cycle_due = true;
    }

    pub(crate) fn remove_expired_jobs(&mut self) {
        let expiry_unix_ms = self.unix_ms.saturating_sub(self.limits.job_retention_ms);
        self.removed_jobs.forget_expired(self.now_ms);
        let is_gone = |id: &JobId| self.jobs.get(id).is_none_or(|job| !job.has_placed_tasks());
        let expired: Vec<JobId> =
            self.job_index.finished_before(expiry_unix_ms).filter(is_gone).collect();
        for id in expired {
            if let Some(mut job) = self.jobs.remove(&id) {
                self.job_index.remove(&mut job);
                self.removed_jobs.insert(self.now_ms, id, job.spec.accepted_unix_ms);
            }
            self.cancellations.remove(id);
            self.commits.remove(Removal::Job(id));
        }
        for id in self.cancellations.recorded_before(expiry_unix_ms) {
            if !self.jobs.contains_key(&id) {
                self.cancellations.remove(id);
                self.commits.remove(Removal::Cancellation(id));
            }
        }
    }
}

/// The tasks that may run on a worker and are not done.
fn placed_tasks(job: &Job) -> Vec<TaskId> {
    let mut tasks = Vec::new();
    for step_state in &job.step_states {
        for (index, task) in step_state.tasks.iter().enumerate() {
            if task.worker.is_some() && task.phase != Phase::Done {
                tasks.push(TaskId { step: step_state.id, index: index as u32 });
            }
        }
    }
    tasks
}
