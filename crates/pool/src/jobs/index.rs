//! Indices over the jobs of a pool.
//!
//! Jobs stay known for minutes after they finished, so there are many times as many as are in
//! progress. What recurs many times a second looks only at the jobs that it concerns.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::id::JobId;
use crate::jobs::job::Job;

/// Which jobs are in progress, which wait for their first run, and when the others expire.
#[derive(Debug, Default)]
pub(crate) struct JobIndex {
    /// Jobs whose outcome is not durable, or that may still have tasks on workers.
    in_progress: BTreeSet<JobId>,
    /// Finished jobs, by the time at which they finished.
    finished: BTreeSet<(u64, JobId)>,
    /// The number of pending jobs by queue; see [`Job::is_pending`].
    pending: HashMap<String, usize>,
}

impl JobIndex {
    /// Adds a job.
    pub fn insert(&mut self, job: &mut Job) {
        self.in_progress.insert(job.id);
        if job.outcome_durable {
            self.finished.insert((job.finished_unix_ms, job.id));
        }
        self.update_pending(job);
    }

    /// Removes a job.
    pub fn remove(&mut self, job: &mut Job) {
        self.in_progress.remove(&job.id);
        self.finished.remove(&(job.finished_unix_ms, job.id));
        self.set_pending(job, false);
    }

    /// Records that the outcome of a job is durable.
    pub fn mark_finished(&mut self, job: &Job) {
        self.finished.insert((job.finished_unix_ms, job.id));
    }

    /// Records that a job with a durable outcome has no tasks on workers any more.
    pub fn mark_settled(&mut self, job: JobId) {
        self.in_progress.remove(&job);
    }

    /// Updates the number of pending jobs after a change of a job.
    pub fn update_pending(&mut self, job: &mut Job) {
        let is_pending = job.is_pending();
        self.set_pending(job, is_pending);
    }

    fn set_pending(&mut self, job: &mut Job, is_pending: bool) {
        if std::mem::replace(&mut job.is_counted_pending, is_pending) == is_pending {
            return;
        }
        let queue = &job.spec.queue.name;
        if !self.pending.contains_key(queue) {
            self.pending.insert(queue.clone(), 0);
        }
        let Some(count) = self.pending.get_mut(queue) else { return };
        *count = if is_pending { *count + 1 } else { count.saturating_sub(1) };
    }

    /// The number of pending jobs of a queue.
    pub fn pending(&self, queue: &str) -> usize {
        self.pending.get(queue).copied().unwrap_or(0)
    }

    /// Jobs whose outcome is not durable, or that may still have tasks on workers.
    pub fn in_progress(&self) -> impl Iterator<Item = JobId> {
        self.in_progress.iter().copied()
    }

    /// Jobs that finished before `unix_ms`, the earliest first.
    pub fn finished_before(&self, unix_ms: u64) -> impl Iterator<Item = JobId> {
        self.finished.iter().take_while(move |(at_ms, _)| *at_ms < unix_ms).map(|(_, job)| *job)
    }
}
