//! Detection of slow workers.
//!
//! A slow worker answers every call in time; only the progress of its tasks shows that
//! it is slow. Each answer to a hold is used to compare the work that its tasks have done
//! with the time they had until the worker gave that answer. A worker that is far behind
//! gets no new tasks for a while, and tasks that would finish sooner elsewhere are moved.

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::id::TaskId;
use crate::jobs::job::Phase;

/// Run time from which on a task is taken into account. In less time its progress, which
/// is reported in percent, is too coarse.
const TASK_TIME_MIN_MS: u64 = 300;
/// Total run time of a worker's tasks from which on its speed is judged. A single task may
/// take three times its expected duration.
const TOTAL_TIME_MIN_MS: u64 = 900;
/// Percentage of the expected speed below which a worker is slow, for one, two, and three
/// or more tasks taken into account. Estimates are off by half and durations vary by half,
/// so one task proves little; the mean of three on a healthy worker stays above the limit.
const SLOW_PERCENT: [u64; 3] = [15, 22, 30];
/// How long a slow worker gets no new tasks. The time starts again with each answer to a
/// hold that shows that the worker is slow.
const SLOW_QUARANTINE_MS: u64 = 1_200;
/// How much sooner a task must be expected to finish elsewhere to be moved. This covers
/// the time for the stop and the new start.
const MOVE_GAIN_MS: u64 = 900;

impl Pool {
    /// Compares the progress of a worker's tasks with the time they had.
    pub(crate) fn check_speed(&mut self, name: &WorkerId) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get(name) else { return };
        let (mut total_ms, mut done_ms) = (0, 0);
        let mut tasks = Vec::new();
        for id in worker.tasks.keys() {
            let Some(job) = self.jobs.get(&id.step.job) else { continue };
            let Some(step_index) = job.step_index(id.step) else { continue };
            let step = job.step_spec(step_index);
            let Some(task) = job.step_states[step_index].tasks.get(id.index as usize) else {
                continue;
            };
            let elapsed_ms = worker.as_of_ms.saturating_sub(task.running_since_ms);
            let running = matches!(task.phase, Phase::Running { .. }) && task.running_since_ms > 0;
            let not_comparable = step.long_running || step.gang || step.fills;
            if !running || not_comparable || elapsed_ms < TASK_TIME_MIN_MS {
                continue;
            }
            let queue = &job.spec.queue.name;
            let expected_ms = self.estimates.expected_ms(queue, step.estimate_ms);
            // Progress is rounded down. One percent of a long task takes many seconds.
            let percent_max = (u64::from(task.percent) + 1).min(100);
            total_ms += elapsed_ms;
            done_ms += expected_ms * percent_max / 100;
            tasks.push((*id, elapsed_ms, percent_max, expected_ms));
        }
        if total_ms < TOTAL_TIME_MIN_MS {
            return;
        }
        let speed_percent = done_ms * 100 / total_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.speed_percent = speed_percent;
        if speed_percent >= SLOW_PERCENT[tasks.len().clamp(1, 3) - 1] {
            return;
        }
        if worker.quarantine_until_ms < now_ms {
            tracing::warn!(worker = %name, speed_percent, tasks = tasks.len(), "worker is slow");
        }
        worker.quarantine_until_ms = worker.quarantine_until_ms.max(now_ms + SLOW_QUARANTINE_MS);
        for (id, elapsed_ms, percent, expected_ms) in tasks {
            let left_ms = elapsed_ms * (100 - percent) / percent;
            if left_ms > expected_ms + MOVE_GAIN_MS {
                self.move_from_slow_worker(id, name, left_ms, expected_ms);
            }
        }
    }

    fn move_from_slow_worker(
        &mut self,
        id: TaskId,
        name: &WorkerId,
        left_ms: u64,
        expected_ms: u64,
    ) {
        tracing::warn!(task = %id, worker = %name, left_ms, expected_ms, "moving a task from a slow worker");
        self.stop(id);
    }
}
