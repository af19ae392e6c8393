//! Writes the leader's batches; each partition is protected by its fence.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use stoatwell_pool::Accepted;
use stoatwell_pool::CancelSource;
use stoatwell_pool::Event;
use stoatwell_pool::PartitionWrite;
use stoatwell_pool::Put;
use stoatwell_pool::Removal;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::accept::existing_job_outcome;
use crate::clock::steady_ms;
use crate::commit::encode;
use crate::commit::fences::Fence;
use crate::commit::fences::read_fence;
use crate::health::StoreHealth;
use crate::inbox::InboxSender;
use crate::job_rows::read_cancellation;
use crate::platform::Platform;
use crate::platform::Row;
use crate::platform::StoreError;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::tasks::log_panic;

/// Delay before a write that the store refused or did not answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Writes that take longer are logged; usually they take 10 to 40 ms.
const SLOW_WRITE_MS: u64 = 100;
/// Submissions that the store refused this often are rejected, while their callers still
/// have time to retry.
const REFUSALS_MAX: u32 = 4;
/// Attempts without a response after which callers are told that the outcome is unknown.
const UNANSWERED_MAX: u32 = 2;

/// Writes the batches of one leader.
#[derive(Debug)]
pub(crate) struct Writer<P> {
    pub platform: Arc<P>,
    pub health: Arc<StoreHealth>,
    /// This leader's fence.
    pub fence: Fence,
    /// Versions of the fences, by partition.
    pub fence_versions: Mutex<Vec<u64>>,
    /// Sends the results of writes to the leader.
    pub inbox_sender: InboxSender,
}

/// The outcome of one attempt to write.
enum WriteOutcome {
    /// The write that was sent at this time succeeded.
    Done {
        sent_ms: u64,
        version: u64,
    },
    /// A conflict was resolved; the write can be retried at once.
    Retry,
    Refused,
    InDoubt,
    /// The store never takes these writes together, or one of them.
    Invalid,
    LeadershipLost,
}

/// The outcome of the attempts to write a part of a partition's rows.
enum PartOutcome {
    Done {
        sent_ms: u64,
        version: u64,
    },
    /// The store never takes the part as it is.
    Invalid,
    LeadershipLost,
}

/// What became of the attempts to write the rows of a partition so far.
struct Attempts {
    /// Whether a write without a response may still be carried out.
    in_doubt: bool,
    refusals: u32,
    unanswered: u32,
}

impl<P: Platform> Writer<P> {
    /// Writes a batch: first as one transaction and, if that fails, each partition separately.
    pub async fn write(self: Arc<Self>, batch: u64, mut writes: Vec<PartitionWrite>) {
        loop {
            match self.try_write(&mut writes, false).await {
                WriteOutcome::Done { sent_ms, version } => {
                    for write in &writes {
                        self.notify_committed(batch, write.partition, sent_ms, version);
                    }
                    return;
                }
                WriteOutcome::Retry => {}
                WriteOutcome::LeadershipLost => return self.notify_leadership_lost(),
                failed
                @ (WriteOutcome::Refused | WriteOutcome::InDoubt | WriteOutcome::Invalid) => {
                    let in_doubt = matches!(failed, WriteOutcome::InDoubt);
                    let mut partitions = JoinSet::new();
                    for write in writes {
                        partitions.spawn(Arc::clone(&self).write_partition(batch, write, in_doubt));
                    }
                    while let Some(ended) = partitions.join_next().await {
                        if log_panic("write of a partition", &ended) {
                            self.notify_leadership_lost();
                        }
                    }
                    return;
                }
            }
        }
    }

    /// Writes the rows of one partition, with retries until they are durable.
    ///
    /// What the store never takes together is written in parts, down to single rows. The row of a
    /// job that it never takes is left out, so that those of other jobs do not wait behind it.
    async fn write_partition(self: Arc<Self>, batch: u64, write: PartitionWrite, in_doubt: bool) {
        let partition = write.partition;
        let mut attempts = Attempts { in_doubt, refusals: 0, unanswered: u32::from(in_doubt) };
        let mut pending = VecDeque::from([write]);
        let mut durable: Option<(u64, u64)> = None;
        sleep(RETRY_DELAY).await;
        while let Some(write) = pending.pop_front() {
            let mut part = [write];
            match self.write_until_taken(&mut part, &mut attempts).await {
                PartOutcome::Done { sent_ms, version } => {
                    // Starts are valid from when the first part was sent.
                    let (first_sent_ms, newest) = durable.unwrap_or((sent_ms, version));
                    durable = Some((first_sent_ms, newest.max(version)));
                }
                PartOutcome::Invalid => {
                    let [write] = part;
                    match split(write) {
                        Ok(parts) => {
                            for part in parts.into_iter().rev() {
                                pending.push_front(part);
                            }
                        }
                        Err(single) => {
                            self.give_up(&single);
                            // Nothing of a job is written without its submission.
                            let is_given_up = |put: &Put| {
                                let mut given_up = single.puts.iter();
                                given_up.any(|other| other.job == put.job)
                            };
                            for write in &mut pending {
                                write.puts.retain(|put| !is_given_up(put));
                            }
                        }
                    }
                }
                PartOutcome::LeadershipLost => return self.notify_leadership_lost(),
            }
        }
        let (sent_ms, version) = durable.unwrap_or_else(|| (steady_ms(), 0));
        self.notify_committed(batch, partition, sent_ms, version);
    }

    /// Writes a part of a partition's rows, with retries for as long as the store may take it.
    ///
    /// After a write without a response, the next attempt also rewrites the fence. The lost
    /// write could otherwise be carried out seconds later and overwrite newer progress; the
    /// fence's new version makes its condition fail.
    async fn write_until_taken(
        &self,
        part: &mut [PartitionWrite; 1],
        attempts: &mut Attempts,
    ) -> PartOutcome {
        loop {
            if part[0].puts.is_empty() && part[0].removes.is_empty() && !attempts.in_doubt {
                return PartOutcome::Done { sent_ms: steady_ms(), version: 0 };
            }
            match self.try_write(part, attempts.in_doubt).await {
                WriteOutcome::Done { sent_ms, version } => {
                    attempts.in_doubt = false;
                    return PartOutcome::Done { sent_ms, version };
                }
                WriteOutcome::Retry => {}
                WriteOutcome::LeadershipLost => return PartOutcome::LeadershipLost,
                WriteOutcome::Invalid => return PartOutcome::Invalid,
                WriteOutcome::InDoubt => {
                    attempts.in_doubt = true;
                    attempts.unanswered += 1;
                    if attempts.unanswered == UNANSWERED_MAX {
                        self.notify_in_doubt(part);
                    }
                }
                WriteOutcome::Refused => {
                    attempts.refusals += 1;
                    if attempts.refusals >= REFUSALS_MAX && !attempts.in_doubt {
                        self.reject_submissions(part);
                    }
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Notifies the scheduler of a row that the store never takes.
    fn give_up(&self, write: &PartitionWrite) {
        for put in &write.puts {
            if put.submission.is_some() {
                let accepted = Accepted::TooLong;
                self.inbox_sender.notify(Event::Rejected { job: put.job, accepted });
            } else {
                metrics::counter!("stoatwell_rows_not_taken_total").increment(1);
                self.inbox_sender.notify(Event::Unwritable { job: put.job });
            }
        }
        for removal in &write.removes {
            tracing::error!(?removal, "the store does not take the removal of rows; they stay");
        }
    }

    async fn try_write(&self, writes: &mut [PartitionWrite], rewrite_fences: bool) -> WriteOutcome {
        let transaction = self.transaction(writes, rewrite_fences);
        let sent_ms = steady_ms();
        let write = async {
            let limit = self.health.write_timeout();
            let result = timeout(limit, self.platform.transact(&transaction)).await;
            result.unwrap_or(Err(StoreError::NoAnswer))
        };
        match self.health.track_write(write).await {
            Ok(version) => {
                let took_ms = steady_ms() - sent_ms;
                metrics::histogram!("stoatwell_commit_ms").record(took_ms as f64);
                if took_ms > SLOW_WRITE_MS {
                    let rows = transaction.put.len();
                    tracing::info!(took_ms, rows, parts = writes.len(), "slow write of the leader");
                }
                if rewrite_fences {
                    self.record_fence_versions(writes, version);
                }
                WriteOutcome::Done { sent_ms, version }
            }
            Err(StoreError::Conflict(rows)) => {
                let part = writes.first().map(|write| write.partition);
                let conflicts: Vec<String> =
                    rows.iter().map(|(table, row)| format!("{table}/{}", row.key)).collect();
                tracing::info!(
                    part,
                    parts = writes.len(),
                    ?conflicts,
                    "conflict of the leader's write"
                );
                metrics::counter!("stoatwell_commit_conflicts_total").increment(1);
                self.resolve(writes, &rows)
            }
            Err(error) => {
                let part = writes.first().map(|write| write.partition);
                tracing::warn!(
                    %error, part, parts = writes.len(),
                    "the leader's write failed; retrying"
                );
                match error {
                    StoreError::NoAnswer => WriteOutcome::InDoubt,
                    StoreError::Invalid => WriteOutcome::Invalid,
                    StoreError::Refused | StoreError::Conflict(_) | StoreError::HistoryLost => {
                        WriteOutcome::Refused
                    }
                }
            }
        }
    }

    /// Resolves a conflict, given the rows whose versions are not the expected ones.
    ///
    /// A fence may have been rewritten by this leader itself, with a write whose response was
    /// lost. Later writes then expect its new version. A submitted job may exist already; its
    /// submission is removed from the write. A job may be cancelled; the scheduler learns of it
    /// before the write succeeds, and withdraws the starts that would follow.
    fn resolve(&self, writes: &mut [PartitionWrite], rows: &[(Table, Row)]) -> WriteOutcome {
        for (table, row) in rows {
            if *table == Table::Fences {
                let Some((fence, version)) = read_fence(row) else {
                    return WriteOutcome::LeadershipLost;
                };
                if !fence.is_same_leader(&self.fence) {
                    tracing::warn!(
                        part = row.key,
                        holder = fence.holder,
                        epoch = fence.epoch,
                        "cannot write a batch: another daemon leads now"
                    );
                    return WriteOutcome::LeadershipLost;
                }
                let Ok(partition) = row.key.parse::<usize>() else {
                    return WriteOutcome::LeadershipLost;
                };
                if let Some(known_version) = self.fence_versions().get_mut(partition) {
                    *known_version = version;
                }
            }
        }
        self.resolve_cancellations(writes, rows);
        for write in writes {
            write.puts.retain_mut(|put| {
                let Some(spec) = &put.submission else { return true };
                let key = put.job.to_string();
                let existing_row = rows.iter().find(|(table, row)| {
                    *table == Table::Jobs && row.key == key && row.version > 0
                });
                if existing_row.is_none() {
                    return true;
                }
                let accepted = existing_job_outcome(put.job, &encode(spec.as_ref()), rows);
                put.submission = None;
                if accepted != Accepted::Yes {
                    self.inbox_sender.notify(Event::Rejected { job: put.job, accepted });
                }
                accepted == Accepted::Yes
            });
        }
        WriteOutcome::Retry
    }

    /// Notifies the scheduler of cancellations that it may not know of. The next attempt expects
    /// them: the scheduler drops those that are not by the owner of the job. A row that an earlier
    /// attempt expected may also have been removed.
    fn resolve_cancellations(&self, writes: &mut [PartitionWrite], rows: &[(Table, Row)]) {
        for (_, row) in rows.iter().filter(|(table, _)| *table == Table::Cancels) {
            let mut puts = writes.iter_mut().flat_map(|write| &mut write.puts);
            let Some(put) = puts.find(|put| put.job.to_string() == row.key) else { continue };
            put.cancel_version = put.cancel_version.map(|_| row.version);
            if let Some((job, cancellation)) = read_cancellation(row) {
                tracing::info!(%job, "no start follows a write: its job is cancelled");
                let source = CancelSource::Conflict;
                self.inbox_sender.notify(Event::Cancelled { job, cancellation, source });
            }
        }
    }

    /// Tells callers that the outcome is not known yet, while they have time to ask again.
    fn notify_in_doubt(&self, writes: &[PartitionWrite]) {
        let puts = writes.iter().flat_map(|write| &write.puts);
        for put in puts.filter(|put| put.submission.is_some()) {
            self.inbox_sender.notify(Event::InDoubt { job: put.job });
        }
    }

    /// Rejects the submissions in these writes and keeps the other changes. No row of a rejected
    /// submission is in the store or ever will be.
    fn reject_submissions(&self, writes: &mut [PartitionWrite]) {
        for write in writes {
            write.puts.retain(|put| {
                if put.submission.is_some() {
                    let accepted = Accepted::No;
                    self.inbox_sender.notify(Event::Rejected { job: put.job, accepted });
                }
                put.submission.is_none()
            });
        }
    }

    fn transaction(&self, writes: &[PartitionWrite], rewrite_fences: bool) -> Transaction {
        let mut transaction = Transaction::default();
        let fence_versions = self.fence_versions();
        for write in writes {
            let fence_key = write.partition.to_string();
            let version = fence_versions.get(write.partition).copied().unwrap_or(0);
            transaction.expect.push((Table::Fences, fence_key.clone(), version));
            if rewrite_fences {
                // A lost write may have left a fence of this leader. The version that is expected
                // now, used as `beat`, makes this fence differ from that one.
                let fence = Fence { beat: version, ..self.fence.clone() };
                transaction.put.push((Table::Fences, fence_key, encode(&fence)));
            }
            for put in &write.puts {
                let key = put.job.to_string();
                if let Some(spec) = &put.submission {
                    transaction.expect.push((Table::Jobs, key.clone(), 0));
                    transaction.put.push((Table::Jobs, key.clone(), encode(spec.as_ref())));
                }
                if let Some(version) = put.cancel_version {
                    transaction.expect.push((Table::Cancels, key.clone(), version));
                }
                if let Some(progress) = &put.progress {
                    transaction.put.push((Table::Progress, key, encode(progress)));
                }
            }
            for removal in &write.removes {
                let (job, tables) = match removal {
                    Removal::Job(job) => {
                        (job, [Table::Jobs, Table::Progress, Table::Cancels].as_slice())
                    }
                    Removal::Cancellation(job) => (job, [Table::Cancels].as_slice()),
                };
                for table in tables {
                    transaction.remove.push((*table, job.to_string()));
                }
            }
        }
        transaction
    }

    fn record_fence_versions(&self, writes: &[PartitionWrite], version: u64) {
        let mut fence_versions = self.fence_versions();
        for write in writes {
            if let Some(known_version) = fence_versions.get_mut(write.partition) {
                *known_version = version;
            }
        }
    }

    fn fence_versions(&self) -> std::sync::MutexGuard<'_, Vec<u64>> {
        self.fence_versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_committed(&self, batch: u64, partition: usize, sent_ms: u64, version: u64) {
        self.inbox_sender.notify(Event::Committed { batch, partition, sent_ms, version });
    }

    fn notify_leadership_lost(&self) {
        self.inbox_sender.notify_leadership_lost();
    }
}

/// Splits the writes to a partition in two; returns them unchanged if they are a single row. The
/// submission of a job comes before its progress.
fn split(mut write: PartitionWrite) -> Result<[PartitionWrite; 2], PartitionWrite> {
    let partition = write.partition;
    let of = |puts, removes| PartitionWrite { partition, puts, removes };
    if !write.puts.is_empty() && !write.removes.is_empty() {
        let removes = std::mem::take(&mut write.removes);
        return Ok([write, of(Vec::new(), removes)]);
    }
    if write.puts.len() > 1 {
        let rest = write.puts.split_off(write.puts.len() / 2);
        return Ok([write, of(rest, Vec::new())]);
    }
    if write.removes.len() > 1 {
        let rest = write.removes.split_off(write.removes.len() / 2);
        return Ok([write, of(Vec::new(), rest)]);
    }
    match write.puts.pop() {
        Some(mut put) if put.submission.is_some() && put.progress.is_some() => {
            let submission = Put {
                job: put.job,
                submission: put.submission.take(),
                progress: None,
                cancel_version: None,
            };
            Ok([of(vec![submission], Vec::new()), of(vec![put], Vec::new())])
        }
        put => Err(of(put.into_iter().collect(), write.removes)),
    }
}
