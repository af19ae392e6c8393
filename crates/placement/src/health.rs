//! Who fails whom: workers that fail everything, entries that fail everywhere.
//!
//! One failure says little. A worker that failed several different entries
//! without a success between is to blame itself; an entry that failed on
//! several workers that do well with others is. A worker that fails at once
//! looks empty and draws all work to it, so a worker that has yet to prove
//! itself gets few tasks at a time.

use std::collections::HashMap;
use std::collections::HashSet;

use stoatwell_model::EntryName;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;

/// Different entries that must fail in a row before a worker is quarantined.
const ENTRIES_TO_BLAME_WORKER: usize = 3;
/// Failures in a row that quarantine a worker even where they are of one entry
/// that does well elsewhere.
const FAILURES_TO_BLAME_WORKER: u32 = 12;
/// Different workers on which an entry must fail in a row before it is held back.
const WORKERS_TO_BLAME_ENTRY: usize = 3;
/// Failures in a row, on workers that do well with others, that hold an entry back.
const FAILURES_TO_BLAME_ENTRY: u32 = 8;
/// Tasks at once on a worker that has not proved itself.
pub const UNPROVEN_TASKS_MAX: u32 = 4;
/// Running this long proves a worker as well as a success does.
pub const PROVED_AFTER_MS: u64 = 2_000;
const QUARANTINE_MS: u64 = 30_000;
const QUARANTINE_MS_MAX: u64 = 30 * 60_000;
/// Time for which a worker back from quarantine gets only work that may be repeated.
const PROBATION_MS: u64 = 10_000;
const HOLD_BACK_MS: u64 = 10_000;
const HOLD_BACK_MS_MAX: u64 = 10 * 60_000;

/// Failures of workers and entries.
#[derive(Debug, Default)]
pub struct Health {
    workers: HashMap<WorkerId, WorkerHealth>,
    entries: HashMap<EntryName, EntryHealth>,
}

#[derive(Debug, Default)]
struct WorkerHealth {
    failed_entries: HashSet<EntryName>,
    failures_in_row: u32,
    proved: bool,
    quarantine_until_ms: UnixMs,
    quarantines: u32,
}

#[derive(Debug, Default)]
struct EntryHealth {
    failed_workers: HashSet<WorkerId>,
    /// Failures in a row on workers that do well with other entries.
    failures_in_row: u32,
    held_until_ms: UnixMs,
    holds: u32,
}

/// What a failure led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Too little is known.
    Open,
    /// The worker is left alone for a while.
    WorkerQuarantined,
    /// The entry is held back for a while.
    EntryHeldBack,
}

impl Health {
    /// A task ended well, or has run long enough.
    pub fn record_success(&mut self, worker: &WorkerId, entry: &EntryName) {
        let found = self.workers.entry(worker.clone()).or_default();
        found.failed_entries.clear();
        found.failures_in_row = 0;
        found.proved = true;
        found.quarantines = 0;
        found.quarantine_until_ms = 0;
        if let Some(found) = self.entries.get_mut(entry) {
            found.failed_workers.clear();
            found.failures_in_row = 0;
            found.holds = 0;
        }
    }

    /// A task failed by itself.
    pub fn record_failure(
        &mut self,
        now_ms: UnixMs,
        worker: &WorkerId,
        entry: &EntryName,
    ) -> Verdict {
        let found = self.workers.entry(worker.clone()).or_default();
        found.failed_entries.insert(entry.clone());
        found.failures_in_row += 1;
        let suspect_worker = found.failed_entries.len() >= ENTRIES_TO_BLAME_WORKER;
        let by_count = found.failures_in_row >= FAILURES_TO_BLAME_WORKER
            && !self.fails_elsewhere(worker, entry);
        if suspect_worker || by_count {
            self.quarantine(now_ms, worker);
            return Verdict::WorkerQuarantined;
        }
        let does_well = self.workers.get(worker).is_some_and(|found| found.proved);
        let found = self.entries.entry(entry.clone()).or_default();
        found.failed_workers.insert(worker.clone());
        found.failures_in_row += u32::from(does_well);
        let by_workers = found.failed_workers.len() >= WORKERS_TO_BLAME_ENTRY;
        if by_workers || found.failures_in_row >= FAILURES_TO_BLAME_ENTRY {
            let backoff_ms = HOLD_BACK_MS << found.holds.min(8);
            found.held_until_ms = now_ms + backoff_ms.min(HOLD_BACK_MS_MAX);
            found.holds += 1;
            found.failed_workers.clear();
            found.failures_in_row = 0;
            return Verdict::EntryHeldBack;
        }
        Verdict::Open
    }

    /// Whether a worker is left alone, and until when.
    pub fn quarantined_until(&self, now_ms: UnixMs, worker: &WorkerId) -> Option<UnixMs> {
        let until_ms = self.workers.get(worker)?.quarantine_until_ms;
        (until_ms > now_ms).then_some(until_ms)
    }

    /// Whether an entry is held back, and until when.
    pub fn held_back_until(&self, now_ms: UnixMs, entry: &EntryName) -> Option<UnixMs> {
        let until_ms = self.entries.get(entry)?.held_until_ms;
        (until_ms > now_ms).then_some(until_ms)
    }

    /// Tasks, those of gangs not counted, that a worker may run at once; `None` is no limit.
    pub fn tasks_max(&self, now_ms: UnixMs, worker: &WorkerId) -> Option<u32> {
        match self.workers.get(worker) {
            Some(found) if found.proved && found.failures_in_row == 0 => None,
            // Back from quarantine it gets one task to show itself.
            Some(_) if self.probation_until(now_ms, worker).is_some() => Some(1),
            Some(found) => Some((UNPROVEN_TASKS_MAX >> found.failures_in_row.min(2)).max(1)),
            None => Some(UNPROVEN_TASKS_MAX),
        }
    }

    /// Until when a worker that comes back from quarantine is tried only with
    /// work that may be repeated. Where none comes, the time ends it: a cell
    /// with nothing but other work would otherwise never use the worker again.
    pub fn probation_until(&self, now_ms: UnixMs, worker: &WorkerId) -> Option<UnixMs> {
        let found = self.workers.get(worker)?;
        let until_ms = found.quarantine_until_ms + PROBATION_MS;
        (found.quarantines > 0 && now_ms < until_ms).then_some(until_ms)
    }

    fn quarantine(&mut self, now_ms: UnixMs, worker: &WorkerId) {
        let found = self.workers.entry(worker.clone()).or_default();
        let backoff_ms = QUARANTINE_MS << found.quarantines.min(8);
        found.quarantine_until_ms = now_ms + backoff_ms.min(QUARANTINE_MS_MAX);
        found.quarantines += 1;
        found.proved = false;
        found.failures_in_row = 0;
        found.failed_entries.clear();
        // What failed here says nothing of the entries.
        for entry in self.entries.values_mut() {
            entry.failed_workers.remove(worker);
        }
    }

    fn fails_elsewhere(&self, worker: &WorkerId, entry: &EntryName) -> bool {
        let Some(found) = self.entries.get(entry) else {
            return false;
        };
        found.holds > 0 || found.failed_workers.iter().any(|other| other != worker)
    }
}
