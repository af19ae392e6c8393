//! The durable progress of a job, one row in the store.
//!
//! A start is written here before it is sent and an end before the worker may
//! forget it. After a change of scheduler, the row and the workers' own lists
//! together tell where everything runs.

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

/// What a caller is told of a job.
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

/// Where a job stands, and whose it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Where it stands.
    pub state: JobState,
    /// Whose it is; none is anybody's.
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

/// What is durable of a job beside what was submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Compact", into = "Compact")]
pub struct Progress {
    /// How it ended, once it did.
    pub outcome: Option<Outcome>,
    /// When it ended, in Unix time; 0 before.
    pub finished_unix_ms: u64,
    /// Tasks that were ever sent anywhere.
    pub tasks: Vec<TaskProgress>,
}

/// What is durable of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskProgress {
    /// Its step's place among the steps of all occurrences.
    pub unit: u32,
    /// Its place in the step.
    pub index: u32,
    /// The newest run that may have been sent.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// The newest run that failed, so that a gang's failure counts once.
    pub failed_run: u32,
    /// Whether it is done.
    pub done: bool,
    /// Where the newest run may be, while it may be anywhere.
    pub worker: Option<WorkerId>,
    /// That worker's address, so that it is found also when it is listed no more.
    pub address: String,
    /// Which life of the worker the run was sent to; nothing of it is in a later one.
    pub incarnation: u64,
    /// The newest checkpoint that is known; empty is none.
    pub checkpoint: String,
}

/// A row as it is written: workers once each, tasks as short lists. Rows are
/// written a few times for each task, and a named field for each figure made
/// them much longer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Compact {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
    #[serde(default, skip_serializing_if = "is_zero")]
    finished_unix_ms: u64,
    /// Name, address and life.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    workers: Vec<(WorkerId, String, u64)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<CompactTask>,
}

/// Unit, index, run, failures, newest failed run, where, checkpoint.
type CompactTask = (u32, u32, u32, u32, u32, Place, String);

/// Where a task is: a worker by its place in the list, nowhere, or done.
type Place = i32;

const NOWHERE: Place = -1;
const DONE: Place = -2;

impl From<Progress> for Compact {
    fn from(progress: Progress) -> Self {
        let mut workers: Vec<(WorkerId, String, u64)> = Vec::new();
        let mut tasks = Vec::with_capacity(progress.tasks.len());
        for task in progress.tasks {
            let mut place = if task.done { DONE } else { NOWHERE };
            if let Some(worker) = task.worker.filter(|_| !task.done) {
                let same = |known: &(WorkerId, String, u64)| {
                    known.0 == worker && known.1 == task.address && known.2 == task.incarnation
                };
                let at = workers.iter().position(same).unwrap_or_else(|| {
                    workers.push((worker, task.address, task.incarnation));
                    workers.len() - 1
                });
                place = at as Place;
            }
            let (unit, index, run) = (task.unit, task.index, task.run);
            tasks.push((unit, index, run, task.failures, task.failed_run, place, task.checkpoint));
        }
        let Progress { outcome, finished_unix_ms, .. } = progress;
        Self { outcome, finished_unix_ms, workers, tasks }
    }
}

impl From<Compact> for Progress {
    fn from(compact: Compact) -> Self {
        let mut tasks = Vec::with_capacity(compact.tasks.len());
        for (unit, index, run, failures, failed_run, place, checkpoint) in compact.tasks {
            let done = place == DONE;
            let task = TaskProgress {
                unit,
                index,
                run,
                failures,
                failed_run,
                done,
                ..TaskProgress::default()
            };
            let at = usize::try_from(place).ok().and_then(|at| compact.workers.get(at)).cloned();
            let task = match at {
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
    /// What a caller is told by the row alone.
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
