//! Group commit of submissions and cancellations to the store.
//!
//! Each partition has at most one transaction in flight; requests that arrive meanwhile go
//! into the next one. A write that got no response may have been applied, or may be applied
//! later, so its callers are told neither "accepted" nor "not run" until a retry has shown
//! which. The write is conditional on the row's absence, which makes the retry idempotent.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use stoatwell_model::CustomerName;
use stoatwell_pool::Accepted;
use stoatwell_pool::CustomerLimits;
use stoatwell_pool::JobId;
use stoatwell_pool::PARTITIONS;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::clock::steady_ms;
use crate::health::StoreHealth;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::Shard;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::platform::shard;

/// Maximum requests per transaction. The store accepts 100 entries, and a submission
/// takes two: its row and the condition that the row does not exist yet.
const BATCH_REQUESTS_MAX: usize = 48;
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
    /// Cancels a job.
    Cancel(JobId),
}

#[derive(Debug)]
struct PendingRequest {
    request: WriteRequest,
    reply: oneshot::Sender<Accepted>,
    queued_ms: u64,
    deadline: Instant,
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
        if self.health.is_down() {
            return Accepted::No;
        }
        let (reply, replied) = oneshot::channel();
        let queued_ms = steady_ms();
        let pending =
            PendingRequest { request, reply, queued_ms, deadline, in_doubt: false, refusals: 0 };
        let requests = match shard(Table::Jobs, &pending.request.job().to_string()) {
            Shard::Jobs(partition) => self.writers.get(partition),
            Shard::Control | Shard::Daemons => None,
        };
        if requests.is_none_or(|requests| requests.try_send(pending).is_err()) {
            return Accepted::No;
        }
        match timeout_at(deadline, replied).await {
            Ok(reply) => reply.unwrap_or(Accepted::Unknown),
            Err(_) => Accepted::Unknown,
        }
    }
}

async fn run_writer(
    platform: Arc<impl Platform>,
    health: Arc<StoreHealth>,
    mut queue: mpsc::Receiver<PendingRequest>,
) {
    let mut batch: Vec<PendingRequest> = Vec::new();
    loop {
        if batch.is_empty() {
            let Some(first) = queue.recv().await else { return };
            batch.push(first);
        }
        fill_batch(&mut batch, &mut queue, &health);
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
                // The conflicting jobs are durable already; the rest is retried without them.
                let exists = |pending: &PendingRequest| match pending.request {
                    WriteRequest::Submit(id, _) => rows.iter().any(|(table, row)| {
                        *table == Table::Jobs && row.version > 0 && row.key == id.to_string()
                    }),
                    WriteRequest::Cancel(_) => false,
                };
                let (existing, remaining): (Vec<PendingRequest>, Vec<PendingRequest>) =
                    batch.drain(..).partition(exists);
                batch = remaining;
                for pending in existing {
                    let reply = match &pending.request {
                        WriteRequest::Submit(job, row) => existing_job_outcome(*job, row, &rows),
                        WriteRequest::Cancel(_) => Accepted::Yes,
                    };
                    complete(pending, reply);
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
    while batch.len() < BATCH_REQUESTS_MAX && bytes < BATCH_BYTES_MAX {
        let Ok(next) = queue.try_recv() else { return };
        if health.is_down() {
            complete(next, Accepted::No);
            continue;
        }
        bytes += next.request.bytes();
        batch.push(next);
    }
}

/// Builds the transaction, with one entry per job even if the batch has the same job twice.
fn build_transaction(batch: &[PendingRequest]) -> Transaction {
    let mut transaction = Transaction::default();
    let mut seen = std::collections::BTreeSet::new();
    for pending in batch {
        match &pending.request {
            WriteRequest::Submit(id, row) => {
                if !seen.insert((true, *id)) {
                    continue;
                }
                transaction.expect.push((Table::Jobs, id.to_string(), 0));
                transaction.put.push((Table::Jobs, id.to_string(), row.clone()));
            }
            WriteRequest::Cancel(id) => {
                if seen.insert((false, *id)) {
                    transaction.put.push((Table::Cancels, id.to_string(), Vec::new()));
                }
            }
        }
    }
    transaction
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
    if pending.reply.send(outcome).is_err() {
        tracing::debug!(item = ?pending.request.job(), "caller disconnected before the store responded");
    }
}

impl WriteRequest {
    fn bytes(&self) -> usize {
        match self {
            Self::Submit(_, row) => row.len(),
            Self::Cancel(_) => 0,
        }
    }

    /// What the row says, for logs.
    fn content(&self) -> &'static str {
        match self {
            Self::Submit(..) => "submission",
            Self::Cancel(_) => "cancellation",
        }
    }

    fn job(&self) -> JobId {
        match self {
            Self::Submit(id, _) | Self::Cancel(id) => *id,
        }
    }
}
