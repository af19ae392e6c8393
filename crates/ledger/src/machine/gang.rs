//! Retry of a task, alone or together with its whole gang.

use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::Code;
use stoatwell_model::UnixMs;

use crate::machine::JobEffect;
use crate::machine::JobMachine;
use crate::machine::phase::Phase;
use crate::machine::phase::first_attempt;

impl JobMachine {
    /// Retries a task whose attempt has certainly ended.
    pub(super) fn retry_after_end(&mut self, now_ms: UnixMs, attempt: AttemptId) -> Vec<JobEffect> {
        self.remove_intent(attempt);
        if self.record.class != Class::Gang {
            return self.requeue(now_ms, attempt);
        }
        self.advance_attempt(attempt);
        self.restart_gang(now_ms)
    }

    /// Enqueues the next attempt of a task, or restarts its whole gang.
    pub(super) fn requeue(&mut self, now_ms: UnixMs, attempt: AttemptId) -> Vec<JobEffect> {
        self.advance_attempt(attempt);
        if self.record.class == Class::Gang {
            return self.restart_gang(now_ms);
        }
        vec![JobEffect::Enqueue(vec![self.attempt(attempt.task as usize)])]
    }

    /// Sets the task to waiting under the next attempt number.
    pub(super) fn advance_attempt(&mut self, attempt: AttemptId) {
        let index = attempt.task as usize;
        let epoch_start = first_attempt(self.record.epoch);
        self.tasks[index].attempt = epoch_start.max(self.tasks[index].attempt + 1);
        self.tasks[index].phase = Phase::Waiting;
    }

    /// Restarts a gang that lost a task.
    ///
    /// A gang cannot work without one of its tasks. The other tasks are stopped, and all
    /// tasks start again together once the last of them has certainly ended.
    pub(super) fn restart_gang(&mut self, now_ms: UnixMs) -> Vec<JobEffect> {
        let stop_not_sent = !self.gang_restarting;
        self.gang_restarting = true;
        let active: Vec<AttemptId> =
            self.possibly_running().into_iter().map(|(attempt, _)| attempt).collect();
        if !active.is_empty() {
            return if stop_not_sent { vec![JobEffect::Stop(active)] } else { Vec::new() };
        }
        if self.tasks.iter().any(|task| matches!(task.phase, Phase::InDoubt | Phase::WritingIntent))
        {
            return Vec::new();
        }
        self.gang_restarting = false;
        let has_failed_task = self.tasks.iter().any(|task| matches!(task.phase, Phase::Failed(_)));
        for index in 0..self.tasks.len() {
            match self.tasks[index].phase {
                Phase::Waiting if has_failed_task => {
                    self.tasks[index].phase = Phase::Failed(Code::TaskFailed);
                }
                Phase::Done if !has_failed_task => {
                    self.remove_intent(self.attempt(index));
                    self.advance_attempt(self.attempt(index));
                }
                _ => {}
            }
        }
        if has_failed_task {
            return self.finish_if_complete(now_ms);
        }
        vec![JobEffect::Enqueue(self.waiting())]
    }

    /// Stops a task that started while its job was cancelled or its gang restarted.
    ///
    /// The start was in flight at that time, so the task was not stopped then.
    pub(super) fn stop_if_unwanted(&self, attempt: AttemptId) -> Vec<JobEffect> {
        if self.record.cancelled || self.gang_restarting {
            return vec![JobEffect::Stop(vec![attempt])];
        }
        Vec::new()
    }
}
