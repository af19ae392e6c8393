//! Throttling of best-effort tasks in favor of latency-sensitive ones.
//!
//! The pace of a run is the limit on its speed, in percent of its full speed. (The speed
//! that a worker actually reaches is measured in [`crate::speed`].)
//!
//! Best-effort tasks ([`StepSpec::fills`](crate::StepSpec::fills)) use processor time that
//! others leave. They slow down tasks that serve users on the same worker, by an amount
//! that no specification states; only the response times that the worker reports show it.
//! When these come close to the response time target, the pace of the best-effort tasks on
//! that worker is cut at once and raised again in small steps.

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::event::CallError;
use crate::event::Effect;
use crate::event::HoldReply;
use crate::event::PaceCall;
use crate::id::TaskId;
use crate::runs::run::callee;
use crate::workers::holds::LATE_REQUEST_MS;
use crate::workers::worker::FULL_PACE;

/// Response time in percent of its target above which the pace is cut. Reports are half a
/// second old, and users must not notice a slowdown first.
const THROTTLE_ABOVE_PERCENT: u64 = 85;
/// Response time in percent of its target below which the pace is raised.
const RAISE_BELOW_PERCENT: u64 = 60;
/// The pace after the first cut, in percent; the second one stops the tasks. This takes two
/// reports, which is a second.
const THROTTLED_PACE: u32 = 30;
/// How much the pace is raised at a time, in percent.
const PACE_INCREMENT: u32 = 20;
/// How long each raise has to prove harmless before the next one.
const RAISE_INTERVAL_MS: u64 = 1_500;

impl Pool {
    /// Sets the pace of the best-effort tasks on a worker from the response times that the
    /// latency-sensitive tasks there report.
    pub(crate) fn throttle_best_effort(&mut self, name: &WorkerId, reply: &HoldReply) {
        let mut best_effort: Vec<(TaskId, u32)> = Vec::new();
        let mut tightest_percent = 0;
        for active in &reply.active {
            let id = active.task;
            let Some(job) = self.jobs.get(&id.step.job).filter(|job| job.outcome.is_none()) else {
                continue;
            };
            let Some(step_index) = job.step_index(id.step) else { continue };
            let step = job.step_spec(step_index);
            if step.fills {
                best_effort.push((id, active.run));
            }
            if let Some(target_ms) = step.response_target_ms.filter(|ms| *ms > 0) {
                tightest_percent = tightest_percent.max(active.load * 100 / target_ms);
            }
        }
        if best_effort.is_empty() {
            return;
        }
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let before = worker.pace_percent;
        if tightest_percent > THROTTLE_ABOVE_PERCENT {
            worker.pace_percent = if before > THROTTLED_PACE { THROTTLED_PACE } else { 0 };
        } else if tightest_percent < RAISE_BELOW_PERCENT
            && worker.pace_changed_ms + RAISE_INTERVAL_MS <= now_ms
        {
            worker.pace_percent = (before + PACE_INCREMENT).min(FULL_PACE);
        }
        let percent = worker.pace_percent;
        if percent != before {
            worker.pace_changed_ms = now_ms;
            let fillers = best_effort.len();
            tracing::info!(worker = %name, percent, tightest_percent, fillers, "pace of best-effort tasks changed");
        }
        for (id, run) in best_effort {
            self.set_pace(name, id, run, percent);
        }
    }

    /// Sends a run's pace to its worker unless the worker certainly has it. A call that got no answer
    /// may take effect after newer ones, which the worker does not tell.
    fn set_pace(&mut self, name: &WorkerId, id: TaskId, run: u32, percent: u32) {
        let now_ms = self.now_ms;
        let Some(task) = self.task_for_run(id, run, name) else { return };
        let may_be_overtaken =
            task.late_pace_until_ms > 0 && task.pace_sent_ms <= task.late_pace_until_ms;
        if task.pace_percent.unwrap_or(FULL_PACE) == percent && !may_be_overtaken {
            return;
        }
        task.pace_percent = Some(percent);
        task.pace_sent_ms = now_ms;
        let Some(to) = callee(self.election.epoch, &self.workers, name) else { return };
        self.effects.push(Effect::Pace(PaceCall { to, task: id, run, percent }));
    }

    /// Handles the answer to a pace call. A failed call may have taken effect or not, so it is
    /// repeated with the next report.
    pub(crate) fn on_paced(
        &mut self,
        id: TaskId,
        run: u32,
        from: &WorkerId,
        reply: Result<(), CallError>,
    ) {
        let now_ms = self.now_ms;
        let Err(error) = reply else { return };
        tracing::warn!(task = %id, run, worker = %from, %error, "setting the pace failed; retrying with the next report");
        let Some(task) = self.task_for_run(id, run, from) else { return };
        // A pace that is never requested, so that the next report triggers a new call.
        task.pace_percent = Some(FULL_PACE + 1);
        if error == CallError::NoAnswer {
            task.late_pace_until_ms = now_ms + LATE_REQUEST_MS;
        }
    }
}
