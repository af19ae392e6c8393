//! The outside world of a daemon, as one trait.
//!
//! The store keeps rows in a few tables and changes several of them at once
//! under conditions on their versions. Workers take orders. The advisor says
//! which workers may run a step. An adapter implements all of it.

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

use crate::manifest::Manifest;

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, displaydoc::Display)]
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

/// Rows that the store writes one transaction after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Shard {
    /// Who leads, and which daemons there are.
    Control,
    /// The rows of the jobs of this part.
    Jobs(usize),
}

/// The shard of a row.
pub fn shard(table: Table, key: &str) -> Shard {
    match table {
        Table::Jobs | Table::Cancels | Table::Progress => match key.parse::<JobId>() {
            Ok(job) => Shard::Jobs(job.partition()),
            Err(_) => Shard::Control,
        },
        Table::Fences => key.parse().map_or(Shard::Control, Shard::Jobs),
        Table::Duty | Table::Daemons => Shard::Control,
    }
}

/// A row as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value; `None` is a row that was removed.
    pub value: Option<Vec<u8>>,
    /// The transaction that wrote it.
    pub version: u64,
}

/// Rows, and the version of the store that they were read at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows, by key, or by version where they are changes.
    pub rows: Vec<Row>,
    /// The version of the whole store.
    pub version: u64,
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Versions that rows must have; 0 is no such row.
    pub expect: Vec<(Table, String, u64)>,
    /// Rows to write.
    pub put: Vec<(Table, String, Vec<u8>)>,
    /// Rows to remove.
    pub remove: Vec<(Table, String)>,
}

/// What the store did not do.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum StoreError {
    /// the store refused and did nothing
    Refused,
    /// no answer came; a write may have been done, or may be done later
    NoAnswer,
    /// a row has another version than expected
    Conflict(Vec<(Table, Row)>),
    /// the history that was asked for is gone
    HistoryLost,
}

/// Whether a version of the manifest is the newest.
#[derive(Clone, Debug, PartialEq)]
pub enum Confirmation {
    /// It is.
    Newest,
    /// There is another one; none if that one cannot be read.
    Replaced(Option<Manifest>),
}

/// What changed in the list of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerChanges {
    /// Workers listed, or listed with new facts.
    pub listed: Vec<WorkerUpdate>,
    /// Workers listed no longer.
    pub unlisted: Vec<WorkerId>,
    /// Where to go on from.
    pub version: u64,
}

/// The outside world.
pub trait Outside: Send + Sync + 'static {
    /// Changes rows under conditions; gives the new version.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Reads one row.
    fn read(
        &self,
        table: Table,
        key: &str,
    ) -> impl Future<Output = Result<Option<Row>, StoreError>> + Send;

    /// Reads a whole table. The version is that of the first part read, so
    /// changes after it are either in the rows or in what follows it.
    fn read_all(&self, table: Table) -> impl Future<Output = Result<Rows, StoreError>> + Send;

    /// Waits for changes to a table after a version.
    fn follow(
        &self,
        table: Table,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Rows, StoreError>> + Send;

    /// Reads the list of workers.
    fn workers(&self) -> impl Future<Output = Result<WorkerChanges, StoreError>> + Send;

    /// Waits for changes to the list of workers.
    fn follow_workers(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<WorkerChanges, StoreError>> + Send;

    /// Reads the manifest, and the store's version to follow it from.
    fn manifest(&self) -> impl Future<Output = Result<(Option<Manifest>, u64), StoreError>> + Send;

    /// Waits for a newer manifest.
    fn follow_manifest(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<(Option<Manifest>, u64), StoreError>> + Send;

    /// Tells whether the manifest of a row version was the newest at some moment of the
    /// call. Unlike a reading, the answer must not lag behind.
    fn confirm_manifest(
        &self,
        row_version: u64,
    ) -> impl Future<Output = Result<Confirmation, StoreError>> + Send;

    /// Holds a worker.
    fn hold(&self, call: &HoldCall) -> impl Future<Output = Result<HoldReply, CallError>> + Send;

    /// Starts a run.
    fn start(&self, call: &StartCall)
    -> impl Future<Output = Result<StartReply, CallError>> + Send;

    /// Stops a run.
    fn stop(&self, call: &StopCall) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Lets a run work at a share of its speed.
    fn pace(&self, call: &PaceCall) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Asks which of these workers may run a step; `None` is no answer.
    fn advise(
        &self,
        step: StepId,
        workers: &[WorkerId],
        limit_ms: u64,
    ) -> impl Future<Output = Option<Vec<Grant>>> + Send;
}
