//! What a worker reports and what it accepts from its lease holder.

use serde::Deserialize;
use serde::Serialize;

use crate::id::AttemptId;
use crate::id::DaemonId;
use crate::id::MinionId;
use crate::id::WorkerId;
use crate::resources::Resources;

/// Fencing token of a lease on a worker.
///
/// It increases each time the worker's lease passes to another holder. A worker
/// refuses calls with a lower token than the highest that it has granted.
pub type Token = u64;

/// Complete state of a worker, sufficient for a new lease holder to take over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerState {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Total capacity, including what is in use.
    pub capacity: Resources,
    /// Failure domain over which tasks are spread.
    pub rack: String,
    /// Highest token that the worker has granted.
    pub token: Token,
    /// Running tasks, and finished tasks that have not been acknowledged.
    pub tasks: Vec<TaskReport>,
    /// Back ends that the worker hosts.
    pub minions: Vec<MinionState>,
    /// Capacity used by something other than our tasks.
    pub foreign: Resources,
}

/// State of a back end on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinionState {
    /// Name of the minion.
    pub minion: MinionId,
    /// Group to which entries refer.
    pub group: String,
    /// IP and port at which it answers requests.
    pub address: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Number of requests in progress.
    pub busy: u32,
}

/// State of one task on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Attempt that the worker was told to start.
    pub attempt: AttemptId,
    /// Resources allocated to the task.
    pub demand: Resources,
    /// Last observed usage. It lags behind the actual usage by design.
    pub usage: Resources,
    /// Daemon that is to be informed about the task.
    pub coordinator: DaemonId,
    /// Name of its catalogue entry, as given with the start.
    pub entry: String,
    /// Whether the task runs or how it ended.
    pub state: TaskState,
}

/// State of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The task has started and has not ended.
    Running,
    /// The task ended by itself, successfully.
    Done {
        /// Output for its owner.
        answer: String,
    },
    /// The task ended by itself with an error.
    Failed {
        /// Cause, as reported by the worker.
        reason: String,
    },
    /// The task was ended by the lease holder, or because the lease expired.
    Stopped {
        /// Whether a checkpoint was saved.
        checkpointed: bool,
    },
}

impl TaskState {
    /// Whether the task occupies resources.
    pub fn is_running(&self) -> bool {
        matches!(self, Self::Running)
    }
}

/// Order to start one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Attempt to start; starting the same one a second time has no effect.
    pub attempt: AttemptId,
    /// Resources to allocate.
    pub demand: Resources,
    /// Daemon that is to be informed about the task.
    pub coordinator: DaemonId,
    /// Name of the catalogue entry.
    pub entry: String,
    /// What to run; not interpreted by the daemon.
    pub payload: String,
    /// How long the task may continue after the worker's lease expired; `None` means no limit.
    pub orphan_ms: Option<u64>,
}

/// Response of a worker to one [`StartTask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartReply {
    /// The task runs, or had been started before.
    Started,
    /// The task did not start, and this attempt never will.
    Refused {
        /// Cause, as reported by the worker.
        reason: String,
    },
}

/// How to stop or throttle a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopMode {
    /// Stop the task immediately.
    Stop,
    /// Save a checkpoint, then stop the task.
    Checkpoint,
    /// Let the task continue with limited CPU.
    Throttle {
        /// Limit in thousandths of a core.
        cpu_millis: u64,
    },
}
