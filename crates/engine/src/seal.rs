//! Recorded requests without an answer.
//!
//! The minion is asked for the outcome by a call named seal. If the request never arrived
//! at the minion, the seal bars it: the minion refuses the request from then on, so "not
//! run" is a safe outcome.

use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::Code;
use stoatwell_model::JobId;
use stoatwell_model::MinionId;
use stoatwell_model::Outcome;
use stoatwell_model::job::JobView;
use stoatwell_platform::CallError;
use stoatwell_platform::MinionCall;
use stoatwell_platform::MinionReply;

use crate::Engine;
use crate::ops::MinionOp;
use crate::requests::not_run;

/// Delay before a minion is asked again for the outcome of a request.
const SEAL_RETRY_MS: u64 = 1_000;

impl Engine {
    /// Handles a recorded request that got no answer. The request isn't sent again. The
    /// callers learn at once that its outcome is unknown, and the minion is asked for the
    /// outcome.
    pub(crate) fn on_request_unanswered(&mut self, request_id: u64) {
        let Some(request) = self.requests.remove(&request_id) else {
            return;
        };
        let id = request.record.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.request = None;
        job.inquire_not_before_ms = self.now_ms;
        job.machine.note("the minion did not answer in time and is being asked".to_owned());
        let view = JobView {
            state: stoatwell_model::JobState::Unknown,
            outcome: Some(Outcome::Unknown {
                code: Code::OutcomeUnknown,
                detail: "the minion did not answer in time".to_owned(),
            }),
            ..job.machine.view(Vec::new())
        };
        self.answer_waiters(id, &view);
    }

    /// Asks the minion of a recorded request for the request's outcome. A minion that never
    /// received the request refuses it from then on.
    pub(crate) fn seal_request(&mut self, id: JobId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.request.is_some()
            || now_ms < job.inquire_not_before_ms
            || job.machine.record.outcome.is_some()
        {
            return;
        }
        job.inquire_not_before_ms = now_ms + SEAL_RETRY_MS;
        let Some(intent) = job.machine.record.intents.first().cloned() else {
            return;
        };
        let attempt = AttemptId { job: id, task: intent.task, attempt: intent.attempt };
        let minion_address = intent.minion.as_deref().and_then(|minion| minion.split_once('/'));
        let Some((address, minion)) = minion_address else {
            return;
        };
        if self.is_worker_gone(&intent.worker) {
            let detail = format!("worker {} of its minion is gone", intent.worker);
            let outcome = Outcome::Unknown { code: Code::OutcomeUnknown, detail };
            return self.finish_recorded_request(id, outcome);
        }
        let call = MinionCall::Seal { attempt };
        self.call_minion(MinionOp::Seal(id), MinionId::new(minion), address.to_owned(), call);
    }

    pub(crate) fn on_sealed(&mut self, id: JobId, reply: Result<MinionReply, CallError>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.machine.record.class != Class::Request || job.machine.record.outcome.is_some() {
            return;
        }
        match reply {
            Ok(MinionReply::Answer { body }) => {
                self.finish_recorded_request(id, Outcome::Done { answer: body });
            }
            Ok(MinionReply::NeverStarted) => {
                self.finish_recorded_request(
                    id,
                    not_run(Code::NoMinion, "the minion never got it and refuses it now"),
                );
            }
            Ok(MinionReply::Failed { reason }) => {
                self.finish_recorded_request(
                    id,
                    Outcome::Failed { code: Code::MinionFailed, detail: reason },
                );
            }
            Ok(MinionReply::Running | MinionReply::Busy) | Err(_) => {}
        }
    }
}
