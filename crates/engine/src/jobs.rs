//! Accepted work: carrying out what each job's machine asks for.

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
use crate::TASKS_PER_PASS;
use crate::message::Answer;
use crate::message::Effect;
use crate::message::Observation;
use crate::message::PeerCall;
use crate::message::Ticket;
use crate::ops::PeerOp;

/// One job that runs here.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) machine: JobMachine,
    /// What to run; kept here also where the record names an object.
    pub(crate) body: String,
    /// Whether its record is durable.
    pub(crate) accepted: bool,
    /// Callers that wait for the acceptance, each with how long it then waits on.
    pub(crate) acceptance_waiters: Vec<(Ticket, u64)>,
    /// When those callers are told that nothing is known.
    pub(crate) accept_until_ms: UnixMs,
    /// Callers that wait for the outcome, each until a time.
    pub(crate) outcome_waiters: Vec<(Ticket, UnixMs)>,
    /// Workers are not asked about its tasks before this time.
    pub(crate) inquire_not_before_ms: UnixMs,
    /// When a job that was taken over looks for its running tasks.
    pub(crate) discovery_due_ms: Option<UnixMs>,
    /// Daemons that have yet to say which of its tasks they have.
    pub(crate) pending_discoveries: u32,
    /// The request that it is, where its class is that.
    pub(crate) request: Option<u64>,
    /// Whether it is being handed over to another daemon.
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
    /// Carries out what a machine asked for.
    pub(crate) fn run(&mut self, id: JobId, effects: Vec<JobEffect>) {
        for effect in effects {
            match effect {
                JobEffect::Enqueue(attempts) => self.enqueue(id, attempts),
                JobEffect::Start(attempts) => self.start(id, &attempts),
                JobEffect::Stop(attempts) => self.stop(id, &attempts),
                JobEffect::Withdraw => {
                    self.scheduler.withdraw(id);
                    self.drop_waiting_request(id);
                }
                JobEffect::Write => self.write_job(id),
                JobEffect::Finished => self.finish(id),
            }
        }
    }

    /// Feeds one event to a job's machine and carries out the rest.
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
        self.run(id, effects);
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
        // Room may have been asked elsewhere for what was placed here meanwhile;
        // queued once more it would start on a second worker.
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

    /// Places what waits and starts it.
    pub(crate) fn schedule(&mut self) {
        for decision in self.scheduler.schedule(self.now_ms, TASKS_PER_PASS) {
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
                self.stop_here(&task.worker, *victim, StopMode::Checkpoint);
                evicted += 1;
            }
            match self.leases.token(self.now_ms, &task.worker) {
                Some(token) => placed.push((task.attempt, task.worker.clone(), token)),
                None => unplaced.push(task.attempt),
            }
        }
        // A lease that ran out just now; the task waits for another worker.
        for attempt in unplaced {
            self.scheduler.release_unstarted(self.now_ms, attempt);
            self.enqueue(id, vec![attempt]);
        }
        if let Some(job) = self.jobs.get_mut(&id)
            && let Some(first) = tasks.first()
        {
            let count = tasks.len();
            let room = if evicted > 0 {
                format!("after {evicted} patient tasks gave way")
            } else {
                "which kept the least unused room".to_owned()
            };
            job.machine.note(format!("{count} tasks placed, the first on {} {room}", first.worker));
        }
        self.drive(id, |machine, now_ms| machine.on_placed(now_ms, &placed));
    }

    fn start(&mut self, id: JobId, attempts: &[AttemptId]) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.machine.record.class == Class::Request {
            self.ask_recorded(id);
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
            let demand = local.or_else(|| self.remote.demand_of(*attempt)).unwrap_or(record.demand);
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
        let mut absent = Vec::new();
        for (worker, start) in starts {
            let attempt = start.attempt;
            if self.remote.is_reserved(attempt) {
                self.remote.start(worker, start);
            } else if !self.start_here(&worker, start) {
                absent.push((attempt, worker));
            }
        }
        self.send_remote_starts();
        // The worker was lost before the start was sent, so it did not start.
        for (attempt, worker) in absent {
            self.not_started(attempt);
            self.on_seen(attempt, &worker, Observation::Absent);
        }
    }

    fn stop(&mut self, id: JobId, attempts: &[AttemptId]) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut stops = Vec::new();
        for attempt in attempts {
            stops.extend(job.machine.worker_of(*attempt).map(|worker| (*attempt, worker)));
        }
        let mut elsewhere = Vec::new();
        for (attempt, worker) in stops {
            if !self.stop_here(&worker, attempt, StopMode::Stop) {
                elsewhere.push((attempt, worker));
            }
        }
        if elsewhere.is_empty() {
            return;
        }
        // Only the holder of each worker acts on it.
        let of = |(_, worker): &(AttemptId, WorkerId)| worker.clone();
        for (peer, attempts) in self.by_daemon(&elsewhere, of) {
            let call = PeerCall::Stop { attempts, mode: StopMode::Stop };
            self.call_peer(PeerOp::Notification, &peer, call);
        }
    }

    /// The outcome is durable.
    fn finish(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.scheduler.withdraw(id);
        self.remote.forget(id);
        let view = job.machine.view(Vec::new());
        for (ticket, _) in job.outcome_waiters.iter().chain(&job.acceptance_waiters) {
            self.answer_job(*ticket, Ok(view.clone()));
        }
        let attempts = job.machine.attempts_with_workers();
        self.remember_finished(view);
        self.end_orphans(id);
        self.acknowledge_elsewhere(attempts);
    }

    fn acknowledge_elsewhere(&mut self, mut attempts: BTreeMap<AttemptId, WorkerId>) {
        attempts.retain(|_, worker| !self.held.contains_key(worker));
        if attempts.is_empty() {
            return;
        }
        let attempts: Vec<(AttemptId, WorkerId)> = attempts.into_iter().collect();
        let of = |(_, worker): &(AttemptId, WorkerId)| worker.clone();
        for (peer, attempts) in self.by_daemon(&attempts, of) {
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

    /// Lets a caller wait for the outcome, or answers at once.
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
            let (over, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut job.outcome_waiters)
                .into_iter()
                .partition(|(_, until_ms)| *until_ms <= now_ms);
            job.outcome_waiters = waiting;
            due.extend(over.into_iter().map(|(ticket, _)| (ticket, *id)));
        }
        for (ticket, _) in unknown {
            self.answer_job(ticket, Err(Failure::new(Code::AcceptanceUnknown).retry_after(1_000)));
        }
        for (ticket, id) in due {
            let view = self.view(id).ok_or_else(|| Failure::new(Code::NoSuchJob));
            self.answer_job(ticket, view);
        }
    }

    /// How a job that runs here is.
    pub(crate) fn view(&mut self, id: JobId) -> Option<JobView> {
        let waits = self.scheduler.pending_reasons(self.now_ms, id);
        let job = self.jobs.get(&id)?;
        Some(job.machine.view(waits))
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
