//! Runs that make no progress, and calls that brought no answer.

use crate::Pool;
use crate::id::TaskId;
use crate::job::Phase;
use crate::job::Task;

/// A stop that was not answered is sent again after this; a few round trips.
const STOP_AGAIN_MS: u64 = 600;
/// A start whose answer never came, not even as a failed call, is in doubt after this;
/// callers give up well before.
const START_LOST_MS: u64 = 4_000;
/// A task whose progress did not move for this long stands still. Holds show it
/// twice a second, so one answer may be missing.
const STALL_MS: u64 = 1_100;
/// ... or for this share, in hundredths, of what it was estimated to take:
/// progress comes in hundredths, so that tasks of minutes may show none for long.
const STALL_PERCENT: u64 = 5;
/// The members of a gang begin at different moments; it may stand still for
/// this much longer.
const GANG_STALL_MS: u64 = 1_500;

impl Pool {
    /// Stops without answer are sent again; tasks that stand still are moved.
    ///
    /// A worker can keep its lease and answer holds while its tasks make no
    /// progress; only the progress they show tells. Without this check their
    /// jobs would never end.
    pub(crate) fn sweep_runs(&mut self) {
        let mut again = Vec::new();
        let mut still = Vec::new();
        let mut lost = Vec::new();
        for job in self.jobs.values() {
            if job.outcome.is_some() && !job.has_placed_tasks() {
                continue;
            }
            for (number, unit) in job.units.iter().enumerate() {
                if unit.tasks.iter().all(|task| task.worker.is_none()) {
                    continue;
                }
                let step = job.step(number);
                let gang_ms = if step.gang { GANG_STALL_MS } else { 0 };
                let stall_ms = STALL_MS.max(step.estimate_ms * STALL_PERCENT / 100) + gang_ms;
                // A gang's member that is through waits for the others to end.
                let gang_moved_ms =
                    unit.tasks.iter().map(|task| task.last_progress_ms).max().unwrap_or(0);
                for (index, task) in unit.tasks.iter().enumerate() {
                    let id = TaskId { step: unit.id, index: index as u32 };
                    let moved_ms = if step.gang { gang_moved_ms } else { task.last_progress_ms };
                    match task.phase {
                        Phase::Stopping { answered_turn: None, sent_ms }
                            if sent_ms + STOP_AGAIN_MS < self.now_ms =>
                        {
                            again.push(id);
                        }
                        Phase::Sent if self.is_start_lost(task) => lost.push(id),
                        Phase::Running { .. }
                            if !step.long_running
                                && !task.is_slowed()
                                && moved_ms + stall_ms < self.now_ms =>
                        {
                            still.push(id);
                        }
                        _ => {}
                    }
                }
            }
        }
        for id in again {
            let now_ms = self.now_ms;
            if let Some(task) = self.jobs.get_mut(&id.step.job).and_then(|job| job.task_mut(id)) {
                task.phase = Phase::Stopping { answered_turn: None, sent_ms: now_ms };
            }
            self.send_stop(id);
        }
        for id in lost {
            tracing::error!(task = %id, "no answer to a start came, not even a failed call");
            self.stop(id);
        }
        for id in still {
            self.move_stalled(id);
        }
    }

    /// Whether the answer to a start must have come by now.
    pub(crate) fn is_start_lost(&self, task: &Task) -> bool {
        task.phase == Phase::Sent && task.last_progress_ms + START_LOST_MS < self.now_ms
    }

    fn move_stalled(&mut self, id: TaskId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let gang = job.unit_of(id.step).is_some_and(|unit| job.step(unit).gang);
        let Some(task) = job.task_mut(id) else { return };
        if !matches!(task.phase, Phase::Running { .. }) {
            return;
        }
        let Some(name) = task.worker.clone() else { return };
        let Some(worker) = self.workers.get_mut(&name) else { return };
        // Only answers prove that it is the task that stands still and not the link.
        if worker.answered_ms < task.last_progress_ms.max(task.placed_ms) + STALL_MS {
            return;
        }
        if gang {
            // Any member's worker may be the one that holds all of them up.
            worker.failures = worker.failures.max(1);
        } else {
            worker.record_failure(now_ms, 2);
        }
        let percent = task.percent;
        tracing::warn!(task = %id, worker = %name, percent, "task stands still, moved away");
        self.stop(id);
        self.stop_other_members(id);
    }
}
