//! Group commit: one batch of rows is under way at a time, and what depends on
//! a row happens after the batch that holds it.
//!
//! With some ten milliseconds for a write and hundreds of starts and ends a
//! second, a write for each of them would cycle what one part of the store
//! takes; batches need some tens of writes a second whatever the load.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::event::Effect;
use crate::id::JobId;
use crate::id::TaskId;

/// Rows in one transaction; the store takes 100 entries, one is the scheduler's own.
const ROWS_PER_BATCH: usize = 95;

/// About what a row takes in a call to the store, without its tasks ...
const ROW_BYTES: usize = 150;
/// ... and for each task.
const TASK_BYTES: usize = 100;

/// What has to be written, and what follows from it.
#[derive(Debug, Default)]
pub(crate) struct Commits {
    next: u64,
    dirty: BTreeMap<JobId, Vec<After>>,
    /// The dirty jobs in the order in which they became so: by their numbers,
    /// some would wait for as long as there are more than one batch holds.
    order: VecDeque<JobId>,
    removes: Vec<JobId>,
    under_way: Option<UnderWay>,
    /// What the last batches took, smoothed.
    took_ms: u64,
}

/// A batch that is being written.
#[derive(Debug)]
struct UnderWay {
    batch: u64,
    since_ms: u64,
    afters: Vec<After>,
}

/// What happens once a row is durable.
#[derive(Clone, Debug)]
pub(crate) enum After {
    /// A start is sent.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
    /// A worker may forget an end.
    Forget {
        /// The worker.
        worker: WorkerId,
        /// The life that listed it.
        life: u64,
        /// The end.
        number: u64,
    },
    /// Callers are told the outcome.
    Settle(JobId),
}

impl Commits {
    /// Asks for a job's row to be written.
    pub fn note(&mut self, job: JobId, after: After) {
        let afters = self.dirty.entry(job).or_default();
        if afters.is_empty() {
            self.order.push_back(job);
        }
        afters.push(after);
    }

    /// Asks for a job's row with its outcome to be written.
    pub fn settle(&mut self, job: JobId) {
        self.note(job, After::Settle(job));
    }

    /// Asks for a job's rows to be removed.
    pub fn remove(&mut self, job: JobId) {
        self.removes.push(job);
    }

    /// Whether a job's row is being written or waits for its turn.
    pub fn holds(&self, job: JobId) -> bool {
        let after =
            |after: &After| matches!(after, After::Start { task, .. } if task.step.job == job);
        self.dirty.contains_key(&job)
            || self.under_way.as_ref().is_some_and(|batch| batch.afters.iter().any(after))
    }

    /// What a batch takes: the mean of the last ones, or longer if the one under way
    /// already does.
    pub fn usual_ms(&self, now_ms: u64) -> u64 {
        let age_ms = self.under_way.as_ref().map_or(0, |one| now_ms.saturating_sub(one.since_ms));
        self.took_ms.max(age_ms)
    }

    /// Whether a batch is under way or waits.
    pub fn is_busy(&self) -> bool {
        self.under_way.is_some() || !self.dirty.is_empty()
    }
}

impl Pool {
    /// Sends the next batch, if there is one and none is under way.
    pub(crate) fn commit(&mut self) {
        let commits = &mut self.commits;
        if commits.under_way.is_some() || (commits.dirty.is_empty() && commits.removes.is_empty()) {
            return;
        }
        let mut puts = Vec::new();
        let mut afters = Vec::new();
        let mut bytes = 0;
        while puts.len() < ROWS_PER_BATCH && bytes < self.limits.batch_bytes_max {
            let Some(id) = commits.order.pop_front() else { break };
            afters.extend(commits.dirty.remove(&id).unwrap_or_default());
            let Some(job) = self.jobs.get(&id) else { continue };
            let progress = job.progress(&self.workers);
            bytes += ROW_BYTES + progress.tasks.len() * TASK_BYTES;
            puts.push((id, progress));
        }
        let room = (ROWS_PER_BATCH - puts.len()) / 3;
        let removes = commits.removes.split_off(commits.removes.len().saturating_sub(room));
        commits.next += 1;
        let since_ms = self.now_ms;
        commits.under_way = Some(UnderWay { batch: commits.next, since_ms, afters });
        self.effects.push(Effect::Commit { batch: commits.next, puts, removes });
    }

    pub(crate) fn on_committed(&mut self, batch: u64) {
        let Some(written) = self.commits.under_way.take_if(|one| one.batch == batch) else {
            return;
        };
        let took_ms = self.now_ms.saturating_sub(written.since_ms);
        self.commits.took_ms = (self.commits.took_ms * 3 + took_ms) / 4;
        for after in written.afters {
            match after {
                After::Start { task, run } => self.send_start(task, run),
                After::Forget { worker, life, number } => {
                    let Some(worker) = self.workers.get_mut(&worker) else { continue };
                    if worker.info.life != life {
                        continue;
                    }
                    worker.not_durable.remove(&number);
                    worker.next_hold_ms = self.now_ms;
                }
                After::Settle(job) => self.on_settled(job),
            }
        }
    }

    fn on_settled(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.settled = job.outcome.is_some();
        let Some(outcome) = job.outcome else { return };
        job.slim();
        let took_ms = self.unix_ms.saturating_sub(job.spec.accepted_unix_ms);
        let allowed_ms = job.spec.allowed_ms();
        tracing::info!(job = %id, queue = job.spec.queue.name, %outcome, took_ms, allowed_ms, "job settled");
    }
}
