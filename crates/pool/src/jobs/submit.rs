//! Submissions that are not durable yet.
//!
//! The tasks of a submission are placed while the submission is made durable. So its first
//! start needs no write of its own and the job starts one write earlier. Nothing is sent to
//! a worker before the submission is durable; until then it can be withdrawn without a trace.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::BELIEF_TARGET;

use crate::Pool;
use crate::event::CancelSource;
use crate::event::Effect;
use crate::id::JobId;
use crate::id::TaskId;
use crate::jobs::record::Outcome;
use crate::jobs::spec::JobSpec;

/// The outcome of a submission or cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Accepted {
    /// It is durable.
    Yes,
    /// It is not durable and never will be.
    No,
    /// A job of another customer has this number.
    Taken,
    /// It could not be determined in time whether it is durable.
    Unknown,
    /// It was not taken, since the scheduler is too far behind to answer in time.
    Overloaded {
        /// When the caller may try again.
        retry_after_s: u32,
    },
    /// It is not durable and never will be, since the store has no place for a job like it.
    TooLong,
}

impl Accepted {
    /// Whether the submission was surely not made durable by whoever reports this.
    pub fn is_refusal(self) -> bool {
        match self {
            Self::No | Self::Overloaded { .. } | Self::TooLong => true,
            Self::Yes | Self::Taken | Self::Unknown => false,
        }
    }
}

impl Pool {
    /// Accepts a submission. `None` means that its outcome follows as [`Effect::Answer`].
    pub fn submit(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        id: JobId,
        spec: Arc<JobSpec>,
    ) -> Option<Accepted> {
        self.now_ms = self.now_ms.max(now_ms);
        self.unix_ms = unix_ms;
        if let Some(job) = self.jobs.get(&id) {
            if !job.spec.has_same_owner(&spec) {
                return Some(Accepted::Taken);
            }
            return job.durable.then_some(Accepted::Yes);
        }
        // The row of the new submission would be removed with that of the former one.
        if self.is_partition_stuck(id) || self.removed_jobs.is_removal_pending(id) {
            return Some(Accepted::No);
        }
        let mut job = self.new_job(id, spec);
        job.durable = false;
        self.admit(job);
        self.schedule_submission_write(id);
        self.cancel_if_requested(id, CancelSource::Early);
        None
    }

    /// Withdraws a submission that is not durable; `false` if it may be durable already.
    pub fn withdraw(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let cancelled = job.outcome == Some(Outcome::Cancelled);
        if job.durable || !self.commits.withdraw(id) {
            return false;
        }
        tracing::info!(target: BELIEF_TARGET, job = %id, partition = id.partition(), cancelled, "submission given up: its partition is stuck");
        self.drop_submission(id);
        true
    }

    pub(crate) fn on_accept_durable(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if std::mem::replace(&mut job.durable, true) {
            return;
        }
        tracing::info!(job = %id, queue = job.spec.queue.name, "job accepted");
        self.effects.push(Effect::Answer { job: id, accepted: Accepted::Yes });
    }

    /// Handles a submission whose write was given up, because the store refused it or another
    /// customer's job has the number.
    pub(crate) fn on_rejected(&mut self, id: JobId, accepted: Accepted) {
        let Some(job) = self.jobs.get(&id) else { return };
        let cancelled = job.outcome == Some(Outcome::Cancelled);
        if job.durable {
            // A gateway made the submission durable meanwhile. What was placed since is in no
            // row yet.
            tracing::info!(target: BELIEF_TARGET, job = %id, cancelled, "write of a submission refused after a gateway wrote it; its progress is written again");
            self.commits.write_again(id);
            return;
        }
        tracing::info!(target: BELIEF_TARGET, job = %id, ?accepted, cancelled, "submission given up: its write was rejected");
        self.drop_submission(id);
        self.commits.drop_rejected(id);
        self.effects.push(Effect::Answer { job: id, accepted });
    }

    /// Gives up a submission whose number has become that of another customer's job.
    pub(crate) fn give_up_taken_submission(&mut self, id: JobId) {
        tracing::info!(job = %id, "submission given up: a job of another customer has its number");
        self.drop_submission(id);
        self.commits.drop_rejected(id);
        self.effects.push(Effect::Answer { job: id, accepted: Accepted::Taken });
    }

    /// Removes a submission. None of its tasks was sent to a worker.
    fn drop_submission(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut placed = Vec::new();
        for step_state in &job.step_states {
            for (index, task) in step_state.tasks.iter().enumerate() {
                if task.worker.is_some() {
                    placed.push(TaskId { step: step_state.id, index: index as u32 });
                }
            }
        }
        for task in placed {
            self.release(task);
        }
        if let Some(mut job) = self.jobs.remove(&id) {
            self.job_index.remove(&mut job);
            if let Some(customer) = job.customer.filter(|_| !job.over_fair_share) {
                self.customers.return_arrival_token(customer);
            }
        }
    }
}
