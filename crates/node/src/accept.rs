//! Group commit of submissions and cancellations to the store.
//!
//! Each partition has at most one transaction in flight; requests that arrive meanwhile go
//! into the next one. A write that got no response may have been applied, or may be applied
//! later, so its callers are told neither "accepted" nor "not run" until a retry has shown
//! which. The write is conditional on the row's absence, which makes the retry idempotent.
//!
//! A job that was not found may exist all the same: its submission is on its way, or the lookup
//! was answered from the past. Its cancellation is therefore conditional on the absence of the
//! job, and names who asked for it. The conflict that a job causes tells who owns it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::CustomerName;
use stoatwell_pool::Accepted;
use stoatwell_pool::Cancellation;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::PARTITIONS;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::clock::steady_ms;
use crate::commit::encode;
use crate::health::StoreHealth;
use crate::job_rows::read_cancellation;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::Shard;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::platform::shard;

/// Maximum entries of the requests in a transaction. The store accepts 100.
const BATCH_ENTRIES_MAX: usize = 96;
/// Maximum entries of one request: a row, and conditions on two.
const ENTRIES_PER_REQUEST_MAX: usize = 3;
/// Maximum row bytes per transaction. The store accepts 1 MB, and the rest is left for
/// encoding overhead.
const BATCH_BYTES_MAX: usize = 600_000;
/// Maximum requests queued per partition. A daemon with a full queue is overloaded and rejects
/// further requests immediately.
const QUEUE_MAX: usize = 400;
/// Delay before a write that the store refused is retried.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Number of refusals after which a request is rejected, and its caller told to come back. That
/// outlasts the second in which a full partition drains only partially.
const REFUSED_ATTEMPTS_MAX: u32 = 4;
/// Delay before a write that got no response is retried.
const IN_DOUBT_RETRY_DELAY: Duration = Duration::from_millis(30);

/// A write to make durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteRequest {
    /// Submits a job; the bytes are its encoded row.
    Submit(JobId, Vec<u8>),
    /// Cancels a job that the caller owns.
    Cancel(JobId),
    /// Cancels a job that was not found, for this caller.
    CancelUnknown(JobId, Option<CustomerName>),
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReply {
    /// Whether the write is durable; [`Accepted::Taken`] if the job belongs to another customer.
    pub accepted: Accepted,
    /// Whether the job exists, as far as the write has shown.
    pub job_exists: bool,
}

#[derive(Debug)]
struct PendingRequest {
    request: WriteRequest,
    reply: oneshot::Sender<WriteReply>,
    queued_ms: u64,
    deadline: Instant,
    /// Whether a conflict showed that the job exists.
    job_exists: bool,
    /// The version of the row of the job's cancellation, as a conflict showed it, and the
    /// cancellation if it can be parsed.
    stored_cancellation: Option<(u64, Option<Cancellation>)>,
    in_doubt: bool,
    refusals: u32,
}

/// Queues requests and commits them in batches.
#[derive(Clone, Debug)]
pub struct Acceptor {
    /// Queues of the writer tasks, by partition.
    writers: Vec<mpsc::Sender<PendingRequest>>,
    health: Arc<StoreHealth>,
}

impl Acceptor {
    /// Spawns one writer task per partition.
    pub fn start(platform: Arc<impl Platform>, health: Arc<StoreHealth>) -> Self {
        let mut writers = Vec::with_capacity(PARTITIONS);
        for _ in 0..PARTITIONS {
            let (requests, queue) = mpsc::channel(QUEUE_MAX);
            tokio::spawn(run_writer(Arc::clone(&platform), Arc::clone(&health), queue));
            writers.push(requests);
        }
        Self { writers, health }
    }

    /// Makes one request durable. Returns [`Accepted::No`] without a write if the store is
    /// down or the queue is full, and [`Accepted::Unknown`] if no result came before the
    /// deadline.
    pub async fn accept(&self, request: WriteRequest, deadline: Instant) -> Accepted {
        self.write(request, deadline).await.accepted
    }

    /// Makes one request durable like [`Self::accept`], and also tells whether the job exists.
    pub async fn write(&self, request: WriteRequest, deadline: Instant) -> WriteReply {
        let failed = |accepted| WriteReply { accepted, job_exists: false };
        if self.health.is_down() {
            return failed(Accepted::No);
        }
        let (reply, replied) = oneshot::channel();
        let pending = PendingRequest::new(request, reply, deadline);
        let requests = match shard(Table::Jobs, &pending.request.job().to_string()) {
            Shard::Jobs(partition) => self.writers.get(partition),
            Shard::Control | Shard::Daemons => None,
        };
        if requests.is_none_or(|requests| requests.try_send(pending).is_err()) {
            return failed(Accepted::No);
        }
        match timeout_at(deadline, replied).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => failed(Accepted::Unknown),
        }
    }
}

async fn run_writer(
    platform: Arc<impl Platform>,
    health: Arc<StoreHealth>,
    mut queue: mpsc::Receiver<PendingRequest>,
) {
    let mut batch: Vec<PendingRequest> = Vec::new();
    // The store does not take these together, or not one of them. They are written one by one.
    let mut separate: VecDeque<PendingRequest> = VecDeque::new();
    loop {
        if batch.is_empty() {
            let first = match separate.pop_front() {
                Some(request) => Some(request),
                None => queue.recv().await,
            };
            let Some(first) = first else { return };
            batch.push(first);
        }
        if separate.is_empty() {
            fill_batch(&mut batch, &mut queue, &health);
        }
        reject_expired(&mut batch);
        if batch.is_empty() {
            continue;
        }
        let transaction = build_transaction(&batch);
        let write_timeout = health.write_timeout();
        let write = async {
            let result = timeout(write_timeout, platform.transact(&transaction)).await;
            result.unwrap_or(Err(StoreError::NoAnswer))
        };
        match health.track_write(write).await {
            Ok(version) => {
                for pending in batch.drain(..) {
                    let (job, content) = (pending.request.job(), pending.request.content());
                    let took_ms = steady_ms().saturating_sub(pending.queued_ms);
                    tracing::info!(%job, content, version, took_ms, "row written by a gateway");
                    complete(pending, Accepted::Yes);
                }
            }
            Err(StoreError::Conflict(rows)) => {
                // The rest is retried without the requests that the conflict decides.
                batch = batch
                    .drain(..)
                    .filter_map(|pending| resolve_conflict(pending, &rows))
                    .collect();
            }
            Err(StoreError::Invalid) if batch.len() > 1 => separate.extend(batch.drain(..)),
            Err(StoreError::Invalid) => {
                for pending in batch.drain(..) {
                    let (job, content) = (pending.request.job(), pending.request.content());
                    tracing::error!(%job, content, "the store does not take a row");
                    complete(pending, Accepted::TooLong);
                }
            }
            Err(StoreError::NoAnswer) => {
                handle_no_answer(&mut batch);
                tracing::warn!(items = batch.len(), "store did not respond to a write; retrying");
                tokio::time::sleep(IN_DOUBT_RETRY_DELAY).await;
            }
            Err(StoreError::Refused | StoreError::HistoryLost) => {
                handle_refusal(&mut batch);
                tokio::time::sleep(REFUSED_RETRY_DELAY).await;
            }
        }
    }
}

/// Resolves a conflict for one request. Returns it if it has to be written again.
fn resolve_conflict(mut pending: PendingRequest, rows: &[(Table, Row)]) -> Option<PendingRequest> {
    let key = pending.request.job().to_string();
    let find = |table: Table| {
        let is_stored = |row: &Row| row.key == key && row.version > 0;
        rows.iter().find(|(other, row)| *other == table && is_stored(row)).map(|(_, row)| row)
    };
    let job_row = find(Table::Jobs);
    pending.job_exists |= job_row.is_some();
    let outcome = match (&pending.request, job_row) {
        (WriteRequest::Submit(job, row), Some(_)) => Some(existing_job_outcome(*job, row, rows)),
        (WriteRequest::CancelUnknown(job, caller), Some(existing)) => {
            if existing.value.as_ref().is_some_and(|row| customer_of(row) == *caller) {
                pending.request = WriteRequest::Cancel(*job);
                None
            } else {
                Some(Accepted::Taken)
            }
        }
        (WriteRequest::CancelUnknown(_, caller), None) => {
            // A row that is as expected is not among the conflicting ones.
            if rows.iter().any(|(table, row)| *table == Table::Cancels && row.key == key) {
                let stored = find(Table::Cancels);
                let cancellation = stored.and_then(read_cancellation).map(|(_, stored)| stored);
                pending.stored_cancellation = stored.map(|row| (row.version, cancellation));
            }
            let stored = pending.stored_cancellation.as_ref().and_then(|(_, it)| it.as_ref());
            let is_known = stored.is_some_and(|it| it.applies_to(caller.as_ref()));
            is_known.then_some(Accepted::Yes)
        }
        (WriteRequest::Submit(..), None) | (WriteRequest::Cancel(_), _) => None,
    };
    let Some(outcome) = outcome else { return Some(pending) };
    complete(pending, outcome);
    None
}

/// The outcome of submitting a job ID that is already stored: a repeat of the same
/// submission is accepted, unless the stored job belongs to another customer.
pub(crate) fn existing_job_outcome(
    job: JobId,
    submitted: &[u8],
    rows: &[(Table, Row)],
) -> Accepted {
    let key = job.to_string();
    let existing = rows.iter().find(|(table, row)| *table == Table::Jobs && row.key == key);
    let Some(stored) = existing.and_then(|(_, row)| row.value.as_ref()) else {
        return Accepted::Yes;
    };
    if customer_of(stored) == customer_of(submitted) { Accepted::Yes } else { Accepted::Taken }
}

fn customer_of(row: &[u8]) -> Option<CustomerName> {
    #[derive(Deserialize)]
    struct JobOwner {
        #[serde(default)]
        customer: Option<CustomerLimits>,
    }
    serde_json::from_slice::<JobOwner>(row).ok()?.customer.map(|customer| customer.name)
}

/// Moves queued requests into the batch. While the store is down, requests that were never
/// sent are rejected immediately, so that their callers can go to a daemon that still
/// reaches the store.
fn fill_batch(
    batch: &mut Vec<PendingRequest>,
    queue: &mut mpsc::Receiver<PendingRequest>,
    health: &StoreHealth,
) {
    let mut bytes: usize = batch.iter().map(|pending| pending.request.bytes()).sum();
    let mut entries: usize = batch.iter().map(|pending| pending.request.entries()).sum();
    while entries + ENTRIES_PER_REQUEST_MAX <= BATCH_ENTRIES_MAX && bytes < BATCH_BYTES_MAX {
        let Ok(next) = queue.try_recv() else { return };
        if health.is_down() {
            complete(next, Accepted::No);
            continue;
        }
        bytes += next.request.bytes();
        entries += next.request.entries();
        batch.push(next);
    }
}

/// Builds the transaction, with one entry of each kind per job even if the batch has the same job
/// several times.
fn build_transaction(batch: &[PendingRequest]) -> Transaction {
    let mut transaction = Transaction::default();
    let mut submissions: BTreeMap<JobId, &[u8]> = BTreeMap::new();
    let mut absent_jobs = BTreeMap::new();
    let mut cancellations: BTreeMap<JobId, Cancellation> = BTreeMap::new();
    let mut add_cancellation = |job: JobId, cancellation: Cancellation| {
        let merged = cancellations.entry(job).or_insert_with(|| cancellation.clone());
        merged.merge(cancellation);
    };
    for pending in batch {
        match &pending.request {
            WriteRequest::Submit(job, row) => {
                submissions.entry(*job).or_insert(row);
            }
            WriteRequest::Cancel(job) => add_cancellation(*job, Cancellation::ByOwner),
            WriteRequest::CancelUnknown(job, caller) => {
                let stored_version = absent_jobs.entry(*job).or_insert(0);
                if let Some((version, stored)) = &pending.stored_cancellation {
                    *stored_version = (*stored_version).max(*version);
                    if let Some(stored) = stored {
                        add_cancellation(*job, stored.clone());
                    }
                }
                add_cancellation(*job, Cancellation::by(caller.as_ref()));
            }
        }
    }
    for (job, row) in submissions {
        if !absent_jobs.contains_key(&job) {
            transaction.expect.push((Table::Jobs, job.to_string(), 0));
        }
        transaction.put.push((Table::Jobs, job.to_string(), row.to_vec()));
    }
    for (job, stored_version) in absent_jobs {
        transaction.expect.push((Table::Jobs, job.to_string(), 0));
        transaction.expect.push((Table::Cancels, job.to_string(), stored_version));
    }
    for (job, cancellation) in cancellations {
        transaction.put.push((Table::Cancels, job.to_string(), cancellation_row(&cancellation)));
    }
    transaction
}

/// The value of a cancellation's row.
fn cancellation_row(cancellation: &Cancellation) -> Vec<u8> {
    match cancellation {
        Cancellation::ByOwner => Vec::new(),
        Cancellation::By(_) => encode(cancellation),
    }
}

fn reject_expired(batch: &mut Vec<PendingRequest>) {
    let now = Instant::now();
    let (expired, remaining): (Vec<PendingRequest>, Vec<PendingRequest>) =
        batch.drain(..).partition(|pending| pending.deadline <= now);
    *batch = remaining;
    for pending in expired {
        let reply = if pending.in_doubt { Accepted::Unknown } else { Accepted::No };
        complete(pending, reply);
    }
}

/// Marks the requests of a write that got no response as in doubt. Requests that were in doubt
/// already are given up: their callers are told that the outcome is unknown while they still
/// have time to retry at another daemon.
fn handle_no_answer(batch: &mut Vec<PendingRequest>) {
    let (unanswered_twice, unanswered_once): (Vec<PendingRequest>, Vec<PendingRequest>) =
        batch.drain(..).partition(|pending| pending.in_doubt);
    *batch = unanswered_once;
    for pending in batch.iter_mut() {
        pending.in_doubt = true;
    }
    for pending in unanswered_twice {
        complete(pending, Accepted::Unknown);
    }
}

/// Counts a refusal by the store for each request, and rejects those that reached the maximum
/// and are not in doubt.
fn handle_refusal(batch: &mut Vec<PendingRequest>) {
    for pending in batch.iter_mut() {
        pending.refusals += 1;
    }
    let is_exhausted =
        |pending: &PendingRequest| !pending.in_doubt && pending.refusals >= REFUSED_ATTEMPTS_MAX;
    let (refused, remaining): (Vec<PendingRequest>, Vec<PendingRequest>) =
        batch.drain(..).partition(is_exhausted);
    *batch = remaining;
    for pending in refused {
        complete(pending, Accepted::No);
    }
}

fn complete(pending: PendingRequest, outcome: Accepted) {
    let reply = WriteReply { accepted: outcome, job_exists: pending.job_exists };
    if pending.reply.send(reply).is_err() {
        tracing::debug!(item = ?pending.request.job(), "caller disconnected before the store responded");
    }
}

impl PendingRequest {
    fn new(request: WriteRequest, reply: oneshot::Sender<WriteReply>, deadline: Instant) -> Self {
        Self {
            request,
            reply,
            queued_ms: steady_ms(),
            deadline,
            job_exists: false,
            stored_cancellation: None,
            in_doubt: false,
            refusals: 0,
        }
    }
}

impl WriteRequest {
    fn bytes(&self) -> usize {
        match self {
            Self::Submit(_, row) => row.len(),
            Self::Cancel(_) | Self::CancelUnknown(..) => 0,
        }
    }

    /// What the row says, for logs.
    fn content(&self) -> &'static str {
        match self {
            Self::Submit(..) => "submission",
            Self::Cancel(_) => "cancellation",
            Self::CancelUnknown(..) => "cancellation of a job that was not found",
        }
    }

    /// The number of entries in a transaction: rows, and conditions.
    fn entries(&self) -> usize {
        match self {
            Self::Submit(..) => 2,
            Self::Cancel(_) => 1,
            Self::CancelUnknown(..) => ENTRIES_PER_REQUEST_MAX,
        }
    }

    /// The job that the request is about.
    pub fn job(&self) -> JobId {
        match self {
            Self::Submit(job, _) | Self::Cancel(job) | Self::CancelUnknown(job, _) => *job,
        }
    }
}
