//! A task's way from a free place to its end.

use std::collections::BTreeMap;
use std::sync::Arc;

use stoatwell_model::WorkerId;

use crate::INCARNATION_BITS;
use crate::Pool;
use crate::commit::After;
use crate::event::CallError;
use crate::event::Callee;
use crate::event::Effect;
use crate::event::RunOutcome;
use crate::event::StartCall;
use crate::event::StartReply;
use crate::event::StopCall;
use crate::id::TaskId;
use crate::job::Advice;
use crate::job::Phase;
use crate::job::Task;
use crate::record::Outcome;
use crate::worker::Worker;

/// How long a start takes to its worker.
const START_WAY_MS: u64 = 15;
/// A worker that refused for want of room or health is left alone this long.
const REFUSED_PAUSE_MS: u64 = 500;

impl Pool {
    /// Sends a start whose row is durable.
    pub(crate) fn send_start(&mut self, id: TaskId, run: u32) {
        let now_ms = self.now_ms;
        let lease_ms = self.limits.lease_ms;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let payload = Arc::clone(&job.payload);
        let needs_ticket = job.spec.queue.advice.is_some();
        let Some(unit) = job.unit_of(id.step) else { return };
        let unit = &mut job.units[unit];
        let Some(task) = unit.tasks.get_mut(id.index as usize) else { return };
        if task.phase != Phase::Recorded || task.run != run {
            return;
        }
        let Some(name) = task.worker.clone() else { return };
        let Some(worker) = self.workers.get_mut(&name) else { return };
        let may_start = worker.held && !worker.info.draining;
        let Some(until_ms) = worker.until(now_ms, lease_ms).filter(|_| may_start) else {
            // While its row was written the worker began a new life, or to leave.
            self.not_started(id);
            return;
        };
        let ticket = unit.advice.granted.get(&worker.slot).filter(|_| needs_ticket);
        if ticket
            .is_some_and(|ticket| !ticket.is_fresh(worker.info.incarnation, now_ms + START_WAY_MS))
        {
            // Its row took longer than the ticket is good for, as in a store outage; the
            // worker would turn it away.
            self.not_started(id);
            return;
        }
        let ticket = ticket.map(|ticket| ticket.text.clone());
        worker.until_max = worker.until_max.max(until_ms);
        task.phase = Phase::Sent;
        task.moved_ms = now_ms;
        job.started = true;
        let to = callee(self.election.epoch, &self.workers, &name);
        let Some(to) = to else { return };
        let checkpoint = task.checkpoint.clone();
        self.effects.push(Effect::Start(StartCall {
            to,
            task: id,
            run,
            spec: payload,
            until_ms,
            checkpoint,
            ticket,
            made_ms: now_ms,
        }));
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
                        worker.quarantine_until_ms.max(now_ms + REFUSED_PAUSE_MS);
                }
                Err(CallError::NoAnswer | CallError::NotSent) => worker.silent += 1,
                Err(CallError::Refused) => {
                    worker.silent += 1;
                    worker.refuses = true;
                }
                _ => {}
            }
        }
        let Some(task) = self.task_at(id, run, from) else { return };
        if !matches!(task.phase, Phase::Sent) {
            return;
        }
        match reply {
            Ok(StartReply::Started) => {
                task.phase = Phase::Running { since_turn: turn };
                task.moved_ms = now_ms;
                task.began_ms = now_ms;
                self.note_begun(id);
            }
            Ok(StartReply::OldRun) | Err(CallError::NoAnswer) => {
                tracing::warn!(task = %id, run, worker = %from, ?reply, "start in doubt");
                self.stop(id);
            }
            Ok(answer) => {
                tracing::warn!(task = %id, run, worker = %from, %answer, "not started");
                if answer == StartReply::BadTicket {
                    self.drop_ticket(id, from);
                }
                self.not_started(id);
            }
            Err(error) => {
                tracing::warn!(task = %id, run, worker = %from, %error, "not started");
                self.not_started(id);
            }
        }
    }

    /// Takes note that a worker has begun a task of the job.
    pub(crate) fn note_begun(&mut self, id: TaskId) {
        if let Some(job) = self.jobs.get_mut(&id.step.job) {
            job.begun = true;
        }
    }

    /// The run was surely not begun. Members of a gang that were, would wait
    /// for it in vain, so the gang is gathered again.
    pub(crate) fn not_started(&mut self, id: TaskId) {
        self.release(id);
        self.break_gang(id);
        self.requeue(id);
    }

    /// Makes sure that a task does not run where it was sent.
    pub(crate) fn stop(&mut self, id: TaskId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        match task.phase {
            Phase::Waiting | Phase::Done | Phase::Stopping { .. } => return,
            Phase::Reserved | Phase::Recorded => {
                self.release(id);
                self.requeue(id);
                return;
            }
            Phase::Sent | Phase::Running { .. } | Phase::Adopted => {}
        }
        task.phase = Phase::Stopping { answered_turn: None, sent_ms: now_ms };
        self.send_stop(id);
    }

    pub(crate) fn send_stop(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        let Some(name) = &task.worker else { return };
        let Some(to) = callee(self.election.epoch, &self.workers, name) else { return };
        self.effects.push(Effect::Stop(StopCall { to, task: id, run: task.run }));
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
        let Some(task) = self.task_at(id, run, from) else { return };
        let Phase::Stopping { answered_turn, sent_ms } = &mut task.phase else { return };
        if let Err(error) = reply {
            tracing::warn!(task = %id, run, worker = %from, %error, "stop not answered");
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

    /// Takes in how a run ended.
    pub(crate) fn on_end(
        &mut self,
        id: TaskId,
        run: u32,
        from: &WorkerId,
        end: RunOutcome,
        saved: &str,
    ) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(unit) = job.unit_of(id.step) else { return };
        let step = job.step(unit);
        let gang = step.gang;
        let lasting = step.long_running;
        let speculative = step.speculative;
        let over = job.outcome.is_some();
        let Some(task) = job.task_mut(id) else { return };
        let here = task.run == run && task.worker.as_ref() == Some(from);
        let copy_is_done = speculative && end == RunOutcome::Done;
        if !here {
            if copy_is_done {
                tracing::info!(task = %id, run, worker = %from, "copy ended, done");
                self.on_copy_done(id);
            }
            return;
        }
        if task.phase == Phase::Done {
            // A gang's member that another one's end stood for.
            self.release(id);
            return;
        }
        let settled = task.copy_done;
        if !saved.is_empty() {
            saved.clone_into(&mut task.checkpoint);
        }
        // A run that an earlier scheduler placed has a time that is not known.
        let took_ms = (task.placed_ms > 0).then(|| now_ms.saturating_sub(task.placed_ms));
        tracing::info!(task = %id, run, worker = %from, %end, took_ms, "run ended");
        if let Some(took_ms) = took_ms.filter(|_| end == RunOutcome::Done && run == 1) {
            self.learned.ran(&job.spec.queue.name, took_ms);
        }
        job.begun = true;
        self.release(id);
        if let Some(worker) = self.workers.get_mut(from) {
            match end {
                RunOutcome::Done => worker.record_success(),
                RunOutcome::Failed if worker.record_failure(now_ms, 1) => {
                    tracing::warn!(worker = %from, "worker left alone: runs fail on it");
                }
                _ => {}
            }
        }
        if over || settled {
            return;
        }
        match end {
            RunOutcome::Done if !lasting => self.on_done(id, gang),
            RunOutcome::Failed if !lasting => self.on_failed(id, run, gang),
            _ => {
                if gang {
                    self.break_gang(id);
                }
                self.requeue(id);
            }
        }
    }

    fn on_done(&mut self, id: TaskId, gang: bool) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(unit) = job.unit_of(id.step) else { return };
        let mut members = vec![id.index];
        if gang {
            // The members end together, so one end stands for all.
            members = (0..job.units[unit].tasks.len() as u32).collect();
        }
        for index in members {
            let task = &mut job.units[unit].tasks[index as usize];
            if task.phase == Phase::Done {
                continue;
            }
            // Its room stays taken until its worker lists its own end.
            task.phase = Phase::Done;
            job.units[unit].left -= 1;
        }
        self.on_unit_progress(id, unit);
    }

    /// An earlier run of a task that may have copies was done after all. The newest
    /// one may be under way: it is stopped, and takes its room until it is gone.
    fn on_copy_done(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(unit) = job.unit_of(id.step) else { return };
        let over = job.outcome.is_some();
        let Some(task) = job.task_mut(id) else { return };
        if over || task.is_done() {
            return;
        }
        task.copy_done = true;
        if task.phase == Phase::Waiting {
            task.phase = Phase::Done;
        }
        job.units[unit].left -= 1;
        self.stop(id);
        self.on_unit_progress(id, unit);
    }

    /// A task of the unit is done; maybe it was the last one.
    fn on_unit_progress(&mut self, id: TaskId, unit: usize) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        if job.units[unit].left > 0 {
            return;
        }
        // Tickets of a hundred workers are most of what a job weighs.
        job.units[unit].advice = Advice::default();
        if job.is_done() {
            self.finish(id.step.job, Outcome::Completed);
            return;
        }
        for later in 0..job.units.len() {
            self.enqueue_if_ready(id.step.job, later);
        }
    }

    fn on_failed(&mut self, id: TaskId, run: u32, gang: bool) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let attempts_max = job.spec.queue.attempts_max;
        let Some(unit) = job.unit_of(id.step) else { return };
        let mut failures = 0;
        for (index, task) in job.units[unit].tasks.iter_mut().enumerate() {
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
            self.break_gang(id);
        }
        self.requeue(id);
    }

    /// Stops the other members of a gang after one of them ended or was not begun.
    pub(crate) fn break_gang(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let Some(unit) = job.unit_of(id.step) else { return };
        if !job.step(unit).gang {
            return;
        }
        for index in 0..job.units[unit].tasks.len() as u32 {
            if index != id.index {
                self.stop(TaskId { step: id.step, index });
            }
        }
    }

    /// Gives back the room of a task that is nowhere any more.
    pub(crate) fn release(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        let waits = !task.is_done();
        task.phase = if waits { Phase::Waiting } else { Phase::Done };
        task.percent = 0;
        let Some(name) = task.worker.take() else { return };
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.give_back(id);
        }
        self.place_due = true;
    }

    /// Puts a task's unit back into the queue.
    pub(crate) fn requeue(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let Some(unit) = job.unit_of(id.step) else { return };
        self.enqueue_if_ready(id.step.job, unit);
    }

    /// Records where a task will run; the start follows once that is durable.
    pub(crate) fn record_start(&mut self, id: TaskId, run: u32) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(task) = job.task_mut(id) else { return };
        if let Some(worker) = &task.worker {
            let free = self.workers.get(worker).map(Worker::free).unwrap_or_default();
            let left_cpu_millis = free.cpu_millis;
            tracing::info!(task = %id, run, worker = %worker, left_cpu_millis, "run placed");
        }
        task.phase = Phase::Recorded;
        task.run = run;
        task.percent = 0;
        task.moved_ms = now_ms;
        task.placed_ms = now_ms;
        task.began_ms = 0;
        task.seen = false;
        task.pace_percent = None;
        self.commits.note(id.step.job, After::Start { task: id, run });
    }

    /// The task, if this run of it is on this worker.
    pub(crate) fn task_at(&mut self, id: TaskId, run: u32, worker: &WorkerId) -> Option<&mut Task> {
        let task = self.jobs.get_mut(&id.step.job)?.task_mut(id)?;
        let here = task.run == run && task.worker.as_ref() == Some(worker);
        here.then_some(task)
    }
}

/// Where a call to a worker goes, under the token of its present life.
pub(crate) fn callee(
    epoch: u64,
    workers: &BTreeMap<WorkerId, Worker>,
    name: &WorkerId,
) -> Option<Callee> {
    let worker = workers.get(name)?;
    Some(Callee {
        worker: name.clone(),
        address: worker.info.address.clone(),
        token: (epoch << INCARNATION_BITS) + worker.lives,
    })
}
