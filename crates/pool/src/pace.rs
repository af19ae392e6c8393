//! Tasks that fill make way for tasks that serve.
//!
//! Tasks that fill use processors that others leave, and disturb those that serve
//! users on the same worker by amounts that nobody declares; only the response times
//! that the worker reports show it. Where they come near what their users expect, the
//! fillers there are slowed at once, and let go again a step at a time.

use stoatwell_model::WorkerId;

use crate::Pool;
use crate::event::CallError;
use crate::event::Effect;
use crate::event::HoldReply;
use crate::event::PaceCall;
use crate::id::TaskId;
use crate::runs::callee;
use crate::worker::FULL_PACE;

/// Response times above this share, in hundredths, of what is expected slow the
/// fillers: reports are half a second old, and a user must not notice first.
const TIGHT_PERCENT: u64 = 85;
/// Below this share they are let go a step.
const EASY_PERCENT: u64 = 60;
/// The first slowing; the next one stops them. Two reports, a second, are enough.
const SLOWED_PACE: u32 = 30;
/// A step up, and how long each has to prove harmless.
const STEP_PACE: u32 = 20;
const STEP_EVERY_MS: u64 = 1_500;

impl Pool {
    /// Sets the pace of the fillers on a worker by what its serving tasks report.
    pub(crate) fn pace_fillers(&mut self, name: &WorkerId, reply: &HoldReply) {
        let mut fillers: Vec<(TaskId, u32)> = Vec::new();
        let mut tightest_percent = 0;
        for active in &reply.active {
            let id = active.task;
            let Some(job) = self.jobs.get(&id.step.job).filter(|job| job.outcome.is_none()) else {
                continue;
            };
            let Some(unit) = job.unit_of(id.step) else { continue };
            let step = job.step(unit);
            if step.fills {
                fillers.push((id, active.run));
            }
            if let Some(target_ms) = step.response_target_ms.filter(|ms| *ms > 0) {
                tightest_percent = tightest_percent.max(active.load * 100 / target_ms);
            }
        }
        if fillers.is_empty() {
            return;
        }
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let before = worker.pace_percent;
        if tightest_percent > TIGHT_PERCENT {
            worker.pace_percent = if before > SLOWED_PACE { SLOWED_PACE } else { 0 };
        } else if tightest_percent < EASY_PERCENT
            && worker.pace_changed_ms + STEP_EVERY_MS <= now_ms
        {
            worker.pace_percent = (before + STEP_PACE).min(FULL_PACE);
        }
        let percent = worker.pace_percent;
        if percent != before {
            worker.pace_changed_ms = now_ms;
            let fillers = fillers.len();
            tracing::info!(worker = %name, percent, tightest_percent, fillers, "pace of fillers");
        }
        for (id, run) in fillers {
            self.pace(name, id, run, percent);
        }
    }

    fn pace(&mut self, name: &WorkerId, id: TaskId, run: u32, percent: u32) {
        let Some(task) = self.task_for_run(id, run, name) else { return };
        if task.pace_percent.unwrap_or(FULL_PACE) == percent {
            return;
        }
        task.pace_percent = Some(percent);
        let Some(to) = callee(self.election.epoch, &self.workers, name) else { return };
        self.effects.push(Effect::Pace(PaceCall { to, task: id, run, percent }));
    }

    /// An order without answer may have been carried out or not: it is given again
    /// with the next report.
    pub(crate) fn on_paced(
        &mut self,
        id: TaskId,
        run: u32,
        from: &WorkerId,
        reply: Result<(), CallError>,
    ) {
        let Err(error) = reply else { return };
        tracing::warn!(task = %id, run, worker = %from, %error, "pace not set");
        let Some(task) = self.task_for_run(id, run, from) else { return };
        // No pace that is ever asked for, so that the next report asks again.
        task.pace_percent = Some(FULL_PACE + 1);
    }
}
