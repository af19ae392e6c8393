//! What follows when a task has to run again: alone, or with its whole gang.

use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::Code;
use stoatwell_model::UnixMs;

use crate::machine::JobEffect;
use crate::machine::JobMachine;
use crate::machine::phase::Phase;
use crate::machine::phase::first_attempt;

impl JobMachine {
    /// The attempt has surely ended and the task may run again.
    pub(super) fn after_end(&mut self, now_ms: UnixMs, attempt: AttemptId) -> Vec<JobEffect> {
        self.drop_intent(attempt);
        if self.record.class != Class::Gang {
            return self.requeue(now_ms, attempt);
        }
        self.advance(attempt);
        self.restart_gang(now_ms)
    }

    pub(super) fn requeue(&mut self, now_ms: UnixMs, attempt: AttemptId) -> Vec<JobEffect> {
        self.advance(attempt);
        if self.record.class == Class::Gang {
            return self.restart_gang(now_ms);
        }
        vec![JobEffect::Enqueue(vec![self.attempt(attempt.task as usize)])]
    }

    /// The next start of this task is another attempt.
    pub(super) fn advance(&mut self, attempt: AttemptId) {
        let index = attempt.task as usize;
        let first = first_attempt(self.record.epoch);
        self.tasks[index].attempt = first.max(self.tasks[index].attempt + 1);
        self.tasks[index].phase = Phase::Waiting;
    }

    /// A gang without one of its tasks is of no use: the others stop, and all
    /// start again together once the last of them has surely ended.
    pub(super) fn restart_gang(&mut self, now_ms: UnixMs) -> Vec<JobEffect> {
        let first = !self.restarting;
        self.restarting = true;
        let others: Vec<AttemptId> =
            self.active().into_iter().map(|(attempt, _)| attempt).collect();
        if !others.is_empty() {
            return if first { vec![JobEffect::Stop(others)] } else { Vec::new() };
        }
        if self.tasks.iter().any(|task| matches!(task.phase, Phase::InDoubt | Phase::Recording)) {
            return Vec::new();
        }
        self.restarting = false;
        let failed = self.tasks.iter().any(|task| matches!(task.phase, Phase::Over(_)));
        for index in 0..self.tasks.len() {
            match self.tasks[index].phase {
                Phase::Waiting if failed => self.tasks[index].phase = Phase::Over(Code::TaskFailed),
                Phase::Done if !failed => {
                    self.drop_intent(self.attempt(index));
                    self.advance(self.attempt(index));
                }
                _ => {}
            }
        }
        if failed {
            return self.settle(now_ms);
        }
        vec![JobEffect::Enqueue(self.waiting())]
    }

    /// A cancellation or a gang's restart may have come while the start was on its way.
    pub(super) fn after_cancel_stop(&self, attempt: AttemptId) -> Vec<JobEffect> {
        if self.record.cancelled || self.restarting {
            return vec![JobEffect::Stop(vec![attempt])];
        }
        Vec::new()
    }
}
