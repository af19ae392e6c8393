//! Jobs: what is kept of them and what callers are told.

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

/// What a caller submits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The catalogue entry to run.
    pub entry: EntryName,
    /// How many tasks; 1 unless said.
    #[serde(default = "one")]
    pub tasks: u32,
    /// What one task needs, where it differs from the entry.
    #[serde(default)]
    pub demand: Option<Resources>,
    /// From now to the last moment at which the answer is of use; the entry's where absent.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// What to run or ask, opaque to us.
    #[serde(default)]
    pub body: String,
}

fn one() -> u32 {
    1
}

/// The durable record of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job.
    pub job: JobId,
    /// Whose it is.
    pub owner: OwnerName,
    /// The caller's idempotency key.
    pub key: String,
    /// Hash of what was submitted; another content under the same key is refused.
    pub content_hash: u64,
    /// The entry.
    pub entry: EntryName,
    /// The entry's class when it was accepted.
    pub class: Class,
    /// The entry's promise when it was accepted.
    pub execution: Execution,
    /// The entry's urgency when it was accepted.
    pub urgency: Urgency,
    /// How many tasks.
    pub tasks: u32,
    /// What one task needs.
    pub demand: Resources,
    /// What to run; empty where it is kept as an object.
    pub body: String,
    /// The object that keeps the body, where it is large.
    pub body_object: Option<String>,
    /// When it was accepted.
    pub accepted_ms: UnixMs,
    /// When its answer loses its use; 0 is never.
    pub deadline_ms: UnixMs,
    /// The availability zone that runs it.
    pub zone: ZoneName,
    /// The daemon that runs it.
    pub coordinator: DaemonId,
    /// Rises with every change of coordinator.
    pub epoch: u64,
    /// Starts that may have been sent, one for each task that had one.
    pub intents: Vec<Intent>,
    /// Whether any task was seen to have started.
    #[serde(default)]
    pub started: bool,
    /// Whether a cancellation was accepted.
    pub cancelled: bool,
    /// The outcome, once it is final.
    pub outcome: Option<Outcome>,
    /// When the outcome became final; 0 before.
    pub finished_ms: UnixMs,
    /// Names the write that produced this version, so that a lost answer can be told by reading.
    pub write_id: u64,
}

/// A start that may have been sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The task.
    pub task: u32,
    /// The try.
    pub attempt: u32,
    /// The only worker it may start on; for a request, the worker that hosts the minion.
    pub worker: WorkerId,
    /// The token under which it may start.
    pub token: Token,
    /// The minion's address, for a request.
    pub minion: Option<String>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All tasks ended well.
    Done {
        /// The answer, whole.
        answer: String,
    },
    /// It ran and failed, or was stopped after it had started.
    Failed {
        /// Why.
        code: Code,
        /// More of why.
        detail: String,
    },
    /// It never ran and never will.
    NotRun {
        /// Why.
        code: Code,
        /// More of why.
        detail: String,
    },
    /// It may have run; nothing left can tell.
    Unknown {
        /// Why.
        code: Code,
        /// More of why.
        detail: String,
    },
}

/// Where a job stands.
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
    /// Whether it can still change.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

impl Outcome {
    /// The state that it gives the job.
    pub fn state(&self) -> JobState {
        match self {
            Self::Done { .. } => JobState::Done,
            Self::Failed { .. } => JobState::Failed,
            Self::NotRun { .. } => JobState::NotRun,
            Self::Unknown { .. } => JobState::Unknown,
        }
    }
}

/// What a caller is told of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub job: JobId,
    /// Whose it is.
    pub owner: OwnerName,
    /// The entry.
    pub entry: EntryName,
    /// The entry's class.
    pub class: Class,
    /// Where it stands.
    pub state: JobState,
    /// How many tasks it has.
    pub tasks: u32,
    /// Tasks that run now.
    pub running: u32,
    /// Tasks that ended well.
    pub done: u32,
    /// Where tasks run or ran, at most the first few.
    pub workers: Vec<WorkerId>,
    /// The daemon that runs it.
    pub coordinator: DaemonId,
    /// The availability zone that runs it.
    pub zone: ZoneName,
    /// When it was accepted.
    pub accepted_ms: UnixMs,
    /// From acceptance to the first start, where one was seen.
    pub waited_ms: Option<u64>,
    /// The outcome, once it is final.
    pub outcome: Option<Outcome>,
    /// Why it waits, or why it ran where it ran, for people.
    pub reasons: Vec<String>,
}
