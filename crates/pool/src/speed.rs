//! Workers that turn slow.
//!
//! A slow worker answers every call in time; only the progress of its tasks
//! shows it. Each answer to a hold compares the work that its tasks have done
//! with the time they had. A worker far behind gets nothing new for a while,
//! and tasks that would be done sooner elsewhere are moved.

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::id::TaskId;
use crate::job::Phase;

/// A task counts once it had this much time: less shows too few hundredths.
const TASK_TIME_MIN_MS: u64 = 300;
/// All tasks of a worker together need this much time for a judgement. Single
/// tasks may take three times what was expected of them.
const TIME_MIN_MS: u64 = 900;
/// A worker is slow below this share of the speed expected, by the number of
/// its tasks that count. Estimates are off by half and tasks vary by half, so
/// one task proves little; of three, the mean on a sound worker stays above it.
const SLOW_PERCENT: [u64; 3] = [15, 22, 30];
/// How long a slow worker gets nothing new; judged again with each answer.
const SLOW_PAUSE_MS: u64 = 1_200;
/// A task is moved only if it would be done this much sooner elsewhere,
/// with the time for the stop and the new start counted.
const MOVE_GAIN_MS: u64 = 900;

impl Pool {
    /// Compares the progress of a worker's tasks with the time they had.
    pub(crate) fn judge_speed(&mut self, name: &WorkerId) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get(name) else { return };
        let (mut time_ms, mut done_ms) = (0, 0);
        let mut tasks = Vec::new();
        for id in worker.tasks.keys() {
            let Some(job) = self.jobs.get(&id.step.job) else { continue };
            let Some(unit) = job.unit_of(id.step) else { continue };
            let step = job.step(unit);
            let Some(task) = job.units[unit].tasks.get(id.index as usize) else { continue };
            let had_ms = now_ms.saturating_sub(task.began_ms);
            let at_work = matches!(task.phase, Phase::Running { .. }) && task.began_ms > 0;
            let unlike = step.long_running || step.gang || step.fills;
            if !at_work || unlike || had_ms < TASK_TIME_MIN_MS {
                continue;
            }
            let queue = &job.spec.queue.name;
            let expected_ms = self.estimates.expected_ms(queue, step.estimate_ms);
            time_ms += had_ms;
            done_ms += expected_ms * u64::from(task.percent) / 100;
            tasks.push((*id, had_ms, u64::from(task.percent), expected_ms));
        }
        if time_ms < TIME_MIN_MS {
            return;
        }
        let speed_percent = done_ms * 100 / time_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.speed_percent = speed_percent;
        if speed_percent >= SLOW_PERCENT[tasks.len().clamp(1, 3) - 1] {
            return;
        }
        if worker.quarantine_until_ms < now_ms {
            tracing::warn!(worker = %name, speed_percent, tasks = tasks.len(), "worker is slow");
        }
        worker.quarantine_until_ms = worker.quarantine_until_ms.max(now_ms + SLOW_PAUSE_MS);
        for (id, had_ms, percent, expected_ms) in tasks {
            let left_ms = had_ms * (100 - percent.min(100)) / percent.max(1);
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
        tracing::warn!(task = %id, worker = %name, left_ms, expected_ms, "task moved from a slow worker");
        self.stop(id);
    }
}
