//! The durable progress of a job, one row in the store.
//!
//! A start is written here before it is sent and an end before the worker may
//! forget it. After a change of scheduler, the row and the workers' own lists
//! together tell where everything runs.

use serde::Deserialize;
use serde::Serialize;
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
pub struct Progress {
    /// How it ended, once it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// When it ended, in Unix time; 0 before.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub finished_unix_ms: u64,
    /// Tasks that were ever sent anywhere.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
}

/// What is durable of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Its step's place among the steps of all occurrences.
    #[serde(rename = "u")]
    pub unit: u32,
    /// Its place in the step.
    #[serde(rename = "i")]
    pub index: u32,
    /// The newest run that may have been sent.
    #[serde(rename = "r")]
    pub run: u32,
    /// Runs that failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero_u32")]
    pub failures: u32,
    /// The newest run that failed, so that a gang's failure counts once.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero_u32")]
    pub failed_run: u32,
    /// Whether it is done.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub done: bool,
    /// Where the newest run may be, while it may be anywhere.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerId>,
    /// That worker's address, so that it is found also when it is listed no more.
    #[serde(rename = "a", default, skip_serializing_if = "String::is_empty")]
    pub address: String,
    /// Which life of the worker the run was sent to; nothing of it is in a later one.
    #[serde(rename = "b", default, skip_serializing_if = "is_zero")]
    pub life: u64,
    /// The newest checkpoint that is known; empty is none.
    #[serde(rename = "c", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
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

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde asks for")]
fn is_false(value: &bool) -> bool {
    !*value
}
