//! Requests: answered in line by a minion on a worker that is held here.
//!
//! A request that may run only once is recorded with its minion before it is
//! sent. Without an answer nobody knows whether it ran; the caller is told so
//! at once, and the minion is asked until it tells or is gone for good.

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
use crate::message::Caller;
use crate::message::OpId;
use crate::message::Ticket;
use crate::ops::MinionOp;
use crate::submit::Admitted;

/// Tries of one request, retries of what was surely not begun included.
const TRIES_MAX: u32 = 5;
/// When to come back after no minion had a slot.
const RETRY_AFTER_MS: u64 = 500;

/// One request in work.
#[derive(Debug)]
pub(crate) struct Request {
    /// Who waits; for recorded requests the job's waiters do.
    pub(crate) ticket: Option<Ticket>,
    pub(crate) record: stoatwell_model::JobRecord,
    pub(crate) body: String,
    pub(crate) group: String,
    pub(crate) deadline_ms: UnixMs,
    pub(crate) tries: u32,
    pub(crate) picked: Option<PickedMinion>,
    pub(crate) asked: bool,
    /// Whether a try may have been begun; then "not run" would be no proof.
    pub(crate) may_have_run: bool,
}

impl Request {
    fn is_recorded(&self) -> bool {
        self.record.execution == Execution::AtMostOnce
    }

    fn attempt(&self) -> AttemptId {
        AttemptId { job: self.record.job, task: 0, attempt: self.tries.max(1) }
    }
}

impl Engine {
    pub(crate) fn take_request(
        &mut self,
        ticket: Ticket,
        caller: &Caller,
        admitted: Admitted,
        wait_ms: u64,
        may_forward: bool,
    ) {
        if self.requests.len() as u64 >= self.settings.queue.requests {
            let failure = Failure::new(Code::Overloaded).retry_after(RETRY_AFTER_MS);
            return self.answer_job(ticket, Err(failure));
        }
        let once = admitted.entry.execution == Execution::AtMostOnce;
        if once && self.refuses_records() {
            let failure = Failure::new(Code::StoreUnavailable).retry_after(RETRY_AFTER_MS);
            return self.answer_job(ticket, Err(failure));
        }
        let group = admitted.entry.minions.clone().unwrap_or_default();
        let picked = self.minions.pick(self.now_ms, &group, &admitted.entry.owner);
        if picked.is_none() {
            if may_forward && self.forward_request(ticket, caller, &admitted, wait_ms) {
                return;
            }
            if !self.has_minions(&group) {
                let failure = Failure::new(Code::NoMinion).retry_after(RETRY_AFTER_MS);
                return self.answer_job(ticket, Err(failure));
            }
        }
        self.budget.on_first_try();
        let number = self.add_request(ticket, admitted, group, once);
        match picked {
            Some(picked) => self.route(number, picked),
            None => self.let_wait(number),
        }
    }

    fn add_request(
        &mut self,
        ticket: Ticket,
        admitted: Admitted,
        group: String,
        once: bool,
    ) -> u64 {
        let mut record = self.record_of(&admitted);
        if record.deadline_ms == 0 {
            record.deadline_ms = self.now_ms + self.settings.routing.request_timeout_ms;
        }
        let deadline_ms = record.deadline_ms;
        let body = admitted.submission.body;
        // A recorded request keeps its body nowhere: it is never sent again by
        // another daemon.
        record.body = String::new();
        record.body_object = None;
        let number = self.next_request;
        self.next_request += 1;
        if once {
            let mut job = Job::new(JobMachine::new(record.clone(), 0, 1), String::new());
            job.acceptance_waiters.push((ticket, deadline_ms.saturating_sub(self.now_ms)));
            job.accept_until_ms = deadline_ms;
            job.request = Some(number);
            self.jobs.insert(record.job, job);
        }
        let request = Request {
            ticket: (!once).then_some(ticket),
            record,
            body,
            group,
            deadline_ms,
            tries: 0,
            picked: None,
            asked: false,
            may_have_run: false,
        };
        self.requests.insert(number, request);
        number
    }

    /// Whether a slot may become free here: on a minion held here, or on one
    /// that another daemon of the zone holds and may be about to hand over.
    fn has_minions(&self, group: &str) -> bool {
        let here =
            self.minions.all().any(|(_, minion)| minion.group == group && minion.serves.is_some());
        let near = self.members.live_in(self.now_ms, &self.me.zone);
        let mut told = near.flat_map(|member| &member.summary.groups);
        here || told.any(|found| found.group == group && found.slots > 0)
    }

    fn let_wait(&mut self, number: u64) {
        if let Some(request) = self.requests.get(&number) {
            self.waiting.push(&request.group, request.deadline_ms, number);
        }
    }

    /// A slot was taken for this request.
    fn route(&mut self, number: u64, picked: PickedMinion) {
        let Some(request) = self.requests.get_mut(&number) else {
            self.minions.release(self.now_ms, &picked.minion, RequestEnd::Answered);
            return;
        };
        let worker = picked.worker.clone();
        let minion = format!("{}/{}", picked.address, picked.minion);
        request.picked = Some(picked);
        request.tries += 1;
        if !request.is_recorded() {
            self.ask(number);
            return;
        }
        let id = request.record.job;
        let token = self.held.get(&worker).map_or(0, |held| held.token);
        self.drive(id, |machine, _| machine.on_routed(&worker, token, &minion));
    }

    /// The intent of a recorded request is durable.
    pub(crate) fn ask_recorded(&mut self, id: JobId) {
        let number = self.jobs.get(&id).and_then(|job| job.request);
        let Some(number) = number else {
            return;
        };
        let late =
            self.requests.get(&number).is_none_or(|request| request.deadline_ms <= self.now_ms);
        if late {
            // The record took longer than the request had time; it was not sent.
            self.give_slot_back(number, RequestEnd::Answered);
            self.requests.remove(&number);
            self.finish_request(id, not_run(Code::DeadlinePassed, "it waited for its record"));
            return;
        }
        self.ask(number);
    }

    fn ask(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(picked) = request.picked.clone() else {
            return;
        };
        request.asked = true;
        let call = MinionCall::Ask {
            attempt: request.attempt(),
            deadline_ms: request.deadline_ms.saturating_sub(self.now_ms).max(1),
            body: request.body.clone(),
        };
        let purpose = MinionOp::Ask { request: number, minion: picked.minion.clone() };
        self.call_minion(purpose, picked.minion, picked.address, call);
    }

    pub(crate) fn on_minion_done(&mut self, op: OpId, reply: Result<MinionReply, CallError>) {
        match self.ops.minion.remove(&op) {
            Some(MinionOp::Ask { request, minion }) => self.on_asked(request, &minion, reply),
            Some(MinionOp::Seal(job)) => self.on_sealed(job, reply),
            None => {}
        }
    }

    fn on_asked(&mut self, number: u64, minion: &MinionId, reply: Result<MinionReply, CallError>) {
        let ending = match &reply {
            Ok(MinionReply::Busy) => RequestEnd::Busy,
            Ok(_) => RequestEnd::Answered,
            Err(_) => RequestEnd::Failed,
        };
        self.minions.release(self.now_ms, minion, ending);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.picked = None;
        request.asked = false;
        let begun = match &reply {
            Ok(MinionReply::Busy | MinionReply::NeverStarted) => false,
            Ok(_) => true,
            Err(error) => !error.is_without_effect(),
        };
        request.may_have_run |= begun;
        let recorded = request.is_recorded();
        match reply {
            Ok(MinionReply::Answer { body }) => {
                self.end_request(number, Outcome::Done { answer: body });
            }
            Ok(MinionReply::Busy | MinionReply::NeverStarted) => self.on_not_begun(number),
            Err(error) if error.is_without_effect() => self.on_not_begun(number),
            Ok(MinionReply::Failed { reason }) => {
                if recorded || !self.try_again(number) {
                    let outcome = Outcome::Failed { code: Code::MinionFailed, detail: reason };
                    self.end_request(number, outcome);
                }
            }
            Ok(MinionReply::Running) | Err(_) if recorded => self.on_unknown(number),
            Ok(MinionReply::Running) | Err(_) => {
                if !self.try_again(number) {
                    let detail =
                        "the minion did not answer; the work may be repeated safely".to_owned();
                    self.end_request(
                        number,
                        Outcome::Unknown { code: Code::OutcomeUnknown, detail },
                    );
                }
            }
        }
    }

    /// The minion surely did not begin; another may.
    fn on_not_begun(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let id = request.record.job;
        if request.tries >= TRIES_MAX || request.deadline_ms <= self.now_ms {
            let code = if request.deadline_ms <= self.now_ms {
                Code::DeadlinePassed
            } else {
                Code::NoMinion
            };
            self.end_untried(number, code, "no minion began it");
            return;
        }
        if request.is_recorded() {
            let attempt = request.attempt();
            self.drive(id, |machine, now_ms| machine.on_absent(now_ms, attempt));
            return;
        }
        self.let_wait(number);
    }

    /// Another try of work that may be repeated, if the budget and the time allow it.
    fn try_again(&mut self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        let in_time = request.tries < TRIES_MAX && request.deadline_ms > self.now_ms;
        if !in_time || !self.budget.take() {
            return false;
        }
        self.let_wait(number);
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

    /// No further try is made: "not run" if no earlier one can have been begun.
    fn end_untried(&mut self, number: u64, code: Code, detail: &str) {
        let began = self.requests.get(&number).is_some_and(|request| request.may_have_run);
        let outcome = if began {
            let detail = format!("an earlier try went without an answer, and {detail}");
            Outcome::Unknown { code: Code::OutcomeUnknown, detail }
        } else {
            not_run(code, detail)
        };
        self.end_request(number, outcome);
    }

    /// The request has its outcome.
    fn end_request(&mut self, number: u64, outcome: Outcome) {
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        let id = request.record.job;
        if request.is_recorded() {
            self.finish_request(id, outcome);
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

    /// Fixes the outcome of a recorded request. The callers have it at once;
    /// should this daemon die before it is written, the minion still knows.
    pub(crate) fn finish_request(&mut self, id: JobId, outcome: Outcome) {
        let now_ms = self.now_ms;
        let accept_ms = self.settings.ledger.accept_timeout_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.request = None;
        if !job.accepted {
            // Another daemon may have taken the same key and run it. Only the
            // record tells, so "not run" is written as the key's outcome first;
            // if the key has a record, its callers get that one's answer.
            job.accept_until_ms = now_ms + accept_ms;
            self.drive(id, |machine, now_ms| machine.finish(now_ms, outcome));
            return;
        }
        let told = outcome.clone();
        self.drive(id, |machine, now_ms| machine.finish(now_ms, outcome));
        if let Some(view) = self.view(id) {
            let view = JobView { state: told.state(), outcome: Some(told), ..view };
            self.answer_waiters(id, &view);
        }
    }

    /// A recorded request whose minion did not begin goes to another one.
    pub(crate) fn requeue_request(&mut self, id: JobId) {
        if let Some(number) = self.jobs.get(&id).and_then(|job| job.request) {
            self.let_wait(number);
            return;
        }
        // It was taken over from another daemon, and its caller with it: the
        // body is not here and nobody waits for the answer.
        self.finish_request(id, not_run(Code::NoMinion, "the daemon that had it was replaced"));
    }

    pub(crate) fn serve_waiting_requests(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        for group in self.waiting.groups() {
            while let Some(number) = self.waiting.pop(&group) {
                let Some(request) = self.requests.get(&number) else {
                    continue;
                };
                let owner = request.record.owner.clone();
                let deadline_ms = request.deadline_ms;
                if let Some(picked) = self.minions.pick(self.now_ms, &group, &owner) {
                    self.route(number, picked);
                } else {
                    self.waiting.push(&group, deadline_ms, number);
                    break;
                }
            }
        }
    }

    pub(crate) fn expire_requests(&mut self) {
        for number in self.waiting.take_expired(self.now_ms) {
            self.end_untried(number, Code::DeadlinePassed, "no slot became free in time");
        }
    }

    pub(crate) fn drop_waiting_request(&mut self, id: JobId) {
        let number = self.jobs.get(&id).and_then(|job| job.request);
        if let Some(number) = number
            && self.requests.get(&number).is_some_and(|request| !request.asked)
        {
            self.give_slot_back(number, RequestEnd::Answered);
            self.requests.remove(&number);
        }
    }

    pub(crate) fn drop_request_of(&mut self, job: &Job) {
        if let Some(number) = job.request {
            self.give_slot_back(number, RequestEnd::Answered);
            self.requests.remove(&number);
        }
    }

    fn give_slot_back(&mut self, number: u64, ending: RequestEnd) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if let Some(picked) = request.picked.take()
            && !request.asked
        {
            self.minions.release(self.now_ms, &picked.minion, ending);
        }
    }
}

pub(crate) fn not_run(code: Code, detail: &str) -> Outcome {
    Outcome::NotRun { code, detail: detail.to_owned() }
}
