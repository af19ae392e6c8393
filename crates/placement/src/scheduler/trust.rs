//! Which workers may take work, as their health goes.

use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;

use crate::scheduler::Scheduler;

impl Scheduler {
    /// Tasks that have run long enough prove their workers; quarantines end.
    pub(super) fn prove(&mut self, now_ms: UnixMs) {
        let mut due = Vec::new();
        self.unproved.retain(|(at_ms, attempt)| {
            if *at_ms <= now_ms {
                due.push(*attempt);
            }
            *at_ms > now_ms
        });
        for attempt in due {
            let Some(running) = self.cell.running(attempt).cloned() else {
                continue;
            };
            self.health.record_success(&running.worker, &running.entry);
            self.check_health(now_ms, &running.worker);
        }
        let mut over = Vec::new();
        self.quarantined.retain(|(until_ms, worker)| {
            if *until_ms <= now_ms {
                over.push(worker.clone());
            }
            *until_ms > now_ms
        });
        for worker in over {
            self.check_health(now_ms, &worker);
        }
    }

    pub(super) fn check_health(&mut self, now_ms: UnixMs, worker: &WorkerId) {
        let until_ms = self.health.quarantined_until(now_ms, worker);
        if let Some(until_ms) = until_ms.or_else(|| self.health.probation_until(now_ms, worker)) {
            self.quarantined.push((until_ms, worker.clone()));
        }
        self.cell.set_health(worker, until_ms.is_some(), self.health.tasks_max(now_ms, worker));
    }
}
