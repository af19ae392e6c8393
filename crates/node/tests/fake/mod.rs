//! A fake platform: an in-memory store that can fail like the real one, at most one worker,
//! and an advisor that grants none.

#![allow(dead_code, reason = "each test file uses a part of the fake")]

pub mod daemon;
pub mod leader;
pub mod proxy;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use stoatwell_model::Resources;
use stoatwell_model::WorkerId;
use stoatwell_model::ZoneName;
use stoatwell_node::Confirmation;
use stoatwell_node::DaemonInfo;
use stoatwell_node::Manifest;
use stoatwell_node::Platform;
use stoatwell_node::Row;
use stoatwell_node::Rows;
use stoatwell_node::Shard;
use stoatwell_node::StoreError;
use stoatwell_node::Table;
use stoatwell_node::Transaction;
use stoatwell_node::WorkerChanges;
use stoatwell_node::shard;
use stoatwell_pool::CallError;
use stoatwell_pool::EndedRun;
use stoatwell_pool::Grant;
use stoatwell_pool::HoldCall;
use stoatwell_pool::HoldReply;
use stoatwell_pool::PARTITIONS;
use stoatwell_pool::PaceCall;
use stoatwell_pool::RunOutcome;
use stoatwell_pool::StartCall;
use stoatwell_pool::StartReply;
use stoatwell_pool::StepId;
use stoatwell_pool::StopCall;
use stoatwell_pool::TaskId;
use stoatwell_pool::WorkerUpdate;
use tokio::sync::watch;

/// How long a call waits for a response, in addition to the time for which the store may
/// hold it open.
const RESPONSE_TIMEOUT_MS: u64 = 1_500;

/// How long the store takes for a confirmation while many others wait before it.
const LATE_CONFIRMATION: Duration = Duration::from_secs(1);

/// How long the store takes for one of several calls that read a table.
const CALL_DURATION: Duration = Duration::from_millis(4);

/// Most changes in a response of the store's change feed.
const FEED_ROWS_MAX: u64 = 500;

/// Most rows in a page of a table.
const PAGE_ROWS_MAX: usize = 100;

/// How the store fails a call that reads a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageFault {
    /// It refuses the call.
    Refused,
    /// It does not answer the call.
    Unanswered,
}

/// How the store responds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreBehavior {
    /// It carries out all requests.
    #[default]
    Normal,
    /// It refuses writes.
    RefusesWrites,
    /// It carries out no writes and answers neither writes nor reads.
    Unresponsive,
    /// It carries out the next write without a response and is normal afterwards.
    LosesOneResponse,
    /// It does not respond to the next poll of the manifest and is normal afterwards.
    LosesOnePoll,
    /// It refuses reads and writes.
    RefusesAll,
    /// It carries out writes of jobs only once they are released, whether or not the caller
    /// still waits, and is normal otherwise.
    DelaysJobWrites,
    /// The client panics in the next write of jobs, and is normal afterwards.
    PanicsInOneJobWrite,
    /// It has lost the history of changes to jobs at the next poll, and is normal afterwards.
    LosesHistoryOfJobs,
    /// It refuses reads of the leader lease and is normal otherwise.
    HidesLeaderLease,
    /// It refuses polls for changes to jobs and cancellations and is normal otherwise.
    HidesChangesOfJobs,
    /// It refuses writes, and answers each confirmation of the manifest after a second.
    ConfirmsLate,
    /// It closes this daemon's connections without an answer.
    Resets,
    /// It carries out nothing and answers nothing on this daemon's connections.
    Silent,
    /// It removes a cancellation that it has reported as a conflict, and is normal afterwards.
    RemovesConflictingCancellation,
}

/// The platform as one daemon sees it. The rows can be shared with other daemons.
#[derive(Debug, Default)]
pub struct FakePlatform {
    behavior: Mutex<StoreBehavior>,
    state: Arc<Mutex<State>>,
    job_writes_released: watch::Sender<bool>,
    confirmations: AtomicUsize,
    worker: Option<FakeWorker>,
    worker_count: usize,
    heartbeats: Option<Heartbeats>,
    /// Reads from the first row on, by table and partition.
    whole_reads: Mutex<BTreeMap<(String, usize), usize>>,
    calls_per_read: AtomicUsize,
    page_calls: Mutex<BTreeMap<String, usize>>,
    page_faults: Mutex<PageFaults>,
    /// Held while a page crosses a link that carries one after another.
    thin_link: Option<tokio::sync::Mutex<()>>,
    /// Longer values are invalid; 0 is no limit.
    value_bytes_max: AtomicUsize,
    /// The calls that are not answered from now on.
    unanswered: Mutex<Vec<UnansweredCall>>,
}

/// The faults of the next calls that read a page, by table and partition.
type PageFaults = BTreeMap<(String, usize), VecDeque<Option<PageFault>>>;

/// A call that the store does not answer once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnansweredCall {
    /// The write of the fence of this partition, which is carried out.
    WrittenFence(usize),
    /// The write of the fence of this partition, which is not carried out.
    LostFence(usize),
    /// A renewal of the leader lease, which is carried out.
    WrittenRenewal,
    /// A renewal of the leader lease, which is not carried out.
    LostRenewal,
    /// The read of the list of workers.
    Workers,
    /// The read of the list of daemons.
    Daemons,
}

/// Entries in the list of workers that are rewritten in turn.
#[derive(Debug)]
struct Heartbeats {
    began: Instant,
    per_s: u64,
    /// From when on the first worker's entry says that it leaves.
    draining_after: Duration,
}

/// A worker that answers the first start of each task with "not started", all at the same
/// time, and completes later runs at once.
#[derive(Debug, Default)]
struct FakeWorker {
    answers_released: watch::Sender<bool>,
    started: Mutex<Vec<(TaskId, u32)>>,
    first_starts_received: AtomicUsize,
    extensions_received: AtomicUsize,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), (Vec<u8>, u64)>,
    /// The versions at which rows were removed.
    removed: BTreeMap<(String, String), u64>,
    writes: usize,
    manifest_polls: usize,
    advice_hangs: bool,
    loses_holds: bool,
    manifest: Option<Manifest>,
    snapshot: Rows,
    /// How many reads of a table, or of each of its partitions, are answered with the snapshot.
    stale_reads: Option<(usize, Table)>,
    /// The reads of each partition since then.
    stale_partition_reads: [usize; PARTITIONS],
}

impl FakePlatform {
    /// The same store as another daemon sees it, with a behavior of its own and no worker.
    pub fn for_other_daemon(&self) -> Self {
        Self { state: Arc::clone(&self.state), ..Self::default() }
    }

    /// A platform with a worker.
    pub fn with_worker() -> Self {
        Self::with_workers(1)
    }

    /// A platform behind a link that carries one page after another.
    pub fn behind_thin_link() -> Self {
        Self { thin_link: Some(tokio::sync::Mutex::default()), ..Self::default() }
    }

    /// A platform with workers that behave as one.
    pub fn with_workers(worker_count: usize) -> Self {
        Self { worker: Some(FakeWorker::default()), worker_count, ..Self::default() }
    }

    /// A platform with workers that write `per_s` heartbeats a second together, and answer no
    /// calls. The first one begins to leave after `draining_after`.
    pub fn with_heartbeats(worker_count: usize, per_s: u64, draining_after: Duration) -> Self {
        let heartbeats = Heartbeats { began: Instant::now(), per_s, draining_after };
        Self { worker_count, heartbeats: Some(heartbeats), ..Self::default() }
    }

    /// The number of holds that the worker has received and that extend its lease.
    pub fn extensions_received(&self) -> usize {
        self.worker.as_ref().map_or(0, |worker| worker.extensions_received.load(Ordering::Relaxed))
    }

    /// The number of first starts that the worker has received.
    pub fn first_starts_received(&self) -> usize {
        self.worker
            .as_ref()
            .map_or(0, |worker| worker.first_starts_received.load(Ordering::Relaxed))
    }

    /// Answers all first starts.
    pub fn answer_first_starts(&self) {
        if let Some(worker) = &self.worker {
            worker.answers_released.send_replace(true);
        }
    }

    /// Keeps the present version, but no rows, for [`Self::serve_snapshot`].
    pub fn save_snapshot(&self) {
        let mut state = self.state.lock().expect("no panic");
        state.snapshot = Rows { version: state.version, ..Rows::default() };
    }

    /// Keeps the present version and the rows of a table, for [`Self::serve_snapshot`].
    pub fn save_snapshot_of(&self, table: Table) {
        let rows = self.rows(table);
        let mut state = self.state.lock().expect("no panic");
        state.snapshot = Rows { rows, version: state.version, has_more: false };
    }

    /// Answers the next `count` reads of a table, or of each of its partitions, with the snapshot.
    pub fn serve_snapshot(&self, count: usize, table: Table) {
        let mut state = self.state.lock().expect("no panic");
        state.stale_reads = Some((count, table));
        state.stale_partition_reads = [0; PARTITIONS];
    }

    /// Answers the next read of one partition of a table with the snapshot.
    pub fn serve_snapshot_of_partition(&self, table: Table, partition: usize) {
        let mut state = self.state.lock().expect("no panic");
        state.stale_reads = Some((1, table));
        state.stale_partition_reads = [1; PARTITIONS];
        state.stale_partition_reads[partition] = 0;
    }

    /// The rows of a table that were written or removed after a version.
    fn changes_after(&self, table: Table, after: u64) -> Vec<Row> {
        let rows = self.rows(table).into_iter();
        let mut changes: Vec<Row> = rows.filter(|row| row.version > after).collect();
        let state = self.state.lock().expect("no panic");
        let removed = state.removed.iter().filter(|((name, _), _)| *name == table.to_string());
        changes.extend(
            removed.filter(|(_, version)| **version > after).map(|((_, key), version)| Row {
                key: key.clone(),
                value: None,
                version: *version,
            }),
        );
        changes.sort_by_key(|row| row.version);
        changes
    }

    /// Makes each read of a whole table take this many calls, one after another.
    pub fn set_calls_per_read(&self, calls: usize) {
        self.calls_per_read.store(calls, Ordering::Relaxed);
    }

    /// Fails the next calls that read a page of a partition; `None` answers the call.
    pub fn fail_pages(&self, table: Table, partition: usize, faults: &[Option<PageFault>]) {
        let key = (table.to_string(), partition);
        let mut page_faults = self.page_faults.lock().expect("no panic");
        page_faults.insert(key, faults.iter().copied().collect());
    }

    /// Rejects transactions with longer values as invalid from now on; 0 is no limit.
    pub fn set_value_bytes_max(&self, bytes: usize) {
        self.value_bytes_max.store(bytes, Ordering::Relaxed);
    }

    /// Whether a transaction is within the store's limits.
    fn is_valid(&self, transaction: &Transaction) -> bool {
        let bytes_max = self.value_bytes_max.load(Ordering::Relaxed);
        bytes_max == 0 || transaction.put.iter().all(|(.., value)| value.len() <= bytes_max)
    }

    /// Does not answer these calls, each once.
    pub fn leave_unanswered(&self, calls: &[UnansweredCall]) {
        self.unanswered.lock().expect("no panic").extend_from_slice(calls);
    }

    /// Whether this call is not answered.
    fn is_unanswered(&self, call: UnansweredCall) -> bool {
        let mut unanswered = self.unanswered.lock().expect("no panic");
        let index = unanswered.iter().position(|other| *other == call);
        index.map(|index| unanswered.swap_remove(index)).is_some()
    }

    /// The number of calls of this daemon that read a page of a table.
    pub fn page_calls(&self, table: Table) -> usize {
        let counts = self.page_calls.lock().expect("no panic");
        counts.get(&table.to_string()).copied().unwrap_or(0)
    }

    /// The number of pages that a table has.
    pub fn pages(&self, table: Table) -> usize {
        let mut rows = [0; PARTITIONS];
        for row in self.rows(table) {
            if let Shard::Jobs(partition) = shard(table, &row.key) {
                rows[partition] += 1;
            }
        }
        rows.iter().map(|rows: &usize| rows.div_ceil(PAGE_ROWS_MAX).max(1)).sum()
    }

    /// The rows of a partition after a key, at most those of a page.
    fn page(&self, table: Table, partition: usize, after: &str) -> Rows {
        let state = self.state.lock().expect("no panic");
        let first = Bound::Excluded((table.to_string(), after.to_owned()));
        let rows = state.rows.range((first, Bound::Unbounded));
        let rows = rows
            .take_while(|((name, _), _)| *name == table.to_string())
            .filter(|((_, key), _)| shard(table, key) == Shard::Jobs(partition));
        let mut rows: Vec<Row> = rows
            .take(PAGE_ROWS_MAX + 1)
            .map(|((_, key), (value, version))| Row {
                key: key.clone(),
                value: Some(value.clone()),
                version: *version,
            })
            .collect();
        let has_more = rows.len() > PAGE_ROWS_MAX;
        rows.truncate(PAGE_ROWS_MAX);
        Rows { rows, version: state.version, has_more }
    }

    /// Makes a call that reads a page of a partition.
    async fn call_page(
        &self,
        table: Table,
        partition: usize,
        after: &str,
    ) -> Result<Rows, StoreError> {
        *self.page_calls.lock().expect("no panic").entry(table.to_string()).or_default() += 1;
        let fault = {
            let mut page_faults = self.page_faults.lock().expect("no panic");
            let faults = page_faults.get_mut(&(table.to_string(), partition));
            faults.and_then(VecDeque::pop_front).flatten()
        };
        match fault {
            Some(PageFault::Refused) => return Err(StoreError::Refused),
            Some(PageFault::Unanswered) => return call_without_response(0).await,
            None => {}
        }
        if after.is_empty() {
            self.count_whole_read(table, partition);
            let calls = self.calls_per_read.load(Ordering::Relaxed);
            let own_calls = calls / PARTITIONS + usize::from(partition < calls % PARTITIONS);
            let _crossing = match &self.thin_link {
                Some(link) => Some(link.lock().await),
                None => None,
            };
            for _ in 0..own_calls {
                tokio::time::sleep(CALL_DURATION).await;
            }
        }
        if let Some(error) = self.read_error() {
            return Err(error);
        }
        if self.hides(table) {
            return Err(StoreError::Refused);
        }
        if let Some(stale) = self.stale_page(table, partition, after) {
            return Ok(stale);
        }
        Ok(self.page(table, partition, after))
    }

    fn count_whole_read(&self, table: Table, partition: usize) {
        let mut counts = self.whole_reads.lock().expect("no panic");
        *counts.entry((table.to_string(), partition)).or_default() += 1;
    }

    /// How often this daemon read a table, or the partition of it that it read most often.
    pub fn whole_reads(&self, table: Table) -> usize {
        let counts = self.whole_reads.lock().expect("no panic");
        let own = counts.iter().filter(|((name, _), _)| *name == table.to_string());
        own.map(|(_, count)| *count).max().unwrap_or(0)
    }

    /// Stores a newer manifest.
    pub fn write_manifest(&self, manifest: Manifest) {
        let mut state = self.state.lock().expect("no panic");
        state.version += 1;
        let row_version = state.version;
        state.manifest = Some(Manifest { row_version, ..manifest });
    }

    /// Adds this many daemons to the list, which answer no calls.
    pub fn list_daemons(&self, count: usize) {
        let row = |number: usize| {
            let info = DaemonInfo {
                address: format!("127.0.0.1:{}", number + 1),
                zone: ZoneName::new("z"),
                cores: 0.12,
                link_mbps: 10.0,
            };
            let value = serde_json::to_vec(&info).expect("it can be encoded");
            (Table::Daemons, format!("silent-{number}"), value)
        };
        let put = (0..count).map(row).collect();
        let written = self.write(&Transaction { put, ..Transaction::default() });
        written.expect("no conflict");
    }

    fn newest_manifest(&self) -> Option<Manifest> {
        self.state.lock().expect("no panic").manifest.clone()
    }

    /// Sets whether holds get no answer.
    pub fn set_loses_holds(&self, loses: bool) {
        self.state.lock().expect("no panic").loses_holds = loses;
    }

    /// Sets whether the advisor never answers.
    pub fn set_advice_hangs(&self, hangs: bool) {
        self.state.lock().expect("no panic").advice_hangs = hangs;
    }

    fn stale_read(&self, table: Table) -> Option<Rows> {
        let mut state = self.state.lock().expect("no panic");
        let (count, stale_table) = state.stale_reads?;
        if count == 0 || stale_table != table {
            return None;
        }
        state.stale_reads = Some((count - 1, stale_table));
        Some(state.snapshot.clone())
    }

    /// The snapshot's rows of a partition, if its read is answered with them.
    fn stale_page(&self, table: Table, partition: usize, after: &str) -> Option<Rows> {
        let mut state = self.state.lock().expect("no panic");
        let (count, stale_table) = state.stale_reads?;
        let reads = &mut state.stale_partition_reads[partition];
        if stale_table != table || *reads >= count {
            return None;
        }
        *reads += 1;
        let mut rows = state.snapshot.clone();
        rows.rows.retain(|row| {
            row.key.as_str() > after && shard(table, &row.key) == Shard::Jobs(partition)
        });
        Some(rows)
    }

    pub fn set_behavior(&self, behavior: StoreBehavior) {
        *self.behavior.lock().expect("no panic") = behavior;
    }

    pub fn rows(&self, table: Table) -> Vec<Row> {
        let state = self.state.lock().expect("no panic");
        let rows = state.rows.iter().filter(|((name, _), _)| *name == table.to_string());
        rows.map(|((_, key), (value, version))| Row {
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        })
        .collect()
    }

    /// The number of polls of the manifest.
    pub fn manifest_polls(&self) -> usize {
        self.state.lock().expect("no panic").manifest_polls
    }

    /// The number of confirmations of the manifest that this daemon asked for.
    pub fn confirmations(&self) -> usize {
        self.confirmations.load(Ordering::Relaxed)
    }

    pub fn writes(&self) -> usize {
        self.state.lock().expect("no panic").writes
    }

    /// Carries out the delayed writes of jobs.
    pub fn release_job_writes(&self) {
        self.job_writes_released.send_replace(true);
    }

    /// Carries out a write once it is released, also if the caller no longer waits.
    async fn write_when_released(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let state = Arc::clone(&self.state);
        let transaction = transaction.clone();
        let mut released = self.job_writes_released.subscribe();
        let write = tokio::spawn(async move {
            released.wait_for(|is_released| *is_released).await.expect("the store is there");
            write_to(&state, &transaction)
        });
        write.await.expect("no panic")
    }

    fn write(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        write_to(&self.state, transaction)
    }

    fn behavior(&self) -> StoreBehavior {
        *self.behavior.lock().expect("no panic")
    }

    /// The error with which reads fail; `None` if they are answered.
    fn read_error(&self) -> Option<StoreError> {
        match self.behavior() {
            StoreBehavior::Unresponsive | StoreBehavior::Silent | StoreBehavior::Resets => {
                Some(StoreError::NoAnswer)
            }
            StoreBehavior::RefusesAll => Some(StoreError::Refused),
            StoreBehavior::Normal
            | StoreBehavior::RefusesWrites
            | StoreBehavior::LosesOneResponse
            | StoreBehavior::LosesOnePoll
            | StoreBehavior::LosesHistoryOfJobs
            | StoreBehavior::HidesLeaderLease
            | StoreBehavior::HidesChangesOfJobs
            | StoreBehavior::ConfirmsLate
            | StoreBehavior::RemovesConflictingCancellation
            | StoreBehavior::PanicsInOneJobWrite
            | StoreBehavior::DelaysJobWrites => None,
        }
    }

    async fn hang_if_silent(&self) -> Result<(), StoreError> {
        if self.behavior() == StoreBehavior::Silent {
            call_without_response(0).await
        } else {
            Ok(())
        }
    }

    /// Whether reads of whole tables and polls for changes are refused for this table.
    fn hides(&self, table: Table) -> bool {
        match self.behavior() {
            StoreBehavior::HidesLeaderLease => table == Table::Duty,
            StoreBehavior::HidesChangesOfJobs => matches!(table, Table::Jobs | Table::Cancels),
            _ => false,
        }
    }

    fn version(&self) -> u64 {
        self.state.lock().expect("no panic").version
    }
}

fn worker_entry(number: usize, draining: bool) -> WorkerUpdate {
    WorkerUpdate {
        worker: WorkerId::new(format!("w{number}")),
        address: "10.0.0.1:1".to_owned(),
        service: "s".to_owned(),
        zone: ZoneName::new("z"),
        capacity: Resources { cpu_millis: 1_000_000, ..Resources::ZERO },
        labels: Vec::new(),
        draining,
        remaining_ms: None,
        incarnation: 1,
    }
}

/// Executes a transaction on the rows.
fn write_to(state: &Mutex<State>, transaction: &Transaction) -> Result<u64, StoreError> {
    let mut state = state.lock().expect("no panic");
    state.writes += 1;
    let mut conflicts = Vec::new();
    for (table, key, expected) in &transaction.expect {
        let existing = state.rows.get(&(table.to_string(), key.clone()));
        let version = existing.map_or(0, |(_, version)| *version);
        let value = existing.map(|(value, _)| value.clone());
        if version != *expected {
            conflicts.push((*table, Row { key: key.clone(), value, version }));
        }
    }
    if !conflicts.is_empty() {
        return Err(StoreError::Conflict(conflicts));
    }
    state.version += 1;
    let version = state.version;
    for (table, key, value) in &transaction.put {
        state.removed.remove(&(table.to_string(), key.clone()));
        state.rows.insert((table.to_string(), key.clone()), (value.clone(), version));
    }
    for (table, key) in &transaction.remove {
        if state.rows.remove(&(table.to_string(), key.clone())).is_some() {
            state.removed.insert((table.to_string(), key.clone()), version);
        }
    }
    Ok(version)
}

/// A call that gets no response, even after the store has recovered, and times out. The
/// store may hold it open for `wait_ms`.
async fn call_without_response<T>(wait_ms: u64) -> Result<T, StoreError> {
    tokio::time::sleep(Duration::from_millis(wait_ms + RESPONSE_TIMEOUT_MS)).await;
    Err(StoreError::NoAnswer)
}

impl Platform for FakePlatform {
    fn with_own_connections(self: &Arc<Self>) -> Arc<Self> {
        Arc::clone(self)
    }

    async fn transact(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let is_renewal =
            |(table, _, expected): &(Table, String, u64)| *table == Table::Duty && *expected > 0;
        if transaction.expect.iter().any(is_renewal) {
            if self.is_unanswered(UnansweredCall::LostRenewal) {
                return call_without_response(0).await;
            }
            if self.is_unanswered(UnansweredCall::WrittenRenewal) {
                self.write(transaction)?;
                return call_without_response(0).await;
            }
        }
        let mut fences = transaction.put.iter().filter(|(table, ..)| *table == Table::Fences);
        if let Some(partition) = fences.next().and_then(|(_, key, _)| key.parse().ok()) {
            if self.is_unanswered(UnansweredCall::LostFence(partition)) {
                return call_without_response(0).await;
            }
            if self.is_unanswered(UnansweredCall::WrittenFence(partition)) {
                self.write(transaction)?;
                return call_without_response(0).await;
            }
        }
        if !self.is_valid(transaction) {
            return Err(StoreError::Invalid);
        }
        match self.behavior() {
            StoreBehavior::Normal
            | StoreBehavior::LosesOnePoll
            | StoreBehavior::LosesHistoryOfJobs
            | StoreBehavior::HidesLeaderLease
            | StoreBehavior::HidesChangesOfJobs => self.write(transaction),
            StoreBehavior::RefusesWrites
            | StoreBehavior::RefusesAll
            | StoreBehavior::ConfirmsLate => Err(StoreError::Refused),
            StoreBehavior::Resets => Err(StoreError::NoAnswer),
            StoreBehavior::RemovesConflictingCancellation => {
                let result = self.write(transaction);
                if let Err(StoreError::Conflict(rows)) = &result {
                    let is_cancellation = |(table, _): &&(Table, Row)| *table == Table::Cancels;
                    let reported = rows.iter().filter(is_cancellation);
                    let remove: Vec<_> =
                        reported.map(|(table, row)| (*table, row.key.clone())).collect();
                    if !remove.is_empty() {
                        self.set_behavior(StoreBehavior::Normal);
                        self.write(&Transaction { remove, ..Transaction::default() })?;
                    }
                }
                result
            }
            StoreBehavior::PanicsInOneJobWrite => {
                if transaction.put.iter().any(|(table, ..)| *table == Table::Jobs) {
                    self.set_behavior(StoreBehavior::Normal);
                    panic!("a fault of the client");
                }
                self.write(transaction)
            }
            StoreBehavior::DelaysJobWrites => {
                if transaction.put.iter().any(|(table, ..)| *table == Table::Jobs) {
                    return self.write_when_released(transaction).await;
                }
                self.write(transaction)
            }
            StoreBehavior::Unresponsive | StoreBehavior::Silent => call_without_response(0).await,
            StoreBehavior::LosesOneResponse => {
                self.set_behavior(StoreBehavior::Normal);
                let done = self.write(transaction);
                assert!(done.is_ok(), "the write without a response is carried out");
                Err(StoreError::NoAnswer)
            }
        }
    }

    async fn read(&self, table: Table, key: &str) -> Result<Option<Row>, StoreError> {
        self.hang_if_silent().await?;
        if let Some(error) = self.read_error() {
            return Err(error);
        }
        let rows = self.stale_read(table).map_or_else(|| self.rows(table), |stale| stale.rows);
        Ok(rows.into_iter().find(|row| row.key == key))
    }

    async fn read_all(&self, table: Table) -> Result<Rows, StoreError> {
        self.hang_if_silent().await?;
        if table == Table::Daemons && self.is_unanswered(UnansweredCall::Daemons) {
            return call_without_response(0).await;
        }
        self.count_whole_read(table, 0);
        if let Some(error) = self.read_error() {
            return Err(error);
        }
        if self.hides(table) {
            return Err(StoreError::Refused);
        }
        if let Some(stale) = self.stale_read(table) {
            return Ok(stale);
        }
        Ok(Rows { rows: self.rows(table), version: self.version(), has_more: false })
    }

    async fn read_page(
        &self,
        table: Table,
        partition: usize,
        after: &str,
    ) -> Result<Rows, StoreError> {
        self.hang_if_silent().await?;
        self.call_page(table, partition, after).await
    }

    async fn poll_changes(
        &self,
        table: Table,
        after: u64,
        wait_ms: u64,
    ) -> Result<Rows, StoreError> {
        let rounds = wait_ms / 20 + 1;
        for _ in 0..rounds {
            self.hang_if_silent().await?;
            if self.behavior() == StoreBehavior::LosesHistoryOfJobs && table == Table::Jobs {
                self.set_behavior(StoreBehavior::Normal);
                return Err(StoreError::HistoryLost);
            }
            if self.behavior() == StoreBehavior::Resets {
                return Err(StoreError::NoAnswer);
            }
            if self.behavior() == StoreBehavior::RefusesAll || self.hides(table) {
                return Err(StoreError::Refused);
            }
            let newer = self.changes_after(table, after);
            if !newer.is_empty() {
                return Ok(Rows { rows: newer, version: self.version(), has_more: false });
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(Rows { version: self.version().max(after), ..Rows::default() })
    }

    async fn workers(&self) -> Result<WorkerChanges, StoreError> {
        if self.is_unanswered(UnansweredCall::Workers) {
            return call_without_response(0).await;
        }
        let listed = (0..self.worker_count).map(|number| worker_entry(number, false));
        Ok(WorkerChanges { listed: listed.collect(), ..WorkerChanges::default() })
    }

    async fn poll_worker_changes(
        &self,
        after: u64,
        _wait: u64,
    ) -> Result<WorkerChanges, StoreError> {
        let Some(heartbeats) = &self.heartbeats else { return Ok(WorkerChanges::default()) };
        let written = heartbeats.began.elapsed().as_millis() as u64 * heartbeats.per_s / 1_000;
        let version = written.min(after + FEED_ROWS_MAX);
        let listed = (after..version).map(|beat| {
            let number = beat as usize % self.worker_count;
            let written_after = Duration::from_millis(beat * 1_000 / heartbeats.per_s);
            worker_entry(number, number == 0 && written_after >= heartbeats.draining_after)
        });
        let has_more = version < written;
        Ok(WorkerChanges { listed: listed.collect(), unlisted: Vec::new(), version, has_more })
    }

    async fn manifest(&self) -> Result<(Option<Manifest>, u64), StoreError> {
        self.hang_if_silent().await?;
        if let Some(error) = self.read_error() {
            return Err(error);
        }
        let manifest = self.newest_manifest();
        let version = manifest.as_ref().map_or(0, |manifest| manifest.row_version);
        Ok((manifest, version))
    }

    async fn confirm_manifest(&self, row_version: u64) -> Result<Confirmation, StoreError> {
        self.confirmations.fetch_add(1, Ordering::Relaxed);
        if self.behavior() == StoreBehavior::ConfirmsLate {
            tokio::time::sleep(LATE_CONFIRMATION).await;
        }
        match self.behavior() {
            StoreBehavior::Unresponsive | StoreBehavior::Silent => call_without_response(0).await,
            StoreBehavior::RefusesWrites | StoreBehavior::RefusesAll => Err(StoreError::Refused),
            StoreBehavior::Resets => Err(StoreError::NoAnswer),
            StoreBehavior::Normal
            | StoreBehavior::LosesOneResponse
            | StoreBehavior::LosesOnePoll
            | StoreBehavior::LosesHistoryOfJobs
            | StoreBehavior::HidesLeaderLease
            | StoreBehavior::HidesChangesOfJobs
            | StoreBehavior::ConfirmsLate
            | StoreBehavior::RemovesConflictingCancellation
            | StoreBehavior::PanicsInOneJobWrite
            | StoreBehavior::DelaysJobWrites => {
                let newest = self.newest_manifest();
                let changed = newest.filter(|newest| newest.row_version != row_version);
                Ok(changed
                    .map_or(Confirmation::Newest, |newer| Confirmation::Replaced(Some(newer))))
            }
        }
    }

    async fn poll_manifest(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<(Option<Manifest>, u64), StoreError> {
        self.state.lock().expect("no panic").manifest_polls += 1;
        for _ in 0..=wait_ms / 20 {
            match self.behavior() {
                StoreBehavior::Unresponsive | StoreBehavior::Silent => {
                    return call_without_response(wait_ms).await;
                }
                StoreBehavior::LosesOnePoll => {
                    self.set_behavior(StoreBehavior::Normal);
                    return call_without_response(wait_ms).await;
                }
                StoreBehavior::RefusesAll => return Err(StoreError::Refused),
                StoreBehavior::Resets => return Err(StoreError::NoAnswer),
                StoreBehavior::Normal
                | StoreBehavior::RefusesWrites
                | StoreBehavior::LosesOneResponse
                | StoreBehavior::LosesHistoryOfJobs
                | StoreBehavior::HidesLeaderLease
                | StoreBehavior::HidesChangesOfJobs
                | StoreBehavior::ConfirmsLate
                | StoreBehavior::RemovesConflictingCancellation
                | StoreBehavior::PanicsInOneJobWrite
                | StoreBehavior::DelaysJobWrites => {}
            }
            if let Some(newer) =
                self.newest_manifest().filter(|manifest| manifest.row_version > after)
            {
                let version = newer.row_version;
                return Ok((Some(newer), version));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok((None, after))
    }

    async fn hold(&self, call: &HoldCall) -> Result<HoldReply, CallError> {
        let Some(worker) = &self.worker else { return Err(CallError::Refused) };
        if self.state.lock().expect("no panic").loses_holds {
            return Err(CallError::NoAnswer);
        }
        if call.until_ms.is_some() {
            worker.extensions_received.fetch_add(1, Ordering::Relaxed);
        }
        tokio::time::sleep(Duration::from_millis(call.wait_ms.min(50))).await;
        let mut ended = Vec::new();
        for (number, (task, run)) in worker.started.lock().expect("no panic").iter().enumerate() {
            let number = number as u64 + 1;
            let (task, run) = (*task, *run);
            if number > call.forget {
                ended.push(EndedRun {
                    number,
                    task,
                    run,
                    end: RunOutcome::Done,
                    checkpoint: String::new(),
                });
            }
        }
        Ok(HoldReply { clock_ms: 1, life: 1, ended, ..HoldReply::default() })
    }

    async fn start(&self, call: &StartCall) -> Result<StartReply, CallError> {
        let Some(worker) = &self.worker else { return Err(CallError::Refused) };
        if call.run > 1 {
            worker.started.lock().expect("no panic").push((call.task, call.run));
            return Ok(StartReply::Started { clock_ms: 1 });
        }
        worker.first_starts_received.fetch_add(1, Ordering::Relaxed);
        let mut answers_released = worker.answers_released.subscribe();
        answers_released.wait_for(|is_released| *is_released).await.expect("the worker is there");
        Ok(StartReply::TooLate)
    }

    async fn stop(&self, _call: &StopCall) -> Result<(), CallError> {
        Err(CallError::Refused)
    }

    async fn pace(&self, _call: &PaceCall) -> Result<(), CallError> {
        Err(CallError::Refused)
    }

    async fn advise(
        &self,
        _step: StepId,
        _workers: &[WorkerId],
        _limit: u64,
    ) -> Option<Vec<Grant>> {
        if self.state.lock().expect("no panic").advice_hangs {
            std::future::pending::<()>().await;
        }
        Some(Vec::new())
    }
}
