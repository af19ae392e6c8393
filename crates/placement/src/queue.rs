//! Queue of waiting jobs, grouped by entry.
//!
//! A scheduling cycle looks at the first jobs of each entry, not at every job, so
//! its cost is proportional to the number of entries. Removing a job takes
//! logarithmic time in the length of its entry's queue, so a burst of
//! cancellations scans nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::EntryName;
use stoatwell_model::Execution;
use stoatwell_model::JobId;
use stoatwell_model::OwnerName;
use stoatwell_model::Resources;
use stoatwell_model::UnixMs;
use stoatwell_model::Urgency;

/// A job with tasks that are not placed yet.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// Its identifier.
    pub job: JobId,
    /// The owner whose workers may run it.
    pub owner: OwnerName,
    /// The catalogue entry it was submitted to.
    pub entry: EntryName,
    /// How its tasks are placed: batch, gang, service or request.
    pub class: Class,
    /// How often each task may run.
    pub execution: Execution,
    /// How soon it should start.
    pub urgency: Urgency,
    /// Declared demand of one task.
    pub demand: Resources,
    /// When it was accepted.
    pub accepted_ms: UnixMs,
    /// When its result is of no use any more and waiting tasks expire; 0 means never.
    pub deadline_ms: UnixMs,
    /// Attempts that are not placed yet, in the order in which they are placed.
    pub tasks: VecDeque<AttemptId>,
    /// The scheduler skips the job before this time.
    pub not_before_ms: UnixMs,
}

/// Order of a job in its entry's queue: deadline, time of acceptance, sequence number.
type QueueKey = (UnixMs, UnixMs, u64);

/// Waiting jobs of one entry that have the same urgency.
#[derive(Debug)]
pub struct EntryQueue {
    /// Owner of the entry.
    pub owner: OwnerName,
    /// The entry of these jobs.
    pub entry: EntryName,
    /// Urgency of these jobs.
    pub urgency: Urgency,
    jobs: BTreeMap<QueueKey, JobId>,
    /// The pool's `free_generation` at which the first jobs last failed to fit, and the time.
    pub blocked_at: Option<(u64, UnixMs)>,
}

/// All waiting jobs.
#[derive(Debug, Default)]
pub struct Queue {
    entry_queues: BTreeMap<(EntryName, Urgency), EntryQueue>,
    jobs: HashMap<JobId, (QueueKey, WaitingJob)>,
    deadlines: BTreeSet<(UnixMs, JobId)>,
    tasks: u64,
    last_sequence: u64,
}

impl Queue {
    /// Adds a job, or adds its tasks to the job if it is waiting already.
    pub fn push(&mut self, job: WaitingJob) {
        if let Some((_, waiting)) = self.jobs.get_mut(&job.job) {
            for attempt in job.tasks {
                if !waiting.tasks.contains(&attempt) {
                    waiting.tasks.push_back(attempt);
                    self.tasks += 1;
                }
            }
            return;
        }
        self.tasks += job.tasks.len() as u64;
        self.last_sequence += 1;
        let due_ms = if job.deadline_ms == 0 { UnixMs::MAX } else { job.deadline_ms };
        let key = (due_ms, job.accepted_ms, self.last_sequence);
        let entry_queue =
            self.entry_queues.entry((job.entry.clone(), job.urgency)).or_insert_with(|| {
                EntryQueue {
                    owner: job.owner.clone(),
                    entry: job.entry.clone(),
                    urgency: job.urgency,
                    jobs: BTreeMap::new(),
                    blocked_at: None,
                }
            });
        entry_queue.jobs.insert(key, job.job);
        entry_queue.blocked_at = None;
        if job.deadline_ms > 0 {
            self.deadlines.insert((job.deadline_ms, job.job));
        }
        self.jobs.insert(job.job, (key, job));
    }

    /// Removes a job and returns it.
    pub fn remove(&mut self, job: JobId) -> Option<WaitingJob> {
        let (key, waiting) = self.jobs.remove(&job)?;
        self.tasks -= waiting.tasks.len() as u64;
        self.deadlines.remove(&(waiting.deadline_ms, job));
        let entry_key = (waiting.entry.clone(), waiting.urgency);
        if let Some(entry_queue) = self.entry_queues.get_mut(&entry_key) {
            entry_queue.jobs.remove(&key);
            entry_queue.blocked_at = None;
            if entry_queue.jobs.is_empty() {
                self.entry_queues.remove(&entry_key);
            }
        }
        Some(waiting)
    }

    /// Removes up to `count` tasks of a job, and the job itself once none is left.
    pub fn take_tasks(&mut self, job: JobId, count: usize) -> Vec<AttemptId> {
        let Some((_, waiting)) = self.jobs.get_mut(&job) else {
            return Vec::new();
        };
        let count = count.min(waiting.tasks.len());
        let taken: Vec<AttemptId> = waiting.tasks.drain(..count).collect();
        self.tasks -= taken.len() as u64;
        if waiting.tasks.is_empty() {
            self.remove(job);
        }
        taken
    }

    /// The queues of all entries with waiting jobs, by entry name and urgency.
    pub fn entry_queues(&self) -> impl Iterator<Item = &EntryQueue> {
        self.entry_queues.values()
    }

    /// The queue of one entry at one urgency; `None` if no such job waits.
    pub fn entry_queue_mut(
        &mut self,
        entry: &EntryName,
        urgency: Urgency,
    ) -> Option<&mut EntryQueue> {
        self.entry_queues.get_mut(&(entry.clone(), urgency))
    }

    /// A waiting job; `None` if it is not in the queue.
    pub fn get(&self, job: JobId) -> Option<&WaitingJob> {
        self.jobs.get(&job).map(|(_, waiting)| waiting)
    }

    /// Skips a job until the given time.
    pub fn defer(&mut self, job: JobId, until_ms: UnixMs) {
        if let Some((_, waiting)) = self.jobs.get_mut(&job) {
            waiting.not_before_ms = until_ms;
        }
    }

    /// Waiting jobs whose deadline has passed; they stay in the queue.
    pub fn expired(&self, now_ms: UnixMs) -> Vec<JobId> {
        let due = self.deadlines.iter().take_while(|(deadline_ms, _)| *deadline_ms <= now_ms);
        due.map(|(_, job)| *job).collect()
    }

    /// Number of waiting jobs of one entry at one urgency.
    pub fn job_count(&self, entry: &EntryName, urgency: Urgency) -> usize {
        let entry_queue = self.entry_queues.get(&(entry.clone(), urgency));
        entry_queue.map_or(0, |entry_queue| entry_queue.jobs.len())
    }

    /// Number of jobs ahead of this one in its entry's queue.
    pub fn jobs_ahead_of(&self, job: JobId) -> usize {
        let Some((key, waiting)) = self.jobs.get(&job) else {
            return 0;
        };
        let entry_queue = self.entry_queues.get(&(waiting.entry.clone(), waiting.urgency));
        entry_queue.map_or(0, |entry_queue| entry_queue.jobs.range(..*key).count())
    }

    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is waiting.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Number of waiting tasks over all jobs.
    pub fn tasks(&self) -> u64 {
        self.tasks
    }
}

impl EntryQueue {
    /// Up to `count` jobs from the front, in order.
    pub fn front(&self, count: usize) -> impl Iterator<Item = JobId> + '_ {
        self.jobs.values().take(count).copied()
    }

    /// When the first job was accepted; 0 if there is none.
    pub fn front_accepted_ms(&self) -> UnixMs {
        self.jobs.keys().next().map_or(0, |(_, accepted_ms, _)| *accepted_ms)
    }

    /// Deadline of the first job; `UnixMs::MAX` if it has none.
    pub fn front_deadline_ms(&self) -> UnixMs {
        self.jobs.keys().next().map_or(UnixMs::MAX, |(due_ms, _, _)| *due_ms)
    }
}
