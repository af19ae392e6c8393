//! Jobs that wait, by entry.
//!
//! A pass over the queue looks at the heads of the entries, not at every job,
//! so its cost follows the number of entries. Removing a job costs the
//! logarithm of its entry's queue; a wave of cancellations never scans.

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

/// A job with tasks that wait.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// The job.
    pub job: JobId,
    /// Whose it is.
    pub owner: OwnerName,
    /// Its entry.
    pub entry: EntryName,
    /// Its class.
    pub class: Class,
    /// Its promise.
    pub execution: Execution,
    /// Its urgency.
    pub urgency: Urgency,
    /// What one task is declared to need.
    pub demand: Resources,
    /// When it was accepted.
    pub accepted_ms: UnixMs,
    /// When its answer loses its use; 0 is never.
    pub deadline_ms: UnixMs,
    /// Attempts that wait, next first.
    pub tasks: VecDeque<AttemptId>,
    /// Not looked at before this time.
    pub not_before_ms: UnixMs,
}

/// Where a job stands within its entry's queue.
type Place = (UnixMs, UnixMs, u64);

/// The jobs of one entry.
#[derive(Debug)]
pub struct EntryQueue {
    /// Whose they are.
    pub owner: OwnerName,
    /// The entry.
    pub entry: EntryName,
    /// Their urgency.
    pub urgency: Urgency,
    jobs: BTreeMap<Place, JobId>,
    /// The pool's growth at which the front last failed to fit, and when.
    pub blocked_at: Option<(u64, UnixMs)>,
}

/// All jobs that wait.
#[derive(Debug, Default)]
pub struct Queue {
    entry_queues: BTreeMap<(EntryName, Urgency), EntryQueue>,
    jobs: HashMap<JobId, (Place, WaitingJob)>,
    deadlines: BTreeSet<(UnixMs, JobId)>,
    tasks: u64,
    next: u64,
}

impl Queue {
    /// Adds a job, or more tasks to one that waits.
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
        self.next += 1;
        let due_ms = if job.deadline_ms == 0 { UnixMs::MAX } else { job.deadline_ms };
        let place = (due_ms, job.accepted_ms, self.next);
        let line = self.entry_queues.entry((job.entry.clone(), job.urgency)).or_insert_with(|| {
            EntryQueue {
                owner: job.owner.clone(),
                entry: job.entry.clone(),
                urgency: job.urgency,
                jobs: BTreeMap::new(),
                blocked_at: None,
            }
        });
        line.jobs.insert(place, job.job);
        line.blocked_at = None;
        if job.deadline_ms > 0 {
            self.deadlines.insert((job.deadline_ms, job.job));
        }
        self.jobs.insert(job.job, (place, job));
    }

    /// Takes a job out.
    pub fn remove(&mut self, job: JobId) -> Option<WaitingJob> {
        let (place, waiting) = self.jobs.remove(&job)?;
        self.tasks -= waiting.tasks.len() as u64;
        self.deadlines.remove(&(waiting.deadline_ms, job));
        let key = (waiting.entry.clone(), waiting.urgency);
        if let Some(line) = self.entry_queues.get_mut(&key) {
            line.jobs.remove(&place);
            line.blocked_at = None;
            if line.jobs.is_empty() {
                self.entry_queues.remove(&key);
            }
        }
        Some(waiting)
    }

    /// Takes the next `count` tasks of a job, and the job itself once none is left.
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

    /// The first jobs of each entry, with the entry's queue.
    pub fn entry_queues(&self) -> impl Iterator<Item = &EntryQueue> {
        self.entry_queues.values()
    }

    /// One entry's queue.
    pub fn entry_queue_mut(
        &mut self,
        entry: &EntryName,
        urgency: Urgency,
    ) -> Option<&mut EntryQueue> {
        self.entry_queues.get_mut(&(entry.clone(), urgency))
    }

    /// A job that waits.
    pub fn get(&self, job: JobId) -> Option<&WaitingJob> {
        self.jobs.get(&job).map(|(_, waiting)| waiting)
    }

    /// Puts a job off.
    pub fn defer(&mut self, job: JobId, until_ms: UnixMs) {
        if let Some((_, waiting)) = self.jobs.get_mut(&job) {
            waiting.not_before_ms = until_ms;
        }
    }

    /// Jobs whose deadline has passed.
    pub fn expired(&self, now_ms: UnixMs) -> Vec<JobId> {
        let due = self.deadlines.iter().take_while(|(deadline_ms, _)| *deadline_ms <= now_ms);
        due.map(|(_, job)| *job).collect()
    }

    /// How many jobs of one entry wait.
    pub fn job_count(&self, entry: &EntryName, urgency: Urgency) -> usize {
        let line = self.entry_queues.get(&(entry.clone(), urgency));
        line.map_or(0, |line| line.jobs.len())
    }

    /// How many jobs of the same entry stand before this one.
    pub fn ahead_of(&self, job: JobId) -> usize {
        let Some((place, waiting)) = self.jobs.get(&job) else {
            return 0;
        };
        let line = self.entry_queues.get(&(waiting.entry.clone(), waiting.urgency));
        line.map_or(0, |line| line.jobs.range(..*place).count())
    }

    /// How many jobs wait.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// How many tasks wait.
    pub fn tasks(&self) -> u64 {
        self.tasks
    }
}

impl EntryQueue {
    /// The first jobs, next first.
    pub fn front(&self, count: usize) -> impl Iterator<Item = JobId> + '_ {
        self.jobs.values().take(count).copied()
    }

    /// When the job that waits longest at the front was accepted.
    pub fn front_accepted_ms(&self) -> UnixMs {
        self.jobs.keys().next().map_or(0, |(_, accepted_ms, _)| *accepted_ms)
    }

    /// The deadline of the front.
    pub fn front_deadline_ms(&self) -> UnixMs {
        self.jobs.keys().next().map_or(UnixMs::MAX, |(due_ms, _, _)| *due_ms)
    }
}
