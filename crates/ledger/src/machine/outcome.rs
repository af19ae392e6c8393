//! Which outcome is truthful, and when it is final.

use stoatwell_model::Code;
use stoatwell_model::Outcome;
use stoatwell_model::UnixMs;

use crate::machine::JobEffect;
use crate::machine::JobMachine;
use crate::machine::phase::Phase;

impl JobMachine {
    /// Fixes the outcome from outside, for a request that was answered.
    pub fn finish(&mut self, now_ms: UnixMs, outcome: Outcome) -> Vec<JobEffect> {
        if self.record.outcome.is_some() {
            return Vec::new();
        }
        self.tasks[0].phase = match &outcome {
            Outcome::Done { .. } => Phase::Done,
            Outcome::Failed { code, .. } => Phase::Over(*code),
            Outcome::NotRun { code, .. } => Phase::Dropped(*code),
            Outcome::Unknown { .. } => Phase::Lost,
        };
        self.record.outcome = Some(outcome);
        self.record.finished_ms = now_ms;
        self.write()
    }

    pub(super) fn outcome_if_written(&self) -> Option<&Outcome> {
        self.record.outcome.as_ref().filter(|_| self.outcome_written)
    }

    pub(super) fn settle_or_write(&mut self, now_ms: UnixMs) -> Vec<JobEffect> {
        let effects = self.settle(now_ms);
        if effects.is_empty() { self.write() } else { effects }
    }

    /// Fixes the outcome once no task can change it any more.
    pub(super) fn settle(&mut self, now_ms: UnixMs) -> Vec<JobEffect> {
        if self.record.outcome.is_some() || !self.tasks.iter().all(|task| task.phase.is_settled()) {
            return Vec::new();
        }
        self.record.outcome = Some(self.outcome());
        self.record.finished_ms = now_ms;
        self.write()
    }

    /// The worst of what became of the tasks, worst first: unknown, failed, not run, done.
    pub(super) fn outcome(&self) -> Outcome {
        let mut done = 0;
        let mut over = None;
        let mut dropped = None;
        let mut lost = 0;
        for task in &self.tasks {
            match task.phase {
                Phase::Done => done += 1,
                Phase::Over(code) => over = over.or(Some(code)),
                Phase::Dropped(code) => dropped = dropped.or(Some(code)),
                _ => lost += 1,
            }
        }
        let all = self.tasks.len();
        if lost > 0 {
            let detail = format!("{lost} of {all} tasks ran on a worker that is gone");
            return Outcome::Unknown { code: Code::OutcomeUnknown, detail };
        }
        if let Some(code) = over {
            let detail = self.notes.back().cloned().unwrap_or_default();
            return Outcome::Failed { code, detail };
        }
        match dropped {
            None => Outcome::Done { answer: format!("{done} tasks done") },
            // Work that may be repeated is started without a record, so of what
            // another daemon had before nobody knows whether it was started.
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
                Outcome::Failed { code, detail: format!("{done} of {all} tasks had run") }
            }
        }
    }

    pub(super) fn had_unrecorded_starts(&self) -> bool {
        self.record.epoch > 1 && !self.record.execution.needs_intent()
    }
}
