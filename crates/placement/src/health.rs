//! Failure tracking of workers and of work entries.
//!
//! A single failure is weak evidence. If tasks of several different entries fail on a worker
//! without a success in between, the worker is considered faulty. It is quarantined: it gets
//! no new tasks for a while. If tasks of an entry fail on several workers that run other
//! entries well, the entry is considered faulty. It is held back: none of its tasks start
//! for a while. Both times double with each repetition, up to a maximum.
//!
//! A worker on which every task fails immediately looks empty and attracts all work. So a
//! worker gets only a few tasks at a time until it is proven. A worker is proven once a task
//! on it has succeeded, or has run for [`PROVEN_AFTER_MS`]; a quarantine ends this.

use std::collections::HashMap;
use std::collections::HashSet;

use stoatwell_model::EntryName;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;

/// Number of different entries that must fail in a row before a worker is quarantined.
const QUARANTINE_ENTRIES: usize = 3;
/// Consecutive failures that quarantine a worker even if they are all of one
/// entry, as long as that entry does not fail on other workers.
const QUARANTINE_FAILURES: u32 = 12;
/// Number of different workers on which an entry must fail in a row before it is held back.
const HOLD_BACK_WORKERS: usize = 3;
/// Consecutive failures on proven workers after which an entry is held back.
const HOLD_BACK_FAILURES: u32 = 8;
/// Maximum number of concurrent tasks on an unproven worker.
pub const UNPROVEN_TASKS_MAX: u32 = 4;
/// A task that has run this long counts as a success of its worker and its entry.
pub const PROVEN_AFTER_MS: u64 = 2_000;
const QUARANTINE_MS: u64 = 30_000;
const QUARANTINE_MS_MAX: u64 = 30 * 60_000;
/// Time after a quarantine during which a worker only gets work that may be repeated.
const PROBATION_MS: u64 = 10_000;
const HOLD_BACK_MS: u64 = 10_000;
const HOLD_BACK_MS_MAX: u64 = 10 * 60_000;

/// Failure history of workers and entries.
#[derive(Debug, Default)]
pub struct Health {
    workers: HashMap<WorkerId, WorkerHealth>,
    entries: HashMap<EntryName, EntryHealth>,
}

#[derive(Debug, Default)]
struct WorkerHealth {
    failed_entries: HashSet<EntryName>,
    failures_in_row: u32,
    proven: bool,
    quarantine_until_ms: UnixMs,
    quarantines: u32,
}

#[derive(Debug, Default)]
struct EntryHealth {
    failed_workers: HashSet<WorkerId>,
    /// Consecutive failures on proven workers.
    failures_in_row: u32,
    held_back_until_ms: UnixMs,
    hold_backs: u32,
}

/// What changes for a worker or an entry after a task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing changes: there is too little evidence against the worker and the entry.
    Unchanged,
    /// The worker gets no new tasks until its quarantine ends.
    WorkerQuarantined,
    /// No tasks of the entry start until it is no longer held back.
    EntryHeldBack,
}

impl Health {
    /// Records that a task succeeded, or that it has run for [`PROVEN_AFTER_MS`].
    pub fn record_success(&mut self, worker: &WorkerId, entry: &EntryName) {
        let worker_health = self.workers.entry(worker.clone()).or_default();
        worker_health.failed_entries.clear();
        worker_health.failures_in_row = 0;
        worker_health.proven = true;
        worker_health.quarantines = 0;
        worker_health.quarantine_until_ms = 0;
        if let Some(entry_health) = self.entries.get_mut(entry) {
            entry_health.failed_workers.clear();
            entry_health.failures_in_row = 0;
            entry_health.hold_backs = 0;
        }
    }

    /// Records that a task failed without having been told to stop.
    pub fn record_failure(
        &mut self,
        now_ms: UnixMs,
        worker: &WorkerId,
        entry: &EntryName,
    ) -> HealthChange {
        let worker_health = self.workers.entry(worker.clone()).or_default();
        worker_health.failed_entries.insert(entry.clone());
        worker_health.failures_in_row += 1;
        let many_entries_failed = worker_health.failed_entries.len() >= QUARANTINE_ENTRIES;
        let many_failures_only_here = worker_health.failures_in_row >= QUARANTINE_FAILURES
            && !self.fails_elsewhere(worker, entry);
        if many_entries_failed || many_failures_only_here {
            self.quarantine(now_ms, worker);
            return HealthChange::WorkerQuarantined;
        }
        let is_proven = self.workers.get(worker).is_some_and(|health| health.proven);
        let entry_health = self.entries.entry(entry.clone()).or_default();
        entry_health.failed_workers.insert(worker.clone());
        entry_health.failures_in_row += u32::from(is_proven);
        let failed_on_many_workers = entry_health.failed_workers.len() >= HOLD_BACK_WORKERS;
        if failed_on_many_workers || entry_health.failures_in_row >= HOLD_BACK_FAILURES {
            let backoff_ms = HOLD_BACK_MS << entry_health.hold_backs.min(8);
            entry_health.held_back_until_ms = now_ms + backoff_ms.min(HOLD_BACK_MS_MAX);
            entry_health.hold_backs += 1;
            entry_health.failed_workers.clear();
            entry_health.failures_in_row = 0;
            return HealthChange::EntryHeldBack;
        }
        HealthChange::Unchanged
    }

    /// End of a worker's quarantine, or `None` if it is not in quarantine.
    pub fn quarantined_until(&self, now_ms: UnixMs, worker: &WorkerId) -> Option<UnixMs> {
        let until_ms = self.workers.get(worker)?.quarantine_until_ms;
        (until_ms > now_ms).then_some(until_ms)
    }

    /// Time until which an entry is held back, or `None` if it is not.
    pub fn held_back_until(&self, now_ms: UnixMs, entry: &EntryName) -> Option<UnixMs> {
        let until_ms = self.entries.get(entry)?.held_back_until_ms;
        (until_ms > now_ms).then_some(until_ms)
    }

    /// Maximum number of concurrent tasks on a worker, gang tasks not counted; `None` is no limit.
    pub fn tasks_max(&self, now_ms: UnixMs, worker: &WorkerId) -> Option<u32> {
        match self.workers.get(worker) {
            Some(health) if health.proven && health.failures_in_row == 0 => None,
            // After a quarantine the worker is tried with one task at a time.
            Some(_) if self.probation_until(now_ms, worker).is_some() => Some(1),
            Some(health) => Some((UNPROVEN_TASKS_MAX >> health.failures_in_row.min(2)).max(1)),
            None => Some(UNPROVEN_TASKS_MAX),
        }
    }

    /// End of a worker's probation, or `None` if it is not on probation. Probation follows a
    /// quarantine. During it, the worker gets only work that may be repeated. It ends after a
    /// fixed time even if no such work arrives; otherwise, where all work is of another kind,
    /// the worker would never be used again.
    pub fn probation_until(&self, now_ms: UnixMs, worker: &WorkerId) -> Option<UnixMs> {
        let health = self.workers.get(worker)?;
        let until_ms = health.quarantine_until_ms + PROBATION_MS;
        (health.quarantines > 0 && now_ms < until_ms).then_some(until_ms)
    }

    fn quarantine(&mut self, now_ms: UnixMs, worker: &WorkerId) {
        let health = self.workers.entry(worker.clone()).or_default();
        let backoff_ms = QUARANTINE_MS << health.quarantines.min(8);
        health.quarantine_until_ms = now_ms + backoff_ms.min(QUARANTINE_MS_MAX);
        health.quarantines += 1;
        health.proven = false;
        health.failures_in_row = 0;
        health.failed_entries.clear();
        // Failures on a faulty worker are no evidence against the entries.
        for entry in self.entries.values_mut() {
            entry.failed_workers.remove(worker);
        }
    }

    fn fails_elsewhere(&self, worker: &WorkerId, entry: &EntryName) -> bool {
        let Some(health) = self.entries.get(entry) else {
            return false;
        };
        health.hold_backs > 0 || health.failed_workers.iter().any(|other| other != worker)
    }
}
