//! Submissions on their way to becoming jobs.
//!
//! A submission is placed while it is made durable, so that its first start needs no write
//! of its own and the caller's job begins one write sooner. Nothing is sent anywhere before
//! it is durable; until then it can be withdrawn without a trace.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Pool;
use crate::event::Effect;
use crate::id::JobId;
use crate::id::TaskId;
use crate::spec::JobSpec;

/// What became of a submission or cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Accepted {
    /// It is durable.
    Yes,
    /// It is surely not durable and never will be.
    No,
    /// A job of another customer has this number.
    Taken,
    /// Nothing could tell in time.
    Unknown,
}

impl Pool {
    /// Takes a submission; `None` means that [`Effect::Answer`] will tell what became of it.
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
            let name = |spec: &JobSpec| spec.customer.as_ref().map(|one| one.name.clone());
            if name(&job.spec) != name(&spec) {
                return Some(Accepted::Taken);
            }
            return job.durable.then_some(Accepted::Yes);
        }
        if self.is_part_stuck(id) {
            return Some(Accepted::No);
        }
        let mut job = self.new_job(id, spec);
        job.durable = false;
        self.admit(job);
        self.note_submission(id);
        if self.early_cancels.remove(&id) {
            self.on_cancelled(id);
        }
        None
    }

    /// Takes a submission back that is not durable; `false` if it may be.
    pub fn withdraw(&mut self, id: JobId) -> bool {
        let proposed = self.jobs.get(&id).is_some_and(|job| !job.durable);
        if !proposed || !self.commits.withdraw(id) {
            return false;
        }
        self.drop_submission(id);
        true
    }

    pub(crate) fn on_accept_durable(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if std::mem::replace(&mut job.durable, true) {
            return;
        }
        tracing::info!(job = %id, queue = job.spec.queue.name, "job taken on");
        self.effects.push(Effect::Answer { job: id, accepted: Accepted::Yes });
    }

    /// The store will never have this submission: it turned it away, or another
    /// customer's job has its number.
    pub(crate) fn on_rejected(&mut self, id: JobId, accepted: Accepted) {
        if self.jobs.get(&id).is_none_or(|job| job.durable) {
            return;
        }
        self.drop_submission(id);
        self.effects.push(Effect::Answer { job: id, accepted });
    }

    /// Forgets a submission; none of its tasks was sent anywhere.
    fn drop_submission(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut placed = Vec::new();
        for unit in &job.units {
            for (index, task) in unit.tasks.iter().enumerate() {
                if task.worker.is_some() {
                    placed.push(TaskId { step: unit.id, index: index as u32 });
                }
            }
        }
        for task in placed {
            self.release(task);
        }
        self.jobs.remove(&id);
    }
}
