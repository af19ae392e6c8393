//! Applies failure records to the workers: limits, quarantine and probation.

use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;

use crate::scheduler::Scheduler;

impl Scheduler {
    /// Records tasks that have run long enough as successes, and ends quarantines and
    /// probations that are over.
    pub(super) fn update_health(&mut self, now_ms: UnixMs) {
        let mut due = Vec::new();
        self.pending_successes.retain(|(proven_ms, attempt)| {
            if *proven_ms <= now_ms {
                due.push(*attempt);
            }
            *proven_ms > now_ms
        });
        for attempt in due {
            let Some(running) = self.cell.running(attempt).cloned() else {
                continue;
            };
            self.health.record_success(&running.worker, &running.entry);
            self.apply_health(now_ms, &running.worker);
        }
        let mut rechecks_due = Vec::new();
        self.health_rechecks.retain(|(until_ms, worker)| {
            if *until_ms <= now_ms {
                rechecks_due.push(worker.clone());
            }
            *until_ms > now_ms
        });
        for worker in rechecks_due {
            self.apply_health(now_ms, &worker);
        }
    }

    /// Updates the quarantine and task limit of a worker in the cell.
    pub(super) fn apply_health(&mut self, now_ms: UnixMs, worker: &WorkerId) {
        let until_ms = self.health.quarantined_until(now_ms, worker);
        if let Some(until_ms) = until_ms.or_else(|| self.health.probation_until(now_ms, worker)) {
            self.health_rechecks.push((until_ms, worker.clone()));
        }
        self.cell.set_health(worker, until_ms.is_some(), self.health.tasks_max(now_ms, worker));
    }
}
