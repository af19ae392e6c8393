//! Group commit: what depends on a row happens after the batch that holds it.
//!
//! Rows lie in parts of the store, and the store writes one transaction of a part after
//! another. So one batch of a part is under way at a time. While the store is fast, rows of
//! several parts go in one transaction: with hundreds of starts and ends a second, a call
//! for each would cost more than it saves. While it is slow or some of its parts fail,
//! each part has its own transactions, so that none waits for the slowest one.
//!
//! A submission is made durable here too. It waits a moment for its first start, which
//! then needs no write of its own.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::event::Effect;
use crate::id::JobId;
use crate::id::PARTITIONS;
use crate::id::TaskId;
use crate::record::Progress;
use crate::spec::JobSpec;
use crate::submit::Accepted;

/// Entries of one transaction, of the 100 that the store takes. A row is one, a
/// submission two, and each part has one for its fence.
const ENTRIES_MAX: usize = 96;
/// Parts in one transaction.
const PARTS_MAX: usize = 24;
/// Batches of several parts that are under way at one time.
const GROUPS_MAX: usize = 1;
/// A store that takes longer than this for a batch is slow.
const SLOW_MS: u64 = 60;
/// A batch counts as having taken this at most: one that waited for an outage to end says
/// little of the next.
const TOOK_MAX_MS: u64 = 500;
/// How long a submission waits for its first start: some round trips to the advisor.
const START_WAIT_MS: u64 = 40;
/// A part whose batch takes longer than this, and than some usual ones, is stuck.
const STUCK_MIN_MS: u64 = 350;
/// The same in usual times.
const STUCK_USUAL: u64 = 3;

/// About what a row takes in a call to the store, without its tasks ...
const ROW_BYTES: usize = 150;
/// ... and for each task.
const TASK_BYTES: usize = 100;
/// About what a submission takes without its payload, for each step.
const STEP_BYTES: usize = 400;

/// What has to be written, and what follows from it.
#[derive(Debug)]
pub(crate) struct Commits {
    next: u64,
    parts: Vec<Part>,
    /// What the last batches took, smoothed.
    took_ms: u64,
}

/// What has to be written to one part.
#[derive(Debug, Default)]
struct Part {
    dirty: BTreeMap<JobId, Dirty>,
    /// The dirty jobs in the order in which they became so: by their numbers,
    /// some would wait for as long as there are more than one batch holds.
    order: VecDeque<JobId>,
    removes: Vec<JobId>,
    under_way: Option<UnderWay>,
}

/// A job whose row has to be written.
#[derive(Debug, Default)]
struct Dirty {
    afters: Vec<After>,
    /// When it goes at the latest.
    due_ms: u64,
}

/// A batch that is being written.
#[derive(Debug)]
struct UnderWay {
    batch: u64,
    since_ms: u64,
    /// Whether it goes together with other parts.
    grouped: bool,
    jobs: Vec<JobId>,
    afters: Vec<After>,
}

/// Rows of one part to be written together.
#[derive(Clone, Debug, PartialEq)]
pub struct PartitionWrite {
    /// The part.
    pub partition: usize,
    /// The rows of jobs.
    pub puts: Vec<Put>,
    /// Jobs of which nothing shall be left.
    pub removes: Vec<JobId>,
}

/// The rows of one job.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// The job.
    pub job: JobId,
    /// What was submitted, if that is not durable yet.
    pub submission: Option<Arc<JobSpec>>,
    /// How far it is, if any of it was ever sent anywhere or it is over.
    pub progress: Option<Progress>,
}

/// What happens once a row is durable.
#[derive(Clone, Debug)]
pub(crate) enum After {
    /// The caller is told that the job is accepted.
    Accept(JobId),
    /// A start is sent.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
    /// A worker may forget an end.
    Forget {
        /// The worker.
        worker: WorkerId,
        /// The life that listed it.
        incarnation: u64,
        /// The end.
        number: u64,
    },
    /// Callers are told the outcome.
    Settle(JobId),
}

impl Default for Commits {
    fn default() -> Self {
        let parts = std::iter::repeat_with(Part::default).take(PARTITIONS).collect();
        Self { next: 0, parts, took_ms: 0 }
    }
}

impl Commits {
    /// Asks for a job's row to be written now.
    pub fn note(&mut self, job: JobId, after: After) {
        self.note_by(job, after, 0);
    }

    /// Asks for a job's row to be written by a moment.
    fn note_by(&mut self, job: JobId, after: After, due_ms: u64) {
        let part = &mut self.parts[job.partition()];
        let dirty = part.dirty.entry(job).or_insert_with(|| {
            part.order.push_back(job);
            Dirty { afters: Vec::new(), due_ms }
        });
        dirty.due_ms = dirty.due_ms.min(due_ms);
        dirty.afters.push(after);
    }

    /// Asks for a job's row with its outcome to be written.
    pub fn settle(&mut self, job: JobId) {
        self.note(job, After::Settle(job));
    }

    /// Asks for a job's rows to be removed.
    pub fn remove(&mut self, job: JobId) {
        self.parts[job.partition()].removes.push(job);
    }

    /// Drops what waits to be written of a job; `false` if its row is being written.
    pub fn withdraw(&mut self, job: JobId) -> bool {
        let part = &mut self.parts[job.partition()];
        if part.under_way.as_ref().is_some_and(|batch| batch.jobs.contains(&job)) {
            return false;
        }
        part.dirty.remove(&job);
        part.order.retain(|other| *other != job);
        true
    }

    /// Whether a job's row is being written or waits for its turn.
    pub fn holds(&self, job: JobId) -> bool {
        let part = &self.parts[job.partition()];
        part.dirty.contains_key(&job)
            || part.under_way.as_ref().is_some_and(|batch| batch.jobs.contains(&job))
    }

    /// Whether a part takes so long that what comes now would only wait behind it.
    fn is_stuck(&self, part: usize, now_ms: u64) -> bool {
        let allowed_ms = STUCK_MIN_MS.max(self.took_ms * STUCK_USUAL);
        let since_ms = self.parts[part].under_way.as_ref().map(|batch| batch.since_ms);
        since_ms.is_some_and(|since_ms| since_ms + allowed_ms < now_ms)
    }

    /// Submissions that wait behind a part that is stuck.
    fn waiting_behind_stuck(&self, now_ms: u64) -> Vec<JobId> {
        let mut waiting = Vec::new();
        for (number, part) in self.parts.iter().enumerate() {
            if self.is_stuck(number, now_ms) {
                waiting.extend(part.dirty.keys());
            }
        }
        waiting
    }

    /// What a batch of the job's part takes: the mean of the last ones, or longer if the
    /// one under way already does.
    pub fn usual_ms(&self, job: JobId, now_ms: u64) -> u64 {
        let under_way = self.parts[job.partition()].under_way.as_ref();
        let age_ms = under_way.map_or(0, |batch| now_ms.saturating_sub(batch.since_ms));
        self.took_ms.max(age_ms)
    }

    /// Whether batches take long, or one of those under way does.
    fn is_slow(&self, now_ms: u64) -> bool {
        let mut under_way = self.parts.iter().filter_map(|part| part.under_way.as_ref());
        self.took_ms > SLOW_MS || under_way.any(|batch| batch.since_ms + SLOW_MS < now_ms)
    }

    /// Whether a batch is under way or waits.
    pub fn is_busy(&self) -> bool {
        self.parts.iter().any(|part| part.under_way.is_some() || !part.dirty.is_empty())
    }

    /// When the next batch has to go that waits for nothing but time.
    pub fn due_ms(&self) -> Option<u64> {
        let idle = self.parts.iter().filter(|part| part.under_way.is_none());
        idle.flat_map(|part| part.dirty.values().map(|dirty| dirty.due_ms)).min()
    }

    /// Whether batches of several parts that are under way leave no room for another.
    fn is_grouping(&self) -> bool {
        let mut groups = Vec::new();
        for part in &self.parts {
            let Some(batch) = part.under_way.as_ref().filter(|batch| batch.grouped) else {
                continue;
            };
            if !groups.contains(&batch.batch) {
                groups.push(batch.batch);
            }
        }
        groups.len() >= GROUPS_MAX
    }
}

impl Pool {
    /// Asks for a submission to be made durable, with its first start if that comes soon.
    pub(crate) fn note_submission(&mut self, job: JobId) {
        let due_ms = self.now_ms + START_WAIT_MS;
        self.commits.note_by(job, After::Accept(job), due_ms);
    }

    /// Whether a submission would wait behind a part that does not answer.
    pub(crate) fn is_part_stuck(&self, job: JobId) -> bool {
        self.commits.is_stuck(job.partition(), self.now_ms)
    }

    /// Refuses submissions that would wait for a part that does not answer: their callers
    /// still have time to come back.
    pub(crate) fn refuse_behind_stuck(&mut self) {
        for id in self.commits.waiting_behind_stuck(self.now_ms) {
            if self.withdraw(id) {
                self.effects.push(Effect::Answer { job: id, accepted: Accepted::No });
            }
        }
    }

    /// Sends the batches that are due.
    pub(crate) fn commit(&mut self) {
        let now_ms = self.now_ms;
        let slow = self.commits.is_slow(now_ms);
        if !slow && self.commits.is_grouping() {
            return;
        }
        let mut group = Group::default();
        for part in 0..PARTITIONS {
            if slow {
                group = Group::default();
            }
            if group.writes.len() >= PARTS_MAX {
                break;
            }
            self.fill(part, &mut group);
            if slow {
                self.send(group, false);
                group = Group::default();
            }
        }
        self.send(group, true);
    }

    /// Adds what is due of a part.
    fn fill(&mut self, partition: usize, group: &mut Group) {
        let now_ms = self.now_ms;
        let waiting = &mut self.commits.parts[partition];
        if waiting.under_way.is_some() || (waiting.order.is_empty() && waiting.removes.is_empty()) {
            return;
        }
        let mut write = PartitionWrite { partition, puts: Vec::new(), removes: Vec::new() };
        let mut under_way = UnderWay {
            batch: 0,
            since_ms: now_ms,
            grouped: false,
            jobs: Vec::new(),
            afters: Vec::new(),
        };
        let mut later = VecDeque::new();
        while let Some(id) = waiting.order.pop_front() {
            let full = group.entries + ENTRIES_EACH_MAX > ENTRIES_MAX
                || group.bytes > self.limits.batch_bytes_max;
            let due = waiting.dirty.get(&id).is_some_and(|dirty| dirty.due_ms <= now_ms);
            if full || !due {
                later.push_back(id);
                continue;
            }
            let Some(dirty) = waiting.dirty.remove(&id) else { continue };
            let Some(job) = self.jobs.get(&id) else { continue };
            let progress = job.progress(&self.workers);
            let has_progress = !progress.tasks.is_empty() || progress.outcome.is_some();
            let submission = (!job.durable).then(|| Arc::clone(&job.spec));
            group.entries += 1 + 2 * usize::from(submission.is_some());
            group.bytes += ROW_BYTES + progress.tasks.len() * TASK_BYTES;
            if submission.is_some() {
                group.bytes += job.payload.len() + job.spec.steps.len() * STEP_BYTES;
            }
            let progress = has_progress.then_some(progress);
            write.puts.push(Put { job: id, submission, progress });
            under_way.jobs.push(id);
            under_way.afters.extend(dirty.afters);
        }
        waiting.order = later;
        let room = ENTRIES_MAX.saturating_sub(group.entries) / REMOVE_ENTRIES;
        let kept = waiting.removes.len().saturating_sub(room);
        write.removes = waiting.removes.split_off(kept);
        if write.puts.is_empty() && write.removes.is_empty() {
            return;
        }
        group.entries += 1 + write.removes.len() * REMOVE_ENTRIES;
        group.writes.push(write);
        waiting.under_way = Some(under_way);
    }

    fn send(&mut self, group: Group, grouped: bool) {
        if group.writes.is_empty() {
            return;
        }
        self.commits.next += 1;
        let batch = self.commits.next;
        for write in &group.writes {
            if let Some(under_way) = &mut self.commits.parts[write.partition].under_way {
                under_way.batch = batch;
                under_way.grouped = grouped;
            }
        }
        self.effects.push(Effect::Commit { batch, writes: group.writes });
    }

    pub(crate) fn on_committed(&mut self, batch: u64, part: usize) {
        let Some(part) = self.commits.parts.get_mut(part) else { return };
        let Some(written) = part.under_way.take_if(|one| one.batch == batch) else { return };
        let took_ms = self.now_ms.saturating_sub(written.since_ms).min(TOOK_MAX_MS);
        self.commits.took_ms = (self.commits.took_ms * 3 + took_ms) / 4;
        for after in written.afters {
            match after {
                After::Accept(job) => self.on_accept_durable(job),
                After::Start { task, run } => self.send_start(task, run),
                After::Forget { worker, incarnation, number } => {
                    let Some(worker) = self.workers.get_mut(&worker) else { continue };
                    if worker.info.incarnation != incarnation {
                        continue;
                    }
                    worker.not_durable.remove(&number);
                    worker.next_hold_ms = self.now_ms;
                }
                After::Settle(job) => self.on_settled(job),
            }
        }
    }

    fn on_settled(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.settled = job.outcome.is_some();
        let Some(outcome) = job.outcome else { return };
        job.slim();
        let took_ms = self.unix_ms.saturating_sub(job.spec.accepted_unix_ms);
        let allowed_ms = job.spec.allowed_ms();
        tracing::info!(job = %id, queue = job.spec.queue.name, %outcome, took_ms, allowed_ms, "job settled");
    }
}

/// Entries that one job may take.
const ENTRIES_EACH_MAX: usize = 4;
/// Entries that the removal of one job takes.
const REMOVE_ENTRIES: usize = 3;

/// Parts that go in one transaction.
#[derive(Debug, Default)]
struct Group {
    writes: Vec<PartitionWrite>,
    entries: usize,
    bytes: usize,
}
