//! Observed states of tasks, and their effects on the jobs.

use std::collections::BTreeMap;

use stoatwell_model::AttemptId;
use stoatwell_model::WorkerId;
use stoatwell_model::worker::StopMode;
use stoatwell_model::worker::TaskState;

use crate::Engine;
use crate::message::Observation;

/// Delay before a task whose attempt never started is placed again.
const REFUSED_START_BACKOFF_MS: u64 = 100;

impl Engine {
    /// Passes what the holder of a worker observed about a task to the task's coordinator:
    /// directly if that is this daemon, otherwise as a report.
    pub(crate) fn notify_coordinator(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        coordinator: &stoatwell_model::DaemonId,
        seen: Observation,
    ) {
        if *coordinator == self.me.daemon {
            self.on_observation(attempt, worker, seen);
            return;
        }
        self.remote.report(coordinator, attempt, worker, seen);
    }

    /// Handles an observed state of a task. Returns `false` if this daemon doesn't know
    /// the job.
    pub(crate) fn on_observation(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        seen: Observation,
    ) -> bool {
        let attempts = BTreeMap::from([(attempt, worker.clone())]);
        let Some(job) = self.jobs.get(&attempt.job) else {
            return self.on_finished_job_observation(attempt, worker, &seen);
        };
        let ended = matches!(&seen, Observation::State(state) if !state.is_running());
        let repeatable = !job.machine.record.execution.needs_intent();
        let is_finding_tasks = job.pending_discoveries > 0 || job.discovery_due_ms.is_some();
        if is_finding_tasks && let Observation::State(state) = &seen {
            self.drive(attempt.job, |machine, now_ms| {
                machine.on_discovered(now_ms, attempt, worker, state)
            });
        }
        if !self.is_current(attempt, worker) {
            self.end_superseded_attempt(attempt, worker, &seen);
            return true;
        }
        if !is_finding_tasks {
            self.drive_observation(attempt, &seen);
        }
        // The worker keeps the latest attempt of each task until the job's outcome is
        // durable, so that a daemon that takes the job over finds its results.
        let is_latest =
            self.jobs.get(&attempt.job).is_some_and(|job| job.machine.is_current(attempt));
        if ended && repeatable && !is_latest {
            self.acknowledge(&attempts);
        }
        true
    }

    /// Whether an attempt is the current one of its task and was not placed on a worker other
    /// than `worker`. Capacity for one attempt may have been reserved at two holders, one
    /// after the other. A report of the first holder must not count for the second.
    pub(crate) fn is_current(&self, attempt: AttemptId, worker: &WorkerId) -> bool {
        let Some(job) = self.jobs.get(&attempt.job) else {
            return false;
        };
        let on_other_worker = job.machine.worker_of(attempt).is_some_and(|other| other != *worker);
        job.machine.is_current(attempt) && !on_other_worker
    }

    /// Stops an attempt that isn't current, or lets its worker forget it if it has ended.
    pub(crate) fn end_superseded_attempt(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        seen: &Observation,
    ) {
        match seen {
            Observation::State(TaskState::Running) => {
                self.queue_stop(worker, attempt, StopMode::Stop);
            }
            Observation::State(_) => self.acknowledge(&BTreeMap::from([(attempt, worker.clone())])),
            Observation::Absent | Observation::Pending | Observation::Forgotten => {}
        }
    }

    /// Feeds an observed state of a current attempt to its job's state machine.
    pub(crate) fn drive_observation(&mut self, attempt: AttemptId, seen: &Observation) {
        if matches!(seen, Observation::Absent) {
            self.scheduler.queue.defer(attempt.job, self.now_ms + REFUSED_START_BACKOFF_MS);
        }
        self.drive(attempt.job, |machine, now_ms| match seen {
            Observation::State(state) => machine.on_report(now_ms, attempt, state),
            Observation::Absent => machine.on_never_started(now_ms, attempt),
            Observation::Forgotten => machine.on_worker_lost(now_ms, attempt),
            Observation::Pending => Vec::new(),
        });
    }

    /// Handles a task of a job that this daemon doesn't coordinate. If the job is known to
    /// have finished, a running task is stopped, and the worker may forget an ended one.
    /// Returns `false` if the job isn't known.
    pub(crate) fn on_finished_job_observation(
        &mut self,
        attempt: AttemptId,
        worker: &WorkerId,
        seen: &Observation,
    ) -> bool {
        if !self.finished_jobs.contains_key(&attempt.job) {
            return false;
        }
        self.end_superseded_attempt(attempt, worker, seen);
        true
    }
}
