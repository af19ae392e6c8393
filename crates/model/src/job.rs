//! Jobs: submissions, durable records, and the view that callers get.

use serde::Deserialize;
use serde::Serialize;

use crate::UnixMs;
use crate::code::Code;
use crate::entry::Class;
use crate::entry::Execution;
use crate::entry::Urgency;
use crate::id::DaemonId;
use crate::id::EntryName;
use crate::id::JobId;
use crate::id::OwnerName;
use crate::id::WorkerId;
use crate::id::ZoneName;
use crate::resources::Resources;
use crate::worker::Token;

/// Body of a caller's submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Catalogue entry to run.
    pub entry: EntryName,
    /// Number of tasks; 1 by default.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// Demand of one task; `None` means as declared by the entry.
    #[serde(default)]
    pub demand: Option<Resources>,
    /// Time from now until the answer is of no use any more; `None` means the entry's limit.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// What to run or to ask; not interpreted by the daemon.
    #[serde(default)]
    pub body: String,
}

fn default_tasks() -> u32 {
    1
}

/// Durable record of a job, stored in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Identifier derived from `owner` and `key`.
    pub job: JobId,
    /// Customer to which the job belongs.
    pub owner: OwnerName,
    /// Idempotency key of the submission.
    pub key: String,
    /// Hash of the submission; a different content under the same key is refused.
    pub content_hash: u64,
    /// Catalogue entry to which it was submitted.
    pub entry: EntryName,
    /// Class of the entry when the job was accepted.
    pub class: Class,
    /// Execution guarantee of the entry when the job was accepted.
    pub execution: Execution,
    /// Urgency of the entry when the job was accepted.
    pub urgency: Urgency,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared demand of one task.
    pub demand: Resources,
    /// What to run; empty if the body is in the object store.
    pub body: String,
    /// Key of the body in the object store; `None` unless the body is large.
    pub body_object: Option<String>,
    /// Time of acceptance.
    pub accepted_ms: UnixMs,
    /// Time from which the answer is of no use any more; 0 means never.
    pub deadline_ms: UnixMs,
    /// Availability zone in which it is scheduled.
    pub zone: ZoneName,
    /// Daemon that schedules the job and writes this record.
    pub coordinator: DaemonId,
    /// Increases with every change of coordinator.
    pub epoch: u64,
    /// Starts that may have been sent, at most one for each task.
    pub intents: Vec<Intent>,
    /// Whether any task is known to have started.
    #[serde(default)]
    pub started: bool,
    /// Whether a cancellation was accepted.
    pub cancelled: bool,
    /// Outcome of the job; `None` until it is final.
    pub outcome: Option<Outcome>,
    /// Time at which the outcome became final; 0 before.
    pub finished_ms: UnixMs,
    /// Identifier of the write that produced this version. After a lost response, a
    /// read of the row shows by this identifier whether the write took effect.
    pub write_id: u64,
}

/// Durable note, written before a start is sent, that the start may have been sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Index of the task within the job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u32,
    /// The only worker on which the attempt may start; for a request, the minion's host.
    pub worker: WorkerId,
    /// Fencing token with which the start is sent.
    pub token: Token,
    /// Address of the minion; set only for a request.
    pub minion: Option<String>,
}

/// Final result of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All tasks succeeded.
    Done {
        /// The complete answer.
        answer: String,
    },
    /// The job ran and failed, or was stopped after it had started.
    Failed {
        /// Numbered cause.
        code: Code,
        /// Further explanation for people.
        detail: String,
    },
    /// The job never ran and never will.
    NotRun {
        /// Numbered cause.
        code: Code,
        /// Further explanation for people.
        detail: String,
    },
    /// The job may have run, and there is no way left to find out.
    Unknown {
        /// Numbered cause.
        code: Code,
        /// Further explanation for people.
        detail: String,
    },
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// queued
    Queued,
    /// running
    Running,
    /// done
    Done,
    /// failed
    Failed,
    /// not run
    NotRun,
    /// unknown
    Unknown,
}

impl JobState {
    /// Whether no further change of state is possible.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

impl Outcome {
    /// State of a job with this outcome.
    pub fn state(&self) -> JobState {
        match self {
            Self::Done { .. } => JobState::Done,
            Self::Failed { .. } => JobState::Failed,
            Self::NotRun { .. } => JobState::NotRun,
            Self::Unknown { .. } => JobState::Unknown,
        }
    }
}

/// View of a job in responses to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Identifier under which the job can be queried.
    pub job: JobId,
    /// Customer to which the job belongs.
    pub owner: OwnerName,
    /// Catalogue entry to which it was submitted.
    pub entry: EntryName,
    /// Class of the entry when the job was accepted.
    pub class: Class,
    /// State at the coordinator.
    pub state: JobState,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks whose start was sent and that have not ended.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub done: u32,
    /// Workers on which tasks run or ran; only the first few if there are many.
    pub workers: Vec<WorkerId>,
    /// Daemon that schedules the job.
    pub coordinator: DaemonId,
    /// Availability zone in which it is scheduled.
    pub zone: ZoneName,
    /// Time of acceptance.
    pub accepted_ms: UnixMs,
    /// Time from acceptance to the first start; `None` if none was sent by this coordinator.
    pub waited_ms: Option<u64>,
    /// Outcome of the job; `None` until it is final.
    pub outcome: Option<Outcome>,
    /// Events and reasons for waiting or placement, for people.
    pub reasons: Vec<String>,
}
