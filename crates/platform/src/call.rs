//! Questions to the platform and its answers.

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

/// A call that brought no answer. The difference decides every retry.
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
    /// Whether the call surely had no effect.
    pub fn is_without_effect(&self) -> bool {
        !matches!(self, Self::NoAnswer(_))
    }
}

/// A question to the table, the object store or the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// Writes all rows or none.
    Transact(Transaction),
    /// Reads rows by key.
    Read {
        /// The keys.
        keys: Vec<String>,
    },
    /// Reads rows in the order of their keys.
    Scan {
        /// Start of the keys.
        prefix: String,
        /// Only keys after this one; empty for all.
        after: String,
        /// Rows at most.
        limit: u32,
    },
    /// Keeps a large body.
    PutObject {
        /// Its key.
        key: String,
        /// The body.
        body: String,
    },
    /// Reads a large body.
    GetObject {
        /// Its key.
        key: String,
    },
    /// Removes a large body.
    DeleteObject {
        /// Its key.
        key: String,
    },
    /// Reads the lagging list of instances: every entry instance, and the
    /// workers of one zone or of all.
    Instances {
        /// The zone.
        zone: Option<ZoneName>,
    },
}

impl StoreCall {
    /// Whether it counts against the writes of the table.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Transact(_) | Self::PutObject { .. } | Self::DeleteObject { .. })
    }
}

/// Rows that change together, if all checks hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub deletes: Vec<String>,
}

/// A row must be at this version.
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
    /// Its version; 0 where it does not exist.
    pub version: u64,
    /// Its value; empty where it does not exist.
    pub value: String,
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreReply {
    /// The transaction took effect; all its rows have this version.
    Committed {
        /// The version.
        version: u64,
    },
    /// The transaction had no effect; these checked rows differ.
    Conflict {
        /// The rows as they are.
        rows: Vec<Row>,
    },
    /// Rows that were read.
    Rows {
        /// The rows.
        rows: Vec<Row>,
    },
    /// An object, if there is one.
    Object {
        /// Its body.
        body: Option<String>,
    },
    /// The object was kept or removed.
    ObjectStored,
    /// The instance list.
    Instances {
        /// The instances.
        instances: Vec<Instance>,
    },
}

/// One line of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name: a daemon's or a worker's.
    pub name: String,
    /// What runs there.
    pub kind: InstanceKind,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// IP and port.
    pub address: String,
    /// Whether it stays.
    pub state: InstanceState,
}

/// What runs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A daemon.
    Entry,
    /// Tasks and minions.
    Worker,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It stays.
    Live,
    /// The platform will take it away.
    Leaving,
}

/// A question to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerCall {
    /// Asks to be its holder.
    Acquire {
        /// Who asks.
        holder: DaemonId,
        /// A token above every earlier one.
        token: Token,
        /// How long the lease runs from when the worker grants it.
        ttl_ms: u64,
    },
    /// Prolongs the lease and hears what changed; waits for a change if there is none.
    Renew {
        /// The holder's token.
        token: Token,
        /// How long the lease runs from now.
        ttl_ms: u64,
        /// How long to wait for a change.
        wait_ms: u64,
        /// The last change heard of.
        since: u64,
        /// Finished attempts that the worker may forget.
        acknowledged: Vec<AttemptId>,
    },
    /// Gives the lease back.
    Release {
        /// The holder's token.
        token: Token,
    },
    /// Starts tasks.
    Start {
        /// The holder's token.
        token: Token,
        /// The tasks.
        tasks: Vec<StartTask>,
    },
    /// Ends or slows tasks.
    Stop {
        /// The holder's token.
        token: Token,
        /// The attempts.
        attempts: Vec<AttemptId>,
        /// How.
        mode: StopMode,
    },
}

/// An answer of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerReply {
    /// The caller is the holder; older tokens are refused from now on.
    Granted {
        /// All that the worker knows.
        state: WorkerState,
        /// The last change in it.
        seq: u64,
    },
    /// The lease goes on.
    Renewed {
        /// Tasks that changed since.
        changes: Vec<TaskReport>,
        /// Requests in work at each minion.
        minions: Vec<MinionState>,
        /// Capacity used by something that is not ours.
        foreign: Resources,
        /// The last change in it.
        seq: u64,
    },
    /// The lease was given back.
    Released,
    /// What became of each start, in order.
    Started {
        /// The replies.
        replies: Vec<StartReply>,
    },
    /// The tasks named were told.
    Stopped,
    /// The caller is not the holder.
    NotHolder {
        /// Who is, if anyone.
        holder: Option<DaemonId>,
        /// The highest token granted.
        token: Token,
        /// How long that lease still runs.
        expires_ms: u64,
    },
}

/// A question to a minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MinionCall {
    /// A request to answer.
    Ask {
        /// Names the request; the answer carries it too.
        attempt: AttemptId,
        /// How long its answer is of use.
        deadline_ms: u64,
        /// The request.
        body: String,
    },
    /// Asks what became of a request, and forbids it where it never came.
    Seal {
        /// The request.
        attempt: AttemptId,
    },
}

/// An answer of a minion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MinionReply {
    /// The whole answer to this very request.
    Answer {
        /// The answer.
        body: String,
    },
    /// All slots are busy; the request was not begun.
    Busy,
    /// The minion failed on it.
    Failed {
        /// Why.
        reason: String,
    },
    /// It never came and is refused from now on.
    NeverStarted,
    /// It is being worked on.
    Running,
}
