//! Group commit: an action that depends on a row is taken after the batch with the row is
//! durable.
//!
//! Rows are spread over partitions of the store. The store processes the transactions of a
//! partition one after the other, so each partition has at most one batch in flight. While
//! the store is fast, the rows of several partitions share a batch. There are hundreds of
//! starts and ends a second; with a call to the store for each partition, the calls would
//! take more time than the partitions gain by not waiting for each other. While the store
//! is slow or some of its partitions fail, each partition has its own batches, so that none
//! waits for the slowest.
//!
//! Submissions are made durable here too. The write of a submission is delayed briefly for
//! its first start, which then needs no write of its own.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::event::Effect;
use crate::id::JobId;
use crate::id::PARTITIONS;
use crate::id::TaskId;
use crate::jobs::record::Progress;
use crate::jobs::spec::JobSpec;
use crate::jobs::submit::Accepted;

/// Most entries of one transaction; the store accepts 100. A row is one entry, a
/// submission two, and each partition has one for its fence.
const ENTRIES_MAX: usize = 96;
/// Most partitions in one transaction.
const PARTITIONS_PER_BATCH_MAX: usize = 24;
/// Most batches of several partitions in flight at the same time.
const MULTI_PARTITION_BATCHES_MAX: usize = 1;
/// The store is slow if it takes longer than this for a batch.
const SLOW_BATCH_MS: u64 = 60;
/// Upper bound of the time that a single batch adds to the mean. After an outage the time
/// of a batch includes the wait for its end, and says little about the next batch.
const BATCH_SAMPLE_MAX_MS: u64 = 500;
/// How long the write of a submission is delayed for its first start. The start may need a
/// ticket from the advisor, and a few round trips to the advisor fit into this time.
const FIRST_START_WAIT_MS: u64 = 40;
/// A partition is stuck if its batch takes longer than this and longer than
/// [`STUCK_FACTOR`] times the mean.
const STUCK_MIN_MS: u64 = 350;
/// See [`STUCK_MIN_MS`].
const STUCK_FACTOR: u64 = 3;

/// Range of the delay before a row that the store does not take is written again; it doubles. What
/// the row holds may have changed by then.
const UNWRITABLE_RETRY_MS: std::ops::RangeInclusive<u64> = 1_000..=60_000;

/// Approximate size of a progress row in a call to the store, without its tasks.
const ROW_BYTES: usize = 150;
/// Approximate size of each task in a progress row.
const TASK_BYTES: usize = 100;
/// Approximate size of each step of a submission, without the payload.
const STEP_BYTES: usize = 400;

/// The rows that have to be written, and the actions that wait for them.
#[derive(Debug)]
pub(crate) struct Commits {
    /// The number of the newest batch.
    last_batch: u64,
    partitions: Vec<Partition>,
    /// The partition that the next batch begins with.
    first_partition: usize,
    /// Moving average of the time from sending a batch until it is durable.
    mean_batch_ms: u64,
}

/// The pending writes of one partition.
#[derive(Debug, Default)]
struct Partition {
    dirty: BTreeMap<JobId, Dirty>,
    /// The dirty jobs in the order in which they became dirty. They are written in this
    /// order: in the order of the jobs' ids, jobs with high ids would starve whenever more
    /// jobs are dirty than fit into a batch.
    order: VecDeque<JobId>,
    removes: Vec<Removal>,
    in_flight: Option<InFlight>,
    /// Jobs whose rows the store did not take, and when they are written again.
    unwritable: BTreeMap<JobId, Deferral>,
}

/// The delay of the next write of a row that the store does not take.
#[derive(Clone, Copy, Debug)]
struct Deferral {
    until_ms: u64,
    delay_ms: u64,
}

/// A job whose row has to be written.
#[derive(Debug, Default)]
struct Dirty {
    actions: Vec<AfterCommit>,
    /// The latest time to send the row.
    due_ms: u64,
}

/// A partition's batch that was sent and is not durable yet.
#[derive(Debug)]
struct InFlight {
    batch: u64,
    since_ms: u64,
    /// Whether the batch may have writes to other partitions too.
    multi_partition: bool,
    jobs: Vec<JobId>,
    actions: Vec<AfterCommit>,
    removes: Vec<Removal>,
}

/// Writes to one partition that become durable together.
#[derive(Clone, Debug, PartialEq)]
pub struct PartitionWrite {
    /// The partition's number, below [`PARTITIONS`].
    pub partition: usize,
    /// The rows to be written, at most one entry for each job.
    pub puts: Vec<Put>,
    /// The rows to be removed.
    pub removes: Vec<Removal>,
}

/// Rows that are not needed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// All rows of a job.
    Job(JobId),
    /// The cancellation of a job that has never been submitted.
    Cancellation(JobId),
}

/// The rows of one job that have to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// The job that the rows belong to.
    pub job: JobId,
    /// The submission, if it is not durable yet.
    pub submission: Option<Arc<JobSpec>>,
    /// The progress, if any task was ever sent to a worker or the job has ended.
    pub progress: Option<Progress>,
    /// If starts follow, the version that the row of the job's cancellation must have; 0 if
    /// there must be none. So no start follows a cancellation that is durable already, whether
    /// the scheduler knows of it or not.
    pub cancel_version: Option<u64>,
}

/// An action to be taken once a job's row is durable.
#[derive(Clone, Debug)]
pub(crate) enum AfterCommit {
    /// Tell the caller that the job is accepted.
    Accept(JobId),
    /// Send a start.
    Start {
        /// The task to be started.
        task: TaskId,
        /// The number of the run.
        run: u32,
    },
    /// Let a worker forget an ended run.
    Forget {
        /// The job of the run.
        job: JobId,
        /// The worker that listed the run.
        worker: WorkerId,
        /// The incarnation of the worker that listed the run.
        incarnation: u64,
        /// The number of the run in the worker's list.
        number: u64,
    },
    /// Report the outcome of the job to callers.
    ReportOutcome(JobId),
}

impl AfterCommit {
    /// The job whose rows have to be durable; `None` for an end that a worker may forget, whose
    /// job was durable before.
    fn job(&self) -> Option<JobId> {
        match self {
            Self::Accept(job) | Self::ReportOutcome(job) => Some(*job),
            Self::Start { task, .. } => Some(task.step.job),
            Self::Forget { .. } => None,
        }
    }

    /// The job whose row the action waits for.
    fn written_job(&self) -> JobId {
        match self {
            Self::Accept(job) | Self::ReportOutcome(job) | Self::Forget { job, .. } => *job,
            Self::Start { task, .. } => task.step.job,
        }
    }

    fn is_start(&self) -> bool {
        matches!(self, Self::Start { .. })
    }
}

impl Default for Commits {
    fn default() -> Self {
        let partitions = std::iter::repeat_with(Partition::default).take(PARTITIONS).collect();
        Self { last_batch: 0, partitions, first_partition: 0, mean_batch_ms: 0 }
    }
}

impl Commits {
    /// Requests that a job's row is written as soon as possible, followed by an action.
    pub fn mark_dirty(&mut self, job: JobId, action: AfterCommit) {
        self.mark_dirty_by(job, action, 0);
    }

    /// Requests that a job's row is written as soon as possible.
    pub fn mark_changed(&mut self, job: JobId) {
        self.dirty_entry(job, 0);
    }

    /// Requests that a job's row is sent by `due_ms` at the latest, followed by an action.
    fn mark_dirty_by(&mut self, job: JobId, action: AfterCommit, due_ms: u64) {
        self.dirty_entry(job, due_ms).actions.push(action);
    }

    fn dirty_entry(&mut self, job: JobId, due_ms: u64) -> &mut Dirty {
        let partition = &mut self.partitions[job.partition()];
        let dirty = partition.dirty.entry(job).or_insert_with(|| {
            partition.order.push_back(job);
            Dirty { actions: Vec::new(), due_ms }
        });
        dirty.due_ms = dirty.due_ms.min(due_ms);
        if let Some(deferral) = partition.unwritable.get(&job) {
            dirty.due_ms = deferral.until_ms;
        }
        dirty
    }

    /// Requests that a job's row is written with its outcome, which is then reported.
    pub fn record_outcome(&mut self, job: JobId) {
        self.mark_dirty(job, AfterCommit::ReportOutcome(job));
    }

    /// Requests that rows are removed.
    pub fn remove(&mut self, removal: Removal) {
        let (Removal::Job(job) | Removal::Cancellation(job)) = removal;
        let partition = &mut self.partitions[job.partition()];
        partition.removes.push(removal);
        partition.unwritable.remove(&job);
    }

    /// Drops a job's row that waits to be written; `false` if it is being written already.
    pub fn withdraw(&mut self, job: JobId) -> bool {
        let partition = &mut self.partitions[job.partition()];
        if partition.in_flight.as_ref().is_some_and(|batch| batch.jobs.contains(&job)) {
            return false;
        }
        partition.dirty.remove(&job);
        partition.order.retain(|other| *other != job);
        true
    }

    /// Drops everything that concerns a submission that was rejected. The rest of its batch is
    /// still written; without this, the end of that batch would accept a later submission of the
    /// same job, whose row is not written yet.
    pub fn drop_rejected(&mut self, job: JobId) {
        let partition = &mut self.partitions[job.partition()];
        partition.dirty.remove(&job);
        partition.order.retain(|other| *other != job);
        let Some(batch) = &mut partition.in_flight else { return };
        batch.jobs.retain(|other| *other != job);
        batch.actions.retain(|action| action.job() != Some(job));
    }

    /// Schedules another write of a job that was dropped from the batch in flight, with the
    /// actions that wait for it. The rest of that batch does not include the job's row.
    pub fn write_again(&mut self, job: JobId) {
        let Some(batch) = &mut self.partitions[job.partition()].in_flight else { return };
        batch.jobs.retain(|other| *other != job);
        let (dropped, kept): (Vec<AfterCommit>, Vec<AfterCommit>) =
            batch.actions.drain(..).partition(|action| action.job() == Some(job));
        batch.actions = kept;
        for action in dropped {
            self.mark_dirty(job, action);
        }
    }

    /// Drops a job from the batch in flight, with the actions that wait for its row, and schedules
    /// its write for later. Returns when.
    pub fn defer(&mut self, job: JobId, now_ms: u64) -> u64 {
        let partition = &mut self.partitions[job.partition()];
        let previous = partition.unwritable.get(&job);
        let delay_ms = previous.map_or(*UNWRITABLE_RETRY_MS.start(), |deferral| {
            (deferral.delay_ms * 2).min(*UNWRITABLE_RETRY_MS.end())
        });
        let until_ms = now_ms + delay_ms;
        partition.unwritable.insert(job, Deferral { until_ms, delay_ms });
        let mut dropped = Vec::new();
        if let Some(batch) = &mut partition.in_flight {
            batch.jobs.retain(|other| *other != job);
            dropped = batch.actions.extract_if(.., |action| action.written_job() == job).collect();
        }
        self.dirty_entry(job, until_ms).actions.extend(dropped);
        until_ms
    }

    /// The number of jobs whose rows the store does not take.
    pub fn unwritable_jobs(&self) -> usize {
        self.partitions.iter().map(|partition| partition.unwritable.len()).sum()
    }

    /// Whether a row of this job is being written or waits to be written.
    pub fn is_write_pending(&self, job: JobId) -> bool {
        let partition = &self.partitions[job.partition()];
        partition.dirty.contains_key(&job)
            || partition.in_flight.as_ref().is_some_and(|batch| batch.jobs.contains(&job))
    }

    /// Whether a partition's batch takes so long that new writes would only wait for it.
    fn is_stuck(&self, partition: usize, now_ms: u64) -> bool {
        let allowed_ms = STUCK_MIN_MS.max(self.mean_batch_ms * STUCK_FACTOR);
        let since_ms = self.partitions[partition].in_flight.as_ref().map(|batch| batch.since_ms);
        since_ms.is_some_and(|since_ms| since_ms + allowed_ms < now_ms)
    }

    /// Jobs with rows that wait for the batch of a stuck partition.
    fn jobs_in_stuck_partitions(&self, now_ms: u64) -> Vec<JobId> {
        let mut waiting = Vec::new();
        for (number, partition) in self.partitions.iter().enumerate() {
            if self.is_stuck(number, now_ms) {
                waiting.extend(partition.dirty.keys());
            }
        }
        waiting
    }

    /// The time that a batch of the job's partition is expected to take: the mean, or the
    /// age of the batch in flight if that is longer.
    pub fn expected_batch_ms(&self, job: JobId, now_ms: u64) -> u64 {
        let in_flight = self.partitions[job.partition()].in_flight.as_ref();
        let age_ms = in_flight.map_or(0, |batch| now_ms.saturating_sub(batch.since_ms));
        self.mean_batch_ms.max(age_ms)
    }

    /// Whether batches take long on average, or one of those in flight does.
    fn is_slow(&self, now_ms: u64) -> bool {
        let mut in_flight =
            self.partitions.iter().filter_map(|partition| partition.in_flight.as_ref());
        self.mean_batch_ms > SLOW_BATCH_MS
            || in_flight.any(|batch| batch.since_ms + SLOW_BATCH_MS < now_ms)
    }

    /// The age of the oldest batch that is not durable yet; 0 if there is none.
    pub fn oldest_batch_ms(&self, now_ms: u64) -> u64 {
        let in_flight = self.partitions.iter().filter_map(|partition| partition.in_flight.as_ref());
        in_flight.map(|batch| now_ms.saturating_sub(batch.since_ms)).max().unwrap_or(0)
    }

    /// Whether a row of any job is being written or waits to be written.
    pub fn has_pending_writes(&self) -> bool {
        self.partitions
            .iter()
            .any(|partition| partition.in_flight.is_some() || !partition.dirty.is_empty())
    }

    /// When the next row is due whose partition has no batch in flight.
    pub fn due_ms(&self) -> Option<u64> {
        let idle = self.partitions.iter().filter(|partition| partition.in_flight.is_none());
        idle.flat_map(|partition| partition.dirty.values().map(|dirty| dirty.due_ms)).min()
    }

    /// Whether as many batches of several partitions are in flight as are allowed.
    fn is_multi_partition_limit_reached(&self) -> bool {
        let mut batch_numbers = Vec::new();
        for partition in &self.partitions {
            let Some(batch) = partition.in_flight.as_ref().filter(|batch| batch.multi_partition)
            else {
                continue;
            };
            if !batch_numbers.contains(&batch.batch) {
                batch_numbers.push(batch.batch);
            }
        }
        batch_numbers.len() >= MULTI_PARTITION_BATCHES_MAX
    }
}

impl Pool {
    /// Requests that a submission is made durable. The write is delayed briefly, so that it
    /// includes the first start if a worker is chosen soon.
    pub(crate) fn schedule_submission_write(&mut self, job: JobId) {
        let due_ms = self.now_ms + FIRST_START_WAIT_MS;
        self.commits.mark_dirty_by(job, AfterCommit::Accept(job), due_ms);
    }

    /// Whether a submission would have to wait for the batch of a stuck partition.
    pub(crate) fn is_partition_stuck(&self, job: JobId) -> bool {
        self.commits.is_stuck(job.partition(), self.now_ms)
    }

    /// Rejects submissions that wait for the batch of a stuck partition, while their
    /// callers still have time to retry.
    pub(crate) fn reject_stuck_submissions(&mut self) {
        for id in self.commits.jobs_in_stuck_partitions(self.now_ms) {
            if self.withdraw(id) {
                self.effects.push(Effect::Answer { job: id, accepted: Accepted::No });
            }
        }
    }

    /// Sends the batches that are due.
    ///
    /// If not all due rows fit into a batch, the next one begins with the partition that was
    /// left out. Otherwise the first partitions would take all batches while a burst lasts.
    pub(crate) fn commit(&mut self) {
        let now_ms = self.now_ms;
        let slow = self.commits.is_slow(now_ms);
        if !slow && self.commits.is_multi_partition_limit_reached() {
            return;
        }
        let mut batch = Batch::default();
        let first_partition = self.commits.first_partition;
        for offset in 0..PARTITIONS {
            let partition = (first_partition + offset) % PARTITIONS;
            if slow {
                batch = Batch::default();
            }
            if batch.writes.len() >= PARTITIONS_PER_BATCH_MAX
                || batch.is_full(self.limits.batch_bytes_max)
            {
                self.commits.first_partition = partition;
                break;
            }
            self.fill_batch(partition, &mut batch);
            if slow {
                self.send_batch(batch, false);
                batch = Batch::default();
            }
        }
        self.send_batch(batch, true);
    }

    /// Adds a partition's due rows and removals to a batch, as far as there is space.
    fn fill_batch(&mut self, partition: usize, batch: &mut Batch) {
        let now_ms = self.now_ms;
        let pending = &mut self.commits.partitions[partition];
        if pending.in_flight.is_some() || (pending.order.is_empty() && pending.removes.is_empty()) {
            return;
        }
        let mut write = PartitionWrite { partition, puts: Vec::new(), removes: Vec::new() };
        let mut in_flight = InFlight {
            batch: 0,
            since_ms: now_ms,
            multi_partition: false,
            jobs: Vec::new(),
            actions: Vec::new(),
            removes: Vec::new(),
        };
        let mut deferred = VecDeque::new();
        while let Some(id) = pending.order.pop_front() {
            let full = batch.is_full(self.limits.batch_bytes_max);
            let due = pending.dirty.get(&id).is_some_and(|dirty| dirty.due_ms <= now_ms);
            if full || !due {
                deferred.push_back(id);
                continue;
            }
            let Some(dirty) = pending.dirty.remove(&id) else { continue };
            let Some(job) = self.jobs.get(&id) else {
                let actions = dirty.actions.len();
                tracing::info!(job = %id, actions, "row not written: the job is gone; its actions are dropped");
                continue;
            };
            let progress = job.progress(&self.workers);
            let has_progress = !progress.tasks.is_empty() || progress.outcome.is_some();
            let submission = (!job.durable).then(|| Arc::clone(&job.spec));
            let starts = job.outcome.is_none() && dirty.actions.iter().any(AfterCommit::is_start);
            batch.entries += 1 + 2 * usize::from(submission.is_some()) + usize::from(starts);
            batch.bytes += ROW_BYTES + progress.tasks.len() * TASK_BYTES;
            if submission.is_some() {
                batch.bytes += job.payload.len() + job.spec.steps.len() * STEP_BYTES;
            }
            let progress = has_progress.then_some(progress);
            let cancel_version = starts.then_some(0);
            write.puts.push(Put { job: id, submission, progress, cancel_version });
            in_flight.jobs.push(id);
            in_flight.actions.extend(dirty.actions);
        }
        pending.order = deferred;
        let removes_max = ENTRIES_MAX.saturating_sub(batch.entries) / ENTRIES_PER_REMOVAL;
        let left_over = pending.removes.len().saturating_sub(removes_max);
        write.removes = pending.removes.split_off(left_over);
        if write.puts.is_empty() && write.removes.is_empty() {
            return;
        }
        in_flight.removes.clone_from(&write.removes);
        batch.entries += 1 + write.removes.len() * ENTRIES_PER_REMOVAL;
        batch.writes.push(write);
        pending.in_flight = Some(in_flight);
    }

    fn send_batch(&mut self, new_batch: Batch, multi_partition: bool) {
        if new_batch.writes.is_empty() {
            return;
        }
        self.commits.last_batch += 1;
        let batch = self.commits.last_batch;
        for write in &new_batch.writes {
            if let Some(in_flight) = &mut self.commits.partitions[write.partition].in_flight {
                in_flight.batch = batch;
                in_flight.multi_partition = multi_partition;
            }
        }
        self.effects.push(Effect::Commit { batch, writes: new_batch.writes });
    }

    pub(crate) fn on_committed(
        &mut self,
        batch: u64,
        partition: usize,
        sent_ms: u64,
        version: u64,
    ) {
        let Some(partition) = self.commits.partitions.get_mut(partition) else { return };
        let Some(written) = partition.in_flight.take_if(|sent| sent.batch == batch) else {
            tracing::warn!(batch, "the end of an unknown batch is ignored");
            return;
        };
        let took_ms = self.now_ms.saturating_sub(written.since_ms).min(BATCH_SAMPLE_MAX_MS);
        self.commits.mean_batch_ms = (self.commits.mean_batch_ms * 3 + took_ms) / 4;
        for job in &written.jobs {
            if partition.unwritable.remove(job).is_some() {
                tracing::info!(%job, "row written that the store did not take before");
            }
        }
        for removal in written.removes {
            if let Removal::Job(job) = removal {
                self.removed_jobs.record_durable(job, version);
            }
        }
        for action in written.actions {
            match action {
                AfterCommit::Accept(job) => self.on_accept_durable(job),
                AfterCommit::Start { task, run } => self.send_start(task, run, sent_ms),
                AfterCommit::Forget { worker, incarnation, number, .. } => {
                    let Some(worker) = self.workers.get_mut(&worker) else { continue };
                    if worker.info.incarnation != incarnation {
                        continue;
                    }
                    worker.non_durable_ends.remove(&number);
                    worker.next_hold_ms = self.now_ms;
                    self.hold_timers.mark_changed(worker.index);
                }
                AfterCommit::ReportOutcome(job) => self.on_outcome_durable(job),
            }
        }
    }

    /// Handles a row that the store does not take. What waits for it is not done, and the rows of
    /// other jobs do not wait.
    pub(crate) fn on_unwritable(&mut self, id: JobId) {
        if !self.jobs.contains_key(&id) {
            return;
        }
        let retry_ms = self.commits.defer(id, self.now_ms) - self.now_ms;
        tracing::error!(job = %id, retry_ms, "the store does not take the row of a job; nothing of the job starts and none of its ends is acknowledged");
    }

    fn on_outcome_durable(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.outcome_durable = job.outcome.is_some();
        let Some(outcome) = job.outcome else { return };
        self.job_index.mark_finished(job);
        job.release_memory();
        let took_ms = self.unix_ms.saturating_sub(job.spec.accepted_unix_ms);
        let allowed_ms = job.spec.allowed_ms();
        tracing::info!(job = %id, queue = job.spec.queue.name, %outcome, took_ms, allowed_ms, "job finished");
    }
}

/// Most entries that the rows of one job need in a transaction.
const ENTRIES_PER_JOB_MAX: usize = 4;
/// Most entries that a removal needs in a transaction.
const ENTRIES_PER_REMOVAL: usize = 3;

/// Writes that are sent to the store together, in one [`Effect::Commit`].
#[derive(Debug, Default)]
struct Batch {
    writes: Vec<PartitionWrite>,
    entries: usize,
    bytes: usize,
}

impl Batch {
    /// Whether the rows of another job may not fit.
    fn is_full(&self, bytes_max: usize) -> bool {
        self.entries + ENTRIES_PER_JOB_MAX > ENTRIES_MAX || self.bytes > bytes_max
    }
}
