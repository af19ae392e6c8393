//! The platform that a daemon runs on, as a trait that an adapter implements.
//!
//! It has three parts: the store, which keeps rows in a few tables and supports transactions
//! that are conditional on row versions; the workers, which run tasks; and the advisor, which
//! decides which workers may run a step and grants a ticket for each of them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::WorkerId;
use stoatwell_pool::CallError;
use stoatwell_pool::Grant;
use stoatwell_pool::HoldCall;
use stoatwell_pool::HoldReply;
use stoatwell_pool::JobId;
use stoatwell_pool::PaceCall;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use stoatwell_pool::StepId;
use stoatwell_pool::StopCall;
use stoatwell_pool::WorkerUpdate;

use crate::long_rows::value_key;
use crate::manifest::Manifest;

/// A table of the store. Its `Display` text is the name under which it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, displaydoc::Display)]
pub enum Table {
    /// jobs
    Jobs,
    /// progress
    Progress,
    /// cancels
    Cancels,
    /// duty
    Duty,
    /// daemons
    Daemons,
    /// fences
    Fences,
}

/// A group of rows whose transactions the store executes one after another: one of the
/// [`PARTITIONS`](stoatwell_pool::PARTITIONS) with the rows of jobs, or a group of other rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Shard {
    /// The leader lease.
    Control,
    /// The list of daemons. Hundreds of them may announce themselves at once, and the leader
    /// lease must not wait behind them.
    Daemons,
    /// The rows of the jobs in the partition with this index.
    Jobs(usize),
}

/// The shard that a row belongs to.
pub fn shard(table: Table, key: &str) -> Shard {
    match table {
        Table::Jobs | Table::Cancels | Table::Progress => match value_key(key).parse::<JobId>() {
            Ok(job) => Shard::Jobs(job.partition()),
            Err(_) => Shard::Control,
        },
        Table::Fences => key.parse().map_or(Shard::Control, Shard::Jobs),
        Table::Duty => Shard::Control,
        Table::Daemons => Shard::Daemons,
    }
}

/// A row of a table, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key, unique within the table.
    pub key: String,
    /// The encoded value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// The version of the transaction that last wrote the row.
    pub version: u64,
}

/// Rows, and the version of the store at which they were read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows, ordered by key, or by version if they are changes.
    pub rows: Vec<Row>,
    /// The version of the whole store; changes are polled from here on.
    pub version: u64,
    /// Whether more changes may follow at once, or more rows, because one response did not hold
    /// them all.
    pub has_more: bool,
}

/// Changes that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Versions that rows must have for the transaction to be applied; 0 if the row must not
    /// exist.
    pub expect: Vec<(Table, String, u64)>,
    /// Rows to write.
    pub put: Vec<(Table, String, Vec<u8>)>,
    /// Rows to remove.
    pub remove: Vec<(Table, String)>,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum StoreError {
    /// the store refused and did nothing
    Refused,
    /// no answer came; a write may have been done, or may be done later
    NoAnswer,
    /// a row has another version than expected
    Conflict(Vec<(Table, Row)>),
    /// the history that was asked for is gone
    HistoryLost,
    /// the store did nothing, and never will carry out this call
    Invalid,
}

/// The store's answer to whether a version of the manifest is the newest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Confirmation {
    /// The version is the newest.
    Newest,
    /// Another version replaced it; `None` if that one cannot be parsed.
    Replaced(Option<Manifest>),
}

/// Changes to the list of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerChanges {
    /// Workers that were added or whose entry changed.
    pub listed: Vec<WorkerUpdate>,
    /// Workers that were removed.
    pub unlisted: Vec<WorkerId>,
    /// The store's version from which to poll for further changes.
    pub version: u64,
    /// Whether more changes may follow at once, because one response did not hold them all.
    pub has_more: bool,
}

/// The store, the workers and the advisor that a daemon uses.
pub trait Platform: Send + Sync + 'static {
    /// The same platform, over connections that are not shared with this one. Work on another
    /// runtime needs them: a connection makes progress only on the runtime that opened it.
    fn with_own_connections(self: &Arc<Self>) -> Arc<Self>;

    /// Executes a transaction; returns the version of the rows that it wrote.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Reads one row; `None` if there is no such row.
    fn read(
        &self,
        table: Table,
        key: &str,
    ) -> impl Future<Output = Result<Option<Row>, StoreError>> + Send;

    /// Reads a whole table. The version is that of the first partition read, so each later
    /// change is either in the rows or returned by a poll from that version.
    fn read_all(&self, table: Table) -> impl Future<Output = Result<Rows, StoreError>> + Send;

    /// Reads a page of a table: the rows of the partition of jobs with this index whose keys
    /// follow `after`, in ascending order, as many as one response holds. They are as of the
    /// returned version; `has_more` tells whether rows with greater keys follow.
    fn read_page(
        &self,
        table: Table,
        partition: usize,
        after: &str,
    ) -> impl Future<Output = Result<Rows, StoreError>> + Send;

    /// Returns the changes to a table after a version, waiting up to `wait_ms` for the first.
    /// One response may hold only a part of them, the oldest first.
    fn poll_changes(
        &self,
        table: Table,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Rows, StoreError>> + Send;

    /// Reads the whole list of workers.
    fn workers(&self) -> impl Future<Output = Result<WorkerChanges, StoreError>> + Send;

    /// Returns the changes to the list of workers after a version, waiting up to `wait_ms` for
    /// the first. One response may hold only a part of them, the oldest first.
    fn poll_worker_changes(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<WorkerChanges, StoreError>> + Send;

    /// Reads the manifest, and the store's version from which to poll for a newer one. `None`
    /// if there is no manifest that can be parsed.
    fn manifest(&self) -> impl Future<Output = Result<(Option<Manifest>, u64), StoreError>> + Send;

    /// Returns a newer manifest, waiting up to `wait_ms` for it, and the version from which to
    /// poll next. `None` if there is none.
    fn poll_manifest(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<(Option<Manifest>, u64), StoreError>> + Send;

    /// Whether the manifest with this row version was the newest at some time during the call.
    /// Unlike a read, the answer must not lag behind.
    fn confirm_manifest(
        &self,
        row_version: u64,
    ) -> impl Future<Output = Result<Confirmation, StoreError>> + Send;

    /// Renews the lease of a worker and reads the lists of its runs. The worker may keep the call
    /// waiting until a run ends.
    fn hold(&self, call: &HoldCall) -> impl Future<Output = Result<HoldReply, CallError>> + Send;

    /// Starts a run on a worker.
    fn start(&self, call: &StartCall)
    -> impl Future<Output = Result<StartReply, CallError>> + Send;

    /// Stops a run on a worker.
    fn stop(&self, call: &StopCall) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Throttles a run to a share of its full speed, its pace.
    fn pace(&self, call: &PaceCall) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Asks the advisor which of these workers may run a step. Returns the allowed ones, each
    /// with a ticket for the start; `None` if the advisor did not answer.
    fn advise(
        &self,
        step: StepId,
        workers: &[WorkerId],
        limit_ms: u64,
    ) -> impl Future<Output = Option<Vec<Grant>>> + Send;
}
