//! Requests, which a minion answers while the caller waits.
//!
//! A minion is a server process on a worker. This daemon sends requests only to the minions
//! on workers that it holds, and at most one request to each of a minion's slots.
//!
//! A request that may run at most once is recorded together with its minion before it is
//! sent. If no answer comes, it is unknown whether the request ran. The caller gets that
//! outcome at once. The minion is then queried until it reports the outcome or its worker
//! is permanently lost. Other requests are not recorded and have no job.

use stoatwell_ledger::JobMachine;
use stoatwell_model::AttemptId;
use stoatwell_model::Code;
use stoatwell_model::Execution;
use stoatwell_model::Failure;
use stoatwell_model::JobId;
use stoatwell_model::MinionId;
use stoatwell_model::Outcome;
use stoatwell_model::UnixMs;
use stoatwell_model::job::JobView;
use stoatwell_platform::CallError;
use stoatwell_platform::MinionCall;
use stoatwell_platform::MinionReply;
use stoatwell_routing::PickedMinion;
use stoatwell_routing::minions::RequestEnd;

use crate::Engine;
use crate::jobs::Job;
use crate::message::OpId;
use crate::message::Ticket;
use crate::ops::MinionOp;
use crate::submit::Admitted;

/// Attempts of one request, including those that certainly did not start.
const ATTEMPTS_MAX: u32 = 5;
/// Retry delay suggested to a caller when the request cannot be taken now.
const RETRY_AFTER_MS: u64 = 500;

/// One request that has no outcome yet.
#[derive(Debug)]
pub(crate) struct Request {
    /// The waiting caller; `None` for recorded requests, whose callers wait for the job.
    pub(crate) ticket: Option<Ticket>,
    pub(crate) record: stoatwell_model::JobRecord,
    pub(crate) body: String,
    pub(crate) group: String,
    pub(crate) deadline_ms: UnixMs,
    pub(crate) attempts: u32,
    pub(crate) picked: Option<PickedMinion>,
    pub(crate) sent: bool,
    /// Whether any attempt may have started; if so, "not run" must not be reported.
    pub(crate) may_have_run: bool,
}

impl Request {
    /// Whether the request has a job with a durable record: it may run at most once.
    fn is_recorded(&self) -> bool {
        self.record.execution == Execution::AtMostOnce
    }

    fn attempt(&self) -> AttemptId {
        AttemptId { job: self.record.job, task: 0, attempt: self.attempts.max(1) }
    }
}

impl Engine {
    pub(crate) fn accept_request(&mut self, admitted: Admitted) {
        let ticket = admitted.incoming.ticket;
        if self.requests.len() as u64 >= self.settings.queue.requests {
            let failure = Failure::new(Code::Overloaded).retry_after(RETRY_AFTER_MS);
            return self.answer_job(ticket, Err(failure));
        }
        let at_most_once = admitted.entry.execution == Execution::AtMostOnce;
        if at_most_once && self.rejects_recorded_work() {
            let failure = Failure::new(Code::StoreUnavailable).retry_after(RETRY_AFTER_MS);
            return self.answer_job(ticket, Err(failure));
        }
        let group = admitted.entry.minions.clone().unwrap_or_default();
        let picked = self.minions.pick(self.now_ms, &group, &admitted.entry.owner);
        if picked.is_none() {
            if admitted.incoming.may_forward && self.forward_request(&admitted) {
                return;
            }
            if !self.has_minions(&group) {
                if self.workers_of_zone_unknown(&admitted.entry.owner) {
                    return self.defer(admitted.incoming);
                }
                let failure = Failure::new(Code::NoMinion).retry_after(RETRY_AFTER_MS);
                return self.answer_job(ticket, Err(failure));
            }
        }
        self.retry_budget.on_first_try();
        let request_id = self.add_request(admitted, group, at_most_once);
        match picked {
            Some(picked) => self.assign_minion(request_id, picked),
            None => self.queue_request(request_id),
        }
    }

    fn add_request(&mut self, admitted: Admitted, group: String, at_most_once: bool) -> u64 {
        let ticket = admitted.incoming.ticket;
        let mut record = self.new_record(&admitted);
        if record.deadline_ms == 0 {
            record.deadline_ms = self.now_ms + self.settings.routing.request_timeout_ms;
        }
        let deadline_ms = record.deadline_ms;
        let body = admitted.incoming.submission.body;
        // The record contains no body, because no other daemon ever sends the
        // request again.
        record.body = String::new();
        record.body_object = None;
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        if at_most_once {
            let mut job = Job::new(JobMachine::new(record.clone(), 0, 1), String::new());
            job.acceptance_waiters.push((ticket, deadline_ms.saturating_sub(self.now_ms)));
            job.accept_until_ms = deadline_ms;
            job.request = Some(request_id);
            self.jobs.insert(record.job, job);
        }
        let request = Request {
            ticket: (!at_most_once).then_some(ticket),
            record,
            body,
            group,
            deadline_ms,
            attempts: 0,
            picked: None,
            sent: false,
            may_have_run: false,
        };
        self.requests.insert(request_id, request);
        request_id
    }

    /// Whether a slot of the group may become free here: on a minion of a held worker, or on
    /// one that another daemon of the zone holds now and may release to this one.
    fn has_minions(&self, group: &str) -> bool {
        let local =
            self.minions.all().any(|(_, minion)| minion.group == group && minion.serves.is_some());
        let zone_members = self.members.live_in_zone(self.now_ms, &self.me.zone);
        let mut reported = zone_members.flat_map(|member| &member.summary.groups);
        local || reported.any(|found| found.group == group && found.slots > 0)
    }

    fn queue_request(&mut self, request_id: u64) {
        if let Some(request) = self.requests.get(&request_id) {
            self.request_queue.push(&request.group, request.deadline_ms, request_id);
        }
    }

    /// Assigns a minion, on which a slot was allocated, to the request.
    fn assign_minion(&mut self, request_id: u64, picked: PickedMinion) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            self.minions.release(self.now_ms, &picked.minion, RequestEnd::NoFailure);
            return;
        };
        let worker = picked.worker.clone();
        let minion = format!("{}/{}", picked.address, picked.minion);
        request.picked = Some(picked);
        request.attempts += 1;
        if !request.is_recorded() {
            self.send_request(request_id);
            return;
        }
        let id = request.record.job;
        let token = self.held.get(&worker).map_or(0, |held| held.token);
        self.drive(id, |machine, _| machine.on_routed(&worker, token, &minion));
    }

    /// Sends a recorded request, now that its intent is durable.
    pub(crate) fn send_recorded_request(&mut self, id: JobId) {
        let request_id = self.jobs.get(&id).and_then(|job| job.request);
        let Some(request_id) = request_id else {
            return;
        };
        let expired =
            self.requests.get(&request_id).is_none_or(|request| request.deadline_ms <= self.now_ms);
        if expired {
            // The deadline passed while the record was being written, so nothing was sent.
            self.release_slot(request_id, RequestEnd::NoFailure);
            self.requests.remove(&request_id);
            self.finish_recorded_request(
                id,
                not_run(Code::DeadlinePassed, "it waited for its record"),
            );
            return;
        }
        self.send_request(request_id);
    }

    fn send_request(&mut self, request_id: u64) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(picked) = request.picked.clone() else {
            return;
        };
        request.sent = true;
        let call = MinionCall::Ask {
            attempt: request.attempt(),
            deadline_ms: request.deadline_ms.saturating_sub(self.now_ms).max(1),
            body: request.body.clone(),
        };
        let purpose = MinionOp::Request { request: request_id, minion: picked.minion.clone() };
        self.call_minion(purpose, picked.minion, picked.address, call);
    }

    pub(crate) fn on_minion_done(&mut self, op: OpId, reply: Result<MinionReply, CallError>) {
        match self.ops.minion.remove(&op) {
            Some(MinionOp::Request { request, minion }) => {
                self.on_request_reply(request, &minion, reply);
            }
            Some(MinionOp::Seal(job)) => self.on_sealed(job, reply),
            None => {}
        }
    }

    fn on_request_reply(
        &mut self,
        request_id: u64,
        minion: &MinionId,
        reply: Result<MinionReply, CallError>,
    ) {
        let end = match &reply {
            Ok(MinionReply::Busy) => RequestEnd::Busy,
            Ok(_) => RequestEnd::NoFailure,
            Err(_) => RequestEnd::Failed,
        };
        self.minions.release(self.now_ms, minion, end);
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        request.picked = None;
        request.sent = false;
        let may_have_started = match &reply {
            Ok(MinionReply::Busy | MinionReply::NeverStarted) => false,
            Ok(_) => true,
            Err(error) => !error.is_without_effect(),
        };
        request.may_have_run |= may_have_started;
        let recorded = request.is_recorded();
        match reply {
            Ok(MinionReply::Answer { body }) => {
                self.end_request(request_id, Outcome::Done { answer: body });
            }
            Ok(MinionReply::Busy | MinionReply::NeverStarted) => self.on_not_started(request_id),
            Err(error) if error.is_without_effect() => self.on_not_started(request_id),
            Ok(MinionReply::Failed { reason }) => {
                if recorded || !self.retry_request(request_id) {
                    let outcome = Outcome::Failed { code: Code::MinionFailed, detail: reason };
                    self.end_request(request_id, outcome);
                }
            }
            Ok(MinionReply::Running) | Err(_) if recorded => self.on_request_unanswered(request_id),
            Ok(MinionReply::Running) | Err(_) => {
                if !self.retry_request(request_id) {
                    let detail =
                        "the minion did not answer; the work may be repeated safely".to_owned();
                    self.end_request(
                        request_id,
                        Outcome::Unknown { code: Code::OutcomeUnknown, detail },
                    );
                }
            }
        }
    }

    /// The minion certainly did not start the request, so another one may.
    fn on_not_started(&mut self, request_id: u64) {
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        let id = request.record.job;
        if request.attempts >= ATTEMPTS_MAX || request.deadline_ms <= self.now_ms {
            let code = if request.deadline_ms <= self.now_ms {
                Code::DeadlinePassed
            } else {
                Code::NoMinion
            };
            self.end_without_retry(request_id, code, "no minion began it");
            return;
        }
        if request.is_recorded() {
            let attempt = request.attempt();
            self.drive(id, |machine, now_ms| machine.on_never_started(now_ms, attempt));
            return;
        }
        self.queue_request(request_id);
    }

    /// Queues a request that may be repeated for another attempt, if its attempts, its
    /// deadline and the retry budget allow it. Returns whether it was queued.
    fn retry_request(&mut self, request_id: u64) -> bool {
        let Some(request) = self.requests.get(&request_id) else {
            return false;
        };
        let may_retry = request.attempts < ATTEMPTS_MAX && request.deadline_ms > self.now_ms;
        if !may_retry || !self.retry_budget.take() {
            return false;
        }
        self.queue_request(request_id);
        true
    }

    pub(crate) fn answer_waiters(&mut self, id: JobId, view: &JobView) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut tickets: Vec<Ticket> = Vec::new();
        tickets
            .extend(std::mem::take(&mut job.outcome_waiters).into_iter().map(|(ticket, _)| ticket));
        tickets.extend(
            std::mem::take(&mut job.acceptance_waiters).into_iter().map(|(ticket, _)| ticket),
        );
        for ticket in tickets {
            self.answer_job(ticket, Ok(view.clone()));
        }
    }

    /// Ends a request without another attempt. The outcome is "not run" only if no
    /// earlier attempt can have started.
    fn end_without_retry(&mut self, request_id: u64, code: Code, detail: &str) {
        let may_have_run =
            self.requests.get(&request_id).is_some_and(|request| request.may_have_run);
        let outcome = if may_have_run {
            let detail = format!("an earlier try went without an answer, and {detail}");
            Outcome::Unknown { code: Code::OutcomeUnknown, detail }
        } else {
            not_run(code, detail)
        };
        self.end_request(request_id, outcome);
    }

    /// Ends a request with its outcome. A recorded request ends through its job; any other
    /// one is answered here.
    fn end_request(&mut self, request_id: u64, outcome: Outcome) {
        let Some(request) = self.requests.remove(&request_id) else {
            return;
        };
        let id = request.record.job;
        if request.is_recorded() {
            self.finish_recorded_request(id, outcome);
            return;
        }
        let mut record = request.record;
        record.finished_ms = self.now_ms;
        record.outcome = Some(outcome);
        let view = crate::submit::view_of_record(record, Vec::new());
        if let Some(ticket) = request.ticket {
            self.answer_job(ticket, Ok(view));
        }
    }

    /// Sets the outcome of a recorded request in its job. If the record is durable already,
    /// the callers get the outcome at once: should this daemon die before the outcome is
    /// written, the minion can still report it.
    pub(crate) fn finish_recorded_request(&mut self, id: JobId, outcome: Outcome) {
        let now_ms = self.now_ms;
        let accept_timeout_ms = self.settings.ledger.accept_timeout_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.request = None;
        if !job.accepted {
            // Another daemon may have accepted a request with the same idempotency key and
            // run it. Only the record of that job shows this. So the outcome is written
            // before the callers get it. If the key has a record already, the write
            // conflicts, and the callers get the outcome of that record instead.
            job.accept_until_ms = now_ms + accept_timeout_ms;
            self.drive(id, |machine, now_ms| machine.finish(now_ms, outcome));
            return;
        }
        let final_outcome = outcome.clone();
        self.drive(id, |machine, now_ms| machine.finish(now_ms, outcome));
        if let Some(view) = self.view(id) {
            let view =
                JobView { state: final_outcome.state(), outcome: Some(final_outcome), ..view };
            self.answer_waiters(id, &view);
        }
    }

    /// Queues a recorded request again after its minion did not start it.
    pub(crate) fn requeue_request(&mut self, id: JobId) {
        if let Some(request_id) = self.jobs.get(&id).and_then(|job| job.request) {
            self.queue_request(request_id);
            return;
        }
        // The job was taken over from another daemon. The request's body is not here, and
        // no caller waits for the answer.
        self.finish_recorded_request(
            id,
            not_run(Code::NoMinion, "the daemon that had it was replaced"),
        );
    }

    pub(crate) fn serve_waiting_requests(&mut self) {
        if self.request_queue.is_empty() {
            return;
        }
        for group in self.request_queue.groups() {
            while let Some(request_id) = self.request_queue.pop(&group) {
                let Some(request) = self.requests.get(&request_id) else {
                    continue;
                };
                let owner = request.record.owner.clone();
                let deadline_ms = request.deadline_ms;
                if let Some(picked) = self.minions.pick(self.now_ms, &group, &owner) {
                    self.assign_minion(request_id, picked);
                } else {
                    self.request_queue.push(&group, deadline_ms, request_id);
                    break;
                }
            }
        }
    }

    pub(crate) fn expire_requests(&mut self) {
        for request_id in self.request_queue.take_expired(self.now_ms) {
            self.end_without_retry(request_id, Code::DeadlinePassed, "no slot became free in time");
        }
    }

    pub(crate) fn drop_unsent_request(&mut self, id: JobId) {
        let request_id = self.jobs.get(&id).and_then(|job| job.request);
        if let Some(request_id) = request_id
            && self.requests.get(&request_id).is_some_and(|request| !request.sent)
        {
            self.release_slot(request_id, RequestEnd::NoFailure);
            self.requests.remove(&request_id);
        }
    }

    pub(crate) fn drop_request_of(&mut self, job: &Job) {
        if let Some(request_id) = job.request {
            self.release_slot(request_id, RequestEnd::NoFailure);
            self.requests.remove(&request_id);
        }
    }

    fn release_slot(&mut self, request_id: u64, end: RequestEnd) {
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        if let Some(picked) = request.picked.take()
            && !request.sent
        {
            self.minions.release(self.now_ms, &picked.minion, end);
        }
    }
}

pub(crate) fn not_run(code: Code, detail: &str) -> Outcome {
    Outcome::NotRun { code, detail: detail.to_owned() }
}
