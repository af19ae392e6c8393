//! What was seen of tasks, and what follows for their jobs.

use std::collections::BTreeMap;

use stoatwell_model::AttemptId;
use stoatwell_model::WorkerId;
use stoatwell_model::worker::StopMode;
use stoatwell_model::worker::TaskState;

use crate::Engine;
use crate::message::Observation;

/// Before a refused start is placed again.
const REFUSED_PAUSE_MS: u64 = 100;

impl Engine {
    /// What the holder of a worker saw of a task.
    pub(crate) fn tell(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        coordinator: &stoatwell_model::DaemonId,
        seen: Observation,
    ) {
        if *coordinator == self.me.daemon {
            self.on_seen(attempt, worker, seen);
            return;
        }
        self.remote.report(coordinator, attempt, worker, seen);
    }

    /// Takes what was seen of a task of a job that runs here; says whether it does.
    pub(crate) fn on_seen(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        seen: Observation,
    ) -> bool {
        let one = BTreeMap::from([(attempt, worker.clone())]);
        let Some(job) = self.jobs.get(&attempt.job) else {
            return self.on_seen_of_finished(attempt, worker, &seen);
        };
        let ended = matches!(&seen, Observation::State(state) if !state.is_running());
        let repeatable = !job.machine.record.execution.needs_intent();
        let looks = job.pending_discoveries > 0 || job.discovery_due_ms.is_some();
        if looks && let Observation::State(state) = &seen {
            self.drive(attempt.job, |machine, now_ms| {
                machine.on_found(now_ms, attempt, worker, state)
            });
        }
        if !self.is_current(attempt, worker) {
            self.end_earlier_try(attempt, worker, &seen);
            return true;
        }
        if !looks {
            self.drive_seen(attempt, &seen);
        }
        // The last try of each task is kept at its worker until the job's outcome
        // is durable, so that a successor finds what was done.
        let last = self.jobs.get(&attempt.job).is_some_and(|job| job.machine.is_current(attempt));
        if ended && repeatable && !last {
            self.acknowledge(&one);
        }
        true
    }

    /// Whether an attempt is its task's present one, on this worker. Room may
    /// have been asked of two holders for one attempt, one after the other; what
    /// the first one says of it must not count for the second.
    pub(crate) fn is_current(&self, attempt: AttemptId, worker: &WorkerId) -> bool {
        let Some(job) = self.jobs.get(&attempt.job) else {
            return false;
        };
        let elsewhere = job.machine.worker_of(attempt).is_some_and(|other| other != *worker);
        job.machine.is_current(attempt) && !elsewhere
    }

    pub(crate) fn end_earlier_try(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        seen: &Observation,
    ) {
        match seen {
            Observation::State(TaskState::Running) => {
                self.stop_here(worker, attempt, StopMode::Stop);
            }
            Observation::State(_) => self.acknowledge(&BTreeMap::from([(attempt, worker.clone())])),
            Observation::Absent | Observation::Pending | Observation::Forgotten => {}
        }
    }

    pub(crate) fn drive_seen(&mut self, attempt: AttemptId, seen: &Observation) {
        if matches!(seen, Observation::Absent) {
            self.scheduler.queue.defer(attempt.job, self.now_ms + REFUSED_PAUSE_MS);
        }
        self.drive(attempt.job, |machine, now_ms| match seen {
            Observation::State(state) => machine.on_report(now_ms, attempt, state),
            Observation::Absent => machine.on_absent(now_ms, attempt),
            Observation::Forgotten => machine.on_lost(now_ms, attempt),
            Observation::Pending => Vec::new(),
        });
    }

    /// A task of a job that is not run here: finished work is forgotten, a
    /// task that still runs for it is stopped.
    pub(crate) fn on_seen_of_finished(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        seen: &Observation,
    ) -> bool {
        if !self.finished_jobs.contains_key(&attempt.job) {
            return false;
        }
        self.end_earlier_try(attempt, worker, seen);
        true
    }
}
