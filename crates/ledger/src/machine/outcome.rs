//! Determines the outcome of a job and when it is final.

use stoatwell_model::Code;
use stoatwell_model::Outcome;
use stoatwell_model::UnixMs;

use crate::machine::JobEffect;
use crate::machine::JobMachine;
use crate::machine::phase::Phase;

impl JobMachine {
    /// Sets the outcome of a request that was answered.
    pub fn finish(&mut self, now_ms: UnixMs, outcome: Outcome) -> Vec<JobEffect> {
        if self.record.outcome.is_some() {
            return Vec::new();
        }
        self.tasks[0].phase = match &outcome {
            Outcome::Done { .. } => Phase::Done,
            Outcome::Failed { code, .. } => Phase::Failed(*code),
            Outcome::NotRun { code, .. } => Phase::NeverStarted(*code),
            Outcome::Unknown { .. } => Phase::Lost,
        };
        self.record.outcome = Some(outcome);
        self.record.finished_ms = now_ms;
        self.request_write()
    }

    /// The outcome if it is durable.
    pub(super) fn durable_outcome(&self) -> Option<&Outcome> {
        self.record.outcome.as_ref().filter(|_| self.outcome_durable)
    }

    /// Sets the outcome if all tasks are final, and writes the record in any case.
    pub(super) fn finish_or_write(&mut self, now_ms: UnixMs) -> Vec<JobEffect> {
        let effects = self.finish_if_complete(now_ms);
        if effects.is_empty() { self.request_write() } else { effects }
    }

    /// Sets the outcome once no task can change it any more.
    pub(super) fn finish_if_complete(&mut self, now_ms: UnixMs) -> Vec<JobEffect> {
        if self.record.outcome.is_some() || !self.tasks.iter().all(|task| task.phase.is_final()) {
            return Vec::new();
        }
        self.record.outcome = Some(self.compute_outcome());
        self.record.finished_ms = now_ms;
        self.request_write()
    }

    /// Combines the results of all tasks; the worst one determines the outcome.
    ///
    /// From worst to best: unknown, failed, not run, done.
    pub(super) fn compute_outcome(&self) -> Outcome {
        let mut done = 0;
        let mut failed = None;
        let mut never_started = None;
        let mut lost = 0;
        for task in &self.tasks {
            match task.phase {
                Phase::Done => done += 1,
                Phase::Failed(code) => failed = failed.or(Some(code)),
                Phase::NeverStarted(code) => never_started = never_started.or(Some(code)),
                _ => lost += 1,
            }
        }
        let total = self.tasks.len();
        if lost > 0 {
            let detail = format!("{lost} of {total} tasks ran on a worker that is gone");
            return Outcome::Unknown { code: Code::OutcomeUnknown, detail };
        }
        if let Some(code) = failed {
            let detail = self.notes.back().cloned().unwrap_or_default();
            return Outcome::Failed { code, detail };
        }
        match never_started {
            None => Outcome::Done { answer: format!("{done} tasks done") },
            // Idempotent work starts without a durable intent, so it is not known
            // whether a previous coordinator started it.
            Some(_) if !self.record.started && done == 0 && self.had_unrecorded_starts() => {
                let detail = "another daemon may have started some of it".to_owned();
                Outcome::Unknown { code: Code::OutcomeUnknown, detail }
            }
            Some(code) if !self.record.started && done == 0 => {
                Outcome::NotRun { code, detail: "no task was started".to_owned() }
            }
            Some(code) => {
                let code = match code {
                    Code::CancelledBeforeStart => Code::CancelledAfterStart,
                    other => other,
                };
                Outcome::Failed { code, detail: format!("{done} of {total} tasks had run") }
            }
        }
    }

    /// Whether a previous coordinator may have sent starts without a durable intent.
    pub(super) fn had_unrecorded_starts(&self) -> bool {
        self.record.epoch > 1 && !self.record.execution.needs_intent()
    }
}
