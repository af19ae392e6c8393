//! Detection of runs without progress, and of starts and stops without an answer.

use crate::Pool;
use crate::id::TaskId;
use crate::jobs::job::Phase;
use crate::jobs::job::Task;
use crate::runs::gangs::GangFailure;

/// Time after which an unanswered stop is sent again; a few round trips.
const STOP_RETRY_MS: u64 = 600;
/// The same for a member of a gang that could still give up waiting for the others.
const URGENT_STOP_RETRY_MS: u64 = 250;
/// Time after which a start counts as lost although neither an answer nor an error has
/// arrived. The caller's own timeout is well below this.
const START_LOST_MS: u64 = 4_000;
/// Time without progress after which a task counts as stalled. Holds report progress twice
/// a second, so one answer may be missing.
const STALL_MS: u64 = 1_100;
/// The same in percent of the task's estimated duration; the longer one applies. Progress
/// is reported in percent, so tasks of several minutes may show none for a long time.
const STALL_PERCENT: u64 = 5;
/// Added for gangs, whose members start at different times.
const GANG_STALL_MS: u64 = 1_500;

impl Pool {
    /// Repeats unanswered stops, and stops runs whose start was lost, that have stalled, or whose
    /// gang did not assemble in time.
    ///
    /// A worker can renew its lease and answer holds while its tasks make no progress. Only
    /// the reported progress shows this; without this check such jobs would never end.
    pub(crate) fn sweep_runs(&mut self) {
        let mut unanswered_stops = Vec::new();
        let mut stalled = Vec::new();
        let mut lost_starts = Vec::new();
        let mut late_members = Vec::new();
        let mut settled = Vec::new();
        for id in self.job_index.in_progress() {
            let Some(job) = self.jobs.get(&id) else { continue };
            if job.outcome.is_some() && !job.has_placed_tasks() {
                if job.outcome_durable {
                    settled.push(id);
                }
                continue;
            }
            for (step_index, step_state) in job.step_states.iter().enumerate() {
                if step_state.tasks.iter().all(|task| task.worker.is_none()) {
                    continue;
                }
                let step = job.step_spec(step_index);
                let gang_ms = if step.gang { GANG_STALL_MS } else { 0 };
                let stall_ms = STALL_MS.max(step.estimate_ms * STALL_PERCENT / 100) + gang_ms;
                // A finished member of a gang shows no progress while it waits for the others,
                // so the latest progress of any member counts.
                let gang_progress_ms =
                    step_state.tasks.iter().map(|task| task.last_progress_ms).max().unwrap_or(0);
                late_members.extend(self.late_member(step_state));
                let budget = self.attempt_budget(step_state);
                let is_urgent = budget.is_some_and(|budget| self.now_ms < budget.stopped_by_ms);
                let stop_retry_ms = if is_urgent { URGENT_STOP_RETRY_MS } else { STOP_RETRY_MS };
                for (index, task) in step_state.tasks.iter().enumerate() {
                    let id = TaskId { step: step_state.id, index: index as u32 };
                    let progress_ms =
                        if step.gang { gang_progress_ms } else { task.last_progress_ms };
                    match task.phase {
                        Phase::Stopping { answered_turn: None, sent_ms }
                            if sent_ms + stop_retry_ms < self.now_ms =>
                        {
                            unanswered_stops.push(id);
                        }
                        Phase::Sent if self.is_start_lost(task) => lost_starts.push(id),
                        Phase::Running { .. }
                            if !step.long_running
                                && !task.is_throttled()
                                && progress_ms + stall_ms < self.now_ms =>
                        {
                            stalled.push((id, progress_ms + stall_ms));
                        }
                        _ => {}
                    }
                }
            }
        }
        for id in settled {
            self.job_index.mark_settled(id);
        }
        for id in unanswered_stops {
            let now_ms = self.now_ms;
            if let Some(task) = self.jobs.get_mut(&id.step.job).and_then(|job| job.task_mut(id)) {
                task.phase = Phase::Stopping { answered_turn: None, sent_ms: now_ms };
            }
            self.send_stop(id);
        }
        for id in lost_starts {
            tracing::error!(task = %id, "start brought neither an answer nor an error; stopping the run");
            self.stop_other_members(id, GangFailure::NotConfirmed);
            self.stop(id);
        }
        for late in late_members {
            self.end_late_attempt(late);
        }
        for (id, stalled_from_ms) in stalled {
            self.move_stalled(id, stalled_from_ms);
        }
    }

    /// Whether a start is unanswered for so long that its answer must have been lost.
    pub(crate) fn is_start_lost(&self, task: &Task) -> bool {
        task.phase == Phase::Sent && task.last_progress_ms + START_LOST_MS < self.now_ms
    }

    fn move_stalled(&mut self, id: TaskId, stalled_from_ms: u64) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let gang = job.step_index(id.step).is_some_and(|step_index| job.step_spec(step_index).gang);
        let Some(task) = job.task_mut(id) else { return };
        if !matches!(task.phase, Phase::Running { .. }) {
            return;
        }
        let Some(name) = task.worker.clone() else { return };
        let Some(worker) = self.workers.get_mut(&name) else { return };
        // If the worker has given no answer since, the connection to it may have failed, or this
        // process stood still, and nothing is known about the task.
        if worker.as_of_ms < stalled_from_ms.max(task.recorded_ms + STALL_MS) {
            return;
        }
        if gang {
            // The worker of another member may be at fault: one slow member delays all others.
            worker.failures = worker.failures.max(1);
        } else {
            worker.record_failure(now_ms, 2);
        }
        let percent = task.percent;
        tracing::warn!(task = %id, worker = %name, percent, "task makes no progress; stopping the run");
        self.stop(id);
        self.stop_other_members(id, GangFailure::Stalled);
    }
}
