//! Status and cancellation of jobs, whichever daemon coordinates them.

use stoatwell_ledger::JobMachine;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_model::JobId;
use stoatwell_model::JobRecord;
use stoatwell_model::OwnerName;
use stoatwell_platform::CallError;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;

use crate::Engine;
use crate::message::Answer;
use crate::message::Caller;
use crate::message::Effect;
use crate::message::PeerCall;
use crate::message::PeerReply;
use crate::message::Ticket;
use crate::ops::Lookup;
use crate::ops::PeerOp;
use crate::ops::StoreOp;
use crate::submit::RETRY_AFTER_MS;
use crate::submit::content_hash;
use crate::submit::may_access;
use crate::submit::view_of_record;

/// Maximum time that a caller waits for the outcome of a cancellation to become durable.
const CANCEL_WAIT_MS: u64 = 3_000;

impl Engine {
    pub(crate) fn on_status(&mut self, ticket: Ticket, caller: &Caller, job: JobId, wait_ms: u64) {
        let owner = self.owner_of(job);
        match owner {
            Some(owner) if !may_access(caller, &owner) => {
                self.answer_job(ticket, Err(Failure::new(Code::NoSuchJob)));
            }
            Some(_) => self.wait_for_outcome(job, ticket, wait_ms),
            None => {
                let caller = caller.clone();
                self.look_up(Lookup::Status { ticket, caller, job, wait_ms });
            }
        }
    }

    pub(crate) fn on_peer_status(&mut self, ticket: Ticket, job: JobId, wait_ms: u64) {
        if self.owner_of(job).is_some() {
            self.wait_for_outcome(job, ticket, wait_ms);
            return;
        }
        self.answer_job(ticket, Err(Failure::new(Code::NoSuchJob)));
    }

    pub(crate) fn on_cancel(&mut self, ticket: Ticket, caller: &Caller, job: JobId) {
        match self.owner_of(job) {
            Some(owner) if !may_access(caller, &owner) => {
                self.answer_job(ticket, Err(Failure::new(Code::NoSuchJob)));
            }
            Some(_) => self.cancel_local(ticket, job),
            None => {
                let caller = caller.clone();
                self.look_up(Lookup::Cancel { ticket, caller, job });
            }
        }
    }

    pub(crate) fn on_peer_cancel(&mut self, ticket: Ticket, job: JobId) {
        if self.owner_of(job).is_some() {
            self.cancel_local(ticket, job);
            return;
        }
        self.answer_job(ticket, Err(Failure::new(Code::NoSuchJob)));
    }

    pub(crate) fn cancel_local(&mut self, ticket: Ticket, job: JobId) {
        self.drive(job, JobMachine::cancel);
        // The outcome may be "not run", which must be durable before it is returned.
        self.wait_for_outcome(job, ticket, CANCEL_WAIT_MS);
    }

    pub(crate) fn owner_of(&self, job: JobId) -> Option<OwnerName> {
        if let Some(found) = self.jobs.get(&job) {
            return Some(found.machine.record.owner.clone());
        }
        self.finished_jobs.get(&job).map(|view| view.owner.clone())
    }

    /// Reads the record of a job from the store.
    pub(crate) fn look_up(&mut self, lookup: Lookup) {
        let job = match &lookup {
            Lookup::Status { job, .. } | Lookup::Cancel { job, .. } => *job,
            Lookup::Resubmission { key, submission, .. } => {
                let owner = self.catalogue.work(&submission.entry).map(|entry| entry.owner.clone());
                JobId::from_key(&owner.unwrap_or_else(|| OwnerName::new("")), key)
            }
        };
        let call = StoreCall::Read { keys: vec![stoatwell_ledger::rows::job_key(job)] };
        self.call_store(StoreOp::Lookup(lookup), call);
    }

    pub(crate) fn on_lookup_reply(&mut self, lookup: Lookup, reply: Result<StoreReply, CallError>) {
        let record: Result<Option<JobRecord>, CallError> = match reply {
            Ok(StoreReply::Rows { rows }) => {
                Ok(rows.first().and_then(|row| serde_json::from_str(&row.value).ok()))
            }
            Ok(_) => Ok(None),
            Err(error) => Err(error),
        };
        match (lookup, record) {
            (Lookup::Status { ticket, caller, wait_ms, .. }, Ok(Some(found)))
                if may_access(&caller, &found.owner) =>
            {
                self.answer_from_record(ticket, found, wait_ms);
            }
            (Lookup::Cancel { ticket, caller, job }, Ok(Some(found)))
                if may_access(&caller, &found.owner) =>
            {
                self.cancel_at_coordinator(ticket, job, found);
            }
            (Lookup::Resubmission { ticket, submission, wait_ms, .. }, Ok(Some(found))) => {
                if found.content_hash == content_hash(&submission) {
                    self.answer_from_record(ticket, found, wait_ms);
                } else {
                    self.answer_job(ticket, Err(Failure::new(Code::KeyReused)));
                }
            }
            (Lookup::Resubmission { ticket, .. }, Ok(None)) => {
                self.answer_job(ticket, Err(Failure::new(Code::StaysWithOldSystem)));
            }
            (Lookup::Status { ticket, .. } | Lookup::Cancel { ticket, .. }, Ok(_)) => {
                self.answer_job(ticket, Err(Failure::new(Code::NoSuchJob)));
            }
            (
                Lookup::Status { ticket, .. }
                | Lookup::Cancel { ticket, .. }
                | Lookup::Resubmission { ticket, .. },
                Err(error),
            ) => {
                let failure = Failure::with_detail(Code::StoreUnavailable, error);
                self.answer_job(ticket, Err(failure.retry_after(RETRY_AFTER_MS)));
            }
        }
    }

    pub(crate) fn cancel_at_coordinator(&mut self, ticket: Ticket, job: JobId, record: JobRecord) {
        if record.outcome.is_some() {
            self.answer_job(ticket, Ok(view_of_record(record, Vec::new())));
            return;
        }
        let coordinator = record.coordinator.clone();
        let live = self.is_live(&coordinator) && coordinator != self.me.daemon;
        if !live
            || !self.call_peer(PeerOp::ProxyReply(ticket), &coordinator, PeerCall::Cancel { job })
        {
            let failure = Failure::with_detail(Code::PeerUnavailable, coordinator);
            self.answer_job(ticket, Err(failure.retry_after(RETRY_AFTER_MS)));
        }
    }

    /// Answers a caller from the record of a job that this daemon doesn't coordinate. If the job
    /// has not finished, its coordinator is asked instead, unless the coordinator is silent or
    /// is this daemon.
    pub(crate) fn answer_from_record(&mut self, ticket: Ticket, record: JobRecord, wait_ms: u64) {
        if record.outcome.is_some() {
            let view = view_of_record(record, Vec::new());
            self.remember_finished(view.clone());
            self.answer_job(ticket, Ok(view));
            return;
        }
        let coordinator = record.coordinator.clone();
        let job = record.job;
        let is_askable = !self.is_silent(&coordinator) && coordinator != self.me.daemon;
        if is_askable
            && self.call_peer(
                PeerOp::ProxyReply(ticket),
                &coordinator,
                PeerCall::Status { job, wait_ms },
            )
        {
            return;
        }
        let note = format!("daemon {coordinator} that ran it is not heard; another takes it over");
        self.answer_job(ticket, Ok(view_of_record(record, vec![note])));
    }

    /// Returns a peer's answer about a job to the caller.
    pub(crate) fn answer_with_peer_reply(
        &mut self,
        ticket: Ticket,
        reply: Result<PeerReply, CallError>,
    ) {
        let result = match reply {
            Ok(PeerReply::Job(result)) => result,
            Ok(_) => Err(Failure::new(Code::Internal)),
            Err(error) => {
                let failure = Failure::with_detail(Code::PeerUnavailable, error);
                Err(failure.retry_after(RETRY_AFTER_MS))
            }
        };
        self.answer_job(ticket, result);
    }

    pub(crate) fn on_store_reply(&mut self, ticket: Ticket, reply: Result<StoreReply, CallError>) {
        self.effects.push(Effect::Answer { ticket, answer: Answer::Store(reply) });
    }
}
