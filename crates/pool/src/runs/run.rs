//! The life cycle of a run: its start is recorded in the store, sent to the worker, and
//! confirmed by the worker's answer or by the answer to a hold; then the run ends or is
//! stopped.
//!
//! A start without an answer may have been carried out, so its worker is asked for the list of
//! its runs. If the run is not in that list, the start may still arrive. While its row is fresh,
//! it is sent again, which has no effect on a run that exists. Otherwise the run is stopped, after
//! which the worker refuses the start.
//!
//! A speculative task may have several runs at the same time, of which the first one that
//! succeeds counts. The scheduler itself tracks only the newest run of a task.

use std::collections::BTreeMap;
use std::sync::Arc;

use stoatwell_model::WorkerId;

use crate::INCARNATION_BITS;
use crate::Pool;
use crate::commit::AfterCommit;
use crate::event::CallError;
use crate::event::Callee;
use crate::event::Effect;
use crate::event::OverdueCall;
use crate::event::RunOutcome;
use crate::event::StartCall;
use crate::event::StartReply;
use crate::event::StopCall;
use crate::id::TaskId;
use crate::jobs::job::Advice;
use crate::jobs::job::Phase;
use crate::jobs::job::Task;
use crate::jobs::record::Outcome;
use crate::runs::gangs::AttemptBudget;
use crate::runs::gangs::GangFailure;
use crate::workers::holds::DELIVERY_MAX_MS;
use crate::workers::holds::LATE_REQUEST_MS;
use crate::workers::worker::Worker;

/// How long a start may be sent to its worker after the write of its row was sent. The write
/// fails if the job is cancelled, so no start is sent later than this after a cancellation has
/// become durable.
pub const START_VALIDITY_MS: u64 = 2_000;
/// The part of [`START_VALIDITY_MS`] after which the scheduler passes no start on. The rest is
/// for the way through an executor. It exceeds the time after which a write is given up: in a
/// store that takes that long, a row that is written again would be as old as before.
const START_AGE_MAX_MS: u64 = 1_600;
/// How often the start of a run is sent at most.
const STARTS_SENT_MAX: u32 = 2;
/// The time that a start needs to reach its worker.
const START_LATENCY_MS: u64 = 15;
/// How long a worker gets no new tasks after it refused a start because it had no capacity
/// or answered [`StartReply::Unwell`]: it is overloaded or unavailable.
const REFUSED_START_PAUSE_MS: u64 = 500;

/// Why a start is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartObstacle {
    /// Its row was written so long ago that the job may have been cancelled since.
    OldRow,
    /// The worker has restarted, fallen silent or begun to drain.
    ClosedWorker,
    /// The ticket would be refused, as after a long outage of the store.
    ExpiredTicket,
    /// The other members of its gang would not wait for it any more.
    AttemptOver,
}

impl Pool {
    /// Sends a start whose row has become durable; the write was sent at `written_ms`.
    pub(crate) fn send_start(&mut self, id: TaskId, run: u32, written_ms: u64) {
        let Some(task) = self.jobs.get_mut(&id.step.job).and_then(|job| job.task_mut(id)) else {
            return;
        };
        if task.phase != Phase::Recorded || task.run != run {
            let (phase, newest_run) = (task.phase, task.run);
            tracing::info!(task = %id, run, newest_run, ?phase, "start not sent: its placement was withdrawn");
            return;
        }
        let Some(worker) = task.worker.clone() else { return };
        match self.try_send_start(id, written_ms) {
            Ok(()) => {}
            Err(StartObstacle::OldRow) => {
                let age_ms = self.now_ms - written_ms;
                tracing::info!(task = %id, run, age_ms, "start not sent: its row was written too long ago and is written again");
                self.commits.mark_dirty(id.step.job, AfterCommit::Start { task: id, run });
            }
            Err(StartObstacle::ClosedWorker) => {
                tracing::info!(task = %id, run, %worker, "start not sent: the worker takes none; the task is queued again");
                self.requeue_unstarted(id, GangFailure::ClosedWorker);
            }
            Err(StartObstacle::ExpiredTicket) => {
                tracing::info!(task = %id, run, %worker, "start not sent: its ticket expired; the task is queued again");
                self.requeue_unstarted(id, GangFailure::ExpiredTicket);
            }
            Err(StartObstacle::AttemptOver) => {
                tracing::info!(task = %id, run, %worker, "start not sent: the other members of its gang have waited for too long; the task is queued again");
                self.requeue_unstarted(id, GangFailure::NotAssembled);
            }
        }
    }

    /// Sends the start of a task's newest run if its worker would accept it.
    fn try_send_start(&mut self, id: TaskId, written_ms: u64) -> Result<(), StartObstacle> {
        let now_ms = self.now_ms;
        let lease_ms = self.limits.lease_ms;
        if now_ms > written_ms + START_AGE_MAX_MS {
            return Err(StartObstacle::OldRow);
        }
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return Ok(()) };
        let payload = Arc::clone(&job.payload);
        let gangs = self.limits.gangs;
        let needs_ticket = job.spec.queue.advice.is_some();
        let Some(step_index) = job.step_index(id.step) else { return Ok(()) };
        let is_gang = job.step_spec(step_index).gang;
        let step_state = &mut job.step_states[step_index];
        let assembled_by_ms = is_gang.then(|| {
            let first_start_ms = step_state.first_start_ms.unwrap_or(now_ms);
            AttemptBudget::new(first_start_ms, gangs).assembled_by_ms
        });
        if assembled_by_ms.is_some_and(|assembled_by_ms| now_ms >= assembled_by_ms) {
            return Err(StartObstacle::AttemptOver);
        }
        let Some(task) = step_state.tasks.get_mut(id.index as usize) else { return Ok(()) };
        let Some(name) = task.worker.clone() else { return Ok(()) };
        let Some(worker) = self.workers.get_mut(&name) else { return Ok(()) };
        let may_start = worker.held && !worker.info.draining && worker.silent.is_none();
        let Some(until_ms) = worker.lease_end(now_ms, lease_ms).filter(|_| may_start) else {
            return Err(StartObstacle::ClosedWorker);
        };
        let ticket = step_state.advice.granted.get(&worker.index).filter(|_| needs_ticket);
        if ticket.is_some_and(|ticket| {
            !ticket.is_fresh(worker.info.incarnation, now_ms + START_LATENCY_MS)
        }) {
            return Err(StartObstacle::ExpiredTicket);
        }
        let ticket = ticket.map(|ticket| ticket.text.clone());
        worker.record_extension(until_ms, now_ms);
        let life = worker.info.incarnation;
        task.phase = Phase::Sent;
        task.last_progress_ms = now_ms;
        task.start_written_ms = written_ms;
        task.starts_sent += 1;
        task.start_expires_ms = now_ms + start_lifetime_ms(needs_ticket);
        let run = task.run;
        let checkpoint = task.checkpoint.clone();
        job.start_sent = true;
        let to = callee(self.election.epoch, &self.workers, &name);
        let Some(to) = to else { return Ok(()) };
        let row_age_ms = now_ms.saturating_sub(written_ms);
        tracing::info!(task = %id, run, worker = %name, life, until_ms, row_age_ms, "start sent");
        self.note_member_start(id);
        self.effects.push(Effect::Start(StartCall {
            to,
            task: id,
            run,
            spec: payload,
            until_ms,
            checkpoint,
            ticket,
            written_ms,
            assembled_by_ms,
        }));
        Ok(())
    }

    pub(crate) fn on_started(
        &mut self,
        id: TaskId,
        run: u32,
        from: &WorkerId,
        reply: Result<StartReply, CallError>,
    ) {
        let now_ms = self.now_ms;
        let turn = self.turn;
        if let Some(worker) = self.workers.get_mut(from) {
            match &reply {
                Ok(StartReply::NoRoom | StartReply::Unwell) | Err(CallError::Unwell) => {
                    worker.quarantine_until_ms =
                        worker.quarantine_until_ms.max(now_ms + REFUSED_START_PAUSE_MS);
                }
                Err(CallError::NoAnswer | CallError::NotSent) => worker.unanswered_calls += 1,
                Err(CallError::Refused) => {
                    worker.unanswered_calls += 1;
                    worker.refuses_connections = true;
                }
                _ => {}
            }
        }
        let answered_by_known_clock = match reply {
            Ok(StartReply::Started { clock_ms }) => self.note_start_clock(from, clock_ms),
            _ => false,
        };
        let Some(task) = self.task_for_run(id, run, from) else { return };
        task.start_answered_by_known_clock |= answered_by_known_clock;
        if !matches!(task.phase, Phase::Sent) {
            // Usually the worker's report has said the same before.
            tracing::debug!(task = %id, run, worker = %from, phase = ?task.phase, ?reply, "answer to a start ignored");
            return;
        }
        // An earlier copy of the start may still arrive after this answer.
        let is_repeated = task.starts_sent > 1;
        match reply {
            Ok(StartReply::Started { .. }) => {
                task.phase = Phase::Running { since_turn: turn };
                task.last_progress_ms = now_ms;
                task.running_since_ms = now_ms;
                self.mark_start_confirmed(id);
                self.log_assembled_gang(id);
            }
            Err(CallError::NoAnswer) => {
                tracing::warn!(task = %id, run, worker = %from, "start not answered; its worker is asked whether it runs");
                task.phase = Phase::Unconfirmed { since_turn: turn };
                if let Some(worker) = self.workers.get_mut(from) {
                    worker.unconfirmed_turn = Some(turn);
                    worker.probe_due = true;
                }
            }
            Ok(StartReply::OldRun) => self.stop_unconfirmed(id, from, reply),
            Ok(answer) => {
                if answer == StartReply::BadTicket {
                    self.invalidate_ticket(id, from);
                }
                if is_repeated {
                    self.stop_unconfirmed(id, from, reply);
                    return;
                }
                tracing::warn!(task = %id, run, worker = %from, %answer, "start refused by the worker; the task is queued again");
                self.requeue_unstarted(id, GangFailure::of_reply(answer));
            }
            Err(_) if is_repeated => self.stop_unconfirmed(id, from, reply),
            Err(error) => {
                tracing::warn!(task = %id, run, worker = %from, %error, "start not carried out; the task is queued again");
                self.requeue_unstarted(id, GangFailure::NotCarriedOut);
            }
        }
    }

    /// Whether the answer to a start certainly came from the clock on which the worker's lease is
    /// counted. If not, the worker may have restarted, and is asked at once.
    fn note_start_clock(&mut self, from: &WorkerId, clock_ms: u64) -> bool {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(from) else { return false };
        let Some(known_clock_ms) = worker.estimated_clock_ms(now_ms) else { return false };
        let is_known = worker.is_known_clock(clock_ms, now_ms);
        if !is_known {
            let life = worker.info.incarnation;
            tracing::info!(worker = %from, life, clock_ms, known_clock_ms, "start answered late or by another clock");
            worker.probe_due = true;
        }
        is_known
    }

    /// Handles that a worker does not list a run whose start it has not answered.
    pub(crate) fn on_start_not_found(&mut self, id: TaskId, from: &WorkerId) {
        let Some(task) = self.jobs.get_mut(&id.step.job).and_then(|job| job.task_mut(id)) else {
            return;
        };
        if !matches!(task.phase, Phase::Unconfirmed { .. }) {
            return;
        }
        let (run, written_ms) = (task.run, task.start_written_ms);
        if task.starts_sent < STARTS_SENT_MAX && self.try_send_start(id, written_ms).is_ok() {
            tracing::info!(task = %id, run, worker = %from, "the worker does not list the run; its start is sent again");
            return;
        }
        self.stop_unconfirmed(id, from, Err(CallError::NoAnswer));
    }

    fn stop_unconfirmed(
        &mut self,
        id: TaskId,
        from: &WorkerId,
        reply: Result<StartReply, CallError>,
    ) {
        let Some(task) = self.jobs.get_mut(&id.step.job).and_then(|job| job.task_mut(id)) else {
            return;
        };
        let run = task.run;
        tracing::warn!(task = %id, run, worker = %from, ?reply, "start not confirmed; the run is stopped");
        self.stop_other_members(id, GangFailure::of_unconfirmed(reply));
        self.stop(id);
    }

    /// Records that earlier leaders may have sent starts of a run whose row names its worker. Nothing
    /// says whether they did, nor what became of them.
    pub(crate) fn expect_earlier_starts(&mut self, id: TaskId) {
        let last_sent_ms = self.started_ms + START_VALIDITY_MS;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        if job.spec.queue.advice.is_some() {
            return;
        }
        let Some(task) = job.task_mut(id) else { return };
        task.start_expires_ms = last_sent_ms + start_lifetime_ms(false);
    }

    /// Records that a worker has confirmed the start of a task of the job.
    pub(crate) fn mark_start_confirmed(&mut self, id: TaskId) {
        if let Some(job) = self.jobs.get_mut(&id.step.job) {
            job.start_confirmed = true;
            self.job_index.update_pending(job);
        }
    }

    /// Queues a task again after a start that certainly created no run.
    ///
    /// The other members of a gang cannot work without the task. They may run already, so
    /// they are stopped, and the whole gang is placed again.
    pub(crate) fn requeue_unstarted(&mut self, id: TaskId, failure: GangFailure) {
        self.release(id);
        self.stop_other_members(id, failure);
        self.requeue(id);
    }

    /// Makes sure that a task does not run on the worker it was placed on. The capacity
    /// of a run that may have been sent stays allocated until the run is known to be gone.
    pub(crate) fn stop(&mut self, id: TaskId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        match task.phase {
            Phase::Waiting | Phase::Done | Phase::Stopping { .. } => return,
            Phase::Reserved | Phase::Recorded => {
                tracing::info!(task = %id, run = task.run, phase = ?task.phase, "placement withdrawn");
                self.release(id);
                self.requeue(id);
                return;
            }
            Phase::Sent | Phase::Unconfirmed { .. } | Phase::Running { .. } | Phase::Adopted => {}
        }
        task.phase = Phase::Stopping { answered_turn: None, sent_ms: now_ms };
        self.send_stop(id);
    }

    pub(crate) fn send_stop(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        let Some(name) = &task.worker else { return };
        let Some(to) = callee(self.election.epoch, &self.workers, name) else { return };
        let run = task.run;
        tracing::info!(task = %id, run, worker = %name, "stop sent");
        self.effects.push(Effect::Stop(StopCall { to, task: id, run }));
    }

    /// Handles that the answer to a call is overdue: the same is asked or sent again, by a way that
    /// has not just failed.
    pub(crate) fn on_overdue(&mut self, name: &WorkerId, call: OverdueCall) {
        let now_ms = self.now_ms;
        match call {
            OverdueCall::Hold { turn } => {
                let Some(worker) = self.workers.get_mut(name) else { return };
                if worker.hold_turn.take_if(|pending| *pending == turn).is_some() {
                    worker.next_hold_ms = now_ms;
                    worker.probe_due = true;
                }
            }
            OverdueCall::Start { task: id, run } => {
                let Some(task) = self.task_for_run(id, run, name) else { return };
                if task.phase != Phase::Sent {
                    return;
                }
                if let Some(worker) = self.workers.get_mut(name) {
                    worker.probe_due = true;
                }
            }
            OverdueCall::Stop { task: id, run } => {
                let Some(task) = self.task_for_run(id, run, name) else { return };
                let Phase::Stopping { answered_turn: None, sent_ms } = &mut task.phase else {
                    return;
                };
                *sent_ms = now_ms;
                self.send_stop(id);
            }
        }
    }

    pub(crate) fn on_stopped(
        &mut self,
        id: TaskId,
        run: u32,
        from: &WorkerId,
        reply: Result<(), CallError>,
    ) {
        let now_ms = self.now_ms;
        let turn = self.turn;
        let Some(task) = self.task_for_run(id, run, from) else { return };
        let Phase::Stopping { answered_turn, sent_ms } = &mut task.phase else { return };
        if let Err(error) = reply {
            tracing::warn!(task = %id, run, worker = %from, %error, "stop not answered; it is sent again");
            *sent_ms = now_ms;
            return;
        }
        if answered_turn.is_none() {
            *answered_turn = Some(turn);
        }
        if let Some(worker) = self.workers.get_mut(from) {
            worker.probe_due = true;
        }
    }

    /// Handles the end of a run that a worker listed. `checkpoint` is empty if there is none.
    pub(crate) fn on_run_ended(
        &mut self,
        id: TaskId,
        run: u32,
        from: &WorkerId,
        end: RunOutcome,
        checkpoint: &str,
    ) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(step_index) = job.step_index(id.step) else { return };
        let step = job.step_spec(step_index);
        let gang = step.gang;
        let long_running = step.long_running;
        let speculative = step.speculative;
        let job_ended = job.outcome.is_some();
        let Some(task) = job.task_mut(id) else { return };
        let is_newest_run = task.run == run && task.worker.as_ref() == Some(from);
        let is_speculative_success = speculative && end == RunOutcome::Done;
        if !is_newest_run {
            if is_speculative_success {
                tracing::info!(task = %id, run, worker = %from, "another run of a speculative task completed");
                self.on_other_run_done(id);
            }
            return;
        }
        if task.phase == Phase::Done {
            // The task belongs to a gang and was marked done when another member completed.
            // Its own run has ended only now, so its capacity is free only now.
            self.release(id);
            return;
        }
        let other_run_done = task.other_run_done;
        if !checkpoint.is_empty() {
            checkpoint.clone_into(&mut task.checkpoint);
        }
        // The duration of a run that an earlier leader placed is not known.
        let took_ms = (task.recorded_ms > 0).then(|| now_ms.saturating_sub(task.recorded_ms));
        tracing::info!(task = %id, run, worker = %from, %end, took_ms, "run ended");
        if let Some(took_ms) = took_ms.filter(|_| end == RunOutcome::Done && run == 1) {
            self.estimates.record_run(&job.spec.queue.name, took_ms);
        }
        job.start_confirmed = true;
        self.job_index.update_pending(job);
        self.release(id);
        if let Some(worker) = self.workers.get_mut(from) {
            match end {
                RunOutcome::Done => worker.record_success(),
                RunOutcome::Failed if worker.record_failure(now_ms, 1) => {
                    tracing::warn!(worker = %from, "worker quarantined; runs fail on it");
                }
                _ => {}
            }
        }
        if job_ended || other_run_done {
            return;
        }
        match end {
            RunOutcome::Done if !long_running => self.on_done(id, gang),
            RunOutcome::Failed if !long_running => self.on_failed(id, run, gang),
            _ => {
                if gang {
                    self.stop_other_members(id, GangFailure::of_end(end));
                }
                self.requeue(id);
            }
        }
    }

    fn on_done(&mut self, id: TaskId, gang: bool) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(step_index) = job.step_index(id.step) else { return };
        let mut members = vec![id.index];
        if gang {
            // The members end together, so when one completes, all of them are done.
            members = (0..job.step_states[step_index].tasks.len() as u32).collect();
        }
        for index in members {
            let task = &mut job.step_states[step_index].tasks[index as usize];
            if task.phase == Phase::Done {
                continue;
            }
            // The capacity of another member stays allocated until its worker lists its end.
            task.phase = Phase::Done;
            job.step_states[step_index].remaining_tasks -= 1;
        }
        if gang {
            self.end_gang_attempt(id.step);
        }
        self.on_step_progress(id, step_index);
    }

    /// Handles the completion of an earlier run of a speculative task. The newest run may
    /// still be active: it is stopped, and its capacity stays allocated until it is gone.
    fn on_other_run_done(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(step_index) = job.step_index(id.step) else { return };
        let job_ended = job.outcome.is_some();
        let Some(task) = job.task_mut(id) else { return };
        if job_ended || task.is_done() {
            return;
        }
        task.other_run_done = true;
        if task.phase == Phase::Waiting {
            task.phase = Phase::Done;
        }
        job.step_states[step_index].remaining_tasks -= 1;
        self.stop(id);
        self.on_step_progress(id, step_index);
    }

    /// Handles the completion of a task. If it was the last one of its step, the job ends,
    /// or the steps that depend on this step are queued.
    fn on_step_progress(&mut self, id: TaskId, step_index: usize) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        if job.step_states[step_index].remaining_tasks > 0 {
            return;
        }
        // The tickets of a hundred workers take most of a job's memory.
        job.step_states[step_index].advice = Advice::default();
        if job.is_done() {
            self.finish(id.step.job, Outcome::Completed);
            return;
        }
        for other_step_index in 0..job.step_states.len() {
            self.enqueue_if_ready(id.step.job, other_step_index);
        }
    }

    fn on_failed(&mut self, id: TaskId, run: u32, gang: bool) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let attempts_max = job.spec.queue.attempts_max;
        let Some(step_index) = job.step_index(id.step) else { return };
        let mut failures = 0;
        for (index, task) in job.step_states[step_index].tasks.iter_mut().enumerate() {
            if (!gang && index as u32 != id.index) || task.failed_run >= run {
                failures = failures.max(if index as u32 == id.index { task.failures } else { 0 });
                continue;
            }
            task.failed_run = run;
            task.failures += 1;
            failures = failures.max(task.failures);
        }
        if failures >= attempts_max {
            self.finish(id.step.job, Outcome::Failed);
            return;
        }
        if gang {
            self.stop_other_members(id, GangFailure::Failed);
        }
        self.requeue(id);
    }

    /// Stops the other members of a gang after a run of one of them ended or did not start.
    pub(crate) fn stop_other_members(&mut self, id: TaskId, failure: GangFailure) {
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let Some(step_index) = job.step_index(id.step) else { return };
        if !job.step_spec(step_index).gang {
            return;
        }
        self.fail_gang_attempt(id, failure);
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        for index in 0..job.step_states[step_index].tasks.len() as u32 {
            if index != id.index {
                self.stop(TaskId { step: id.step, index });
            }
        }
    }

    /// Frees the capacity of a task that is no longer on any worker.
    pub(crate) fn release(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        let needs_run = !task.is_done();
        task.phase = if needs_run { Phase::Waiting } else { Phase::Done };
        task.percent = 0;
        let Some(name) = task.worker.take() else { return };
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.deallocate(id);
        }
        self.cycle_due = true;
    }

    /// Puts a task's step back into the queue if it has tasks to place.
    pub(crate) fn requeue(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let Some(step_index) = job.step_index(id.step) else { return };
        self.enqueue_if_ready(id.step.job, step_index);
    }

    /// Records on which worker a task will run. The start is sent once the row is durable.
    pub(crate) fn record_start(&mut self, id: TaskId, run: u32) {
        let now_ms = self.now_ms;
        let workers_age_ms = self.workers_age_ms();
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        if let Some(worker) = &task.worker {
            let known = self.workers.get(worker);
            task.incarnation = known.map_or(0, |worker| worker.info.incarnation);
            let free = known.map(Worker::free).unwrap_or_default();
            let left_cpu_millis = free.cpu_millis;
            tracing::info!(task = %id, run, worker = %worker, left_cpu_millis, workers_age_ms, "run placed");
        }
        task.phase = Phase::Recorded;
        task.run = run;
        task.percent = 0;
        task.last_progress_ms = now_ms;
        task.recorded_ms = now_ms;
        task.start_written_ms = 0;
        task.starts_sent = 0;
        task.start_expires_ms = 0;
        task.running_since_ms = 0;
        task.listed_by_worker = false;
        task.start_answered_by_known_clock = false;
        task.pace_percent = None;
        task.pace_sent_ms = 0;
        task.late_pace_until_ms = 0;
        self.commits.mark_dirty(id.step.job, AfterCommit::Start { task: id, run });
    }

    /// The task, if `run` is its newest run and is placed on `worker`.
    pub(crate) fn task_for_run(
        &mut self,
        id: TaskId,
        run: u32,
        worker: &WorkerId,
    ) -> Option<&mut Task> {
        let task = self.jobs.get_mut(&id.step.job)?.task_mut(id)?;
        let is_newest_run = task.run == run && task.worker.as_ref() == Some(worker);
        is_newest_run.then_some(task)
    }
}

/// How long after it was sent a start may begin a run, in whichever incarnation of its worker. A
/// ticket is valid for one incarnation.
fn start_lifetime_ms(needs_ticket: bool) -> u64 {
    let late_ms = if needs_ticket { START_VALIDITY_MS } else { LATE_REQUEST_MS };
    late_ms + DELIVERY_MAX_MS
}

/// The destination of a call to a worker, with the token of its current incarnation.
pub(crate) fn callee(
    epoch: u64,
    workers: &BTreeMap<WorkerId, Worker>,
    name: &WorkerId,
) -> Option<Callee> {
    let worker = workers.get(name)?;
    Some(Callee {
        worker: name.clone(),
        address: worker.info.address.clone(),
        token: (epoch << INCARNATION_BITS) + worker.restarts_seen,
    })
}
