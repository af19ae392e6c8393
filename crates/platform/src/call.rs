//! Requests to the platform and its replies.

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::AttemptId;
use stoatwell_model::DaemonId;
use stoatwell_model::RegionName;
use stoatwell_model::Resources;
use stoatwell_model::ZoneName;
use stoatwell_model::worker::MinionState;
use stoatwell_model::worker::StartReply;
use stoatwell_model::worker::StartTask;
use stoatwell_model::worker::StopMode;
use stoatwell_model::worker::TaskReport;
use stoatwell_model::worker::Token;
use stoatwell_model::worker::WorkerState;

/// A call that failed. The variant decides whether the call may be retried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum CallError {
    /// not sent, so without effect: {0}
    NotSent(String),
    /// sent without an answer, so it may have taken effect: {0}
    NoAnswer(String),
    /// refused without effect: {0}
    Refused(String),
}

impl std::error::Error for CallError {}

impl CallError {
    /// Whether the call is known to have had no effect.
    pub fn is_without_effect(&self) -> bool {
        !matches!(self, Self::NoAnswer(_))
    }
}

/// A request to the table, the object store or the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// Applies a transaction: all of its writes or none.
    Transact(Transaction),
    /// Reads rows by key.
    Read {
        /// Keys of the rows, in the order of the reply.
        keys: Vec<String>,
    },
    /// Reads rows in key order.
    Scan {
        /// Prefix that the keys must have.
        prefix: String,
        /// Returns only keys greater than this one; empty to start at the first.
        after: String,
        /// Maximum number of rows; the store may return fewer.
        limit: u32,
    },
    /// Stores a body that is too large for a row.
    PutObject {
        /// Key in the object store.
        key: String,
        /// The whole body; replaces an earlier one.
        body: String,
    },
    /// Reads a body from the object store.
    GetObject {
        /// Key in the object store.
        key: String,
    },
    /// Removes a body from the object store.
    DeleteObject {
        /// Key in the object store.
        key: String,
    },
    /// Reads the instance list, which lags behind reality: every entry
    /// instance, and the workers of one zone or of all zones.
    Instances {
        /// Zone whose workers are listed; `None` for the workers of all zones.
        zone: Option<ZoneName>,
    },
}

impl StoreCall {
    /// Whether the call counts as a write of the store.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Transact(_) | Self::PutObject { .. } | Self::DeleteObject { .. })
    }
}

/// Rows that change atomically if all checks hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Row versions that must match, or nothing is written.
    pub checks: Vec<Check>,
    /// Rows to insert or overwrite.
    pub puts: Vec<Put>,
    /// Keys of the rows to remove.
    pub deletes: Vec<String>,
}

/// A precondition on the version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version it must have; 0 means that it must not exist.
    pub version: u64,
}

/// One row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The row's key.
    pub key: String,
    /// Its new value.
    pub value: String,
}

/// One row as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Its version; 0 if it does not exist.
    pub version: u64,
    /// Its value; empty if it does not exist.
    pub value: String,
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// The transaction took effect.
    Committed {
        /// New version of all rows that it wrote.
        version: u64,
    },
    /// The transaction had no effect because checks failed.
    Conflict {
        /// Current state of the rows whose check failed.
        rows: Vec<Row>,
    },
    /// The reply to a read or a scan.
    Rows {
        /// The rows; a read also returns those that do not exist, at version 0.
        rows: Vec<Row>,
    },
    /// The reply to reading an object.
    Object {
        /// The body; `None` if there is no such object.
        body: Option<String>,
    },
    /// The object was stored or removed.
    ObjectStored,
    /// The reply to reading the instance list.
    Instances {
        /// Every entry instance and the workers that were asked for.
        instances: Vec<Instance>,
    },
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the daemon or worker that runs on it.
    pub name: String,
    /// Whether a daemon or a worker runs there.
    pub kind: InstanceKind,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// IP and port where it is reached.
    pub address: String,
    /// Whether the platform is about to remove it.
    pub state: InstanceState,
}

/// What runs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An entry instance, which runs a daemon.
    Entry,
    /// A worker, which runs tasks and hosts minions.
    Worker,
}

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// No removal is planned.
    Live,
    /// The platform is going to remove it.
    Leaving,
}

/// A request to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerCall {
    /// Asks for the lease of the worker.
    Acquire {
        /// The daemon that asks.
        holder: DaemonId,
        /// Fencing token; must be higher than every earlier one.
        token: Token,
        /// Duration of the lease, counted from when the worker grants it.
        ttl_ms: u64,
    },
    /// Renews the lease and returns what changed. This is a long poll: without a
    /// change the worker delays its reply.
    Renew {
        /// Fencing token of the holder.
        token: Token,
        /// Duration of the lease, counted from when the call arrives.
        ttl_ms: u64,
        /// How long the worker waits for a change at most.
        wait_ms: u64,
        /// Sequence number of the last change that the holder has received.
        since: u64,
        /// Finished attempts that the holder has processed; the worker forgets them.
        acknowledged: Vec<AttemptId>,
    },
    /// Releases the lease before it expires.
    Release {
        /// Fencing token of the holder.
        token: Token,
    },
    /// Starts tasks.
    Start {
        /// Fencing token of the holder.
        token: Token,
        /// The attempts to start; each gets a reply of its own.
        tasks: Vec<StartTask>,
    },
    /// Stops, checkpoints or throttles tasks.
    Stop {
        /// Fencing token of the holder.
        token: Token,
        /// Running attempts, or ones whose start may still arrive.
        attempts: Vec<AttemptId>,
        /// What to do with them.
        mode: StopMode,
    },
}

/// A reply of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerReply {
    /// The caller holds the lease; the worker refuses lower tokens from now on.
    Granted {
        /// Complete state of the worker.
        state: WorkerState,
        /// Sequence number of the last change that the state includes.
        seq: u64,
    },
    /// The lease was renewed.
    Renewed {
        /// Tasks that changed after the sequence number in the call.
        changes: Vec<TaskReport>,
        /// State of every minion on the worker, with its requests in progress.
        minions: Vec<MinionState>,
        /// Resources used by processes that this system did not start.
        foreign: Resources,
        /// Sequence number of the last change that the reply includes.
        seq: u64,
    },
    /// The lease was released.
    Released,
    /// The reply to a start call.
    Started {
        /// One reply per task, in the order of the call.
        replies: Vec<StartReply>,
    },
    /// The stop was passed on to the attempts named; they may not have ended yet.
    Stopped,
    /// The caller does not hold the lease, or its token is outdated.
    NotHolder {
        /// The daemon that does; `None` if the lease was released or never granted.
        holder: Option<DaemonId>,
        /// The highest token that was granted.
        token: Token,
        /// Milliseconds until that lease expires; 0 if it has expired.
        expires_ms: u64,
    },
}

/// A call to a minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MinionCall {
    /// Sends a request.
    Ask {
        /// Identifies the request; the answer repeats it.
        attempt: AttemptId,
        /// For how many milliseconds the answer is still useful.
        deadline_ms: u64,
        /// Body of the request.
        body: String,
    },
    /// Asks for the state of a request. If it never arrived, the minion refuses
    /// it from now on.
    Seal {
        /// Identifies the request.
        attempt: AttemptId,
    },
}

/// A reply of a minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MinionReply {
    /// The complete answer to the request with this attempt id.
    Answer {
        /// Body of the answer.
        body: String,
    },
    /// All slots are busy; the request was not started.
    Busy,
    /// The minion failed to answer the request.
    Failed {
        /// Error text of the minion.
        reason: String,
    },
    /// The request never arrived and is refused from now on.
    NeverStarted,
    /// The request is still in progress.
    Running,
}
