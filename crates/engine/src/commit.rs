//! Writes job records to the platform's table and handles the results.

use stoatwell_ledger::CommitResult;
use stoatwell_ledger::rows;
use stoatwell_model::Class;
use stoatwell_model::Code;
use stoatwell_model::Failure;
use stoatwell_model::JobId;
use stoatwell_model::JobRecord;
use stoatwell_platform::CallError;
use stoatwell_platform::StoreCall;
use stoatwell_platform::StoreReply;

use crate::Engine;
use crate::message::Caller;
use crate::ops::Lookup;
use crate::ops::StoreOp;

impl Engine {
    pub(crate) fn write_job(&mut self, id: JobId) {
        let write_id = self.next_write_id();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.machine.is_writing() {
            return;
        }
        let version = job.machine.version;
        let former_zone = job.machine.former_zone().cloned();
        let record = job.machine.begin_write(write_id);
        let mut write = rows::record_write(record, version, former_zone.as_ref());
        if !job.accepted {
            write.expires_ms = Some(job.accept_until_ms);
        }
        self.sweep.writes.insert(write_id, id);
        self.committer.submit(write_id, write);
    }

    pub(crate) fn commit(&mut self) {
        let given_up = self.committer.take_expired(self.now_ms);
        self.on_commit_results(given_up);
        if let Some(transaction) = self.committer.due(self.now_ms) {
            self.call_store(StoreOp::Commit, StoreCall::Transact(transaction));
        }
    }

    pub(crate) fn on_commit_reply(&mut self, reply: &Result<StoreReply, CallError>) {
        let results = self.committer.on_reply(self.now_ms, reply);
        self.on_commit_results(results);
    }

    pub(crate) fn on_commit_results(&mut self, results: Vec<(u64, CommitResult)>) {
        for (write_id, result) in results {
            let Some(id) = self.sweep.writes.remove(&write_id) else {
                continue;
            };
            match result {
                CommitResult::Written { version } => self.on_written(id, version),
                CommitResult::Conflict { row } => self.on_conflict(id, &row.value),
                CommitResult::NotWritten => self.on_not_written(id),
            }
        }
    }

    pub(crate) fn on_written(&mut self, id: JobId, version: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let newly_accepted = !job.accepted;
        job.accepted = true;
        if job.handing_over {
            self.on_handed_over(id);
            return;
        }
        let taken_over = job.discovery_due_ms.is_some();
        self.drive(id, |machine, now_ms| machine.on_written(now_ms, version));
        if newly_accepted {
            self.on_accepted(id, taken_over);
        }
    }

    pub(crate) fn on_accepted(&mut self, id: JobId, taken_over: bool) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let acceptance_waiters = std::mem::take(&mut job.acceptance_waiters);
        let waiting = job.machine.waiting();
        let is_request = job.machine.record.class == Class::Request;
        for (ticket, wait_ms) in acceptance_waiters {
            self.wait_for_outcome(id, ticket, wait_ms);
        }
        // For a job that was taken over, the tasks that already run are searched for first.
        if !taken_over && !is_request && !waiting.is_empty() {
            self.enqueue(id, waiting);
        }
    }

    /// Drops a job whose record another daemon wrote. That daemon accepted a submission with
    /// the same idempotency key first, or it took the job over because this daemon seemed
    /// dead.
    pub(crate) fn on_conflict(&mut self, id: JobId, row: &str) {
        let Some(mut job) = self.jobs.remove(&id) else {
            return;
        };
        self.scheduler.withdraw(id);
        self.remote.forget_job(id);
        self.drop_request_of(&job);
        let record: Option<JobRecord> = serde_json::from_str(row).ok();
        let same_content = record
            .as_ref()
            .is_some_and(|found| found.content_hash == job.machine.record.content_hash);
        for (ticket, wait_ms) in std::mem::take(&mut job.acceptance_waiters) {
            match &record {
                Some(_) if !same_content => {
                    self.answer_job(ticket, Err(Failure::new(Code::KeyReused)));
                }
                Some(found) => self.answer_from_record(ticket, found.clone(), wait_ms),
                None => self.answer_job(ticket, Err(Failure::new(Code::Internal))),
            }
        }
        for (ticket, until_ms) in job.outcome_waiters {
            let wait_ms = until_ms.saturating_sub(self.now_ms);
            self.look_up(Lookup::Status { ticket, caller: Caller::Operator, job: id, wait_ms });
        }
    }

    /// Drops a job that another daemon has taken over, which this daemon had not noticed.
    pub(crate) fn abandon_job(&mut self, id: JobId, row: &str) {
        self.on_conflict(id, row);
    }

    pub(crate) fn on_not_written(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.accepted {
            self.drive(id, |machine, _| machine.on_not_written());
            return;
        }
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.drop_request_of(&job);
        for (ticket, _) in job.acceptance_waiters {
            self.answer_job(ticket, Err(Failure::new(Code::StoreUnavailable).retry_after(1_000)));
        }
    }
}
