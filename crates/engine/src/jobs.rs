//! Accepted jobs: executes the effects of each job's state machine.

use std::collections::BTreeMap;

use stoatwell_ledger::JobEffect;
use stoatwell_ledger::JobMachine;
use stoatwell_model::AttemptId;
use stoatwell_model::Class;
use stoatwell_model::Code;
use stoatwell_model::Execution;
use stoatwell_model::Failure;
use stoatwell_model::JobId;
use stoatwell_model::JobRecord;
use stoatwell_model::UnixMs;
use stoatwell_model::WorkerId;
use stoatwell_model::job::JobView;
use stoatwell_model::worker::StartTask;
use stoatwell_model::worker::StopMode;
use stoatwell_placement::Decision;
use stoatwell_placement::Placed;
use stoatwell_placement::WaitingJob;

use crate::Engine;
use crate::FINISHED_JOBS_MAX;
use crate::TASKS_PER_CYCLE;
use crate::message::Answer;
use crate::message::Effect;
use crate::message::Observation;
use crate::message::PeerCall;
use crate::message::Ticket;
use crate::ops::PeerOp;

/// One job that this daemon coordinates.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) machine: JobMachine,
    /// What the tasks run. Also set if the record refers to an object with the body.
    pub(crate) body: String,
    /// Whether the record is durable.
    pub(crate) accepted: bool,
    /// Callers that wait for acceptance, each with the time it then waits for the outcome.
    pub(crate) acceptance_waiters: Vec<(Ticket, u64)>,
    /// When the first write of the record is given up. One store timeout later, the callers
    /// that wait for acceptance learn that it is unknown whether the job was accepted.
    pub(crate) accept_until_ms: UnixMs,
    /// Callers that wait for the outcome, each with its deadline.
    pub(crate) outcome_waiters: Vec<(Ticket, UnixMs)>,
    /// Earliest time for the next inquiry about its tasks.
    pub(crate) inquire_not_before_ms: UnixMs,
    /// When the search for the running tasks of a taken-over job begins. `None` for other
    /// jobs, and once the search has begun.
    pub(crate) discovery_due_ms: Option<UnixMs>,
    /// Number of daemons that have not yet replied which of its tasks are on their workers.
    pub(crate) pending_discoveries: u32,
    /// The id of the open request, if its class is request.
    pub(crate) request: Option<u64>,
    /// Whether the job is being handed over to another daemon.
    pub(crate) handing_over: bool,
}

impl Job {
    pub(crate) fn new(machine: JobMachine, body: String) -> Self {
        Self {
            machine,
            body,
            accepted: false,
            acceptance_waiters: Vec::new(),
            accept_until_ms: 0,
            outcome_waiters: Vec::new(),
            inquire_not_before_ms: 0,
            discovery_due_ms: None,
            pending_discoveries: 0,
            request: None,
            handing_over: false,
        }
    }
}

impl Engine {
    /// Executes the effects that a job's state machine returned.
    pub(crate) fn apply_effects(&mut self, id: JobId, effects: Vec<JobEffect>) {
        for effect in effects {
            match effect {
                JobEffect::Enqueue(attempts) => self.enqueue(id, attempts),
                JobEffect::Start(attempts) => self.start_attempts(id, &attempts),
                JobEffect::Stop(attempts) => self.stop_attempts(id, &attempts),
                JobEffect::Dequeue => {
                    self.scheduler.withdraw(id);
                    self.drop_unsent_request(id);
                }
                JobEffect::Write => self.write_job(id),
                JobEffect::Finished => self.on_outcome_durable(id),
            }
        }
    }

    /// Applies one step to a job's state machine and executes the resulting effects.
    pub(crate) fn drive(
        &mut self,
        id: JobId,
        step: impl FnOnce(&mut JobMachine, UnixMs) -> Vec<JobEffect>,
    ) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let effects = step(&mut job.machine, now_ms);
        self.apply_effects(id, effects);
    }

    pub(crate) fn enqueue(&mut self, id: JobId, attempts: Vec<AttemptId>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.handing_over || !job.accepted {
            return;
        }
        if job.machine.record.class == Class::Request {
            self.requeue_request(id);
            return;
        }
        // An attempt may have been placed here while a reservation for it at a peer was
        // pending. If it were queued again, it would start on a second worker.
        let machine = &job.machine;
        let attempts: Vec<AttemptId> =
            attempts.into_iter().filter(|attempt| machine.is_waiting(*attempt)).collect();
        if attempts.is_empty() {
            return;
        }
        let waiting = waiting_job(&machine.record, attempts);
        self.scheduler.enqueue(waiting);
        self.schedule_due = true;
    }

    /// Runs one scheduling cycle and starts what was placed.
    pub(crate) fn schedule(&mut self) {
        for decision in self.scheduler.schedule(self.now_ms, TASKS_PER_CYCLE) {
            match decision {
                Decision::Start { job, tasks } => self.on_placed(job, tasks),
                Decision::Expired { job, tasks } => {
                    self.drive(job, |machine, now_ms| machine.expire(now_ms, &tasks));
                }
            }
        }
    }

    fn on_placed(&mut self, id: JobId, tasks: Vec<Placed>) {
        let mut placed = Vec::new();
        let mut unplaced = Vec::new();
        let mut evicted = 0;
        for task in &tasks {
            for victim in &task.evict {
                self.queue_stop(&task.worker, *victim, StopMode::Checkpoint);
                evicted += 1;
            }
            match self.leases.token(self.now_ms, &task.worker) {
                Some(token) => placed.push((task.attempt, task.worker.clone(), token)),
                None => unplaced.push(task.attempt),
            }
        }
        // The lease on the worker has just expired, so the task waits again.
        for attempt in unplaced {
            self.scheduler.release_unstarted(self.now_ms, attempt);
            self.enqueue(id, vec![attempt]);
        }
        if let Some(job) = self.jobs.get_mut(&id)
            && let Some(first) = tasks.first()
        {
            let count = tasks.len();
            let placement_note = if evicted > 0 {
                format!("after {evicted} patient tasks gave way")
            } else {
                "which kept the least unused room".to_owned()
            };
            job.machine.note(format!(
                "{count} tasks placed, the first on {} {placement_note}",
                first.worker
            ));
        }
        self.drive(id, |machine, now_ms| machine.on_placed(now_ms, &placed));
    }

    fn start_attempts(&mut self, id: JobId, attempts: &[AttemptId]) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.machine.record.class == Class::Request {
            self.send_recorded_request(id);
            return;
        }
        let record = &job.machine.record;
        let orphan_ms = match record.execution {
            Execution::Exclusive => Some(self.settings.leases.orphan_ms),
            Execution::AtMostOnce | Execution::Idempotent => None,
        };
        let mut starts = Vec::new();
        for attempt in attempts {
            let Some(worker) = job.machine.worker_of(*attempt) else {
                continue;
            };
            let local = self.scheduler.cell.running(*attempt).map(|running| running.demand);
            let demand =
                local.or_else(|| self.remote.reserved_demand(*attempt)).unwrap_or(record.demand);
            let start = StartTask {
                attempt: *attempt,
                demand,
                coordinator: self.me.daemon.clone(),
                entry: record.entry.to_string(),
                payload: job.body.clone(),
                orphan_ms,
            };
            starts.push((worker, start));
        }
        let mut unsent = Vec::new();
        for (worker, start) in starts {
            let attempt = start.attempt;
            if self.remote.is_reserved_at_peer(attempt) {
                self.remote.queue_start(worker, start);
            } else if !self.queue_start(&worker, start) {
                unsent.push((attempt, worker));
            }
        }
        self.send_remote_starts();
        // The worker's lease was lost before the start was sent, so it did not start.
        for (attempt, worker) in unsent {
            self.release_unstarted(attempt);
            self.on_observation(attempt, &worker, Observation::Absent);
        }
    }

    fn stop_attempts(&mut self, id: JobId, attempts: &[AttemptId]) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut stops = Vec::new();
        for attempt in attempts {
            stops.extend(job.machine.worker_of(*attempt).map(|worker| (*attempt, worker)));
        }
        let mut on_other_holders = Vec::new();
        for (attempt, worker) in stops {
            if !self.queue_stop(&worker, attempt, StopMode::Stop) {
                on_other_holders.push((attempt, worker));
            }
        }
        if on_other_holders.is_empty() {
            return;
        }
        // Only the daemon that holds a worker can stop tasks on it.
        let worker_of = |(_, worker): &(AttemptId, WorkerId)| worker.clone();
        for (peer, attempts) in self.group_by_daemon(&on_other_holders, worker_of) {
            let call = PeerCall::Stop { attempts, mode: StopMode::Stop };
            self.call_peer(PeerOp::Notification, &peer, call);
        }
    }

    /// Answers the waiting callers and cleans up, now that the outcome is durable.
    fn on_outcome_durable(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.scheduler.withdraw(id);
        self.remote.forget_job(id);
        let view = job.machine.view(Vec::new());
        for (ticket, _) in job.outcome_waiters.iter().chain(&job.acceptance_waiters) {
            self.answer_job(*ticket, Ok(view.clone()));
        }
        let attempts = job.machine.attempts_with_workers();
        self.remember_finished(view);
        self.clean_up_job_tasks(id);
        self.acknowledge_at_holders(attempts);
    }

    fn acknowledge_at_holders(&mut self, mut attempts: BTreeMap<AttemptId, WorkerId>) {
        attempts.retain(|_, worker| !self.held.contains_key(worker));
        if attempts.is_empty() {
            return;
        }
        let attempts: Vec<(AttemptId, WorkerId)> = attempts.into_iter().collect();
        let worker_of = |(_, worker): &(AttemptId, WorkerId)| worker.clone();
        for (peer, attempts) in self.group_by_daemon(&attempts, worker_of) {
            self.call_peer(PeerOp::Notification, &peer, PeerCall::Acknowledge { attempts });
        }
    }

    pub(crate) fn remember_finished(&mut self, view: JobView) {
        let id = view.job;
        if self.finished_jobs.insert(id, view).is_none() {
            self.finished_order.push_back(id);
        }
        if self.finished_order.len() > FINISHED_JOBS_MAX
            && let Some(oldest) = self.finished_order.pop_front()
        {
            self.finished_jobs.remove(&oldest);
        }
    }

    /// Lets a caller wait for the outcome. Answers at once if `wait_ms` is 0, or if this
    /// daemon does not coordinate the job.
    pub(crate) fn wait_for_outcome(&mut self, id: JobId, ticket: Ticket, wait_ms: u64) {
        let until_ms = self.now_ms + wait_ms.min(self.settings.http.wait_max_ms);
        if wait_ms > 0
            && let Some(job) = self.jobs.get_mut(&id)
        {
            job.outcome_waiters.push((ticket, until_ms));
            return;
        }
        let view = self.view(id);
        let view = view.or_else(|| self.finished_jobs.get(&id).cloned());
        self.answer_job(ticket, view.ok_or_else(|| Failure::new(Code::NoSuchJob)));
    }

    pub(crate) fn expire_waiters(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        let mut unknown = Vec::new();
        for (id, job) in &mut self.jobs {
            if !job.accepted
                && job.accept_until_ms + self.settings.platform.store_timeout_ms <= now_ms
            {
                unknown.extend(std::mem::take(&mut job.acceptance_waiters));
            }
            let (expired, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut job.outcome_waiters)
                .into_iter()
                .partition(|(_, until_ms)| *until_ms <= now_ms);
            job.outcome_waiters = waiting;
            due.extend(expired.into_iter().map(|(ticket, _)| (ticket, *id)));
        }
        for (ticket, _) in unknown {
            self.answer_job(ticket, Err(Failure::new(Code::AcceptanceUnknown).retry_after(1_000)));
        }
        for (ticket, id) in due {
            let view = self.view(id).ok_or_else(|| Failure::new(Code::NoSuchJob));
            self.answer_job(ticket, view);
        }
    }

    /// The current state of a job that this daemon coordinates.
    pub(crate) fn view(&mut self, id: JobId) -> Option<JobView> {
        let reasons = self.scheduler.pending_reasons(self.now_ms, id);
        let job = self.jobs.get(&id)?;
        Some(job.machine.view(reasons))
    }

    pub(crate) fn answer_job(&mut self, ticket: Ticket, result: Result<JobView, Failure>) {
        self.effects.push(Effect::Answer { ticket, answer: Answer::Job(result) });
    }
}

pub(crate) fn waiting_job(record: &JobRecord, attempts: Vec<AttemptId>) -> WaitingJob {
    WaitingJob {
        job: record.job,
        owner: record.owner.clone(),
        entry: record.entry.clone(),
        class: record.class,
        execution: record.execution,
        urgency: record.urgency,
        demand: record.demand,
        accepted_ms: record.accepted_ms,
        deadline_ms: record.deadline_ms,
        tasks: attempts.into(),
        not_before_ms: 0,
    }
}
