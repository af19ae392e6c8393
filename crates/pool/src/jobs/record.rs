//! The durable progress of a job, which is one row in the store.
//!
//! A start is recorded in the row before it is sent, and the end of a run before its worker
//! may forget it. After a change of leader, the rows and the workers' own lists together
//! tell where every run is.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::CustomerName;
use stoatwell_model::WorkerId;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// completed
    Completed,
    /// failed
    Failed,
    /// cancelled
    Cancelled,
}

/// The state of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// queued
    Queued,
    /// running
    Running,
    /// completed
    Completed,
    /// failed
    Failed,
    /// cancelled
    Cancelled,
}

/// The state and the owner of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The state as callers see it.
    pub state: JobState,
    /// The customer that owns the job; `None` if the job belongs to no customer.
    pub customer: Option<CustomerName>,
}

impl From<Outcome> for JobState {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Completed => Self::Completed,
            Outcome::Failed => Self::Failed,
            Outcome::Cancelled => Self::Cancelled,
        }
    }
}

/// The durable state of a job beside its submission.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Compact", into = "Compact")]
pub struct Progress {
    /// How the job ended; `None` while it has not.
    pub outcome: Option<Outcome>,
    /// When the job ended, in Unix time; 0 while it has not.
    pub finished_unix_ms: u64,
    /// The tasks that were ever sent to a worker.
    pub tasks: Vec<TaskProgress>,
}

/// The durable state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskProgress {
    /// The index of the task's step in the list of the steps of the first occurrence, then
    /// those of the next one, and so on.
    pub step_index: u32,
    /// The index of the task in its step.
    pub index: u32,
    /// The newest run that may have been sent.
    pub run: u32,
    /// The number of runs that failed.
    pub failures: u32,
    /// The newest run that failed, so that a gang's failure counts once.
    pub failed_run: u32,
    /// Whether the task needs no further run.
    pub done: bool,
    /// The worker on which the newest run may be; `None` if it is certainly on none.
    pub worker: Option<WorkerId>,
    /// The worker's address, so that it can be reached even if it is no longer listed.
    pub address: String,
    /// The incarnation of the worker that the run was sent to; the run does not survive it.
    pub incarnation: u64,
    /// The newest known checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// The stored form of [`Progress`]: each worker is listed once, and each task is a tuple.
/// Rows are written a few times for each task, and named fields made them much longer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Compact {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
    #[serde(default, skip_serializing_if = "is_zero")]
    finished_unix_ms: u64,
    /// Name, address and incarnation.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    workers: Vec<(WorkerId, String, u64)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<CompactTask>,
}

/// Index of the step, index of the task, run, failures, newest failed run, place, checkpoint.
type CompactTask = (u32, u32, u32, u32, u32, Place, String);

/// The index of the task's worker in the list, [`NOWHERE`] or [`DONE`].
type Place = i32;

/// Most bytes of checkpoints in the record of a job, which is written a few times for each task.
/// Without its checkpoint a task starts from the beginning, but only under a later leader.
const CHECKPOINT_BYTES_MAX: usize = 16_384;

const NOWHERE: Place = -1;
const DONE: Place = -2;

impl From<Progress> for Compact {
    fn from(progress: Progress) -> Self {
        let mut workers: Vec<(WorkerId, String, u64)> = Vec::new();
        let mut tasks = Vec::with_capacity(progress.tasks.len());
        let mut checkpoint_bytes = 0;
        for mut task in progress.tasks {
            let bytes = checkpoint_bytes + task.checkpoint.len();
            if task.done || bytes > CHECKPOINT_BYTES_MAX {
                task.checkpoint.clear();
            } else {
                checkpoint_bytes = bytes;
            }
            let mut place = if task.done { DONE } else { NOWHERE };
            if let Some(worker) = task.worker.filter(|_| !task.done) {
                let is_same = |known: &(WorkerId, String, u64)| {
                    known.0 == worker && known.1 == task.address && known.2 == task.incarnation
                };
                let worker_index = workers.iter().position(is_same).unwrap_or_else(|| {
                    workers.push((worker, task.address, task.incarnation));
                    workers.len() - 1
                });
                place = worker_index as Place;
            }
            let (step_index, index, run) = (task.step_index, task.index, task.run);
            tasks.push((
                step_index,
                index,
                run,
                task.failures,
                task.failed_run,
                place,
                task.checkpoint,
            ));
        }
        let Progress { outcome, finished_unix_ms, .. } = progress;
        Self { outcome, finished_unix_ms, workers, tasks }
    }
}

impl From<Compact> for Progress {
    fn from(compact: Compact) -> Self {
        let mut tasks = Vec::with_capacity(compact.tasks.len());
        for (step_index, index, run, failures, failed_run, place, checkpoint) in compact.tasks {
            let done = place == DONE;
            let task = TaskProgress {
                step_index,
                index,
                run,
                failures,
                failed_run,
                done,
                ..TaskProgress::default()
            };
            let worker =
                usize::try_from(place).ok().and_then(|index| compact.workers.get(index)).cloned();
            let task = match worker {
                Some((worker, address, incarnation)) => {
                    TaskProgress { worker: Some(worker), address, incarnation, ..task }
                }
                None => task,
            };
            tasks.push(TaskProgress { checkpoint, ..task });
        }
        let Compact { outcome, finished_unix_ms, .. } = compact;
        Self { outcome, finished_unix_ms, tasks }
    }
}

impl Progress {
    /// The state of the job as far as the row alone tells it.
    pub fn state(&self) -> JobState {
        if let Some(outcome) = self.outcome {
            return outcome.into();
        }
        if self.tasks.is_empty() { JobState::Queued } else { JobState::Running }
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_zero(value: &u64) -> bool {
    *value == 0
}
