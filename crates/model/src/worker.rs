//! What a worker says of itself and accepts from its holder.

use serde::Deserialize;
use serde::Serialize;

use crate::id::AttemptId;
use crate::id::DaemonId;
use crate::id::MinionId;
use crate::id::WorkerId;
use crate::resources::Resources;

/// Rises each time a worker gets another holder; a worker refuses lower ones.
pub type Token = u64;

/// Everything a worker knows; enough for a new holder to start from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerState {
    /// The worker.
    pub worker: WorkerId,
    /// What it holds in all.
    pub capacity: Resources,
    /// Where it stands, for spreading.
    pub rack: String,
    /// The highest token it has granted.
    pub token: Token,
    /// Tasks that run, and finished ones that nobody has acknowledged.
    pub tasks: Vec<TaskReport>,
    /// Back ends that it hosts.
    pub minions: Vec<MinionState>,
    /// Capacity used by something that is not ours.
    pub foreign: Resources,
}

/// A back end on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionState {
    /// The minion.
    pub minion: MinionId,
    /// The group that entries name.
    pub group: String,
    /// IP and port where it answers.
    pub address: String,
    /// Requests it takes at once.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
    /// Requests it is working on now.
    pub busy: u32,
}

/// One task as the worker sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// What was set aside for it.
    pub demand: Resources,
    /// What it used when last looked at; late by design.
    pub usage: Resources,
    /// Who was told to hear about it.
    pub coordinator: DaemonId,
    /// Entry it belongs to, as given at the start.
    pub entry: String,
    /// How far it is.
    pub state: TaskState,
}

/// How far a task is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Running.
    Running,
    /// Ended by itself, successfully.
    Done {
        /// What it printed for its owner.
        answer: String,
    },
    /// Ended by itself with an error.
    Failed {
        /// Why, as the worker tells it.
        reason: String,
    },
    /// Ended by a stop from its holder, or by a lapsed lease.
    Stopped {
        /// Whether its progress was saved.
        checkpointed: bool,
    },
}

impl TaskState {
    /// Whether it uses resources.
    pub fn is_running(&self) -> bool {
        matches!(self, Self::Running)
    }
}

/// One task to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// The attempt; starting the same one twice has no further effect.
    pub attempt: AttemptId,
    /// What to set aside.
    pub demand: Resources,
    /// Who hears about it.
    pub coordinator: DaemonId,
    /// The entry's name.
    pub entry: String,
    /// What to run, opaque to us.
    pub payload: String,
    /// How long it may go on after the worker's lease has lapsed; no limit where absent.
    pub orphan_ms: Option<u64>,
}

/// What became of one start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartReply {
    /// It runs, or had been started before.
    Started,
    /// It did not start and this attempt never will.
    Refused {
        /// Why, as the worker tells it.
        reason: String,
    },
}

/// How to end or slow a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// End it now.
    Stop,
    /// Save its progress, then end it.
    Checkpoint,
    /// Let it go on with this much processor.
    Throttle {
        /// Thousandths of a core.
        cpu_millis: u64,
    },
}
